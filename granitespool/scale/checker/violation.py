"""Violations of the rules, and the errors for traces that cannot be checked."""

from collections.abc import Callable, Mapping
from typing import Any, Literal

import msgspec

from granitespool.errors import GranitespoolError

SECOND = 1_000_000_000  # ns

Rule = Literal["no_backend", "double_effect", "drain", "cold_overload", "channel"]
Handlers = Mapping[type, Callable[[Any], None]]  # event type -> its handler


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """One violation of a rule."""

    rule: Rule
    at: int  # ns of the last allowed instant, or of the event that violated the rule
    subject: str
    text: str  # one sentence with figures


class TraceError(GranitespoolError):
    """The trace cannot be checked."""


class EventOrderError(TraceError, ValueError):
    """An event is older than the one before it."""

    def __init__(self, index: int, at: int, previous: int) -> None:
        """Create the error; `index` counts events from 0, `at` and `previous` are ns."""
        super().__init__(
            f"event {index} has the time {at} ns, which is before {previous} ns of the one before it"
        )
        self.index = index
        self.at = at
        self.previous = previous


class UnknownEventError(TraceError, TypeError):
    """An item of the trace is no event of a known type."""

    def __init__(self, index: int, kind: type) -> None:
        """Create the error; `index` counts events from 0."""
        super().__init__(f"event {index} has the unknown type {kind.__name__}")


def as_seconds(time: int) -> str:
    """Format a time (ns) in seconds, for the text of a violation."""
    return f"{time / SECOND:.3f} s"
