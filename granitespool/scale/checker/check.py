"""Applies all rules to one trace."""

from collections.abc import Callable, Iterable
from typing import Any

from granitespool.scale.checker.channel import ChannelRule
from granitespool.scale.checker.cold_backends import ColdBackendRule
from granitespool.scale.checker.deadlines import Deadlines
from granitespool.scale.checker.effects import EffectRule
from granitespool.scale.checker.tables import TableRules
from granitespool.scale.checker.violation import EventOrderError, UnknownEventError, Violation
from granitespool.scale.trace import AnyEvent, Limits


def check(events: Iterable[AnyEvent], limits: Limits) -> list[Violation]:
    """Return all violations in order of time.

    A time limit that is still running at the last event is checked at the time of that event. Raises
    EventOrderError and UnknownEventError.
    """
    checker = _Checker(limits)
    for index, event in enumerate(events):
        checker.observe(index, event)
    return checker.violations_in_order()


class _Checker:
    """Applies all rules to one trace, event by event."""

    def __init__(self, limits: Limits) -> None:
        self.violations: list[Violation] = []
        self.deadlines = Deadlines(self.violations)
        self.now: int | None = None  # ns of the last event
        self.handlers: dict[type, list[Callable[[Any], None]]] = {}
        rules = (
            TableRules(limits, self.deadlines),
            ColdBackendRule(limits, self.deadlines),
            EffectRule(self.violations),
            ChannelRule(limits, self.violations),
        )
        for rule in rules:
            for kind, handler in rule.handlers.items():
                self.handlers.setdefault(kind, []).append(handler)

    def observe(self, index: int, event: AnyEvent) -> None:
        """Advance the time to that of the event and handle it; raise EventOrderError, UnknownEventError."""
        handlers = self.handlers.get(type(event))
        if handlers is None:
            raise UnknownEventError(index, type(event))
        if self.now is not None and event.at < self.now:
            raise EventOrderError(index, event.at, self.now)
        self.now = event.at
        self.deadlines.advance(event.at)
        for handle in handlers:
            handle(event)

    def violations_in_order(self) -> list[Violation]:
        """Return all violations in order of time, up to the last event."""
        if self.now is not None:
            self.deadlines.advance(self.now)
        return sorted(self.violations, key=lambda violation: violation.at)
