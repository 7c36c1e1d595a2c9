"""Periodic log event with the metrics of this coordinator (docs/fleet.md).

The event is disabled unless the operator's settings contain the section [figures]. This module only reads:
the planner's metrics, the age of the endpoint list and the duration of the longest turn.
"""

from granitespool.coordinator import Coordinator
from granitespool.net.discovery import Discovery
from granitespool.net.log import Log
from granitespool.net.loop import Coroutine, Loop
from granitespool.operator_settings import FiguresSettings
from granitespool.planner.status import Outlier
from granitespool.units import MICROSECOND, MILLISECOND

SHARE_DIGITS = 3  # decimal places of a share, a rate or a number of entries in the log
OUTLIER_DIGITS = 2  # decimal places of an outlier's numbers


class Metrics:
    """Writes the event `metrics` periodically; `options` may be replaced at any time."""

    def __init__(
        self, loop: Loop, coordinator: Coordinator, log: Log, options: FiguresSettings, discovery: Discovery
    ) -> None:
        self.loop = loop
        self.coordinator = coordinator
        self.log = log
        self.options = options
        self.discovery = discovery
        self.longest_turn = 0  # ns, the longest turn since the last event
        loop.spawn(self._run())

    def turn_ended(self, began_at: int) -> None:
        """Record the duration of a turn that began at `began_at` (ns); called at the end of the turn."""
        self.longest_turn = max(self.longest_turn, self.loop.clock() - began_at)

    def _run(self) -> Coroutine:
        while True:
            yield None, 0, self.loop.now + self.options.every_ms * MILLISECOND
            self._write_event()
            self.longest_turn = 0

    def _write_event(self) -> None:
        coordinator_metrics = self.coordinator.metrics()
        metrics = coordinator_metrics.planner
        outliers = self.coordinator.outliers(self.options.backends)
        self.log.event(
            "metrics",
            joined=metrics.joined,
            unassigned=metrics.unassigned,
            longest_wait_ms=metrics.longest_wait // MILLISECOND,
            outstanding_drains=metrics.outstanding_drains,
            longest_drain_ms=metrics.longest_drain // MILLISECOND,
            in_flight=round(metrics.in_flight, SHARE_DIGITS),
            in_flight_limit=round(metrics.in_flight_limit, SHARE_DIGITS),
            oldest_in_flight_ms=metrics.oldest_in_flight_age // MILLISECOND,
            configured_rate=round(metrics.configured_rate, SHARE_DIGITS),
            observed_rate=round(metrics.observed_rate, SHARE_DIGITS),
            total_entries=round(metrics.total_entries, SHARE_DIGITS),
            entries_by_kind={
                kind: round(entries, SHARE_DIGITS) for kind, entries in metrics.entries_by_kind.items()
            },
            acknowledgement_ms=metrics.acknowledgement_latency // MILLISECOND,
            overloaded=metrics.is_overloaded,
            admitted_share=round(metrics.admitted_share, SHARE_DIGITS),
            success_ratio=round(metrics.success_ratio, SHARE_DIGITS),
            subsets=metrics.subsets,
            total_reports=coordinator_metrics.load_reports,
            ejected_links=metrics.ejected_links,
            last_resort_links=metrics.last_resort_links,
            list_index=self.discovery.index,
            list_age_ms=(self.loop.now - self.discovery.last_update_at) // MILLISECOND,
            longest_turn_us=self.longest_turn // MICROSECOND,
            outliers={name: _outlier_fields(outlier) for name, outlier in outliers.backends.items()},
            outliers_omitted=outliers.omitted,
        )


def _outlier_fields(outlier: Outlier) -> list[str | float]:
    """Return [reason, attempts, failures, weight] of an outlier, as written to the log."""
    numbers = (outlier.attempts, outlier.failures, outlier.weight)
    return [outlier.reason, *(round(number, OUTLIER_DIGITS) for number in numbers)]
