"""Exclusion: draining and removed backends are kept from proxies that have no table of ours yet.

Such proxies go on with tables of other coordinators. What drains or is gone is excluded for them too, once
its entries have left the tables here; again for those that joined since, well within the drain's grace.
"""

from collections.abc import Mapping
from typing import NamedTuple

from granitespool.planner.actions import PlannerActions
from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.budget import MANDATORY_QUEUE_SHARE, ChannelBudget
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.fleet import Fleet
from granitespool.planner.outbox import Outbox
from granitespool.planner.records import READY, Backend, Exclusion
from granitespool.planner.tables import TableDirectory
from granitespool.settings import Settings
from granitespool.units import SECOND

GRACE_SHARE = 0.5  # share of the grace: whose table arrives within it needs nothing excluded
COLLECT_GRACE_SHARE = 1 / 6  # share of the grace that joiners wait for others, to be told at once
GRACES_KNOWN = 2  # graces after which a drain needs no exclusion: who had the joiners before has kept it
SMALL_QUEUE_SHARE = 0.25  # share of the queue under which a few exclusions are worth their headers
UNKNOWN_GRACE = SECOND  # ns, where the deployment tells no drain grace


class ExclusionChange(NamedTuple):
    """A backend that is to be excluded, or readmitted."""

    backend: Backend
    excluded: bool


class ExclusionControl:
    """Decides who is excluded for proxies that await a table."""

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
        self.exclusions_sent_at = 0  # ns: who joined since then was told nothing
        self._actions = actions
        self._fleet = fleet
        self._dirty = dirty
        self._tables = tables
        self._assignment = assignment
        self._budget = budget
        self._outbox = outbox

    @property
    def _grace(self) -> int:
        return UNKNOWN_GRACE if self.settings.drain_grace is None else self.settings.drain_grace

    def publish(self, now: int, entries_per_proxy: int) -> None:
        """Exclude and readmit as far as the channel has capacity.

        `entries_per_proxy`: what an assignment costs beside its table's entries, without its header.
        """
        waiting_time = self._longest_wait(now)
        if waiting_time >= COLLECT_GRACE_SHARE * self._grace:
            self.exclusions_sent_at = now
        if not self._dirty.absent:
            return
        assignment_cost = self._assignment_cost(entries_per_proxy)
        late = self._budget.account.time_to_send(assignment_cost) > GRACE_SHARE * (
            self.settings.drain_grace or 0
        )
        changes = self._wanted_changes(now, waiting_time, late)
        if self._costs_more_than(changes, assignment_cost):
            changes = [change for change in changes if not change.excluded]
        self._order(now, changes)

    def _longest_wait(self, now: int) -> int:
        """ns that the first proxy that was told nothing has waited."""
        return max(
            (
                now - waiting.since
                for waiting in self._assignment.unassigned.values()
                if waiting.since >= self.exclusions_sent_at
            ),
            default=0,
        )

    def _assignment_cost(self, entries_per_proxy: int) -> float:
        """Entries that bring all proxies that await a table theirs."""
        return sum(
            self._tables.entry_counts[self._assignment.proxies[proxy].table]
            + entries_per_proxy
            + self._budget.account.header
            for proxy in self._assignment.unassigned
        )

    def _wanted_changes(self, now: int, waiting_time: int, late: bool) -> list[ExclusionChange]:
        """Changes in the order of their urgency: the longest known first, of those the latest drain."""
        changes = []
        by_urgency = sorted(
            self._dirty.absent_in_sequence(),
            key=lambda each: (max(each.left_ready_at, self.exclusions_sent_at), -each.left_ready_at),
        )
        for backend in by_urgency:
            if backend.phase == READY and not backend.exclusion.is_active:
                del self._dirty.absent[backend]
                continue
            is_recent = now - backend.left_ready_at < GRACES_KNOWN * self._grace
            was_excluded = backend.exclusion.is_active
            if was_excluded and is_recent and waiting_time >= COLLECT_GRACE_SHARE * self._grace:
                backend.exclusion = Exclusion.PARTIAL
            excluded = self._should_exclude(backend, is_recent, late)
            if not self._is_in_state(backend, excluded) and not backend.is_in_tables:
                changes.append(ExclusionChange(backend, excluded))
        return changes

    def _should_exclude(self, backend: Backend, is_recent: bool, late: bool) -> bool:
        if not self._assignment.unassigned or backend.phase == READY:
            return False
        if backend.exclusion == Exclusion.EXCLUDED:
            return True
        return is_recent and (late or backend.exclusion != Exclusion.NEVER)

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
        """Whether the exclusions cost more than assigning everyone, which would make them needless."""
        exclusions = [change for change in changes if change.excluded]
        each = sum(self._cost_of(exclusions[0]).values()) if exclusions else 0
        headers = self._budget.account.header * min(each, len(self._assignment.unassigned))
        return each * len(exclusions) + headers > assignment_cost

    def _order(self, now: int, changes: list[ExclusionChange]) -> None:
        fitting = self._budget.account.fitting(map(self._cost_of, changes), MANDATORY_QUEUE_SHARE)
        count = fitting.orders
        if count < len(changes):
            self._budget.is_mandatory_waiting = True
        if count * 2 < len(changes) and self._budget.account.capacity_left(SMALL_QUEUE_SHARE) <= 0:
            return  # most of it would be headers
        ordered = changes[:count]
        for backend, excluded in ordered:
            backend.exclusion = Exclusion.EXCLUDED if excluded else Exclusion.READMITTED
            self._actions.exclude(backend.name, excluded)
        if ordered:
            for proxy, entries in fitting.entries.items():
                self._outbox.reserve(now, proxy, entries)
