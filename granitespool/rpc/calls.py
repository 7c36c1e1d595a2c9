"""gRPC calls over one HTTP/2 connection: messages, deadlines, cancellation, statuses; no I/O.

A method is a function that takes a Call and returns a generator. The generator is resumed while the call is
open, its stream's queue has room, and the call is not waiting. A waiting call is resumed after `wake` or
when `wake_at` has passed. A method ends a call with a status other than OK by raising StatusError.
"""

import inspect
import re
from collections.abc import Callable, Generator, Mapping
from typing import TypeAlias
from urllib.parse import quote

from h2.errors import ErrorCodes

from granitespool.rpc.errors import StatusCode, StatusError
from granitespool.rpc.http2 import Headers, Http2Connection

MAX_MESSAGE_BYTES = 1 << 20  # the longest accepted message from a client
MAX_INBOX_MESSAGES = 64  # messages of a call that wait for its method
PREFIX_BYTES = 5  # the prefix of a message: one byte of flags, four bytes of length
TIMEOUT_UNITS = {
    "H": 3600 * 10**9,
    "M": 60 * 10**9,
    "S": 10**9,
    "m": 10**6,
    "u": 10**3,
    "n": 1,
}  # unit of the grpc-timeout header -> ns
TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")
SAFE_IN_MESSAGE = " !#$&'()*+,-./:;<=>?@[]^_`{|}~\""  # characters that grpc-message contains unescaped
RESPONSE_HEADERS = ((":status", "200"), ("content-type", "application/grpc"))

Steps: TypeAlias = Generator[None, None, None]
Method: TypeAlias = "Callable[[Call], Steps]"


class Call:
    """One gRPC call.

    `inbox` holds the messages that the method has not processed. `is_half_closed` is whether the client has
    sent its last message, `is_waiting` whether the method waits for `wake` or `wake_at`. `deadline` and
    `wake_at` are times in ns, None for never.
    """

    def __init__(self, calls: "Calls", stream: int) -> None:
        self.calls = calls
        self.stream = stream
        self.deadline: int | None = None
        self.wake_at: int | None = None
        self.is_waiting = False
        self.is_half_closed = False
        self.inbox: list[bytes] = []
        self.steps: Steps | None = None
        self._received = bytearray()
        self._headers_sent = False

    @property
    def has_partial_message(self) -> bool:
        """Whether the bytes received so far end within a message."""
        return bool(self._received)

    def send(self, message: bytes) -> None:
        """Send a message to the client."""
        if not self._headers_sent:
            self._headers_sent = True
            self.calls.http2.send_headers(self.stream, RESPONSE_HEADERS)
        self.calls.http2.send(self.stream, b"\0" + len(message).to_bytes(4, "big") + message)

    def finish(self, code: StatusCode = StatusCode.OK, reason: str = "") -> None:
        """End the call with a status after the messages that were sent."""
        status = [("grpc-status", str(code.value))]
        if reason:
            status.append(("grpc-message", quote(reason, safe=SAFE_IN_MESSAGE)))
        if self._headers_sent:
            self.calls.http2.finish(self.stream, status)
        else:
            self.calls.http2.send_headers(self.stream, (*RESPONSE_HEADERS, *status), end=True)
        self.calls.remove(self)

    def wake(self) -> None:
        """Resume the method if it is waiting."""
        self.is_waiting = False
        self.calls.on_wake()

    def receive(self, data: bytes) -> None:
        """Append bytes of the request's body, and put complete messages into the inbox.

        Raises:
            StatusError: a message is compressed or too long, or the inbox is full.
        """
        self._received += data
        while len(self._received) >= PREFIX_BYTES:
            size = self._message_size()
            end = PREFIX_BYTES + size
            if len(self._received) < end:
                return
            if len(self.inbox) >= MAX_INBOX_MESSAGES:
                reason = f"more than {MAX_INBOX_MESSAGES} messages of the call wait to be processed"
                raise StatusError(StatusCode.RESOURCE_EXHAUSTED, reason)
            self.inbox.append(bytes(self._received[PREFIX_BYTES:end]))
            del self._received[:end]

    def _message_size(self) -> int:
        size = int.from_bytes(self._received[1:PREFIX_BYTES], "big")
        if self._received[0]:
            raise StatusError(StatusCode.UNIMPLEMENTED, "compressed messages are not supported")
        if size > MAX_MESSAGE_BYTES:
            reason = f"a message of {size} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
            raise StatusError(StatusCode.RESOURCE_EXHAUSTED, reason)
        return size


