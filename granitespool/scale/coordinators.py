"""A real coordinator: a process of `granitespool serve`, its configuration, and queries to it."""

import signal
import socket
from pathlib import Path
from typing import Any

from granitespool.net.client import dial, receive, send
from granitespool.net.frames import LENGTH_SIZE
from granitespool.net.loop import Loop
from granitespool.scale import fleet
from granitespool.scale.coordinator_endpoint import CoordinatorEndpoint
from granitespool.scale.coordinator_log import CoordinatorLog
from granitespool.scale.coroutines import Wait
from granitespool.scale.discovery import DiscoveryAgent, KnownList, as_row
from granitespool.scale.fleet import ListedBackend
from granitespool.scale.processes import Child, Sample, read_lines, sample, write_json
from granitespool.scale.queries import ping, proxy_allowed, settings_query
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Scenario
from granitespool.scale.trace import CoordinatorEnded, CoordinatorStarted
from granitespool.units import SECOND

ANSWER_TIMEOUT = 2 * SECOND  # ns until the answer to a query has to be received
EXIT_TIMEOUT = 5 * SECOND  # ns from a signal until the process is stopped by force
POLL_INTERVAL = SECOND // 100  # ns between checks of a process


class RealCoordinator:
    """A coordinator of the run; its process may be stopped and started again at the same address."""

    def __init__(
        self,
        loop: Loop,
        recorder: Recorder,
        scenario: Scenario,
        endpoint: CoordinatorEndpoint,
        agent: DiscoveryAgent,
        index: int,
        folder: Path,
    ) -> None:
        """Create the coordinator; `agent` is its discovery agent, `folder` is for its configuration file."""
        self.loop = loop
        self.recorder = recorder
        self.scenario = scenario
        self.endpoint = endpoint
        self.agent = agent
        self.index = index
        self.path = folder / f"{endpoint.name}.json"
        self.child: Child | None = None
        self.log = CoordinatorLog(endpoint.name)
        self.written_version = 0  # version of the settings in the configuration file
        self.applied_version = 0  # newest settings version observed as active
        self.known = KnownList(0, [])  # endpoint list that it was last started with
        self.older_settings = 0  # queries that found older settings than an earlier one
        self.samples: list[Sample] = []  # resource usage of all its processes
        self.ready_times: list[int] = []  # ns from each start to the first answer
        self.exit_codes: list[int] = []
        self._starting = False  # whether the process has not answered yet

    @property
    def name(self) -> str:
        """The coordinator's name."""
        return self.endpoint.name

    @property
    def serves(self) -> bool:
        """Whether the process runs and is ready."""
        return not self.endpoint.down and self.child is not None and not self.child.exited

    @property
    def is_starting(self) -> bool:
        """Whether the process was started and has not answered yet."""
        return self._starting and self.child is not None and not self.child.exited

    def write_configuration(self, version: int, valid: bool = True) -> None:
        """Write the configuration file; an invalid file lacks the required settings."""
        configuration = self._configuration(version)
        if valid:
            self.written_version = version
        else:
            del configuration["settings"]
        write_json(self.path, configuration)

    def _configuration(self, version: int) -> dict[str, Any]:
        coordinators = self.scenario.coordinators
        host, port = self.endpoint.address
        agent_host, agent_port = self.agent.listener_address
        return {
            "name": self.name,
            "listen": f"{host}:{port}",
            "discovery": f"{agent_host}:{agent_port}",
            "seed": f"{self.scenario.scale.seed + self.index + 1:x}",
            "limits": {"memory_mb": coordinators.memory_mb, "sockets": coordinators.sockets},
            "known": {
                "index": self.known.version,
                "snapshot": True,
                "endpoints": [as_row(entry) for entry in self.known.entries],
            },
            "settings": fleet.settings(self.scenario, self.endpoint.zone, self.index, version),
        }

    def start(self, entries: list[ListedBackend]) -> Wait:
        """Start the process and wait until it is ready; return whether that was before the timeout."""
        if not self.ready_times or self.scenario.coordinators.known == "current":
            self.known = KnownList(self.agent.list_index, entries)
        self.write_configuration(self.written_version)
        self.agent.record_initial_list(self.known)
        coordinators = self.scenario.coordinators
        command = ["-m", "granitespool", "serve", "--config", str(self.path)]
        started_at = self.loop.clock()
        self.log.list_index = self.known.version
        self.endpoint.channel.clear(started_at)
        self.child = Child(command, coordinators.memory_mb, coordinators.sockets)
        self._starting = True
        version = self.written_version
        self.loop.spawn(read_lines(self.child, self.log.add_line))
        deadline = started_at + int(self.scenario.times.ready_s * SECOND)
        while self.loop.now < deadline and not self.child.exited:
            if (yield from self.request(ping())):
                self._record_ready(started_at, version)
                return True
            yield None, 0, self.loop.now + POLL_INTERVAL
        return False

    def _record_ready(self, started_at: int, version: int) -> None:
        self._starting = False
        now = self.loop.clock()
        self.ready_times.append(now - started_at)
        self.recorder.add(CoordinatorStarted(at=now, coordinator=self.name))
        self.endpoint.down = False
        self.applied_version = version

    def request(self, message: bytes) -> Wait:
        """Send a message on a new connection and return the answer; b"" if none was received."""
        try:
            answer = yield from self._request(message)
        except OSError:
            answer = b""
        yield None, 0, self.loop.now  # close this descriptor before the next is opened
        return answer

    def _request(self, message: bytes) -> Wait:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
            deadline = self.loop.now + ANSWER_TIMEOUT
            yield from dial(sock, self.endpoint.address, deadline)
            yield from send(sock, message, deadline)
            answer = b""
            while not _is_complete(answer):
                data = yield from receive(sock, deadline)
                if not data:
                    return b""
                answer += data
            self.recorder.count(self.name, "in", "question", len(message))
            self.recorder.count(self.name, "out", "answer", len(answer))
            return answer

    def has_settings(self, version: int) -> Wait:
        """Return whether settings of this version or a later one are active; None without an answer."""
        if version < 1:
            return True
        answer = yield from self.request(settings_query(fleet.expected_proxies(self.scenario) + version - 1))
        if not answer:
            return None
        allowed = proxy_allowed(answer)
        if allowed:
            self.applied_version = max(self.applied_version, version)
        elif version <= self.applied_version:
            self.older_settings += 1
        return allowed

    def reload(self) -> None:
        """Send SIGHUP, so that the process reads its configuration again."""
        assert self.child is not None
        self.child.signal(signal.SIGHUP)

    def stop(self, signal_number: signal.Signals) -> None:
        """Send the signal that stops the process; its proxies connect elsewhere from then on."""
        assert self.child is not None
        self.endpoint.down = True
        self.recorder.add(CoordinatorEnded(at=self.loop.clock(), coordinator=self.name))
        self.child.signal(signal_number)

    def wait_for_exit(self) -> Wait:
        """Wait until the process has exited; stop it after EXIT_TIMEOUT."""
        assert self.child is not None
        deadline = self.loop.now + EXIT_TIMEOUT
        while not self.child.exited and self.loop.now < deadline:
            yield None, 0, self.loop.now + POLL_INTERVAL
        self.exit_codes.append(self.child.close())

    def take_sample(self) -> None:
        """Record the resource usage of the process."""
        current = sample(self.child.pid, self.loop.clock()) if self.child else None
        if current:
            self.samples.append(current)


def _is_complete(frame: bytes) -> bool:
    """Return whether a frame is complete."""
    return len(frame) >= LENGTH_SIZE and len(frame) >= LENGTH_SIZE + int.from_bytes(
        frame[:LENGTH_SIZE], "little"
    )
