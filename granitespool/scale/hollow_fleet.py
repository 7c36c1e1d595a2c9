"""The processes of hollow coordinators in a run, and the proxies that keep streams to them."""

from collections.abc import Generator
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from granitespool.emulator.world import Proxy
from granitespool.net.loop import SECOND
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.fleet import MS, proxy_base
from granitespool.scale.hollow import Profile, Traffic
from granitespool.scale.hollow_process import Spec, Told
from granitespool.scale.processes import MEGABYTE, Child, Sample, lines_of, sample, write_json
from granitespool.scale.proxies import ChannelQueue, CoordinatorPlace, ProxyStream
from granitespool.scale.recorder import Recorder
from granitespool.scale.report import HollowRow, KindTraffic, share_between
from granitespool.scale.trace import BackendTold, ProxyJoined, ProxyLeft
from granitespool.scale.world import World

LOOK = SECOND // 20  # ns between two looks
SOCKETS_EACH = 8  # descriptors of one hollow coordinator: its listener, its watch, some streams
SOCKETS_BASE = 64

Wait = Generator[tuple[int | None, int, int | None], int, Any]


def profile_of(recorder: Recorder, coordinator: RealCoordinator, until: int) -> Profile:
    """What a real coordinator has written to its proxies up to a time (ns)."""
    name = coordinator.name
    events = [
        event
        for event in recorder.events
        if isinstance(event, (ProxyJoined, ProxyLeft, BackendTold)) and event.coordinator == name
    ]
    both = sorted([*events, *recorder.updates.get(name, ())], key=lambda event: event.at)
    return Profile.measured(both, until)


class HollowProcess:
    """One process of hollow coordinators, as its parent sees it."""

    def __init__(self, names: list[str], path: Path, agent_index: int) -> None:
        self.names, self.path, self.agent_index = names, path, agent_index
        self.child: Child | None = None
        self.told: Told | None = None
        self.samples: list[Sample] = []
        self.places: list[CoordinatorPlace] = []
        self.killed = False

    def hear(self, line: dict[str, Any]) -> None:
        """Takes a line of its output."""
        self.told = msgspec.convert(line, Told)


