"""Stand-ins of proxies: each keeps a stream to a coordinator, applies its messages and acknowledges them.

A coordinator's messages pass a stand-in of the channel; the proxy applies a message once the channel has
delivered it.
"""

import socket
from collections import deque
from collections.abc import Callable, Container
from random import Random
from typing import Any, NamedTuple

import msgspec

from granitespool.errors import InvalidInputError
from granitespool.net.buffers import BufferPool
from granitespool.net.client import dial, send
from granitespool.net.frames import LENGTH_SIZE, MESSAGE_MAX, Reader, frame
from granitespool.net.loop import IN, Loop, Task
from granitespool.scale.coordinator_endpoint import CoordinatorEndpoint
from granitespool.scale.coroutines import Wait
from granitespool.scale.proxy_message import IncomingMessage
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Proxies
from granitespool.scale.trace import MessageWritten, ProxyJoined, ProxyLeft, TableHeld, UpdateReceived
from granitespool.simulation.proxy_table import ProxyTable
from granitespool.units import MILLISECOND, SECOND

DIAL_TIMEOUT = SECOND  # ns for a connection to be established
USAGE_INTERVAL = SECOND  # ns between usage reports
APPLY_TIME = 5 * MILLISECOND  # ns that a proxy needs to apply a delivered message
BUFFERS = 1 << 16  # buffers of a stream's reader


class _Arrival(msgspec.Struct, frozen=True):
    """A complete message that the channel has not delivered yet."""

    acts_at: int  # ns when the proxy applies it
    received_at: int  # ns
    message: IncomingMessage


class RedialDelay(NamedTuple):
    """The time (ns) from the end of a stream to the next attempt to connect is drawn from this range."""

    shortest: int
    longest: int

    @classmethod
    def of(cls, proxies: Proxies) -> "RedialDelay":
        """Return the range that a scenario has for its proxies."""
        return cls(int(proxies.redial_min_s * SECOND), int(proxies.redial_max_s * SECOND))


