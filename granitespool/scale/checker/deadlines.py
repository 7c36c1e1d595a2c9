"""Running time limits; a time limit that expires before it is stopped is a violation."""

import heapq

import msgspec

from granitespool.scale.checker.violation import Rule, Violation

Key = tuple[Rule, str]  # rule and subject


class _Deadline(msgspec.Struct, frozen=True):
    """A running time limit; `violation` is reported if the limit still runs after the time `due`."""

    began: int  # ns
    due: int  # ns of the last allowed instant
    violation: Violation


class Deadlines:
    """The running time limits, at most one for each rule and subject."""

    def __init__(self, violations: list[Violation]) -> None:
        """Create an empty set of time limits; violations are appended to `violations`."""
        self.violations = violations
        self._running: dict[Key, _Deadline] = {}
        self._reported: dict[Key, int] = {}  # ns of the beginning of the last reported time limit
        self._queue: list[tuple[int, int, _Deadline]] = []
        self._sequence = 0

    def start(self, began: int, due: int, violation: Violation) -> None:
        """Start a time limit (ns), in place of a running one with other times.

        A time limit whose violation was reported is not started again with the same beginning.
        """
        key = (violation.rule, violation.subject)
        if self._reported.get(key) == began:
            return
        running = self._running.get(key)
        if running is not None and (running.began, running.due) == (began, due):
            return
        deadline = _Deadline(began, due, violation)
        self._running[key] = deadline
        self._sequence += 1
        heapq.heappush(self._queue, (due, self._sequence, deadline))

    def stop(self, rule: Rule, subject: str) -> None:
        """Stop a time limit, if it runs."""
        self._running.pop((rule, subject), None)

    def advance(self, now: int) -> None:
        """Report each time limit whose last allowed instant is before `now` (ns)."""
        while self._queue and self._queue[0][0] < now:
            deadline = heapq.heappop(self._queue)[2]
            key = (deadline.violation.rule, deadline.violation.subject)
            if self._running.get(key) is deadline:
                del self._running[key]
                self._reported[key] = deadline.began
                self.violations.append(deadline.violation)
