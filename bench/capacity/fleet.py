"""A synthetic fleet before one real coordinator in virtual time, driven through its three calls alone.

The fleet stands in for discovery, collectors, proxies and their channel. Processor time is counted around the
calls of the coordinator and of the codec; what the stand-ins themselves cost is not in it.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

import msgspec
import orjson

from bench.capacity.sizes import Sizes
from bench.capacity.wire import MESSAGE_HEAD, PACE, backend_name, row_of, wire_settings
from granitespool.coordinator import Coordinator
from granitespool.endpoints import SOCKET_ENTRY, endpoint_from_wire
from granitespool.net.frames import HEAD, frame, parsed, updates
from granitespool.outgoing import HealthCheckRequest, InternalError, ProxyUpdate, Queue
from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    Event,
    HealthCheckOutcome,
    HealthCheckResult,
    ListForm,
    LoadReport,
    ProxyJoined,
    UsageReport,
)
from granitespool.settings import settings_from_wire
from granitespool.units import MILLISECOND, SECOND

TURNS = 10  # turns of the loop in a virtual second
TURN = SECOND // TURNS  # ns
BEGAN = 1_000_000 * SECOND  # ns: the virtual clock begins here
MEAN_MS = 40.0  # ms that a backend takes to answer
MEAN_NOISE = 0.1  # relative deviation of a mean that is reported
FAILED_SHARE = 0.002  # of the attempts
POISSON_MOST = 30.0  # mean above which a Poisson draw is taken as normal


class Sent(msgspec.Struct):
    """What the coordinator wrote to proxies, counted."""

    messages: int = 0
    lines: int = 0  # as the protocol counts them, without heads
    bytes: int = 0


class Waiting(msgspec.Struct):
    """A message that is on its way to a proxy."""

    leaves_at: float  # ns
    proxy: int
    mark: int | None
    written_at: int  # ns


def lines_of(data: bytes) -> int:
    """Lines of one message as the protocol counts them, without its head."""
    lines = 0
    while data:
        size = int.from_bytes(data[:HEAD], "little")
        part, data = orjson.loads(data[HEAD : HEAD + size]), data[HEAD + size :]
        lines += sum(len(part.get(key, ())) for key in ("lines", "out", "back"))
        lines += sum(key in part for key in ("whole", "level", "ticket"))
    return lines


class Fleet:
    """Drives one coordinator; `planned_ns`, `written_ns` and `read_ns` are processor time of its parts."""

    def __init__(self, sizes: Sizes, seed: int, index: int = 0) -> None:
        self.sizes = sizes
        self.random = Random(seed)
        self.now = BEGAN
        self.planned_ns = 0  # decisions: report, tick, pick
        self.written_ns = 0  # orders to frames
        self.read_ns = 0  # bodies of frames to objects
        self.read_bytes = 0
        self.sent = Sent()
        self.named: set[str] = set()  # backends that orders to proxies have named with a weight
        self.waiting: deque[Waiting] = deque()
        self.last_applied_at = BEGAN  # ns when a proxy last answered that it had applied an order
        self.free_at = 0.0  # ns when the channel has written all that waits
        self.ready = list(range(sizes.backends))
        self.next_number = sizes.backends
        settings = settings_from_wire(wire_settings(sizes, index))
        self.settings = settings
        self.coordinator = self._timed(lambda: Coordinator(settings, seed, self.now))

    def _timed(self, call: Callable[[], object]) -> object:
        began = time.process_time_ns()
        result = call()
        self.planned_ns += time.process_time_ns() - began
        return result

    def tell(self, form: str, rows: Iterable[dict[str, object]]) -> None:
        """Discovery tells a list or changes of it."""
        entries = [endpoint_from_wire(row, SOCKET_ENTRY) for row in rows]
        self._timed(
            lambda: self.coordinator.report(
                self.now, EndpointListUpdate(form=ListForm(form), entries=entries)
            )
        )

    def tell_whole(self, form: str = "complete") -> None:
        """Discovery tells the list of all that are ready."""
        self.tell(form, [row_of(number, self.sizes.zones) for number in self.ready])

    def drain(self, numbers: list[int]) -> None:
        """These backends drain."""
        self.tell("changes", [row_of(number, self.sizes.zones, "draining") for number in numbers])
        leaving = set(numbers)
        self.ready = [number for number in self.ready if number not in leaving]

    def lose(self, numbers: list[int]) -> None:
        """These backends are gone."""
        self.tell("changes", [row_of(number, self.sizes.zones, "gone") for number in numbers])
        leaving = set(numbers)
        self.ready = [number for number in self.ready if number not in leaving]

    def start_backends(self, count: int, zone: int | None = None) -> None:
        """So many cold backends appear under new names, in one zone or spread over all."""
        rows = []
        while len(rows) < count:
            number = self.next_number
            self.next_number += 1
            if zone is None or number % self.sizes.zones == zone:
                rows.append(row_of(number, self.sizes.zones, since_ms=self.now // MILLISECOND))
                self.ready.append(number)
        self.tell("changes", rows)

    def join_all(self) -> None:
        """All proxies join in this turn."""
        rate = self.sizes.requests / self.sizes.planners / max(1, self.sizes.proxies)
        for proxy in range(self.sizes.proxies):
            zone = f"z{proxy % self.sizes.zones}"
            joined = ProxyJoined(proxy=proxy, zone=zone, bootstrap=False, rate=rate)
            self._timed(lambda event=joined: self.coordinator.report(self.now, event))

    def unbound(self) -> int:
        """Proxies that have joined and hold no table of this coordinator yet."""
        return self.coordinator.metrics().planner.unassigned

    def change_settings(self) -> None:
        """A configuration with another figure and the same classes comes into force."""
        grace = self.settings.drain_grace + MILLISECOND
        changed = msgspec.structs.replace(self.settings, drain_grace=grace)
        self._timed(lambda: self.coordinator.new_settings(self.now, changed))

    def heard_messages(self) -> list[bytes]:
        """Frames of one second's reports by the collectors and the proxies, drawn link by link."""
        rate = self.sizes.requests / self.sizes.links
        chance = self.random
        frames = []
        for number in self.ready:
            name = backend_name(number)
            for zone in range(self.sizes.zones):
                tries = self._poisson(rate)
                if not tries:
                    continue
                failed = sum(chance.random() < FAILED_SHARE for _ in range(min(tries, 100)))
                frames.append(
                    frame(
                        {
                            "type": "heard",
                            "locality": f"z{zone}",
                            "endpoint": name,
                            "total": tries,
                            "errors": failed,
                            "rtt": round(max(1.0, MEAN_MS * chance.gauss(1, MEAN_NOISE)), 1)
                            if failed < tries
                            else 0.0,
                            "interval": 1000.0,
                            "metrics": {"inflight": chance.randrange(10), "util": 0.61},
                        }
                    )
                )
        return frames

    def usage_messages(self) -> list[bytes]:
        """Frames of one second's usage: one class of each proxy."""
        rate = self.sizes.requests / self.sizes.planners / max(1, self.sizes.proxies)
        return [
            frame(
                {
                    "type": "usage",
                    "node": proxy,
                    "route": f"route-{self.random.randrange(self.sizes.classes):05d}",
                    "total": max(1, round(rate)),
                    "errors": 0,
                    "interval": 1000.0,
                }
            )
            for proxy in range(self.sizes.proxies)
        ]

    def _poisson(self, mean: float) -> int:
        if mean > POISSON_MOST:
            return max(0, round(self.random.gauss(mean, math.sqrt(mean))))
        limit, number, chance = math.exp(-mean), 0, self.random.random()
        while chance > limit:
            chance *= self.random.random()
            number += 1
        return number

    def bring(self, frames: list[bytes]) -> None:
        """Reads frames of reports and reports them, as the streams do."""
        began = time.process_time_ns()
        messages = [parsed(body[HEAD:]) for body in frames]
        self.read_ns += time.process_time_ns() - began
        self.read_bytes += sum(map(len, frames))
        events = [_event(message) for message in messages]
        report, now = self.coordinator.report, self.now
        began = time.process_time_ns()
        for event in events:
            report(now, event)
        self.planned_ns += time.process_time_ns() - began

    def turn(self) -> None:
        """Ends a turn, writes what waits, and lets the channel and the clock run on."""
        coordinator = self.coordinator
        began = time.process_time_ns()
        coordinator.tick(self.now)
        proxies = [party for party in coordinator.parties() if isinstance(party, int)]
        orders = [(proxy, coordinator.pick(proxy)) for proxy in proxies]
        self.planned_ns += time.process_time_ns() - began
        for proxy, order in orders:
            self._write(proxy, order)
        probed = self._queues()
        self.now += TURN
        for backend in probed:
            self._timed(
                lambda name=backend: coordinator.report(
                    self.now,
                    HealthCheckResult(
                        backend=name, outcome=HealthCheckOutcome.OK, latency=2 * MILLISECOND, load={}
                    ),
                )
            )
        while self.waiting and self.waiting[0].leaves_at <= self.now:
            self._answer(self.waiting.popleft())

    def _write(self, proxy: int, update: ProxyUpdate) -> None:
        began = time.process_time_ns()
        data = updates(update)
        self.written_ns += time.process_time_ns() - began
        lines = lines_of(data)
        for table in update.tables:
            self.named.update(name for name, weight in table.entries.items() if weight)
        self.sent.messages += 1
        self.sent.lines += lines
        self.sent.bytes += len(data)
        self.free_at = max(self.free_at, self.now) + (lines + MESSAGE_HEAD) / PACE * SECOND
        self.waiting.append(Waiting(self.free_at, proxy, update.barrier, self.now))

    def _answer(self, done: Waiting) -> None:
        self.last_applied_at = self.now
        if done.mark is None:
            return
        took = self.now - done.written_at
        self._timed(
            lambda: self.coordinator.report(
                self.now, Acknowledged(proxy=done.proxy, sequence=done.mark, latency=took)
            )
        )

    def _queues(self) -> list[str]:
        """Empties the queues of what is for others than proxies; returns the backends to probe."""
        probed = []
        for queue in Queue:
            while (item := self.coordinator.pick(queue)) is not None:
                if isinstance(item, InternalError):
                    raise RuntimeError(f"the planner failed: {item.text}")
                if isinstance(item, HealthCheckRequest):
                    probed.append(item.backend)
        return probed

    def second(self, frames: list[bytes] | None = None) -> int:
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


def _event(message: dict) -> Event:
    """A report as the streams hand it on."""
    window = int(message["interval"] * MILLISECOND)
    if message["type"] == "usage":
        return UsageReport(
            proxy=message["node"],
            request_class=message["route"],
            requests=message["total"],
            unanswered=message["errors"],
            window=window,
        )
    return LoadReport(
        zone=message["locality"],
        backend=message["endpoint"],
        attempts=message["total"],
        failures=message["errors"],
        mean=int(message["rtt"] * MILLISECOND),
        window=window,
        load=message["metrics"],
    )
