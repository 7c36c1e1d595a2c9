"""The stand-ins around the coordinators of a run, on one event loop and one clock."""

from collections.abc import Generator
from pathlib import Path
from random import Random

import msgspec

from granitespool.net.loop import Loop
from granitespool.scale.backends import Backends
from granitespool.scale.collector import Collector
from granitespool.scale.coordinator_endpoint import ChannelQueue, CoordinatorEndpoint, region_of
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.discovery import BackendList, Change, DiscoveryAgent
from granitespool.scale.fleet import GeneratedFleet, ListedBackend, Network
from granitespool.scale.plan import coordinator_name, coordinator_zones
from granitespool.scale.propagation import PropagationTracker
from granitespool.scale.proxy_stream import ProxyStream, RedialDelay
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Scenario
from granitespool.scale.traffic import Traffic
from granitespool.simulation.proxy_table import ProxyTable
from granitespool.units import MILLISECOND

HOLLOW_AGENT = 200  # index of the agent of the first process of hollow coordinators


class Environment:
    """Discovery, backends, proxies, collectors and the processes of real coordinators of one run."""

    def __init__(
        self, scenario: Scenario, made: GeneratedFleet, network: Network, loop: Loop, folder: Path
    ) -> None:
        """Start backends and discovery; the coordinators' configurations are written to `folder`."""
        self.scenario = scenario
        self.fleet = made
        self.network = network
        self.loop = loop
        self.random = Random(scenario.scale.seed)
        self.recorder = Recorder(loop.clock)
        self.list = BackendList(made.backends, loop.clock)
        self.ever_listed = set(self.list.entries)
        self.backends = Backends(loop, made.backends)
        self.coordinators = [
            self._make_coordinator(index, zone, folder)
            for index, zone in enumerate(coordinator_zones(scenario))
        ]
        self.hollow_agents = [
            self._make_hollow_agent(number) for number in range(scenario.coordinators.hollow_processes)
        ]
        self.streams: list[ProxyStream] = []
        self.homes: dict[int, CoordinatorEndpoint] = {}  # proxy -> its preferred coordinator
        self.collectors = [self._make_collector(zone) for zone in scenario.zones]
        self.traffic = Traffic(
            loop, self.recorder, scenario, self.streams, self.backends, Random(scenario.scale.seed + 1)
        )
        self.cut_regions: set[str] = set()
        self.pending_entries: list[ListedBackend] = []  # changed entries that are not published yet
        self.propagation = PropagationTracker(loop.clock, self.streams)
        loop.spawn(self._publish_batches())

    # Creation of the stand-ins

    def _make_coordinator(self, index: int, zone: str, folder: Path) -> RealCoordinator:
        name = coordinator_name(index)
        channel = ChannelQueue(self.recorder, name, self.scenario.channel)
        address = self.network.coordinator(index)
        endpoint = CoordinatorEndpoint(self.recorder, name, zone, address, channel)
        endpoint.down = True  # until the coordinator has answered
        agent = DiscoveryAgent(self.loop, self.list, self.recorder, name, self.network.agent(index))
        return RealCoordinator(self.loop, self.recorder, self.scenario, endpoint, agent, index, folder)

    def _make_hollow_agent(self, number: int) -> DiscoveryAgent:
        address = self.network.agent(HOLLOW_AGENT + number)
        agent = DiscoveryAgent(self.loop, self.list, self.recorder, f"hollow{number}", address)
        agent.recorded = False
        return agent

    def _make_collector(self, zone: str) -> Collector:
        random = Random(f"{self.scenario.scale.seed} {zone}")
        collector = Collector(
            self.loop, self.recorder, self.scenario, zone, self.streams, self.backends, random
        )
        for coordinator in self.coordinators:
            collector.report_to(coordinator.endpoint)
        return collector

    def join_proxies(self, coordinator: RealCoordinator) -> None:
        """Create the proxies of a coordinator, which connect at once."""
        count, endpoint = self.scenario.proxies.per_coordinator, coordinator.endpoint
        endpoint.others = [other.endpoint for other in self.coordinators if other is not coordinator]
        for offset in range(count):
            self._make_proxy(coordinator.index * count + offset, endpoint)

    def _make_proxy(self, number: int, endpoint: CoordinatorEndpoint) -> None:
        random = Random(f"{self.scenario.scale.seed} proxy {number}")
        table = self._first_table(number, endpoint.region, random)
        redial = RedialDelay.of(self.scenario.proxies)
        stream = ProxyStream(self.loop, self.recorder, table, endpoint, self.ever_listed, random, redial)
        stream.rate = self.scenario.traffic.proxy_requests_per_s
        stream.classes = tuple(f"class{number}" for number in range(self.scenario.traffic.classes))
        stream.on_applied = self.propagation.applied
        self.homes[number] = endpoint
        self.streams.append(stream)

    def _first_table(self, number: int, region: str, random: Random) -> ProxyTable:
        """Return a proxy's bootstrap table, in a random zone, in most cases of this region."""
        zones, settings = self.scenario.zones, self.scenario.proxies
        same = [zone for zone in zones if region_of(zone) == region]
        other = [zone for zone in zones if zone not in same]
        elsewhere = bool(other) and random.random() < settings.other_region_share
        count = min(settings.first_table_lines, len(self.fleet.backends))
        names = random.sample([entry.name for entry in self.fleet.backends], count)
        zone = random.choice(other if elsewhere else same)
        return ProxyTable(number, zone, dict.fromkeys(names, 1.0))

    # Load reports and proxies

    def send_reports(self, on: bool) -> None:
        """Turn the load reports of proxies and collectors on or off."""
        for coordinator in self.coordinators:
            coordinator.endpoint.reports_enabled = on

    def change_one_backend(self, ready: bool) -> None:
        """Publish a change before the events, to measure its cost: a backend drains, or is ready again."""
        status = "ready" if ready else "draining"
        self.pending_entries.append(msgspec.structs.replace(self.fleet.backends[0], status=status))

    def return_proxies(self, coordinator: RealCoordinator) -> None:
        """Move a coordinator's proxies back to it after its restart."""
        for stream in self.streams:
            home = self.homes[stream.number]
            if home is coordinator.endpoint and stream.endpoint is not home:
                stream.move(home)

    # Endpoint list

    def _publish_batches(self) -> Generator[tuple[None, int, int], int, None]:
        while True:
            yield None, 0, self.loop.now + int(self.scenario.fleet.batch_ms * MILLISECOND)
            if self.pending_entries:
                entries, self.pending_entries = self.pending_entries, []
                self.publish(entries)

    def publish(self, entries: list[ListedBackend], notify: bool = True) -> Change:
        """Publish changed entries; without `notify` the caller has to update the agents."""
        change = self.list.publish(entries, notify)
        self.ever_listed.update(entry.name for entry in change.entries)
        self.propagation.published(change, bool(self.cut_regions))
        return change

    def list_to_watches(self) -> list[int]:
        """Return for each version the ns from its publication until the last agent had written it."""
        real = [coordinator.agent for coordinator in self.coordinators]
        durations = []
        for change in self.list.changes:
            if all(change.index in agent.written_at for agent in real):
                written = [agent.written_at.get(change.index, 0) for agent in self.list.agents]
                durations.append(max(written) - change.at)
        return durations

    # Cuts

    def are_cut_apart(self, one: str, other: str) -> bool:
        """Return whether two regions are cut off from each other."""
        return one != other and one in self.cut_regions and other in self.cut_regions

    def cut_coordinators(self) -> list[RealCoordinator]:
        """Return the coordinators in a region that is cut off."""
        return [
            coordinator
            for coordinator in self.coordinators
            if coordinator.endpoint.region in self.cut_regions
        ]

    def close(self) -> None:
        """Stop the proxies; closing the loop stops everything else."""
        for stream in self.streams:
            stream.close()
