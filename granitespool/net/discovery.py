"""Discovery: a watch of the endpoint list, which is reopened if it ends or becomes silent.

Owns the socket of the watch, the addresses of the backends and the current list version. This module checks
each endpoint list entry and reports the valid entries to the coordinator, which interprets them. While no
watch is open, the last received list stays in use.
"""

import socket
from collections.abc import Callable
from typing import Any, Protocol

import h11
import orjson

from granitespool.endpoints import SOCKET_ENTRY, Endpoint, Phase, endpoint_from_wire
from granitespool.errors import GranitespoolError, InvalidInputError
from granitespool.fields import required_field, required_number
from granitespool.net.client import dial, http_get, receive
from granitespool.net.config import Address, WatchConfiguration, parse_address
from granitespool.net.loop import OUT, SECOND, Coroutine, Loop
from granitespool.planner.events import EndpointListUpdate, ListForm
from granitespool.units import MILLISECOND

CONNECT_TIMEOUT = SECOND  # ns to establish the connection; the discovery agent is on the same machine
# ns without a received byte, after which the watch is reopened. The agent sends a line at least every 2 s.
HEARTBEAT_TIMEOUT = 9 * SECOND // 4
# ns within which a line has to be complete. A line counts as delivered after 6 s.
LINE_TIMEOUT = 4 * HEARTBEAT_TIMEOUT
LINE_MAX = 8 << 20  # bytes of one line; a list of ten thousand backends fits in
LOGGED_NAMES_MAX = 64  # backends of one phase that the log names for one list
POLL_BACKOFF_MIN = SECOND  # ns until invalid entries are requested again for the first time
# Longest time in ns between two requests for invalid entries. An entry may stay invalid permanently.
POLL_BACKOFF_MAX = 60 * SECOND
POLL_BACKOFF_FACTOR = 2
RECONNECT_BACKOFF_MIN = SECOND // 20  # ns before the first reconnect
RECONNECT_BACKOFF_MAX = SECOND  # longest time in ns between reconnects; an answer of the agent costs nothing
RECONNECT_BACKOFF_FACTOR = 2
RECONNECT_JITTER = (0.5, 1.0)  # range of the random factor of the reconnect backoff


class WatchEndedError(GranitespoolError):
    """Raised if the watch of the endpoint list has ended or has to be reopened; the text is the reason."""


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
    """The list version after which a watch requests changes.

    The version advances with each message until a message contains an invalid entry. The version before that
    message is then kept, and a new watch from it is requested with backoff. The version advances again once
    the first message of a new watch contains no invalid entry.
    """

    def __init__(self) -> None:
        self.version = 0
        self.has_invalid = False  # whether an entry received after `version` was invalid
        self.is_at_start = True  # whether the next message is the first message of a watch
        self.backoff = POLL_BACKOFF_MIN  # ns until the next request for invalid entries
        self.poll_at = 0  # ns, the time of that request

    def advance(self, now: int, index: int, has_invalid: bool) -> None:
        """Record a message of version `index`; `now` is in ns.

        `has_invalid` is true if the message contains an invalid entry.
        """
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
        """Return whether it is time to request invalid entries again; `now` is in ns."""
        return self.has_invalid and not self.is_at_start and now >= self.poll_at


class Discovery:
    """The watch of the endpoint list; the initial list is in the configuration."""

    def __init__(
        self,
        loop: Loop,
        coordinator: ListReceiver,
        log: EventLog,
        config: WatchConfiguration,
        uniform: Callable[[float, float], float],
    ) -> None:
        """Start the watch; `uniform` returns a random number of a range, for the jitter of the backoff.

        Raise InvalidInputError if the list in the configuration is not a valid message of discovery.
        """
        self.loop = loop
        self.coordinator = coordinator
        self.log = log
        self.uniform = uniform
        self.watch_address = config["discovery"]
        self.index = 0  # the current list version
        self.last_update_at = loop.now  # ns, when the last message was applied
        self.last_received_at = loop.now  # ns, when the last line was received; an empty line counts
        self.position = WatchPosition()
        self.reconnect_backoff = RECONNECT_BACKOFF_MIN  # ns
        self.addresses: dict[
            str, Address | None
        ] = {}  # by backend name; contains each listed backend until its removal
        self.has_listed_backends = False  # whether any list so far contained a backend
        self.handle_message(config["known"])
        self.task = loop.spawn(self._run())

    def reconfigure(self, config: WatchConfiguration) -> None:
        """Reopen the watch if the address of discovery has changed; the current list stays in use."""
        if config["discovery"] != self.watch_address:
            self.watch_address = config["discovery"]
            self.loop.end(self.task)
            self.task = self.loop.spawn(self._run())

    def remove_address(self, backend: str) -> None:
        """Remove the address of a backend that the planner has removed."""
        self.addresses.pop(backend, None)

    def handle_message(self, message: object) -> None:
        """Report the valid entries of one message of discovery to the coordinator.

        Raise InvalidInputError if it is not a valid message of discovery.
        """
        fields = {"type": "list", **message} if isinstance(message, dict) else {"type": "list"}
        index = required_number(fields, "index", int)
        is_snapshot = bool(fields.get("snapshot"))
        if index < self.position.version and not is_snapshot:
            # Another replica of discovery may lag behind; its changes are then older than the current list.
            # They are ignored. Nothing is lost, because the protocol sends changes in order. A complete list
            # is used even if its version is older.
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
        if self.has_listed_backends:  # the initial list is the first one that contains a backend
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
        except (
            InvalidInputError
        ) as error:  # the entry is used; health checks keep the backend's current address
            self.log.rate_limited_event("endpoint_skipped", backend=backend, reason=str(error))

    def _report(self, form: ListForm, index: int, entries: list[Endpoint]) -> None:
        if entries or form != ListForm.CHANGES:
            self.coordinator.report(self.loop.now, EndpointListUpdate(form, entries))
        draining = [entry.name for entry in entries if entry.phase == Phase.DRAINING]
        gone = [entry.name for entry in entries if entry.phase == Phase.GONE]
        self.log.event(
            "endpoint_list",
            kind=form,
            index=index,
            entries=len(entries),
            draining=draining[:LOGGED_NAMES_MAX],
            gone=gone[:LOGGED_NAMES_MAX],
            omitted=sum(max(0, len(names) - LOGGED_NAMES_MAX) for names in (draining, gone)),
        )

    def _run(self) -> Coroutine:
        self.reconnect_backoff = RECONNECT_BACKOFF_MIN
        while True:
            try:
                yield from self._watch()
            except Exception as error:  # any type: without a new watch the list would never change again
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
        """Open a watch and read from it until an exception is raised."""
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
            yield from self._let_others_run(sock)
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
                    yield from self._let_others_run(sock)
                self._check_watch(partial_line)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise WatchEndedError("discovery closed the watch")

    def _let_others_run(self, sock: socket.socket) -> Coroutine:
        """Wait until the next turn if the watch has used its share of this one."""
        if self.loop.is_share_used:  # the socket is writable, so that this is no longer than a turn
            yield sock.fileno(), OUT, self.loop.now + HEARTBEAT_TIMEOUT

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
    if is_snapshot and not has_invalid:  # otherwise a backend whose entry is invalid would count as gone
        return ListForm.COMPLETE
    return ListForm.CHANGES
