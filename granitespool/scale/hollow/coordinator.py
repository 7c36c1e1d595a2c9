"""A hollow coordinator: the input and output of a coordinator, without its decisions.

It watches the endpoint list as a real one does (`granitespool.net.discovery`), listens for proxies and
collectors, reads and counts their messages, and writes messages to its proxies with the sizes and at the
rates of a `Profile`, which was measured from a real coordinator. Its messages follow the protocol: a proxy
can read, apply and acknowledge them; spaces after the JSON object pad a message to its size.

It sends no health checks and no gossip, computes no weights, and closes no unauthenticated connection.

Each socket has one owner: the listener and each connection belong to their coroutine, which closes it in its
`finally`, the watch's socket to `Discovery`. Times are whole nanoseconds on the loop's clock.
"""

import errno
import socket
from itertools import islice
from random import Random
from typing import Any

from granitespool.endpoints import Phase
from granitespool.errors import InvalidInputError
from granitespool.fields import required_number
from granitespool.net.buffers import BufferPool
from granitespool.net.config import WatchConfiguration
from granitespool.net.discovery import Discovery
from granitespool.net.frames import PONG, UNTYPED
from granitespool.net.loop import IN, OUT, Loop
from granitespool.planner.events import EndpointListUpdate, ListForm
from granitespool.scale.coroutines import Wait
from granitespool.scale.hollow.connection import Connection
from granitespool.scale.hollow.counts import Counts
from granitespool.scale.hollow.endpoints import EndpointState, EndpointStates
from granitespool.scale.hollow.messages import Entry, update_message
from granitespool.scale.hollow.profile import Parts, Profile
from granitespool.units import SECOND

LOOPBACK = "127.0.0.1"
BACKLOG = 4096  # pending connections of one listener
ACCEPTS_PER_TURN = 64
BUFFERS = 1024  # maximum of receive buffers of one coordinator: 16 MiB
ACCEPT_RETRY_DELAY = SECOND // 50  # ns between accepts while no descriptor is free
ENTRY_SIZE_MIN = 8  # bytes of the smallest table entry
BARRIER_LIMIT = 65536  # acknowledgement barriers are numbered below this
READ_KINDS = frozenset(("ping", "joined", "collector", "heard", "usage", "applied"))
RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
ANY_ADDRESS = ""  # key for the addresses of all backends in a watch that stores no addresses
EMPTY_LIST: dict[str, Any] = {
    "index": 0,
    "endpoints": [],
}  # used if the configuration contains no endpoint list


class _WatchLog:
    """Stand-in for the log of a watch, which only counts the ends of watches."""

    def __init__(self, counts: Counts) -> None:
        self.counts = counts

    def event(self, event: str, /, **_: object) -> None:
        """Count the event if it is the end of a watch."""
        self.counts.watches_ended += event == "watch_ended"

    rate_limited_event = event


class _Watch(Discovery):
    """A watch of the endpoint list that stores no addresses and counts the lines."""

    def __init__(self, coordinator: "HollowCoordinator", discovery: tuple[str, int], seed: str) -> None:
        self.counts = coordinator.counts
        config: WatchConfiguration = {"discovery": discovery, "known": EMPTY_LIST}
        log = _WatchLog(coordinator.counts)
        super().__init__(coordinator.loop, coordinator, log, config, Random(seed).uniform)

    def _handle_line(self, line: bytes) -> None:
        self.counts.add_received("list", len(line) + 1)
        super()._handle_line(line)

    def _update_address(self, _backend: str, _address: str | None) -> None:
        # Addresses are for health checks only, but `Discovery` tests whether there is any.
        self.addresses[ANY_ADDRESS] = None


