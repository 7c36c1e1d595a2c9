"""Outlier ejection: which links leave the tables after failures or overload, and when they return.

A link is ejected after consecutive load reports that show a utilization above 80 % or only failures. Reports
of only failures count if they contain enough attempts.

In each zone at most a third of the ready backends of a subset is ejected. A link beyond that cap stays in the
tables as a last resort. It keeps a small share of its weight, so that its recovery is observed. The share is
the same for all last resorts. An ejected link without load reports returns after some periods and begins a
slow start.
"""

from enum import Enum

from granitespool.planner.cost import OVERLOADED_UTILIZATION, CostTable, utilization
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.events import HealthCheckOutcome
from granitespool.planner.fleet import RECOMPUTATION_PERIOD, Fleet
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.records import READY, Backend, Link
from granitespool.units import SECOND

OVERLOADED_REPORTS_MIN = 2  # consecutive overloaded load reports before an ejection
CONSECUTIVE_FAILURES_MIN = 5  # consecutive failures before an ejection; one or two can happen by chance
BACKENDS_PER_EJECTION = 3  # minimum number of ready backends for each ejected backend
UNOBSERVED_PERIODS_MIN = 2  # periods after which an ejected link without load reports returns
# Number of failures that a timed out health check counts as. It is below CONSECUTIVE_FAILURES_MIN because a
# health check may wait in a queue of the backend, as a request does.
TIMED_OUT_CHECK_FAILURES = 2
FAST_REJECTION_MAX = SECOND // 4  # ns; if a rejection takes longer, the health check hung in the backend


class LinkAction(Enum):
    """What to do with a link after a load report."""

    UNCHANGED = "unchanged"
    EJECT = "eject"
    READMIT = "readmit"
    CHECK_HEALTH = "check"  # only failures, but too few for an ejection: a health check may confirm them


class OutlierEjection:
    """Ejects and readmits links."""

    def __init__(self, fleet: Fleet, dirty: DirtySet, costs: CostTable, overload: OverloadDetector) -> None:
        self._fleet = fleet
        self._dirty = dirty
        self._costs = costs
        self._overload = overload

    def evaluate_report(self, link: Link, attempts: float, failures: float, successes: float) -> LinkAction:
        """Return what to do with a link after a load report, which its sums already include."""
        only_failures = failures >= attempts
        link.consecutive_failures = link.consecutive_failures + attempts if only_failures else 0
        is_overloaded = only_failures or self._is_overloaded(link, successes)
        link.overloaded_reports = link.overloaded_reports + 1 if is_overloaded else 0
        if link.is_ejected and not is_overloaded:
            return LinkAction.READMIT
        is_confirmed = link.consecutive_failures >= CONSECUTIVE_FAILURES_MIN or successes
        if link.overloaded_reports >= OVERLOADED_REPORTS_MIN and not link.is_ejected and is_confirmed:
            return LinkAction.EJECT
        return LinkAction.CHECK_HEALTH if only_failures else LinkAction.UNCHANGED

    def _is_overloaded(self, link: Link, successes: float) -> bool:
        # During an overload of the fleet a high utilization does not identify an outlier, and an ejection
        # would only move load to other backends
        if not successes or not self._overload.is_normal:
            return False
        return utilization(link, link.response_time / link.successes) > OVERLOADED_UTILIZATION

    def eject(self, now: int, zone: str, backend: Backend) -> None:
        """Eject the link of a backend in a zone. Beyond the cap on ejections it becomes a last resort."""
        peer_links = [
            peer.links.get(zone)
            for peer in self._fleet.backends.values()
            if peer.phase == READY and peer.subset == backend.subset
        ]
        ejected = sum(
            1 for peer_link in peer_links if peer_link and peer_link.is_ejected and not peer_link.last_resort
        )
        link = backend.link(zone, self._fleet.period)
        self._dirty.ejected[backend] = None
        self._dirty.watch(backend, zone)
        link.last_resort = (ejected + 1) * BACKENDS_PER_EJECTION > len(peer_links)
        link.ejected_at = now

    def readmit(self, now: int, link: Link) -> None:
        """Readmit a link after a load report that shows its recovery. The link begins a slow start."""
        link.ejected_at = None
        link.slow_start_since = now

    def readmit_unobserved(self, now: int, backend: Backend) -> None:
        """Readmit ejected links of a backend that had no load reports for UNOBSERVED_PERIODS_MIN periods."""
        ejected = backend.ejected_links
        if not ejected:
            self._dirty.ejected.pop(backend, None)
        for zone, link in ejected:
            if link.last_resort or link.ejected_at is None:
                continue
            if now - link.ejected_at < UNOBSERVED_PERIODS_MIN * RECOMPUTATION_PERIOD:
                continue
            new_link = backend.links[zone] = Link(self._fleet.period)
            new_link.slow_start_since = now
            self._costs.reset_link(new_link)

    def health_check_failed(self, now: int, backend: Backend, timed_out: bool) -> None:
        """Handle a health check that timed out or failed without an answer.

        Ejected links stay ejected for longer. For a link whose last load reports contained only failures, the
        health check counts as further failures. The link is ejected if there are enough of them.
        """
        for zone, link in backend.links.items():
            if link.is_ejected:
                link.ejected_at = now
            elif link.consecutive_failures:
                link.consecutive_failures += (
                    TIMED_OUT_CHECK_FAILURES if timed_out else CONSECUTIVE_FAILURES_MIN
                )
                if link.consecutive_failures >= CONSECUTIVE_FAILURES_MIN:
                    self.eject(now, zone, backend)


def effective_outcome(outcome: HealthCheckOutcome, latency: int) -> HealthCheckOutcome:
    """Return the outcome of a health check, with a slow rejection replaced by a timeout.

    A rejection is slow if its latency (ns) is above FAST_REJECTION_MAX.
    """
    if outcome == HealthCheckOutcome.REJECTED and latency > FAST_REJECTION_MAX:
        return HealthCheckOutcome.TIMED_OUT
    return outcome
