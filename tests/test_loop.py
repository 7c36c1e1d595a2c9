"""Races between the close of the loop and calls from another thread; the service tests do not cover them."""

import os
import threading

from granitespool.net.loop import Loop


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
