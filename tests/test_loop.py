"""The loop, where no scenario reaches it."""

import os
import threading

from granitespool.net.loop import Loop


def test_an_end_that_another_thread_asks_for_does_not_fail_where_the_loop_sees_it_first():
    loop, seen = Loop(print), threading.Event()

    class Late(Loop):
        """Whose wake comes after the loop has seen that it is to stop, and has closed."""

        def wake(self):
            seen.wait(5)
            super().wake()

    loop.__class__ = Late

    def run():
        loop.run(lambda now: now + 1_000_000)
        loop.close()
        seen.set()

    thread = threading.Thread(target=run)
    thread.start()
    loop.stop()
    thread.join(5)
    assert seen.is_set()
    assert loop.wake_fd is None


def test_a_wake_after_the_end_writes_to_nobody_elses_descriptor():
    loop = Loop(print)
    wake_fd = loop.wake_fd
    loop.close()
    read, write = os.pipe()
    try:
        os.set_blocking(read, False)
        taken = [os.dup(write) for _ in range(64)]  # one of them has the closed descriptor's number now
        assert wake_fd in (read, write, *taken)
        loop.wake()
        loop.close()
        assert all(os.fstat(fd) for fd in taken)
        try:
            assert os.read(read, 100) == b""
        except BlockingIOError:
            pass  # nothing came
    finally:
        for fd in (read, write, *taken):
            os.close(fd)
