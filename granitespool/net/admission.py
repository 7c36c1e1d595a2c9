"""Connection limits: which connections are open, and which are evicted when a resource is exhausted.

The resources are connections, descriptors and receive buffers. Owns the two registries of open connections
and the limit on them. It never accepts, reads or writes, and it never evicts a proxy's stream: pending
connections are evicted first, then collectors, which reconnect.
"""

from granitespool.errors import InvalidInputError
from granitespool.net.connection import Connection, Role
from granitespool.net.frames import MESSAGE_MAX
from granitespool.net.log import Log
from granitespool.net.loop import SECOND, Loop

# ns for which a pending connection is not evicted, because its first message may be on its way.
PENDING_GRACE = SECOND // 20
# Pending connections accepted beyond the limit; they use descriptors of `RESERVED_SOCKETS`.
PENDING_RESERVE = 4


class Admission:
    """The open connections, oldest first."""

    def __init__(self, loop: Loop, log: Log, connections_limit: int) -> None:
        self.loop, self.log = loop, log
        self.connections_limit = connections_limit  # joined connections; lowering it closes none
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
        """Return whether a connection has to be evicted before another one is accepted.

        While joined connections use up the limit, `PENDING_RESERVE` further connections may be pending, so
        that a flood of pending connections does not evict a collector.
        """
        return len(self.connections) >= self.connections_limit and len(self.pending) >= PENDING_RESERVE

    def admit(self, connection: Connection, role: Role, replaces: bool = False) -> None:
        """Mark a pending connection as joined; `replaces` is whether it replaces a connection that will end.

        Raise InvalidInputError if the limit is reached and no collector can be evicted.
        """
        joined = len(self.connections) - len(self.pending) - replaces
        if joined >= self.connections_limit and not self.evict_collector():
            raise InvalidInputError("the connection limit is reached and no collector can be evicted")
        del self.pending[connection]
        connection.role = role
        connection.reader.message_max = MESSAGE_MAX

    def evict_pending(self, requester: Connection | None = None, holds_buffer: bool = False) -> bool:
        """Evict the oldest pending connection that may be evicted; return whether there was one.

        With `holds_buffer` only a connection that holds a receive buffer is evicted. `requester`, which needs
        the resource, is never evicted. In a flood of connections that never join, older ones are evicted for
        a newer one that may be a proxy, but not before their own first message can have arrived
        (`PENDING_GRACE`). The same applies when all proxies connect at once: those past the limit wait.
        """
        for connection in self.pending:
            if _is_evictable(connection, requester, holds_buffer):
                if self.loop.now - connection.accepted_at < PENDING_GRACE:
                    return False  # all later connections are younger
                self._evict(connection)
                return True
        return False

    def evict_collector(self, requester: Connection | None = None, holds_buffer: bool = False) -> bool:
        """Evict the oldest collector, which reconnects; a proxy's stream is never evicted.

        The arguments and the result are those of `evict_pending`.
        """
        for connection in self.connections:
            if connection.role is Role.COLLECTOR and _is_evictable(connection, requester, holds_buffer):
                self._evict(connection)
                return True
        return False

    def _evict(self, connection: Connection) -> None:
        self.log.rate_limited_event("evicted", peer=connection.peer, role=connection.role)
        self.loop.end(connection.running_task)


def _is_evictable(connection: Connection, requester: Connection | None, holds_buffer: bool) -> bool:
    return connection is not requester and bool(connection.reader.buffers or not holds_buffer)
