"""Dispatch of the messages received on a connection.

The message type and the sender's role determine how a message is handled. A message is answered, makes the
sender join, is reported to the coordinator, is dropped, or ends the connection. This module owns the names
that messages may contain. It never reads a socket. The module `messages` checks the fields of a message, and
the planner makes the decisions.
"""

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

# Compared with the role for each message. A module global is faster to read than an enum attribute.
PENDING = Role.PENDING
# Bytes. With more unsent bytes, pings are not answered, and a peer that is not a proxy is disconnected.
UNSENT_MAX = 64 * 1024


class Dispatcher:
    """Handles the messages of all connections."""

    def __init__(
        self, loop: Loop, coordinator: Coordinator, log: Log, membership: Membership, names: KnownNames
    ) -> None:
        self.loop, self.coordinator, self.log = loop, coordinator, log
        self.membership, self.names = membership, names
        self.join_handlers = {
            messages.PROXY_JOINING: self._join_proxy,
            messages.COLLECTOR_JOINING: self._join_collector,
        }
        self.report_handlers = {
            messages.APPLIED: self._report_applied,
            messages.LINK_REPORT: self._report_link,
            messages.USAGE_REPORT: self._report_usage,
        }

    def handle(self, connection: Connection, message: Message) -> None:
        """Handle one message.

        Raise InvalidInputError if the connection has to be rejected or closed, and OSError if the connection
        is broken. Any other invalid message is dropped, and the connection stays open.
        """
        kind: str = message["type"]
        if kind == messages.PING:
            self._answer_ping(connection)
        elif connection.role is PENDING:
            self._join(connection, kind, message)
        elif kind in self.report_handlers:
            self._report(connection, kind, message)
        else:
            self._drop(
                connection,
                f"a {kind!r:.40} is not expected here" if kind else "it is not an object with a type",
            )

    def _answer_ping(self, connection: Connection) -> None:
        if len(connection.unsent) <= UNSENT_MAX:
            connection.write(PONG)
        elif connection.role is not Role.PROXY:
            raise InvalidInputError("it sends pings and does not read the answers")

    def _join(self, connection: Connection, kind: str, message: Message) -> None:
        if kind in self.join_handlers:
            self.join_handlers[kind](connection, message)
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
            self.report_handlers[kind](connection, message)
        except InvalidInputError as error:
            self._drop(connection, str(error))
        except Exception as error:
            # If a message triggers a bug, only the failure is logged. The sender's connection stays open,
            # because the end of a collector's connection would lose all reports of the collector's zone.
            self.loop.report_failure(error)

    def _drop(self, connection: Connection, reason: str) -> None:
        log_message_dropped(self.log, peer=connection.peer, reason=reason, proxy=connection.proxy)

    def _report_applied(self, connection: Connection, message: Message) -> None:
        if connection.role is not Role.PROXY or connection.proxy is None:
            raise InvalidInputError("an 'applied' is only accepted on the stream of its proxy")
        try:
            acknowledgement = messages.parse_acknowledgement(message, self.names, connection.proxy)
        except InvalidInputError:
            # The proxy has answered a barrier, at least the oldest one. Without this report the proxy's
            # entries would count as in flight until the barrier counts as lost. The same applies to answers
            # in the format of another version. If a proxy acknowledges entries that it did not apply, the
            # only effect is that its own entries count as in flight for a shorter time.
            self.coordinator.report(
                self.loop.now, Acknowledged(proxy=connection.proxy, sequence=None, latency=None)
            )
            raise
        self.coordinator.report(
            self.loop.now,
            Acknowledged(
                proxy=connection.proxy, sequence=acknowledgement.barrier, latency=acknowledgement.latency
            ),
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
