"""The processes of hollow coordinators in a run, and the proxies that are connected to them."""

from pathlib import Path
from random import Random
from typing import Any

import msgspec

from granitespool.scale.coordinator_endpoint import ChannelQueue, CoordinatorEndpoint
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.coroutines import Wait
from granitespool.scale.environment import Environment
from granitespool.scale.fleet import expected_proxies
from granitespool.scale.hollow.counts import Traffic
from granitespool.scale.hollow.measurement import measure_profile
from granitespool.scale.hollow.process import ProcessStatus, Spec
from granitespool.scale.hollow.profile import Profile
from granitespool.scale.processes import MEGABYTE, Child, Sample, read_lines, sample, write_json
from granitespool.scale.proxy_stream import ProxyStream, RedialDelay
from granitespool.scale.recorder import Recorder
from granitespool.scale.report import HollowRow, KindTraffic
from granitespool.scale.samples import share_of
from granitespool.scale.trace import BackendListed, ProxyJoined, ProxyLeft
from granitespool.simulation.proxy_table import ProxyTable
from granitespool.units import SECOND

POLL_INTERVAL = SECOND // 20  # ns between checks whether the processes are ready
SOCKETS_PER_COORDINATOR = 8  # descriptors of one hollow coordinator: a listener, a watch, some streams
SOCKETS_BASE = 64  # further descriptors of a process


def profile_of(recorder: Recorder, coordinator: RealCoordinator, until: int) -> Profile:
    """Return the profile of what a real coordinator has written to its proxies before `until` (ns)."""
    name = coordinator.name
    events = [
        event
        for event in recorder.events
        if isinstance(event, (ProxyJoined, ProxyLeft, BackendListed)) and event.coordinator == name
    ]
    ordered = sorted([*events, *recorder.updates.get(name, ())], key=lambda event: event.at)
    return measure_profile(ordered, until)


class HollowProcess:
    """One process of hollow coordinators, as the run controls it."""

    def __init__(self, names: list[str], path: Path, agent_index: int) -> None:
        """Create the process without starting it; its spec is written to `path`."""
        self.names = names
        self.path = path
        self.agent_index = agent_index
        self.child: Child | None = None
        self.status: ProcessStatus | None = None  # the most recent status
        self.samples: list[Sample] = []
        self.endpoints: list[CoordinatorEndpoint] = []
        self.killed = False

    @property
    def ready(self) -> bool:
        """Whether all coordinators of the process have an endpoint list."""
        return self.status is not None and self.status.listed == len(self.names)

    def take_line(self, line: dict[str, Any]) -> None:
        """Evaluate a line of the process's output."""
        self.status = msgspec.convert(line, ProcessStatus)


