"""Slow start: the growing share of a new, returned or readmitted backend.

Two limits apply. The slow-start share begins at a quarter and doubles each step; it protects against slow
cold backends, whatever makes them slow. The warm-up share is the part of its work that a backend of some age
can do according to the settings.
"""

from granitespool.planner.records import Backend
from granitespool.settings import Settings
from granitespool.units import SECOND

STEP_DURATION = 5 * SECOND  # ns for each doubling of a share
DOUBLINGS_MAX = 40  # enough for any start share; more than 1,023 would overflow a float
START_SHARE = 0.25  # share of its weight that a new or returned backend starts with
# ns to full capacity: two doublings from a quarter, and one step of reserve
DEFAULT_WARM_UP_TIME = 3 * STEP_DURATION


class SlowStart:
    """Shares of backends in slow start, by the current settings."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings

    @property
    def warm_up_time(self) -> int:
        """Time until a backend can do its whole work, ns; a cautious default if none is configured."""
        configured = self.settings.warm_up_time
        return DEFAULT_WARM_UP_TIME if configured is None else configured

    @property
    def step(self) -> int:
        """Duration of a doubling, ns: STEP_DURATION, but at most half of the configured warm-up time."""
        configured = self.settings.warm_up_time
        if configured is None:
            return STEP_DURATION
        return max(1, min(STEP_DURATION, configured // 2))

    def is_cold_at_start(self, now: int, started_at: int) -> bool:
        """Return whether a backend of the first endpoint list is still warming up.

        Without a configured warm-up time none is: a default would put a warm fleet into slow start at each
        start of a coordinator.
        """
        return bool(started_at) and now - started_at < (self.settings.warm_up_time or 0)

    def warm_up_share(self, now: int, backend: Backend) -> float:
        """Return the share of its work that a backend can do, by its age and the configured warm-up."""
        share = self.settings.effective_warm_up_start_share
        if backend.slow_start_since is None:
            return share + (1 - share)
        age = min(1, (now - backend.started_at) / max(1, self.warm_up_time))
        return share + (1 - share) * age

    def is_warm(self, now: int, backend: Backend) -> bool:
        """Return whether a backend can do its whole work."""
        return self.warm_up_share(now, backend) >= 1

    def weight_share(self, now: int, since: int) -> float:
        """Return the share of its weight that a slow start from `since` (ns) allows; it may exceed 1."""
        doublings = min(DOUBLINGS_MAX, (now - since) // self.step)
        return max(START_SHARE, self.settings.effective_warm_up_start_share) * 2.0**doublings

    def is_over(self, now: int, since: int | None) -> bool:
        """Return whether a slow start from `since` (ns; None: none) no longer reduces a weight."""
        return since is None or self.weight_share(now, since) >= 1
