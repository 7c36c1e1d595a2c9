"""The management interface of a service: its listeners, users, sessions and notifications.

Implements management.interfaces.ManagementService. It is created only if a management listener is configured.
Every change of settings, including a reload of the files, goes through the datastores of `settings_host`. The
service applies a change completely within one turn, or not at all.
"""

import ssl
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from granitespool.management.authorization import User, certificate_identities, find_user
from granitespool.management.changes import CompletionCallback
from granitespool.management.datastores import Datastores
from granitespool.management.interfaces import ProtocolSession, Transport
from granitespool.management.model import Model
from granitespool.management.operational_state import OperationalState, ServiceFacts, StateFolderMetrics
from granitespool.net.config import Configuration
from granitespool.net.fleet_notifier import FleetNotifier
from granitespool.net.log import Log
from granitespool.net.loop import SECOND, Loop
from granitespool.net.management_listener import ManagementListener
from granitespool.net.settings_host import SettingsHost
from granitespool.net.shared_state import SharedState
from granitespool.net.tls import server_context
from granitespool.operator_settings import OperatorSettings

if TYPE_CHECKING:
    from granitespool.net.service import Service

NETCONF = "netconf"
GNMI = "gnmi"
ALPN = {NETCONF: None, GNMI: "h2"}  # ALPN protocol that clients have to negotiate, by listener

MakeSession = Callable[["ManagementService", User, Transport, int], ProtocolSession]


class ManagementService:
    """The management listeners, and the state that the sessions of all protocols share."""

    def __init__(self, service: "Service", loop: Loop, log: Log) -> None:
        """Start the configured listeners; raise InvalidInputError or OSError if a listener cannot start."""
        self.service = service
        self.loop = loop
        self.log = log
        self.model = Model()
        self.settings = SettingsHost(service, self.model, self.notify)
        self.sessions: dict[int, ProtocolSession] = {}  # open sessions by number
        self.session_count = 0  # sessions opened so far
        self.list_index = service.discovery.index  # the last observed version of the endpoint list
        self.list_changed_at = loop.now  # ns, when that version was first observed
        self.shared_state = SharedState(self.new_state_reader)
        operator = _required_operator(service.config)
        self.users = _users(operator)
        self.listeners: list[ManagementListener] = []
        for name, settings in ((NETCONF, operator.netconf), (GNMI, operator.gnmi)):
            if settings:
                context = _tls_context(operator, name)
                make = self._session_maker(name)
                self.listeners.append(
                    ManagementListener(loop, log, name, context, settings, self._find_user, make)
                )
        self.notifier = FleetNotifier(loop, service.coordinator, self.notify, self._has_subscribers)

    @property
    def datastores(self) -> Datastores:
        """The datastores: the settings, candidate settings and locks."""
        return self.settings.datastores

    def close(self) -> None:
        """Notify each session that the service shuts down."""
        for session in list(self.sessions.values()):
            session.announce_shutdown()

    # Sessions

    def open_session(self, make: MakeSession, user: User, transport: Transport) -> ProtocolSession:
        """Create the session of a connection whose handshake is complete."""
        self.session_count += 1
        session = make(self, user, transport, self.session_count)
        self.sessions[self.session_count] = session
        return session

    def on_session_closed(self, session: Any) -> None:
        """Remove a session that has ended for any reason."""
        self.sessions.pop(session.number, None)
        self.datastores.close_session(session, self.settings.log_rollback_failure)

    def find_session(self, number: str) -> ProtocolSession | None:
        """Return the session with the decimal number `number`, or None if there is no such session."""
        return self.sessions.get(int(number)) if number.isdecimal() else None

    @staticmethod
    def session_number(session: object) -> int:
        """Return the number of a session, or 0 for the coordinator itself."""
        return getattr(session, "number", 0)

    def save_startup(self, answer: CompletionCallback) -> None:
        """Save the startup datastore; call `answer` once it is durable or the save has failed."""
        self.settings.save_startup(answer)

    def log_failure(self, error: Exception) -> None:
        """Log an internal error."""
        self.loop.report_failure(error)

    def new_state_reader(self) -> OperationalState:
        """Return a new reader of the operational state."""
        service, stores = self.service, self.datastores
        return OperationalState(
            service.coordinator,
            ServiceFacts(
                name=service.config["name"],
                version=stores.version,
                commits=stores.commits,
                rejected=stores.rejected,
                list_index=service.discovery.index,
                list_age=self.loop.now - self.list_changed_at,
                has_endpoint_list=service.discovery.has_listed_backends,
                folder=_folder_figures(service),
            ),
        )

    def notify(self, name: str, **fields: object) -> None:
        """Send a notification to the subscribed sessions; the YANG module defines the names."""
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(self.loop.now // SECOND))
        for session in list(self.sessions.values()):
            session.notify(name, fields, at)

    # Methods that the service calls

    def end_of_turn(self, now: int) -> None:
        """Run the expired timers of the settings and write the unsent bytes of sessions; `now` in ns."""
        if self.service.discovery.index != self.list_index:
            self.list_index = self.service.discovery.index
            self.list_changed_at = now
        self.settings.end_of_turn(now)
        for listener in self.listeners:
            listener.end_of_turn()

    def next_deadline(self) -> int | None:
        """Return the time (ns) by which `end_of_turn` has to be called again, or None if there is none."""
        return self.settings.next_deadline()

    def reload(self, config: Configuration) -> list[str]:
        """Apply the reloaded files; return the names of the settings that require a restart.

        Raise InvalidInputError or ManagementError if the files cannot be applied; the former settings are
        then still in use.
        """
        operator = _required_operator(config)
        contexts = {listener.name: _tls_context(operator, listener.name) for listener in self.listeners}
        restart_required = self.settings.reload(config)
        self.users = _users(operator)
        for listener in self.listeners:
            listener.context = contexts[listener.name]
        return restart_required

    def _find_user(self, certificate: dict[str, Any], digest: str) -> User | None:
        return find_user(self.users, certificate_identities(certificate, digest))

    def _session_maker(self, name: str) -> Callable[[User, Transport], ProtocolSession]:
        make = _session_class(name)
        return lambda user, transport: self.open_session(make, user, transport)

    def _has_subscribers(self) -> bool:
        return any(session.subscribed_events is not None for session in self.sessions.values())


def _session_class(name: str) -> MakeSession:
    """Return the session class of a protocol, imported only if its listener is configured."""
    if name == NETCONF:
        from granitespool.netconf.session import NetconfSession  # noqa: PLC0415

        return NetconfSession
    from granitespool.gnmi.connection import GnmiConnection  # noqa: PLC0415

    return GnmiConnection


def _folder_figures(service: "Service") -> StateFolderMetrics | None:
    if service.snapshotter is None:
        return None
    metrics = service.snapshotter.metrics()
    return StateFolderMetrics(metrics.bytes_written, metrics.batches_written, metrics.is_failing)


def _users(operator: OperatorSettings) -> list[User]:
    return [User(name, user.certificate, user.read, user.write) for name, user in operator.users.items()]


def _tls_context(operator: OperatorSettings, name: str) -> ssl.SSLContext:
    tls = operator.tls
    assert tls is not None, "the check of the operator's settings requires [tls] with a listener"
    return server_context(tls.certificate, tls.key, tls.authorities, ALPN[name])


def _required_operator(config: Configuration) -> OperatorSettings:
    operator = config.get("operator")
    assert operator is not None, "management is enabled by the operator's settings"
    return operator
