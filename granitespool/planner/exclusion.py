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
from granitespool.planner.fleet import Fleet
from granitespool.planner.outbox import EntryKind, Outbox
from granitespool.planner.records import READY, Backend, Exclusion
from granitespool.planner.tables import TableDirectory
from granitespool.settings import Settings

GRACE_SHARE = 0.5  # share of the drain grace: proxies that get their table within it need no exclusions
# Share of the drain grace that exclusions wait, so that one reaches many joining proxies
COLLECT_GRACE_SHARE = 1 / 6
# Drain graces after which a drain needs no exclusion: the proxies' former coordinator has removed the backend
RECENT_DRAIN_GRACES = 2
SMALL_QUEUE_SHARE = 0.25  # with less of the queue in flight, a few exclusions are worth their headers


class ExclusionChange(NamedTuple):
    """A backend to exclude or to readmit."""

    backend: Backend
    excluded: bool


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
        if self._costs_more_than(changes, assignment_cost):
            changes = [change for change in changes if not change.excluded]
        self._order(now, changes)

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
        """Return the changes by urgency: the longest pending first, and of those the latest drain first."""
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
            was_excluded = backend.exclusion.is_active
            if was_excluded and is_recent and waiting_time >= COLLECT_GRACE_SHARE * self._drain_grace:
                backend.exclusion = Exclusion.PARTIAL
            excluded = self._should_exclude(backend, is_recent, is_late)
            if not self._is_in_state(backend, excluded) and not backend.is_in_tables:
                changes.append(ExclusionChange(backend, excluded))
        return changes

    def _should_exclude(self, backend: Backend, is_recent: bool, is_late: bool) -> bool:
        if not self._assignment.unassigned or backend.phase == READY:
            return False
        if backend.exclusion.is_active:
            return True
        return is_recent and (is_late or backend.exclusion != Exclusion.NEVER)

    @staticmethod
    def _is_in_state(backend: Backend, excluded: bool) -> bool:
        if backend.exclusion == Exclusion.PARTIAL:
            return False
        return (backend.exclusion == Exclusion.EXCLUDED) == excluded

    def _cost_of(self, change: ExclusionChange) -> Mapping[int, float]:
        return self._actions.exclusion_cost(
            change.backend.name, change.excluded, self._assignment.unassigned, len(self._fleet.backends)
        )

    def _costs_more_than(self, changes: list[ExclusionChange], assignment_cost: float) -> bool:
        """Return whether exclusions cost more than assigning all proxies, which makes them unnecessary."""
        exclusions = [change for change in changes if change.excluded]
        cost_per_exclusion = sum(self._cost_of(exclusions[0]).values()) if exclusions else 0
        headers = self._budget.account.header * min(cost_per_exclusion, len(self._assignment.unassigned))
        return cost_per_exclusion * len(exclusions) + headers > assignment_cost

    def _order(self, now: int, changes: list[ExclusionChange]) -> None:
        fitting = self._budget.account.fitting(map(self._cost_of, changes), MANDATORY_QUEUE_SHARE)
        count = fitting.order_count
        if count < len(changes):
            self._budget.is_mandatory_waiting = True
        if count * 2 < len(changes) and self._budget.account.capacity_left(SMALL_QUEUE_SHARE) <= 0:
            return  # headers would be most of the cost
        ordered = changes[:count]
        for backend, excluded in ordered:
            backend.exclusion = Exclusion.EXCLUDED if excluded else Exclusion.READMITTED
            self._actions.exclude(backend.name, excluded)
        if ordered:
            for proxy, entries in fitting.entries.items():
                self._outbox.reserve(now, proxy, entries, EntryKind.EXCLUSION)
