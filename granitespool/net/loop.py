"""The event loop: select.epoll, generators as coroutines, timers.

A coroutine yields `(fd, mask, due)` and is resumed with the events met, or 0 once `due` (ns on the loop's
clock, None: never) is past or it was poked; `fd` None only waits. It owns its descriptor, and closes it in
its own `finally`; before it opens another it waits once with `fd` None. One turn resumes all that is ready
with one `now`, then calls the `end_of_turn` it was given."""

import heapq
import os
import select
import threading
import time
from collections.abc import Generator

Waits = Generator[tuple[int | None, int, int | None], int | None, None]  # a coroutine
IN, OUT = select.EPOLLIN, select.EPOLLOUT
SECOND = 1_000_000_000  # ns
EVENTS = 64  # events that room is made for beside one a descriptor: there is no cap on those
IDLE = 60 * SECOND  # ns the loop sleeps at most: a bound for the system call alone


class Task:
    __slots__ = ("run", "fd", "mask", "due", "wait")

    def __init__(self, run):
        self.run, self.fd, self.mask, self.due, self.wait = run, None, 0, None, 0


class Loop:
    def __init__(self, failed, clock=None):
        self.failed = failed  # called with an exception that a coroutine did not catch
        self.epoll = select.epoll()
        self.tasks, self.timers, self.serial = {}, [], 0
        self.all, self.stopped = set(), False
        # One clock comparable with Unix time, as discovery's times are, that never goes backward.
        offset = time.time_ns() - time.monotonic_ns()
        self.clock = clock or (lambda: time.monotonic_ns() + offset)
        self.now, self.next_due = self.clock(), None
        self.ringing = threading.RLock()
        self.bell = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.epoll.register(self.bell, IN)

    def spawn(self, run):
        """Runs a coroutine to its first wait; so its `finally` holds from then on."""
        task = Task(run)
        self.all.add(task)
        self._resume(task, None)
        return task

    def poke(self, task):
        """Resumes a coroutine at once, with 0; not one that is running."""
        self._resume(task, 0)

    def wake(self):
        """Ends the wait for events, so that a turn follows; may be called from a signal handler."""
        # Against a wake of another thread: who asks for the end may find the loop closed already, and its
        # bell's number may be another's descriptor. The lock is one that a signal handler may take again.
        with self.ringing:
            if self.bell is not None:
                os.eventfd_write(self.bell, 1)

    def stop(self):
        """Ends `run`; may be called from a signal handler."""
        self.stopped = True
        self.wake()

    def run(self, end_of_turn):
        while not self.stopped:
            due = self.now + IDLE if self.next_due is None else self.next_due
            if self.timers:
                due = min(due, self.timers[0][0])
            self.turn(end_of_turn, due - self.clock())

    def turn(self, end_of_turn, wait):
        """One turn, which waits for events for so many nanoseconds at most."""
        most = len(self.tasks) + EVENTS
        events = self.epoll.poll(max(0, min(wait, IDLE)) / SECOND, most)
        self.now = max(self.clock(), self.now + 1)  # no two turns share a time: each is a message of its own
        if not events or self.timers and self.timers[0][0] <= self.now:
            # Against a wait that is called over though what it waited for has come: events are older than the
            # clock wherever the process was stopped or late between the two. Looked for after the clock was
            # read, all that came before it is here, and goes first. Harm: a system call more where a timer is
            # due.
            events = self.epoll.poll(0, most)
        # Whom each event is for, before any runs: one that runs may close a descriptor, and another open it.
        for task, fd, mask in [(self.tasks.get(fd), fd, mask) for fd, mask in events]:
            if task and self.tasks.get(fd) is task:
                self._resume(task, mask)
            elif fd == self.bell:
                os.eventfd_read(self.bell)
        while self.timers and self.timers[0][0] <= self.now:
            _, serial, task = heapq.heappop(self.timers)
            if task.wait == serial:
                task.due = None
                self._resume(task, 0)
        self.next_due = end_of_turn(self.now)

    def _resume(self, task, events):
        if task not in self.all:
            return
        try:
            fd, mask, due = task.run.send(events)
            self._watch(task, fd, mask)
        except StopIteration:
            return self._forget(task)
        except Exception as error:
            self.end(task)
            return self.failed(error)
        if due != task.due:  # else its timer stands already: one a wait, however often it is resumed
            self.serial += 1
            task.due, task.wait = due, self.serial
            if due is not None:
                heapq.heappush(self.timers, (due, self.serial, task))

    def _watch(self, task, fd, mask):
        if (fd, mask) == (task.fd, task.mask) and self.tasks.get(fd) is task:
            return
        if fd != task.fd:
            self._unwatch(task)
        task.fd, task.mask = fd, mask
        if fd is None:
            return
        (self.epoll.modify if self.tasks.get(fd) is task else self.epoll.register)(fd, mask)
        self.tasks[fd] = task

    def _unwatch(self, task):
        if task.fd is not None and self.tasks.get(task.fd) is task:
            del self.tasks[task.fd]
            try:
                self.epoll.unregister(task.fd)
            except (OSError, ValueError):
                pass  # its owner closed it already
        task.fd = None

    def _forget(self, task):
        self._unwatch(task)
        self.all.discard(task)

    def end(self, task):
        """Ends a coroutine; what it owns is given back in its own `finally`."""
        self._forget(task)
        try:
            task.run.close()
        except Exception as error:  # its fault is not that of who ends it, nor of those that are ended next
            self.failed(error)

    def close(self):
        for task in list(self.all):
            self.end(task)
        self.epoll.close()
        with self.ringing:
            bell, self.bell = self.bell, None
            if bell is not None:
                os.close(bell)
