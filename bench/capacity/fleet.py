"""A synthetic fleet before one real coordinator in virtual time, driven through its three calls alone.

The fleet stands in for discovery, collectors, proxies and their channel. Processor time is counted around the
calls of the coordinator and of the codec; what the stand-ins themselves cost is not in it."""

import time
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from random import Random

import msgspec
import orjson

from bench.capacity.reports import event_of, load_reports, usage_reports
from bench.capacity.sizes import Sizes
from bench.capacity.wire import MESSAGE_HEAD, PACE, row_of, wire_settings
from granitespool.coordinator import Coordinator
from granitespool.endpoints import SOCKET_ENTRY, endpoint_from_wire
from granitespool.net.frames import LENGTH_SIZE, encode_update, parse_body
from granitespool.outgoing import HealthCheckRequest, InternalError, ProxyUpdate, Queue
from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    Event,
    HealthCheckOutcome,
    HealthCheckResult,
    ListForm,
    ProxyJoined,
)
from granitespool.settings import settings_from_wire
from granitespool.units import MILLISECOND, SECOND

TURNS = 10  # turns of the loop in a virtual second
TURN = SECOND // TURNS  # ns
START = 1_000_000 * SECOND  # ns: the virtual clock begins here
HEALTH_CHECK_TIME = 2 * MILLISECOND  # ns


class Sent(msgspec.Struct):
    """What the coordinator wrote to proxies, counted."""

    messages: int = 0
    lines: int = 0  # table entries as the protocol counts them, without heads
    bytes: int = 0


class InChannel(msgspec.Struct, frozen=True):
    """A message that is on its way to a proxy."""

    leaves_at: float  # ns
    proxy: int
    barrier: int | None
    written_at: int  # ns


def entries_of(data: bytes) -> int:
    """Table entries of one message as the protocol counts them, without its head."""
    entries = 0
    while data:
        size = int.from_bytes(data[:LENGTH_SIZE], "little")
        part = orjson.loads(data[LENGTH_SIZE : LENGTH_SIZE + size])
        data = data[LENGTH_SIZE + size :]
        entries += sum(len(part.get(key, ())) for key in ("lines", "out", "back"))
        entries += sum(key in part for key in ("whole", "level", "ticket"))
    return entries


