"""Exclusion: keeps draining and removed backends from proxies that are unassigned.

Unassigned proxies still use tables of other coordinators. A backend that drains or is gone is excluded for
them once its entries have left the tables of this coordinator, and again for proxies that joined since, well
within the drain grace.
"""

from collections.abc import Mapping
from typing import NamedTuple

from granitespool.planner.actions import PlannerActions
from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.budget import MANDATORY_QUEUE_SHARE, ChannelBudget, effective_drain_grace
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.drain_delivery import DrainDelivery
from granitespool.planner.fleet import Fleet
from granitespool.planner.outbox import EntryKind, Outbox
from granitespool.planner.records import READY, Backend, Exclusion
from granitespool.planner.tables import TableDirectory
from granitespool.settings import Settings

GRACE_SHARE = 0.5  # share of the drain grace: proxies that get their table within it need no exclusions
# Share of the drain grace that exclusions wait, so that one reaches many joining proxies
COLLECT_GRACE_SHARE = 1 / 6
# Drain graces in which a drain is recent. A proxy that joins has mostly been told of an earlier one by its
# former coordinator, unless it has reached none since: earlier drains are excluded after recent ones.
RECENT_DRAIN_GRACES = 2
SMALL_QUEUE_SHARE = 0.25  # with less of the queue in flight, a few exclusions are worth their headers


class ExclusionChange(NamedTuple):
    """A backend to exclude or to readmit."""

    backend: Backend
    excluded: bool
    is_required: bool  # assignments wait for it; False for the exclusion of a drain that is not recent