class Calls:
    """The calls of one connection.

    Args:
        methods: the methods by "package.Service/Method".
        now: returns the time in ns.
        on_failure: called with internal errors of this program.
        on_wake: called when a call can be resumed.
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
        self.open: dict[int, Call] = {}  # stream -> call, in the order in which the calls are resumed

    # Events of the HTTP/2 connection

    def on_request(self, stream: int, headers: Headers) -> None:
        """Start the call of a new request."""
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
        """Pass bytes of a request's body to its call."""
        call = self.open.get(stream)
        if call is None:
            return
        try:
            call.receive(data)
            call.wake()
        except StatusError as error:
            self._stop(call, error)

    def on_end(self, stream: int) -> None:
        """Record that a request's body is complete."""
        call = self.open.get(stream)
        if call is None:
            return
        call.is_half_closed = True
        if call.has_partial_message:
            self._stop(call, StatusError(StatusCode.INVALID_ARGUMENT, "the request ends within a message"))
        else:
            call.wake()

    def on_reset(self, stream: int) -> None:
        """Remove a call that the client has cancelled."""
        call = self.open.get(stream)
        if call is not None:
            self.remove(call)

    # Execution and timers

    @property
    def has_work(self) -> bool:
        """Whether `work` has something to do now."""
        return any(self._can_resume(call) for call in self.open.values())

    def _can_resume(self, call: Call) -> bool:
        return not call.is_waiting and self.http2.has_room(call.stream)

    def work(self) -> None:
        """Do one step of one call; calls take turns."""
        call = next((candidate for candidate in self.open.values() if self._can_resume(candidate)), None)
        if call is None or call.steps is None:
            return
        self.open[call.stream] = self.open.pop(call.stream)  # move the call to the end of the order
        try:
            next(call.steps)
        except StopIteration:
            if call.stream in self.open:
                call.finish()
        except StatusError as error:
            self._stop(call, error)
        except Exception as error:
            # An internal error that a request triggers must end only that call.
            self.on_failure(error)
            self._stop(
                call, StatusError(StatusCode.INTERNAL, "an internal error of the coordinator, see its log")
            )

    def next_deadline(self) -> int | None:
        """Return the time in ns by which `tick` must be called, None without a timer."""
        times = [time for call in self.open.values() for time in (call.deadline, call.wake_at)]
        return min((time for time in times if time is not None), default=None)

    def tick(self, now: int) -> None:
        """End calls whose deadline has passed, and resume calls whose wait has ended at `now` (ns)."""
        for call in list(self.open.values()):
            if call.deadline is not None and now >= call.deadline:
                reason = "the call's deadline has passed"
                self._stop(call, StatusError(StatusCode.DEADLINE_EXCEEDED, reason))
            elif call.wake_at is not None and now >= call.wake_at:
                call.wake_at = None
                call.is_waiting = False

    def _stop(self, call: Call, error: StatusError) -> None:
        is_unread = not call.is_half_closed
        call.finish(error.code, error.reason)
        if is_unread and call.stream not in self.http2.queued:
            # The rest of the request is not needed any more.
            self.http2.reset(call.stream, ErrorCodes.NO_ERROR)

    def remove(self, call: Call) -> None:
        """Remove a call and close its generator; every call ends here."""
        self.open.pop(call.stream, None)
        if call.steps is not None and inspect.getgeneratorstate(call.steps) != inspect.GEN_RUNNING:
            call.steps.close()

    def close(self) -> None:
        """Remove all calls; the connection has ended."""
        for call in list(self.open.values()):
            self.remove(call)
