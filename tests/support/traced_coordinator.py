"""One coordinator of a traced fleet: its channel, its version of the endpoint list, its pending reports."""

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from granitespool.coordinator import Coordinator
from granitespool.net.frames import LENGTH_SIZE, encode_update
from granitespool.outgoing import ProxyUpdate, Queue
from granitespool.planner.events import HealthCheckOutcome, HealthCheckResult, LoadReport
from granitespool.scale.trace import (
    BackendListed,
    ChannelBacklog,
    CoordinatorEnded,
    CoordinatorStarted,
    MessageWritten,
    ProxyJoined,
    ProxyLeft,
)
from granitespool.units import MILLISECOND, SECOND
from support.proxy_fleet import TURN, Entry, MessageSize, ProxyFleet

if TYPE_CHECKING:
    from support.traced_fleet import TracedFleet

ZONES = 3
SEED = 7
HEALTH_CHECK_TIME = MILLISECOND  # ns


class ReportedStart(NamedTuple):
    """The start of a backend as a coordinator has received it."""

    started: int  # ns
    received_at: int  # ns


class TracedProxy:
    """The table of a proxy, from any coordinator; it is kept when a stream ends."""

    def __init__(self, number: int, home: int) -> None:
        """Create a proxy without a stream; `home`: number of the coordinator that it belongs to."""
        self.number = number
        self.home = home
        self.coordinator: TracedCoordinator | None = None
        self.zone = f"z{number % ZONES}"
        self.has_table = False  # whether a coordinator has sent it a table
        self.weights: dict[str, float] = {}
        self.excluded: set[str] = set()
        self.retries: dict[str, int] = {}  # class -> retry mode
        self.reported_starts: dict[str, ReportedStart] = {}  # by backend, of its last message's coordinator
        self.written_at = 0  # ns: write time of its last message

    def usable_weights(self) -> dict[str, float]:
        """Return the weights of the backends that are not excluded."""
        return {name: weight for name, weight in self.weights.items() if name not in self.excluded}

    def apply(self, message: ProxyUpdate) -> None:
        """Apply a message of a coordinator."""
        for _, complete, weights in message.tables:
            if complete:
                self.weights = {}
                self.retries = {}
            self.weights.update(weights)
        self.weights = {name: weight for name, weight in self.weights.items() if weight}
        for classes, _, retries in message.levels:
            self.retries.update(dict.fromkeys(classes if classes is not None else ("a", "b"), retries))
        self.excluded |= set(message.excluded)
        self.excluded -= set(message.readmitted)
        self.has_table = True


class _InTransit(NamedTuple):
    """A message that has not arrived at its proxy yet."""

    arrives_at: float  # ns
    proxy: TracedProxy
    message: Any
    written_at: int  # ns


class _QueuedReports(msgspec.Struct):
    """Sums of the load reports of one link that were not processed yet."""

    attempts: float = 0.0
    failures: float = 0.0
    answered_time: float = 0.0  # ns
    window: int = 0  # ns


class TracedCoordinator(ProxyFleet):
    """One coordinator, which can stop and restart."""

    def __init__(self, fleet: "TracedFleet", name: str, **settings: Any) -> None:
        self.fleet = fleet
        self.name = name
        self.incarnation = 0
        self.phases: dict[str, str] = {}  # backend -> last phase received
        self.reported_starts: dict[str, ReportedStart] = {}
        self.in_transit: list[_InTransit] = []
        self.intake: dict[tuple[str, str], _QueuedReports] = {}  # by zone and backend
        self.recorded_backlog = 0.0
        self.list_delay = 0  # ns
        self.list_position = 0  # number of list changes received
        self.restart_at: int | None = None  # ns: time of the restart; None while it runs
        super().__init__(len(fleet.backends.by_name), ZONES, **settings)

    @property
    def up(self) -> bool:
        """Whether the coordinator is running."""
        return self.restart_at is None

    # The endpoint list

    def send_list(self, form: str, entries: list[Entry]) -> None:
        """Send an endpoint list and record it in the trace."""
        entries = list(entries)
        for name, phase, started in [*entries, *self._absent(form, entries)]:
            self.phases[name] = phase
            if started and self.reported_starts.get(name, ReportedStart(0, 0)).started != started:
                self.reported_starts[name] = ReportedStart(started, self.now)
            listed = BackendListed(
                at=self.now, coordinator=self.name, backend=name, phase=phase, started=started
            )
            self.fleet.record(listed)
        super().send_list(form, entries)

    def _absent(self, form: str, entries: list[Entry]) -> list[Entry]:
        """Return gone entries for the backends that are missing from a complete list."""
        if form == "changes":
            return []
        named = {name for name, _, _ in entries}
        return [
            (name, "gone", 0) for name, phase in self.phases.items() if phase != "gone" and name not in named
        ]

    def catch_up(self) -> None:
        """Send the list changes that are due at this coordinator."""
        changes = self.fleet.backends.changes
        while self.list_position < len(changes):
            change = changes[self.list_position]
            if change.at + self.list_delay > self.now:
                return
            self.list_position += 1
            self.send_list("changes", change.entries)

    def repeat_change(self) -> None:
        """Send the last list change again."""
        if self.list_position:
            self.send_list("changes", self.fleet.backends.changes[self.list_position - 1].entries)

    def send_complete_list(self) -> None:
        """Send the current complete list; list changes that were not sent yet are skipped."""
        self.list_position = len(self.fleet.backends.changes)
        self.send_list("complete", self.fleet.backends.current_list())

    # Streams

    def add_proxy(self, proxy: TracedProxy) -> None:
        """Let a proxy join."""
        self.join(proxy.number, bootstrap=not proxy.has_table)
        proxy.coordinator = self
        self.fleet.record(ProxyJoined(at=self.now, proxy=proxy.number, coordinator=self.name))

    def drop_proxy(self, proxy: TracedProxy) -> None:
        """Break a proxy's stream; messages in transit to it are lost."""
        self.leave(proxy.number)
        self.in_transit = [item for item in self.in_transit if item.proxy is not proxy]
        proxy.coordinator = None
        self.fleet.record(ProxyLeft(at=self.now, proxy=proxy.number, coordinator=self.name))

    def end(self, downtime: int) -> None:
        """Stop the process for `downtime` ns; its channel's content and its streams are lost."""
        self.fleet.record(CoordinatorEnded(at=self.now, coordinator=self.name))
        for number in list(self.joined):
            self.drop_proxy(self.fleet.proxies[number])
        self.restart_at = self.now + downtime
        self.incarnation += 1

    def start(self) -> None:
        """Start a new incarnation that has restored only the last endpoint list."""
        self.restart_at = None
        self.phases = {}
        self.reported_starts = {}
        self.intake = {}
        self.channel = deque()
        self.backlog = 0.0
        self.free_at = 0.0
        self.tables = {}
        self.coordinator = Coordinator(self.settings, SEED + self.incarnation, self.now)
        self.send_list("restored", self.fleet.backends.list_after(self.list_position))
        self.fleet.record(CoordinatorStarted(at=self.now, coordinator=self.name))

    # Turns

    def turn(self, ahead: int = TURN) -> None:
        """Run one turn; only advance the clock while the coordinator is stopped."""
        if not self.up:
            self.now += ahead
            return
        self.catch_up()
        while (request := self.coordinator.pick(Queue.HEALTH_CHECKS)) is not None:
            self._check_health(request.backend)
        super().turn(ahead)
        self._record_backlog()
        self.deliver()

    def _check_health(self, name: str) -> None:
        backend = self.fleet.backends.by_name.get(name)
        if backend is None or backend.phase == "gone":
            outcome = HealthCheckOutcome.UNREACHABLE
        elif backend.phase == "ready":
            outcome = HealthCheckOutcome.OK
        else:
            outcome = HealthCheckOutcome.REJECTED
        result = HealthCheckResult(backend=name, outcome=outcome, latency=HEALTH_CHECK_TIME, load={})
        self.coordinator.report(self.now, result)

    def on_written(self, proxy: int, message: Any, size: MessageSize) -> None:
        """Record a written message, which leaves the channel at `free_at`."""
        written = MessageWritten(
            at=self.now,
            coordinator=self.name,
            proxy=proxy,
            entries=size.entries,
            parts=size.parts,
            largest_part=_largest_part(encode_update(message)),
        )
        self.fleet.record(written)
        self._record_backlog()
        self.in_transit.append(_InTransit(self.free_at, self.fleet.proxies[proxy], message, self.now))

    def _record_backlog(self) -> None:
        if self.backlog != self.recorded_backlog:
            self.recorded_backlog = self.backlog
            self.fleet.record(ChannelBacklog(at=self.now, coordinator=self.name, entries=self.backlog))

    def deliver(self) -> None:
        """Let proxies apply the messages that have arrived."""
        arrived = [item for item in self.in_transit if item.arrives_at <= self.now]
        self.in_transit = [item for item in self.in_transit if item.arrives_at > self.now]
        for item in arrived:
            item.proxy.apply(item.message)
            item.proxy.reported_starts = self.reported_starts
            item.proxy.written_at = item.written_at
            self.fleet.record_table(item.proxy, self.now)

    # Load reports

    def queue_load_report(self, zone: str, name: str, attempts: float, failures: float, mean: float) -> None:
        """Queue a load report of one second; pending reports of a link are summed up."""
        waiting = self.intake.setdefault((zone, name), _QueuedReports())
        waiting.attempts += attempts
        waiting.failures += failures
        waiting.answered_time += (attempts - failures) * mean
        waiting.window += SECOND

    def process_load_reports(self, limit: int) -> None:
        """Process the pending load reports of at most `limit` links."""
        for zone, name in list(self.intake)[:limit]:
            waiting = self.intake.pop((zone, name))
            answered = waiting.attempts - waiting.failures
            report = LoadReport(
                zone=zone,
                backend=name,
                attempts=round(waiting.attempts),
                failures=round(waiting.failures),
                mean=round(waiting.answered_time / answered) if answered else 0,
                window=waiting.window,
                load={},
            )
            self.coordinator.report(self.now, report)


def _largest_part(data: bytes) -> int:
    """Return the size of a message's largest part in bytes, without its length prefix."""
    largest = at = 0
    while at < len(data):
        size = int.from_bytes(data[at : at + LENGTH_SIZE], "little")
        largest = max(largest, size)
        at += LENGTH_SIZE + size
    return largest
