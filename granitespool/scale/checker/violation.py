"""What the checker finds: rules that were broken, and traces that cannot be judged."""

from collections.abc import Callable, Mapping
from typing import Any, Literal

import msgspec

from granitespool.errors import GranitespoolError

SECOND = 1_000_000_000  # ns

Rule = Literal["no_backend", "double_effect", "drain", "cold_overload", "channel"]
Handlers = Mapping[type, Callable[[Any], None]]  # event type -> what takes such events


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """One rule broken once."""

    rule: Rule
    at: int  # ns: the last instant that was still allowed, or the event that broke the rule
    subject: str
    text: str  # one sentence with figures


class TraceError(GranitespoolError):
    """The trace cannot be judged."""


class EventOrderError(TraceError, ValueError):
    """An event is older than the one before it."""

    def __init__(self, index: int, at: int, previous: int) -> None:
        """`index` counts events from 0; `at` and `previous` are ns."""
        super().__init__(f"event {index} is of {at} ns, after one of {previous} ns")
        self.index = index
        self.at = at
        self.previous = previous


class UnknownEventError(TraceError, TypeError):
    """Something in the trace is no event that the rules know."""

    def __init__(self, index: int, kind: type) -> None:
        """`index` counts events from 0."""
        super().__init__(f"event {index} is a {kind.__name__}")


def as_seconds(time: int) -> str:
    """A time in ns as the sentences give it."""
    return f"{time / SECOND:.3f} s"
