"""A listener for management clients: TLS with mutual authentication, and a protocol on top of it.

Owns the listening socket and a coroutine for each connection. The coroutine owns the connection's socket.
After the TLS handshake `make(user, connection)` creates a `ProtocolSession` for the user.

Three rules keep management from slowing down proxies. Management connections have a separate limit. Requests
are processed in small steps. No input is read from a client that does not read its answers.
"""

import errno
import socket
import ssl
import time
from collections.abc import Callable
from typing import Any

from granitespool.management.authorization import User
from granitespool.management.interfaces import ProtocolSession
from granitespool.net.config import Address
from granitespool.net.connection import CLOSED_BY_COORDINATOR, CLOSED_BY_PEER
from granitespool.net.listen_address import bind
from granitespool.net.log import Log
from granitespool.net.loop import IN, OUT, SECOND, Coroutine, Loop
from granitespool.net.management_connection import (
    UNSENT_READ_LIMIT,
    ManagementConnection,
)
from granitespool.net.tls import TlsError
from granitespool.operator_settings import GnmiSettings, NetconfSettings

BACKLOG = 16  # connections that the kernel queues; there are few management clients
# ns from the accept to the end of the handshake. Allows for a long round trip and a client that signs slowly.
HANDSHAKE_TIMEOUT = 5 * SECOND
# ns in one turn for processing the requests of all connections of a listener. This is half of the time by
# which management may lengthen a turn.
WORK_PER_TURN = 2_000_000
ACCEPT_RETRY_DELAY = SECOND // 20  # ns until the next attempt if no connection can be accepted
SUBJECT_MAX = 100  # characters of a certificate's subject in the log
# Error numbers of `accept` that mean the process or the machine is short of descriptors or memory.
OUT_OF_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

FindUser = Callable[
    [dict[str, Any], str], User | None
]  # (certificate, SHA-256 of the certificate in hex) -> user
MakeProtocol = Callable[[User, ManagementConnection], ProtocolSession]