class Fleet:
    """Drives one coordinator; `planned_ns`, `written_ns` and `read_ns` are processor time of its parts."""

    def __init__(self, sizes: Sizes, seed: int, index: int = 0) -> None:
        """The coordinator has this index among its peers; nothing is told to it yet."""
        self.sizes = sizes
        self.random = Random(seed)
        self.now = START
        self.planned_ns = 0  # decisions: report, tick, pick
        self.written_ns = 0  # messages to frames
        self.read_ns = 0  # bodies of frames to objects
        self.read_bytes = 0
        self.sent = Sent()
        self.named: set[str] = set()  # backends that messages to proxies have given a weight
        self.channel: deque[InChannel] = deque()
        self.last_applied_at = START  # ns when a proxy last acknowledged a message
        self.free_at = 0.0  # ns when the channel has written all that waits
        self.ready = list(range(sizes.backends))
        self.next_number = sizes.backends
        self.settings = settings_from_wire(wire_settings(sizes, index))
        began = time.process_time_ns()
        self.coordinator = Coordinator(self.settings, seed, self.now)
        self.planned_ns += time.process_time_ns() - began

    def _report(self, event: Event) -> None:
        began = time.process_time_ns()
        self.coordinator.report(self.now, event)
        self.planned_ns += time.process_time_ns() - began

    # Discovery

    def send_list(self, form: ListForm, rows: Iterable[Mapping[str, object]]) -> None:
        """Discovery sends a list or changes of it."""
        entries = [endpoint_from_wire(row, SOCKET_ENTRY) for row in rows]
        self._report(EndpointListUpdate(form, entries))

    def send_complete_list(self, form: ListForm = ListForm.COMPLETE) -> None:
        """Discovery sends the list of all that are ready."""
        self.send_list(form, [row_of(number, self.sizes.zones) for number in self.ready])

    def drain(self, numbers: Sequence[int]) -> None:
        """These backends drain."""
        self._leave_ready(numbers, "draining")

    def lose(self, numbers: Sequence[int]) -> None:
        """These backends are gone."""
        self._leave_ready(numbers, "gone")

    def _leave_ready(self, numbers: Sequence[int], status: str) -> None:
        rows = [row_of(number, self.sizes.zones, status) for number in numbers]
        self.send_list(ListForm.CHANGES, rows)
        leaving = set(numbers)
        self.ready = [number for number in self.ready if number not in leaving]

    def start_backends(self, count: int, zone: int | None = None) -> None:
        """So many cold backends appear under new names, in one zone or spread over all."""
        rows: list[Mapping[str, object]] = []
        while len(rows) < count:
            number = self.next_number
            self.next_number += 1
            if zone is None or number % self.sizes.zones == zone:
                rows.append(row_of(number, self.sizes.zones, since_ms=self.now // MILLISECOND))
                self.ready.append(number)
        self.send_list(ListForm.CHANGES, rows)

    # Proxies and collectors

    def join_all(self) -> None:
        """All proxies join in this turn."""
        rate = self.sizes.requests / self.sizes.planners / max(1, self.sizes.proxies)
        for proxy in range(self.sizes.proxies):
            zone = f"z{proxy % self.sizes.zones}"
            self._report(ProxyJoined(proxy=proxy, zone=zone, bootstrap=False, rate=rate))

    def unassigned(self) -> int:
        """Proxies that have joined and hold no table of this coordinator yet."""
        return self.coordinator.metrics().planner.unassigned

    def change_settings(self) -> None:
        """A configuration with another figure and the same classes comes into force."""
        grace = (self.settings.drain_grace or 0) + MILLISECOND
        changed = msgspec.structs.replace(self.settings, drain_grace=grace)
        began = time.process_time_ns()
        self.coordinator.apply_settings(self.now, changed)
        self.planned_ns += time.process_time_ns() - began

    def load_reports(self) -> list[bytes]:
        """Frames of one second's load reports."""
        return load_reports(self.ready, self.sizes, self.random)

    def usage_reports(self) -> list[bytes]:
        """Frames of one second's usage."""
        return usage_reports(self.sizes, self.random)

    def bring(self, frames: Sequence[bytes]) -> None:
        """Reads frames of reports and reports them, as the streams do."""
        began = time.process_time_ns()
        messages = [parse_body(body[LENGTH_SIZE:]) for body in frames]
        self.read_ns += time.process_time_ns() - began
        self.read_bytes += sum(map(len, frames))
        events = [event_of(message) for message in messages]
        report, now = self.coordinator.report, self.now
        began = time.process_time_ns()
        for event in events:
            report(now, event)
        self.planned_ns += time.process_time_ns() - began

    # Time

    def turn(self) -> None:
        """Ends a turn, writes what waits, and lets the channel and the clock run on."""
        coordinator = self.coordinator
        began = time.process_time_ns()
        coordinator.tick(self.now)
        proxies = [party for party in coordinator.recipients() if isinstance(party, int)]
        messages = [(proxy, coordinator.next_message(proxy)) for proxy in proxies]
        self.planned_ns += time.process_time_ns() - began
        for proxy, message in messages:
            if message is not None:
                self._write(proxy, message)
        checked = self._empty_queues()
        self.now += TURN
        for backend in checked:
            self._report(HealthCheckResult(backend, HealthCheckOutcome.OK, HEALTH_CHECK_TIME, {}))
        while self.channel and self.channel[0].leaves_at <= self.now:
            self._acknowledge(self.channel.popleft())

    def _write(self, proxy: int, message: ProxyUpdate) -> None:
        began = time.process_time_ns()
        data = encode_update(message)
        self.written_ns += time.process_time_ns() - began
        entries = entries_of(data)
        for table in message.tables:
            self.named.update(name for name, weight in table.entries.items() if weight)
        self.sent.messages += 1
        self.sent.lines += entries
        self.sent.bytes += len(data)
        self.free_at = max(self.free_at, self.now) + (entries + MESSAGE_HEAD) / PACE * SECOND
        self.channel.append(InChannel(self.free_at, proxy, message.barrier, self.now))

    def _acknowledge(self, message: InChannel) -> None:
        self.last_applied_at = self.now
        if message.barrier is not None:
            latency = self.now - message.written_at
            self._report(Acknowledged(proxy=message.proxy, sequence=message.barrier, latency=latency))

    def _empty_queues(self) -> list[str]:
        """Empties the queues of what is not for proxies; returns the backends to check the health of."""
        checks = []
        for queue in Queue:
            while (message := self.coordinator.next_message(queue)) is not None:
                if isinstance(message, InternalError):
                    raise RuntimeError(f"the planner failed: {message.text}")  # noqa: TRY004 not its type is wrong
                if isinstance(message, HealthCheckRequest):
                    checks.append(message.backend)
        return checks

    def second(self, frames: Sequence[bytes] | None = None) -> int:
        """One virtual second with these reports spread over its turns; processor time in ns of its parts."""
        before = self.spent_ns
        for part in range(TURNS):
            if frames:
                self.bring(frames[part::TURNS])
            self.turn()
        return self.spent_ns - before

    @property
    def spent_ns(self) -> int:
        """Processor time of decisions, of frames written and of frames read, in ns."""
        return self.planned_ns + self.written_ns + self.read_ns
