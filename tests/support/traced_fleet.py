"""Several real coordinators in virtual time with the same backends and proxies, and a trace of their events.

Built on `ProxyFleet`, which counts and paces the messages of one coordinator. In addition, proxies keep their
tables and exclusions when they move between coordinators and apply only messages that have arrived; backends
drain, crash and return cold; coordinators receive the endpoint list at different times, or twice; load
reports are processed at a limited rate; some requests must take effect only once. The events of
`granitespool.scale.trace` are recorded for the rule checker. One seeded generator supplies all randomness.
"""

from random import Random
from typing import NamedTuple

import msgspec

from granitespool.scale.trace import AnyEvent, CoordinatorStarted, Limits, TableHeld
from granitespool.units import SECOND
from support.proxy_fleet import TURN
from support.traced_backends import (
    MIN_WARM_SHARE,
    WARM_UP_START_SHARE,
    WARM_UP_TIME,
    Clock,
    TracedBackends,
)
from support.traced_coordinator import TracedCoordinator, TracedProxy
from support.traced_traffic import TracedTraffic

SETTINGS = {
    "message_header": 3.0,
    "messages_limit": 30,
    "messages_span": 10 * SECOND,
    "empty_table_limit": 5 * SECOND,
    "warm_up_time": WARM_UP_TIME,
    "warm_up_start_share": WARM_UP_START_SHARE,
    "overload_multiple": 4.0,
    "overload_time": 2 * SECOND,
    "bootstrap_entries": 5,
    "default_retries": 0,
    "health_checks_allowed": True,
}
BOOTSTRAP_BACKENDS = 5  # entries of a bootstrap table
TABLE_OVERHEAD = 7  # entries of a message that are not weights: header, barrier, `whole` and levels
DRAIN_OVERHEAD = 4  # the same of a message that removes backends: header and barrier
MIN_DRAIN_GRACE = 3_300_000_000  # ns
BACKLOG_TIME = 2  # s of the configured rate that a full channel holds at least
RECONNECT_TIME = SECOND // 2  # ns: shortest time to join again after a lost stream; the longest is twice that
TURNS_PER_LOAD_RECORD = 5


class ChannelSettings(msgspec.Struct, frozen=True):
    """The settings of a fleet's channels and of the drains that the channels must carry in time."""

    entries_per_s: float
    backlog_limit: float  # entries
    drain_grace: int  # ns

    @classmethod
    def for_fleet(
        cls, coordinators: int, proxies: int, backends: int, table_time: float
    ) -> "ChannelSettings":
        """Return settings with which urgent entries fit twice with all proxies on one coordinator.

        The platform sets them so. The urgent entries are here the drains of all backends that may drain at a
        time. `table_time`: seconds that a channel takes for one complete table.
        """
        entries_per_s = (backends + TABLE_OVERHEAD) / table_time
        drains = coordinators * proxies * (int((1 - MIN_WARM_SHARE) * backends) + DRAIN_OVERHEAD)
        grace = max(MIN_DRAIN_GRACE, round(2 * drains / entries_per_s * SECOND))
        return cls(entries_per_s, max(2 * drains, BACKLOG_TIME * entries_per_s), grace)


class _Reconnection(NamedTuple):
    """A proxy that will join a coordinator at some time."""

    at: int  # ns
    proxy: TracedProxy
    coordinator: TracedCoordinator


