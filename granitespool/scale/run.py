"""One run of a scenario: it starts the processes, goes through the phases, measures, and stops everything."""

import os
import secrets
import socket
import tempfile
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

from granitespool.errors import InvalidInputError
from granitespool.net.loop import Loop
from granitespool.scale.coroutines import Wait
from granitespool.scale.environment import Environment
from granitespool.scale.events import EventPlayer
from granitespool.scale.fleet import GeneratedFleet, Network
from granitespool.scale.hollow_fleet import HollowFleet
from granitespool.scale.plan import Plan, plan_digest
from granitespool.scale.processes import close_all
from granitespool.scale.recorder import TrafficKey
from granitespool.scale.report import HollowRow
from granitespool.scale.samples import Span
from granitespool.scale.schema import Scenario
from granitespool.scale.signals import exit_on_signals
from granitespool.scale.size_check import check_size
from granitespool.units import SECOND

NETWORKS = range(64, 254)  # a run picks the second byte of its loopback network from these at random
TIMEOUT_MARGIN = 60 * SECOND  # ns beyond the planned time after which a run is aborted
FAILURES_LIMIT = 50  # failures after which a run is aborted
CONCURRENT_STARTS = 4  # coordinators expected to start within one start timeout

RESERVATION_PORT = 7399  # listened on at the first address of a network while a run uses it

Progress = Callable[[str], None]


def reserve_network() -> tuple[socket.socket, Network]:
    """Return a network that no other run uses, and the socket that reserves it until it is closed.

    Raises:
        InvalidInputError: All networks are in use.

    """
    for number in Random(secrets.randbits(64)).sample(NETWORKS, len(NETWORKS)):
        with suppress(OSError):
            return socket.create_server((f"127.{number}.0.1", RESERVATION_PORT)), Network(number)
    raise InvalidInputError(f"all {len(NETWORKS)} loopback networks are in use by other runs")


