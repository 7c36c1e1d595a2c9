"""Everyone around the coordinators of a run, on one loop and one clock, and what the plan does to them."""

from collections.abc import Generator
from pathlib import Path
from random import Random

import msgspec

from granitespool.emulator.world import Proxy
from granitespool.net.loop import Loop
from granitespool.scale.backends import Backends
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.discovery import Agent, BackendList, Change
from granitespool.scale.fleet import MS, ListedBackend, MadeFleet, Network
from granitespool.scale.plan import Planned, coordinator_name, coordinator_zones
from granitespool.scale.proxies import ChannelQueue, CoordinatorPlace, ProxyStream
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Scenario
from granitespool.scale.traffic import Collector, Traffic

HOLLOW_AGENT = 200  # index of the agent of the first process of hollow coordinators


class Spreading(msgspec.Struct):
    """A backend that no proxy is to hold open any more, and who still does."""

    since: int  # ns
    holders: set[int]  # proxies
    during_cut: bool


class World:
    """The stand-ins; `perform` does what the plan says, but for processes."""

    def __init__(
        self, scenario: Scenario, made: MadeFleet, network: Network, loop: Loop, folder: Path
    ) -> None:
        self.scenario, self.made, self.network, self.loop = scenario, made, network, loop
        self.random = Random(scenario.scale.seed)
        self.recorder = Recorder(loop.clock)
        self.list = BackendList(made.backends, loop.clock)
        self.ever_listed = set(self.list.entries)
        self.backends = Backends(loop)
        for entry in made.backends:
            self.backends.start(entry)
        self.coordinators = [
            self._coordinator(index, zone, folder) for index, zone in enumerate(coordinator_zones(scenario))
        ]
        self.hollow_agents = [
            self._hollow_agent(number) for number in range(scenario.coordinators.hollow_processes)
        ]
        self.streams: list[ProxyStream] = []
        self.homes: dict[int, CoordinatorPlace] = {}  # proxy -> the coordinator that it belongs to
        self.collectors = [self._collector(zone) for zone in scenario.zones]
        self.traffic = Traffic(
            loop, self.recorder, scenario, self.streams, self.backends, Random(scenario.scale.seed + 1)
        )
        self.cut_regions: set[str] = set()
        self.batch: list[ListedBackend] = []
        self.spreading: dict[str, Spreading] = {}
        self.spread: list[int] = []  # ns, changes that reached the last proxy
        self.spread_cut: list[int] = []
        loop.spawn(self._publish_batches())

    def _coordinator(self, index: int, zone: str, folder: Path) -> RealCoordinator:
        name, channel = coordinator_name(index), self.scenario.channel
        queue = ChannelQueue(
            self.recorder, name, channel.lines_per_s, channel.head_lines, int(channel.delay_ms * MS)
        )
        place = CoordinatorPlace(self.recorder, name, zone, self.network.coordinator(index), queue)
        place.ended = True  # until it has answered
        agent = Agent(self.loop, self.list, self.recorder, name, self.network.agent(index))
        return RealCoordinator(self.loop, self.recorder, self.scenario, place, agent, index, folder)

    def _hollow_agent(self, number: int) -> Agent:
        address = self.network.agent(HOLLOW_AGENT + number)
        agent = Agent(self.loop, self.list, self.recorder, f"hollow{number}", address)
        agent.recorded = False
        return agent

    def _collector(self, zone: str) -> Collector:
        random = Random(f"{self.scenario.scale.seed} {zone}")
        collector = Collector(
            self.loop, self.recorder, self.scenario, zone, lambda: self.streams, self.backends, random
        )
        for coordinator in self.coordinators:
            collector.report_to(coordinator.place)
        return collector

    def join_proxies(self, coordinator: RealCoordinator) -> None:
        """Makes the proxies of a coordinator, which dial at once."""
        per, place = self.scenario.proxies.per_coordinator, coordinator.place
        place.others = [each.place for each in self.coordinators if each is not coordinator]
        for offset in range(per):
            self._proxy(coordinator.index * per + offset, place)

    def _proxy(self, number: int, place: CoordinatorPlace) -> None:
        random = Random(f"{self.scenario.scale.seed} proxy {number}")
        zones = self.scenario.zones
        same = [zone for zone in zones if zone.partition("-")[0] == place.region]
        other = [zone for zone in zones if zone not in same]
        crosses = other and random.random() < self.scenario.proxies.other_region_share
        count = min(self.scenario.proxies.first_table_lines, len(self.made.backends))
        first = random.sample([entry.name for entry in self.made.backends], count)
        table = Proxy(number, random.choice(other if crosses else same), dict.fromkeys(first, 1.0))
        stream = ProxyStream(self.loop, self.recorder, table, place, self.ever_listed, random)
        stream.rate = self.scenario.traffic.proxy_requests_per_s
        stream.classes = tuple(f"class{number}" for number in range(self.scenario.traffic.classes))
        stream.on_applied = self._applied
        self.homes[number] = place
        self.streams.append(stream)

    def reports(self, on: bool) -> None:
        """Whether proxies and collectors report."""
        for coordinator in self.coordinators:
            coordinator.place.reports = on

    def show_change(self, back: bool) -> None:
        """A change before the events, to measure what it costs: a backend drains, or is ready again."""
        status = "ready" if back else "draining"
        self.batch.append(msgspec.structs.replace(self.made.backends[0], status=status))

    def rejoin(self, coordinator: RealCoordinator) -> None:
        """Its proxies come back to a coordinator that serves again."""
        for stream in self.streams:
            if self.homes[stream.number] is coordinator.place and stream.place is not coordinator.place:
                stream.move(coordinator.place)

    # The list

    def _publish_batches(self) -> Generator[tuple, int, None]:
        while True:
            yield None, 0, self.loop.now + int(self.scenario.fleet.batch_ms * MS)
            if self.batch:
                entries, self.batch = self.batch, []
                self._published(self.list.publish(entries))

    def _published(self, change: Change) -> None:
        for entry in change.entries:
            self.ever_listed.add(entry.name)
            if entry.status == "ready":
                self.spreading.pop(entry.name, None)
            elif entry.name not in self.spreading:
                self._watch_spread(entry.name)

    def _watch_spread(self, name: str) -> None:
        holders = {stream.number for stream in self.streams if holds_open(stream, name)}
        if holders:
            self.spreading[name] = Spreading(self.loop.clock(), holders, bool(self.cut_regions))

    def _applied(self, stream: ProxyStream) -> None:
        now = self.loop.clock()
        for name, spreading in list(self.spreading.items()):
            if stream.number in spreading.holders and not holds_open(stream, name):
                spreading.holders.discard(stream.number)
                if not spreading.holders:
                    del self.spreading[name]
                    (self.spread_cut if spreading.during_cut else self.spread).append(now - spreading.since)

    def list_to_watches(self) -> list[int]:
        """For each version, ns until it was written whole to the last agent's coordinators."""
        real = [coordinator.agent for coordinator in self.coordinators]
        found = []
        for change in self.list.changes:
            if all(change.index in agent.written for agent in real):
                written = [agent.written.get(change.index, 0) for agent in self.list.agents]
                found.append(max(written) - change.at)
        return found

    # What the plan does

    def perform(self, planned: Planned) -> None:
        """Does one planned thing that needs no process."""
        getattr(self, "_do_" + planned.action)(planned)

    def _do_drain(self, planned: Planned) -> None:
        self.batch += planned.entries

    def _do_crash(self, planned: Planned) -> None:
        for entry in planned.entries:
            self.backends.end(entry.name)

    def _do_remove(self, planned: Planned) -> None:
        self._do_crash(planned)
        self.batch += planned.entries

    def _do_add(self, planned: Planned) -> None:
        now = self.loop.clock()
        for entry in planned.entries:
            begun = msgspec.structs.replace(entry, since_ms=now // MS)
            self.backends.start(begun, begun.since_ms * MS)
            self.batch.append(begun)

    def _do_duplicate(self, planned: Planned) -> None:
        change = self.list.publish(list(planned.entries))
        self._published(change)
        for agent in self.list.agents:
            agent.push([change])

    def _do_reorder(self, planned: Planned) -> None:
        first, second = ([entry] for entry in planned.entries)
        earlier = self.list.publish(first, told=False)
        self._published(earlier)
        later = self.list.publish(second, told=False)
        self.backends.end(second[0].name)
        for agent in self.list.agents:
            agent.held = self.list.index
            agent.push([later, earlier])

    def _do_stall(self, planned: Planned) -> None:
        for agent in self.list.agents:
            agent.stall(self.loop.now + planned.lasting)

    def _do_end_watches(self, planned: Planned) -> None:
        for agent in self.list.agents:
            agent.end_watches()

    def _do_collectors_down(self, planned: Planned) -> None:
        for collector in self.collectors:
            collector.down = collector.down or collector.zone in planned.names

    def _do_collectors_up(self, planned: Planned) -> None:
        for collector in self.collectors:
            collector.down = collector.down and collector.zone not in planned.names

    def _do_cut(self, planned: Planned) -> None:
        self.cut_regions = set(planned.names)
        for coordinator in self.cut_coordinators():
            coordinator.agent.set_cut(True)
        for collector in self.collectors:
            collector.unreachable = {
                each.name for each in self.coordinators if self.apart(collector.region, each.place.region)
            }
        for stream in self.streams:
            region = stream.table.zone.partition("-")[0]
            if self.apart(region, stream.place.region):
                stream.move(self._inside(region, stream.place), silently=True)

    def _inside(self, region: str, other: CoordinatorPlace) -> CoordinatorPlace:
        """A coordinator that a proxy of this region can reach during the cut."""
        reached = [each.place for each in self.coordinators if not self.apart(region, each.place.region)]
        same = [place for place in reached if place.region == region]
        return self.random.choice(same or reached or [other])

    def _do_heal(self, planned: Planned) -> None:
        cut, self.cut_regions = self.cut_coordinators(), set()
        for coordinator in cut:
            coordinator.agent.set_cut(False)
        for collector in self.collectors:
            collector.unreachable = set()
        for stream in self.streams:
            stream.heal()
            home = self.homes[stream.number]
            if stream.place is not home and not home.ended:
                stream.move(home)

    def apart(self, one: str, other: str) -> bool:
        """Whether two regions are cut from each other."""
        return one != other and one in self.cut_regions and other in self.cut_regions

    def cut_coordinators(self) -> list[RealCoordinator]:
        """Those in a region that is cut off just now."""
        return [each for each in self.coordinators if each.place.region in self.cut_regions]

    def close(self) -> None:
        """Ends the proxies; the loop ends the others."""
        for stream in self.streams:
            stream.close()


def holds_open(stream: ProxyStream, name: str) -> bool:
    """Whether a proxy could still send to a backend."""
    return stream.table.table.get(name, 0) > 0 and name not in stream.table.shut
