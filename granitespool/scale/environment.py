"""Everyone around the coordinators of a run, on one loop and one clock."""

from collections.abc import Generator
from pathlib import Path
from random import Random

import msgspec

from granitespool.net.loop import Loop
from granitespool.scale.backends import Backends
from granitespool.scale.collector import Collector
from granitespool.scale.coordinator_endpoint import ChannelQueue, CoordinatorEndpoint, region_of
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.discovery import Agent, BackendList, Change
from granitespool.scale.fleet import GeneratedFleet, ListedBackend, Network
from granitespool.scale.plan import coordinator_name, coordinator_zones
from granitespool.scale.propagation import PropagationTracker
from granitespool.scale.proxy_stream import ProxyStream
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Scenario
from granitespool.scale.traffic import Traffic
from granitespool.simulation.proxy_table import ProxyTable
from granitespool.units import MILLISECOND

HOLLOW_AGENT = 200  # index of the agent of the first process of hollow coordinators


class Environment:
    """The stand-ins of a run: discovery, backends, proxies, collectors, and the coordinators' processes."""

    def __init__(
        self, scenario: Scenario, made: GeneratedFleet, network: Network, loop: Loop, folder: Path
    ) -> None:
        """Backends and discovery listen from now on; `folder` takes the coordinators' configurations."""
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
        self.homes: dict[int, CoordinatorEndpoint] = {}  # proxy -> the coordinator that it belongs to
        self.collectors = [self._make_collector(zone) for zone in scenario.zones]
        self.traffic = Traffic(
            loop, self.recorder, scenario, self.streams, self.backends, Random(scenario.scale.seed + 1)
        )
        self.cut_regions: set[str] = set()
        self.batch: list[ListedBackend] = []  # changed entries that are not published yet
        self.propagation = PropagationTracker(loop.clock, self.streams)
        loop.spawn(self._publish_batches())

    # Making

    def _make_coordinator(self, index: int, zone: str, folder: Path) -> RealCoordinator:
        name = coordinator_name(index)
        channel = ChannelQueue(self.recorder, name, self.scenario.channel)
        address = self.network.coordinator(index)
        endpoint = CoordinatorEndpoint(self.recorder, name, zone, address, channel)
        endpoint.down = True  # until it has answered
        agent = Agent(self.loop, self.list, self.recorder, name, self.network.agent(index))
        return RealCoordinator(self.loop, self.recorder, self.scenario, endpoint, agent, index, folder)

    def _make_hollow_agent(self, number: int) -> Agent:
        address = self.network.agent(HOLLOW_AGENT + number)
        agent = Agent(self.loop, self.list, self.recorder, f"hollow{number}", address)
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
        """Makes the proxies of a coordinator, which dial at once."""
        count, endpoint = self.scenario.proxies.per_coordinator, coordinator.endpoint
        endpoint.others = [each.endpoint for each in self.coordinators if each is not coordinator]
        for offset in range(count):
            self._make_proxy(coordinator.index * count + offset, endpoint)

    def _make_proxy(self, number: int, endpoint: CoordinatorEndpoint) -> None:
        random = Random(f"{self.scenario.scale.seed} proxy {number}")
        table = self._first_table(number, endpoint.region, random)
        stream = ProxyStream(self.loop, self.recorder, table, endpoint, self.ever_listed, random)
        stream.rate = self.scenario.traffic.proxy_requests_per_s
        stream.classes = tuple(f"class{number}" for number in range(self.scenario.traffic.classes))
        stream.on_applied = self.propagation.applied
        self.homes[number] = endpoint
        self.streams.append(stream)

    def _first_table(self, number: int, region: str, random: Random) -> ProxyTable:
        """A proxy in a zone drawn by chance, mostly of this region, which knows some backends."""
        zones, settings = self.scenario.zones, self.scenario.proxies
        same = [zone for zone in zones if region_of(zone) == region]
        other = [zone for zone in zones if zone not in same]
        elsewhere = bool(other) and random.random() < settings.other_region_share
        count = min(settings.first_table_lines, len(self.fleet.backends))
        known = random.sample([entry.name for entry in self.fleet.backends], count)
        zone = random.choice(other if elsewhere else same)
        return ProxyTable(number, zone, dict.fromkeys(known, 1.0))

    # Reports and proxies

    def send_reports(self, on: bool) -> None:
        """Whether proxies and collectors send load reports."""
        for coordinator in self.coordinators:
            coordinator.endpoint.wants_reports = on

    def change_one_backend(self, ready: bool) -> None:
        """A change before the events, to measure what it costs: a backend drains, or is ready again."""
        status = "ready" if ready else "draining"
        self.batch.append(msgspec.structs.replace(self.fleet.backends[0], status=status))

    def return_proxies(self, coordinator: RealCoordinator) -> None:
        """Its proxies come back to a coordinator that serves again."""
        for stream in self.streams:
            home = self.homes[stream.number]
            if home is coordinator.endpoint and stream.endpoint is not home:
                stream.move(home)

    # The list

    def _publish_batches(self) -> Generator[tuple[None, int, int], int, None]:
        while True:
            yield None, 0, self.loop.now + int(self.scenario.fleet.batch_ms * MILLISECOND)
            if self.batch:
                entries, self.batch = self.batch, []
                self.publish(entries)

    def publish(self, entries: list[ListedBackend], notify: bool = True) -> Change:
        """Publishes changed entries; `notify` False leaves it to the caller to tell the agents."""
        change = self.list.publish(entries, notify)
        self.ever_listed.update(entry.name for entry in change.entries)
        self.propagation.published(change, bool(self.cut_regions))
        return change

    def list_to_watches(self) -> list[int]:
        """For each version, ns until it was written complete to the last agent's coordinators."""
        real = [coordinator.agent for coordinator in self.coordinators]
        found = []
        for change in self.list.changes:
            if all(change.index in agent.written_at for agent in real):
                written = [agent.written_at.get(change.index, 0) for agent in self.list.agents]
                found.append(max(written) - change.at)
        return found

    # Cuts

    def are_cut_apart(self, one: str, other: str) -> bool:
        """Whether two regions are cut from each other."""
        return one != other and one in self.cut_regions and other in self.cut_regions

    def cut_coordinators(self) -> list[RealCoordinator]:
        """Those in a region that is cut off just now."""
        return [each for each in self.coordinators if each.endpoint.region in self.cut_regions]

    def close(self) -> None:
        """Ends the proxies; the loop ends the others."""
        for stream in self.streams:
            stream.close()
