"""The event loop: select.epoll, generator-based coroutines and timers.

A coroutine yields `(fd, events, deadline)` to wait. The deadline is a time of the loop's clock in ns, or None
for no deadline. If `fd` is None, the coroutine waits only for the deadline. The loop resumes the coroutine
with the events that occurred, or with 0 if the deadline has passed. Another coroutine may also resume it with
0. One turn resumes the coroutines that are ready, with the same `now`, and then calls `end_of_turn`.

A turn is bounded. After `TURN_TIME_MAX` it leaves the other ready coroutines to the next turns, in which
those are first that have used little time (`fair_share`). A coroutine that has more to do than
`RESUME_TIME_MAX` allows waits in between (`is_share_used`).

A coroutine owns its descriptor and closes the descriptor in its own `finally`. Before the coroutine opens
another descriptor, it waits once with `fd` None.

The loop owns the epoll object, the descriptor that ends the wait for events, the timers and the coroutines.
The loop never reads or writes a coroutine's descriptor.
"""

import heapq
import os
import select
import threading
import time
from collections.abc import Callable, Generator
from contextlib import suppress
from dataclasses import dataclass

from granitespool.net.fair_share import FairShare
from granitespool.units import MILLISECOND, SECOND

__all__ = ["IN", "OUT", "SECOND", "Coroutine", "Loop", "Task", "Wait"]

IN = select.EPOLLIN
OUT = select.EPOLLOUT
# Events that one poll may return in addition to one event for each watched descriptor. The number of watched
# descriptors is not limited.
SPARE_EVENTS = 64
# ns of one turn in which ready coroutines are resumed
TURN_TIME_MAX = 20 * MILLISECOND
RESUME_TIME_MAX = MILLISECOND  # ns that a coroutine should take from one wait to the next
IDLE_WAIT_MAX = 60 * SECOND  # ns, the longest wait; it only limits the argument of the system call

Wait = tuple[int | None, int, int | None]  # descriptor, events, deadline in ns
Coroutine = Generator[Wait, int, None]
Ready = dict["Task", tuple[int, int]]  # task -> descriptor and its events
# Called with the time of the turn; returns the latest time of the next turn or None. Both times are in ns.
EndOfTurn = Callable[[int], int | None]


@dataclass(eq=False, slots=True)
class Task:
    """A coroutine of the loop and its current wait."""

    coroutine: Coroutine
    fd: int | None = None
    events: int = 0
    deadline: int | None = None  # ns
    timer_number: int = (
        0  # number of the task's valid timer; the task's timers with other numbers are ignored
    )