class HollowFleet:
    """All hollow coordinators; they are started once a real one was measured."""

    def __init__(self, world: World, folder: Path) -> None:
        self.world = world
        coordinators = world.scenario.coordinators
        names = [f"h{number:03}" for number in range(coordinators.hollow)]
        count = coordinators.hollow_processes
        self.processes = [
            HollowProcess(names[number::count], folder / f"hollow{number}.json", number)
            for number in range(count)
        ]
        self.recorder = Recorder(world.loop.clock, traced=False)
        self.streams: list[ProxyStream] = []
        self.failures: list[str] = []

    @property
    def children(self) -> list[Child]:
        """The processes that were started."""
        return [each.child for each in self.processes if each.child]

    def start(self, measured: RealCoordinator) -> Wait:
        """Starts them with the profile of a real coordinator, and waits until all hold a list."""
        loop, times = self.world.loop, self.world.scenario.times
        profile = profile_of(self.world.recorder, measured, loop.clock() + 1)  # after all that was seen
        for process in self.processes:
            self._start(process, profile)
        until = loop.now + int(times.ready_s * SECOND)
        while loop.now < until and not all(
            each.told and each.told.listed == len(each.names) for each in self.processes
        ):
            yield None, 0, loop.now + LOOK
        for process in self.processes:
            if not process.told or process.told.listed < len(process.names):
                self.failures.append(f"hollow process {process.agent_index} had no list in time")
            else:
                self._join(process)

    def _start(self, process: HollowProcess, profile: Profile) -> None:
        agent = self.world.hollow_agents[process.agent_index]
        spec = Spec(names=process.names, discovery=agent.listener_address, profile=profile)
        write_json(process.path, msgspec.to_builtins(spec))
        command = ["-m", "granitespool.scale.hollow_process", str(process.path)]
        process.child = Child(command, None, SOCKETS_BASE + SOCKETS_EACH * len(process.names))
        self.world.loop.spawn(lines_of(self.world.loop, process.child, process.hear))

    def _join(self, process: HollowProcess) -> None:
        process.samples.clear()  # what the start took is not what it costs
        channel = self.world.scenario.channel
        for name, address in zip(process.names, process.told.addresses):
            queue = ChannelQueue(
                self.recorder, name, channel.lines_per_s, channel.head_lines, int(channel.delay_ms * MS)
            )
            place = CoordinatorPlace(self.recorder, name, self.world.scenario.zones[0], address, queue)
            process.places.append(place)
            self._proxies(place)
        everyone = [place for each in self.processes for place in each.places]
        for place in everyone:
            place.others = everyone

    def _proxies(self, place: CoordinatorPlace) -> None:
        world = self.world
        for _ in range(world.scenario.proxies.per_hollow):
            number = proxy_base(world.scenario) - 1 - len(self.streams)  # real ones' proxies count from 0
            table = Proxy(number, world.scenario.zones[number % len(world.scenario.zones)], {})
            random = Random(f"{world.scenario.scale.seed} proxy {number}")
            stream = ProxyStream(world.loop, self.recorder, table, place, world.ever_listed, random)
            stream.rate = world.scenario.traffic.proxy_requests_per_s
            self.streams.append(stream)

    def kill_one(self) -> None:
        """The last process dies at once; its proxies go to the coordinators of the others."""
        process = self.processes[-1]
        process.killed = True
        process.child.process.kill()
        for place in process.places:
            place.ended = True

    def take_samples(self) -> None:
        """Notes what the processes have used."""
        for process in self.processes:
            if not process.child or process.killed:
                continue
            if process.child.ended:
                process.killed = True
                self.failures.append(f"hollow process {process.agent_index} ended by itself")
            elif found := sample(process.child.pid, self.world.loop.clock()):
                process.samples.append(found)

    def check(self) -> None:
        """Notes what is not as it should be at the end of a run, before the processes are ended."""
        for process in self.processes:
            watches = len(self.world.hollow_agents[process.agent_index].watches)
            if not process.killed and process.told and watches < len(process.names):
                self.failures.append(f"only {watches} of {len(process.names)} hollow watches are open")
            if process.told and process.told.failures:
                self.failures.append(
                    f"hollow process {process.agent_index}: {process.told.failures} failures"
                )
        unserved = sum(not stream.joined for stream in self.streams)
        if unserved and len(self.processes) > 1:
            self.failures.append(f"{unserved} proxies of hollow coordinators have no stream")

    def close(self) -> None:
        """Ends the proxies; the processes are ended with the others."""
        for stream in self.streams:
            stream.close()

    def row(self) -> HollowRow:
        """Their part of the report."""
        traffic: dict[str, Traffic] = {}
        for process in self.processes:
            for kind, each in process.told.traffic.items() if process.told else ():
                both = traffic.setdefault(kind, Traffic())
                both.messages += each.messages
                both.bytes += each.bytes
        shares = [
            share_between(first.at, last.at, last.processor - first.processor)
            for first, last in (
                (each.samples[0], each.samples[-1]) for each in self.processes if each.samples
            )
        ]
        known = [share for share in shares if share is not None]
        resident = sum(max((s.resident for s in each.samples), default=0) for each in self.processes)
        return HollowRow(
            coordinators=self.world.scenario.coordinators.hollow,
            processes=len(self.processes),
            resident_mb=round(resident / MEGABYTE, 1),
            share=round(sum(known), 4) if known else None,
            connected=sum(len(agent.watches) for agent in self.world.hollow_agents),
            streams=sum(stream.joined for stream in self.streams),
            traffic={
                kind: KindTraffic(messages=each.messages, bytes=each.bytes)
                for kind, each in sorted(traffic.items())
            },
        )
