"""A real coordinator: a process of `granitespool serve`, its configuration, its log, and questions to it."""

import signal
import socket
from collections import Counter
from collections.abc import Generator
from pathlib import Path
from typing import Any

import msgspec

from granitespool.net.client import dial, receive, send
from granitespool.net.frames import HEAD
from granitespool.net.loop import SECOND, Loop
from granitespool.scale import fleet
from granitespool.scale.discovery import Agent, as_row
from granitespool.scale.fleet import MS, ListedBackend
from granitespool.scale.processes import Child, Sample, lines_of, sample, write_json
from granitespool.scale.proxies import CoordinatorPlace, number_allowed, ping, settings_question
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Scenario
from granitespool.scale.trace import CoordinatorEnded, CoordinatorStarted

ASK_LIMIT = 2 * SECOND  # ns that an answer is waited for
AGAIN = SECOND // 100  # ns between two looks
LOGGED_FAULTS = (  # log events that tell of a fault around it, which it has met
    "watch_ended",
    "stale_endpoint_list",
    "endpoint_skipped",
    "reload_rejected",
    "unreachable",
    "evicted",
    "message_dropped",
    "log_dropped",
)
LOGGED_TROUBLE = "task_failed", "internal_error"  # log events that tell of a fault of the program

Wait = Generator[tuple[int | None, int, int | None], int, Any]


class Reloaded(msgspec.Struct, frozen=True):
    """A line of the log that answers a SIGHUP."""

    at: int  # ns
    refused: bool


class RealCoordinator:
    """One process at a time; it may be ended and started again at the same address."""

    def __init__(
        self,
        loop: Loop,
        recorder: Recorder,
        scenario: Scenario,
        place: CoordinatorPlace,
        agent: Agent,
        index: int,
        folder: Path,
    ) -> None:
        self.loop, self.recorder, self.scenario = loop, recorder, scenario
        self.place, self.agent, self.index = place, agent, index
        self.path = folder / f"{place.name}.json"
        self.child: Child | None = None
        self.version = 0  # of the settings in its file
        self.in_force = 0  # newest version of the settings that it was seen to have
        self.reloads: list[Reloaded] = []
        self.samples: list[Sample] = []  # of all its processes
        self.ready_times: list[int] = []  # ns from each start to the first answer
        self.exit_codes: list[int] = []
        self.list_index = 0  # version of the list that its log told last
        self.older_lists = self.older_settings = self.probes = 0
        self.log_lines = 0  # since the measuring began
        self.faults: list[str] = []
        self.log_events: Counter[str] = Counter()

    @property
    def name(self) -> str:
        """The coordinator's name."""
        return self.place.name

    @property
    def serves(self) -> bool:
        """Whether its process runs and has answered."""
        return not self.place.ended and self.child is not None and not self.child.ended

    def write(self, version: int, bad: bool = False) -> None:
        """Writes its configuration; a bad one lacks what every configuration must have."""
        where = "{}:{}".format(*self.place.address)
        entries = list(self.agent.list.entries.values())
        configuration = {
            "name": self.name,
            "listen": where,
            "discovery": "{}:{}".format(*self.agent.listener_address),
            "seed": f"{self.scenario.scale.seed + self.index + 1:x}",
            "limits": {
                "memory_mb": self.scenario.coordinators.memory_mb,
                "sockets": self.scenario.coordinators.sockets,
            },
            "known": {
                "index": self.agent.held,
                "snapshot": True,
                "endpoints": [as_row(entry) for entry in entries],
            },
            "settings": fleet.settings(self.scenario, self.place.zone, self.index, version),
        }
        if bad:
            del configuration["settings"]
        else:
            self.version = version
        write_json(self.path, configuration)

    def start(self, entries: list[ListedBackend]) -> Wait:
        """Starts its process and waits until it is ready; True where it was in time."""
        self.write(self.version)
        self.agent.tell_first(entries)
        coordinators = self.scenario.coordinators
        command = ["-m", "granitespool", "serve", "--config", str(self.path)]
        began = self.loop.clock()
        self.list_index = self.agent.held
        self.child = Child(command, coordinators.memory_mb, coordinators.sockets)
        self.loop.spawn(lines_of(self.loop, self.child, self._logged))
        until = began + int(self.scenario.times.ready_s * SECOND)
        while self.loop.now < until and not self.child.ended:
            if (yield from self.ask(ping())):
                self.ready_times.append(self.loop.clock() - began)
                self.recorder.add(CoordinatorStarted(at=self.loop.clock(), coordinator=self.name))
                self.place.ended = False
                self.in_force = self.version
                return True
            yield None, 0, self.loop.now + AGAIN
        return False

    def ask(self, question: bytes) -> Wait:
        """The answer to one message on a connection of its own; b"" where none came."""
        try:
            answer = yield from self._answer(question)
        except OSError:
            answer = b""
        yield None, 0, self.loop.now  # the descriptor is closed before another is opened
        return answer

    def _answer(self, question: bytes) -> Wait:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
            until = self.loop.now + ASK_LIMIT
            yield from dial(sock, self.place.address, until)
            yield from send(sock, question, until)
            answer = b""
            while len(answer) < HEAD or len(answer) < HEAD + int.from_bytes(answer[:HEAD], "little"):
                data = yield from receive(sock, until)
                if not data:
                    return b""
                answer += data
            self.recorder.count(self.name, "in", "question", len(question))
            self.recorder.count(self.name, "out", "answer", len(answer))
            return answer

    def has_settings(self, version: int) -> Wait:
        """Whether settings of this version or a later one are in force; None where no answer came."""
        if version < 1:
            return True
        answer = yield from self.ask(settings_question(fleet.proxy_base(self.scenario) + version - 1))
        if not answer:
            return None
        allowed = number_allowed(answer)
        if allowed:
            self.in_force = max(self.in_force, version)
        elif version <= self.in_force:
            self.older_settings += 1
        return allowed

    def hang_up(self) -> None:
        """SIGHUP: its configuration is to be read anew."""
        self.child.signal(signal.SIGHUP)

    def end(self, number: signal.Signals) -> None:
        """Sends the signal that ends it; its proxies go elsewhere from then on."""
        self.place.ended = True
        self.recorder.add(CoordinatorEnded(at=self.loop.clock(), coordinator=self.name))
        self.child.signal(number)

    def ended(self) -> Wait:
        """Waits until its process has ended."""
        until = self.loop.now + 5 * SECOND
        while not self.child.ended and self.loop.now < until:
            yield None, 0, self.loop.now + AGAIN
        self.exit_codes.append(self.child.close())

    def take_sample(self) -> None:
        """Notes what its process has used."""
        found = sample(self.child.pid, self.loop.clock()) if self.child else None
        if found:
            self.samples.append(found)

    def _logged(self, line: dict[str, Any]) -> None:
        self.log_lines += 1
        event = line.get("event")
        if event in LOGGED_FAULTS:
            self.log_events[event] += 1
        if event in ("reloaded", "reload_rejected"):
            self.reloads.append(Reloaded(line["at_ms"] * MS, event == "reload_rejected"))
        elif event == "endpoint_list":
            if line["index"] < self.list_index:
                self.older_lists += 1
            self.list_index = line["index"]
        elif event == "health_check":
            self.probes += 1
        elif event in LOGGED_TROUBLE:
            self.faults.append(f"{self.name} logged {event}: {str(line)[-400:]}")
