"""Checks a trace against the five rules of the platform, over all coordinators together.

The rules of the protocol, with the limits in `Limits`; a violation is:

    no_backend     a joined proxy can use no backend, though its coordinator's list has a warmed-up one
    double_effect  a request whose effect must happen once is executed twice
    drain          a joined proxy may use a backend that its coordinator's list reports as draining or gone
    cold_overload  a warming-up backend gets more than a multiple of its capacity at its age
    channel        too many queued entries, messages to one proxy, parts of a message, or bytes of a part

The package reads events and does no I/O. It imports nothing of the planner, the coordinator or their channel
accounting, so that a defect there cannot hide itself here. Times are whole nanoseconds.
"""

from granitespool.scale.checker.check import check
from granitespool.scale.checker.violation import (
    EventOrderError,
    Rule,
    TraceError,
    UnknownEventError,
    Violation,
)

__all__ = ["EventOrderError", "Rule", "TraceError", "UnknownEventError", "Violation", "check"]
