"""Periodic recomputation.

It evaluates costs and overload, decays observations, and reviews the dirty backends.
"""

from granitespool.planner.actions import PlannerActions
from granitespool.planner.budget import ChannelBudget
from granitespool.planner.cost import CostTable, link_cost
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.ejection import OutlierEjection
from granitespool.planner.fleet import Fleet
from granitespool.planner.health import HealthVerification
from granitespool.planner.load_reports import DECAY_FACTOR
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.records import GONE, READY, Backend, Exclusion
from granitespool.planner.subsets import Subsets
from granitespool.units import SECOND

# Time for which the record of a removed backend is kept, ns. A proxy may join with an old table that contains
# the backend, and is assigned within a few seconds.
REMOVED_BACKEND_RETENTION = 20 * SECOND


class Recomputation:
    """Recomputes the state of the planner once per period, before the publication."""

    def __init__(
        self,
        actions: PlannerActions,
        fleet: Fleet,
        dirty: DirtySet,
        costs: CostTable,
        subsets: Subsets,
        budget: ChannelBudget,
        health: HealthVerification,
        ejection: OutlierEjection,
        overload: OverloadDetector,
    ) -> None:
        self._actions = actions
        self._fleet = fleet
        self._dirty = dirty
        self._costs = costs
        self._subsets = subsets
        self._budget = budget
        self._health = health
        self._ejection = ejection
        self._overload = overload

    def run(self, now: int) -> None:
        """Recompute all state that changes every period."""
        self.evaluate_costs(now)
        self._budget.refill()
        self._overload.evaluate(now)
        self._fleet.period += 1
        self._dirty.decay_observed(self._fleet.period, DECAY_FACTOR)
        for backend in self._dirty.due_for_recompute():
            self._review(now, backend)
        self._budget.account.expire(now)

    def evaluate_costs(self, now: int) -> None:
        """Evaluate the costs of all links from the load reports received so far."""
        self._costs.begin_evaluation()
        is_overloaded = not self._overload.is_normal
        for zone in self._subsets.tables:
            observed = self._dirty.observed_costs(zone, lambda link: link_cost(now, link, is_overloaded))
            if self._costs.evaluate_zone(zone, observed):
                self._dirty.invalidate_zone(zone)

    def _review(self, now: int, backend: Backend) -> None:
        """Send a health check if needed, readmit links, and remove a gone backend after its retention."""
        if backend.phase == READY and not backend.verified:
            self._health.check(now, backend)
        if backend.ejected_links:
            self._health.check(now, backend)
        self._ejection.readmit_unobserved(now, backend)
        is_used = backend.is_in_tables or backend.exclusion == Exclusion.EXCLUDED
        is_retention_over = now - backend.left_ready_at > REMOVED_BACKEND_RETENTION
        if backend.phase == GONE and not is_used and is_retention_over:
            self._remove(backend)

    def _remove(self, backend: Backend) -> None:
        self._dirty.remove(backend)
        self._overload.remove(backend)
        self._fleet.remove(backend.name)
        self._actions.remove_backend(backend.name)