class HollowFleet:
    """All hollow coordinators of a run; they start after a real coordinator has been measured."""

    def __init__(self, environment: Environment, folder: Path) -> None:
        """Create the processes without starting them; their specs are written to `folder`."""
        self.environment = environment
        self.scenario = environment.scenario
        self.loop = environment.loop
        coordinators = self.scenario.coordinators
        names = [f"h{number:03}" for number in range(coordinators.hollow)]
        count = coordinators.hollow_processes
        self.processes = [
            HollowProcess(names[number::count], folder / f"hollow{number}.json", number)
            for number in range(count)
        ]
        self.recorder = Recorder(self.loop.clock, traced=False)
        self.streams: list[ProxyStream] = []
        self.failures: list[str] = []

    @property
    def children(self) -> list[Child]:
        """The child processes that were started."""
        return [process.child for process in self.processes if process.child]

    def start(self, measured: RealCoordinator) -> Wait:
        """Start the processes with a real coordinator's profile; wait until all have an endpoint list."""
        profile = profile_of(
            self.environment.recorder, measured, self.loop.clock() + 1
        )  # after all that was seen
        for process in self.processes:
            self._start(process, profile)
        deadline = self.loop.now + int(self.scenario.times.ready_s * SECOND)
        while self.loop.now < deadline and not all(process.ready for process in self.processes):
            yield None, 0, self.loop.now + POLL_INTERVAL
        for process in self.processes:
            if process.ready and process.status:
                self._connect_proxies(process, process.status)
            else:
                self.failures.append(f"hollow process {process.agent_index} had no list in time")

    def _start(self, process: HollowProcess, profile: Profile) -> None:
        agent = self.environment.hollow_agents[process.agent_index]
        spec = Spec(names=process.names, discovery=agent.listener_address, profile=profile)
        write_json(process.path, msgspec.to_builtins(spec))
        command = ["-m", "granitespool.scale.hollow.process", str(process.path)]
        process.child = Child(command, None, SOCKETS_BASE + SOCKETS_PER_COORDINATOR * len(process.names))
        self.loop.spawn(read_lines(process.child, process.take_line))

    def _connect_proxies(self, process: HollowProcess, status: ProcessStatus) -> None:
        process.samples.clear()  # the cost of the start is not the cost of operation
        for name, address in zip(process.names, status.addresses, strict=True):
            channel = ChannelQueue(self.recorder, name, self.scenario.channel)
            endpoint = CoordinatorEndpoint(self.recorder, name, self.scenario.zones[0], address, channel)
            process.endpoints.append(endpoint)
            self._make_proxies(endpoint)
        endpoints = [endpoint for process in self.processes for endpoint in process.endpoints]
        for endpoint in endpoints:
            endpoint.others = endpoints

    def _make_proxies(self, endpoint: CoordinatorEndpoint) -> None:
        scenario, environment = self.scenario, self.environment
        for _ in range(scenario.proxies.per_hollow):
            # The proxies of real coordinators are numbered from 0 up
            number = expected_proxies(scenario) - 1 - len(self.streams)
            table = ProxyTable(number, scenario.zones[number % len(scenario.zones)], {})
            random = Random(f"{scenario.scale.seed} proxy {number}")
            redial = RedialDelay.of(scenario.proxies)
            stream = ProxyStream(
                self.loop, self.recorder, table, endpoint, environment.ever_listed, random, redial
            )
            stream.rate = scenario.traffic.proxy_requests_per_s
            self.streams.append(stream)

    def kill_one(self) -> None:
        """Kill the last process; its proxies move to the coordinators of the other processes."""
        process = self.processes[-1]
        assert process.child is not None
        process.killed = True
        process.child.process.kill()
        for endpoint in process.endpoints:
            endpoint.down = True

    def take_samples(self) -> None:
        """Record the resource usage of the processes."""
        for process in self.processes:
            if not process.child or process.killed:
                continue
            if process.child.exited:
                process.killed = True
                self.failures.append(f"hollow process {process.agent_index} ended by itself")
            elif found := sample(process.child.pid, self.loop.clock()):
                process.samples.append(found)

    def check(self) -> None:
        """Record closed watches and streams at the end of a run, before the processes are stopped."""
        for process in self.processes:
            if process.status is not None:
                self._check_process(process, process.status)
        unserved = sum(not stream.joined for stream in self.streams)
        if unserved and len(self.processes) > 1:
            self.failures.append(f"{unserved} proxies of hollow coordinators have no stream")

    def _check_process(self, process: HollowProcess, status: ProcessStatus) -> None:
        watches = len(self.environment.hollow_agents[process.agent_index].watches)
        if not process.killed and watches < len(process.names):
            self.failures.append(f"only {watches} of {len(process.names)} hollow watches are open")
        if status.failures:
            self.failures.append(f"hollow process {process.agent_index}: {status.failures} failures")

    def close(self) -> None:
        """Stop the proxies; the run stops the processes."""
        for stream in self.streams:
            stream.close()

    def row(self) -> HollowRow:
        """Return the report's row on the hollow coordinators."""
        shares = [
            share_of(process.samples[0], process.samples[-1]) for process in self.processes if process.samples
        ]
        known_shares = [share for share in shares if share is not None]
        resident = sum(
            max((used.resident for used in process.samples), default=0) for process in self.processes
        )
        return HollowRow(
            coordinators=self.scenario.coordinators.hollow,
            processes=len(self.processes),
            resident_mb=round(resident / MEGABYTE, 1),
            share=round(sum(known_shares), 4) if known_shares else None,
            connected=sum(len(agent.watches) for agent in self.environment.hollow_agents),
            streams=sum(stream.joined for stream in self.streams),
            traffic=self._traffic(),
        )

    def _traffic(self) -> dict[str, KindTraffic]:
        """Return the messages and bytes of all processes, by direction and kind."""
        sums: dict[str, Traffic] = {}
        for process in self.processes:
            if process.status is not None:
                for kind, traffic in process.status.traffic.items():
                    sums.setdefault(kind, Traffic()).add_all(traffic)
        return {
            kind: KindTraffic(messages=traffic.messages, bytes=traffic.bytes)
            for kind, traffic in sorted(sums.items())
        }
