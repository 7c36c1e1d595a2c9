"""Drive a real coordinator in virtual time with a synthetic fleet, only through its public calls.

The fleet is a stand-in of discovery, collectors, proxies and their channel. Processor time is measured around
the calls of the coordinator and of the codec; the time of the stand-ins is excluded.
"""

import time
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from random import Random

import msgspec
import orjson

from bench.capacity.reports import event_of, load_reports, usage_reports
from bench.capacity.sizes import Sizes
from bench.capacity.wire import CHANNEL_RATE, MESSAGE_HEAD_ENTRIES, endpoint_row, wire_settings
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
START = 1_000_000 * SECOND  # ns, the virtual clock at the start
HEALTH_CHECK_TIME = 2 * MILLISECOND  # ns


class SentCounts(msgspec.Struct):
    """Counts of what the coordinator sent to proxies."""

    messages: int = 0
    lines: int = 0  # table entries as the protocol counts them, without message heads
    bytes: int = 0


class ChannelMessage(msgspec.Struct, frozen=True):
    """A message in the channel to a proxy."""

    leaves_at: float  # ns
    proxy: int
    barrier: int | None
    written_at: int  # ns


def entries_of(data: bytes) -> int:
    """Return the number of table entries in a message by the protocol's count, without the head."""
    entries = 0
    while data:
        size = int.from_bytes(data[:LENGTH_SIZE], "little")
        part = orjson.loads(data[LENGTH_SIZE : LENGTH_SIZE + size])
        data = data[LENGTH_SIZE + size :]
        entries += sum(len(part.get(key, ())) for key in ("lines", "out", "back"))
        entries += sum(key in part for key in ("whole", "level", "ticket"))
    return entries


