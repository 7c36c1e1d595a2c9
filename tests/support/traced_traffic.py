"""The requests of a traced fleet: the load of the backends, and requests that must take effect only once."""

from collections import defaultdict
from random import Random
from typing import TYPE_CHECKING

import msgspec

from granitespool.planner.events import UsageReport
from granitespool.scale.trace import BackendLoad, RequestExecuted
from granitespool.units import SECOND
from support.traced_coordinator import ReportedStart, TracedProxy

if TYPE_CHECKING:
    from support.traced_backends import TracedBackend
    from support.traced_fleet import TracedFleet

LOAD = 0.6  # share of the first backends' warm capacity
ANSWER_TIME = SECOND // 10  # ns: response time of an idle backend
ATTEMPTS = 20.0  # per second and proxy
REQUESTS = 2  # requests that must take effect only once, per second and proxy
LOST_ANSWER_SHARE = 0.05  # share of these requests whose answer is lost after the effect
MAX_QUEUE_FACTOR = 4.0  # greatest load, as a multiple of the capacity, that still slows a backend down
ATTEMPTS_BY_RETRIES = {0: 1, 1: 2, 2: 2, 3: 3}  # retry mode -> attempts in total
RETRIES_AFTER_ANY_FAILURE = 2  # first retry mode that also retries attempts that may have been executed
CLASS = "b"  # class of the requests


class Work(msgspec.Struct):
    """Work that reaches a backend, as a multiple of the warm capacity."""

    total: float = 0.0
    informed: float = 0.0  # part that is sent with knowledge of the backend's start


class TracedTraffic:
    """The requests of all proxies."""

    def __init__(self, fleet: "TracedFleet", random: Random, default_retries: int) -> None:
        self.fleet = fleet
        self.random = random
        self.default_retries = default_retries
        self.requests = 0

    def _shares(self, proxy: TracedProxy) -> dict[str, float]:
        """Return each backend's share of a proxy's attempts, including retries.

        An attempt that a backend rejects because it is not ready is retried once at another backend, if
        retries are allowed.
        """
        weights = proxy.usable_weights()
        total = sum(weights.values())
        if not total:
            return {}
        shares = {name: weight / total for name, weight in weights.items()}
        backends = self.fleet.backends.by_name
        taken = {name: share for name, share in shares.items() if backends[name].phase == "ready"}
        rejected = 1 - sum(taken.values())
        if taken and rejected > 0 and any(proxy.retries.values()):
            more = rejected / sum(taken.values())
            shares.update({name: share * (1 + more) for name, share in taken.items()})
        return shares

    def _is_informed(self, proxy: TracedProxy, backend: "TracedBackend") -> bool:
        """Return whether a proxy's work counts as sent with knowledge of the backend's start."""
        applied = proxy.reported_starts.get(backend.name, ReportedStart(0, 0))
        if applied.started == backend.started and proxy.written_at >= applied.received_at:
            return True
        if proxy.coordinator is None:
            received = ReportedStart(0, 0)
        else:
            received = proxy.coordinator.reported_starts.get(backend.name, ReportedStart(0, 0))
        grace = self.fleet.channel.drain_grace
        return received.started == backend.started and self.fleet.now - received.received_at >= grace

    def work(self) -> dict[str, Work]:
        """Return the work that reaches each backend."""
        found: dict[str, Work] = defaultdict(Work)
        proxy_work = LOAD * self.fleet.backends.first_count / len(self.fleet.proxies)
        for proxy in self.fleet.proxies.values():
            for name, share in self._shares(proxy).items():
                found[name].total += proxy_work * share
                informed = self._is_informed(proxy, self.fleet.backends.by_name[name])
                found[name].informed += proxy_work * share * informed
        return found

    def record_loads(self) -> None:
        """Record the work of each backend that has started during the run."""
        work, now = self.work(), self.fleet.now
        for backend in self.fleet.backends.ready():
            if not backend.started:
                continue
            reached = work.get(backend.name, Work())
            load = BackendLoad(
                at=now,
                backend=backend.name,
                multiple=reached.total / backend.capacity_share(now),
                warming_up=backend.warms_up(now),
                informed_share=reached.informed / reached.total if reached.total else 0.0,
            )
            self.fleet.record(load)

    def report(self) -> None:
        """Report a second's load and usage to each coordinator, within the limit of its intake."""
        work = self.work()
        for coordinator in self.fleet.running():
            by_link: dict[tuple[str, str], float] = defaultdict(float)
            for number in coordinator.joined:
                proxy = self.fleet.proxies[number]
                for name, share in self._shares(proxy).items():
                    by_link[proxy.zone, name] += ATTEMPTS * share
                usage = UsageReport(
                    proxy=number,
                    request_class=CLASS,
                    requests=round(ATTEMPTS),
                    unanswered=0,
                    window=SECOND,
                )
                coordinator.coordinator.report(self.fleet.now, usage)
            for (zone, name), attempts in by_link.items():
                failed_share, mean = self._answers(name, work)
                coordinator.queue_load_report(zone, name, attempts, attempts * failed_share, mean)
            coordinator.process_load_reports(self.fleet.intake)

    def _answers(self, name: str, work: dict[str, Work]) -> tuple[float, float]:
        """Return the share of failing attempts at a backend and the mean time (ns) of the others."""
        backend = self.fleet.backends.by_name[name]
        pressure = work[name].total / backend.capacity_share(self.fleet.now)
        failed_share = 1.0 if backend.phase != "ready" else max(0.0, 1 - 1 / max(1.0, pressure))
        return failed_share, ANSWER_TIME * (1 + min(MAX_QUEUE_FACTOR, pressure))

    def execute_requests(self) -> None:
        """Execute the requests that must take effect only once, with the retry mode of their proxy."""
        for proxy in self.fleet.proxies.values():
            for _ in range(REQUESTS if proxy.coordinator else 0):
                self.requests += 1
                retries = proxy.retries.get(CLASS, self.default_retries)
                self._execute(self.requests, proxy.usable_weights(), retries)

    def _execute(self, request: int, weights: dict[str, float], retries: int) -> None:
        for _ in range(min(ATTEMPTS_BY_RETRIES[retries], len(weights))):
            name = self.random.choices(list(weights), list(weights.values()))[0]
            weights = {other: weight for other, weight in weights.items() if other != name}
            if self.fleet.backends.by_name[name].phase != "ready":
                continue  # rejected: the attempt was certainly not executed
            executed = RequestExecuted(at=self.fleet.now, request=request, backend=name, effect="single_shot")
            self.fleet.record(executed)
            lost = self.random.random() < LOST_ANSWER_SHARE
            if not lost or retries < RETRIES_AFTER_ANY_FAILURE:
                return
