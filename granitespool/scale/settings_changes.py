"""Changes of the configuration during a run, and when they are in force."""

from granitespool.net.loop import Loop
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.coroutines import Wait
from granitespool.scale.environment import Environment
from granitespool.units import SECOND

APPLY_TIMEOUT = 8 * SECOND  # ns that a new configuration may take to be in force before it is given up
POLL_INTERVAL = SECOND // 100  # ns between two looks


class SettingsChanges:
    """The versions of the settings, and what came of each change."""

    def __init__(self, loop: Loop, environment: Environment, failures: list[str]) -> None:
        """What goes wrong is added to `failures`."""
        self.loop = loop
        self.environment = environment
        self.failures = failures
        self.version = 0  # newest
        self.apply_times: list[int] = []  # ns that changes took to be in force at the last coordinator
        self.unfinished = 0  # changes that were not in force in time
        self.rejected = 0  # answers that a change cannot be used
        self.rejection_kept = True  # whether the settings before a rejected change stayed in force

    def change(self, valid: bool) -> Wait:
        """Makes one change of the configuration, for every coordinator that can be reached."""
        self.version += valid
        reached = self._reachable()
        sent_at = self.loop.clock()
        before = {coordinator.name: len(coordinator.log.reloads) for coordinator in reached}
        for coordinator in reached:
            coordinator.write_configuration(self.version, valid)
            coordinator.reload()
        until = self.loop.now + APPLY_TIMEOUT
        while self.loop.now < until and any(len(each.log.reloads) == before[each.name] for each in reached):
            yield None, 0, self.loop.now + POLL_INTERVAL
        answered = [each for each in reached if len(each.log.reloads) > before[each.name]]
        if len(answered) < len(reached):
            self.unfinished += 1
        elif answered and valid:
            self.apply_times.append(max(max(0, each.log.reloads[-1].at - sent_at) for each in answered))
        yield from self._check(answered, valid)

    def _reachable(self) -> list[RealCoordinator]:
        cut_off = self.environment.cut_coordinators()
        return [each for each in self.environment.coordinators if each.serves and each not in cut_off]

    def _check(self, answered: list[RealCoordinator], valid: bool) -> Wait:
        """Checks that a rejected change changed nothing, and that any other is in force."""
        for coordinator in answered:
            if not valid:
                rejected = coordinator.log.reloads[-1].rejected
                self.rejected += rejected
                self.rejection_kept = self.rejection_kept and rejected
            in_force = yield from coordinator.has_settings(self.version)
            if in_force is False:
                self.rejection_kept = self.rejection_kept and valid
                self.failures.append(f"{coordinator.name} has not the settings {self.version}")