class Fleet:
    """Stand-in of the fleet around one coordinator.

    `planned_ns`, `written_ns` and `read_ns` are processor times of the coordinator's parts.
    """

    def __init__(self, sizes: Sizes, seed: int, index: int = 0) -> None:
        """Create the coordinator with this index among its peers, without reporting any event to it."""
        self.sizes = sizes
        self.random = Random(seed)
        self.now = START
        self.planned_ns = 0  # decisions: report, tick, pick
        self.written_ns = 0  # encoding of messages
        self.read_ns = 0  # decoding of frames
        self.read_bytes = 0
        self.sent = SentCounts()
        self.named_backends: set[str] = set()  # backends that had a weight in a message to a proxy
        self.channel: deque[ChannelMessage] = deque()
        self.last_applied_at = START  # ns when a proxy last acknowledged a message
        self.channel_free_at = 0.0  # ns when the channel has sent all queued messages
        self.ready = list(range(sizes.backends))
        self.next_number = sizes.backends
        self.settings = settings_from_wire(wire_settings(sizes, index))
        started_at = time.process_time_ns()
        self.coordinator = Coordinator(self.settings, seed, self.now)
        self.planned_ns += time.process_time_ns() - started_at

    def _report(self, event: Event) -> None:
        started_at = time.process_time_ns()
        self.coordinator.report(self.now, event)
        self.planned_ns += time.process_time_ns() - started_at

    # Discovery

    def send_list(self, form: ListForm, rows: Iterable[Mapping[str, object]]) -> None:
        """Send the endpoint list or changes of it."""
        entries = [endpoint_from_wire(row, SOCKET_ENTRY) for row in rows]
        self._report(EndpointListUpdate(form, entries))

    def send_complete_list(self, form: ListForm = ListForm.COMPLETE) -> None:
        """Send the endpoint list of all ready backends."""
        self.send_list(form, [endpoint_row(number, self.sizes.zones) for number in self.ready])

    def drain(self, numbers: Sequence[int]) -> None:
        """Report these backends as draining."""
        self._leave_ready(numbers, "draining")

    def lose(self, numbers: Sequence[int]) -> None:
        """Report these backends as gone."""
        self._leave_ready(numbers, "gone")

    def _leave_ready(self, numbers: Sequence[int], status: str) -> None:
        rows = [endpoint_row(number, self.sizes.zones, status) for number in numbers]
        self.send_list(ListForm.CHANGES, rows)
        leaving = set(numbers)
        self.ready = [number for number in self.ready if number not in leaving]

    def start_backends(self, count: int, zone: int | None = None) -> None:
        """Report cold backends under new names, in one zone or spread over all zones."""
        rows: list[Mapping[str, object]] = []
        while len(rows) < count:
            number = self.next_number
            self.next_number += 1
            if zone is None or number % self.sizes.zones == zone:
                rows.append(endpoint_row(number, self.sizes.zones, since_ms=self.now // MILLISECOND))
                self.ready.append(number)
        self.send_list(ListForm.CHANGES, rows)

    # Proxies, collectors and settings

    def join_all(self) -> None:
        """Report that all proxies join in this turn."""
        rate = self.sizes.requests / self.sizes.planners / max(1, self.sizes.proxies)
        for proxy in range(self.sizes.proxies):
            zone = f"z{proxy % self.sizes.zones}"
            self._report(ProxyJoined(proxy=proxy, zone=zone, bootstrap=False, rate=rate))

    def unassigned(self) -> int:
        """Return the number of joined proxies without a table of this coordinator."""
        return self.coordinator.metrics().planner.unassigned

    def change_settings(self) -> None:
        """Apply settings with another drain grace and the same classes."""
        grace = (self.settings.drain_grace or 0) + MILLISECOND
        changed = msgspec.structs.replace(self.settings, drain_grace=grace)
        started_at = time.process_time_ns()
        self.coordinator.apply_settings(self.now, changed)
        self.planned_ns += time.process_time_ns() - started_at

    def load_reports(self) -> list[bytes]:
        """Return the frames of one second's load reports."""
        return load_reports(self.ready, self.sizes, self.random)

    def usage_reports(self) -> list[bytes]:
        """Return the frames of one second's usage reports."""
        return usage_reports(self.sizes, self.random)

    def report_frames(self, frames: Sequence[bytes]) -> None:
        """Decode frames of reports and report their events, as the streams do."""
        started_at = time.process_time_ns()
        messages = [parse_body(body[LENGTH_SIZE:]) for body in frames]
        self.read_ns += time.process_time_ns() - started_at
        self.read_bytes += sum(map(len, frames))
        events = [event_of(message) for message in messages]
        report, now = self.coordinator.report, self.now
        started_at = time.process_time_ns()
        for event in events:
            report(now, event)
        self.planned_ns += time.process_time_ns() - started_at

    # Turns and the channel

    def turn(self) -> None:
        """End a turn, send pending messages, and advance the channel and the clock."""
        coordinator = self.coordinator
        started_at = time.process_time_ns()
        coordinator.tick(self.now)
        proxies = [recipient for recipient in coordinator.recipients() if isinstance(recipient, int)]
        messages = [(proxy, coordinator.pick(proxy)) for proxy in proxies]
        self.planned_ns += time.process_time_ns() - started_at
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
        started_at = time.process_time_ns()
        data = encode_update(message)
        self.written_ns += time.process_time_ns() - started_at
        entries = entries_of(data)
        for table in message.tables:
            self.named_backends.update(name for name, weight in table.entries.items() if weight)
        self.sent.messages += 1
        self.sent.lines += entries
        self.sent.bytes += len(data)
        self.channel_free_at = (
            max(self.channel_free_at, self.now) + (entries + MESSAGE_HEAD_ENTRIES) / CHANNEL_RATE * SECOND
        )
        self.channel.append(ChannelMessage(self.channel_free_at, proxy, message.barrier, self.now))

    def _acknowledge(self, message: ChannelMessage) -> None:
        self.last_applied_at = self.now
        if message.barrier is not None:
            latency = self.now - message.written_at
            self._report(Acknowledged(proxy=message.proxy, sequence=message.barrier, latency=latency))

    def _empty_queues(self) -> list[str]:
        """Empty the queues of all outputs except proxies; return the backends that need a health check."""
        checks = []
        for queue in Queue:
            while (message := self.coordinator.pick(queue)) is not None:
                if isinstance(message, InternalError):
                    raise RuntimeError(f"the planner failed: {message.text}")  # noqa: TRY004 the type is as expected
                if isinstance(message, HealthCheckRequest):
                    checks.append(message.backend)
        return checks

    def second(self, frames: Sequence[bytes] | None = None) -> int:
        """Run one virtual second with the reports spread over its turns; return its processor time in ns."""
        before = self.processor_ns
        for part in range(TURNS):
            if frames:
                self.report_frames(frames[part::TURNS])
            self.turn()
        return self.processor_ns - before

    @property
    def processor_ns(self) -> int:
        """Processor time of decisions, of frames written and of frames read, in ns."""
        return self.planned_ns + self.written_ns + self.read_ns
