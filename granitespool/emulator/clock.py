"""Virtual clock and its queue of scheduled calls; time does not advance while a call runs."""

import heapq
from collections.abc import Callable
from typing import Any

EPOCH = 10**18  # virtual time (ns) at which an emulation starts

# (time in ns, sequence number, function, arguments)
_ScheduledCall = tuple[int, int, Callable[..., None], tuple[Any, ...]]


class VirtualClock:
    """Virtual clock that runs scheduled calls in the order of their times.

    Calls for the same time run in the order in which they were scheduled.
    """

    def __init__(self, now: int = EPOCH) -> None:
        self.now = now  # ns
        self.scheduled_count = 0  # number of calls scheduled so far; orders calls for the same time
        self._queue: list[_ScheduledCall] = []

    def call_at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401
        """Schedule a call for a time (ns). If the time has passed, the call runs as soon as possible."""
        self.scheduled_count += 1
        heapq.heappush(self._queue, (when, self.scheduled_count, call, arguments))

    def run_until(self, until: int) -> None:
        """Run all calls scheduled up to and including `until` (ns), and advance the clock to it."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self.now = until

    def pending_times(self) -> list[int]:
        """Return the times (ns) of the pending calls, in no particular order."""
        return [when for when, *_ in self._queue]