def handshakes_max(sessions: int) -> int:
    """Return the limit on connections in the TLS handshake for a limit of `sessions` sessions."""
    return max(2, sessions // 2)


def sockets_max(sessions: int) -> int:
    """Return the largest number of descriptors of a listener with a limit of `sessions` sessions.

    The descriptor of the listening socket is included.
    """
    return sessions + handshakes_max(sessions) + 1


class ManagementListener:
    """The listener for one management protocol and its connections."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        name: str,
        context: ssl.SSLContext,
        settings: NetconfSettings | GnmiSettings,
        find_user: FindUser,
        make: MakeProtocol,
    ) -> None:
        """Start to listen; raise OSError if the address cannot be bound."""
        self.loop = loop
        self.log = log
        self.name = name
        self.context = context  # the TLS context of new connections
        self.find_user = find_user
        self.make = make
        self.sessions_max = settings.sessions
        self.idle_timeout = int(settings.idle_s * SECOND)  # ns
        self.streams: int | None = getattr(
            settings, "streams", None
        )  # limit on concurrent calls on one connection
        self.connections: dict[ManagementConnection, None] = {}  # oldest first
        self.woken: dict[ManagementConnection, None] = {}  # connections to be resumed at the end of the turn
        self.worked_at = 0  # ns, the time of the turn to which `worked` applies
        self.worked = 0  # ns spent on processing requests in that turn
        host, _, port = settings.listen.rpartition(":")
        self.socket = self._listen((host, int(port)))
        loop.spawn(self._accept())

    def end_of_turn(self) -> None:
        """Resume the woken connections, so that bytes queued by other coroutines are written."""
        for connection in list(self.woken):
            self.woken.pop(connection, None)
            if connection.task is not None:
                self.loop.resume(connection.task)

    def _listen(self, address: Address) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            bind(listener, address, self.log)
        except OSError:
            listener.close()
            raise
        listener.listen(BACKLOG)
        return listener

    def _accept(self) -> Coroutine:
        with self.socket:
            while True:
                yield self.socket.fileno(), IN, None
                if not self._can_accept():
                    yield None, 0, self.loop.now + ACCEPT_RETRY_DELAY
                    continue
                try:
                    sock, (host, port) = self.socket.accept()
                except OSError as error:
                    if error.errno in OUT_OF_RESOURCES:
                        yield None, 0, self.loop.now + ACCEPT_RETRY_DELAY
                    continue
                self._open(sock, f"{host}:{port}")

    def _open(self, sock: socket.socket, peer: str) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, UNSENT_READ_LIMIT
        )  # limit the kernel's buffer as well
        connection = ManagementConnection(self, sock, peer)
        self.connections[connection] = None
        connection.task = self.loop.spawn(self._serve(connection))

    def _can_accept(self) -> bool:
        """Return whether another connection may be accepted.

        If too many connections are in the TLS handshake, the oldest of them is evicted. A flood of
        connections therefore does not lock out clients that have a certificate. During a flood, slow
        handshakes of these clients are ended as well.
        """
        in_handshake = [connection for connection in self.connections if connection.protocol is None]
        limit = handshakes_max(self.sessions_max)
        if len(in_handshake) >= limit and in_handshake[0].task is not None:
            self.loop.end(in_handshake[0].task)
        return len(self.connections) < self.sessions_max + limit

    def _serve(self, connection: ManagementConnection) -> Coroutine:
        reason = CLOSED_BY_PEER
        try:
            yield from self._exchange(connection)
            reason = connection.end_reason or reason
            connection.flush()
        except GeneratorExit:
            reason = CLOSED_BY_COORDINATOR
            raise
        except TlsError as error:
            reason = str(error)
            connection.flush_last()
        except OSError as error:
            reason = error.strerror or str(error)
        finally:
            self._close(connection, reason)

    def _exchange(self, connection: ManagementConnection) -> Coroutine:
        """Read input, process requests and write answers until one side closes the connection.

        Raise TlsError if the handshake or a record is invalid, and OSError if the connection is broken.
        """
        while connection.end_reason is None:
            mask = (OUT if connection.unsent else 0) | (IN if connection.is_readable else 0)
            events = yield connection.sock.fileno(), mask, self._deadline(connection)
            self.woken.pop(connection, None)
            if not events:
                self._run_timers(connection)
            connection.flush()
            if events & ~OUT and not self._read(connection):
                return
            self._work(connection)

    def _deadline(self, connection: ManagementConnection) -> int | None:
        protocol, now = connection.protocol, self.loop.now
        if protocol is None:
            return connection.accepted_at + HANDSHAKE_TIMEOUT
        if connection.is_busy:
            return now + 1  # resume in the next turn; a deadline of `now` would resume it in the same turn
        idle_at = (
            None if protocol.is_exempt_from_idle_timeout else connection.last_received_at + self.idle_timeout
        )
        deadlines = [deadline for deadline in (idle_at, protocol.next_deadline()) if deadline is not None]
        return max(min(deadlines), now + 1) if deadlines else None

    def _run_timers(self, connection: ManagementConnection) -> None:
        now = self.loop.now
        if connection.protocol is None:
            if now >= connection.accepted_at + HANDSHAKE_TIMEOUT:
                connection.end("the TLS handshake timed out")
            return
        if (
            now >= connection.last_received_at + self.idle_timeout
            and not connection.protocol.is_exempt_from_idle_timeout
        ):
            connection.end("idle")
        connection.protocol.tick(now)

    def _read(self, connection: ManagementConnection) -> bool:
        """Read, decrypt and pass bytes to the protocol; return False if the client has closed its side."""
        received = connection.receive()
        if received is None:
            return True
        plain, has_ended = received
        if connection.protocol is None and connection.tls.is_established:
            self._begin_session(connection)
        if plain and connection.end_reason is None and connection.protocol is not None:
            connection.protocol.receive(plain)
        connection.flush()
        return not has_ended

    def _begin_session(self, connection: ManagementConnection) -> None:
        certificate, digest = connection.tls.peer()
        user = self.find_user(certificate, digest)
        connection.user = user
        if user is None:
            subject = [value for pairs in certificate.get("subject", ()) for _, value in pairs]
            subject_text = ", ".join(subject)[:SUBJECT_MAX] or digest
            connection.end(f"no user has the certificate of {subject_text}")
            return
        if sum(other.protocol is not None for other in self.connections) >= self.sessions_max:
            connection.end("the session limit is reached")
            return
        connection.protocol = self.make(user, connection)
        self.log.event("manager_connected", listener=self.name, peer=connection.peer, user=user.name)
        connection.protocol.start()

    def _work(self, connection: ManagementConnection) -> None:
        """Process pending requests until `WORK_PER_TURN` is used up in this turn."""
        if connection.protocol is None or connection.end_reason is not None:
            return
        if self.worked_at != self.loop.now:
            self.worked_at = self.loop.now
            self.worked = 0
        while self.worked < WORK_PER_TURN and connection.is_busy:
            started_at = time.perf_counter_ns()
            connection.protocol.work()
            self.worked += time.perf_counter_ns() - started_at
        connection.flush()

    def _close(self, connection: ManagementConnection, reason: str) -> None:
        del self.connections[connection]
        self.woken.pop(connection, None)
        try:
            if connection.protocol is not None:
                connection.protocol.on_closed(reason)
                connection.tls.close()
                connection.flush_last()
        finally:
            connection.sock.close()
        self._log_end(connection, reason)

    def _log_end(self, connection: ManagementConnection, reason: str) -> None:
        if connection.user is not None and connection.protocol is not None:
            self.log.event(
                "manager_disconnected",
                listener=self.name,
                peer=connection.peer,
                user=connection.user.name,
                reason=reason,
            )
        elif reason not in (CLOSED_BY_PEER, CLOSED_BY_COORDINATOR):
            self.log.rate_limited_event(
                "manager_rejected", listener=self.name, peer=connection.peer, reason=reason
            )