class ProxyStream:
    """One proxy and its current stream."""

    def __init__(
        self,
        loop: Loop,
        recorder: Recorder,
        table: ProxyTable,
        home: CoordinatorEndpoint,
        known_backends: Container[str],
        random: Random,
        redial_delay: RedialDelay,
    ) -> None:
        """Create a proxy, which connects to `home`.

        `known_backends` are all that discovery has ever listed; a message with any other backend is an error.
        """
        self.loop = loop
        self.recorder = recorder
        self.table = table
        self.endpoint = home
        self.known_backends = known_backends
        self.random = random
        self.redial_delay = redial_delay
        self.rate = 0.0  # requests a second
        self.classes: tuple[str, ...] = ()
        self.without_table = True  # whether the proxy still waits for its first table
        self.resets = 0  # streams that the proxy closed because of a malformed message
        self.joined = False
        self.weighted_at: dict[str, int] = {}  # backend -> ns when the proxy last received its weight
        self.on_applied: Callable[[ProxyStream], None] = _ignore
        self.half_open: list[socket.socket] = []  # sockets that a cut has left open
        self.sock: socket.socket | None = None
        self.task: Task = loop.spawn(self._run())

    @property
    def number(self) -> int:
        """The number that identifies the proxy."""
        return self.table.number

    def move(self, endpoint: CoordinatorEndpoint, leave_open: bool = False) -> None:
        """Connect to another coordinator; `leave_open` keeps the old socket open, as a network cut does."""
        self.loop.end(self.task)
        if leave_open and self.sock is not None:
            self.half_open.append(self.sock)
        elif self.sock is not None:
            self.sock.close()
        self.sock = None
        self.endpoint = endpoint
        self.task = self.loop.spawn(self._run())

    def heal(self) -> None:
        """Close the sockets that a cut had left open."""
        while self.half_open:
            self.half_open.pop().close()

    def close(self) -> None:
        """Stop the proxy."""
        self.loop.end(self.task)
        self.heal()
        if self.sock is not None:
            self.sock.close()

    # Streams

    def _run(self) -> Wait:
        yield None, 0, self.loop.now + int(self.random.random() * self.redial_delay.shortest)
        while True:
            yield from self._connect(self.endpoint)
            if self.sock is not None:
                self.sock.close()
                self.sock = None
            if self.endpoint.down:
                self.endpoint = self.endpoint.successor()
            yield None, 0, self.loop.now + int(self.random.uniform(*self.redial_delay))

    def _connect(self, endpoint: CoordinatorEndpoint) -> Wait:
        """Run one stream until it ends, and record its end."""
        by_coordinator = False
        try:
            yield from self._stream(endpoint)
            by_coordinator = True  # the coordinator has closed the stream
        except InvalidInputError:
            self.resets += 1
            by_coordinator = True
        except OSError:
            by_coordinator = self.joined
        finally:
            if self.joined:
                self._record_end(endpoint, by_coordinator and not endpoint.down)

    def _record_end(self, endpoint: CoordinatorEndpoint, by_coordinator: bool) -> None:
        self.joined = False
        self.recorder.add(
            ProxyLeft(
                at=self.loop.clock(),
                proxy=self.number,
                coordinator=endpoint.name,
                by_coordinator=by_coordinator,
            )
        )

    def _stream(self, endpoint: CoordinatorEndpoint) -> Wait:
        self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        yield from dial(sock, endpoint.address, self.loop.now + DIAL_TIMEOUT)
        joined_message = self._joined_message()
        yield from send(sock, joined_message, self.loop.now + DIAL_TIMEOUT)
        endpoint.recorder.count(endpoint.name, "in", "joined", len(joined_message))
        self._record_table()
        self.joined = True
        self.recorder.add(ProxyJoined(at=self.loop.clock(), proxy=self.number, coordinator=endpoint.name))
        reader = Reader(BufferPool(BUFFERS), MESSAGE_MAX)
        try:
            yield from self._serve(sock, endpoint, reader)
        finally:
            reader.close()

    def _joined_message(self) -> bytes:
        return frame(
            {
                "type": "joined",
                "node": self.number,
                "locality": self.table.zone,
                "w": self.rate,
                "cold": self.without_table,
            }
        )

    def _record_table(self) -> None:
        excluded = frozenset(self.table.excluded)
        self.recorder.add(
            TableHeld(
                at=self.loop.clock(),
                proxy=self.number,
                weights=self.table.positive_weights(),
                excluded=excluded,
            )
        )

    def _serve(self, sock: socket.socket, endpoint: CoordinatorEndpoint, reader: Reader) -> Wait:
        message = IncomingMessage()
        arrivals: deque[_Arrival] = deque()
        usage_due = self.loop.now + int(self.random.random() * USAGE_INTERVAL)
        while True:
            due = min(usage_due, arrivals[0].acts_at) if arrivals else usage_due
            events = yield sock.fileno(), IN, due
            while arrivals and arrivals[0].acts_at <= self.loop.now:
                yield from self._apply(sock, endpoint, arrivals.popleft())
            if self.loop.now >= usage_due:
                usage_due += USAGE_INTERVAL
                yield from self._report_usage(sock, endpoint)
            if not events:
                continue
            view = reader.free_space()
            assert view is not None, "the pool has to hold the largest message"
            size = sock.recv_into(view)
            if not size:
                return
            reader.received(size)
            message = self._take_parts(endpoint, reader, message, arrivals)

    # Messages

    def _take_parts(
        self,
        endpoint: CoordinatorEndpoint,
        reader: Reader,
        message: IncomingMessage,
        arrivals: deque[_Arrival],
    ) -> IncomingMessage:
        """Add the parts that were read; return the message that the next part belongs to."""
        before = reader.available
        for part in reader.messages():
            size = before - reader.available
            before = reader.available
            endpoint.recorder.count(endpoint.name, "out", str(part["type"]), size)
            if part["type"] != "update":
                continue
            message.add(part, size)
            if not part.get("more"):
                arrivals.append(self._complete(endpoint, message))
                message = IncomingMessage()
        return message

    def _complete(self, endpoint: CoordinatorEndpoint, message: IncomingMessage) -> _Arrival:
        """Record a complete message and queue it in the channel."""
        for name in message.backends():
            if name not in self.known_backends:
                raise InvalidInputError(f"a message contains the unknown backend {name!r:.40}")
        now = self.loop.clock()
        self.recorder.add(
            MessageWritten(
                at=now,
                coordinator=endpoint.name,
                proxy=self.number,
                entries=message.entries,
                parts=len(message.sizes),
                largest_part=max(message.sizes) - LENGTH_SIZE,
            )
        )
        received = UpdateReceived(at=now, proxy=self.number, parts=tuple(message.sizes))
        self.recorder.add_update(endpoint.name, received)
        return _Arrival(endpoint.channel.enqueue(now, message.entries) + APPLY_TIME, now, message)

    def _apply(self, sock: socket.socket, endpoint: CoordinatorEndpoint, arrival: _Arrival) -> Wait:
        message = arrival.message
        self.table.apply(message.update())
        now = self.loop.clock()
        self.weighted_at.update((name, now) for name in message.weighted_backends())
        self.without_table = self.without_table and not message.weights
        if message.changes_table:
            self._record_table()
            self.on_applied(self)
        if message.barrier is not None:
            latency = (self.loop.clock() - arrival.received_at) / MILLISECOND
            yield from self._acknowledge(sock, endpoint, message.barrier, latency)

    def _acknowledge(
        self, sock: socket.socket, endpoint: CoordinatorEndpoint, barrier: int, latency_ms: float
    ) -> Wait:
        fields: dict[str, Any] = {
            "type": "applied",
            "node": self.number,
            "nonce": barrier,
            "latency": latency_ms,
        }
        acknowledgement = frame(fields)
        yield from send(sock, acknowledgement, None)
        endpoint.recorder.count(endpoint.name, "in", "applied", len(acknowledgement))

    def _report_usage(self, sock: socket.socket, endpoint: CoordinatorEndpoint) -> Wait:
        if not endpoint.reports_enabled or not self.classes:
            return
        mean = self.rate / len(self.classes)
        reports = b"".join(self._usage(name, mean) for name in self.classes)
        yield from send(sock, reports, None)
        endpoint.recorder.count(endpoint.name, "in", "usage", len(reports), len(self.classes))

    def _usage(self, class_name: str, mean: float) -> bytes:
        return frame(
            {
                "type": "usage",
                "node": self.number,
                "route": class_name,
                "total": int(mean) + (self.random.random() < mean % 1),
                "errors": 0,
                "interval": USAGE_INTERVAL / MILLISECOND,
            }
        )


def _ignore(_: ProxyStream) -> None:
    """Ignore an applied message; the default of `on_applied`."""
