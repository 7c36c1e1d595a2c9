"""Slow start: the growing share of a new, returned or readmitted backend.

Two limits apply. The slow-start share begins at a quarter and doubles after each step. It limits the traffic
of cold backends, which may be slow for any reason. The warm-up share is the part of its full work that a
backend of a given age can do according to the settings.
"""

from granitespool.planner.records import Backend
from granitespool.settings import Settings
from granitespool.units import SECOND

STEP_DURATION = 5 * SECOND  # time in which a share doubles, ns
DOUBLINGS_MAX = 40  # enough for any start share; more than 1,023 doublings would overflow a float
START_SHARE = 0.25  # share of its full weight with which a new or returned backend starts
# Time to full capacity, ns. Two steps double a quarter to the whole, and one step is a reserve.
DEFAULT_WARM_UP_TIME = 3 * STEP_DURATION


class SlowStart:
    """Calculates the shares of backends in slow start from the current settings."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings

    @property
    def warm_up_time(self) -> int:
        """Time until a backend can do its full work, ns; a cautious default if it is not configured."""
        configured = self.settings.warm_up_time
        return DEFAULT_WARM_UP_TIME if configured is None else configured

    @property
    def step(self) -> int:
        """Time in which a share doubles, ns.

        This is STEP_DURATION, or half of the configured warm-up time if that is shorter.
        """
        configured = self.settings.warm_up_time
        if configured is None:
            return STEP_DURATION
        return max(1, min(STEP_DURATION, configured // 2))

    def is_cold_at_start(self, now: int, started_at: int) -> bool:
        """Return whether a backend of the first endpoint list is still warming up.

        If no warm-up time is configured, the result is False. With a default time, each start of a
        coordinator would put a warm fleet into slow start.
        """
        return bool(started_at) and now - started_at < (self.settings.warm_up_time or 0)

    def warm_up_share(self, now: int, backend: Backend) -> float:
        """Return the share of its full work that a backend can do, given its age and the settings."""
        share = self.settings.effective_warm_up_start_share
        if backend.slow_start_since is None:
            return share + (1 - share)
        age = min(1, (now - backend.started_at) / max(1, self.warm_up_time))
        return share + (1 - share) * age

    def is_warm(self, now: int, backend: Backend) -> bool:
        """Return whether a backend can do its full work."""
        return self.warm_up_share(now, backend) >= 1

    def weight_share(self, now: int, since: int) -> float:
        """Return the share of its full weight that a backend in slow start may have.

        `since` is the time at which the slow start began (ns). The share may exceed 1.
        """
        doublings = min(DOUBLINGS_MAX, (now - since) // self.step)
        return max(START_SHARE, self.settings.effective_warm_up_start_share) * 2.0**doublings

    def is_over(self, now: int, since: int | None) -> bool:
        """Return whether a slow start no longer reduces a weight.

        `since` is the time at which the slow start began (ns), or None if there was no slow start.
        """
        return since is None or self.weight_share(now, since) >= 1
