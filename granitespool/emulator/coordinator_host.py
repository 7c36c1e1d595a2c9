"""Run the incarnations of a coordinator in virtual time, and deliver their inputs and outputs.

When an incarnation ends, all its messages to proxies, acknowledgements, load reports and health check results
that have not arrived yet are dropped, as closed sockets would drop them.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random

from granitespool.coordinator import Coordinator
from granitespool.emulator.backend import Backend
from granitespool.emulator.channel import BATCH_INTERVAL, Channel
from granitespool.emulator.clock import VirtualClock
from granitespool.endpoints import Endpoint, Phase
from granitespool.outgoing import HealthCheckRequest, InternalError, OutgoingMessage, ProxyUpdate, Recipient
from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    Event,
    HealthCheckOutcome,
    HealthCheckResult,
    ListForm,
    ProxyJoined,
    UsageReport,
)
from granitespool.simulation.proxy_table import (
    AdmissionLevel,
    AdmissionUpdate,
    ProxyTable,
    TableUpdate,
    WeightUpdate,
)
from granitespool.units import MILLISECOND, SECOND

HEALTH_CHECK_LATENCY = 2 * MILLISECOND  # ns
HEALTH_CHECK_TIMEOUT = SECOND // 2  # ns; same timeout as in the service
APPLY_DURATION = 5 * MILLISECOND  # ns that a proxy needs to apply a message
UPDATE_OVERHEAD_ENTRIES = 2  # size of a message without its contents, in table entries
MACHINE_TYPE = "m"  # all backends have the same machine type and cell
CELL = 0

RestoreCallback = Callable[[Coordinator], None]


class CoordinatorHost:
    """Host that runs one coordinator at a time for the backends and proxies of an emulation."""

    def __init__(
        self,
        clock: VirtualClock,
        random: Random,
        backends: Mapping[str, Backend],
        proxies: Sequence[ProxyTable],
        make_coordinator: Callable[[int, int], Coordinator],
        make_channel: Callable[[int], Channel],
        transaction_rate: float,
    ) -> None:
        """Create a host without a running coordinator.

        `make_coordinator(incarnation, now)` and `make_channel(now)` create a coordinator and its channel.
        `transaction_rate` is the number of transactions per second of all proxies together.
        """
        self.clock = clock
        self.random = random
        self.backends = backends
        self.proxies = proxies
        self.make_coordinator = make_coordinator
        self.make_channel = make_channel
        self.transaction_rate = transaction_rate
        self.coordinator: Coordinator | None = None
        self.incarnation = 0  # number of the latest incarnation; the first is 1
        self.joined_proxies: set[int] = set()  # numbers of the proxies that have joined the coordinator
        self.internal_errors: list[str] = []
        self._channel = make_channel(clock.now)
        self._next_wakeup_at: int | None = None  # ns
        self._turn_scheduled = False

    def running(self, incarnation: int) -> Coordinator | None:
        """Return the coordinator of an incarnation, or None if the incarnation has ended."""
        return self.coordinator if incarnation == self.incarnation else None

    def start(self, restore: RestoreCallback | None = None, rejoin_s: float = 0.0) -> None:
        """Start an incarnation with the complete endpoint list, then call `restore` on it.

        The proxies join at random times within `rejoin_s` seconds.
        """
        now = self.clock.now
        self.incarnation += 1
        self._next_wakeup_at = None
        self._channel = self.make_channel(now)
        self.coordinator = coordinator = self.make_coordinator(self.incarnation, now)
        coordinator.report(now, EndpointListUpdate(ListForm.RESTORED, self._endpoints()))
        if restore:
            restore(coordinator)
        self._run_turn(coordinator)
        for proxy in self.proxies:
            delay = int(self.random.random() * rejoin_s * SECOND) // BATCH_INTERVAL * BATCH_INTERVAL
            self.clock.call_at(now + delay, self._join, self.incarnation, proxy)

    def kill(self) -> None:
        """End the running incarnation immediately; the proxies keep their current tables."""
        self.coordinator = None
        self.joined_proxies.clear()

    def deliver(self, incarnation: int, events: Iterable[Event]) -> None:
        """Report events to an incarnation and run one turn, unless the incarnation has ended.

        Usage reports of proxies that have not joined are dropped.
        """
        coordinator = self.running(incarnation)
        if coordinator is None:
            return
        for event in events:
            if not isinstance(event, UsageReport) or event.proxy in self.joined_proxies:
                coordinator.report(self.clock.now, event)
        self._run_turn(coordinator)

    def zone_table(self, zone: str) -> dict[str, float]:
        """Return the weights of all of the coordinator's tables for a zone, merged into one dict.

        The dict is empty if there is no coordinator or no table.
        """
        if self.coordinator is None:
            return {}
        weights: dict[str, float] = {}
        for table in self.coordinator.planner.subsets.tables.get(zone, ()):
            weights.update(self.coordinator.updates.tables.get(table, {}))
        return weights

    def _endpoints(self) -> list[Endpoint]:
        return [
            Endpoint(
                name=backend.name,
                zone=backend.zone,
                machine_type=MACHINE_TYPE,
                cell=CELL,
                phase=Phase.READY,
                weight=1.0,
                started_at=backend.started_at,
            )
            for backend in self.backends.values()
        ]

    def _join(self, incarnation: int, proxy: ProxyTable) -> None:
        coordinator = self.running(incarnation)
        if coordinator is None:
            return
        self.joined_proxies.add(proxy.number)
        event = ProxyJoined(
            proxy=proxy.number,
            zone=proxy.zone,
            bootstrap=incarnation == 1,
            rate=self.transaction_rate / len(self.proxies),
        )
        coordinator.report(self.clock.now, event)
        self._schedule_turn()

    # Turns of the coordinator

    def _schedule_turn(self) -> None:
        """Schedule a turn at the current time, unless one is scheduled.

        Other calls that were scheduled before for this time report their events first.
        """
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.clock.call_at(self.clock.now, self._run_scheduled_turn, self.incarnation)

    def _run_scheduled_turn(self, incarnation: int) -> None:
        self._turn_scheduled = False
        self._wake_up(incarnation)

    def _wake_up(self, incarnation: int) -> None:
        coordinator = self.running(incarnation)
        if coordinator is not None:
            self._run_turn(coordinator)

    def _run_turn(self, coordinator: Coordinator) -> None:
        due = coordinator.tick(self.clock.now)
        for recipient in coordinator.recipients():
            while (message := coordinator.pick(recipient)) is not None:
                self._handle_message(recipient, message)
        if due is not None and self._needs_wakeup(due):
            self._next_wakeup_at = due
            self.clock.call_at(max(due, self.clock.now + 1), self._wake_up, self.incarnation)

    def _needs_wakeup(self, due: int) -> bool:
        """Return whether no wake-up is scheduled at `due` (ns) or earlier."""
        scheduled = self._next_wakeup_at
        return scheduled is None or due < scheduled or scheduled <= self.clock.now

    def _handle_message(self, recipient: Recipient, message: OutgoingMessage) -> None:
        if isinstance(message, HealthCheckRequest):
            self._check_health(message.backend)
        elif isinstance(message, InternalError):
            self.internal_errors.append(message.text)
        elif isinstance(recipient, int) and isinstance(message, ProxyUpdate):
            self._send(self.proxies[recipient], message)

    def _check_health(self, name: str) -> None:
        dead = self.backends[name].fault.dead
        latency = HEALTH_CHECK_TIMEOUT if dead else HEALTH_CHECK_LATENCY
        outcome = HealthCheckOutcome.TIMED_OUT if dead else HealthCheckOutcome.OK
        result = HealthCheckResult(backend=name, outcome=outcome, latency=latency, load={})
        self.clock.call_at(self.clock.now + latency, self.deliver, self.incarnation, [result])

    # Messages to proxies

    def _send(self, proxy: ProxyTable, message: ProxyUpdate) -> None:
        update = table_update(message)
        arrives_at = self._channel.send(self.clock.now, entry_count(message))
        sent_at = self.clock.now
        self.clock.call_at(arrives_at, self._apply, self.incarnation, proxy, update, message.barrier, sent_at)

    def _apply(
        self, incarnation: int, proxy: ProxyTable, update: TableUpdate, barrier: int | None, sent_at: int
    ) -> None:
        if self.running(incarnation) is None or proxy.number not in self.joined_proxies:
            return
        proxy.apply(update)
        if barrier is not None:
            latency = self.clock.now - sent_at
            applied_at = self.clock.now + APPLY_DURATION
            self.clock.call_at(applied_at, self._acknowledge, incarnation, proxy.number, barrier, latency)

    def _acknowledge(self, incarnation: int, proxy: int, barrier: int, latency: int) -> None:
        coordinator = self.running(incarnation)
        if coordinator is not None:
            coordinator.report(self.clock.now, Acknowledged(proxy=proxy, sequence=barrier, latency=latency))
            self._schedule_turn()


def table_update(message: ProxyUpdate) -> TableUpdate:
    """Convert a message from `Coordinator.pick` to an update of the proxy's table."""
    return TableUpdate(
        weights=[WeightUpdate(table.complete, table.entries.items()) for table in message.tables],
        admission=[
            AdmissionUpdate(level.classes, AdmissionLevel(level.share, level.retries))
            for level in message.levels
        ],
        excluded=message.excluded,
        readmitted=message.readmitted,
    )


def entry_count(message: ProxyUpdate) -> int:
    """Return the size of a message in the channel, in table entries."""
    weights = sum(len(table.entries) + table.complete for table in message.tables)
    exclusions = len(message.excluded) + len(message.readmitted)
    return UPDATE_OVERHEAD_ENTRIES + int(weights) + len(message.levels) + exclusions
