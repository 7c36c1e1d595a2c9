"""gRPC calls over one HTTP/2 connection: messages, deadlines, cancellation, statuses; no I/O.

A method is a function of a Call that gives a generator. It is resumed as long as the call is open, its
stream has room for more, and it is not `waiting`; a call that waits is resumed once something came for it or
`wake_at` is past. A status other than OK is raised as StatusError."""

import inspect
import re
from collections.abc import Callable, Generator, Mapping
from typing import TypeAlias
from urllib.parse import quote

from h2.errors import ErrorCodes

from granitespool.rpc.errors import StatusCode, StatusError
from granitespool.rpc.http2 import Headers, Http2Connection

MAX_MESSAGE_BYTES = 1 << 20  # of a message that a client may send
MAX_INBOX_MESSAGES = 64  # messages of a call that wait for its method
PREFIX_BYTES = 5  # of a message: one of flags, four of its length
TIMEOUT_UNITS = {
    "H": 3600 * 10**9,
    "M": 60 * 10**9,
    "S": 10**9,
    "m": 10**6,
    "u": 10**3,
    "n": 1,
}  # of the header grpc-timeout, ns
TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")
SAFE_IN_MESSAGE = " !#$&'()*+,-./:;<=>?@[]^_`{|}~\""  # what grpc-message holds as it is
RESPONSE_HEADERS = ((":status", "200"), ("content-type", "application/grpc"))

Steps: TypeAlias = Generator[None, None, None]
Method: TypeAlias = "Callable[[Call], Steps]"


class Call:
    """One call: `inbox` holds the messages that its method has not taken, `ended` is whether more may come.

    `deadline` and `wake_at` are times in ns, None for never."""

    def __init__(self, calls: "Calls", stream: int) -> None:
        self.calls = calls
        self.stream = stream
        self.deadline: int | None = None
        self.wake_at: int | None = None
        self.waiting = False
        self.ended = False
        self.inbox: list[bytes] = []
        self.steps: Steps | None = None
        self._received = bytearray()
        self._headers_sent = False

    @property
    def has_partial_message(self) -> bool:
        """Whether the bytes so far end within a message."""
        return bool(self._received)

    def send(self, message: bytes) -> None:
        """Sends a message to the client."""
        if not self._headers_sent:
            self._headers_sent = True
            self.calls.http2.send_headers(self.stream, RESPONSE_HEADERS)
        self.calls.http2.send(self.stream, b"\0" + len(message).to_bytes(4, "big") + message)

    def finish(self, code: StatusCode = StatusCode.OK, reason: str = "") -> None:
        """Ends the call with a status, after what was sent."""
        status = [("grpc-status", str(code.value))]
        if reason:
            status.append(("grpc-message", quote(reason, safe=SAFE_IN_MESSAGE)))
        if self._headers_sent:
            self.calls.http2.finish(self.stream, status)
        else:
            self.calls.http2.send_headers(self.stream, (*RESPONSE_HEADERS, *status), end=True)
        self.calls.remove(self)

    def wake(self) -> None:
        """Something came that the method may wait for."""
        self.waiting = False
        self.calls.on_wake()

    def receive(self, data: bytes) -> None:
        """Takes bytes of the request's body.

        Raises:
            StatusError: they are no messages that are taken.
        """
        self._received += data
        while len(self._received) >= PREFIX_BYTES:
            size = self._message_size()
            end = PREFIX_BYTES + size
            if len(self._received) < end:
                return
            if len(self.inbox) >= MAX_INBOX_MESSAGES:
                reason = f"over {MAX_INBOX_MESSAGES} messages wait"
                raise StatusError(StatusCode.RESOURCE_EXHAUSTED, reason)
            self.inbox.append(bytes(self._received[PREFIX_BYTES:end]))
            del self._received[:end]

    def _message_size(self) -> int:
        size = int.from_bytes(self._received[1:PREFIX_BYTES], "big")
        if self._received[0]:
            raise StatusError(StatusCode.UNIMPLEMENTED, "compressed messages are not taken")
        if size > MAX_MESSAGE_BYTES:
            reason = f"a message of {size} bytes is over {MAX_MESSAGE_BYTES}"
            raise StatusError(StatusCode.RESOURCE_EXHAUSTED, reason)
        return size


