"""The planner of one coordinator: takes events and timers, and calls the parts that decide on them.

A planner is created when its coordinator starts. Then `handle` is called for each event and `on_timer` for
each timer, with the time in whole nanoseconds, and the planner calls its `PlannerActions` at once. Each kind
of decision has a module of its own; this one only determines their order.
"""

from random import Random

from granitespool.planner.actions import PlannerActions
from granitespool.planner.admission import AdmissionControl
from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.budget import ChannelBudget
from granitespool.planner.candidates import CandidateSelection
from granitespool.planner.cost import CostTable
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.drain_delivery import DrainDelivery
from granitespool.planner.ejection import LinkAction, OutlierEjection, effective_outcome
from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckOutcome,
    HealthCheckResult,
    ListForm,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    Restored,
    SliceAssigned,
    SliceEntry,
    SliceLoad,
    UsageReport,
)
from granitespool.planner.exclusion import ExclusionControl
from granitespool.planner.fleet import RECOMPUTATION_PERIOD, Fleet
from granitespool.planner.health import HealthVerification
from granitespool.planner.in_flight import InFlightAccount
from granitespool.planner.inspection import PlannerInspection
from granitespool.planner.load_reports import DECAY_FACTOR, LoadReports, successes_of
from granitespool.planner.membership import FleetMembership
from granitespool.planner.outbox import Outbox
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.publication import Publisher
from granitespool.planner.recomputation import Recomputation
from granitespool.planner.records import GONE, Backend
from granitespool.planner.restoration import Restoration
from granitespool.planner.short_tables import ShortTables
from granitespool.planner.slices import SliceTables
from granitespool.planner.slow_start import SlowStart
from granitespool.planner.subsets import Subsets
from granitespool.planner.tables import TableDirectory
from granitespool.planner.timers import Timer
from granitespool.planner.weights import EntryWeights
from granitespool.settings import Settings

POLL_RETRY_JITTER = 0.5, 1.5  # range, in periods, of the delay before a failed endpoint list call is retried


