"""The rule `double_effect`: requests whose effect must happen once."""

from granitespool.scale.checker.violation import Handlers, Violation
from granitespool.scale.trace import RequestExecuted


class EffectRule:
    """Checks that no request whose effect must happen once is executed twice."""

    def __init__(self, violations: list[Violation]) -> None:
        """Create the rule; violations are appended to `violations`."""
        self.violations = violations
        self.executed: dict[int, str] = {}  # request -> the backend that executed it first
        self.handlers: Handlers = {RequestExecuted: self.request_executed}

    def request_executed(self, event: RequestExecuted) -> None:
        """Check an attempt that a backend has executed."""
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
