"""Load reports of collectors and usage reports of proxies, delivered some time after each second."""

from granitespool.emulator.clock import EPOCH, VirtualClock
from granitespool.emulator.coordinator_host import CoordinatorHost
from granitespool.emulator.request_traffic import LinkCounts, RequestTraffic
from granitespool.planner.events import Event, LoadReport, UsageReport
from granitespool.units import MILLISECOND, SECOND


class LoadReporter:
    """Reporter that sends the counts of each second to the coordinator.

    The incarnation that is running at the end of the second receives the counts. If no incarnation is
    running then, the counts are lost.
    """

    def __init__(
        self, clock: VirtualClock, traffic: RequestTraffic, host: CoordinatorHost, lag_ms: float
    ) -> None:
        self.clock = clock
        self.traffic = traffic
        self.host = host
        self.lag = int(lag_ms * MILLISECOND)  # delay (ns) from the end of a second to its reports
        clock.call_at(EPOCH + SECOND, self._report, 0)

    def _report(self, second: int) -> None:
        self.clock.call_at(self.clock.now + SECOND, self._report, second + 1)
        links, demand = self.traffic.take_links(second), self.traffic.take_demand()
        if self.host.coordinator is None:
            return
        events: list[Event] = [
            _load_report(zone, backend, counts) for (zone, backend), counts in links.items()
        ]
        events += [_usage_report(proxy, name, number) for (proxy, name), number in demand.items()]
        self.clock.call_at(self.clock.now + self.lag, self.host.deliver, self.host.incarnation, events)


def _load_report(zone: str, backend: str, counts: LinkCounts) -> LoadReport:
    return LoadReport(
        zone=zone,
        backend=backend,
        attempts=counts.attempts,
        failures=counts.failed,
        mean=counts.mean_latency,
        window=SECOND,
        load={},
    )


def _usage_report(proxy: int, class_name: str, requests: int) -> UsageReport:
    return UsageReport(proxy=proxy, request_class=class_name, requests=requests, unanswered=0, window=SECOND)
