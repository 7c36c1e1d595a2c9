"""Virtual time: a clock that stands still while a call runs, and the calls that are due."""

import heapq
from collections.abc import Callable
from typing import Any

EPOCH = 10**18  # ns: virtual time begins here

_ScheduledCall = tuple[int, int, Callable[..., None], tuple[Any, ...]]


class VirtualClock:
    """Runs calls in order of their times; calls of one time run in the order in which they were scheduled."""

    def __init__(self, now: int = EPOCH) -> None:
        self.now = now  # ns
        self.scheduled_count = 0  # calls so far
        self._queue: list[_ScheduledCall] = []

    def call_at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401
        """Schedules a call for a time (ns); a time that has passed means as soon as possible."""
        self.scheduled_count += 1
        heapq.heappush(self._queue, (when, self.scheduled_count, call, arguments))

    def run_until(self, until: int) -> None:
        """Runs everything that is due up to a time (ns), which is the time from then on."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self.now = until

    def pending_times(self) -> list[int]:
        """The times (ns) of the calls that are scheduled, in no order."""
        return [when for when, *_ in self._queue]
