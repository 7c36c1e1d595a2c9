"""The record of one accepted connection, and how bytes are written to it and its end is made orderly.

Owns the socket, the reader and the bytes that are not yet sent. It never decides which keeps a place, never
reads what a message means and reports nothing: that is for `admission`, `messages` and `membership`."""

import socket
from dataclasses import dataclass
from enum import StrEnum

from granitespool.net.frames import Reader
from granitespool.net.loop import IN, OUT, SECOND, Coroutine, Loop, Task
from granitespool.net.messages import ProxyJoin

DISCARD_SIZE = 16 * 1024  # bytes read at once of what nobody is to hear any more
READ_PER_TURN = 256 * 1024  # bytes read from one peer in one turn: twice what may stand unread
LINGER_TIMEOUT = (
    SECOND // 4
)  # ns that last words may take to be read: under half of a planned restart's 0.7 s

# Why a connection ended, where nothing was wrong with what it sent
CLOSED_BY_PEER = "closed by peer"  # by the other side
CLOSED_BY_COORDINATOR = "closed by coordinator"  # by us, for room or with the process
REJECTED = "rejected"  # its last word was written, and the log has the reason
REPLACED = "replaced"  # by a later stream of the same proxy


class Role(StrEnum):
    """What a connection is used for; the values are words of the log."""

    PENDING = "unauthenticated"  # it has not said who it is
    PROXY = "proxy"
    COLLECTOR = "collector"


@dataclass(eq=False, slots=True)
class Connection:
    """One accepted connection. Its coroutine alone reads from it and closes it."""

    sock: socket.socket
    peer: str  # the other side's "host:port"
    reader: Reader
    accepted_at: int  # ns
    number: int  # how many were accepted before it
    role: Role = Role.PENDING
    task: Task | None = None  # its coroutine in the loop
    unsent: bytes = b""
    proxy: int | None = None  # the proxy whose stream it is
    join: ProxyJoin | None = None  # what that proxy said of itself
    awaiting_since: int | None = None  # ns of the oldest mark after which nothing came yet
    is_unreachable: bool = False  # its proxy was silent for too long, and counts as left
    ended_by_coordinator: bool = False
    leave_reported: bool = False
    end_reason: str = CLOSED_BY_PEER  # for the log

    @property
    def running(self) -> Task:
        """Its coroutine, from the first wait on."""
        assert self.task is not None
        return self.task

    def write(self, data: bytes) -> None:
        """Sends what waits and then `data`, as far as the system takes it now; the rest waits in `unsent`.

        Raises OSError where the connection is broken."""
        unsent = self.unsent + data
        try:
            sent = self.sock.send(unsent) if unsent else 0
        except BlockingIOError:
            sent = 0
        self.unsent = unsent[sent:]

    def linger(self, loop: Loop) -> Coroutine:
        """Writes what waits, ends our side and waits for the other side's end, for `LINGER_TIMEOUT` at most.

        What still comes is dropped: a close over bytes that were not read resets, and takes with it what was
        sent. Raises OSError where the connection is broken."""
        sock, our_side_ended, until = self.sock, False, loop.now + LINGER_TIMEOUT
        while loop.now < until:
            self.write(b"")
            if not self.unsent and not our_side_ended:
                sock.shutdown(socket.SHUT_WR)
                our_side_ended = True
            their_side_ended = _discard(sock)
            if their_side_ended and our_side_ended:
                return
            mask = (0 if their_side_ended else IN) | (0 if our_side_ended else OUT)
            yield sock.fileno(), mask, until

    def close(self) -> None:
        """Gives back the socket and the reader's buffers."""
        self.sock.close()
        self.reader.close()


def _discard(sock: socket.socket) -> bool:
    """Drops what one turn may read; whether the other side has ended its own."""
    total = 0
    while total < READ_PER_TURN:
        try:
            dropped = len(sock.recv(DISCARD_SIZE))
        except BlockingIOError:
            return False
        if not dropped:
            return True
        total += dropped
    return False
