"""One coordinator of a traced fleet: its channel, what it was told of the list, what its intake holds."""

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


class StartTold(NamedTuple):
    """When a backend started, as a coordinator was told of it."""

    started: int  # ns
    told_at: int  # ns


class TracedProxy:
    """What a proxy holds, whoever wrote it; it outlives the proxy's streams."""

    def __init__(self, number: int, home: int) -> None:
        """`home`: the number of the coordinator that it belongs to."""
        self.number = number
        self.home = home
        self.coordinator: TracedCoordinator | None = None
        self.zone = f"z{number % ZONES}"
        self.has_table = False  # that a coordinator gave it
        self.weights: dict[str, float] = {}
        self.excluded: set[str] = set()
        self.retries: dict[str, int] = {}  # class -> manner of retrying
        self.starts_told: dict[str, StartTold] = {}  # to its last message's coordinator
        self.written_at = 0  # ns, of its last message

    def open_weights(self) -> dict[str, float]:
        """The backends that it may pick."""
        return {name: weight for name, weight in self.weights.items() if name not in self.excluded}

    def apply(self, message: ProxyUpdate) -> None:
        """Applies a message of a coordinator."""
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


class _OnTheWay(NamedTuple):
    """A message that has not arrived at its proxy."""

    arrives_at: float  # ns
    proxy: TracedProxy
    message: Any
    written_at: int  # ns


class _Waiting(msgspec.Struct):
    """Load reports of one link that wait for the intake, summed up."""

    attempts: float = 0.0
    failures: float = 0.0
    answered_time: float = 0.0  # ns
    window: int = 0  # ns


class TracedCoordinator(ProxyFleet):
    """One coordinator, which may end and start again."""

    def __init__(self, fleet: "TracedFleet", name: str, **settings: Any) -> None:
        self.fleet = fleet
        self.name = name
        self.incarnation = 0
        self.phases: dict[str, str] = {}  # backend -> phase that it was told last
        self.starts_told: dict[str, StartTold] = {}
        self.on_the_way: list[_OnTheWay] = []
        self.intake: dict[tuple[str, str], _Waiting] = {}  # (zone, backend)
        self.backlog_seen = 0.0
        self.list_delay = 0  # ns
        self.list_position = 0  # changes of the list that it was told
        self.up_at: int | None = None  # ns; None: it runs
        super().__init__(len(fleet.backends.by_name), ZONES, **settings)

    @property
    def up(self) -> bool:
        """Whether it runs."""
        return self.up_at is None

    # The list

    def send_list(self, form: str, entries: list[Entry]) -> None:
        """Discovery sends a list, which is traced."""
        entries = list(entries)
        for name, phase, started in [*entries, *self._absent(form, entries)]:
            self.phases[name] = phase
            if started and self.starts_told.get(name, StartTold(0, 0)).started != started:
                self.starts_told[name] = StartTold(started, self.now)
            listed = BackendListed(
                at=self.now, coordinator=self.name, backend=name, phase=phase, started=started
            )
            self.fleet.record(listed)
        super().send_list(form, entries)

    def _absent(self, form: str, entries: list[Entry]) -> list[Entry]:
        """Entries of those that a list of this form shows to be gone, though it does not name them."""
        if form == "changes":
            return []
        named = {name for name, _, _ in entries}
        return [
            (name, "gone", 0) for name, phase in self.phases.items() if phase != "gone" and name not in named
        ]

    def catch_up(self) -> None:
        """Takes the changes of the list that are due here."""
        changes = self.fleet.backends.changes
        while self.list_position < len(changes):
            change = changes[self.list_position]
            if change.at + self.list_delay > self.now:
                return
            self.list_position += 1
            self.send_list("changes", change.entries)

    def repeat_change(self) -> None:
        """The last change that it was told is told once more."""
        if self.list_position:
            self.send_list("changes", self.fleet.backends.changes[self.list_position - 1].entries)

    def send_complete_list(self) -> None:
        """A complete list of now, which skips what was not told yet."""
        self.list_position = len(self.fleet.backends.changes)
        self.send_list("complete", self.fleet.backends.current_list())

    # Streams

    def take(self, proxy: TracedProxy) -> None:
        """A proxy joins."""
        self.join(proxy.number, bootstrap=not proxy.has_table)
        proxy.coordinator = self
        self.fleet.record(ProxyJoined(at=self.now, proxy=proxy.number, coordinator=self.name))

    def lose(self, proxy: TracedProxy) -> None:
        """A proxy's stream breaks; what is on its way to it is lost."""
        self.leave(proxy.number)
        self.on_the_way = [each for each in self.on_the_way if each.proxy is not proxy]
        proxy.coordinator = None
        self.fleet.record(ProxyLeft(at=self.now, proxy=proxy.number, coordinator=self.name))

    def end(self, downtime: int) -> None:
        """The process ends for so long (ns): what waits in its channel is lost, its proxies go elsewhere."""
        self.fleet.record(CoordinatorEnded(at=self.now, coordinator=self.name))
        for number in list(self.joined):
            self.lose(self.fleet.proxies[number])
        self.up_at = self.now + downtime
        self.incarnation += 1

    def start(self) -> None:
        """A new incarnation, which knows the list as it was told it last and nothing else."""
        self.up_at = None
        self.phases = {}
        self.starts_told = {}
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
        """One turn; only time passes while it is down."""
        if not self.up:
            self.now += ahead
            return
        self.catch_up()
        while (request := self.coordinator.next_message(Queue.HEALTH_CHECKS)) is not None:
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
        """A message was written: it leaves the channel at `free_at`."""
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
        self.on_the_way.append(_OnTheWay(self.free_at, self.fleet.proxies[proxy], message, self.now))

    def _record_backlog(self) -> None:
        if self.backlog != self.backlog_seen:
            self.backlog_seen = self.backlog
            self.fleet.record(ChannelBacklog(at=self.now, coordinator=self.name, entries=self.backlog))

    def deliver(self) -> None:
        """Proxies apply what has arrived."""
        arrived = [each for each in self.on_the_way if each.arrives_at <= self.now]
        self.on_the_way = [each for each in self.on_the_way if each.arrives_at > self.now]
        for each in arrived:
            each.proxy.apply(each.message)
            each.proxy.starts_told = self.starts_told
            each.proxy.written_at = each.written_at
            self.fleet.record_table(each.proxy, self.now)

    # Load reports

    def report_later(self, zone: str, name: str, attempts: float, failures: float, mean: float) -> None:
        """A load report of a second, which waits for the intake; what waits adds up."""
        waiting = self.intake.setdefault((zone, name), _Waiting())
        waiting.attempts += attempts
        waiting.failures += failures
        waiting.answered_time += (attempts - failures) * mean
        waiting.window += SECOND

    def take_in(self, most: int) -> None:
        """Takes as many load reports as the intake does in a second."""
        for zone, name in list(self.intake)[:most]:
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
    """Bytes of the largest part of a message, without the length before it."""
    largest = at = 0
    while at < len(data):
        size = int.from_bytes(data[at : at + LENGTH_SIZE], "little")
        largest = max(largest, size)
        at += LENGTH_SIZE + size
    return largest
