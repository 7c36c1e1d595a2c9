"""The registry of open connections, and the choice of connections to evict when a resource is exhausted.

The resources are connections, descriptors and receive buffers. This module owns the two registries (of open
and of pending connections) and the connection limit. It never accepts, reads or writes. Pending connections
are evicted first and collectors second, because collectors reconnect. The stream of a proxy is evicted only
if it holds the most receive buffers, and a peer that holds none needs one.
"""

from granitespool.errors import InvalidInputError
from granitespool.net.buffers import BUFFER_SIZE
from granitespool.net.connection import Connection, Role
from granitespool.net.frames import LARGE_MESSAGE, MESSAGE_MAX
from granitespool.net.log import Log
from granitespool.net.loop import SECOND, Loop

# ns for which a new pending connection is not evicted, because its first message may still arrive.
PENDING_GRACE = SECOND // 20
# Pending connections accepted beyond the connection limit. Their descriptors belong to `RESERVED_SOCKETS`.
PENDING_RESERVE = 4
LARGE_MESSAGE_BUFFERS = LARGE_MESSAGE // BUFFER_SIZE  # receive buffers that a large message fills


class Admission:
    """The open connections, oldest first."""

    def __init__(self, loop: Loop, log: Log, connections_limit: int) -> None:
        self.loop, self.log = loop, log
        self.connections_limit = (
            connections_limit  # limit on joined connections; a lower limit closes no connection
        )
        self.connections: dict[Connection, None] = {}
        self.pending: dict[Connection, None] = {}  # the connections that have not joined

    def add(self, connection: Connection) -> None:
        """Register an accepted connection as pending."""
        self.connections[connection] = self.pending[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that ends."""
        del self.connections[connection]
        self.pending.pop(connection, None)

    def is_full(self) -> bool:
        """Return whether a connection has to be evicted before another connection is accepted.

        If the joined connections have reached the limit, `PENDING_RESERVE` more connections may be pending. A
        flood of pending connections therefore does not evict a collector.
        """
        return len(self.connections) >= self.connections_limit and len(self.pending) >= PENDING_RESERVE

    def admit(self, connection: Connection, role: Role, replaces: bool = False) -> None:
        """Mark a pending connection as joined.

        `replaces` is true if the connection replaces a joined connection, which the caller then ends. Raise
        InvalidInputError if the limit is reached and no collector can be evicted.
        """
        joined = len(self.connections) - len(self.pending) - replaces
        if joined >= self.connections_limit and not self.evict_collector():
            raise InvalidInputError("the connection limit is reached and no collector can be evicted")
        del self.pending[connection]
        connection.role = role
        connection.reader.message_max = MESSAGE_MAX

    def evict_pending(self, requester: Connection | None = None, holds_buffer: bool = False) -> bool:
        """Evict the oldest pending connection that may be evicted; return whether a connection was evicted.

        If `holds_buffer` is true, only a connection that holds a receive buffer is evicted. `requester` needs
        the resource and is never evicted. In a flood of connections that never join, old connections are
        evicted, because a new connection may belong to a proxy. No connection is evicted before its first
        message had time to arrive (`PENDING_GRACE`). If all proxies connect at once, the connections beyond
        the limit therefore wait.
        """
        for connection in self.pending:
            if _is_evictable(connection, requester, holds_buffer):
                if self.loop.now - connection.accepted_at < PENDING_GRACE:
                    return False  # all later connections are younger
                self._evict(connection)
                return True
        return False

    def evict_collector(self, requester: Connection | None = None, holds_buffer: bool = False) -> bool:
        """Evict the oldest collector, which will reconnect.

        The arguments and the result have the same meaning as those of `evict_pending`.
        """
        for connection in self.connections:
            if connection.role is Role.COLLECTOR and _is_evictable(connection, requester, holds_buffer):
                self._evict(connection)
                return True
        return False

    def free_buffer_for(self, requester: Connection) -> bool:
        """Evict a connection that holds a receive buffer; return whether a connection was evicted.

        A requester without a buffer has sent little, so the connection that holds most is evicted for it,
        even the stream of a proxy.
        """
        return (
            self.evict_pending(requester, holds_buffer=True)
            or (not requester.reader.buffers and self._evict_largest())
            or self.evict_collector(requester, holds_buffer=True)
        )

    def _evict_largest(self) -> bool:
        """Evict the connection with the most receive buffers, at least `LARGE_MESSAGE_BUFFERS`."""
        largest = max(self.connections, key=lambda connection: len(connection.reader.buffers))
        if len(largest.reader.buffers) < LARGE_MESSAGE_BUFFERS:
            return False
        largest.ended_by_coordinator = True
        self._evict(largest)
        return True

    def _evict(self, connection: Connection) -> None:
        self.log.rate_limited_event("evicted", peer=connection.peer, role=connection.role)
        self.loop.end(connection.running_task)


def _is_evictable(connection: Connection, requester: Connection | None, holds_buffer: bool) -> bool:
    return connection is not requester and bool(connection.reader.buffers or not holds_buffer)
