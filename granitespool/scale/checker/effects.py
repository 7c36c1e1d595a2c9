"""The rule on effects that must happen once: `double_effect`."""

from granitespool.scale.checker.violation import Handlers, Violation
from granitespool.scale.trace import RequestExecuted


class EffectRule:
    """Remembers which backend carried out each request first."""

    def __init__(self, violations: list[Violation]) -> None:
        """What is found is added to `violations`."""
        self.violations = violations
        self.executed: dict[int, str] = {}  # request -> the backend that carried it out first
        self.handlers: Handlers = {RequestExecuted: self.request_executed}

    def request_executed(self, event: RequestExecuted) -> None:
        """A backend has carried out an attempt."""
        if event.effect != "single_shot":
            return
        if event.request not in self.executed:
            self.executed[event.request] = event.backend
            return
        text = (
            f"Request {event.request} was carried out by {event.backend} after"
            f" {self.executed[event.request]} had done so, and its effect must happen once."
        )
        subject = f"request {event.request}"
        self.violations.append(Violation(rule="double_effect", at=event.at, subject=subject, text=text))
