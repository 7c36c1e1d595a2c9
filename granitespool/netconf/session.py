"""One NETCONF session: bytes in, bytes out, the datastores behind it; no socket and no clock of its own."""

from collections import deque
from collections.abc import Mapping

from lxml import etree

from granitespool.management.authorization import User
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.interfaces import ManagementService, Transport
from granitespool.netconf.context import OperationContext, Steps
from granitespool.netconf.errors import MalformedMessageError, NetconfError
from granitespool.netconf.framing import MessageReader, frame
from granitespool.netconf.namespaces import BASE, BASE_10, BASE_11, CAPABILITIES, base
from granitespool.netconf.operations.notifications import notification_element
from granitespool.netconf.operations.table import CLOSE_SESSION, HANDLERS
from granitespool.netconf.replies import add_ok, new_reply, replace_by_error
from granitespool.netconf.xmltree import Element, local_name, namespace_of, parse_message, text_of

MAX_MESSAGE_BYTES = 1 << 20  # a thousand classes take a tenth
MAX_PENDING_REQUESTS = 16  # requests that wait for the one in progress
MAX_UNSENT_FOR_NOTIFICATION = 256 * 1024  # bytes unsent past which a session gets no notification


class NetconfSession:
    """The protocol of one session: a management.interfaces.ProtocolSession.

    Requests are processed one after the other, in steps: `work` does one step."""

    def __init__(self, service: ManagementService, user: User, transport: Transport, number: int) -> None:
        self.service = service
        self.user = user
        self.transport = transport
        self.number = number
        self.context = OperationContext(service, user, transport, self)
        self.dropped_notifications = 0
        self._open = True
        self._greeted = False
        self._reader = MessageReader(MAX_MESSAGE_BYTES)
        self.pending: deque[Element] = deque()
        self._in_progress: Steps | None = None

    # Driven by the listener

    @property
    def has_work(self) -> bool:
        """Whether `work` has something to do."""
        has_request = self._in_progress is not None or bool(self.pending)
        return self._open and not self.context.awaiting_answer and has_request

    @property
    def is_exempt_from_idle_timeout(self) -> bool:
        """Whether silence is no reason to end the session: a subscriber has nothing to say."""
        return self.subscribed_events is not None or self.context.awaiting_answer

    @property
    def subscribed_events(self) -> frozenset[str] | None:
        """Names of the events that the session subscribed to; empty for all, None without a subscription."""
        return self.context.notified_events

    def start(self) -> None:
        """Says hello; the connection is up."""
        hello = etree.Element(base("hello"), nsmap={None: BASE})
        capabilities = etree.SubElement(hello, base("capabilities"))
        for capability in CAPABILITIES:
            etree.SubElement(capabilities, base("capability")).text = capability
        etree.SubElement(hello, base("session-id")).text = str(self.number)
        self._send(hello)

    def receive(self, data: bytes) -> None:
        """Takes plain bytes of the client."""
        self._reader.feed(data)
        try:
            for message in self._reader.messages():
                self._receive_message(message)
                if not self._open:
                    return
        except NetconfError as error:
            self._finish(str(error))

    def next_deadline(self) -> None:
        """No timer: what a commit waits for belongs to the datastores."""

    def tick(self, now: int) -> None:
        """Nothing of a session is timed."""

    def work(self) -> None:
        """One step of the request in progress, or the first of the next one."""
        if self._in_progress is None:
            if not self.pending or self.context.awaiting_answer:
                return
            self._in_progress = self._answer(self.pending.popleft())
        try:
            next(self._in_progress)
        except StopIteration:
            self._in_progress = None

    def announce_shutdown(self) -> None:
        """NETCONF has no message that the server goes; the end of TLS tells."""

    def on_closed(self, _why: str) -> None:
        """The connection has ended."""
        self._open = False
        self.pending.clear()
        self._in_progress = None
        self.service.on_session_closed(self)

    def notify(self, name: str, fields: Mapping[str, object], at: str) -> None:
        """Sends an event's notification to a subscriber; a client that does not read gets none meanwhile."""
        if not self._open or not self._wants(name):
            return
        if self.transport.unsent > MAX_UNSENT_FOR_NOTIFICATION:
            self.dropped_notifications += 1
            return
        self._send(notification_element(name, fields, at))
        self.transport.wake()

    def _wants(self, name: str) -> bool:
        if self.subscribed_events is None:
            return False
        return not self.subscribed_events or name in self.subscribed_events

    # Messages

    def _send(self, element: Element) -> None:
        data = etree.tostring(element, xml_declaration=True, encoding="UTF-8")
        self.transport.send(frame(data, self._reader.chunked))

    def _finish(self, why: str) -> None:
        self._open = False
        self.transport.end(why)

    def _receive_message(self, data: bytes) -> None:
        root = parse_message(data)
        if not self._greeted:
            self._receive_hello(root)
            return
        if root.tag != base("rpc"):
            reason = f"a {local_name(root)!r:.40} came where an rpc should"
            raise MalformedMessageError(reason)
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            reason = f"over {MAX_PENDING_REQUESTS} requests wait"
            raise MalformedMessageError(reason)
        self.pending.append(root)

    def _receive_hello(self, root: Element) -> None:
        capabilities = {text_of(element) for element in root.iter(base("capability"))}
        if root.tag != base("hello") or not capabilities & {BASE_10, BASE_11}:
            reason = "the first message is no hello with a base capability"
            raise MalformedMessageError(reason)
        if root.find(base("session-id")) is not None:
            reason = "a client's hello has a session-id"
            raise MalformedMessageError(reason)
        self._greeted = True
        self._reader.chunked = BASE_11 in capabilities

    # Requests

    def _answer(self, rpc: Element) -> Steps:
        """Processes one rpc in steps and sends its reply."""
        reply = new_reply(rpc)
        try:
            yield from self._perform(rpc, reply)
        except ManagementError as error:
            replace_by_error(reply, error, self.service.session_number)
        except Exception as error:
            # A fault of this program that one request triggers must not end the session, nor anyone else's.
            self.service.log_failure(error)
            failure = ManagementError(ErrorTag.OPERATION_FAILED, "the coordinator failed at it, see its log")
            replace_by_error(reply, failure, self.service.session_number)
        if self.transport.end_reason is None:
            self._send(reply)
            last = rpc[0] if len(rpc) else rpc
            if self._open and local_name(last) == CLOSE_SESSION:
                self._finish("closed by the client")

    def _perform(self, rpc: Element, reply: Element) -> Steps:
        """The steps of one rpc's operation, which fills the reply."""
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
        handler = HANDLERS.get((namespace_of(operation), local_name(operation)))
        if handler is None:
            reason = f"there is no operation {local_name(operation)!r:.40}"
            raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, reason)
        steps = handler(self.context, operation, reply)
        if steps is not None:
            yield from steps
        if not len(reply):
            add_ok(reply)
