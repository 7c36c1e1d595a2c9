"""One connection of a hollow coordinator: what it reads and what is not sent yet."""

import socket
from collections.abc import Callable

from granitespool.errors import InvalidInputError
from granitespool.net.buffers import BufferPool
from granitespool.net.frames import MESSAGE_MAX, Reader
from granitespool.net.loop import Loop, Task

READ_LIMIT = 256 * 1024  # bytes read from one connection in one turn


class Connection:
    """Owned by its coroutine, which closes it."""

    def __init__(self, loop: Loop, sock: socket.socket, pool: BufferPool) -> None:
        self.loop = loop
        self.sock = sock
        self.reader = Reader(pool, MESSAGE_MAX)
        self.unsent = b""
        self.proxy: int | None = None
        self.task: Task | None = None
        self.reading = False  # its coroutine is running: it must not be resumed

    @property
    def running(self) -> Task:
        """Its coroutine, from the first wait on."""
        assert self.task is not None
        return self.task

    def write(self, data: bytes) -> None:
        """Sends what can be sent; the coroutine sends the rest."""
        data = self.unsent + data
        try:
            sent = self.sock.send(data)
        except OSError:  # its coroutine waits until it can send, or meets the end
            sent = 0
        self.unsent = data[sent:]
        if self.unsent and not self.reading:
            self.loop.resume(self.running)

    def read(self, handle: Callable[["Connection"], None]) -> bool:
        """Reads what is there and has `handle` take the messages; False once the other side has ended.

        Raises OSError, and InvalidInputError where no buffer is free."""
        total = 0
        self.reading = True
        while total < READ_LIMIT:
            view = self.reader.free_space()
            if view is None:
                raise InvalidInputError("no buffer is free for its message")
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
        """Closes the socket and gives its buffer back."""
        self.sock.close()
        self.reader.close()
