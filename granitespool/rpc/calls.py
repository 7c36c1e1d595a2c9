"""gRPC calls over one HTTP/2 connection: framing of messages, deadlines, cancellation, status; no I/O.

A method is a function of a Call that gives a generator: it yields now and then, and is resumed while the
call is open, there is room for more, and it says by `call.idle` that it does not only wait. A status other
than OK is raised as Status. Method names are "package.Service/Method"."""

import re
from urllib.parse import quote

from h2.errors import ErrorCodes

MESSAGE_MOST = 1 << 20  # bytes of a message that a client may send
INBOX_MOST = 64  # messages of a call that wait for its method
UNITS = {
    "H": 3600 * 10**9,
    "M": 60 * 10**9,
    "S": 10**9,
    "m": 10**6,
    "u": 10**3,
    "n": 1,
}  # of grpc-timeout, ns
TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")

OK, CANCELLED, INVALID_ARGUMENT, DEADLINE_EXCEEDED, NOT_FOUND = 0, 1, 3, 4, 5
ALREADY_EXISTS, PERMISSION_DENIED, RESOURCE_EXHAUSTED, FAILED_PRECONDITION, ABORTED = 6, 7, 8, 9, 10
UNIMPLEMENTED, INTERNAL, UNAVAILABLE = 12, 13, 14


class Status(Exception):
    """How a call ends, when not well: a status code and one sentence."""

    def __init__(self, code, why):
        super().__init__(why)
        self.code, self.why = code, why


class Call:
    """One call: `inbox` holds whole messages not taken yet, `ended` that no more will come."""

    def __init__(self, calls, stream, due):
        self.calls, self.stream, self.due = calls, stream, due
        self.buffer, self.inbox, self.ended = bytearray(), [], False
        self.run, self.idle, self.wakes, self.begun = None, False, None, False

    def send(self, message):
        """A message's bytes to the client."""
        self._begin()
        self.calls.http2.send(self.stream, b"\0" + len(message).to_bytes(4, "big") + message)

    def _begin(self):
        if not self.begun:
            self.begun = True
            self.calls.http2.headers(self.stream, [(":status", "200"), ("content-type", "application/grpc")])

    def finish(self, code=OK, why=""):
        status = [("grpc-status", str(code))]
        if why:
            status.append(("grpc-message", quote(why, safe=" !#$&'()*+,-./:;<=>?@[]^_`{|}~\"")))
        if self.begun:
            self.calls.http2.finish(self.stream, status)
        else:
            self.calls.http2.headers(
                self.stream, [(":status", "200"), ("content-type", "application/grpc"), *status], end=True
            )
        self.calls.forget(self)

    def wake(self):
        """Something came that the method may wait for."""
        self.idle = False
        self.calls.woken()

    def taken(self, data):
        """Bytes of the request's body; ends in Status where they are no messages."""
        self.buffer += data
        while len(self.buffer) >= 5:
            size = int.from_bytes(self.buffer[1:5], "big")
            if self.buffer[0]:
                raise Status(UNIMPLEMENTED, "compressed messages are not taken")
            if size > MESSAGE_MOST:
                raise Status(RESOURCE_EXHAUSTED, f"a message of {size} bytes is over {MESSAGE_MOST}")
            if len(self.buffer) < 5 + size:
                return
            if len(self.inbox) >= INBOX_MOST:
                raise Status(RESOURCE_EXHAUSTED, f"over {INBOX_MOST} messages wait")
            self.inbox.append(bytes(self.buffer[5 : 5 + size]))
            del self.buffer[: 5 + size]


class Calls:
    """The calls of one connection. `methods`: {name: function of a Call}; `failed(error)` hears of faults of
    ours, `woken()` that a call can go on; `now()` is the time in ns."""

    def __init__(self, methods, now, failed, woken):
        self.methods, self.now, self.failed, self.woken = methods, now, failed, woken
        self.http2, self.open = None, {}

    # What HTTP/2 tells

    def opened(self, stream, headers):
        call = self.open[stream] = Call(self, stream, None)
        try:
            kind = headers.get("content-type", "")
            if headers.get(":method") != "POST" or not kind.startswith("application/grpc"):
                self.open.pop(stream)
                return self.http2.headers(stream, [(":status", "415")], end=True)
            call.due = self._due(headers.get("grpc-timeout"))
            method = self.methods.get(headers.get(":path", "")[1:])
            if method is None:
                raise Status(UNIMPLEMENTED, f"there is no method {headers.get(':path', '')!r:.100}")
            call.run = method(call)
        except Status as status:
            call.finish(status.code, status.why)
        return None

    def _due(self, text):
        if text is None:
            return None
        match = TIMEOUT.fullmatch(text)
        if not match:
            raise Status(INVALID_ARGUMENT, f"grpc-timeout is {text!r:.40}")
        return self.now() + int(match[1]) * UNITS[match[2]]

    def data(self, stream, data):
        call = self.open.get(stream)
        if call is not None:
            try:
                call.taken(data)
                call.wake()
            except Status as status:
                self._stop(call, status)

    def ended(self, stream):
        call = self.open.get(stream)
        if call is not None:
            call.ended = True
            if call.buffer:
                return self._stop(call, Status(INVALID_ARGUMENT, "a message ends within itself"))
            call.wake()
        return None

    def reset(self, stream):
        call = self.open.get(stream)
        if call is not None:
            self.forget(call)

    # Work and time

    @property
    def busy(self):
        return any(self._can(call) for call in self.open.values())

    def _can(self, call):
        return not call.idle and self.http2.room(call.stream)

    def work(self):
        """One step of one call; calls take turns."""
        call = next((each for each in self.open.values() if self._can(each)), None)
        if call is None:
            return
        self.open[call.stream] = self.open.pop(call.stream)  # to the end of the turn order
        try:
            next(call.run)
        except StopIteration:
            if call.stream in self.open:
                call.finish()
        except Status as status:
            self._stop(call, status)
        except Exception as error:
            # Against a fault of ours that some request wakes: it costs that call alone.
            self.failed(error)
            self._stop(call, Status(INTERNAL, "the coordinator failed at it, see its log"))

    def due(self):
        dues = [due for call in self.open.values() for due in (call.due, call.wakes) if due is not None]
        return min(dues, default=None)

    def tick(self, now):
        for call in list(self.open.values()):
            if call.due is not None and now >= call.due:
                self._stop(call, Status(DEADLINE_EXCEEDED, "the call's deadline has passed"))
            elif call.wakes is not None and now >= call.wakes:
                call.wakes, call.idle = None, False

    def _stop(self, call, status):
        unread = not call.ended
        call.finish(status.code, status.why)
        if unread and call.stream not in self.http2.queued:  # what the client still sends is of no use
            self.http2.reset(call.stream, ErrorCodes.NO_ERROR)

    def forget(self, call):
        """The one place where a call goes."""
        self.open.pop(call.stream, None)
        if call.run is not None and not call.run.gi_running:
            call.run.close()

    def close(self):
        for call in list(self.open.values()):
            self.forget(call)
