"""The event loop: select.epoll, generators as coroutines, timers.

A coroutine yields `(fd, events, deadline)` and is resumed with the events that occurred, or with 0 once the
deadline (ns on the loop's clock, None: never) is past or another has resumed it; with `fd` None it only
waits. It owns its descriptor and closes it in its own `finally`; before it opens another it waits once with
`fd` None. One turn resumes all that is ready with one `now`, then calls the `end_of_turn` it was given.

The loop owns the epoll object, the descriptor that wakes it, the timers and the coroutines. It never reads or
writes a coroutine's descriptor."""

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
SPARE_EVENTS = 64  # events there is room for beside one a descriptor: there is no cap on those
IDLE_WAIT_MAX = 60 * SECOND  # ns that the loop waits at most: a bound for the system call alone

Wait = tuple[int | None, int, int | None]  # descriptor, events, deadline in ns
Coroutine = Generator[Wait, int, None]  # a coroutine
EndOfTurn = Callable[[int], int | None]  # the turn's time in ns -> when the next turn is due at the latest


@dataclass(eq=False, slots=True)
class Task:
    """A coroutine in the loop, and what it waits for."""

    coroutine: Coroutine
    fd: int | None = None
    events: int = 0
    deadline: int | None = None  # ns
    timer_number: int = 0  # of its latest timer; those before it are void


class Loop:
    """Runs coroutines in one thread; only `wake` and `stop` may be called from another one."""

    def __init__(
        self, report_failure: Callable[[Exception], None], clock: Callable[[], int] | None = None
    ) -> None:
        """`report_failure` is called with an exception that a coroutine did not catch.

        `clock` gives ns; by default Unix time that never goes backward."""
        self.report_failure = report_failure
        self.epoll = select.epoll()
        self.watching: dict[int, Task] = {}  # descriptor -> who waits for it
        self.timers: list[tuple[int, int, Task]] = []  # a heap: deadline in ns, number, whose it is
        self.timer_count = 0
        self.tasks: set[Task] = set()
        self.is_stopped = False
        self.clock = clock or _unix_clock()
        self.now = self.clock()  # ns, of this turn
        self.next_due: int | None = None  # ns, as the last `end_of_turn` told
        self.wake_lock = threading.RLock()
        self.wake_fd: int | None = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.epoll.register(self.wake_fd, IN)

    def spawn(self, coroutine: Coroutine) -> Task:
        """Runs a coroutine to its first wait, so that its `finally` holds from then on."""
        task = Task(coroutine)
        self.tasks.add(task)
        self._continue(task, None)
        return task

    def resume(self, task: Task) -> None:
        """Resumes a coroutine at once, with 0; not one that is running."""
        self._continue(task, 0)

    def wake(self) -> None:
        """Ends the wait for events, so that a turn follows; may be called from a signal handler."""
        # Another thread may wake a loop that has just been closed, when the number of the closed descriptor
        # may already be another's. The lock is one that a signal handler may take again.
        with self.wake_lock:
            if self.wake_fd is not None:
                os.eventfd_write(self.wake_fd, 1)

    def stop(self) -> None:
        """Ends `run`; may be called from a signal handler."""
        self.is_stopped = True
        self.wake()

    def run(self, end_of_turn: EndOfTurn) -> None:
        """Turns until `stop` is called."""
        while not self.is_stopped:
            due = self.now + IDLE_WAIT_MAX if self.next_due is None else self.next_due
            if self.timers:
                due = min(due, self.timers[0][0])
            self.turn(end_of_turn, due - self.clock())

    def turn(self, end_of_turn: EndOfTurn, wait: int) -> None:
        """One turn, which waits for events for so many nanoseconds at most."""
        for task, fd, events in self._occurred(wait):
            if task and self.watching.get(fd) is task:
                self._continue(task, events)
            elif fd == self.wake_fd:
                os.eventfd_read(self.wake_fd)
        self._run_timers()
        self.next_due = end_of_turn(self.now)

    def end(self, task: Task) -> None:
        """Ends a coroutine; what it owns is given back in its own `finally`."""
        self._forget(task)
        try:
            task.coroutine.close()
        except Exception as error:  # its failure must not reach who ends it, nor those that are ended next
            self.report_failure(error)

    def close(self) -> None:
        """Ends all coroutines and gives back the loop's own descriptors."""
        for task in list(self.tasks):
            self.end(task)
        self.epoll.close()
        with self.wake_lock:
            wake_fd, self.wake_fd = self.wake_fd, None
            if wake_fd is not None:
                os.close(wake_fd)

    def _occurred(self, wait: int) -> list[tuple[Task | None, int, int]]:
        """Waits for events, sets `now`, and returns whom each event is for.

        That is looked up before any coroutine runs: one may close a descriptor and another open it again."""
        limit = len(self.watching) + SPARE_EVENTS
        found = self.epoll.poll(max(0, min(wait, IDLE_WAIT_MAX)) / SECOND, limit)
        self.now = max(self.clock(), self.now + 1)  # no two turns share a time: each is a message of its own
        if not found or self._is_timer_due():
            # Where the process was stopped between the wait and the clock's reading, a deadline can be past
            # although what was waited for came before it. A second look finds all that came by now, and it
            # goes before the timers. It costs a system call where a timer is due.
            found = self.epoll.poll(0, limit)
        return [(self.watching.get(fd), fd, events) for fd, events in found]

    def _is_timer_due(self) -> bool:
        return bool(self.timers) and self.timers[0][0] <= self.now

    def _run_timers(self) -> None:
        while self._is_timer_due():
            _, number, task = heapq.heappop(self.timers)
            if task.timer_number == number:
                task.deadline = None
                self._continue(task, 0)

    def _continue(self, task: Task, events: int | None) -> None:
        """Runs a coroutine to its next wait; `events` None at its start."""
        if task not in self.tasks:
            return
        try:
            if events is None:
                fd, events_wanted, deadline = next(task.coroutine)
            else:
                fd, events_wanted, deadline = task.coroutine.send(events)
            self._watch(task, fd, events_wanted)
        except StopIteration:
            self._forget(task)
        except Exception as error:  # whatever it is, it ends this coroutine alone
            self.end(task)
            self.report_failure(error)
        else:
            self._set_timer(task, deadline)

    def _set_timer(self, task: Task, deadline: int | None) -> None:
        if deadline == task.deadline:
            return  # its timer stands already: one a wait, however often it is resumed
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
            with suppress(OSError, ValueError):  # its owner may have closed it already
                self.epoll.unregister(task.fd)
        task.fd = None

    def _forget(self, task: Task) -> None:
        self._unwatch(task)
        self.tasks.discard(task)


def _unix_clock() -> Callable[[], int]:
    """A clock that is comparable with Unix time, as discovery's times are, and never goes backward."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset
