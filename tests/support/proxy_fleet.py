"""Stand-in proxies before one real coordinator, on a channel that counts what is really written.

What each proxy is written is counted frame by frame, by the protocol page's words, and leaves the channel in
order at the channel's true pace, which may be slower than the coordinator was told. After each turn what
really waits must be no more than what the coordinator has booked, and no more than the limit."""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

import orjson

from granitespool.coordinator import Coordinator
from granitespool.net.frames import LENGTH_SIZE, encode_update
from granitespool.outgoing import ProxyUpdate, Queue
from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    ListForm,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    UsageReport,
)
from granitespool.units import SECOND
from support.records import endpoint, settings_of

START = 100 * SECOND  # ns: the clock begins here
TURN = SECOND // 20  # ns
SEED = 7
PARTS_LIMIT = 64  # of one message
PROXY_RATE = 5.0  # requests a second
ROUNDING = 1e-6  # entries
SETTINGS = {
    "health_checks_allowed": False,
    "entries_per_s": 1000.0,
    "backlog_limit": 5000.0,
    "message_header": 3.0,
    "bootstrap_entries": 5,
    "drain_grace": 7 * SECOND,
    "warm_up_time": 10 * SECOND,
    "warm_up_start_share": 0.2,
    "admission": "fraction",
    "classes": [
        {"name": "a", "latency_objective": SECOND, "priority_weight": 1.0},
        {"name": "b", "latency_objective": SECOND, "priority_weight": 5.0},
    ],
}
CLASSES = ("a", "b")

Entry = tuple[str, str, int]  # backend, phase, started at (ns; 0: long ago)


class MessageSize(NamedTuple):
    """How large one message is."""

    entries: int  # weights, exclusions, readmissions, levels, tickets and complete tables
    parts: int


class InChannel(NamedTuple):
    """A message that the channel still carries."""

    leaves_at: float  # ns
    entries: float
    proxy: int
    barrier: int | None
    written_at: int  # ns


class HeldTable(NamedTuple):
    """What a proxy holds once it has applied what is on its way."""

    weights: dict[str, float]
    excluded: set[str]


def size_of(data: bytes) -> MessageSize:
    """The size of one message from its frames."""
    entries = parts = 0
    while data:
        size = int.from_bytes(data[:LENGTH_SIZE], "little")
        part = orjson.loads(data[LENGTH_SIZE : LENGTH_SIZE + size])
        data = data[LENGTH_SIZE + size :]
        entries += sum(len(part.get(key, ())) for key in ("lines", "out", "back"))
        entries += sum(key in part for key in ("whole", "level", "ticket"))
        parts += 1
    return MessageSize(entries, parts)


