"""Stand-in of discovery: one endpoint list, and an agent for each coordinator, which can be made to fail.

An agent serves HTTP/1.1: the complete list, and watches with an empty line as heartbeat each 2 s. It has the
list up to some version; while it is cut off it serves that version and sends nothing on its watches.
"""

import socket
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import orjson

from granitespool.net.client import receive, send
from granitespool.net.loop import IN, Loop, Task
from granitespool.scale.coroutines import Wait
from granitespool.scale.fleet import ListedBackend
from granitespool.scale.recorder import Recorder
from granitespool.scale.trace import BackendListed
from granitespool.units import MILLISECOND, SECOND

HEARTBEAT_INTERVAL = 2 * SECOND  # ns between the empty lines on an idle watch
REQUEST_TIMEOUT = 5 * SECOND  # ns to receive a request
REQUEST_LIMIT = 4096  # bytes of a request
BACKLOG = 1024
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


class Change:
    """One version of the endpoint list: the entries that it changed, and its line on a watch."""

    def __init__(self, index: int, entries: list[ListedBackend], at: int) -> None:
        """Create the version that was published at `at` (ns)."""
        self.index = index
        self.entries = entries
        self.at = at
        body = {"index": index, "snapshot": False, "endpoints": [as_row(entry) for entry in entries]}
        self.line = orjson.dumps(body) + b"\n"


def as_row(entry: ListedBackend) -> dict[str, str | int | float]:
    """Return an entry with the field names of the wire."""
    return {name: getattr(entry, name) for name in entry.__struct_fields__}


class BackendList:
    """The endpoint list with all its versions; agents receive each change at once unless they are cut off."""

    def __init__(self, entries: Iterable[ListedBackend], clock: Callable[[], int]) -> None:
        """Create version 1 of the list; `clock` returns ns."""
        self.index = 1  # newest version
        self.clock = clock
        self.entries = {entry.name: entry for entry in entries}
        self.changes: list[Change] = []
        self.agents: list[DiscoveryAgent] = []
        self._snapshot_index = 0  # version of the cached snapshot line
        self._snapshot_line = b""

    def publish(self, entries: list[ListedBackend], notify: bool = True) -> Change:
        """Publish changed entries as a new version; without `notify` the caller has to update the agents."""
        self.index += 1
        change = Change(self.index, entries, self.clock())
        self.changes.append(change)
        for entry in entries:
            if entry.status == "gone":
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
        if notify:
            self.update_agents()
        return change

    def update_agents(self) -> None:
        """Send the latest changes to every agent that is not cut off."""
        for agent in self.agents:
            agent.update()

    def since(self, after: int, upto: int) -> list[Change]:
        """Return the changes after version `after` up to and including version `upto`."""
        return [change for change in self.changes if after < change.index <= upto]

    def snapshot_line(self) -> bytes:
        """Return the complete list as one line."""
        if self._snapshot_index != self.index:
            rows = [as_row(entry) for entry in self.entries.values()]
            body = {"index": self.index, "snapshot": True, "endpoints": rows}
            self._snapshot_index = self.index
            self._snapshot_line = orjson.dumps(body) + b"\n"
        return self._snapshot_line


class KnownList(NamedTuple):
    """The endpoint list in a coordinator's configuration."""

    version: int
    entries: list[ListedBackend]


class PendingLine(NamedTuple):
    """A line that is to be written to a watch."""

    line: bytes
    change: Change | None  # None: the complete list


class Watch:
    """One open watch with the lines that are to be written."""

    def __init__(self, opened_at: int) -> None:
        """Create a watch; `opened_at` is in ns."""
        self.opened_at = opened_at
        self.pending: deque[PendingLine] = deque()
        self.task: Task | None = None
        self.waiting = False  # whether the coroutine of the watch is waiting, and so can be resumed


