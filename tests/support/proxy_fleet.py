"""Stand-in proxies of one real coordinator, on a channel that counts the entries that are written.

The messages to each proxy are counted frame by frame, as the protocol counts entries, and leave the channel
in order at its true rate, which may be slower than the configured one. After each turn the backlog of the
channel must not exceed the coordinator's account of entries in flight, nor the backlog limit.
"""

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

START = 100 * SECOND  # ns: first time of the clock
TURN = SECOND // 20  # ns
SEED = 7
MAX_MESSAGE_PARTS = 64
PROXY_RATE = 5.0  # requests a second
ROUNDING = 1e-6  # entries of tolerance for rounding errors
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

Entry = tuple[str, str, int]  # backend, phase, start time (ns; 0: long ago)


class MessageSize(NamedTuple):
    """The size of one message."""

    entries: int  # weights, exclusions, readmissions, levels, barriers and complete tables
    parts: int


class QueuedMessage(NamedTuple):
    """A message that has not left the channel."""

    leaves_at: float  # ns
    entries: float
    proxy: int
    barrier: int | None
    written_at: int  # ns


class ProxyTable(NamedTuple):
    """The table and exclusions of a proxy after it has applied all messages in flight."""

    weights: dict[str, float]
    excluded: set[str]


def size_of(data: bytes) -> MessageSize:
    """Return the size of one message from its frames."""
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
    """The proxies of one coordinator, with backends in some zones."""

    def __init__(
        self, backends: int, zones: int, coordinators: int = 1, slowdown: float = 1.0, **settings: Any
    ) -> None:
        """Start the coordinator and send it the endpoint list.

        `slowdown`: factor by which the channel is slower than configured; `settings` override SETTINGS.
        """
        self.now = START
        self.slowdown = slowdown
        self.next_turn_at: int | None = None  # ns: time of the coordinator's next turn
        self.settings = settings_of(
            {
                **SETTINGS,
                "zones": [f"z{number}" for number in range(zones)],
                "coordinators": coordinators,
                **settings,
            }
        )
        self.coordinator = Coordinator(self.settings, SEED, self.now)
        self.channel: deque[QueuedMessage] = deque()
        self.free_at = 0.0  # ns: time at which the channel will be empty
        self.backlog = 0.0  # entries in the channel
        self.largest_backlog_share = 0.0  # share of the backlog limit
        self.joined: dict[int, str] = {}  # proxy -> zone
        self.tables: dict[int, ProxyTable] = {}
        self.acknowledges = True
        self.silent: set[int] = set()  # proxies that acknowledge nothing
        self.zones = zones
        self.response_times: dict[int, int] = {}  # index in `ready` -> ns, for `report_load`
        self.backends_created = 0
        self.ready = [self._next_backend_name() for _ in range(backends)]
        self.send_list("restored", [(name, "ready", 0) for name in self.ready])

    def _next_backend_name(self) -> str:
        self.backends_created += 1
        return f"s{self.backends_created}"

    def zone_of(self, backend: str) -> str:
        """Return the zone of a backend, by the number in its name."""
        return f"z{int(backend[1:]) % self.zones}"

    # The endpoint list

    def send_list(self, form: str, entries: Iterable[Entry]) -> None:
        """Report an endpoint list of this form (a `ListForm` value)."""
        endpoints = [
            endpoint(name, self.zone_of(name), "k", phase, started_at=started)
            for name, phase, started in entries
        ]
        self.coordinator.report(self.now, EndpointListUpdate(ListForm(form), endpoints))

    def replace_backends(self, count: int, renamed: bool = True) -> None:
        """Drain the first `count` ready backends and start as many: new ones, or the same ones again."""
        old = self.ready[:count]
        self.ready = self.ready[count:]
        new = [self._next_backend_name() for _ in old] if renamed else old
        self.send_list("changes", [(name, "draining", 0) for name in old])
        if not renamed:
            self.turn()
        self.send_list("changes", [(name, "ready", self.now) for name in new])
        self.ready += new

    def remove_backends(self, names: Iterable[str]) -> None:
        """Report list changes by which these backends are gone."""
        self.send_list("changes", [(name, "gone", 0) for name in names])

    # Proxies

    def join(self, proxy: int, bootstrap: bool = True) -> None:
        """Let a proxy join; if it has joined before, it leaves first."""
        if proxy in self.joined:
            self.leave(proxy)
        self.joined[proxy] = f"z{proxy % self.zones}"
        joined = ProxyJoined(proxy=proxy, zone=self.joined[proxy], bootstrap=bootstrap, rate=PROXY_RATE)
        self.coordinator.report(self.now, joined)

    def leave(self, proxy: int) -> None:
        """End the stream of a proxy: its messages leave the channel, even those not acknowledged."""
        self.channel = deque(message for message in self.channel if message.proxy != proxy)
        self.backlog = sum(message.entries for message in self.channel)
        del self.joined[proxy]
        self.tables.pop(proxy, None)
        self.coordinator.report(self.now, ProxyLeft(proxy=proxy))

    def report_load(self, mean: int | None, failed_share: float = 0.0, attempts: int = 20) -> None:
        """Report load of every zone at every backend, with this mean (ns) or those of `response_times`."""
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
        """End the turn, write the messages and let the channel run for `ahead` ns."""
        self.next_turn_at = self.coordinator.tick(self.now)
        for proxy in list(self.coordinator.updates.waiting):
            self._write(proxy, self.coordinator.pick(proxy))
        self._check()
        self.now += ahead
        while self.channel and self.channel[0].leaves_at <= self.now:
            self._arrive(self.channel.popleft())

    def run(self, seconds: float) -> None:
        """Run turns for `seconds`."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.turn()

    def _write(self, proxy: int, message: ProxyUpdate) -> None:
        size = size_of(encode_update(message))
        assert size.parts <= MAX_MESSAGE_PARTS
        entries = size.entries + self.settings.message_header
        entries_per_ns = self.settings.entries_per_s / self.slowdown / SECOND
        self.free_at = max(self.free_at, self.now) + entries / entries_per_ns
        self.channel.append(QueuedMessage(self.free_at, entries, proxy, message.barrier, self.now))
        self.backlog += entries
        self._update_table(proxy, message)
        self.on_written(proxy, message, size)

    def on_written(self, proxy: int, message: ProxyUpdate, size: MessageSize) -> None:
        """Handle a written message; a hook for subclasses."""

    def _check(self) -> None:
        in_flight = self.coordinator.planner.in_flight.in_flight
        errors = self.coordinator.queues[Queue.INTERNAL_ERRORS]
        assert not errors, errors[0]
        assert self.backlog <= in_flight + ROUNDING, (
            f"backlog {self.backlog} exceeds the account, {in_flight}"
        )
        assert self.backlog <= self.settings.backlog_limit, f"backlog {self.backlog} exceeds the limit"
        share = self.backlog / self.settings.backlog_limit
        self.largest_backlog_share = max(self.largest_backlog_share, share)

    def on_arrived(self, proxy: int) -> None:
        """Handle the arrival of the oldest message that was written to a proxy; a hook for subclasses."""

    def _arrive(self, message: QueuedMessage) -> None:
        self.backlog -= message.entries
        self.on_arrived(message.proxy)
        acknowledges = self.acknowledges and message.proxy not in self.silent
        if acknowledges and message.barrier is not None:
            latency = self.now - message.written_at
            acknowledged = Acknowledged(proxy=message.proxy, sequence=message.barrier, latency=latency)
            self.coordinator.report(self.now, acknowledged)

    def _update_table(self, proxy: int, message: ProxyUpdate) -> None:
        table = self.tables.setdefault(proxy, ProxyTable({}, set()))
        for _, complete, weights in message.tables:
            if complete:
                table.weights.clear()
            table.weights.update(weights)
        for name in [name for name, weight in table.weights.items() if not weight]:
            del table.weights[name]
        table.excluded.update(message.excluded)
        table.excluded.difference_update(message.readmitted)