class ProxyFleet:
    """Proxies of one coordinator before so many backends in so many zones."""

    def __init__(
        self, backends: int, zones: int, coordinators: int = 1, slowdown: float = 1.0, **settings: Any
    ) -> None:
        """`slowdown`: how many times slower the channel is than told; `settings` replace some of SETTINGS."""
        self.now = START
        self.slowdown = slowdown
        self.due: int | None = None  # ns: when the coordinator wants its next turn
        self.settings = settings_of(
            {
                **SETTINGS,
                "zones": [f"z{number}" for number in range(zones)],
                "coordinators": coordinators,
                **settings,
            }
        )
        self.coordinator = Coordinator(self.settings, SEED, self.now)
        self.channel: deque[InChannel] = deque()
        self.free_at = 0.0  # ns: when the channel has carried all that waits
        self.backlog = 0.0  # entries that wait in the channel
        self.largest_backlog_share = 0.0  # of the limit
        self.joined: dict[int, str] = {}  # proxy -> zone
        self.tables: dict[int, HeldTable] = {}
        self.acknowledges = True
        self.zones = zones
        self.response_times: dict[int, int] = {}  # place in `ready` -> ns, for `report_load`
        self.backends_made = 0
        self.ready = [self._new_name() for _ in range(backends)]
        self.send_list("restored", [(name, "ready", 0) for name in self.ready])

    def _new_name(self) -> str:
        self.backends_made += 1
        return f"s{self.backends_made}"

    def zone_of(self, backend: str) -> str:
        """The zone of a backend, by the number in its name."""
        return f"z{int(backend[1:]) % self.zones}"

    # The endpoint list

    def send_list(self, form: str, entries: Iterable[Entry]) -> None:
        """Discovery sends a list of this form (a `ListForm`)."""
        endpoints = [
            endpoint(name, self.zone_of(name), "k", phase, started_at=started)
            for name, phase, started in entries
        ]
        self.coordinator.report(self.now, EndpointListUpdate(ListForm(form), endpoints))

    def replace_backends(self, count: int, renamed: bool = True) -> None:
        """The first of those ready drain, and as many cold ones come: new ones, or the same again."""
        old = self.ready[:count]
        self.ready = self.ready[count:]
        new = [self._new_name() for _ in old] if renamed else old
        self.send_list("changes", [(name, "draining", 0) for name in old])
        if not renamed:
            self.turn()
        self.send_list("changes", [(name, "ready", self.now) for name in new])
        self.ready += new

    def remove_backends(self, names: Iterable[str]) -> None:
        """Discovery tells that these are gone."""
        self.send_list("changes", [(name, "gone", 0) for name in names])

    # Proxies

    def join(self, proxy: int, bootstrap: bool = True) -> None:
        """A proxy joins; one that has joined leaves first."""
        if proxy in self.joined:
            self.leave(proxy)
        self.joined[proxy] = f"z{proxy % self.zones}"
        joined = ProxyJoined(proxy=proxy, zone=self.joined[proxy], bootstrap=bootstrap, rate=PROXY_RATE)
        self.coordinator.report(self.now, joined)

    def leave(self, proxy: int) -> None:
        """Its stream breaks: what waits for it has left the channel, whether that was noticed or not."""
        self.channel = deque(message for message in self.channel if message.proxy != proxy)
        self.backlog = sum(message.entries for message in self.channel)
        del self.joined[proxy]
        self.tables.pop(proxy, None)
        self.coordinator.report(self.now, ProxyLeft(proxy=proxy))

    def report_load(self, mean: int | None, failed_share: float = 0.0, attempts: int = 20) -> None:
        """What every zone saw at every backend: this mean (ns), or each one's own of `response_times`."""
        for number, backend in enumerate(self.ready):
            for zone in set(self.joined.values()):
                report = LoadReport(
                    zone=zone,
                    backend=backend,
                    attempts=attempts,
                    failures=int(failed_share * attempts),
                    mean=self.response_times[number] if mean is None else mean,
                    window=SECOND,
                    load={},
                )
                self.coordinator.report(self.now, report)
        for name in CLASSES:
            usage = UsageReport(
                proxy=0,
                request_class=name,
                requests=attempts * len(self.ready),
                unanswered=0,
                window=SECOND,
            )
            self.coordinator.report(self.now, usage)

    # Time

    def turn(self, ahead: int = TURN) -> None:
        """Ends the turn, writes, and lets the channel run for a while (ns)."""
        self.due = self.coordinator.tick(self.now)
        for proxy in list(self.coordinator.updates.waiting):
            self._write(proxy, self.coordinator.next_message(proxy))
        self._check()
        self.now += ahead
        while self.channel and self.channel[0].leaves_at <= self.now:
            self._arrive(self.channel.popleft())

    def run(self, seconds: float) -> None:
        """Turns for so long."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.turn()

    def _write(self, proxy: int, message: ProxyUpdate) -> None:
        size = size_of(encode_update(message))
        assert size.parts <= PARTS_LIMIT
        entries = size.entries + self.settings.message_header
        pace = self.settings.entries_per_s / self.slowdown / SECOND
        self.free_at = max(self.free_at, self.now) + entries / pace
        self.channel.append(InChannel(self.free_at, entries, proxy, message.barrier, self.now))
        self.backlog += entries
        self._hold(proxy, message)
        self.on_written(proxy, message, size)

    def on_written(self, proxy: int, message: ProxyUpdate, size: MessageSize) -> None:
        """A message was written; for those who build on this."""

    def _check(self) -> None:
        booked = self.coordinator.planner.in_flight.in_flight
        errors = self.coordinator.queues[Queue.INTERNAL_ERRORS]
        assert not errors, errors[0]
        assert self.backlog <= booked + ROUNDING, f"{self.backlog} entries wait and {booked} are booked"
        assert self.backlog <= self.settings.backlog_limit, f"{self.backlog} entries wait"
        share = self.backlog / self.settings.backlog_limit
        self.largest_backlog_share = max(self.largest_backlog_share, share)

    def _arrive(self, message: InChannel) -> None:
        self.backlog -= message.entries
        if self.acknowledges and message.barrier is not None:
            latency = self.now - message.written_at
            acknowledged = Acknowledged(proxy=message.proxy, sequence=message.barrier, latency=latency)
            self.coordinator.report(self.now, acknowledged)

    def _hold(self, proxy: int, message: ProxyUpdate) -> None:
        table = self.tables.setdefault(proxy, HeldTable({}, set()))
        for _, complete, weights in message.tables:
            if complete:
                table.weights.clear()
            table.weights.update(weights)
        for name in [name for name, weight in table.weights.items() if not weight]:
            del table.weights[name]
        table.excluded.update(message.excluded)
        table.excluded.difference_update(message.readmitted)
