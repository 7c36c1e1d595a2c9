"""The connections at the coordinator's address: streams of proxies, collectors and pending connections.

Owns a coroutine for each connection. The coroutine reads from the connection, writes to it and closes it.
Other modules accept connections (`acceptor`), evict connections (`admission`), handle messages (`dispatch`)
and track the joined peers (`membership`). This module never interprets a message or an update.
"""

import socket
from collections.abc import Mapping
from contextlib import suppress

from granitespool.coordinator import Coordinator
from granitespool.errors import InvalidInputError
from granitespool.net.acceptor import Acceptor
from granitespool.net.admission import Admission
from granitespool.net.buffers import BufferPool
from granitespool.net.config import Configuration
from granitespool.net.connection import (
    CLOSED_BY_COORDINATOR,
    CLOSED_BY_PEER,
    READ_PER_TURN,
    REJECTED,
    REPLACED,
    Connection,
    Role,
)
from granitespool.net.dispatch import Dispatcher
from granitespool.net.frames import Reader, encode_update, frame
from granitespool.net.log import Log
from granitespool.net.log_events import log_rejected
from granitespool.net.loop import IN, OUT, SECOND, Coroutine, Loop
from granitespool.net.membership import Membership
from granitespool.net.messages import KnownNames
from granitespool.net.update_log import UpdateLog

# ns from the accept to the join message. Other messages do not extend the time: proxies join at once.
JOIN_TIMEOUT = 3 * SECOND // 2
# Bytes of a message on a pending connection. A join message has a tenth of this size.
FIRST_MESSAGE_MAX = 1024
# ns within which a proxy has to send data after a barrier. The time that a full channel takes is added.
SILENCE_TIMEOUT = 6 * SECOND
PROXIES_MAX = 65535  # number of proxies if proxies_expected is unset
UNLIMITED_RATE = 1e9  # entries per second of the channel if entries_per_s is unset


