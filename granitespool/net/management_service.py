"""The management side of a service: its listeners, users and sessions, and what sessions are notified of.

Made only where a listener is on: a management.interfaces.ManagementService. Everything that changes settings,
the file read anew as well, goes through the datastores of `settings_host`, and is applied by the service in
one turn or not at all."""

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
ALPN = {NETCONF: None, GNMI: "h2"}  # the protocol that a listener's clients must agree to

MakeSession = Callable[["ManagementService", User, Transport, int], ProtocolSession]


class ManagementService:
    """What the sessions of all protocols share."""

    def __init__(self, service: "Service", loop: Loop, log: Log) -> None:
        """Listens at once; raises InvalidInputError or OSError where it cannot."""
        self.service = service
        self.loop = loop
        self.log = log
        self.model = Model()
        self.settings = SettingsHost(service, self.model, self.notify)
        self.sessions: dict[int, ProtocolSession] = {}  # by number
        self.session_count = 0  # so far
        self.list_index = service.discovery.index  # the endpoint list's version
        self.list_changed_at = loop.now  # ns
        self.shared_state = SharedState(self.new_state_reader)
        operator = _operator_of(service.config)
        self.users = _users(operator)
        self.listeners: list[ManagementListener] = []
        for name, settings in ((NETCONF, operator.netconf), (GNMI, operator.gnmi)):
            if settings:
                context = _context(operator, name)
                make = self._session_maker(name)
                self.listeners.append(
                    ManagementListener(loop, log, name, context, settings, self._find_user, make)
                )
        self.notifier = FleetNotifier(loop, service.coordinator, self.notify, self._has_subscribers)

    @property
    def datastores(self) -> Datastores:
        """The settings, their candidates and locks."""
        return self.settings.datastores

    def close(self) -> None:
        """Tells each session that the server goes."""
        for session in list(self.sessions.values()):
            session.announce_shutdown()

    # Sessions

    def open_session(self, make: MakeSession, user: User, transport: Transport) -> ProtocolSession:
        """The session of a connection whose handshake is done."""
        self.session_count += 1
        session = make(self, user, transport, self.session_count)
        self.sessions[self.session_count] = session
        return session

    def on_session_closed(self, session: Any) -> None:
        """A session has ended, however."""
        self.sessions.pop(session.number, None)
        self.datastores.close_session(session, self.settings.log_undone)

    def find_session(self, number: str) -> ProtocolSession | None:
        """The session of a number."""
        return self.sessions.get(int(number)) if number.isdecimal() else None

    @staticmethod
    def session_number(session: object) -> int:
        """A session's number, 0 for the coordinator itself."""
        return getattr(session, "number", 0)

    def save_startup(self, answer: CompletionCallback) -> None:
        """Has startup outlast the process, and answers once that is safe."""
        self.settings.save_startup(answer)

    def log_failure(self, error: Exception) -> None:
        """Logs a fault of this program."""
        self.loop.report_failure(error)

    def new_state_reader(self) -> OperationalState:
        """A new reading of the operational state."""
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
        """Notifies the sessions that subscribed of an event; the names are the YANG module's."""
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(self.loop.now // SECOND))
        for session in list(self.sessions.values()):
            session.notify(name, fields, at)

    # For the service

    def end_of_turn(self, now: int) -> None:
        """Answers and undoes what is due, and writes what was sent to sessions; ns."""
        if self.service.discovery.index != self.list_index:
            self.list_index = self.service.discovery.index
            self.list_changed_at = now
        self.settings.end_of_turn(now)
        for listener in self.listeners:
            listener.end_of_turn()

    def due(self) -> int | None:
        """When `end_of_turn` is to be called at the latest, ns; None for never."""
        return self.settings.due()

    def reload(self, config: Configuration) -> list[str]:
        """Takes the files that were read anew; returns the names of what waits for a restart.

        Raises InvalidInputError or ManagementError, and nothing changes."""
        operator = _operator_of(config)
        contexts = {listener.name: _context(operator, listener.name) for listener in self.listeners}
        restart_required = self.settings.reload(config)
        self.users = _users(operator)
        for listener in self.listeners:
            listener.context = contexts[listener.name]
        return restart_required

    def _find_user(self, certificate: dict[str, Any], digest: str) -> User | None:
        return find_user(self.users, certificate_identities(certificate, digest))

    def _session_maker(self, name: str) -> Callable[[User, Transport], ProtocolSession]:
        make = _protocol(name)
        return lambda user, transport: self.open_session(make, user, transport)

    def _has_subscribers(self) -> bool:
        return any(session.subscribed_events is not None for session in self.sessions.values())


def _protocol(name: str) -> MakeSession:
    """The class of a protocol's sessions, imported only where its listener is on."""
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


def _context(operator: OperatorSettings, name: str) -> ssl.SSLContext:
    tls = operator.tls
    assert tls is not None, "the operator's settings are checked to have [tls] with a listener"
    return server_context(tls.certificate, tls.key, tls.authorities, ALPN[name])


def _operator_of(config: Configuration) -> OperatorSettings:
    operator = config.get("operator")
    assert operator is not None, "managers are on by the operator's settings"
    return operator