class TracedFleet:
    """Coordinators, proxies and backends; `events` returns the recorded trace.

    `proxies` is the number of proxies of each coordinator, `intake` the limit on load reports a second,
    `slowdown` the factor by which the channels are slower than configured.
    """

    def __init__(
        self,
        channel: ChannelSettings,
        coordinators: int,
        proxies: int,
        backends: int,
        intake: int = 1000,
        slowdown: float = 1,
        seed: int = 1,
    ) -> None:
        """Start the coordinators and let all proxies join."""
        self.random = Random(seed)
        self.channel = channel
        self.intake = intake
        self.slowdown = slowdown
        self.trace: list[AnyEvent] = []
        self.clock = Clock()
        self.turns = 0
        self.backends = TracedBackends(self.clock, backends)
        self.traffic = TracedTraffic(self, self.random, SETTINGS["default_retries"])
        self.reconnections: list[_Reconnection] = []
        self.proxies = {
            number: TracedProxy(number, number % coordinators) for number in range(coordinators * proxies)
        }
        self.coordinators = [self._make_coordinator(number, coordinators) for number in range(coordinators)]
        for coordinator in self.coordinators:
            self.record(CoordinatorStarted(at=self.now, coordinator=coordinator.name))
        for proxy in self.proxies.values():
            self._join_first(proxy, min(BOOTSTRAP_BACKENDS, backends))

    def _make_coordinator(self, number: int, coordinators: int) -> TracedCoordinator:
        settings = {
            **SETTINGS,
            "entries_per_s": self.channel.entries_per_s,
            "backlog_limit": self.channel.backlog_limit,
            "drain_grace": self.channel.drain_grace,
            "proxies_expected": len(self.proxies),
            "coordinators": coordinators,
        }
        return TracedCoordinator(self, f"c{number}", slowdown=self.slowdown, **settings)

    def _join_first(self, proxy: TracedProxy, entries: int) -> None:
        names = self.random.sample(sorted(self.backends.by_name), entries)
        proxy.weights = dict.fromkeys(names, 1.0)
        self.record_table(proxy, self.now)
        self.coordinators[proxy.home].add_proxy(proxy)

    @property
    def now(self) -> int:
        """The current time in ns."""
        return self.clock.now

    # The trace

    def record(self, event: AnyEvent) -> None:
        """Add an event to the trace."""
        self.trace.append(event)

    def record_table(self, proxy: TracedProxy, now: int) -> None:
        """Record the table that a proxy has from `now` (ns) on."""
        excluded = frozenset(proxy.excluded)
        held = TableHeld(at=now, proxy=proxy.number, weights=dict(proxy.weights), excluded=excluded)
        self.record(held)

    def limits(self) -> Limits:
        """Return the limits of the rules; times are multiplied by the slowdown of the channels."""
        return Limits(
            drain_grace=self.slowdown * self.channel.drain_grace,
            empty_limit=self.slowdown * SETTINGS["empty_table_limit"],
            overload_multiple=SETTINGS["overload_multiple"],
            overload_time=self.slowdown * SETTINGS["overload_time"],
            backlog_limit=self.channel.backlog_limit,
            messages_limit=SETTINGS["messages_limit"],
            messages_span=SETTINGS["messages_span"],
            warm_up_time=WARM_UP_TIME,
        )

    def events(self) -> list[AnyEvent]:
        """Return the trace in order of time; events of the same time stay in recorded order."""
        return sorted(self.trace, key=lambda event: event.at)

    # Coordinators and proxies

    def running(self) -> list[TracedCoordinator]:
        """Return the running coordinators."""
        return [coordinator for coordinator in self.coordinators if coordinator.up]

    def end_coordinator(self, number: int, downtime: int) -> None:
        """Stop a coordinator for `downtime` ns; its proxies join the others and stay there.

        The last running coordinator is not stopped.
        """
        coordinator = self.coordinators[number % len(self.coordinators)]
        if coordinator.up and len(self.running()) > 1:
            leaving = [self.proxies[number] for number in coordinator.joined]
            coordinator.end(downtime)
            for proxy in leaving:
                self._reconnect(proxy)

    def lose_streams(self, number: int) -> None:
        """Break the streams of `number` proxies, which join a random coordinator again."""
        joined = [proxy for proxy in self.proxies.values() if proxy.coordinator]
        for proxy in self.random.sample(joined, min(number, len(joined))):
            proxy.coordinator.drop_proxy(proxy)
            self._reconnect(proxy)

    def return_home(self) -> None:
        """Move proxies back to their home coordinator if it is running."""
        for proxy in self.proxies.values():
            home = self.coordinators[proxy.home]
            if home.up and proxy.coordinator not in (None, home):
                proxy.coordinator.drop_proxy(proxy)
                self.reconnections.append(_Reconnection(self.now + RECONNECT_TIME, proxy, home))

    def _reconnect(self, proxy: TracedProxy) -> None:
        coordinator = self.random.choice(self.running())
        at = self.now + RECONNECT_TIME + self.random.randrange(RECONNECT_TIME)
        self.reconnections.append(_Reconnection(at, proxy, coordinator))

    def _join(self) -> None:
        due = [item for item in self.reconnections if item.at <= self.now]
        self.reconnections = [item for item in self.reconnections if item.at > self.now]
        for reconnection in due:
            if reconnection.coordinator.up:
                reconnection.coordinator.add_proxy(reconnection.proxy)
            else:
                self._reconnect(reconnection.proxy)

    # Time

    def turn(self) -> None:
        """Run one turn of all parts."""
        self.backends.advance()
        for coordinator in self.coordinators:
            if coordinator.restart_at is not None and coordinator.restart_at <= self.now:
                coordinator.start()
        self._join()
        if self.turns % TURNS_PER_LOAD_RECORD == 0:
            self.traffic.record_loads()
        if self.now % SECOND == 0:
            self.traffic.report()
            self.traffic.execute_requests()
        for coordinator in self.coordinators:
            coordinator.turn()
        self.turns += 1
        self.clock.now += TURN

    def run(self, seconds: float) -> None:
        """Run turns for `seconds`."""
        end = self.now + round(seconds * SECOND)
        while self.now < end:
            self.turn()
