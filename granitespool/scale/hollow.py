"""A hollow coordinator: the outer work of one, without its decisions, so that many fit into one process.

It watches discovery's list as a real one does (`granitespool.net.discovery`), listens for proxies and
collectors, reads and counts what they send, and writes its proxies messages of the sizes and at the rates of
a `Profile`, which was measured from a real coordinator. Its messages are the protocol's: a proxy can read and
apply them, and is asked for an answer; spaces after the JSON object bring a message to its measured size.

What it never does: it probes nobody, sends no datagrams, weighs no backend and drops no stranger.

Each socket has one owner: the listener and each connection their coroutine, which closes it in its `finally`,
the watch's socket `Discovery`. Times are whole nanoseconds on the loop's clock.
"""

import errno
import socket
import sys
from collections.abc import Iterable, Iterator
from itertools import islice
from random import Random
from typing import Literal

import msgspec
import orjson

from granitespool.errors import InvalidInputError
from granitespool.fields import required_number
from granitespool.net.buffers import Pool
from granitespool.net.discovery import Discovery
from granitespool.net.frames import HEAD, LARGEST, PONG, UNTYPED, Reader
from granitespool.net.loop import IN, OUT, SECOND, Loop, Task
from granitespool.planner.events import EndpointListUpdate, ListForm
from granitespool.scale.trace import BackendTold, Event, ProxyJoined, ProxyLeft

LOOPBACK = "127.0.0.1"
BACKLOG = 4096  # connections that the system holds for one coordinator
ACCEPTS = 64  # connections taken in one turn
BUFFERS = 1024  # receive buffers of one coordinator at most: 16 MiB
FULL_WAIT = SECOND // 50  # ns between accepts while no descriptor is free
LINE_LEAST = 8  # bytes of a line of a table at least
READ_MOST = 256 * 1024  # bytes read from one connection in one turn
FLUSH_TIME = SECOND // 20  # ns from the first message of a flush to its last
CHANGE_TIME = SECOND  # ns after a change of the list in which a proxy's next message belongs to it
TICKETS = 65536  # marks are whole numbers under this
ANYONE = ""  # stands for all names in a watch that keeps none
NOTHING_KNOWN = {"index": 0, "endpoints": []}  # the list of a configuration that names nobody

ReceivedKind = Literal[
    "ping", "joined", "collector", "heard", "usage", "applied", "other", "unreadable", "list"
]
SentKind = Literal["pong", "update"]
READ_KINDS = frozenset(("ping", "joined", "collector", "heard", "usage", "applied"))


class Traffic(msgspec.Struct):
    """Messages of one kind and their bytes, lengths before the bodies and line ends counted."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """One more message of so many bytes."""
        self.messages += 1
        self.bytes += size


class Counts(msgspec.Struct):
    """What one coordinator has received and sent, by kind; empty lines of the watch are not counted.

    `list` is one line of the watch; `update` is one whole message to a proxy, whatever its parts.
    """

    received: dict[ReceivedKind, Traffic] = msgspec.field(default_factory=dict)
    sent: dict[SentKind, Traffic] = msgspec.field(default_factory=dict)
    watches_ended: int = 0  # watches that ended, and diallings that failed

    def add_received(self, kind: ReceivedKind, size: int) -> None:
        """One more message came, of so many bytes."""
        self.received.setdefault(kind, Traffic()).add(size)

    def add_sent(self, kind: SentKind, size: int) -> None:
        """One more message was written, of so many bytes."""
        self.sent.setdefault(kind, Traffic()).add(size)


class UpdateSeen(Event, frozen=True, kw_only=True):
    """A proxy has received one whole message."""

    proxy: int
    parts: tuple[int, ...]  # bytes of each part, the length before it counted


class MessageProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Messages of one kind: what each occasion brought, in order; played round and round.

    An occasion is a joining, or a change of the list for one proxy. Each has the bytes of the message's
    parts, or None where nothing was written.
    """

    occasions: tuple[tuple[int, ...] | None, ...] = ()

    @property
    def rate(self) -> float:
        """Messages an occasion."""
        written = sum(parts is not None for parts in self.occasions)
        return written / len(self.occasions) if self.occasions else 0.0

    def parts(self, occasion: int) -> tuple[int, ...] | None:
        """Bytes of the parts that this occasion (counted from 0) brings; None: no message."""
        return self.occasions[occasion % len(self.occasions)] if self.occasions else None


