"""Membership: which proxies and collectors have joined, and on which connection.

Owns the map from a proxy to its current stream, and tells the coordinator and the log of every joining,
leaving, silence and return. It never reads or writes a socket, and it checks no message."""

from granitespool.coordinator import Coordinator
from granitespool.errors import InvalidInputError
from granitespool.net.admission import Admission
from granitespool.net.connection import Connection, Role
from granitespool.net.log import Log
from granitespool.net.loop import Loop
from granitespool.net.messages import ProxyJoin
from granitespool.planner.events import ProxyJoined, ProxyLeft


class Membership:
    """The peers that have joined. A proxy's stream that is replaced by a later one ends without a leaving."""

    def __init__(self, loop: Loop, coordinator: Coordinator, log: Log, admission: Admission) -> None:
        self.loop, self.coordinator, self.log, self.admission = loop, coordinator, log, admission
        self.proxies: dict[int, Connection] = {}  # number -> its current stream

    def join_collector(self, connection: Connection, zone: str) -> None:
        """Makes a pending connection a collector's, or raises InvalidInputError where no place is free."""
        self.admission.admit(connection, Role.COLLECTOR)
        self.log.event("collector_joined", peer=connection.peer, zone=zone)

    def join_proxy(self, connection: Connection, joining: ProxyJoin) -> None:
        """Makes a pending connection a proxy's current stream and ends the one before it.

        Raises InvalidInputError where no place is free, or where the proxy has joined on a later one."""
        former = self.proxies.get(joining.proxy)
        if former and former.number > connection.number:
            # A joining can be held up until its proxy has dialled again: the stream that the proxy gave up
            # must not end the one it uses. A proxy that joins on the older of two is rejected.
            raise InvalidInputError(f"the proxy {joining.proxy} has joined on a later connection")
        self.admission.admit(connection, Role.PROXY, replaces=former is not None)
        connection.proxy = joining.proxy
        connection.join = joining
        self.proxies[joining.proxy] = connection
        self.log.event(
            "joined", peer=connection.peer, proxy=joining.proxy, zone=joining.zone, cold=joining.bootstrap
        )
        self.coordinator.report(
            self.loop.now,
            ProxyJoined(
                proxy=joining.proxy, zone=joining.zone, bootstrap=joining.bootstrap, rate=joining.rate
            ),
        )
        if former:  # it has moved on: the old stream carries nothing more
            self.loop.end(former.running)

    def leave(self, connection: Connection) -> None:
        """Reports the leaving, where this is a proxy's current stream; else nothing."""
        if connection.proxy is not None and self.proxies.get(connection.proxy) is connection:
            del self.proxies[connection.proxy]
            # What we end ourselves has not left by the protocol: what waits for it stays in the account
            self.coordinator.report(
                self.loop.now, ProxyLeft(proxy=connection.proxy, unreachable=connection.ended_by_coordinator)
            )
            connection.leave_reported = True

    def mark_unreachable(self, connection: Connection) -> None:
        """Reports a silent proxy as left until it speaks.

        A proxy that answers no mark and reports nothing is cut off, so nothing is booked or written for it.
        Its stream stays: it is the proxy's to end."""
        assert connection.proxy is not None, "only a proxy's stream is ever unreachable"
        connection.is_unreachable = True
        connection.awaiting_since = None
        self.log.event("unreachable", peer=connection.peer, proxy=connection.proxy)
        self.coordinator.report(self.loop.now, ProxyLeft(proxy=connection.proxy, unreachable=True))

    def mark_reachable(self, connection: Connection) -> None:
        """An unreachable proxy has spoken: it counts as joined anew, with the tables that it was written."""
        joining = connection.join
        assert joining is not None, "only a proxy's stream is ever unreachable"
        connection.is_unreachable = False
        self.log.event("reachable", peer=connection.peer, proxy=connection.proxy)
        self.coordinator.report(
            self.loop.now,
            ProxyJoined(
                resumed=True, proxy=joining.proxy, zone=joining.zone, bootstrap=False, rate=joining.rate
            ),
        )
