"""Discovery: a watch of the endpoint list, dialled again whenever it ends or goes silent.

Owns the watch's socket, the backends' addresses and the version that is held. It checks each entry of the
list and reports what it can read to the coordinator; it never decides what an entry means. The list that was
last told stays while there is no watch."""

import socket
from collections.abc import Callable
from typing import Any, Protocol

import h11
import orjson

from granitespool.endpoints import SOCKET_ENTRY, Endpoint, endpoint_from_wire
from granitespool.errors import GranitespoolError, InvalidInputError
from granitespool.fields import required_field, required_number
from granitespool.net.client import dial, http_get, receive
from granitespool.net.config import Address, WatchConfiguration, parse_address
from granitespool.net.loop import SECOND, Coroutine, Loop
from granitespool.planner.events import EndpointListUpdate, ListForm
from granitespool.units import MILLISECOND

DIAL_TIMEOUT = SECOND  # ns for a connection to come up: the agent is on this machine
HEARTBEAT_TIMEOUT = 9 * SECOND // 4  # ns without a byte after which a watch is dead: a line comes every 2 s
LINE_TIMEOUT = 4 * HEARTBEAT_TIMEOUT  # ns within which a line has to end: it counts as told after 6 s
LINE_MAX = 8 << 20  # bytes of one line: a list of ten thousand backends
POLL_BACKOFF_MIN = SECOND  # ns until what could not be read is asked for again, the first time
POLL_BACKOFF_MAX = 60 * SECOND  # ns between two such polls at most: an entry may stay wrong for good
POLL_BACKOFF_FACTOR = 2
REDIAL_BACKOFF_MIN = SECOND // 20  # ns before the first new dialling
REDIAL_BACKOFF_MAX = SECOND  # ns between diallings at most: the agent answers at no cost
REDIAL_BACKOFF_FACTOR = 2
REDIAL_JITTER = (0.5, 1.0)  # share of the backoff that is waited


class WatchEndedError(GranitespoolError):
    """The watch of the list is over and is dialled again; the text says why."""


class ListReceiver(Protocol):
    """Whom the messages of the list are reported to."""

    def report(self, now: int, update: EndpointListUpdate, /) -> None:
        """Takes a message of the list; `now` in ns."""


class EventLog(Protocol):
    """What the watch writes its events to."""

    def event(self, name: str, /, **fields: object) -> None:
        """Writes an event."""

    def rate_limited_event(self, name: str, /, **fields: object) -> None:
        """Writes an event that peers can cause at will."""


class WatchPosition:
    """The version that a watch asks from: the one before the first entry that could not be read.

    It stays there, with backoff between two polls, until a watch from there has told everything again and all
    of it was readable."""

    def __init__(self) -> None:
        self.version = 0
        self.has_unreadable = False  # whether anything since that version was not readable
        self.is_at_start = True  # whether the next message is a watch's first
        self.backoff = POLL_BACKOFF_MIN  # ns
        self.poll_at = 0  # ns

    def advance(self, now: int, index: int, has_unreadable: bool) -> None:
        """Notes a message of version `index`, and whether an entry of it could not be read; `now` in ns."""
        if self.is_at_start or not self.has_unreadable:
            if has_unreadable and not self.has_unreadable:
                self.backoff = POLL_BACKOFF_MIN
            self.has_unreadable = has_unreadable
            if has_unreadable:
                self.poll_at = now + self.backoff
                self.backoff = min(POLL_BACKOFF_MAX, POLL_BACKOFF_FACTOR * self.backoff)
        if not self.has_unreadable:
            self.version = index
        self.is_at_start = False

    def is_poll_due(self, now: int) -> bool:
        """Whether it is time to ask for what could not be read; `now` in ns."""
        return self.has_unreadable and not self.is_at_start and now >= self.poll_at


