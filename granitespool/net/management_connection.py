"""The record of one management connection: its socket, its TLS and the bytes that wait to be written.

It knows no protocol and no user; the listener's coroutine alone reads from it and closes it."""

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from granitespool.net.loop import Task
from granitespool.net.tls import TlsConnection

if TYPE_CHECKING:
    from granitespool.management.authorization import User
    from granitespool.management.interfaces import ProtocolSession
    from granitespool.net.management_listener import ManagementListener

READ_SIZE = 8 * 1024  # bytes read in one turn: some thirty calls of gRPC, three milliseconds
WRITE_SIZE = 64 * 1024  # bytes written in one call
UNSENT_READ_LIMIT = 256 * 1024  # bytes unsent past which nothing is read from or worked on for a connection
UNSENT_MAX = 4 << 20  # bytes that may wait at all: the largest answer in the making, and notifications


class ManagementConnection:
    """One accepted connection; `protocol` is None until the handshake is done."""

    def __init__(self, listener: "ManagementListener", sock: socket.socket, peer: str) -> None:
        """`peer` is the other side's "host:port"."""
        self.listener = listener
        self.sock = sock
        self.peer = peer
        self.tls = TlsConnection(listener.context)
        self.unsent_bytes = bytearray()
        self.user: User | None = None
        self.protocol: ProtocolSession | None = None
        self.task: Task | None = None
        self.end_reason: str | None = None  # why it is about to end
        self.accepted_at = listener.loop.now  # ns
        self.last_received_at = listener.loop.now  # ns

    @property
    def unsent(self) -> int:
        """Bytes that wait to be written."""
        return len(self.unsent_bytes)

    @property
    def is_readable(self) -> bool:
        """Whether its other side reads enough for more to be read from it and worked on for it."""
        return self.unsent < UNSENT_READ_LIMIT

    @property
    def is_busy(self) -> bool:
        """Whether its protocol has work that may be done now."""
        return self.protocol is not None and self.is_readable and self.protocol.has_work

    def now(self) -> int:
        """The turn's time, ns."""
        return self.listener.loop.now

    def send(self, data: bytes) -> None:
        """Takes plain bytes, which are written as the other side takes them."""
        self.tls.write(data)
        self.unsent_bytes += self.tls.outgoing()
        if self.unsent > UNSENT_MAX:
            self.end("it does not read")

    def end(self, reason: str) -> None:
        """Ends the connection once what waits is written, as far as it can be at once."""
        self.end_reason = self.end_reason or reason

    def wake(self) -> None:
        """Has the listener look at the connection again in the next turn."""
        self.listener.woken[self] = None

    def receive(self) -> tuple[bytes, bool] | None:
        """Plain bytes and whether the other side has ended; None where nothing is there.

        Raises TlsError or OSError."""
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return None
        self.last_received_at = self.now()
        plain = self.tls.feed(data)
        self.unsent_bytes += self.tls.outgoing()
        return plain, not data or self.tls.has_ended

    def flush(self) -> None:
        """Writes what the other side takes at once; raises OSError where the connection is broken."""
        while self.unsent_bytes:
            try:
                sent = self.sock.send(self.unsent_bytes[:WRITE_SIZE])
            except BlockingIOError:
                return
            del self.unsent_bytes[:sent]

    def flush_last(self) -> None:
        """Writes what TLS has to say at the end, as far as it is taken."""
        self.unsent_bytes += self.tls.outgoing()
        with suppress(OSError):  # it is closed all the same
            self.flush()
