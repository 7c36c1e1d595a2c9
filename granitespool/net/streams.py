"""The coordinator's address: proxies' streams, collectors, and pending connections that have not joined.

Owns one coroutine for each connection, which reads from it, writes to it and closes it, and joins the parts
that know more: `acceptor` takes connections, `admission` says who gives way, `dispatch` handles messages,
`membership` knows who has joined. It never looks into a message and takes no decision on orders."""

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

JOIN_TIMEOUT = 3 * SECOND // 2  # ns from accept to joining, whatever is sent meanwhile: proxies join at once
FIRST_MESSAGE_MAX = 1024  # bytes of a pending connection's message at most: a joining takes a tenth
SILENCE_TIMEOUT = 6 * SECOND  # ns beyond a full channel's that a stream may bring nothing after an order
PROXIES_MAX = 65535  # proxies, where the settings name no number
UNLIMITED_PACE = 1e9  # lines a second, where the settings name no pace


class Streams:
    """All connections at the coordinator's address."""

    def __init__(
        self,
        loop: Loop,
        coordinator: Coordinator,
        log: Log,
        pool: BufferPool,
        config: Configuration,
        backends: Mapping[str, object],
    ) -> None:
        """Listens at once; raises OSError where the address cannot be bound.

        `backends` has those the list has named, now and later."""
        self.loop, self.coordinator, self.log, self.pool = loop, coordinator, log, pool
        self.names = KnownNames(backends=backends, request_classes=coordinator.classes)
        self.admission = Admission(loop, log, config["connections"])
        self.membership = Membership(loop, coordinator, log, self.admission)
        self.dispatcher = Dispatcher(loop, coordinator, log, self.membership, self.names)
        self.accepted_count = 0  # connections so far
        self.finishing = False  # all connections are to end
        self.reconfigure(config)
        self.acceptor = Acceptor(loop, log, self.admission, config["listen"], self._open)

    @property
    def listener(self) -> socket.socket:
        """The listening socket."""
        return self.acceptor.listener

    @property
    def connections(self) -> Mapping[Connection, None]:
        """All open connections, in order of age."""
        return self.admission.connections

    @property
    def pending(self) -> Mapping[Connection, None]:
        """Those of them that have not joined."""
        return self.admission.pending

    @property
    def proxies(self) -> Mapping[int, Connection]:
        """Each joined proxy's current stream."""
        return self.membership.proxies

    def reconfigure(self, config: Configuration) -> None:
        """Who has joined stays, whatever the new figures are; they hold for who comes from now on."""
        settings = config["settings"]
        self.names.zones = set(settings.zones or ())
        self.names.proxies_expected = settings.proxies_expected or PROXIES_MAX
        self.admission.connections_limit = config["connections"]
        # An order is answered once it has passed the channel, and reports may wait for others' as long
        pace = settings.entries_per_s or UNLIMITED_PACE
        full = settings.backlog_limit or 0
        self.silence_timeout = SILENCE_TIMEOUT + int(SECOND * full / pace)

    def send(self, proxy: int) -> None:
        """Writes a proxy's next order, unless it has not taken the one before: then orders merge."""
        connection = self.membership.proxies.get(proxy)
        if connection is None or connection.unsent:
            return
        update = self.coordinator.next_message(proxy)
        if update is None:
            return
        data = encode_update(update)
        try:
            connection.write(data)
        except OSError:
            connection.unsent = data  # the coroutine meets the same end, or where it is none goes on with it
        if update.barrier is not None and connection.awaiting_since is None:
            connection.awaiting_since = self.loop.now
        self.loop.resume(connection.running)  # it waits anew, for the socket or for the answer

    def finish(self) -> None:
        """No more are taken; each is told the end after what waits for it, and all have ended soon."""
        self.loop.end(self.acceptor.task)
        self.finishing = True
        for connection in list(self.connections):
            self.loop.resume(connection.running)

    def _open(self, sock: socket.socket, peer: str) -> None:
        """Serves a socket that was accepted; raises OSError where it is reset already."""
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
        """Reads and writes until one side ends.

        Raises InvalidInputError for what must end the connection, and OSError where it is broken."""
        while self._read(connection):  # at once: a joining that came with it must not wait
            if connection.unsent:  # after what it sent: a reset ends the one, and not the other
                connection.write(b"")
            events = 0
            while not events:
                # Without events nothing is read: by then the turn is closed, and a report would miss it
                if self.finishing:
                    connection.end_reason = CLOSED_BY_COORDINATOR
                    yield from connection.linger(self.loop)
                    return
                deadline = self._deadline(connection)
                mask = IN | (OUT if connection.unsent else 0)
                events = yield connection.sock.fileno(), mask, deadline
                if not events and deadline and self.loop.now >= deadline:
                    self._overdue(connection)
        self.membership.leave(connection)
        if connection.unsent:  # it has ended its side alone, and may read still
            yield from connection.linger(self.loop)

    def _read(self, connection: Connection) -> bool:
        """Reads what is there and has it handled; False once the other side has ended."""
        reader, total = connection.reader, 0
        while total < READ_PER_TURN:
            view = self._buffer(connection)
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
            for message in reader.messages():
                self.dispatcher.handle(connection, message)
        return True

    def _buffer(self, connection: Connection) -> memoryview:
        """Where to receive into; another connection may give way for it."""
        view = connection.reader.free_space()
        if view is None and (
            self.admission.end_pending(connection, holds_buffer=True)
            or self.admission.end_collector(connection, holds_buffer=True)
        ):
            view = connection.reader.free_space()
        if view is None:
            connection.ended_by_coordinator = True
            raise InvalidInputError("no buffer is free for its message")
        return view

    def _deadline(self, connection: Connection) -> int | None:
        """When it has taken too long to join, or was silent for too long; None where nothing is awaited."""
        if connection.role is Role.PENDING:
            return connection.accepted_at + JOIN_TIMEOUT
        if connection.awaiting_since is None:
            return None
        return connection.awaiting_since + self.silence_timeout

    def _overdue(self, connection: Connection) -> None:
        if connection.role is Role.PENDING:
            raise InvalidInputError("it has not joined in time")
        self.membership.mark_unreachable(connection)

    def _reject(self, connection: Connection) -> Coroutine:
        """Writes the reason as a last word, which must not be lost with the close."""
        reason = connection.end_reason
        connection.end_reason = REJECTED
        log_rejected(self.log, peer=connection.peer, reason=reason)
        if connection.unsent:  # it reads nothing
            return
        connection.unsent = frame({"type": "refused", "why": reason})
        with suppress(OSError):  # it is gone already
            yield from connection.linger(self.loop)

    def _close(self, connection: Connection) -> None:
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
