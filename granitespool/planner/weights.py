"""Weights that backends should have in the tables of a zone."""

from granitespool.planner.cost import CostTable
from granitespool.planner.fleet import Fleet
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.records import READY, Backend, Link
from granitespool.planner.slow_start import SlowStart
from granitespool.settings import Settings

LAST_RESORT_SHARE = 0.02  # share of its weight that a last resort keeps, so that its recovery is observed
# A backend fails if it gets `overload_multiple` times the work that it can do. A backend that is warming up
# may get this share of that multiple.
OVERLOAD_GUARD = 0.5
WEIGHT_MIN = 0.0001  # smallest weight of an entry; a weight rounded to 0 would remove the entry


class EntryWeights:
    """Calculates weights from costs, slow starts and ejections."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        costs: CostTable,
        slow_start: SlowStart,
        overload: OverloadDetector,
    ) -> None:
        self.settings = settings
        self._fleet = fleet
        self._costs = costs
        self._slow_start = slow_start
        self._overload = overload
        self._uses_unverified = False  # whether unverified backends get entries

    def update_fallback(self) -> None:
        """Allow entries for unverified backends as long as no ready backend is verified."""
        self._uses_unverified = not any(
            backend.phase == READY and backend.verified for backend in self._fleet.backends.values()
        )

    def target_weight(self, now: int, backend: Backend, zone: str) -> float:
        """Return the weight that a backend should have in the tables of a zone, or 0 for no entry."""
        link = backend.links.get(zone)
        is_ejected = link is not None and link.ejected_at is not None
        if is_ejected and not (link and link.last_resort):
            return 0.0
        if backend.phase != READY or backend.exclusion.is_active:
            return 0.0
        if not backend.verified and not self._uses_unverified:
            return 0.0
        share = self._slow_start_share(now, backend, link)
        if is_ejected:
            share = min(share, LAST_RESORT_SHARE)
        zone_mean = self._costs.zone_means.get(zone)
        cost = self._costs.attempt_cost(backend, zone)
        warm_up_share = self._slow_start.warm_up_share(now, backend)
        if warm_up_share < 1:
            share = min(share, self._guarded_share(share, warm_up_share))
            # A cold backend without much load answers fast. This must not raise its weight.
            zone_mean = min(zone_mean or 0, cost or 0)
        cost_ratio = zone_mean / cost if zone_mean and cost else 1.0
        return max(WEIGHT_MIN, round(backend.configured_weight * cost_ratio * share, 4))

    def _slow_start_share(self, now: int, backend: Backend, link: Link | None) -> float:
        share = 1.0
        if backend.slow_start_since is not None:
            share = min(share, self._slow_start.weight_share(now, backend.slow_start_since))
        if link is not None and link.slow_start_since is not None:
            share = min(share, self._slow_start.weight_share(now, link.slow_start_since))
        return share

    def _guarded_share(self, share: float, warm_up_share: float) -> float:
        """Return the share of its weight that a cold backend may have while attempts fail.

        During an overload a quarter of the weight brings many times a quarter of the work that a backend can
        do. The share is therefore multiplied by the success ratio. Before that it is raised if the
        warm-up share allows more. OVERLOAD_GUARD keeps the raised share below the overload multiple, at which
        the backend would fail.
        """
        allowed = OVERLOAD_GUARD * self.settings.overload_multiple * warm_up_share
        return self._overload.success_ratio * max(share, allowed)
