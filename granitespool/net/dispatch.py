"""Dispatch: what is done with each message of a connection.

Owns the names that messages may use, and decides by a message's type and its sender's role whether it is
answered, joins its sender, is reported to the coordinator, dropped or refused. It never reads a socket, and
the fields are checked by `messages`. No decision of the planner's is taken here."""

from granitespool.coordinator import Coordinator
from granitespool.errors import InvalidInputError
from granitespool.net import messages
from granitespool.net.connection import Connection, Role
from granitespool.net.frames import PONG
from granitespool.net.log import Log
from granitespool.net.log_events import log_message_dropped
from granitespool.net.loop import Loop
from granitespool.net.membership import Membership
from granitespool.net.messages import KnownNames, Message
from granitespool.planner.events import Acknowledged, LoadReport, UsageReport

PENDING = Role.PENDING  # a module's own name costs less than an enum's member, and each message asks
UNSENT_MAX = 64 * 1024  # bytes of answers that wait for one peer: who asks more and reads none is cut off


class Dispatcher:
    """Handles the messages of all connections."""

    def __init__(
        self, loop: Loop, coordinator: Coordinator, log: Log, membership: Membership, names: KnownNames
    ) -> None:
        self.loop, self.coordinator, self.log = loop, coordinator, log
        self.membership, self.names = membership, names
        self.joinings = {
            messages.PROXY_JOINING: self._join_proxy,
            messages.COLLECTOR_JOINING: self._join_collector,
        }
        self.reports = {
            messages.APPLIED: self._report_applied,
            messages.LINK_REPORT: self._report_link,
            messages.USAGE_REPORT: self._report_usage,
        }

    def handle(self, connection: Connection, message: Message) -> None:
        """Does what one message asks for.

        Raises InvalidInputError where its sender must be rejected or cut off, and OSError where it is
        broken; any other wrong message is lost alone."""
        kind: str = message["type"]
        if kind == messages.PING:
            self._answer_ping(connection)
        elif connection.role is PENDING:
            self._join(connection, kind, message)
        elif kind in self.reports:
            self._report(connection, kind, message)
        else:
            self._drop(
                connection, f"a {kind!r:.40} has no place here" if kind else "it is no object with a type"
            )

    def _answer_ping(self, connection: Connection) -> None:
        if len(connection.unsent) <= UNSENT_MAX:
            connection.write(PONG)
        elif connection.role is not Role.PROXY:
            raise InvalidInputError("it asks and does not read")

    def _join(self, connection: Connection, kind: str, message: Message) -> None:
        if kind in self.joinings:
            self.joinings[kind](connection, message)
        elif kind:
            raise InvalidInputError(f"a {kind!r:.40} came before its sender said who it is")
        else:
            raise InvalidInputError("a message is not an object with a type")

    def _join_proxy(self, connection: Connection, message: Message) -> None:
        self.membership.join_proxy(connection, messages.parse_proxy_join(message, self.names))

    def _join_collector(self, connection: Connection, message: Message) -> None:
        self.membership.join_collector(connection, messages.parse_collector_zone(message, self.names))

    def _report(self, connection: Connection, kind: str, message: Message) -> None:
        try:
            self.reports[kind](connection, message)
        except InvalidInputError as error:
            self._drop(connection, str(error))
        except Exception as error:
            # A fault of ours that some message triggers must not cost its sender the connection, and with a
            # collector all of its zone's reports. It shows in the log alone.
            self.loop.report_failure(error)

    def _drop(self, connection: Connection, reason: str) -> None:
        log_message_dropped(self.log, peer=connection.peer, reason=reason, proxy=connection.proxy)

    def _report_applied(self, connection: Connection, message: Message) -> None:
        if connection.role is not Role.PROXY or connection.proxy is None:
            raise InvalidInputError("only a proxy's own stream brings its 'applied'")
        try:
            applied = messages.parse_acknowledgement(message, self.names, connection.proxy)
        except InvalidInputError:
            # It has answered some mark, at least the oldest: otherwise its entries would stay in the
            # in-flight account until that mark counts as lost. The same goes for answers of another version.
            # A proxy that answers what it never applied makes its own entries leave the account too soon.
            self.coordinator.report(
                self.loop.now, Acknowledged(proxy=connection.proxy, sequence=None, latency=None)
            )
            raise
        self.coordinator.report(
            self.loop.now,
            Acknowledged(proxy=connection.proxy, sequence=applied.barrier, latency=applied.latency),
        )

    def _report_link(self, _: Connection, message: Message) -> None:
        report = messages.parse_link_report(message, self.names)
        self.coordinator.report(
            self.loop.now,
            LoadReport(
                zone=report.zone,
                backend=report.backend,
                attempts=report.attempts,
                failures=report.failures,
                mean=report.mean,
                window=report.window,
                load=report.load,
            ),
        )

    def _report_usage(self, connection: Connection, message: Message) -> None:
        report = messages.parse_usage_report(message, self.names, connection.proxy)
        self.coordinator.report(
            self.loop.now,
            UsageReport(
                proxy=report.proxy,
                request_class=report.request_class,
                requests=report.requests,
                unanswered=report.unanswered,
                window=report.window,
            ),
        )