class HollowCoordinator:
    """A coordinator that listens at `address` until `close`; the caller runs the loop."""

    def __init__(self, loop: Loop, name: str, discovery: tuple[str, int], profile: Profile) -> None:
        """Start to listen and to watch the endpoint list.

        Raises:
            OSError: No listening socket can be created.

        """
        self.loop = loop
        self.name = name
        self.profile = profile
        self.counts = Counts()
        self.pool = BufferPool(BUFFERS)
        self.connections: dict[Connection, None] = {}
        self.proxies: dict[int, Connection] = {}  # in order of joining
        self.awaiting_list: dict[int, None] = {}  # proxies that joined before the first list
        self.states = EndpointStates()
        self.joins_replayed = 0
        self.changes_replayed = 0
        self.flushes_replayed = 0
        self.barrier = 0  # number of the last barrier
        self.barrier_at = -1  # ns of the turn in which the last barrier was made
        listener = _listen()
        self.address: tuple[str, int] = listener.getsockname()
        self.tasks = [loop.spawn(self._accept(listener))]
        self.refreshing = False  # whether `_refresh` runs, which starts with the first joined proxy
        self.watch = _Watch(self, discovery, name)

    def close(self) -> None:
        """Stop the watch and close the listener and all connections."""
        tasks = [self.watch.task, *self.tasks, *(connection.current_task for connection in self.connections)]
        for task in tasks:
            self.loop.end(task)

    # Endpoint list

    def report(self, _now: int, update: EndpointListUpdate) -> None:
        """Apply an endpoint list from the watch, as `Coordinator.report` does."""
        listed = {entry.name: EndpointState(entry.phase, entry.started_at) for entry in update.entries}
        if update.form != ListForm.CHANGES:
            absent = [backend for backend in self.states if backend not in listed]
            listed.update(dict.fromkeys(absent, EndpointState(Phase.GONE, 0)))
        changed: list[Entry] = []
        for backend, state in listed.items():
            if self.states.update(backend, state.phase, state.started):
                changed.append([backend, 1.0 if state.phase == Phase.READY else 0.0])
        if changed:
            self._write_change(changed)
        if self.awaiting_list and self.states.any_ready():
            self._write_first_tables()

    # Messages to proxies

    def _write_first_tables(self) -> None:
        awaiting, self.awaiting_list = self.awaiting_list, {}
        for proxy in awaiting:
            self._write_first_table(self.proxies[proxy])

    def _write_first_table(self, connection: Connection) -> None:
        parts = self.profile.joining.parts(self.joins_replayed)
        self.joins_replayed += 1
        if parts:
            self._write_update(connection, parts, self._ready_entries(parts), complete=True)

    def _write_change(self, entries: list[Entry]) -> None:
        for proxy, connection in list(self.proxies.items()):
            if proxy in self.awaiting_list:
                continue
            parts = self.profile.change.parts(self.changes_replayed)
            self.changes_replayed += 1
            if parts:
                self._write_update(connection, parts, entries)

    def _refresh(self) -> Wait:
        refresh, first = self.profile.refresh, self.loop.now
        while True:
            yield None, 0, first + refresh.due(self.flushes_replayed)
            for position, connection in enumerate(list(self.proxies.values())):
                parts = refresh.parts(self.flushes_replayed, position)
                if parts and connection.proxy not in self.awaiting_list:
                    self._write_update(connection, parts, self._ready_entries(parts))
            self.flushes_replayed += 1

    def _ready_entries(self, parts: Parts) -> list[Entry]:
        """Return entries of ready backends, at least as many as fit into these parts."""
        return [[name, 1.0] for name in islice(self.states.ready(), sum(parts) // ENTRY_SIZE_MIN)]

    def _write_update(
        self, connection: Connection, parts: Parts, entries: list[Entry], complete: bool = False
    ) -> None:
        """Write one message; skip it if the previous one is unsent, as a real coordinator merges the two."""
        if connection.unsent:
            return
        if self.barrier_at != self.loop.now:  # all messages of one turn share a barrier
            self.barrier = (self.barrier + 1) % BARRIER_LIMIT
            self.barrier_at = self.loop.now
        data = update_message(parts, entries, complete, self.barrier)
        self.counts.add_sent("update", len(data))
        connection.write(data)

    # Connections

    def _accept(self, listener: socket.socket) -> Wait:
        with listener:
            while True:
                yield listener.fileno(), IN, None
                if not self._accept_some(listener):
                    yield None, 0, self.loop.now + ACCEPT_RETRY_DELAY

    def _accept_some(self, listener: socket.socket) -> bool:
        """Accept pending connections; return False if no file descriptor is free."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock = listener.accept()[0]
            except BlockingIOError:
                break
            except OSError as error:
                return error.errno not in RESOURCE_ERRORS
            self._add_connection(sock)
        return True

    def _add_connection(self, sock: socket.socket) -> None:
        connection = Connection(self.loop, sock, self.pool)
        self.connections[connection] = None
        connection.task = self.loop.spawn(self._serve(connection))

    def _serve(self, connection: Connection) -> Wait:
        sock = connection.sock
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            events = IN
            while not events or connection.read(
                self._handle
            ):  # a poke brings no events: nothing is read then
                if connection.unsent:
                    connection.write(b"")
                connection.reading = False
                events = yield sock.fileno(), IN | (OUT if connection.unsent else 0), None
        except InvalidInputError:
            self.counts.add_received("unreadable", connection.reader.available)
        except OSError:
            pass  # reset by the peer
        finally:
            self._end(connection)

    def _end(self, connection: Connection) -> None:
        del self.connections[connection]
        connection.close()
        if connection.proxy is not None and self.proxies.get(connection.proxy) is connection:
            del self.proxies[connection.proxy]
            self.awaiting_list.pop(connection.proxy, None)

    def _handle(self, connection: Connection) -> None:
        """Handle the complete messages in the reader; raise InvalidInputError if a message is malformed."""
        reader = connection.reader
        before = reader.available
        for message in reader.messages():
            kind = message["type"]
            if kind == UNTYPED:
                raise InvalidInputError("a message is not an object with a type")
            if kind == "joined":
                self._join(connection, message)
            self.counts.add_received(kind if kind in READ_KINDS else "other", before - reader.available)
            before = reader.available
            if kind == "ping":
                self.counts.add_sent("pong", len(PONG))
                connection.write(PONG)

    def _join(self, connection: Connection, message: dict[str, Any]) -> None:
        proxy = required_number(message, "node", int)
        former = self.proxies.pop(proxy, None)
        connection.proxy = proxy
        self.proxies[proxy] = connection
        if former and former is not connection:
            self.loop.end(former.current_task)
        if self.states.any_ready():
            self._write_first_table(connection)
        else:
            self.awaiting_list[proxy] = None
        if self.profile.refresh.flushes and not self.refreshing:
            self.refreshing = True
            self.tasks.append(self.loop.spawn(self._refresh()))


def _listen() -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        listener.bind((LOOPBACK, 0))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
