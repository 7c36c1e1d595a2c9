"""The planner's timers; their values are also the names in the simulator's protocol."""

from enum import StrEnum


class Timer(StrEnum):
    """The purpose of a timer."""

    RECOMPUTE = "round"
    PUBLISH = "flush"
    SUBSCRIBE = "observe"
