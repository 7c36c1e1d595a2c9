"""One connection of a hollow coordinator, with its reader and its unsent data."""

import socket
from collections.abc import Callable

from granitespool.errors import InvalidInputError
from granitespool.net.buffers import BufferPool
from granitespool.net.frames import MESSAGE_MAX, Reader
from granitespool.net.loop import Loop, Task

READ_LIMIT = 256 * 1024  # bytes read from one connection in one turn of the loop


class Connection:
    """An accepted connection; its coroutine owns and closes it."""

    def __init__(self, loop: Loop, sock: socket.socket, pool: BufferPool) -> None:
        self.loop = loop
        self.sock = sock
        self.reader = Reader(pool, MESSAGE_MAX)
        self.unsent = b""
        self.proxy: int | None = None
        self.task: Task | None = None
        self.reading = False  # the coroutine is running, so it must not be resumed

    @property
    def current_task(self) -> Task:
        """The connection's coroutine, once it has been started."""
        assert self.task is not None
        return self.task

    def write(self, data: bytes) -> None:
        """Send as much as possible; the coroutine sends the rest."""
        data = self.unsent + data
        try:
            sent = self.sock.send(data)
        except OSError:  # the coroutine waits until it can send, or finds the connection closed
            sent = 0
        self.unsent = data[sent:]
        if self.unsent and not self.reading:
            self.loop.resume(self.current_task)

    def read(self, handle: Callable[["Connection"], None]) -> bool:
        """Read the received data and call `handle` on it; return False once the peer has closed.

        Raises:
            OSError: The connection was reset.
            InvalidInputError: No buffer is free, or `handle` cannot read a message.

        """
        total = 0
        self.reading = True
        while total < READ_LIMIT:
            view = self.reader.free_space()
            if view is None:
                raise InvalidInputError("no receive buffer is free for the message")
            try:
                size = self.sock.recv_into(view)
            except BlockingIOError:
                break
            if not size:
                return False
            total += size
            self.reader.received(size)
            handle(self)
        if not self.reader.available:
            self.reader.close()
        return True

    def close(self) -> None:
        """Close the socket and return its buffers to the pool."""
        self.sock.close()
        self.reader.close()
