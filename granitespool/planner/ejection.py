"""Outlier ejection: which links leave the tables for failures or overload, and when they return.

A link is ejected after consecutive reports above 80 % utilization, or of failures alone once enough attempts
stand behind them. At most a third of a subset's ready backends is ejected in a zone; one past that cap stays
as a last resort with a small weight, so that its recovery is observed, or all weigh alike. An ejected link
that nobody reports of returns after some periods, into slow start.
"""

from enum import Enum

from granitespool.planner.cost import OVERLOADED_UTILIZATION, CostTable, utilization
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.events import HealthCheckOutcome
from granitespool.planner.fleet import RECOMPUTATION_PERIOD, Fleet
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.records import READY, Backend, Link
from granitespool.units import SECOND

OVERLOADED_REPORTS = 2  # consecutive overloaded reports before an ejection: the design page's
FAILURES_MIN = 5  # consecutive failures that an ejection for failures rests on: one or two are chance
MAX_EJECTION_SHARE = 3  # at most one in this many ready backends is ejected: the design page's
UNOBSERVED_PERIODS = 2  # periods that an ejected link stays unobserved before it returns: the design page's
LATE_CHECK_FAILURES = 2  # failures that a health check which timed out stands for: it may wait in the queue
#                          like a request
FAST_REJECTION = SECOND // 4  # ns: a rejection is fast; a slower one is of a backend whose check hung


class LinkAction(Enum):
    """What a load report makes of its link."""

    UNCHANGED = "unchanged"
    EJECT = "eject"
    READMIT = "readmit"
    CHECK_HEALTH = "check"  # failures alone, and too few: a health check tells more


class OutlierEjection:
    """Ejects and readmits links."""

    def __init__(self, fleet: Fleet, dirty: DirtySet, costs: CostTable, overload: OverloadDetector) -> None:
        self._fleet = fleet
        self._dirty = dirty
        self._costs = costs
        self._overload = overload

    def evaluate_report(self, link: Link, attempts: float, failures: float, successes: float) -> LinkAction:
        """What a load report, which its link's sums hold already, makes of the link."""
        only_failures = failures >= attempts
        link.consecutive_failures = link.consecutive_failures + attempts if only_failures else 0
        is_overloaded = only_failures or self._is_overloaded(link, successes)
        link.overloaded_reports = link.overloaded_reports + 1 if is_overloaded else 0
        if link.is_ejected and not is_overloaded:
            return LinkAction.READMIT
        is_confirmed = link.consecutive_failures >= FAILURES_MIN or successes
        if link.overloaded_reports >= OVERLOADED_REPORTS and not link.is_ejected and is_confirmed:
            return LinkAction.EJECT
        return LinkAction.CHECK_HEALTH if only_failures else LinkAction.UNCHANGED

    def _is_overloaded(self, link: Link, successes: float) -> bool:
        # Utilization tells nothing while the fleet is overloaded: an ejection would only move load
        if not successes or not self._overload.is_normal:
            return False
        return utilization(link, link.response_time / link.successes) > OVERLOADED_UTILIZATION

    def eject(self, now: int, zone: str, backend: Backend) -> None:
        """Eject a backend's link in a zone, as a last resort where too many are ejected already."""
        peers = [
            each.links.get(zone)
            for each in self._fleet.backends.values()
            if each.phase == READY and each.subset == backend.subset
        ]
        ejected = sum(1 for each in peers if each and each.is_ejected and not each.last_resort)
        link = backend.link(zone, self._fleet.period)
        self._dirty.ejected[backend] = None
        self._dirty.watch(backend, zone)
        link.last_resort = (ejected + 1) * MAX_EJECTION_SHARE > len(peers)
        link.ejected_at = now

    def readmit(self, now: int, link: Link) -> None:
        """A load report shows that a link is well again: it returns into slow start."""
        link.ejected_at = None
        link.slow_start_since = now

    def readmit_unobserved(self, now: int, backend: Backend) -> None:
        """Readmit the backend's links that nobody could report of for long enough."""
        ejected = backend.ejected_links
        if not ejected:
            self._dirty.ejected.pop(backend, None)
        for zone, link in ejected:
            if link.last_resort or link.ejected_at is None:
                continue
            if now - link.ejected_at < UNOBSERVED_PERIODS * RECOMPUTATION_PERIOD:
                continue
            fresh = backend.links[zone] = Link(self._fleet.period)
            fresh.slow_start_since = now
            self._costs.reset_link(fresh)

    def health_check_failed(self, now: int, backend: Backend, timed_out: bool) -> None:
        """A health check got no answer: it confirms reports of failures and keeps ejected links out."""
        for zone, link in backend.links.items():
            if link.is_ejected:
                link.ejected_at = now
            elif link.consecutive_failures:
                link.consecutive_failures += LATE_CHECK_FAILURES if timed_out else FAILURES_MIN
                if link.consecutive_failures >= FAILURES_MIN:
                    self.eject(now, zone, backend)


def effective_outcome(outcome: HealthCheckOutcome, latency: int) -> HealthCheckOutcome:
    """What a health check's outcome means, by the time (ns) that it took."""
    if outcome == HealthCheckOutcome.REJECTED and latency > FAST_REJECTION:
        return HealthCheckOutcome.TIMED_OUT
    return outcome