class Loop:
    """Runs coroutines in one thread; only `wake` and `stop` may be called from another thread."""

    def __init__(
        self, report_failure: Callable[[Exception], None], clock: Callable[[], int] | None = None
    ) -> None:
        """Create a loop; `report_failure` is called with each exception that a coroutine did not catch.

        `clock` returns the time in ns. The default clock returns Unix time and never goes backward.
        """
        self.report_failure = report_failure
        self.epoll = select.epoll()
        self.watching: dict[int, Task] = {}  # the waiting task by its descriptor
        self.timers: list[tuple[int, int, Task]] = []  # a heap of (deadline in ns, timer number, task)
        self.timer_count = 0
        self.deferred: Ready = {}  # ready tasks that the last turn did not resume
        self.fair_share: FairShare[Task] = FairShare()
        self.resumed_at = 0  # ns, when the running coroutine was resumed
        self.tasks: set[Task] = set()
        self.is_stopped = False
        self.clock = clock or _unix_clock()
        self.now = self.clock()  # ns, the time of the current turn
        self.next_due: int | None = None  # ns, the result of the last `end_of_turn`
        self.wake_lock = threading.RLock()
        self.wake_fd: int | None = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.epoll.register(self.wake_fd, IN)

    def spawn(self, coroutine: Coroutine) -> Task:
        """Run a coroutine to its first wait; from then on, its end runs its `finally`."""
        task = Task(coroutine)
        self.tasks.add(task)
        self._advance(task, None)
        return task

    def resume(self, task: Task) -> None:
        """Resume a waiting coroutine at once with 0; a coroutine must not resume itself."""
        self._advance(task, 0)

    def wake(self) -> None:
        """End the wait for events, so that a turn follows; may be called from a signal handler."""
        # Another thread may call this just after the loop was closed, when the number of the closed
        # descriptor may already be reused. The lock prevents a write to the reused descriptor. The lock is
        # reentrant because a signal handler may interrupt the code that holds the lock.
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
        """Run one turn: wait at most `wait` ns for events, resume the ready coroutines, end the turn."""
        self._resume_ready(self._poll(wait))
        self._run_timers()
        self.next_due = end_of_turn(self.now)

    @property
    def is_share_used(self) -> bool:
        """Whether the running coroutine should wait before it does more work."""
        return self.clock() - self.resumed_at >= RESUME_TIME_MAX

    def end(self, task: Task) -> None:
        """End a coroutine; the coroutine releases its resources in its own `finally`."""
        self._remove(task)
        try:
            task.coroutine.close()
        except Exception as error:  # a failing `finally` must not stop the caller or the end of other tasks
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

    def _resume_ready(self, ready: Ready) -> None:
        """Resume ready tasks until `TURN_TIME_MAX` is used up, and defer the others."""
        is_overloaded = bool(self.deferred)
        order = self.fair_share.order(ready, self.deferred) if is_overloaded else list(ready)
        self.deferred = ready
        turn_ends_at = self.clock() + TURN_TIME_MAX
        for task in order:
            events = self._take_deferred(task)
            if not events:
                continue  # another coroutine has ended it or made it wait for something else
            began_at = self.clock()
            self._advance(task, events)
            if is_overloaded and task in self.tasks:
                self.fair_share.record(task, self.clock() - began_at)
            if self.clock() >= turn_ends_at:
                break
        if not self.deferred:
            self.fair_share.clear()

    def _take_deferred(self, task: Task) -> int:
        """Remove a task from the deferred ones; return its events, 0 if it does not wait for them."""
        fd, events = self.deferred.pop(task, (-1, 0))
        return events if self.watching.get(fd) is task else 0

    def _poll(self, wait: int) -> Ready:
        """Wait for events, set `now`, and return the descriptor and the events of each ready task.

        All tasks are looked up before any coroutine runs. A coroutine may close a descriptor, and another
        coroutine may then open a descriptor with the same number.
        """
        limit = len(self.watching) + SPARE_EVENTS
        found = self.epoll.poll(max(0, min(wait, IDLE_WAIT_MAX)) / SECOND, limit)
        # Two turns never have the same time, because every turn is a separate message
        self.now = max(self.clock(), self.now + 1)
        if not found or self._is_timer_due():
            # The process may have been suspended after the wait and before the clock was read. A deadline can
            # then have passed although the awaited event occurred before the deadline. The second poll
            # returns all events up to now, and the events are handled before the timers. The second poll
            # costs a system call if a timer is due.
            found = self.epoll.poll(0, limit)
        ready: Ready = {}
        for fd, events in found:
            if fd in self.watching:
                ready[self.watching[fd]] = fd, events
            elif fd == self.wake_fd:
                os.eventfd_read(self.wake_fd)
        return ready

    def _is_timer_due(self) -> bool:
        return bool(self.timers) and self.timers[0][0] <= self.now

    def _run_timers(self) -> None:
        while self._is_timer_due():
            _, number, task = heapq.heappop(self.timers)
            if task.timer_number == number:
                task.deadline = None
                # The events of a deferred task have occurred before its deadline
                self._advance(task, self._take_deferred(task))

    def _advance(self, task: Task, events: int | None) -> None:
        """Run a coroutine to its next wait; `events` is None at its start."""
        if task not in self.tasks:
            return
        self.resumed_at = self.clock()
        try:
            if events is None:
                fd, awaited_events, deadline = next(task.coroutine)
            else:
                fd, awaited_events, deadline = task.coroutine.send(events)
            self._watch(task, fd, awaited_events)
        except StopIteration:
            self._remove(task)
        except Exception as error:  # any type of exception ends only this coroutine
            self.end(task)
            self.report_failure(error)
        else:
            self._set_timer(task, deadline)

    def _set_timer(self, task: Task, deadline: int | None) -> None:
        if deadline == task.deadline:
            return  # the deadline already has its timer, however often the coroutine was resumed
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
            with suppress(OSError, ValueError):  # the coroutine may already have closed the descriptor
                self.epoll.unregister(task.fd)
        task.fd = None

    def _remove(self, task: Task) -> None:
        self._unwatch(task)
        self.tasks.discard(task)
        self.deferred.pop(task, None)
        self.fair_share.remove(task)


def _unix_clock() -> Callable[[], int]:
    """Return a clock of Unix time that never goes backward; discovery also uses Unix time."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset
