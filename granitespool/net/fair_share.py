"""Fair queueing of ready coroutines, while more of them are ready than one turn of the loop can resume.

Each task has a start time in virtual time, which advances by the time used divided by the number of ready
tasks. The task with the earliest expected finish is resumed first (weighted fair queueing, equal weights).
A peer that sends little is therefore served soon, however many others send without a pause, and nobody waits
for more than its share: what becomes ready later also starts later. This module does no I/O.
"""

from collections.abc import Collection, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

TaskType = TypeVar("TaskType", bound=Hashable)


@dataclass(slots=True)
class _Share:
    start: float  # ns of virtual time
    expected_duration: int = 0  # ns; the last one, 0 if it is not known


class FairShare(Generic[TaskType]):
    """The shares of the tasks that have been ready since the overload began."""

    def __init__(self) -> None:
        self._shares: dict[TaskType, _Share] = {}
        self._virtual_time = 0.0  # ns
        self._ready_count = 1

    def order(self, ready: Collection[TaskType], waiting: Collection[TaskType]) -> list[TaskType]:
        """Return the ready tasks in the order in which to resume them; ties keep their order.

        `waiting` contains those that were ready before and not resumed: they keep their start.
        """
        self._ready_count = max(1, len(ready))
        for task in ready:
            share = self._shares.setdefault(task, _Share(self._virtual_time))
            if task not in waiting:
                share.start = max(share.start, self._virtual_time)
        return sorted(ready, key=self._expected_finish)

    def record(self, task: TaskType, duration: int) -> None:
        """Record that a task of the last order was resumed and took `duration` (ns)."""
        share = self._shares[task]
        share.start += duration
        share.expected_duration = duration
        self._virtual_time += duration / self._ready_count

    def remove(self, task: TaskType) -> None:
        """Remove the share of a task that has ended."""
        self._shares.pop(task, None)

    def clear(self) -> None:
        """Remove all shares: the overload is over."""
        self._shares.clear()
        self._virtual_time = 0.0

    def _expected_finish(self, task: TaskType) -> float:
        share = self._shares[task]
        return share.start + share.expected_duration
