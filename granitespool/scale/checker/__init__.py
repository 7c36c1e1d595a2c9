"""Judges a trace by the platform's five rules, over all coordinators together.

The rules, by the protocol page's words and figures (`Limits`):

    no_backend     a joined proxy has no backend to pick, though its coordinator's list shows a warm one
    double_effect  a request whose effect must happen once is carried out twice
    drain          a joined proxy holds a backend open that its coordinator knows is draining or gone
    cold_overload  a backend that warms up gets more than a multiple of what it can do at its age
    channel        entries that wait, messages to one proxy, parts of a message and bytes of a part

The package reads events and does no I/O. It imports nothing of the planner, the coordinator or the channel's
account, so that a fault there cannot hide itself here. Times are whole nanoseconds."""

from granitespool.scale.checker.check import check
from granitespool.scale.checker.violation import (
    EventOrderError,
    Rule,
    TraceError,
    UnknownEventError,
    Violation,
)

__all__ = ["EventOrderError", "Rule", "TraceError", "UnknownEventError", "Violation", "check"]