class Calls:
    """The calls of one connection.

    Args:
        methods: by "package.Service/Method".
        now: gives the time in ns.
        on_failure: is called with faults of this program.
        on_wake: is called when a call can go on.
    """

    def __init__(
        self,
        methods: Mapping[str, Method],
        now: Callable[[], int],
        on_failure: Callable[[Exception], None],
        on_wake: Callable[[], None],
    ) -> None:
        self.methods = methods
        self.now = now
        self.on_failure = on_failure
        self.on_wake = on_wake
        self.http2: Http2Connection
        self.open: dict[int, Call] = {}  # by stream, in the order of their turns

    # What the HTTP/2 connection tells

    def on_request(self, stream: int, headers: Headers) -> None:
        """A request has begun."""
        content_type = headers.get("content-type", "")
        if headers.get(":method") != "POST" or not content_type.startswith("application/grpc"):
            self.http2.send_headers(stream, [(":status", "415")], end=True)
            return
        call = self.open[stream] = Call(self, stream)
        try:
            call.deadline = self._deadline(headers.get("grpc-timeout"))
            call.steps = self._method(headers.get(":path", ""))(call)
        except StatusError as error:
            call.finish(error.code, error.reason)

    def _deadline(self, timeout: str | None) -> int | None:
        if timeout is None:
            return None
        match = TIMEOUT.fullmatch(timeout)
        if not match:
            raise StatusError(StatusCode.INVALID_ARGUMENT, f"grpc-timeout is {timeout!r:.40}")
        return self.now() + int(match[1]) * TIMEOUT_UNITS[match[2]]

    def _method(self, path: str) -> Method:
        method = self.methods.get(path[1:])
        if method is None:
            raise StatusError(StatusCode.UNIMPLEMENTED, f"there is no method {path!r:.100}")
        return method

    def on_data(self, stream: int, data: bytes) -> None:
        """Bytes of a request's body came."""
        call = self.open.get(stream)
        if call is None:
            return
        try:
            call.receive(data)
            call.wake()
        except StatusError as error:
            self._stop(call, error)

    def on_end(self, stream: int) -> None:
        """A request's body is complete."""
        call = self.open.get(stream)
        if call is None:
            return
        call.ended = True
        if call.has_partial_message:
            self._stop(call, StatusError(StatusCode.INVALID_ARGUMENT, "a message ends within itself"))
        else:
            call.wake()

    def on_reset(self, stream: int) -> None:
        """The client has cancelled a call."""
        call = self.open.get(stream)
        if call is not None:
            self.remove(call)

    # Work and time

    @property
    def has_work(self) -> bool:
        """Whether `work` has something to do."""
        return any(self._can_go_on(call) for call in self.open.values())

    def _can_go_on(self, call: Call) -> bool:
        return not call.waiting and self.http2.has_room(call.stream)

    def work(self) -> None:
        """One step of one call; calls take turns."""
        call = next((each for each in self.open.values() if self._can_go_on(each)), None)
        if call is None or call.steps is None:
            return
        self.open[call.stream] = self.open.pop(call.stream)  # to the end of the order
        try:
            next(call.steps)
        except StopIteration:
            if call.stream in self.open:
                call.finish()
        except StatusError as error:
            self._stop(call, error)
        except Exception as error:
            # A fault of this program that one request triggers must cost that call alone.
            self.on_failure(error)
            self._stop(call, StatusError(StatusCode.INTERNAL, "the coordinator failed at it, see its log"))

    def next_deadline(self) -> int | None:
        """When `tick` is to be called at the latest, None for never."""
        times = [time for call in self.open.values() for time in (call.deadline, call.wake_at)]
        return min((time for time in times if time is not None), default=None)

    def tick(self, now: int) -> None:
        """Ends calls whose deadline has passed, and resumes those that waited until now."""
        for call in list(self.open.values()):
            if call.deadline is not None and now >= call.deadline:
                reason = "the call's deadline has passed"
                self._stop(call, StatusError(StatusCode.DEADLINE_EXCEEDED, reason))
            elif call.wake_at is not None and now >= call.wake_at:
                call.wake_at = None
                call.waiting = False

    def _stop(self, call: Call, error: StatusError) -> None:
        is_unread = not call.ended
        call.finish(error.code, error.reason)
        if is_unread and call.stream not in self.http2.queued:
            # What the client still sends is of no use.
            self.http2.reset(call.stream, ErrorCodes.NO_ERROR)

    def remove(self, call: Call) -> None:
        """The one place where a call is dropped."""
        self.open.pop(call.stream, None)
        if call.steps is not None and inspect.getgeneratorstate(call.steps) != inspect.GEN_RUNNING:
            call.steps.close()

    def close(self) -> None:
        """The connection has ended."""
        for call in list(self.open.values()):
            self.remove(call)
