"""The event loop: select.epoll, generator-based coroutines and timers.

A coroutine yields `(fd, events, deadline)`. It is resumed with the events that occurred, or with 0 once the
deadline (ns on the loop's clock, None for no deadline) has passed or another coroutine has resumed it. With
`fd` None it only waits. A coroutine owns its descriptor and closes it in its own `finally`; before it opens
another descriptor it waits once with `fd` None. One turn resumes all coroutines that are ready, with the same
`now`, and then calls `end_of_turn`.

The loop owns the epoll object, the descriptor that wakes it, the timers and the coroutines. It never reads or
writes a coroutine's descriptor.
"""

import heapq
import os
import select
import threading
import time
from collections.abc import Callable, Generator
from contextlib import suppress
from dataclasses import dataclass

from granitespool.units import SECOND

__all__ = ["IN", "OUT", "SECOND", "Coroutine", "Loop", "Task", "Wait"]

IN = select.EPOLLIN
OUT = select.EPOLLOUT
# Events returned by one poll beyond one per watched descriptor, whose number is not limited.
SPARE_EVENTS = 64
IDLE_WAIT_MAX = 60 * SECOND  # ns, the longest wait: it only bounds the argument of the system call

Wait = tuple[int | None, int, int | None]  # descriptor, events, deadline in ns
Coroutine = Generator[Wait, int, None]
EndOfTurn = Callable[[int], int | None]  # time of the turn -> latest time of the next one, in ns


@dataclass(eq=False, slots=True)
class Task:
    """A coroutine of the loop and its current wait."""

    coroutine: Coroutine
    fd: int | None = None
    events: int = 0
    deadline: int | None = None  # ns
    timer_number: int = 0  # of the valid timer; earlier timers are ignored


