"""Planned events on the stand-ins: all events that need no coordinator process."""

from collections.abc import Callable

import msgspec

from granitespool.scale.coordinator_endpoint import CoordinatorEndpoint, region_of
from granitespool.scale.environment import Environment
from granitespool.scale.plan import Action, PlannedEvent
from granitespool.units import MILLISECOND


class FaultInjector:
    """Applies planned events to backends, discovery, collectors and the network."""

    def __init__(self, environment: Environment) -> None:
        self.environment = environment
        self.actions: dict[Action, Callable[[PlannedEvent], None]] = {
            "drain": self._drain,
            "remove": self._remove,
            "crash": self._crash,
            "add": self._add,
            "duplicate": self._duplicate,
            "reorder": self._reorder,
            "stall": self._stall,
            "end_watches": self._end_watches,
            "collectors_down": self._collectors_down,
            "collectors_up": self._collectors_up,
            "cut": self._cut,
            "heal": self._heal,
        }

    def perform(self, planned: PlannedEvent) -> None:
        """Apply one planned event.

        Raises:
            KeyError: The event needs a coordinator's process.

        """
        self.actions[planned.action](planned)

    # Backends

    def _drain(self, planned: PlannedEvent) -> None:
        self.environment.pending_entries += planned.entries

    def _crash(self, planned: PlannedEvent) -> None:
        for entry in planned.entries:
            self.environment.backends.stop(entry.name)

    def _remove(self, planned: PlannedEvent) -> None:
        self._crash(planned)
        self.environment.pending_entries += planned.entries

    def _add(self, planned: PlannedEvent) -> None:
        now = self.environment.loop.clock()
        for entry in planned.entries:
            started = msgspec.structs.replace(entry, since_ms=now // MILLISECOND)
            self.environment.backends.start(started, started.since_ms * MILLISECOND)
            self.environment.pending_entries.append(started)

    # Discovery

    def _duplicate(self, planned: PlannedEvent) -> None:
        change = self.environment.publish(list(planned.entries))
        for agent in self.environment.list.agents:
            agent.push([change])

    def _reorder(self, planned: PlannedEvent) -> None:
        first, second = planned.entries
        earlier = self.environment.publish([first], notify=False)
        later = self.environment.publish([second], notify=False)
        self.environment.backends.stop(second.name)
        for agent in self.environment.list.agents:
            agent.list_index = self.environment.list.index
            agent.push([later, earlier])

    def _stall(self, planned: PlannedEvent) -> None:
        for agent in self.environment.list.agents:
            agent.stall(self.environment.loop.now + planned.lasting)

    def _end_watches(self, _: PlannedEvent) -> None:
        for agent in self.environment.list.agents:
            agent.end_watches()

    # Collectors

    def _collectors_down(self, planned: PlannedEvent) -> None:
        for collector in self.environment.collectors:
            collector.down = collector.down or collector.zone in planned.names

    def _collectors_up(self, planned: PlannedEvent) -> None:
        for collector in self.environment.collectors:
            collector.down = collector.down and collector.zone not in planned.names

    # Network partitions

    def _cut(self, planned: PlannedEvent) -> None:
        environment = self.environment
        environment.cut_regions = set(planned.names)
        for coordinator in environment.cut_coordinators():
            coordinator.agent.set_cut(True)
        for collector in environment.collectors:
            collector.unreachable = {
                coordinator.name
                for coordinator in environment.coordinators
                if environment.are_cut_apart(collector.region, coordinator.endpoint.region)
            }
        for stream in environment.streams:
            region = region_of(stream.table.zone)
            if environment.are_cut_apart(region, stream.endpoint.region):
                stream.move(self._reachable_coordinator(region, stream.endpoint), leave_open=True)

    def _reachable_coordinator(self, region: str, default: CoordinatorEndpoint) -> CoordinatorEndpoint:
        """Return a coordinator that a proxy of this region can reach during the cut."""
        environment = self.environment
        reached = [
            coordinator.endpoint
            for coordinator in environment.coordinators
            if not environment.are_cut_apart(region, coordinator.endpoint.region)
        ]
        same = [endpoint for endpoint in reached if endpoint.region == region]
        return environment.random.choice(same or reached or [default])

    def _heal(self, _: PlannedEvent) -> None:
        environment = self.environment
        cut_off = environment.cut_coordinators()
        environment.cut_regions = set()
        for coordinator in cut_off:
            coordinator.agent.set_cut(False)
        for collector in environment.collectors:
            collector.unreachable = set()
        for stream in environment.streams:
            stream.heal()
            home = environment.homes[stream.number]
            if stream.endpoint is not home and not home.down:
                stream.move(home)
