"""The loop, where no scenario reaches it."""
import os

from granitespool.net.loop import Loop


def test_a_wake_after_the_end_writes_to_nobody_elses_descriptor():
    loop = Loop(print)
    bell = loop.bell
    loop.close()
    read, write = os.pipe()
    try:
        os.set_blocking(read, False)
        taken = [os.dup(write) for _ in range(64)]   # one of them has the bell's number now
        assert bell in (read, write, *taken)
        loop.wake()
        loop.close()
        assert all(os.fstat(fd) for fd in taken)
        try:
            assert os.read(read, 100) == b""
        except BlockingIOError:
            pass                                     # nothing came
    finally:
        for fd in (read, write, *taken):
            os.close(fd)
