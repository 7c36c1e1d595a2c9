"""The loop by itself: its close while another thread calls it, and fair shares of its time."""

import os
import socket
import threading

import pytest

from granitespool.net.loop import IN, TURN_TIME_MAX, Loop
from granitespool.units import MILLISECOND, SECOND


def test_stop_from_another_thread_does_not_fail_if_the_loop_closes_before_its_wake():
    loop, closed = Loop(print), threading.Event()

    class DelayedWakeLoop(Loop):
        """A loop whose `wake` runs only after the loop has stopped and has been closed."""

        def wake(self):
            closed.wait(5)
            super().wake()

    loop.__class__ = DelayedWakeLoop

    def run():
        loop.run(lambda now: now + 1_000_000)
        loop.close()
        closed.set()

    thread = threading.Thread(target=run)
    thread.start()
    loop.stop()
    thread.join(5)
    assert closed.is_set()
    assert loop.wake_fd is None


def test_wake_after_close_does_not_write_to_a_reused_descriptor():
    loop = Loop(print)
    wake_fd = loop.wake_fd
    loop.close()
    read, write = os.pipe()
    try:
        os.set_blocking(read, False)
        duplicates = [
            os.dup(write) for _ in range(64)
        ]  # one of the duplicates reuses the closed descriptor's number
        assert wake_fd in (read, write, *duplicates)
        loop.wake()
        loop.close()
        assert all(os.fstat(fd) for fd in duplicates)
        try:
            assert os.read(read, 100) == b""
        except BlockingIOError:
            pass  # nothing was written
    finally:
        for fd in (read, write, *duplicates):
            os.close(fd)


class WorkClock:
    """A clock that stands still except for the work that coroutines pretend to do."""

    def __init__(self):
        self.now = SECOND

    def __call__(self):
        return self.now


class Peer:
    """A coroutine that reads a byte and works for `duration` (ns) whenever its descriptor is readable."""

    def __init__(self, loop, clock, duration, deadline=None):
        self.clock, self.duration, self.deadline = clock, duration, deadline
        self.sock, self.other_end = socket.socketpair()
        self.resumed = []  # (time, events)
        self.task = loop.spawn(self._run())

    def send(self, count=1):
        self.other_end.sendall(b"x" * count)

    def close(self):
        self.other_end.close()

    def _run(self):
        with self.sock:
            while True:
                events = yield self.sock.fileno(), IN, self.deadline
                self.resumed.append((self.clock.now, events))
                self.deadline = None
                if events:
                    self.sock.recv(1)
                self.clock.now += self.duration


@pytest.fixture
def peers():
    """Return a function that creates peers of one loop, and close all of them at the end."""
    clock, created = WorkClock(), []
    loop = Loop(print, clock)

    def create(duration, deadline=None):
        created.append(Peer(loop, clock, duration, deadline))
        return created[-1]

    create.loop, create.clock = loop, clock
    yield create
    for peer in created:
        peer.close()
    loop.close()


# Guards against peers that wait until the input of all others was handled, however much that is
def test_a_peer_that_sends_little_is_served_within_a_turn_or_two_while_many_send_without_a_pause(peers):
    busy = [peers(10 * MILLISECOND) for _ in range(100)]
    quiet = peers(MILLISECOND // 100)
    for peer in busy:
        peer.send(50)
    quiet.send()
    while not quiet.resumed:  # at first nothing is known of any peer: it is served within one round
        peers.loop.turn(lambda now: None, 0)
    assert quiet.resumed[0][0] - SECOND <= 100 * 10 * MILLISECOND + TURN_TIME_MAX
    for _ in range(20):
        quiet.send()
        sent_at, served = peers.clock.now, len(quiet.resumed)
        while len(quiet.resumed) == served:
            peers.loop.turn(lambda now: None, 0)
        assert quiet.resumed[-1][0] - sent_at <= 2 * (TURN_TIME_MAX + 10 * MILLISECOND)
        peers.loop.turn(lambda now: None, 0)
    shares = [len(peer.resumed) for peer in busy]
    assert max(shares) - min(shares) <= 2


# Guards against peers that are kept waiting by others which connect again and again
def test_peers_without_a_record_do_not_keep_an_earlier_one_waiting(peers):
    early = peers(10 * MILLISECOND)
    early.send(100)
    for _ in range(60):
        for _ in range(2):  # as many as a turn resumes
            peers(10 * MILLISECOND).send()
        peers.loop.turn(lambda now: None, 0)
    assert len(early.resumed) >= 5


# Guards against a time limit that ends a peer whose message has arrived and was not read yet
def test_a_deferred_peer_whose_deadline_passes_is_resumed_with_its_events(peers):
    busy = [peers(10 * MILLISECOND) for _ in range(8)]
    late = peers(0, deadline=peers.clock.now + 15 * MILLISECOND)
    for peer in [*busy, late]:
        peer.send(5)
    peers.loop.turn(lambda now: None, 0)
    assert [events for _, events in late.resumed] == []
    peers.loop.turn(lambda now: None, 0)
    assert late.resumed[0][1] & IN


def test_a_ready_peer_that_another_one_ends_in_the_same_turn_is_not_resumed(peers):
    first, second = peers(0), peers(0)

    def end_second():
        with first.sock:
            yield first.sock.fileno(), IN, None
            peers.loop.end(second.task)
            yield None, 0, None

    peers.loop.end(first.task)
    first.sock, first.other_end = socket.socketpair()
    first.task = peers.loop.spawn(end_second())
    first.send()
    second.send()
    peers.loop.turn(lambda now: None, 0)
    peers.loop.turn(lambda now: None, 0)
    assert second.task not in peers.loop.tasks
    assert second.resumed == []


# Guards against events of one descriptor that are taken for those of another
def test_a_deferred_peer_that_waits_for_something_else_meanwhile_is_not_resumed_with_the_former_events(peers):
    resumed = []

    def wait_for_another():
        with first.sock, other.sock:
            resumed.append((yield first.sock.fileno(), IN, None))
            resumed.append((yield other.sock.fileno(), IN, peers.loop.now))
            resumed.append((yield None, 0, None))

    first, other = peers(0), peers(0)
    for peer in (first, other):
        peers.loop.end(peer.task)
        peer.sock, peer.other_end = socket.socketpair()
    busy = peers(TURN_TIME_MAX)
    moving = peers.loop.spawn(wait_for_another())
    busy.send()
    first.send()
    peers.loop.turn(lambda now: None, 0)
    assert moving in peers.loop.deferred
    peers.loop.resume(moving)
    peers.loop._run_timers()
    assert resumed == [0, 0]
