"""Slow start: how much of its share a new, returned or readmitted backend gets.

Two things limit it. The slow-start share doubles each step from a quarter; it protects against a cold
backend's slowness whatever its cause. The warm-up share is the part of its work that a backend can do by the
deployment's own figures, by its age.
"""

from granitespool.planner.records import Backend
from granitespool.settings import Settings
from granitespool.units import SECOND

STEP = 5 * SECOND  # ns for each doubling of a new backend's share: the design page's round
STEPS_MAX = 40  # doublings after which slow start is over whatever it began at; past 1,023 a float overflows
START_SHARE = 0.25  # share of its weight that a new or returned backend starts at: the design page's
UNKNOWN_WARM_UP_TIME = 3 * STEP  # ns to full capacity: two doublings from a quarter, and one step to spare


class SlowStart:
    """Shares by the settings in force."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings

    @property
    def warm_up_time(self) -> int:
        """ns until a backend can do its whole work; a careful guess where the deployment does not tell."""
        configured = self.settings.warm_up_time
        return UNKNOWN_WARM_UP_TIME if configured is None else configured

    @property
    def step(self) -> int:
        """ns of a doubling: the design's, or half of the warm-up where that is shorter.

        Where no warm-up time is configured the design's step stands as it is.
        """
        configured = self.settings.warm_up_time
        if configured is None:
            return STEP
        return max(1, min(STEP, configured // 2))

    def is_cold_at_start(self, now: int, started_at: int) -> bool:
        """Whether a backend of the first endpoint list is still warming up.

        Only where the deployment tells a warm-up time: a guess would put a warm fleet into slow start
        whenever a coordinator starts.
        """
        return bool(started_at) and now - started_at < (self.settings.warm_up_time or 0)

    def warm_up_share(self, now: int, backend: Backend) -> float:
        """The share of its work that a backend can do, by its age and the deployment's warm-up."""
        share = self.settings.effective_warm_up_start_share
        if backend.slow_start_since is None:
            return share + (1 - share)
        age = min(1, (now - backend.started_at) / max(1, self.warm_up_time))
        return share + (1 - share) * age

    def is_warm(self, now: int, backend: Backend) -> bool:
        """Whether a backend can do its whole work."""
        return self.warm_up_share(now, backend) >= 1

    def weight_share(self, now: int, since: int) -> float:
        """The share of its weight that slow start allows (may pass 1), `since` in ns when it began."""
        doublings = min(STEPS_MAX, (now - since) // self.step)
        return max(START_SHARE, self.settings.effective_warm_up_start_share) * 2.0**doublings

    def is_over(self, now: int, since: int | None) -> bool:
        """Whether slow start that began then (None: none did) takes nothing from a weight any more."""
        return since is None or self.weight_share(now, since) >= 1
