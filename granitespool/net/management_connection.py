"""A management connection: the socket, the TLS state and the bytes that wait to be written.

This module does not depend on the protocol or on users. Only the coroutine that the listener started for the
connection reads from it and closes it.
"""

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from granitespool.net.loop import Task
from granitespool.net.tls import TlsConnection

if TYPE_CHECKING:
    from granitespool.management.authorization import User
    from granitespool.management.interfaces import ProtocolSession
    from granitespool.net.management_listener import ManagementListener

# Bytes read in one turn. They contain about thirty gRPC calls, which take 3 ms.
READ_SIZE = 8 * 1024
WRITE_SIZE = 64 * 1024  # bytes written in one system call
# Bytes. With at least as many unsent bytes, no input is read and no request is processed.
UNSENT_READ_LIMIT = 256 * 1024
# Bytes. With more unsent bytes the connection is closed. The largest answer and notifications fit in.
UNSENT_MAX = 4 << 20


class ManagementConnection:
    """One accepted connection; `protocol` is None until the TLS handshake is complete."""

    def __init__(self, listener: "ManagementListener", sock: socket.socket, peer: str) -> None:
        """Wrap an accepted socket; `peer` is the client's "host:port"."""
        self.listener = listener
        self.sock = sock
        self.peer = peer
        self.tls = TlsConnection(listener.context)
        self.unsent_bytes = bytearray()
        self.user: User | None = None
        self.protocol: ProtocolSession | None = None
        self.task: Task | None = None
        self.end_reason: str | None = None  # why the connection has to end; None while it stays open
        self.accepted_at = listener.loop.now  # ns
        self.last_received_at = listener.loop.now  # ns

    @property
    def unsent(self) -> int:
        """Bytes that wait to be written."""
        return len(self.unsent_bytes)

    @property
    def is_readable(self) -> bool:
        """Whether input may be read and requests processed: the client has read most of the sent bytes."""
        return self.unsent < UNSENT_READ_LIMIT

    @property
    def is_busy(self) -> bool:
        """Whether the protocol has work that may be done now."""
        return self.protocol is not None and self.is_readable and self.protocol.has_work

    def now(self) -> int:
        """Return the time of the turn in ns."""
        return self.listener.loop.now

    def send(self, data: bytes) -> None:
        """Encrypt and queue bytes for the client."""
        self.tls.write(data)
        self.unsent_bytes += self.tls.outgoing()
        if self.unsent > UNSENT_MAX:
            self.end("the client does not read")

    def end(self, reason: str) -> None:
        """End the connection after one more attempt to write the unsent bytes."""
        self.end_reason = self.end_reason or reason

    def wake(self) -> None:
        """Make the listener resume the connection's coroutine at the end of the turn."""
        self.listener.woken[self] = None

    def receive(self) -> tuple[bytes, bool] | None:
        """Return (decrypted bytes, whether the client has closed its side), or None if nothing was received.

        Raise TlsError if the received bytes are invalid, and OSError if the connection is broken.
        """
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return None
        self.last_received_at = self.now()
        plain = self.tls.feed(data)
        self.unsent_bytes += self.tls.outgoing()
        return plain, not data or self.tls.has_ended

    def flush(self) -> None:
        """Write the unsent bytes without blocking; raise OSError if the connection is broken."""
        while self.unsent_bytes:
            try:
                sent = self.sock.send(self.unsent_bytes[:WRITE_SIZE])
            except BlockingIOError:
                return
            del self.unsent_bytes[:sent]

    def flush_last(self) -> None:
        """Write the last TLS records before the close, for example an alert, without blocking."""
        self.unsent_bytes += self.tls.outgoing()
        with suppress(OSError):  # the connection is closed in any case
            self.flush()