class Planner:
    """Makes all decisions of one coordinator; `seed` initializes its only random generator."""

    def __init__(self, actions: PlannerActions, seed: int, settings: Settings) -> None:
        self._actions = actions
        self._random = Random(seed)
        self.settings = settings
        self._create_state(settings)
        self._create_parts(actions, settings)
        self._create_publication(actions, settings)
        self.apply_settings(settings)
        if settings.subscribe:
            actions.subscribe(True)
        actions.set_timer(RECOMPUTATION_PERIOD, Timer.RECOMPUTE)

    def _create_state(self, settings: Settings) -> None:
        self.fleet = Fleet()
        self.costs = CostTable()
        self.in_flight = InFlightAccount(settings)
        self.subsets = Subsets(settings.zones or [])
        self.dirty = DirtySet(self.subsets)
        self.tables = TableDirectory(self.subsets)
        self.budget = ChannelBudget(self.in_flight, settings)

    def _create_parts(self, actions: PlannerActions, settings: Settings) -> None:
        fleet, dirty, costs = self.fleet, self.dirty, self.costs
        self.slow_start = SlowStart(settings)
        self.overload = OverloadDetector(settings)
        self._health = HealthVerification(actions, settings)
        self._ejection = OutlierEjection(fleet, dirty, costs, self.overload)
        self._load_reports = LoadReports(fleet, dirty, self._ejection, self.overload)
        self._membership = FleetMembership(
            settings, fleet, dirty, costs, self.subsets, self.slow_start, self._health, self.overload
        )
        self._restoration = Restoration(settings, fleet, dirty, self._ejection, self._health, self.overload)
        self._recomputation = Recomputation(
            actions,
            fleet,
            dirty,
            costs,
            self.subsets,
            self.budget,
            self._health,
            self._ejection,
            self.overload,
        )
        self.weights = EntryWeights(settings, fleet, costs, self.slow_start, self.overload)

    def _create_publication(self, actions: PlannerActions, settings: Settings) -> None:
        fleet, dirty, tables, budget = self.fleet, self.dirty, self.tables, self.budget
        short_tables = ShortTables(fleet, self.slow_start)
        outbox = self.outbox = Outbox(actions, self.in_flight, tables, short_tables)
        self.admission = AdmissionControl(settings, self.overload, tables, budget, outbox)
        self.assignment = ProxyAssignment(
            settings, actions, tables, self.admission.ordered_levels, budget, outbox, short_tables
        )
        proxy_actions = actions.proxy_actions
        self._drain_delivery = (
            DrainDelivery(settings, proxy_actions, self.assignment, budget, outbox) if proxy_actions else None
        )
        self.exclusion = ExclusionControl(
            settings, actions, fleet, dirty, tables, self.assignment, budget, outbox, self._drain_delivery
        )
        self._slices = SliceTables(settings, actions, fleet, self.slow_start, self.assignment, outbox)
        self.publisher = Publisher(
            actions,
            budget,
            CandidateSelection(fleet, dirty, tables, self.weights, self.slow_start),
            tables,
            dirty,
            self.costs,
            self.slow_start,
            self.assignment,
            self.exclusion,
            self.admission,
            outbox,
        )
        self.inspection = PlannerInspection(
            fleet,
            self.costs,
            self.subsets,
            self.in_flight,
            self.assignment,
            self.overload,
            self.slow_start,
            outbox,
            self.exclusion,
        )

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings from the next decision on."""
        self.settings = settings
        self.in_flight.apply_settings(settings)
        self.admission.apply_settings(settings)
        for part in (
            self.budget,
            self.slow_start,
            self.overload,
            self.weights,
            self.assignment,
            self.exclusion,
            self._health,
            self._membership,
            self._restoration,
            self._slices,
        ):
            part.settings = settings
        if self._drain_delivery:
            self._drain_delivery.settings = settings
        self.dirty.mark_slow_starts(self.fleet.backends.values())

    # Event and timer handlers

    def handle(self, now: int, event: Event) -> None:
        """Handle an event.

        Raises:
            TypeError: The event is of an unknown type.
        """
        match event:
            case LoadReport():
                self._on_load_report(now, event)
            case UsageReport():
                self.overload.observe_demand(event.request_class, event.requests)
            case Acknowledged():
                self._on_acknowledged(now, event)
            case EndpointListUpdate():
                self._on_endpoint_list(now, event)
            case HealthCheckResult():
                self._on_health_check(now, event)
            case ProxyJoined():
                self._on_proxy_joined(now, event)
            case ProxyLeft():
                self._on_proxy_left(event)
            case SliceAssigned():
                self._slices.assign(event.table, event.owned)
            case SliceEntry():
                self._slices.set_entry(event.table, event.backend, event.weight)
            case Restored():
                self._on_restored(now, event)
            case GossipReceived() | SliceLoad():
                pass  # unused: each coordinator decides on its own
            case _:
                raise TypeError(f"unknown planner event: {event!r:.100}")

    def on_timer(self, now: int, cookie: str) -> None:
        """Handle a timer that was set by `set_timer` and has expired."""
        if cookie == Timer.RECOMPUTE:
            self._actions.set_timer(RECOMPUTATION_PERIOD, Timer.RECOMPUTE)
            self._recomputation.run(now)
            self._publish(now)
        elif cookie == Timer.PUBLISH:
            if self.publisher.is_due(now):
                self._publish(now)
        elif cookie == Timer.SUBSCRIBE:
            self._actions.subscribe(True)

    def _on_endpoint_list(self, now: int, update: EndpointListUpdate) -> None:
        if update.form == ListForm.FAILED:
            delay = int(RECOMPUTATION_PERIOD * self._random.uniform(*POLL_RETRY_JITTER))
            self._actions.set_timer(delay, Timer.SUBSCRIBE)
            return
        self._membership.apply(now, update)
        self._assign_subsets()
        self._publish(now)

    def _on_load_report(self, now: int, report: LoadReport) -> None:
        backend = self.fleet.backends.get(report.backend)
        if backend is None or report.attempts <= 0:
            return
        zone = self.subsets.ensure_zone(report.zone)
        link = backend.link(zone, self.fleet.period)
        link.decay_to(self.fleet.period, DECAY_FACTOR)
        self.overload.observe(backend)
        successes = successes_of(report)
        if successes and not backend.verified:
            self._verify(now, backend)
        link_action = self._load_reports.add(report, successes, backend, link)
        if link_action == LinkAction.READMIT:
            self._ejection.readmit(now, link)
            self._publish(now, backend)
        elif link_action == LinkAction.EJECT:
            self._ejection.eject(now, zone, backend)
            self._publish(now, backend)
        elif link_action == LinkAction.CHECK_HEALTH:
            self._health.check(now, backend)

    def _on_health_check(self, now: int, result: HealthCheckResult) -> None:
        backend = self.fleet.backends.get(result.backend)
        if backend is None:
            return
        outcome = effective_outcome(result.outcome, result.latency)
        if outcome in (HealthCheckOutcome.OK, HealthCheckOutcome.REJECTED):
            if not backend.verified:
                self._verify(now, backend)
        elif outcome != HealthCheckOutcome.ERROR and not self.overload.is_overloaded:
            if backend.removal_unconfirmed:
                self._confirm_removal(now, backend)
            self._ejection.health_check_failed(now, backend, outcome == HealthCheckOutcome.TIMED_OUT)
            self._publish(now, backend)

    def _on_proxy_joined(self, now: int, joined: ProxyJoined) -> None:
        self.assignment.leave(joined.proxy)
        if joined.resumed:
            self.in_flight.mark_reachable(joined.proxy)
        else:
            self.in_flight.release(joined.proxy)
        table = self.assignment.join(joined.proxy, joined.zone, joined.rate)
        if self.settings.slices:
            self._slices.proxy_joined()
            self._publish(now)
            return
        foreign_entries_max = len(self.fleet.backends)
        if joined.bootstrap:
            foreign_entries_max = min(foreign_entries_max, self.settings.bootstrap_entries)
        self.assignment.add_unassigned(now, joined.proxy, foreign_entries_max)
        if not self.tables.entry_counts[table]:
            self._publish(now)
        self.admission.publish_initial_levels(now, table)
        self.assignment.assign(now, joined.proxy)

    def _on_proxy_left(self, left: ProxyLeft) -> None:
        self.assignment.leave(left.proxy)
        if left.unreachable:
            self.in_flight.mark_unreachable(left.proxy)
        else:
            self.in_flight.release(left.proxy)

    def _on_acknowledged(self, now: int, event: Acknowledged) -> None:
        if self.in_flight.acknowledge(now, event.proxy, event.sequence, event.latency):
            if event.latency is not None:
                self.inspection.acknowledgement_latency = event.latency
            self.assignment.assign_next(now)

    def _on_restored(self, now: int, restored: Restored) -> None:
        self._restoration.apply(now, restored)
        self._recomputation.evaluate_costs(now)
        self._publish(now)

    # State changes and publication

    def _verify(self, now: int, backend: Backend) -> None:
        backend.verified = True
        backend.slow_start_since = now
        self.dirty.mark_changed(backend)
        self._assign_subsets()
        self._publish(now, backend)

    def _confirm_removal(self, now: int, backend: Backend) -> None:
        backend.removal_unconfirmed = False
        backend.phase = GONE
        backend.left_ready_at = now
        self.dirty.mark_changed(backend)

    def _assign_subsets(self) -> None:
        backends = self.fleet.backends.values()
        changed = self.dirty.take_changed()
        for backend in self.subsets.assign(self.settings, self.in_flight, backends, changed):
            self.dirty.mark_dirty(backend)

    def _publish(self, now: int, only: Backend | None = None) -> None:
        if self.settings.slices:
            self._slices.publish(now)
        else:
            self.publisher.publish(now, only)