class Run:
    """One run of a scenario; `play` executes it, stops all its processes and keeps the measurements."""

    def __init__(self, scenario: Scenario, progress: Progress) -> None:
        """Plan the events.

        Raises:
            InvalidInputError: The scenario needs too many processes or too much memory.

        """
        check_size(scenario)
        self.scenario = scenario
        self.progress = progress
        self.failures: list[str] = []
        self.loop = Loop(self._coroutine_failed)
        self.load_before = os.getloadavg()[0]
        self._reservation, self.network = reserve_network()
        self.fleet = GeneratedFleet(scenario, self.network, Random(scenario.scale.seed))
        self.plan = Plan(scenario, self.fleet, Random(scenario.scale.seed)).planned
        self.digest = plan_digest(self.plan)
        self.environment: Environment
        self.events: EventPlayer
        self.hollow: HollowFleet | None = None
        self.hollow_row: HollowRow | None = None  # taken before the processes were stopped
        self.idle_span = Span()
        self.reports_span = Span()
        self.measured_span = Span()
        self.bytes_before: Counter[TrafficKey] = Counter()  # bytes sent before the measurement began
        self._started = False
        self._done = False

    def play(self) -> None:
        """Run the scenario to its end."""
        with tempfile.TemporaryDirectory(prefix="granitespool-scale-") as folder, exit_on_signals():
            try:
                self._start(Path(folder))
                self.loop.run(lambda _: None)
                self.hollow_row = self.hollow.row() if self.hollow else None
            finally:
                self._close()

    def _start(self, folder: Path) -> None:
        self.environment = Environment(self.scenario, self.fleet, self.network, self.loop, folder)
        self._started = True
        if self.scenario.coordinators.hollow:
            self.hollow = HollowFleet(self.environment, folder)
        self.events = EventPlayer(self.loop, self.environment, self.hollow, self.failures)
        self.loop.spawn(self._timeline())
        self.loop.spawn(self._stop_after_timeout())

    def _coroutine_failed(self, error: Exception) -> None:
        self.failures.append(f"a stand-in failed: {error!r:.200}")
        if len(self.failures) > FAILURES_LIMIT:
            self.loop.stop()

    def _close(self) -> None:
        self._reservation.close()
        hollow = self.hollow.children if self.hollow else []
        if not self._started:
            self.loop.close()
            return
        real = [coordinator.child for coordinator in self.environment.coordinators if coordinator.child]
        close_all([*real, *hollow])
        self._record_exit_codes()
        self.environment.close()
        if self.hollow:
            self.hollow.close()
        self.loop.close()

    def _record_exit_codes(self) -> None:
        for coordinator in self.environment.coordinators:
            if coordinator.child:
                code = coordinator.child.process.returncode
                coordinator.exit_codes.append(code)
                if code and not coordinator.endpoint.down:
                    self.failures.append(f"{coordinator.name} exited with code {code}")

    # Phases

    def _stop_after_timeout(self) -> Wait:
        """Abort the run if it takes much longer than planned."""
        times = self.scenario.times
        seconds = times.warm_s + times.idle_s + times.reports_s + times.events_s + times.settle_s
        starts = times.ready_s * (1 + self.scenario.coordinators.real / CONCURRENT_STARTS)
        last = self.plan[-1].at if self.plan else 0
        yield None, 0, self.loop.now + int((seconds + starts) * SECOND) + last + TIMEOUT_MARGIN
        if not self._done:
            self.failures.append("the run did not end within its time limit")
            self.loop.stop()

    def _timeline(self) -> Wait:
        try:
            yield from self._phases()
        except InvalidInputError as error:
            self.failures.append(str(error))
        finally:
            self._done = True
            self.loop.stop()

    def _phases(self) -> Wait:
        times = self.scenario.times
        yield from self._start_coordinators()
        self.loop.spawn(self._take_samples())
        yield from self._sleep(times.warm_s)
        self._begin_measuring()
        self.progress("idle")
        yield from self._measure_span(self.idle_span, times.idle_s)
        self.environment.send_reports(True)
        self.progress("reports")
        yield from self._measure_reports()
        if self.hollow:
            yield from self._start_hollow(self.hollow)
        self.progress("events")
        self.loop.spawn(self._watch_settings())
        yield from self.events.play(self.plan, int(times.events_s * SECOND))
        yield from self._sleep(times.settle_s)
        yield from self._check_end()
        self.measured_span.end = self.loop.clock()

    def _begin_measuring(self) -> None:
        self.measured_span.begin = self.loop.clock()
        self.bytes_before = Counter(self.environment.recorder.bytes)
        for coordinator in self.environment.coordinators:
            coordinator.log.lines = 0

    def _measure_reports(self) -> Wait:
        if self.hollow:
            self.environment.change_one_backend(ready=False)
        yield from self._measure_span(self.reports_span, self.scenario.times.reports_s)

    def _start_hollow(self, hollow: HollowFleet) -> Wait:
        self.progress("hollow coordinators")
        self.environment.change_one_backend(ready=True)
        yield from self._sleep(1)
        yield from hollow.start(self.environment.coordinators[0])

    def _sleep(self, seconds: float) -> Wait:
        wake_at = self.loop.now + int(seconds * SECOND)
        while self.loop.now < wake_at:
            yield None, 0, wake_at

    def _measure_span(self, span: Span, seconds: float) -> Wait:
        self._take_sample()
        span.begin = self.loop.clock()
        yield from self._sleep(seconds)
        self._take_sample()
        span.end = self.loop.clock()

    def _start_coordinators(self) -> Wait:
        for coordinator in self.environment.coordinators:
            entries = list(self.environment.list.entries.values())
            ready = yield from coordinator.start(entries)
            if not ready:
                raise InvalidInputError(
                    f"{coordinator.name} was not ready within {self.scenario.times.ready_s:g} s"
                )
            self.progress(f"{coordinator.name} is ready")
        for coordinator in self.environment.coordinators:
            self.environment.join_proxies(coordinator)

    # Sampling and checks

    def _take_samples(self) -> Wait:
        due = self.loop.now
        while True:
            self._take_sample()
            due += SECOND
            yield None, 0, due

    def _take_sample(self) -> None:
        for coordinator in self.environment.coordinators:
            coordinator.take_sample()
            child = coordinator.child
            if child and child.exited and not coordinator.endpoint.down:
                code = child.process.returncode
                self.failures.append(f"{coordinator.name} exited unexpectedly with code {code}")
                coordinator.endpoint.down = True
        if self.hollow:
            self.hollow.take_samples()

    def _watch_settings(self) -> Wait:
        """Check every second that no coordinator has returned to older settings."""
        while True:
            yield from self._sleep(1)
            for coordinator in self.environment.coordinators:
                if coordinator.serves:
                    yield from coordinator.has_settings(coordinator.applied_version)

    def _check_end(self) -> Wait:
        """Record which coordinators lack the newest settings or the newest endpoint list at the end."""
        newest = self.environment.list.index
        for coordinator in self.environment.coordinators:
            if not coordinator.serves:
                continue
            applied = yield from coordinator.has_settings(self.events.settings.version)
            if applied is not True:
                self.failures.append(f"{coordinator.name} lacks the newest settings at the end")
            index = coordinator.log.list_index
            if index < newest:
                self.failures.append(
                    f"{coordinator.name} has version {index} of the endpoint list at the end, not {newest}"
                )
        if self.hollow:
            self.hollow.check()