class Flush(msgspec.Struct, frozen=True, kw_only=True):
    """One time at which a coordinator wrote its proxies what had changed with time."""

    offset: int  # ns after the first joining
    messages: tuple[tuple[int, ...] | None, ...]  # by proxies in order of joining; bytes of the parts


class RefreshProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Messages that come without a joining or a change of the list: by time alone, played round and round."""

    period: int = 0  # ns that the flushes are of
    proxy_time: int = 0  # ns of the period, summed over joined proxies
    flushes: tuple[Flush, ...] = ()

    @property
    def rate(self) -> float:
        """Messages a second to one proxy."""
        written = sum(parts is not None for flush in self.flushes for parts in flush.messages)
        return written * SECOND / self.proxy_time if self.proxy_time else 0.0

    def due(self, number: int) -> int:
        """When this flush (counted from 0) is due, in ns after the first joining."""
        rounds, place = divmod(number, len(self.flushes))
        return rounds * self.period + self.flushes[place].offset

    def parts(self, number: int, position: int) -> tuple[int, ...] | None:
        """Bytes of the parts that this flush brings to the proxy at this position; None: no message."""
        messages = self.flushes[number % len(self.flushes)].messages
        return messages[position % len(messages)]


class Profile(msgspec.Struct, frozen=True, kw_only=True):
    """What a coordinator writes to its proxies: for each kind of message a rate and sizes."""

    joining: MessageProfile = MessageProfile()  # the first table; an occasion a joining
    change: MessageProfile = MessageProfile()  # after the list changed; an occasion a change and proxy
    refresh: RefreshProfile = RefreshProfile()

    @classmethod
    def measured(
        cls, events: Iterable[ProxyJoined | ProxyLeft | BackendTold | UpdateSeen], until: int
    ) -> "Profile":
        """The profile of one real coordinator from what its stand-ins saw, in order of time, up to `until`.

        Entries that were told at the same time are one change. A change before anyone joined is none.
        Raises ValueError where an event is not older than `until`, TypeError for events of other kinds.
        """
        measuring = _Measuring()
        for event in events:
            measuring.see(event)
            if event.at >= until:
                raise ValueError(f"an event is of {event.at} ns, and the measuring ended at {until} ns")
        return measuring.profile(until)


class _States:
    """Phase and start of each backend that is not gone, to tell what a message of the list changes."""

    def __init__(self) -> None:
        self.states: dict[str, tuple[str, int]] = {}  # (phase, started ns)
        self.shared: dict[tuple[str, int], tuple[str, int]] = {}  # most backends are in the same state

    def take(self, backend: str, phase: str, started: int) -> bool:
        """Keeps one entry of the list; True where it differs from what was kept."""
        state = None if phase == "gone" else (phase, started)
        if self.states.get(backend) == state:
            return False
        if state is None:
            del self.states[backend]
        else:
            self.states[sys.intern(backend)] = self.shared.setdefault(state, state)
        return True

    def ready(self) -> Iterator[str]:
        """Names of the backends that may be in a table."""
        return (backend for backend, (phase, _) in self.states.items() if phase == "ready")


class _Change(msgspec.Struct):
    """A change of the list, and what each proxy was written for it."""

    at: int  # ns
    written: dict[int, tuple[int, ...] | None]  # by proxy, in order of joining


class _Flush(msgspec.Struct):
    """A flush that is being seen."""

    at: int  # ns of its first message
    written: dict[int, tuple[int, ...] | None]  # by proxy, in order of joining


class _Measuring:
    """Tells the messages of one coordinator apart: for a joining, for a change, or by time."""

    def __init__(self) -> None:
        self.joined: dict[int, int] = {}  # proxy -> joined when, ns; in order of joining
        self.joinings: list[tuple[int, ...] | None] = []
        self.awaiting: dict[int, int] = {}  # proxy without its first table -> its place in `joinings`
        self.changes: list[_Change] = []
        self.states = _States()
        self.flushes: list[_Flush] = []
        self.first_joined_at: int | None = None  # ns
        self.proxy_time = 0  # ns, summed over streams that have ended

    def see(self, event: Event) -> None:
        """Takes one event; raises TypeError for what is none of its own."""
        match event:
            case ProxyJoined():
                self._leave(event.proxy, event.at)
                if self.first_joined_at is None:
                    self.first_joined_at = event.at
                self.joined[event.proxy] = event.at
                self.awaiting[event.proxy] = len(self.joinings)
                self.joinings.append(None)
            case ProxyLeft():
                self._leave(event.proxy, event.at)
            case BackendTold():
                self._change(event)
            case UpdateSeen():
                self._update(event)
            case _:
                raise TypeError(f"a {type(event).__name__} says nothing of a coordinator's messages")

    def _leave(self, proxy: int, at: int) -> None:
        joined_at = self.joined.pop(proxy, at)
        self.proxy_time += at - joined_at
        self.awaiting.pop(proxy, None)

    def _change(self, event: BackendTold) -> None:
        same_time = bool(self.changes) and self.changes[-1].at == event.at
        if self.states.take(event.backend, event.phase, event.started) and not same_time:
            served = (proxy for proxy in self.joined if proxy not in self.awaiting)
            self.changes.append(_Change(event.at, dict.fromkeys(served)))

    def _update(self, event: UpdateSeen) -> None:
        change = self.changes[-1] if self.changes else None
        if event.proxy in self.awaiting:
            self.joinings[self.awaiting.pop(event.proxy)] = event.parts
        elif (
            change
            and event.at - change.at <= CHANGE_TIME
            and change.written.get(event.proxy, event.parts) is None
        ):
            change.written[event.proxy] = event.parts
        else:
            self._flush(event)

    def _flush(self, event: UpdateSeen) -> None:
        flush = self.flushes[-1] if self.flushes else None
        same = flush and event.at - flush.at <= FLUSH_TIME
        if not same or flush.written.get(event.proxy, event.parts) is not None:
            flush = _Flush(event.at, dict.fromkeys(self.joined))
            self.flushes.append(flush)
        flush.written[event.proxy] = event.parts

    def profile(self, until: int) -> Profile:
        """What was seen up to then (ns)."""
        proxy_time = self.proxy_time + sum(until - joined_at for joined_at in self.joined.values())
        first = until if self.first_joined_at is None else self.first_joined_at
        flushes = (
            Flush(offset=flush.at - first, messages=tuple(flush.written.values())) for flush in self.flushes
        )
        return Profile(
            joining=MessageProfile(occasions=tuple(self.joinings)),
            change=MessageProfile(
                occasions=tuple(parts for change in self.changes for parts in change.written.values())
            ),
            refresh=RefreshProfile(period=until - first, proxy_time=proxy_time, flushes=tuple(flushes)),
        )


class _WatchLog:
    """Stands for the log of a watch: it only counts the ends."""

    def __init__(self, counts: Counts):
        self.counts = counts

    def event(self, event: str, **_: object) -> None:
        """One line of the log."""
        self.counts.watches_ended += event == "watch_ended"

    often = event


class _Watch(Discovery):
    """Discovery's watch, which keeps no addresses and counts the lines."""

    def __init__(self, coordinator: "HollowCoordinator", discovery: tuple[str, int], seed: str):
        self.counts = coordinator.counts
        config = {"discovery": discovery, "known": NOTHING_KNOWN}
        super().__init__(
            coordinator.loop, coordinator, _WatchLog(coordinator.counts), config, Random(seed).uniform
        )

    def _line(self, line: bytes) -> None:
        self.counts.add_received("list", len(line) + 1)
        super()._line(line)

    def _address(self, backend: str, told: str | None) -> None:
        self.addresses[ANYONE] = None  # nobody is probed: what counts is whether anybody was named


