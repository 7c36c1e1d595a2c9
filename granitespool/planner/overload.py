"""Overload of the fleet, and the share of all work that is admitted during an overload.

The backends are ordered by mean response time, and the backend that answered the median successful attempt is
found. The fleet is overloaded if the mean response time of that backend is too close to the shortest latency
objective. Failures alone are no overload.

The admitted share changes by a factor each period. During an overload it decreases, and stays below the
answered share of the demand. Without an overload it increases.
"""

from granitespool.planner.records import BY_SEQUENCE, Backend, BackendSet
from granitespool.planner.status import FleetSnapshot
from granitespool.settings import DEFAULT_LATENCY_OBJECTIVE, Settings
from granitespool.units import SECOND

# Factor by which the recent sums decay at each evaluation. Load reports are late already, so only a small
# part of older sums is kept.
EVALUATION_DECAY = 0.1
# Shares of the shortest latency objective. An overload begins if the response time exceeds the first share,
# as many answers are late then. It ends if the response time does not exceed the second share.
OVERLOAD_ENTER_SHARE = 0.65
OVERLOAD_LEAVE_SHARE = 0.5
# Number of attempts needed for an evaluation. The first load reports after a start contain fewer attempts,
# and their mean is too noisy.
ATTEMPTS_MIN = 20
# During an overload each evaluation sets the admitted share to this factor times the smaller of the admitted
# share and the answered share
SHED_FACTOR = 0.95
# Without an overload each evaluation multiplies the admitted share by this factor. When fewer requests are
# rejected, fewer are retried.
RECOVERY_FACTOR = 1.08
ADMITTED_SHARE_MIN = 0.2  # share of all work that is always admitted, so that load reports continue
# Success ratio that is assumed after a start with cold backends, because the fleet may be overloaded
COLD_START_SUCCESS_RATIO = 0.3
# Time after which a restored overload ends unless load reports confirm it, ns. The load reports of two
# seconds arrive within this time.
RESTORED_OVERLOAD_DURATION = 3 * SECOND


class OverloadDetector:
    """Detects an overload of the fleet, and sets the admitted share."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.is_overloaded = False
        self.success_ratio = 1.0  # successes per attempt
        self.admitted_share = 1.0  # of all work
        self.demand: dict[str | None, float] = {}  # request class -> requests in about the last second
        self._restored_until = 0  # end of a restored overload, ns; 0 without a restored overload
        self._recent: BackendSet = {}  # backends with load reports in the last minutes

    @property
    def is_normal(self) -> bool:
        """Whether the fleet is not overloaded and all work is admitted."""
        return not self.is_overloaded and self.admitted_share >= 1

    def observe(self, backend: Backend) -> None:
        """Include the recent sums of a backend with a load report in the next evaluations."""
        self._recent[backend] = None

    def observe_demand(self, request_class: str, requests: float) -> None:
        """Add requests of a class that reached a proxy."""
        self.demand[request_class] = self.demand.get(request_class, 0) + requests

    def remove(self, backend: Backend) -> None:
        """Ignore a removed backend from now on."""
        self._recent.pop(backend, None)

    def assume_cold_start(self) -> None:
        """Assume a low success ratio, because the first endpoint list contains cold backends.

        The fleet may then be overloaded.
        """
        self.success_ratio = COLD_START_SUCCESS_RATIO

    def restore(self, now: int, snapshot: FleetSnapshot) -> None:
        """Restore the load of a snapshot. A restored overload ends soon unless load reports confirm it."""
        self.success_ratio = min(self.success_ratio, snapshot.success_ratio)
        if snapshot.is_overloaded or snapshot.admitted_share < 1:
            self.is_overloaded = snapshot.is_overloaded
            self.admitted_share = snapshot.admitted_share
            self.demand = dict(snapshot.demand)
            self._restored_until = now + RESTORED_OVERLOAD_DURATION

    def evaluate(self, now: int) -> None:
        """Update the overload state from recent load reports. Called once per period."""
        reported = [
            backend for backend in sorted(self._recent, key=BY_SEQUENCE) if backend.recent_attempts >= 1
        ]
        attempts = sum(backend.recent_attempts for backend in reported)
        if attempts >= ATTEMPTS_MIN:
            self._update_state(reported, attempts)
        if self._restored_until and (attempts >= ATTEMPTS_MIN or now >= self._restored_until):
            self._end_restored(attempts >= ATTEMPTS_MIN)
        self._decay()

    def _update_state(self, reported: list[Backend], attempts: float) -> None:
        threshold = OVERLOAD_LEAVE_SHARE if self.is_overloaded else OVERLOAD_ENTER_SHARE
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
            self.admitted_share = 1.0  # a gradual increase from the restored share would only shed load

    def _shortest_objective(self) -> float:
        objectives = (request_class.effective_latency_objective for request_class in self.settings.classes)
        return min(objectives, default=DEFAULT_LATENCY_OBJECTIVE)

    def _decay(self) -> None:
        for backend in list(self._recent):
            backend.decay(EVALUATION_DECAY)
            if not (backend.recent_attempts or backend.recent_response_time):
                del self._recent[backend]
        self.demand = {name: requests * EVALUATION_DECAY for name, requests in self.demand.items()}


def median_response_time(backends: list[Backend]) -> float:
    """Return the mean response time (ns) of the backend that answered the median successful attempt.

    The backends are ordered by mean response time. Without successes the result is 0.
    """
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