class Streams:
    """The connections at the coordinator's address."""

    def __init__(
        self,
        loop: Loop,
        coordinator: Coordinator,
        log: Log,
        pool: BufferPool,
        config: Configuration,
        backends: Mapping[str, object],
    ) -> None:
        """Start to listen; raise OSError if the address cannot be bound.

        The caller updates `backends` from the endpoint list.
        """
        self.loop, self.coordinator, self.log, self.pool = loop, coordinator, log, pool
        self.names = KnownNames(backends=backends, request_classes=coordinator.classes)
        self.admission = Admission(loop, log, config["connections"])
        self.membership = Membership(loop, coordinator, log, self.admission)
        self.dispatcher = Dispatcher(loop, coordinator, log, self.membership, self.names)
        self.accepted_count = 0  # number of connections accepted so far
        self.finishing = False  # whether all connections have to end
        self.large_waiting: dict[Connection, None] = {}  # hold a large message, the longest waiting first
        self.update_log = UpdateLog(log)
        self.may_parse_large: Connection | None = None  # may parse its large message now
        self.reconfigure(config)
        self.acceptor = Acceptor(loop, log, self.admission, config["listen"], self._open)

    @property
    def listener(self) -> socket.socket:
        """The listening socket."""
        return self.acceptor.listener

    @property
    def connections(self) -> Mapping[Connection, None]:
        """The open connections, oldest first."""
        return self.admission.connections

    @property
    def pending(self) -> Mapping[Connection, None]:
        """The open connections that have not joined, oldest first."""
        return self.admission.pending

    @property
    def proxies(self) -> Mapping[int, Connection]:
        """The current stream of each joined proxy, by proxy number."""
        return self.membership.proxies

    def reconfigure(self, config: Configuration) -> None:
        """Apply the limits of a configuration to new connections; joined peers stay connected."""
        settings = config["settings"]
        self.names.zones = set(settings.zones or ())
        self.names.proxies_expected = settings.proxies_expected or PROXIES_MAX
        self.admission.connections_limit = config["connections"]
        # A barrier is acknowledged only after it has passed the channel, which takes longest if the queue is
        # full. Reports may wait as long for others
        rate = settings.entries_per_s or UNLIMITED_RATE
        queue_limit = settings.backlog_limit or 0
        self.silence_timeout = SILENCE_TIMEOUT + int(SECOND * queue_limit / rate)

    def send(self, proxy: int) -> None:
        """Write the next update to a proxy.

        While the last update is not completely written, no further update is written, and the coordinator
        merges the waiting updates.
        """
        connection = self.membership.proxies.get(proxy)
        if connection is None or connection.unsent:
            return
        update = self.coordinator.pick(proxy)
        if update is None:
            return
        self.update_log.add(proxy, update, self.loop.now - connection.accepted_at)
        data = encode_update(update)
        try:
            connection.write(data)
        except OSError:
            connection.unsent = (
                data  # the coroutine repeats the write and handles the error if it occurs again
            )
        if update.barrier is not None and connection.awaiting_since is None:
            connection.awaiting_since = self.loop.now
        self.loop.resume(connection.running_task)  # the coroutine then waits with the new events and deadline

    def parse_large_message(self) -> bool:
        """Let the connection that has waited longest parse its large message; return whether others wait.

        Called once in each turn, after all small messages: parsing a large one takes up to 0.1 s.
        """
        if self.large_waiting:
            connection = next(iter(self.large_waiting))
            del self.large_waiting[connection]
            self.may_parse_large = connection
            self.loop.resume(connection.running_task)
            self.may_parse_large = None
        return bool(self.large_waiting)

    def finish(self) -> None:
        """Stop accepting connections, and close each connection once its unsent bytes are written."""
        self.loop.end(self.acceptor.task)
        self.finishing = True
        for connection in list(self.connections):
            self.loop.resume(connection.running_task)

    def _open(self, sock: socket.socket, peer: str) -> None:
        """Serve an accepted socket; raise OSError if the peer has already reset it."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(self.pool, FIRST_MESSAGE_MAX)
        connection = Connection(sock, peer, reader, accepted_at=self.loop.now, number=self.accepted_count)
        self.accepted_count += 1
        self.admission.add(connection)
        connection.task = self.loop.spawn(self._serve(connection))

    def _serve(self, connection: Connection) -> Coroutine:
        try:
            yield from self._exchange(connection)
        except GeneratorExit:
            connection.end_reason = CLOSED_BY_COORDINATOR
            raise
        except InvalidInputError as error:
            connection.end_reason = str(error)
            self.membership.leave(connection)
            if connection.role is Role.PENDING:
                yield from self._reject(connection)
        except OSError as error:
            connection.end_reason = error.strerror or str(error)
        except Exception:
            connection.ended_by_coordinator = True
            raise
        finally:
            self._close(connection)

    def _exchange(self, connection: Connection) -> Coroutine:
        """Read and write until one side closes the connection.

        Raise InvalidInputError if the connection has to be closed, and OSError if it is broken.
        """
        # Read before the first wait, so that a join message that has already arrived is handled at once
        while self._read(connection):
            # Write only after reading. If the peer has reset the connection, the write fails, but the
            # received messages have already been handled
            if connection.unsent:
                connection.write(b"")
            events = 0
            while not events:
                # If the coroutine is resumed without events, nothing is read. It then runs at the end of the
                # turn, which is too late for a report to count in this turn
                if self.finishing:
                    connection.end_reason = CLOSED_BY_COORDINATOR
                    yield from connection.linger(self.loop)
                    return
                deadline = self._deadline(connection)
                mask = (0 if connection in self.large_waiting else IN) | (OUT if connection.unsent else 0)
                events = yield connection.sock.fileno(), mask, deadline
                if self.may_parse_large is connection:
                    self._handle_messages(connection)
                elif not events and deadline and self.loop.now >= deadline:
                    self._handle_timeout(connection)
        self.membership.leave(connection)
        if connection.unsent:  # the peer may have shut down only its writing side, and may still read
            yield from connection.linger(self.loop)

    def _read(self, connection: Connection) -> bool:
        """Read and handle received messages; return False if the peer has closed its side."""
        reader, total = connection.reader, 0
        while connection not in self.large_waiting and total < READ_PER_TURN:
            if total and self.loop.is_share_used:
                break
            view = self._receive_buffer(connection)
            try:
                size = connection.sock.recv_into(view)
            except BlockingIOError:
                if not reader.available:
                    reader.close()
                return True
            if not size:
                return False
            total += size
            connection.awaiting_since = None
            if connection.is_unreachable:
                self.membership.mark_reachable(connection)
            reader.received(size)
            self._handle_messages(connection)
        return True

    def _handle_messages(self, connection: Connection) -> None:
        """Handle the complete messages that were received, up to a large one that has to wait."""

        def may_parse_large() -> bool:
            if self.may_parse_large is connection:
                self.may_parse_large = None
                return True
            self.large_waiting[connection] = None
            return False

        for message in connection.reader.messages(may_parse_large):
            self.dispatcher.handle(connection, message)

    def _receive_buffer(self, connection: Connection) -> memoryview:
        """Return free space for received bytes; another connection may be evicted to free a buffer.

        Raise InvalidInputError if no buffer can be freed.
        """
        view = connection.reader.free_space()
        if view is None and self.admission.free_buffer_for(connection):
            view = connection.reader.free_space()
        if view is None:
            connection.ended_by_coordinator = True
            raise InvalidInputError("no buffer is free for its message")
        return view

    def _deadline(self, connection: Connection) -> int | None:
        """Return the time (ns) by which the peer has to join or to send data, or None if unlimited."""
        if connection.role is Role.PENDING:
            return connection.accepted_at + JOIN_TIMEOUT
        if connection.awaiting_since is None:
            return None
        return connection.awaiting_since + self.silence_timeout

    def _handle_timeout(self, connection: Connection) -> None:
        if connection.role is Role.PENDING:
            raise InvalidInputError("it has not joined in time")
        self.membership.mark_unreachable(connection)

    def _reject(self, connection: Connection) -> Coroutine:
        """Send the reason for the rejection as the last message; give the peer time to read the message."""
        reason = connection.end_reason
        connection.end_reason = REJECTED
        log_rejected(self.log, peer=connection.peer, reason=reason)
        if connection.unsent:  # the peer does not read, so it would not receive the reason
            return
        connection.unsent = frame({"type": "refused", "why": reason})
        with suppress(OSError):  # the peer may have closed the connection
            yield from connection.linger(self.loop)

    def _close(self, connection: Connection) -> None:
        self.large_waiting.pop(connection, None)
        self.admission.remove(connection)
        connection.close()
        self.membership.leave(connection)
        if connection.role is Role.PROXY and not connection.leave_reported:
            connection.end_reason = REPLACED
        if connection.role is not Role.PENDING:
            self.log.event(
                "connection_closed",
                peer=connection.peer,
                role=connection.role,
                proxy=connection.proxy,
                reason=connection.end_reason,
            )
        elif connection.end_reason not in (CLOSED_BY_PEER, CLOSED_BY_COORDINATOR, REJECTED):
            log_rejected(self.log, peer=connection.peer, reason=connection.end_reason)
