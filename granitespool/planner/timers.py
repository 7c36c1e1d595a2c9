"""The planner's timers; their names are also those on the simulator's wire."""

from enum import StrEnum


class Timer(StrEnum):
    """What a timer is set for."""

    RECOMPUTE = "round"
    PUBLISH = "flush"
    SUBSCRIBE = "observe"
