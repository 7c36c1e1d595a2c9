"""One NETCONF session: processes the client's bytes and queues the replies; without a socket or a clock."""

from collections import deque
from collections.abc import Mapping

from lxml import etree

from granitespool.management.authorization import User
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.interfaces import ManagementService, Transport
from granitespool.netconf.context import OperationContext, Steps
from granitespool.netconf.errors import MalformedMessageError, NetconfError
from granitespool.netconf.framing import MessageReader, frame
from granitespool.netconf.namespaces import BASE, BASE_10, BASE_11, CAPABILITIES, base_tag
from granitespool.netconf.operations.notifications import notification_element
from granitespool.netconf.operations.table import CLOSE_SESSION, HANDLERS
from granitespool.netconf.replies import add_ok, new_reply, replace_by_error
from granitespool.netconf.xmltree import Element, element_namespace, element_text, local_name, parse_message

MAX_MESSAGE_BYTES = 1 << 20  # settings with a thousand classes take about 100 KB
MAX_PENDING_REQUESTS = 16  # requests that wait for the one in progress
MAX_UNSENT_FOR_NOTIFICATION = 256 * 1024  # unsent bytes above which notifications are dropped


class NetconfSession:
    """One NETCONF session: a management.interfaces.ProtocolSession.

    Requests are processed one after the other, in steps: `work` does one step.
    """

    def __init__(self, service: ManagementService, user: User, transport: Transport, number: int) -> None:
        self.service = service
        self.user = user
        self.transport = transport
        self.number = number
        self.context = OperationContext(service, user, transport, self)
        self.dropped_notifications = 0
        self._open = True
        self._hello_received = False
        self._reader = MessageReader(MAX_MESSAGE_BYTES)
        self.pending: deque[Element] = deque()
        self._in_progress: Steps | None = None

    # Called by the listener

    @property
    def has_work(self) -> bool:
        """Whether `work` has something to do now."""
        has_request = self._in_progress is not None or bool(self.pending)
        return self._open and not self.context.awaiting_completion and has_request

    @property
    def is_exempt_from_idle_timeout(self) -> bool:
        """Whether the session is exempt from the idle timeout, by a subscription or a pending operation."""
        return self.subscribed_events is not None or self.context.awaiting_completion

    @property
    def subscribed_events(self) -> frozenset[str] | None:
        """The names of the subscribed events; empty if all are subscribed, None without a subscription."""
        return self.context.notified_events

    def start(self) -> None:
        """Send the server's hello; the TLS handshake is complete."""
        hello = etree.Element(base_tag("hello"), nsmap={None: BASE})
        capabilities = etree.SubElement(hello, base_tag("capabilities"))
        for capability in CAPABILITIES:
            etree.SubElement(capabilities, base_tag("capability")).text = capability
        etree.SubElement(hello, base_tag("session-id")).text = str(self.number)
        self._send(hello)

    def receive(self, data: bytes) -> None:
        """Process plain bytes from the client."""
        self._reader.feed(data)
        try:
            for message in self._reader.messages():
                self._receive_message(message)
                if not self._open:
                    return
        except NetconfError as error:
            self._finish(str(error))

    def next_deadline(self) -> None:
        """Return None: a session has no timers. The datastores have the timers of commits."""

    def tick(self, now: int) -> None:
        """Do nothing: a session has no timers."""

    def work(self) -> None:
        """Do one step of the request in progress, or the first step of the next one."""
        if self._in_progress is None:
            if not self.pending or self.context.awaiting_completion:
                return
            self._in_progress = self._process(self.pending.popleft())
        try:
            next(self._in_progress)
        except StopIteration:
            self._in_progress = None

    def announce_shutdown(self) -> None:
        """Do nothing: NETCONF has no message for a shutdown. The client sees the end of the TLS session."""

    def on_closed(self, _reason: str) -> None:
        """Discard the pending requests; the connection has ended."""
        self._open = False
        self.pending.clear()
        self._in_progress = None
        self.service.on_session_closed(self)

    def notify(self, name: str, fields: Mapping[str, object], at: str) -> None:
        """Send the notification of an event if the session subscribed to it.

        Notifications are dropped while the client does not read.
        """
        if not self._open or not self._is_subscribed_to(name):
            return
        if self.transport.unsent > MAX_UNSENT_FOR_NOTIFICATION:
            self.dropped_notifications += 1
            return
        self._send(notification_element(name, fields, at))
        self.transport.wake()

    def _is_subscribed_to(self, name: str) -> bool:
        if self.subscribed_events is None:
            return False
        return not self.subscribed_events or name in self.subscribed_events

    # Messages

    def _send(self, element: Element) -> None:
        data = etree.tostring(element, xml_declaration=True, encoding="UTF-8")
        self.transport.send(frame(data, self._reader.chunked))

    def _finish(self, reason: str) -> None:
        self._open = False
        self.transport.end(reason)

    def _receive_message(self, data: bytes) -> None:
        root = parse_message(data)
        if not self._hello_received:
            self._receive_hello(root)
            return
        if root.tag != base_tag("rpc"):
            reason = f"the message {local_name(root)!r:.40} is not an rpc"
            raise MalformedMessageError(reason)
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            reason = f"more than {MAX_PENDING_REQUESTS} requests are pending"
            raise MalformedMessageError(reason)
        self.pending.append(root)

    def _receive_hello(self, root: Element) -> None:
        capabilities = {element_text(element) for element in root.iter(base_tag("capability"))}
        if root.tag != base_tag("hello") or not capabilities & {BASE_10, BASE_11}:
            reason = "the first message is not a hello with a base capability"
            raise MalformedMessageError(reason)
        if root.find(base_tag("session-id")) is not None:
            reason = "the client's hello has a session-id"
            raise MalformedMessageError(reason)
        self._hello_received = True
        self._reader.chunked = BASE_11 in capabilities

    # Requests

    def _process(self, rpc: Element) -> Steps:
        """Process one rpc in steps and send its reply."""
        reply = new_reply(rpc)
        try:
            yield from self._perform(rpc, reply)
        except ManagementError as error:
            replace_by_error(reply, error, self.service.session_number)
        except Exception as error:
            # An internal error that a request triggers must not end this session or any other.
            self.service.log_failure(error)
            failure = ManagementError(
                ErrorTag.OPERATION_FAILED, "an internal error of the coordinator, see its log"
            )
            replace_by_error(reply, failure, self.service.session_number)
        if self.transport.end_reason is None:
            self._send(reply)
            operation = rpc[0] if len(rpc) else rpc
            if self._open and local_name(operation) == CLOSE_SESSION:
                self._finish("closed by the client")

    def _perform(self, rpc: Element, reply: Element) -> Steps:
        """Run the operation of one rpc in steps; the operation fills the reply."""
        if rpc.get("message-id") is None:
            raise ManagementError(
                ErrorTag.MISSING_ATTRIBUTE,
                "an rpc has no message-id",
                attribute="message-id",
                element="rpc",
            )
        if len(rpc) != 1:
            raise ManagementError(ErrorTag.MALFORMED_MESSAGE, "an rpc holds one operation")
        operation = rpc[0]
        handler = HANDLERS.get((element_namespace(operation), local_name(operation)))
        if handler is None:
            reason = f"there is no operation {local_name(operation)!r:.40}"
            raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, reason)
        steps = handler(self.context, operation, reply)
        if steps is not None:
            yield from steps
        if not len(reply):
            add_ok(reply)
