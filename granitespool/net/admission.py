"""Admission: which connections are open, and which are evicted when places, descriptors or buffers are short.

Owns the two registries of open connections and the limit on them. It never accepts, reads or writes, and it
never ends a proxy's stream: pending connections give way first, then collectors, which dial again."""

from granitespool.errors import InvalidInputError
from granitespool.net.connection import Connection, Role
from granitespool.net.frames import MESSAGE_MAX
from granitespool.net.log import Log
from granitespool.net.loop import SECOND, Loop

PENDING_GRACE = SECOND // 20  # ns for which a pending one is not evicted: a joining may be on its way
PENDING_RESERVE = 4  # places for pending ones beyond those that joined; from the descriptors kept for others


class Admission:
    """The open connections, in order of age."""

    def __init__(self, loop: Loop, log: Log, connections_limit: int) -> None:
        self.loop, self.log = loop, log
        self.connections_limit = connections_limit  # of those that joined; a lower one ends no connection
        self.connections: dict[Connection, None] = {}
        self.pending: dict[Connection, None] = {}  # those of them that have not joined

    def add(self, connection: Connection) -> None:
        """Registers a connection that was just accepted."""
        self.connections[connection] = self.pending[connection] = None

    def remove(self, connection: Connection) -> None:
        """Forgets a connection that ends."""
        del self.connections[connection]
        self.pending.pop(connection, None)

    def is_full(self) -> bool:
        """Whether another may be accepted only once somebody gives way.

        While those that joined hold all places, a new connection has one of a few more until it joins: a
        flood of pending connections must not cost a collector its place."""
        return len(self.connections) >= self.connections_limit and len(self.pending) >= PENDING_RESERVE

    def admit(self, connection: Connection, role: Role, replaces: bool = False) -> None:
        """Turns a pending connection into one that joined; `replaces` tells that another ends for it.

        Raises InvalidInputError where no place is free and no collector can give way."""
        joined = len(self.connections) - len(self.pending) - replaces
        if joined >= self.connections_limit and not self.end_collector():
            raise InvalidInputError("no place is free here")
        del self.pending[connection]
        connection.role = role
        connection.reader.message_max = MESSAGE_MAX

    def end_pending(self, requester: Connection | None = None, holds_buffer: bool = False) -> bool:
        """Ends the oldest pending connection that may give way, and returns whether there was one.

        `holds_buffer` asks for one that holds a buffer; `requester`, which needs it, is never evicted.
        In a flood of connections that never join, the older ones give way to one that may be a proxy, but not
        before their own joining can have come. The same holds when all proxies dial at once: past the limit
        the others wait."""
        for connection in self.pending:
            if _may_give_way(connection, requester, holds_buffer):
                if self.loop.now - connection.accepted_at < PENDING_GRACE:
                    return False  # nor may a younger one
                self._end(connection)
                return True
        return False

    def end_collector(self, requester: Connection | None = None, holds_buffer: bool = False) -> bool:
        """Ends the oldest collector, which dials again; never a proxy's stream.

        The arguments and the result are those of `end_pending`."""
        for connection in self.connections:
            if connection.role is Role.COLLECTOR and _may_give_way(connection, requester, holds_buffer):
                self._end(connection)
                return True
        return False

    def _end(self, connection: Connection) -> None:
        self.log.rate_limited_event("evicted", peer=connection.peer, role=connection.role)
        self.loop.end(connection.running)


def _may_give_way(connection: Connection, requester: Connection | None, holds_buffer: bool) -> bool:
    return connection is not requester and bool(connection.reader.buffers or not holds_buffer)
