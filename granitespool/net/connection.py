"""An accepted connection: its state, its output and its orderly close.

Owns the socket, the reader and the unsent bytes. Other modules choose the connections to evict (`admission`),
interpret messages (`messages`) and report joins and leaves (`membership`).
"""

import socket
from dataclasses import dataclass
from enum import StrEnum

from granitespool.net.frames import Reader
from granitespool.net.loop import IN, OUT, SECOND, Coroutine, Loop, Task
from granitespool.net.messages import ProxyJoin

DISCARD_SIZE = 16 * 1024  # bytes, the largest read of input that is discarded
# Bytes read from one peer in one turn: twice the number of bytes that may be unread.
READ_PER_TURN = 256 * 1024
# ns for the peer to read the last message: less than half of the 0.7 s that a planned restart allows.
LINGER_TIMEOUT = SECOND // 4

# Reasons for the end of a connection whose peer sent nothing invalid. They are written to the log.
CLOSED_BY_PEER = "closed by peer"
CLOSED_BY_COORDINATOR = "closed by coordinator"  # the connection was evicted, or the process ends
REJECTED = "rejected"  # the reason for the rejection was sent to the peer and logged in its own event
REPLACED = "replaced"  # by a later stream of the same proxy


class Role(StrEnum):
    """The role of a connection's peer; the values appear in the log."""

    PENDING = "unauthenticated"  # the peer has not joined
    PROXY = "proxy"
    COLLECTOR = "collector"


@dataclass(eq=False, slots=True)
class Connection:
    """One accepted connection. Only its own coroutine reads from it and closes it."""

    sock: socket.socket
    peer: str  # the peer's "host:port"
    reader: Reader
    accepted_at: int  # ns
    number: int  # number of connections accepted earlier
    role: Role = Role.PENDING
    task: Task | None = None  # the coroutine that serves the connection
    unsent: bytes = b""
    proxy: int | None = None  # the proxy's number if this is the stream of a proxy
    join: ProxyJoin | None = None  # the proxy's join message
    # ns, when the first barrier after the last received bytes was sent; None if no answer is awaited
    awaiting_since: int | None = None
    is_unreachable: bool = False  # the proxy was silent for too long and was reported as left
    ended_by_coordinator: bool = False
    leave_reported: bool = False
    end_reason: str = CLOSED_BY_PEER  # for the log

    @property
    def running_task(self) -> Task:
        """The coroutine that serves the connection; only valid after the coroutine's first wait."""
        assert self.task is not None
        return self.task

    def write(self, data: bytes) -> None:
        """Send the unsent bytes and then `data` without blocking; bytes not sent stay in `unsent`.

        Raise OSError if the connection is broken.
        """
        unsent = self.unsent + data
        try:
            sent = self.sock.send(unsent) if unsent else 0
        except BlockingIOError:
            sent = 0
        self.unsent = unsent[sent:]

    def linger(self, loop: Loop) -> Coroutine:
        """Send the unsent bytes, shut down writing and wait until the peer closes its side.

        The wait lasts at most `LINGER_TIMEOUT`. Input is read and discarded, because closing a socket with
        unread input resets the connection, and the peer may then lose the last bytes sent. Raise OSError if
        the connection is broken.
        """
        sock, write_is_shut_down, deadline = self.sock, False, loop.now + LINGER_TIMEOUT
        while loop.now < deadline:
            self.write(b"")
            if not self.unsent and not write_is_shut_down:
                sock.shutdown(socket.SHUT_WR)
                write_is_shut_down = True
            peer_has_closed = _discard_input(sock)
            if peer_has_closed and write_is_shut_down:
                return
            mask = (0 if peer_has_closed else IN) | (0 if write_is_shut_down else OUT)
            yield sock.fileno(), mask, deadline

    def close(self) -> None:
        """Close the socket and release the reader's buffers."""
        self.sock.close()
        self.reader.close()


def _discard_input(sock: socket.socket) -> bool:
    """Discard up to `READ_PER_TURN` bytes of input; return whether the peer has closed its side."""
    total = 0
    while total < READ_PER_TURN:
        try:
            discarded = len(sock.recv(DISCARD_SIZE))
        except BlockingIOError:
            return False
        if not discarded:
            return True
        total += discarded
    return False
