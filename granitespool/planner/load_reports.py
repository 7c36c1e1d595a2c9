"""Handling of load reports: they update the records, and may eject or readmit the reported link."""

from granitespool.planner.cost import SUCCESSES_MIN
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.ejection import LinkAction, OutlierEjection
from granitespool.planner.events import LoadReport
from granitespool.planner.fleet import Fleet
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.records import Backend, Link
from granitespool.planner.restoration import discard_contradicted

# Factor by which the sums of a link decay each period. The sums then cover about twelve seconds.
DECAY_FACTOR = 0.92


def successes_of(report: LoadReport) -> int | float:
    """Return the number of successful attempts in a report; 0 if the report has no response time."""
    return max(0, report.attempts - report.failures) if report.mean > 0 else 0


class LoadReports:
    """Adds load reports to links and backends."""

    def __init__(
        self, fleet: Fleet, dirty: DirtySet, ejection: OutlierEjection, overload: OverloadDetector
    ) -> None:
        self._fleet = fleet
        self._dirty = dirty
        self._ejection = ejection
        self._overload = overload

    def add(self, report: LoadReport, successes: float, backend: Backend, link: Link) -> LinkAction:
        """Add a report to the records of its backend and link. Return what to do with the link.

        `successes` is the number of successful attempts in the report.
        """
        attempts = report.attempts
        if link.restored and attempts >= SUCCESSES_MIN:
            discard_contradicted(link, attempts, report.failures, report.mean, bool(successes))
        failures = min(report.failures, attempts)
        response_time = successes * report.mean
        link.observe(attempts, failures, successes, response_time)
        backend.observe(attempts, failures, successes, response_time)
        if link.successes >= SUCCESSES_MIN:
            self._dirty.mark_observed(backend, report.zone)
        return self._ejection.evaluate_report(link, attempts, report.failures, successes)
