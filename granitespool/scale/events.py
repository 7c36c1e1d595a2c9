"""Executes the planned events of a run, each at its time."""

import signal
from collections.abc import Callable, Sequence

from granitespool.net.loop import Loop
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.coroutines import Wait
from granitespool.scale.cut_recovery import CutRecovery
from granitespool.scale.environment import Environment
from granitespool.scale.faults import FaultInjector
from granitespool.scale.hollow_fleet import HollowFleet
from granitespool.scale.plan import Action, PlannedEvent
from granitespool.scale.settings_changes import SettingsChanges
from granitespool.units import SECOND

POLL_INTERVAL = SECOND // 10  # ns between checks whether restarts have finished


class EventPlayer:
    """Executes planned events on processes; passes those on stand-ins to a `FaultInjector`."""

    def __init__(
        self, loop: Loop, environment: Environment, hollow: HollowFleet | None, failures: list[str]
    ) -> None:
        """Create the player; failures of the run are appended to `failures`."""
        self.loop = loop
        self.environment = environment
        self.hollow = hollow
        self.failures = failures
        self.faults = FaultInjector(environment)
        self.settings = SettingsChanges(loop, environment, failures)
        self.cuts = CutRecovery(loop, environment, self.faults, self.settings, failures)
        self.ready_times: list[int] = []  # ns of each restart until the first answer
        self._restarting = 0  # coordinators whose restart has not finished
        self._actions: dict[Action, Callable[[PlannedEvent], Wait]] = {
            "configure": self._configure,
            "configure_badly": self._configure_badly,
            "kill": self._kill,
            "terminate": self._terminate,
            "start": self._start,
            "kill_hollow": self._kill_hollow,
            "heal": self.cuts.heal,
        }

    def play(self, plan: Sequence[PlannedEvent], duration: int) -> Wait:
        """Execute the events; wait until `duration` ns have passed and all restarts have finished."""
        begin = self.loop.now
        for planned in plan:
            yield from self._sleep_until(begin + planned.at)
            action = self._actions.get(planned.action)
            if action is None:
                self.faults.perform(planned)
            else:
                yield from action(planned)
        yield from self._sleep_until(begin + duration)
        while self._restarting:
            yield from self._sleep_until(self.loop.now + POLL_INTERVAL)

    def _sleep_until(self, at: int) -> Wait:
        while self.loop.now < at:
            yield None, 0, at

    # Events on processes

    def _configure(self, _: PlannedEvent) -> Wait:
        yield from self.settings.change(valid=True)

    def _configure_badly(self, _: PlannedEvent) -> Wait:
        yield from self.settings.change(valid=False)

    def _kill(self, planned: PlannedEvent) -> Wait:
        yield from self._stop(planned, signal.SIGKILL)

    def _terminate(self, planned: PlannedEvent) -> Wait:
        yield from self._stop(planned, signal.SIGTERM)

    def _stop(self, planned: PlannedEvent, number: signal.Signals) -> Wait:
        for coordinator in self._planned_coordinators(planned):
            coordinator.stop(number)
        yield from ()

    def _start(self, planned: PlannedEvent) -> Wait:
        for coordinator in self._planned_coordinators(planned):
            self._restarting += 1
            self.loop.spawn(self._restart(coordinator))
        yield from ()

    def _kill_hollow(self, _: PlannedEvent) -> Wait:
        if self.hollow:
            self.hollow.kill_one()
        yield from ()

    def _planned_coordinators(self, planned: PlannedEvent) -> list[RealCoordinator]:
        return [
            coordinator for coordinator in self.environment.coordinators if coordinator.name in planned.names
        ]

    def _restart(self, coordinator: RealCoordinator) -> Wait:
        try:
            yield from coordinator.wait_for_exit()
            coordinator.written_version = self.settings.version
            entries = list(self.environment.list.entries.values())
            ready = yield from coordinator.start(entries)
            if ready:
                self.ready_times.append(coordinator.ready_times[-1])
                self.environment.return_proxies(coordinator)
            else:
                self.failures.append(f"{coordinator.name} was not ready in time after its restart")
        finally:
            self._restarting -= 1
