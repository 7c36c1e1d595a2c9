"""Overload of the fleet, and the share of all work that is admitted while it lasts.

Overload is judged by the median attempt's backend: its mean response time against the shortest latency
objective. Failures alone are none. Admission moves by factors: down by one each period
of overload, not above what was answered of the demand, and back up without it.
"""

from granitespool.planner.records import BY_SEQUENCE, Backend, BackendSet
from granitespool.planner.status import FleetSnapshot
from granitespool.settings import DEFAULT_LATENCY_OBJECTIVE, Settings
from granitespool.units import SECOND

DECAY = 0.1  # share of the fleet's sums that each evaluation carries on: reports are late as it is
ENTER_SHARE = 0.65  # share of the shortest latency objective: above it many answers come too late
LEAVE_SHARE = 0.5  # the same, for the end of an overload
ATTEMPTS_MIN = 20  # attempts under which an evaluation is chance: the first reports after a start
SHED_FACTOR = 0.95  # per evaluation in overload, of what is admitted and of what is answered
RECOVERY_FACTOR = 1.08  # per evaluation without: the less is rejected, the less is retried
ADMITTED_SHARE_MIN = 0.2  # share of the work that is always admitted: load reports must not run dry
UNKNOWN_SUCCESS_RATIO = 0.3  # of attempts, at a start among cold backends: an overload may be on
RESTORED_FOR = 3 * SECOND  # ns that a restored overload holds unless it is observed: reports of two seconds


class OverloadDetector:
    """Whether the fleet is overloaded, and how much is admitted."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.is_overloaded = False
        self.success_ratio = 1.0  # of attempts
        self.admitted_share = 1.0  # of all work
        self.demand: dict[str | None, float] = {}  # request class -> requests of about the last second
        self._restored_until = 0  # ns until which a restored overload holds; 0: none is
        self._recent: BackendSet = {}  # backends that reports of the last minutes told of

    @property
    def is_normal(self) -> bool:
        """Whether nothing is shed and no overload is on."""
        return not self.is_overloaded and self.admitted_share >= 1

    def observe(self, backend: Backend) -> None:
        """A load report of a backend came; its recent sums count in the next evaluations."""
        self._recent[backend] = None

    def observe_demand(self, request_class: str, requests: float) -> None:
        """Requests of a class reached a proxy."""
        self.demand[request_class] = self.demand.get(request_class, 0) + requests

    def remove(self, backend: Backend) -> None:
        """A backend is removed."""
        self._recent.pop(backend, None)

    def expect_cold_start(self) -> None:
        """Some backends of the first list are cold: an overload may be on."""
        self.success_ratio = UNKNOWN_SUCCESS_RATIO

    def restore(self, now: int, snapshot: FleetSnapshot) -> None:
        """Take over what a snapshot tells; an overload holds for a short time unless it is observed."""
        self.success_ratio = min(self.success_ratio, snapshot.success_ratio)
        if snapshot.is_overloaded or snapshot.admitted_share < 1:
            self.is_overloaded = snapshot.is_overloaded
            self.admitted_share = snapshot.admitted_share
            self.demand = dict(snapshot.demand)
            self._restored_until = now + RESTORED_FOR

    def evaluate(self, now: int) -> None:
        """Judge the fleet by the reports since the last evaluation; once a period."""
        reported = [
            backend for backend in sorted(self._recent, key=BY_SEQUENCE) if backend.recent_attempts >= 1
        ]
        attempts = sum(backend.recent_attempts for backend in reported)
        if attempts >= ATTEMPTS_MIN:
            self._judge(reported, attempts)
        if self._restored_until and (attempts >= ATTEMPTS_MIN or now >= self._restored_until):
            self._end_restored(attempts >= ATTEMPTS_MIN)
        self._decay()

    def _judge(self, reported: list[Backend], attempts: float) -> None:
        threshold = LEAVE_SHARE if self.is_overloaded else ENTER_SHARE
        self.is_overloaded = median_response_time(reported) > threshold * self._shortest_objective()
        self.success_ratio = 1 - sum(backend.recent_failures for backend in reported) / attempts
        demand = sum(self.demand.values())
        if not self.is_overloaded:
            self.admitted_share = min(1.0, self.admitted_share * RECOVERY_FACTOR)
        elif demand > 0:
            answered_share = sum(backend.recent_successes for backend in reported) / demand
            share = SHED_FACTOR * min(self.admitted_share, answered_share)
            self.admitted_share = max(ADMITTED_SHARE_MIN, share)

    def _end_restored(self, is_observed: bool) -> None:
        self._restored_until = 0
        self.is_overloaded = self.is_overloaded and is_observed
        if not self.is_overloaded:
            self.admitted_share = 1.0  # a recovery from a share of a former process would only shed

    def _shortest_objective(self) -> float:
        objectives = (each.effective_latency_objective for each in self.settings.classes)
        return min(objectives, default=DEFAULT_LATENCY_OBJECTIVE)

    def _decay(self) -> None:
        for backend in list(self._recent):
            backend.decay(DECAY)
            if not (backend.recent_attempts or backend.recent_response_time):
                del self._recent[backend]
        self.demand = {name: requests * DECAY for name, requests in self.demand.items()}


def median_response_time(backends: list[Backend]) -> float:
    """The mean response time (ns) of the backend that the median success was at; 0 without any."""
    half = sum(backend.recent_successes for backend in backends) / 2
    mean = 0.0
    by_mean = sorted(
        (backend.recent_response_time / backend.recent_successes, backend.recent_successes)
        for backend in backends
        if backend.recent_successes
    )
    for mean, successes in by_mean:
        half -= successes
        if half <= 0:
            break
    return mean