class DiscoveryAgent:
    """The discovery agent of one coordinator, or of all hollow coordinators of one process."""

    def __init__(
        self, loop: Loop, backend_list: BackendList, recorder: Recorder, name: str, address: tuple[str, int]
    ) -> None:
        """Start to listen at `address`."""
        self.loop = loop
        self.list = backend_list
        self.recorder = recorder
        self.name = name
        self.recorded = True  # whether the entries that it writes are added to the trace
        self.list_index = backend_list.index  # newest version that the agent has received
        self.cut = False
        self.stalled_until = 0  # ns; before it, half a line is written at most and no request is answered
        self.watches: set[Watch] = set()
        self.written_index: dict[str, int] = {}  # backend -> newest version written to the coordinator
        self.written_at: dict[int, int] = {}  # version -> ns when the last open watch had received it
        self.listener_address = address
        self.listener = socket.create_server(address, backlog=BACKLOG)
        self.listener.setblocking(False)
        loop.spawn(self._accept())
        backend_list.agents.append(self)

    def update(self) -> None:
        """Send the changes of the list to the watches, unless the agent is cut off."""
        if self.cut or self.list_index == self.list.index:
            return
        changes = self.list.since(self.list_index, self.list.index)
        self.list_index = self.list.index
        self.push(changes)

    def push(self, changes: Iterable[Change]) -> None:
        """Send changes to every watch in this order, whatever their versions."""
        lines = [PendingLine(change.line, change) for change in changes]
        for watch in list(self.watches):
            watch.pending += lines
            if watch.waiting and watch.task:
                self.loop.resume(watch.task)

    def set_cut(self, cut: bool) -> None:
        """Cut the agent off from the list, or connect it again."""
        self.cut = cut
        self.update()

    def stall(self, until: int) -> None:
        """Write only half of the next line, and nothing more until the given time (ns)."""
        self.stalled_until = until

    def end_watches(self) -> None:
        """Close every open watch."""
        for watch in list(self.watches):
            if watch.task:
                self.loop.end(watch.task)

    def record_initial_list(self, known: KnownList) -> None:
        """Record the endpoint list of the coordinator's configuration as written to it."""
        now = self.loop.clock()
        for entry in known.entries:
            self._record(entry, known.version, now)

    def _record(self, entry: ListedBackend, index: int, now: int) -> None:
        if self.written_index.get(entry.name, 0) > index or not self.recorded:
            return  # a newer version of the entry was written before
        self.written_index[entry.name] = index
        self.recorder.add(
            BackendListed(
                at=now,
                coordinator=self.name,
                backend=entry.name,
                phase=entry.status,
                started=entry.since_ms * MILLISECOND,
            )
        )

    def _accept(self) -> Wait:
        with self.listener:
            while True:
                yield self.listener.fileno(), IN, None
                try:
                    sock, _ = self.listener.accept()
                except OSError:
                    continue  # the client has closed the connection already
                sock.setblocking(False)
                watch = Watch(self.loop.now)
                watch.task = self.loop.spawn(self._serve(sock, watch))

    def _serve(self, sock: socket.socket, watch: Watch) -> Wait:
        with sock:
            try:
                yield from self._answer(sock, watch)
            except (OSError, ValueError):
                pass  # the coordinator has closed the watch, or the request is malformed
            finally:
                self.watches.discard(watch)

    def _answer(self, sock: socket.socket, watch: Watch) -> Wait:
        request = b""
        while b"\r\n\r\n" not in request:
            data = yield from receive(sock, self.loop.now + REQUEST_TIMEOUT)
            if not data or len(request) > REQUEST_LIMIT:
                return
            request += data
        self.recorder.count(self.name, "out", "discovery request", len(request))
        while self.loop.now < self.stalled_until:
            yield None, 0, self.stalled_until
        target = urlsplit(request.split(b" ", 2)[1].decode())
        query = parse_qs(target.query)
        if "watch" not in query:
            body = self.list.snapshot_line()
            yield from send(sock, HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body), None)
            return
        yield from send(sock, HEAD + b"Transfer-Encoding: chunked\r\n\r\n", None)
        self._open_watch(watch, int(query.get("after", ["0"])[0]))
        yield from self._watch(sock, watch)

    def _open_watch(self, watch: Watch, after: int) -> None:
        """Queue the changes after a version, or the complete list if `after` is below 1."""
        changes = self.list.since(after, self.list_index)
        watch.pending = deque(PendingLine(change.line, change) for change in changes)
        self.watches.add(watch)
        if after < 1:
            # A cut agent would answer with an older list, but coordinators start with a list and skip this.
            watch.pending = deque([PendingLine(self.list.snapshot_line(), None)])

    def _watch(self, sock: socket.socket, watch: Watch) -> Wait:
        heartbeat = self.loop.now + HEARTBEAT_INTERVAL
        while True:
            while watch.pending:
                if is_closed_by_peer(sock):
                    return
                line, change = watch.pending.popleft()
                yield from self._write_line(sock, line)
                self._record_written(watch, line, change)
                heartbeat = self.loop.now + HEARTBEAT_INTERVAL
            if self.loop.now >= heartbeat:
                heartbeat = self.loop.now + HEARTBEAT_INTERVAL
                yield from self._write_heartbeat(sock)
                continue
            watch.waiting = True
            events = yield sock.fileno(), IN, heartbeat
            watch.waiting = False
            if events and not (yield from receive(sock, self.loop.now + SECOND)):
                return

    def _write_heartbeat(self, sock: socket.socket) -> Wait:
        """Write an empty line, unless the agent is cut off or stalled."""
        if not self.cut and self.loop.now >= self.stalled_until:
            yield from self._write_line(sock, b"\n")
            self.recorder.count(self.name, "in", "discovery beat", len(b"\n"))

    def _write_line(self, sock: socket.socket, line: bytes) -> Wait:
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        if self.loop.now < self.stalled_until and len(line) > 1:
            half = len(chunk) // 2
            yield from send(sock, chunk[:half], None)
            while self.loop.now < self.stalled_until:
                events = yield sock.fileno(), IN, self.stalled_until
                if events and is_closed_by_peer(sock):
                    raise ConnectionAbortedError("the coordinator closed the watch while a line was written")
            chunk = chunk[half:]
        yield from send(sock, chunk, None)

    def _record_written(self, watch: Watch, line: bytes, change: Change | None) -> None:
        now = self.loop.clock()
        self.recorder.count(self.name, "in", "discovery list", len(line))
        if change is None:
            entries = list(self.list.entries.values())
            index = self.list_index
        else:
            entries = change.entries
            index = change.index
            if index not in self.written_at or watch.opened_at <= change.at:
                self.written_at[index] = now
        for entry in entries:
            self._record(entry, index, now)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has closed the connection, so that nothing more can be written."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
