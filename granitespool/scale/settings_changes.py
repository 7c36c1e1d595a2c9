"""Changes of the configuration during a run, and when they are in force."""

from granitespool.net.loop import Loop
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.coroutines import Wait
from granitespool.scale.environment import Environment
from granitespool.units import SECOND

IN_FORCE_LIMIT = 8 * SECOND  # ns that a new configuration may take to be in force before it is given up
POLL_INTERVAL = SECOND // 100  # ns between two looks


class SettingsChanges:
    """The versions of the settings, and what came of each change."""

    def __init__(self, loop: Loop, environment: Environment, failures: list[str]) -> None:
        """What goes wrong is added to `failures`."""
        self.loop = loop
        self.environment = environment
        self.failures = failures
        self.version = 0  # newest
        self.in_force_after: list[int] = []  # ns that changes took to be in force at the last coordinator
        self.unfinished = 0  # changes that were not in force in time
        self.rejected = 0  # answers that a change cannot be used
        self.rejection_kept = True  # whether the settings before a rejected change stayed in force

    def change(self, usable: bool) -> Wait:
        """Makes one change of the configuration, for every coordinator that can be reached."""
        self.version += usable
        reached = self._reachable()
        sent_at = self.loop.clock()
        before = {coordinator.name: len(coordinator.log.reloads) for coordinator in reached}
        for coordinator in reached:
            coordinator.write_configuration(self.version, usable)
            coordinator.reload()
        until = self.loop.now + IN_FORCE_LIMIT
        while self.loop.now < until and any(len(each.log.reloads) == before[each.name] for each in reached):
            yield None, 0, self.loop.now + POLL_INTERVAL
        answered = [each for each in reached if len(each.log.reloads) > before[each.name]]
        if len(answered) < len(reached):
            self.unfinished += 1
        elif answered and usable:
            self.in_force_after.append(max(max(0, each.log.reloads[-1].at - sent_at) for each in answered))
        yield from self._check(answered, usable)

    def _reachable(self) -> list[RealCoordinator]:
        cut_off = self.environment.cut_coordinators()
        return [each for each in self.environment.coordinators if each.serves and each not in cut_off]

    def _check(self, answered: list[RealCoordinator], usable: bool) -> Wait:
        """Checks that a rejected change changed nothing, and that any other is in force."""
        for coordinator in answered:
            if not usable:
                rejected = coordinator.log.reloads[-1].rejected
                self.rejected += rejected
                self.rejection_kept = self.rejection_kept and rejected
            in_force = yield from coordinator.has_settings(self.version)
            if in_force is False:
                self.rejection_kept = self.rejection_kept and usable
                self.failures.append(f"{coordinator.name} has not the settings {self.version}")
