"""Membership: the proxies and collectors that have joined, and their connections.

Owns the map from a proxy to the proxy's current stream. Reports to the coordinator and the log when a proxy
joins, leaves, becomes unreachable or becomes reachable again. This module never reads or writes a socket; the
module `messages` checks messages.
"""

from granitespool.coordinator import Coordinator
from granitespool.errors import InvalidInputError
from granitespool.net.admission import Admission
from granitespool.net.connection import Connection, Role
from granitespool.net.log import Log
from granitespool.net.loop import Loop
from granitespool.net.messages import ProxyJoin
from granitespool.planner.events import ProxyJoined, ProxyLeft


class Membership:
    """The peers that have joined.

    A proxy that joins on a new stream replaces its former stream. No leave is reported for the former stream.
    """

    def __init__(self, loop: Loop, coordinator: Coordinator, log: Log, admission: Admission) -> None:
        self.loop, self.coordinator, self.log, self.admission = loop, coordinator, log, admission
        self.proxies: dict[int, Connection] = {}  # current stream by proxy number

    def join_collector(self, connection: Connection, zone: str) -> None:
        """Mark a pending connection as the connection of a collector.

        Raise InvalidInputError if the connection limit is reached.
        """
        self.admission.admit(connection, Role.COLLECTOR)
        self.log.event("collector_joined", peer=connection.peer, zone=zone)

    def join_proxy(self, connection: Connection, join: ProxyJoin) -> None:
        """Make a pending connection the current stream of a proxy and end the proxy's former stream.

        Raise InvalidInputError if the connection limit is reached, or if the proxy has joined on a connection
        that was accepted later.
        """
        former = self.proxies.get(join.proxy)
        if former and former.number > connection.number:
            # A join message can be delayed until the proxy has reconnected. The connection that the proxy has
            # abandoned must not replace the current stream, so its join message is rejected.
            raise InvalidInputError(f"the proxy {join.proxy} has joined on a later connection")
        self.admission.admit(connection, Role.PROXY, replaces=former is not None)
        connection.proxy = join.proxy
        connection.join = join
        self.proxies[join.proxy] = connection
        self.log.event("joined", peer=connection.peer, proxy=join.proxy, zone=join.zone, cold=join.bootstrap)
        self.coordinator.report(
            self.loop.now,
            ProxyJoined(proxy=join.proxy, zone=join.zone, bootstrap=join.bootstrap, rate=join.rate),
        )
        if former:  # the proxy has abandoned its former stream
            self.loop.end(former.running_task)

    def leave(self, connection: Connection) -> None:
        """Report that a proxy has left if the connection is its current stream."""
        if connection.proxy is not None and self.proxies.get(connection.proxy) is connection:
            del self.proxies[connection.proxy]
            # If the coordinator ended the connection, the proxy has not left as the protocol defines it. The
            # proxy's unacknowledged entries then still count as in flight
            self.coordinator.report(
                self.loop.now, ProxyLeft(proxy=connection.proxy, unreachable=connection.ended_by_coordinator)
            )
            connection.leave_reported = True

    def mark_unreachable(self, connection: Connection) -> None:
        """Report a silent proxy as left until data is received from the proxy.

        A proxy that acknowledges no barrier and sends no report is disconnected from the network. No entries
        count as in flight to the proxy, and no updates are written to it. The stream stays open, because only
        the proxy ends it.
        """
        assert connection.proxy is not None, "only a proxy's stream can be unreachable"
        connection.is_unreachable = True
        connection.awaiting_since = None
        self.log.event("unreachable", peer=connection.peer, proxy=connection.proxy)
        self.coordinator.report(self.loop.now, ProxyLeft(proxy=connection.proxy, unreachable=True))

    def mark_reachable(self, connection: Connection) -> None:
        """Report that an unreachable proxy has joined again and still has the tables written to it."""
        join = connection.join
        assert join is not None, "only a proxy's stream can be unreachable"
        connection.is_unreachable = False
        self.log.event("reachable", peer=connection.peer, proxy=connection.proxy)
        self.coordinator.report(
            self.loop.now,
            ProxyJoined(resumed=True, proxy=join.proxy, zone=join.zone, bootstrap=False, rate=join.rate),
        )