class _Connection:
    """One connection, owned by its coroutine."""

    def __init__(self, sock: socket.socket, pool: Pool):
        self.sock, self.reader = sock, Reader(pool, LARGEST)
        self.unsent = b""
        self.proxy: int | None = None
        self.task: Task | None = None
        self.reading = False  # its coroutine is running: it must not be poked


class HollowCoordinator:
    """Listens at `address` from its making until `close`; the loop is its user's to turn."""

    def __init__(self, loop: Loop, name: str, discovery: tuple[str, int], profile: Profile):
        """Raises OSError where no listening socket can be had."""
        self.loop, self.name, self.profile = loop, name, profile
        self.counts = Counts()
        self.pool = Pool(BUFFERS)
        self.connections: dict[_Connection, None] = {}
        self.proxies: dict[int, _Connection] = {}  # in order of joining
        self.waiting: dict[int, None] = {}  # proxies that joined before the first list
        self.states = _States()
        self.joinings = self.changes = self.flushes = 0  # played so far
        self.ticket, self.ticket_at = 0, -1  # the last mark, and the turn (ns) that it is of
        listener = self._listener()
        self.address: tuple[str, int] = listener.getsockname()
        self.tasks = [loop.spawn(self._accept(listener))]
        self.refreshing = False  # does its refreshing run: from the first joining on
        self.watch = _Watch(self, discovery, name)

    @staticmethod
    def _listener() -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            listener.bind((LOOPBACK, 0))
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        return listener

    def close(self) -> None:
        """Ends the watch, the listening and all connections."""
        tasks = [self.watch.task, *self.tasks, *(each.task for each in self.connections)]
        for task in tasks:
            self.loop.end(task)

    # The list

    def report(self, now: int, update: EndpointListUpdate) -> None:
        """Takes an endpoint list from the watch, as `Coordinator.report` does."""
        told = {entry.name: (entry.phase, entry.started_at) for entry in update.entries}
        if update.form != ListForm.CHANGES:
            absent = [backend for backend in self.states.states if backend not in told]
            told.update(dict.fromkeys(absent, ("gone", 0)))
        lines = []
        for backend, (phase, started) in told.items():
            if self.states.take(backend, phase, started):
                lines.append([backend, 1.0 if phase == "ready" else 0.0])
        if lines:
            self._change(lines)
        if self.waiting and any(self.states.ready()):
            self._first_tables()

    # What is written

    def _first_tables(self) -> None:
        waiting, self.waiting = self.waiting, {}
        for proxy in waiting:
            self._first_table(self.proxies[proxy])

    def _first_table(self, connection: _Connection) -> None:
        parts = self.profile.joining.parts(self.joinings)
        self.joinings += 1
        if parts:
            self._update(connection, parts, self._lines(parts), whole=True)

    def _change(self, lines: list[list]) -> None:
        for proxy, connection in list(self.proxies.items()):
            if proxy in self.waiting:
                continue
            parts = self.profile.change.parts(self.changes)
            self.changes += 1
            if parts:
                self._update(connection, parts, lines)

    def _refresh(self) -> Iterator[tuple]:
        refresh, first = self.profile.refresh, self.loop.now
        while True:
            yield None, 0, first + refresh.due(self.flushes)
            for position, connection in enumerate(list(self.proxies.values())):
                parts = refresh.parts(self.flushes, position)
                if parts and connection.proxy not in self.waiting:
                    self._update(connection, parts, self._lines(parts))
            self.flushes += 1

    def _lines(self, parts: tuple[int, ...]) -> list[list]:
        """Lines of ready backends, as many as may fit into these parts."""
        return [[name, 1.0] for name in islice(self.states.ready(), sum(parts) // LINE_LEAST)]

    def _update(
        self, connection: _Connection, parts: tuple[int, ...], lines: list[list], whole: bool = False
    ) -> None:
        """Writes one message, unless the one before was not taken: then a real one would merge the two."""
        if connection.unsent:
            return
        if self.ticket_at != self.loop.now:  # all messages of one turn have one mark
            self.ticket, self.ticket_at = (self.ticket + 1) % TICKETS, self.loop.now
        data = update_of(parts, lines, whole, self.ticket)
        self.counts.add_sent("update", len(data))
        self._write(connection, data)

    def _write(self, connection: _Connection, data: bytes) -> None:
        data = connection.unsent + data
        try:
            sent = connection.sock.send(data)
        except OSError:  # its coroutine waits for room, or meets the end
            sent = 0
        connection.unsent = data[sent:]
        if connection.unsent and not connection.reading:
            self.loop.resume(connection.task)

    # Connections

    def _accept(self, listener: socket.socket) -> Iterator[tuple]:
        with listener:
            while True:
                yield listener.fileno(), IN, None
                for _ in range(ACCEPTS):
                    try:
                        sock = listener.accept()[0]
                    except BlockingIOError:
                        break
                    except OSError as error:
                        if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                            yield None, 0, self.loop.now + FULL_WAIT
                        break
                    self._take(sock)

    def _take(self, sock: socket.socket) -> None:
        connection = _Connection(sock, self.pool)
        self.connections[connection] = None
        connection.task = self.loop.spawn(self._serve(connection))

    def _serve(self, connection: _Connection) -> Iterator[tuple]:
        sock = connection.sock
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            events = IN
            while not events or self._read(connection):  # who is poked reads nothing: another may be running
                if connection.unsent:
                    self._write(connection, b"")
                connection.reading = False
                events = yield sock.fileno(), IN | (OUT if connection.unsent else 0), None
        except InvalidInputError:
            self.counts.add_received("unreadable", connection.reader.have)
        except OSError:
            pass  # reset by the other side
        finally:
            self._end(connection)

    def _end(self, connection: _Connection) -> None:
        del self.connections[connection]
        connection.sock.close()
        connection.reader.close()
        if self.proxies.get(connection.proxy) is connection:
            del self.proxies[connection.proxy]
            self.waiting.pop(connection.proxy, None)

    def _read(self, connection: _Connection) -> bool:
        """Reads what is there; False once the other side has ended. Raises InvalidInputError and OSError."""
        reader, total, connection.reading = connection.reader, 0, True
        while total < READ_MOST:
            view = reader.room()
            if view is None:
                raise InvalidInputError("no buffer is free for its message")
            try:
                size = connection.sock.recv_into(view)
            except BlockingIOError:
                break
            if not size:
                return False
            total += size
            reader.received(size)
            self._messages(connection)
        if not reader.have:
            reader.close()
        return True

    def _messages(self, connection: _Connection) -> None:
        reader = connection.reader
        before = reader.have
        for message in reader.messages():
            kind = message["type"]
            if kind == UNTYPED:
                raise InvalidInputError("a message is not an object with a type")
            if kind == "joined":
                self._joined(connection, message)
            self.counts.add_received(kind if kind in READ_KINDS else "other", before - reader.have)
            before = reader.have
            if kind == "ping":
                self.counts.add_sent("pong", len(PONG))
                self._write(connection, PONG)

    def _joined(self, connection: _Connection, message: dict) -> None:
        proxy = required_number(message, "node", int)
        former = self.proxies.pop(proxy, None)
        connection.proxy = proxy
        self.proxies[proxy] = connection
        if former and former is not connection:
            self.loop.end(former.task)
        if any(self.states.ready()):
            self._first_table(connection)
        else:
            self.waiting[proxy] = None
        if self.profile.refresh.flushes and not self.refreshing:
            self.refreshing = True
            self.tasks.append(self.loop.spawn(self._refresh()))


def update_of(parts: tuple[int, ...], lines: list[list], whole: bool, ticket: int) -> bytes:
    """The frames of one message: valid parts of exactly these bytes each, with as many lines as fit.

    A part that is too small for the least of a message is longer than asked for.
    """
    frames, rest = [], lines
    for number, size in enumerate(parts):
        fields: dict[str, object] = {"type": "update"}
        if whole and not number:
            fields["whole"] = True
        if number < len(parts) - 1:
            fields["more"] = True
        else:
            fields["ticket"] = ticket
        body, rest = _filled(size - HEAD, fields, rest)
        frames.append(len(body).to_bytes(HEAD, "little") + body)
    return b"".join(frames)


def _filled(size: int, fields: dict[str, object], lines: list[list]) -> tuple[bytes, list[list]]:
    """A body of `size` bytes with the first of the lines that fit into it; and the lines that are left."""
    number, body = len(lines), orjson.dumps({**fields, "lines": lines})
    while number and len(body) > size:
        number = min(number - 1, number * size // len(body))
        body = orjson.dumps({**fields, "lines": lines[:number]})
    if len(body) > size:
        body = orjson.dumps(fields)
    return body.ljust(size), lines[number:]