class Discovery:
    """The watch, as long as its coroutine runs; it begins with the list that the configuration holds."""

    def __init__(
        self,
        loop: Loop,
        coordinator: ListReceiver,
        log: EventLog,
        config: WatchConfiguration,
        uniform: Callable[[float, float], float],
    ) -> None:
        """`uniform` draws the jitter of the backoff.

        Raises InvalidInputError where the configuration's list cannot be read."""
        self.loop = loop
        self.coordinator = coordinator
        self.log = log
        self.uniform = uniform
        self.watch_address = config["discovery"]
        self.index = 0  # the version that is held
        self.last_update_at = loop.now  # ns, when a message was taken last
        self.last_received_at = loop.now  # ns, when a line came last, empty or not
        self.position = WatchPosition()
        self.redial_backoff = REDIAL_BACKOFF_MIN  # ns
        self.addresses: dict[str, Address | None] = {}  # of every backend listed and not forgotten
        self.has_listed_backends = False  # whether any list has named anyone
        self.handle_message(config["known"])
        self.task = loop.spawn(self._run())

    def reconfigure(self, config: WatchConfiguration) -> None:
        """Watches at the new address, from the version that is held; the list stays meanwhile."""
        if config["discovery"] != self.watch_address:
            self.watch_address = config["discovery"]
            self.loop.end(self.task)
            self.task = self.loop.spawn(self._run())

    def forget(self, backend: str) -> None:
        """Drops the address of a backend that the planner has forgotten."""
        self.addresses.pop(backend, None)

    def handle_message(self, message: object) -> None:
        """Reports one message of the list; an entry that is wrong is skipped.

        Raises InvalidInputError where it is no message of the list."""
        fields = {"type": "list", **message} if isinstance(message, dict) else {"type": "list"}
        index = required_number(fields, "index", int)
        is_snapshot = bool(fields.get("snapshot"))
        if index < self.position.version and not is_snapshot:
            # Another replica of discovery may lag: what is held is newer. A complete list stands for itself,
            # whatever its version. By the protocol changes come in order, so nothing is lost.
            self.log.rate_limited_event("stale_endpoint_list", index=index, held_index=self.index)
            return
        rows = required_field(fields, "endpoints", list)
        entries = self._readable(rows)
        has_unreadable = len(entries) < len(rows)
        self.index = index
        self.last_update_at = self.loop.now
        self.position.advance(self.loop.now, index, has_unreadable)
        is_first = not self.has_listed_backends
        self.has_listed_backends = self.has_listed_backends or bool(self.addresses)
        if self.has_listed_backends:  # the first list that names anyone is the one to start from
            self._report(_form(is_first, is_snapshot, has_unreadable), index, entries)

    def _readable(self, rows: list[Any]) -> list[Endpoint]:
        """The entries that can be read, with their addresses noted."""
        entries = []
        for row in rows:
            try:
                entry = endpoint_from_wire(row, SOCKET_ENTRY)
            except InvalidInputError as error:
                self.log.rate_limited_event("endpoint_skipped", reason=str(error))
                continue
            entries.append(entry)
            self._update_address(entry.name, row.get("address"))
        return entries

    def _update_address(self, backend: str, told: str | None) -> None:
        known = self.addresses.setdefault(backend)
        try:
            self.addresses[backend] = parse_address(told) if told else known
        except InvalidInputError as error:  # the entry holds; only its health checks keep the former address
            self.log.rate_limited_event("endpoint_skipped", backend=backend, reason=str(error))

    def _report(self, form: ListForm, index: int, entries: list[Endpoint]) -> None:
        if entries or form != ListForm.CHANGES:
            self.coordinator.report(self.loop.now, EndpointListUpdate(form, entries))
        self.log.event("endpoint_list", kind=form, index=index, entries=len(entries))

    def _run(self) -> Coroutine:
        self.redial_backoff = REDIAL_BACKOFF_MIN
        while True:
            try:
                yield from self._watch()
            except Exception as error:  # whatever it is: without a watch the list would stand for ever
                self.log.event(
                    "watch_ended",
                    reason=str(error) or type(error).__name__,
                    index=self.index,
                    silence_ms=(self.loop.now - self.last_received_at) // MILLISECOND,
                )
            yield None, 0, self.loop.now + int(self.redial_backoff * self.uniform(*REDIAL_JITTER))
            self.redial_backoff = min(REDIAL_BACKOFF_MAX, self.redial_backoff * REDIAL_BACKOFF_FACTOR)

    def _watch(self) -> Coroutine:
        """One watch; it ends by an exception alone."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
            yield from dial(sock, self.watch_address, self.loop.now + DIAL_TIMEOUT)
            target = f"/discovery/hosts?watch=1&after={self.position.version}"
            http = yield from http_get(sock, self.watch_address, target, self.loop.now + DIAL_TIMEOUT)
            self.position.is_at_start = True
            yield from self._read(sock, http)

    def _read(self, sock: socket.socket, http: h11.Connection) -> Coroutine:
        partial_line = b""
        line_deadline = self.loop.now + LINE_TIMEOUT
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if self.loop.now >= line_deadline:
                    raise WatchEndedError("a line of the list did not end in time")
                deadline = min(self.loop.now + HEARTBEAT_TIMEOUT, line_deadline)
                http.receive_data((yield from receive(sock, deadline)))
            elif isinstance(event, h11.Response) and event.status_code != 200:
                raise WatchEndedError(f"the list's watch was answered {event.status_code}")
            elif isinstance(event, h11.Data):
                self.redial_backoff = REDIAL_BACKOFF_MIN
                *lines, partial_line = (partial_line + event.data).split(b"\n")
                if lines:
                    self.last_received_at = self.loop.now
                    line_deadline = self.loop.now + LINE_TIMEOUT
                for line in filter(bytes.strip, lines):
                    self._handle_line(line)
                self._check_position(partial_line)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise WatchEndedError("the list's watch was ended")

    def _check_position(self, partial_line: bytes) -> None:
        """Raises WatchEndedError where this watch is to be given up."""
        if len(partial_line) > LINE_MAX:
            raise WatchEndedError("a line of the list is over the limit")
        if self.position.is_poll_due(self.loop.now):
            raise WatchEndedError("what could not be read is asked for again")

    def _handle_line(self, line: bytes) -> None:
        try:
            message = orjson.loads(line)
        except ValueError:
            raise InvalidInputError("a line of the list is not JSON") from None
        self.handle_message(message)


def _form(is_first: bool, is_snapshot: bool, has_unreadable: bool) -> ListForm:
    if is_first:
        return ListForm.RESTORED
    if is_snapshot and not has_unreadable:  # what cannot be read is not gone: nobody leaves by being skipped
        return ListForm.COMPLETE
    return ListForm.CHANGES