class Loop:
    """Runs coroutines in one thread; only `wake` and `stop` may be called from another thread."""

    def __init__(
        self, report_failure: Callable[[Exception], None], clock: Callable[[], int] | None = None
    ) -> None:
        """Create a loop; `report_failure` is called with each exception that a coroutine did not catch.

        `clock` returns ns; the default is Unix time that never goes backward.
        """
        self.report_failure = report_failure
        self.epoll = select.epoll()
        self.watching: dict[int, Task] = {}  # by the descriptor that the task waits for
        self.timers: list[tuple[int, int, Task]] = []  # a heap of (deadline in ns, timer number, task)
        self.timer_count = 0
        self.tasks: set[Task] = set()
        self.is_stopped = False
        self.clock = clock or _unix_clock()
        self.now = self.clock()  # ns, the time of this turn
        self.next_due: int | None = None  # ns, as returned by the last `end_of_turn`
        self.wake_lock = threading.RLock()
        self.wake_fd: int | None = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.epoll.register(self.wake_fd, IN)

    def spawn(self, coroutine: Coroutine) -> Task:
        """Run a coroutine to its first wait; from then on its `finally` is run when it ends."""
        task = Task(coroutine)
        self.tasks.add(task)
        self._advance(task, None)
        return task

    def resume(self, task: Task) -> None:
        """Resume a coroutine at once with 0; it must not be the running one."""
        self._advance(task, 0)

    def wake(self) -> None:
        """End the wait for events, so that a turn follows; may be called from a signal handler."""
        # Another thread may wake a loop that has just been closed, whose descriptor number may have been
        # reused. The lock is reentrant because a signal handler may interrupt its holder.
        with self.wake_lock:
            if self.wake_fd is not None:
                os.eventfd_write(self.wake_fd, 1)

    def stop(self) -> None:
        """End `run`; may be called from a signal handler."""
        self.is_stopped = True
        self.wake()

    def run(self, end_of_turn: EndOfTurn) -> None:
        """Run turns until `stop` is called."""
        while not self.is_stopped:
            due = self.now + IDLE_WAIT_MAX if self.next_due is None else self.next_due
            if self.timers:
                due = min(due, self.timers[0][0])
            self.turn(end_of_turn, due - self.clock())

    def turn(self, end_of_turn: EndOfTurn, wait: int) -> None:
        """Run one turn, which waits for events for at most `wait` ns."""
        for task, fd, events in self._poll(wait):
            if task and self.watching.get(fd) is task:
                self._advance(task, events)
            elif fd == self.wake_fd:
                os.eventfd_read(self.wake_fd)
        self._run_timers()
        self.next_due = end_of_turn(self.now)

    def end(self, task: Task) -> None:
        """End a coroutine, which releases its resources in its own `finally`."""
        self._remove(task)
        try:
            task.coroutine.close()
        except Exception as error:  # its failure must not affect the caller or the tasks that are ended next
            self.report_failure(error)

    def close(self) -> None:
        """End all coroutines and close the loop's own descriptors."""
        for task in list(self.tasks):
            self.end(task)
        self.epoll.close()
        with self.wake_lock:
            wake_fd, self.wake_fd = self.wake_fd, None
            if wake_fd is not None:
                os.close(wake_fd)

    def _poll(self, wait: int) -> list[tuple[Task | None, int, int]]:
        """Wait for events, set `now`, and return (task, descriptor, events) for each ready descriptor.

        The tasks are looked up before any coroutine runs, because one coroutine may close a descriptor and
        another one may open a descriptor with the same number.
        """
        limit = len(self.watching) + SPARE_EVENTS
        found = self.epoll.poll(max(0, min(wait, IDLE_WAIT_MAX)) / SECOND, limit)
        self.now = max(self.clock(), self.now + 1)  # no two turns share a time: each is a separate message
        if not found or self._is_timer_due():
            # If the process was suspended between the wait and the reading of the clock, a deadline can have
            # passed although the awaited event occurred before it. A second poll returns all events up to
            # now, and they are handled before the timers. It costs a system call if a timer is due.
            found = self.epoll.poll(0, limit)
        return [(self.watching.get(fd), fd, events) for fd, events in found]

    def _is_timer_due(self) -> bool:
        return bool(self.timers) and self.timers[0][0] <= self.now

    def _run_timers(self) -> None:
        while self._is_timer_due():
            _, number, task = heapq.heappop(self.timers)
            if task.timer_number == number:
                task.deadline = None
                self._advance(task, 0)

    def _advance(self, task: Task, events: int | None) -> None:
        """Run a coroutine to its next wait; `events` is None at its start."""
        if task not in self.tasks:
            return
        try:
            if events is None:
                fd, awaited_events, deadline = next(task.coroutine)
            else:
                fd, awaited_events, deadline = task.coroutine.send(events)
            self._watch(task, fd, awaited_events)
        except StopIteration:
            self._remove(task)
        except Exception as error:  # an exception of any type ends only this coroutine
            self.end(task)
            self.report_failure(error)
        else:
            self._set_timer(task, deadline)

    def _set_timer(self, task: Task, deadline: int | None) -> None:
        if deadline == task.deadline:
            return  # the timer is already set: one per deadline, however often the coroutine is resumed
        self.timer_count += 1
        task.deadline = deadline
        task.timer_number = self.timer_count
        if deadline is not None:
            heapq.heappush(self.timers, (deadline, self.timer_count, task))

    def _watch(self, task: Task, fd: int | None, events: int) -> None:
        is_watching = fd is not None and self.watching.get(fd) is task
        if is_watching and (fd, events) == (task.fd, task.events):
            return
        if fd != task.fd:
            self._unwatch(task)
        task.fd = fd
        task.events = events
        if fd is None:
            return
        if is_watching:
            self.epoll.modify(fd, events)
        else:
            self.epoll.register(fd, events)
        self.watching[fd] = task

    def _unwatch(self, task: Task) -> None:
        if task.fd is not None and self.watching.get(task.fd) is task:
            del self.watching[task.fd]
            with suppress(OSError, ValueError):  # the coroutine may have closed it already
                self.epoll.unregister(task.fd)
        task.fd = None

    def _remove(self, task: Task) -> None:
        self._unwatch(task)
        self.tasks.discard(task)


def _unix_clock() -> Callable[[], int]:
    """Return a clock of Unix time, which discovery uses as well, that never goes backward."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset
