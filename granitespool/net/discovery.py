"""Discovery: a watch of the endpoint list, reopened whenever it ends or goes silent.

Owns the watch's socket, the backends' addresses and the current list version. It checks each endpoint list
entry and reports the valid ones to the coordinator, which interprets them. While there is no watch, the last
list received stays in use.
"""

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

CONNECT_TIMEOUT = SECOND  # ns to establish the connection: the discovery agent is on this machine
# ns without a received byte after which a watch is reopened: the agent sends a line at least every 2 s.
HEARTBEAT_TIMEOUT = 9 * SECOND // 4
# ns in which a line has to be complete: a line counts as delivered after 6 s.
LINE_TIMEOUT = 4 * HEARTBEAT_TIMEOUT
LINE_MAX = 8 << 20  # bytes of one line: a list of ten thousand backends
POLL_BACKOFF_MIN = SECOND  # ns until invalid entries are requested again for the first time
POLL_BACKOFF_MAX = 60 * SECOND  # ns between two such requests: an entry may stay invalid for good
POLL_BACKOFF_FACTOR = 2
RECONNECT_BACKOFF_MIN = SECOND // 20  # ns before the first reconnect
RECONNECT_BACKOFF_MAX = SECOND  # ns between reconnects: an answer of the agent costs nothing
RECONNECT_BACKOFF_FACTOR = 2
RECONNECT_JITTER = (0.5, 1.0)  # range of the share of the backoff that is waited


class WatchEndedError(GranitespoolError):
    """Raised when the watch of the endpoint list ends and has to be reopened; the text is the reason."""


class ListReceiver(Protocol):
    """Receives the updates of the endpoint list."""

    def report(self, now: int, update: EndpointListUpdate, /) -> None:
        """Handle an update of the endpoint list; `now` in ns."""


class EventLog(Protocol):
    """The log that the watch writes its events to."""

    def event(self, name: str, /, **fields: object) -> None:
        """Write an event."""

    def rate_limited_event(self, name: str, /, **fields: object) -> None:
        """Write an event that a peer can cause any number of times."""


class WatchPosition:
    """The list version from which a watch requests changes: the one before the first invalid entry.

    The version stays, and is requested again with backoff, until the first message of a watch from there
    contains no invalid entry.
    """

    def __init__(self) -> None:
        self.version = 0
        self.has_invalid = False  # whether an entry received since that version was invalid
        self.is_at_start = True  # whether the next message is the first one of a watch
        self.backoff = POLL_BACKOFF_MIN  # ns
        self.poll_at = 0  # ns

    def advance(self, now: int, index: int, has_invalid: bool) -> None:
        """Record a message of version `index`, and whether one of its entries is invalid; `now` in ns."""
        if self.is_at_start or not self.has_invalid:
            if has_invalid and not self.has_invalid:
                self.backoff = POLL_BACKOFF_MIN
            self.has_invalid = has_invalid
            if has_invalid:
                self.poll_at = now + self.backoff
                self.backoff = min(POLL_BACKOFF_MAX, POLL_BACKOFF_FACTOR * self.backoff)
        if not self.has_invalid:
            self.version = index
        self.is_at_start = False

    def is_poll_due(self, now: int) -> bool:
        """Return whether invalid entries have to be requested again; `now` in ns."""
        return self.has_invalid and not self.is_at_start and now >= self.poll_at


class Discovery:
    """The watch of the endpoint list; it starts from the list in the configuration."""

    def __init__(
        self,
        loop: Loop,
        coordinator: ListReceiver,
        log: EventLog,
        config: WatchConfiguration,
        uniform: Callable[[float, float], float],
    ) -> None:
        """Start the watch; `uniform` draws the jitter of the backoff.

        Raise InvalidInputError if the configuration's list is not a message of the endpoint list.
        """
        self.loop = loop
        self.coordinator = coordinator
        self.log = log
        self.uniform = uniform
        self.watch_address = config["discovery"]
        self.index = 0  # the current list version
        self.last_update_at = loop.now  # ns, when the last message was applied
        self.last_received_at = loop.now  # ns, when the last line was received, empty or not
        self.position = WatchPosition()
        self.reconnect_backoff = RECONNECT_BACKOFF_MIN  # ns
        self.addresses: dict[str, Address | None] = {}  # by backend: all that were listed and not removed
        self.has_listed_backends = False  # whether any list so far has contained a backend
        self.handle_message(config["known"])
        self.task = loop.spawn(self._run())

    def reconfigure(self, config: WatchConfiguration) -> None:
        """Reopen the watch if discovery's address has changed; the current list stays in use meanwhile."""
        if config["discovery"] != self.watch_address:
            self.watch_address = config["discovery"]
            self.loop.end(self.task)
            self.task = self.loop.spawn(self._run())

    def remove_address(self, backend: str) -> None:
        """Remove the address of a backend that the planner has removed."""
        self.addresses.pop(backend, None)

    def handle_message(self, message: object) -> None:
        """Report one message of the endpoint list to the coordinator, without its invalid entries.

        Raise InvalidInputError if it is not a message of the endpoint list.
        """
        fields = {"type": "list", **message} if isinstance(message, dict) else {"type": "list"}
        index = required_number(fields, "index", int)
        is_snapshot = bool(fields.get("snapshot"))
        if index < self.position.version and not is_snapshot:
            # Another replica of discovery may lag behind, and the current list is newer. A complete list is
            # used whatever its version is. The protocol sends changes in order, so nothing is lost.
            self.log.rate_limited_event("stale_endpoint_list", index=index, held_index=self.index)
            return
        rows = required_field(fields, "endpoints", list)
        entries = self._parse_entries(rows)
        has_invalid = len(entries) < len(rows)
        self.index = index
        self.last_update_at = self.loop.now
        self.position.advance(self.loop.now, index, has_invalid)
        is_first = not self.has_listed_backends
        self.has_listed_backends = self.has_listed_backends or bool(self.addresses)
        if self.has_listed_backends:  # the first list that contains a backend is the one to start from
            self._report(_form(is_first, is_snapshot, has_invalid), index, entries)

    def _parse_entries(self, rows: list[Any]) -> list[Endpoint]:
        """Return the valid entries and store their addresses."""
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

    def _update_address(self, backend: str, value: str | None) -> None:
        current = self.addresses.setdefault(backend)
        try:
            self.addresses[backend] = parse_address(value) if value else current
        except InvalidInputError as error:  # the entry is used; its health checks keep the current address
            self.log.rate_limited_event("endpoint_skipped", backend=backend, reason=str(error))

    def _report(self, form: ListForm, index: int, entries: list[Endpoint]) -> None:
        if entries or form != ListForm.CHANGES:
            self.coordinator.report(self.loop.now, EndpointListUpdate(form, entries))
        self.log.event("endpoint_list", kind=form, index=index, entries=len(entries))

    def _run(self) -> Coroutine:
        self.reconnect_backoff = RECONNECT_BACKOFF_MIN
        while True:
            try:
                yield from self._watch()
            except Exception as error:  # of any type: without a watch the list would never change again
                self.log.event(
                    "watch_ended",
                    reason=str(error) or type(error).__name__,
                    index=self.index,
                    silence_ms=(self.loop.now - self.last_received_at) // MILLISECOND,
                )
            yield None, 0, self.loop.now + int(self.reconnect_backoff * self.uniform(*RECONNECT_JITTER))
            self.reconnect_backoff = min(
                RECONNECT_BACKOFF_MAX, self.reconnect_backoff * RECONNECT_BACKOFF_FACTOR
            )

    def _watch(self) -> Coroutine:
        """Open one watch and read it; it only ends with an exception."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
            yield from dial(sock, self.watch_address, self.loop.now + CONNECT_TIMEOUT)
            target = f"/discovery/hosts?watch=1&after={self.position.version}"
            http = yield from http_get(sock, self.watch_address, target, self.loop.now + CONNECT_TIMEOUT)
            self.position.is_at_start = True
            yield from self._read(sock, http)

    def _read(self, sock: socket.socket, http: h11.Connection) -> Coroutine:
        partial_line = b""
        line_deadline = self.loop.now + LINE_TIMEOUT
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if self.loop.now >= line_deadline:
                    raise WatchEndedError("a line of the endpoint list was not completed before the deadline")
                deadline = min(self.loop.now + HEARTBEAT_TIMEOUT, line_deadline)
                http.receive_data((yield from receive(sock, deadline)))
            elif isinstance(event, h11.Response) and event.status_code != 200:
                raise WatchEndedError(f"the watch request was answered with status {event.status_code}")
            elif isinstance(event, h11.Data):
                self.reconnect_backoff = RECONNECT_BACKOFF_MIN
                *lines, partial_line = (partial_line + event.data).split(b"\n")
                if lines:
                    self.last_received_at = self.loop.now
                    line_deadline = self.loop.now + LINE_TIMEOUT
                for line in filter(bytes.strip, lines):
                    self._handle_line(line)
                self._check_watch(partial_line)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise WatchEndedError("discovery closed the watch")

    def _check_watch(self, partial_line: bytes) -> None:
        """Raise WatchEndedError if the line is too long or invalid entries have to be requested again."""
        if len(partial_line) > LINE_MAX:
            raise WatchEndedError("a line of the endpoint list is over the limit")
        if self.position.is_poll_due(self.loop.now):
            raise WatchEndedError("invalid entries are requested again")

    def _handle_line(self, line: bytes) -> None:
        try:
            message = orjson.loads(line)
        except ValueError:
            raise InvalidInputError("a line of the endpoint list is not JSON") from None
        self.handle_message(message)


def _form(is_first: bool, is_snapshot: bool, has_invalid: bool) -> ListForm:
    if is_first:
        return ListForm.RESTORED
    if is_snapshot and not has_invalid:  # a backend whose entry is invalid must not count as gone
        return ListForm.COMPLETE
    return ListForm.CHANGES