class ExclusionControl:
    """Decides which backends are excluded for unassigned proxies."""

    def __init__(
        self,
        settings: Settings,
        actions: PlannerActions,
        fleet: Fleet,
        dirty: DirtySet,
        tables: TableDirectory,
        assignment: ProxyAssignment,
        budget: ChannelBudget,
        outbox: Outbox,
        delivery: DrainDelivery | None,
    ) -> None:
        self.settings = settings
        self.exclusions_sent_at = 0  # ns; proxies that joined later were sent none
        self._actions = actions
        self._fleet = fleet
        self._dirty = dirty
        self._tables = tables
        self._assignment = assignment
        self._budget = budget
        self._outbox = outbox
        self._delivery = delivery

    @property
    def _drain_grace(self) -> int:
        return effective_drain_grace(self.settings)

    def publish(self, now: int, entries_per_proxy: int) -> None:
        """Exclude and readmit backends as far as the channel has capacity.

        `entries_per_proxy` is the cost of an assignment beside its table's entries and the message header.
        """
        waiting_time = self._longest_wait(now)
        if waiting_time >= COLLECT_GRACE_SHARE * self._drain_grace:
            self.exclusions_sent_at = now
        if not self._dirty.absent:
            return
        assignment_cost = self._assignment_cost(entries_per_proxy)
        is_late = self._budget.account.time_to_send(assignment_cost) > GRACE_SHARE * (
            self.settings.drain_grace or 0
        )
        changes = self._pending_changes(now, waiting_time, is_late)
        affordable = self._affordable(changes, assignment_cost)
        if self._delivery and changes and (is_late or not self._fit_together(affordable)):
            self._deliver(now, self._delivery, changes)
        else:
            self._order(now, affordable)

    def _fit_together(self, changes: list[ExclusionChange]) -> bool:
        fitting = self._budget.account.fitting(map(self._cost_of, changes), MANDATORY_QUEUE_SHARE)
        return fitting.order_count == len(changes)

    def _deliver(self, now: int, delivery: DrainDelivery, changes: list[ExclusionChange]) -> None:
        """Deliver the drains to the proxies that are due; readmissions follow with their tables."""
        for change in changes:
            if not change.excluded:
                change.backend.exclusion = Exclusion.READMITTED
                delivery.readmit(change.backend)
        drained = [backend for backend in self._dirty.absent_in_sequence() if backend.phase != READY]
        drained_in_tables = (backend.left_ready_at for backend in drained if backend.is_in_tables)
        oldest_in_tables = min(drained_in_tables, default=None)
        due_before = None if oldest_in_tables is None else oldest_in_tables + self._drain_grace
        is_complete = delivery.publish(now, drained, due_before)
        for backend in drained:
            backend.exclusion = Exclusion.EXCLUDED if is_complete else Exclusion.PARTIAL

    def outstanding_since(self) -> int | None:
        """Return when the first backend drained that unassigned proxies may still use (ns), or None."""
        return min(
            (
                backend.left_ready_at
                for backend in self._dirty.absent
                if backend.phase != READY and backend.exclusion != Exclusion.EXCLUDED
            ),
            default=None,
        )

    def outstanding_drains(self) -> list[Backend]:
        """Return the backends that are not ready and that proxies may still use, by what was sent to them."""
        has_unassigned = bool(self._assignment.unassigned)
        return [
            backend
            for backend in self._dirty.absent
            if backend.phase != READY
            and (backend.is_in_tables or (has_unassigned and backend.exclusion != Exclusion.EXCLUDED))
        ]

    def _longest_wait(self, now: int) -> int:
        """Return the longest wait (ns) of an unassigned proxy that was sent no exclusions."""
        return max(
            (
                now - waiting.since
                for waiting in self._assignment.unassigned.values()
                if waiting.since >= self.exclusions_sent_at
            ),
            default=0,
        )

    def _assignment_cost(self, entries_per_proxy: int) -> float:
        """Return the entries that it costs to assign all unassigned proxies."""
        return sum(
            self._tables.entry_counts[self._assignment.proxies[proxy].table]
            + entries_per_proxy
            + self._budget.account.header
            for proxy in self._assignment.unassigned
        )

    def _pending_changes(self, now: int, waiting_time: int, is_late: bool) -> list[ExclusionChange]:
        """Return the changes by urgency: the longest pending first, and of those the latest drain first.

        Drains that are not recent come last.
        """
        changes = []
        by_urgency = sorted(
            self._dirty.absent_in_sequence(),
            key=lambda backend: (max(backend.left_ready_at, self.exclusions_sent_at), -backend.left_ready_at),
        )
        for backend in by_urgency:
            if backend.phase == READY and not backend.exclusion.is_active:
                del self._dirty.absent[backend]
                continue
            is_recent = now - backend.left_ready_at < RECENT_DRAIN_GRACES * self._drain_grace
            has_new_users = waiting_time >= COLLECT_GRACE_SHARE * self._drain_grace
            if backend.exclusion.is_active and has_new_users and (is_recent or is_late):
                backend.exclusion = Exclusion.PARTIAL
            excluded = self._should_exclude(backend, is_recent, is_late)
            if self._is_in_state(backend, excluded) or backend.is_in_tables:
                continue
            changes.append(ExclusionChange(backend, excluded, is_required=is_recent or not excluded))
        return sorted(changes, key=lambda change: not change.is_required)

    def _should_exclude(self, backend: Backend, is_recent: bool, is_late: bool) -> bool:
        if not self._assignment.unassigned or backend.phase == READY:
            return False
        if backend.exclusion.is_active:
            return True
        return is_late or (is_recent and backend.exclusion != Exclusion.NEVER)

    @staticmethod
    def _is_in_state(backend: Backend, excluded: bool) -> bool:
        if backend.exclusion == Exclusion.PARTIAL:
            return False
        return (backend.exclusion == Exclusion.EXCLUDED) == excluded

    def _cost_of(self, change: ExclusionChange) -> Mapping[int, float]:
        return self._actions.exclusion_cost(
            change.backend.name, change.excluded, self._assignment.unassigned, len(self._fleet.backends)
        )

    def _affordable(self, changes: list[ExclusionChange], assignment_cost: float) -> list[ExclusionChange]:
        """Return the changes without exclusions that would cost more than assigning all proxies.

        Required exclusions are returned all or not at all, others as far as the cost allows.
        """
        exclusions = [change for change in changes if change.excluded]
        if not exclusions:
            return changes
        cost_per_exclusion = sum(self._cost_of(exclusions[0]).values())
        headers = self._budget.account.header * min(cost_per_exclusion, len(self._assignment.unassigned))
        required = sum(change.is_required for change in exclusions)
        if cost_per_exclusion * required + headers > assignment_cost:
            return [change for change in changes if not change.excluded]
        optional = len(exclusions) - required
        if cost_per_exclusion:
            affordable = int((assignment_cost - headers) / cost_per_exclusion)
            optional = min(optional, max(0, affordable - required))
        return changes[: len(changes) - len(exclusions) + required + optional]

    def _order(self, now: int, changes: list[ExclusionChange]) -> None:
        fitting = self._budget.account.fitting(map(self._cost_of, changes), MANDATORY_QUEUE_SHARE)
        count = fitting.order_count
        required = sum(change.is_required for change in changes)
        if count < required:
            self._budget.is_mandatory_waiting = True
        is_split = count * 2 < (required or len(changes))
        if is_split and self._budget.account.capacity_left(SMALL_QUEUE_SHARE) <= 0:
            return  # headers would be most of the cost
        ordered = changes[:count]
        for change in ordered:
            change.backend.exclusion = Exclusion.EXCLUDED if change.excluded else Exclusion.READMITTED
            self._actions.exclude(change.backend.name, change.excluded)
        if ordered:
            for proxy, entries in fitting.entries.items():
                self._outbox.reserve(now, proxy, entries, EntryKind.EXCLUSION)
