"""Changes of the configuration during a run, and the time until they are active."""

from granitespool.net.loop import Loop
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.coroutines import Wait
from granitespool.scale.environment import Environment
from granitespool.units import SECOND

APPLY_TIMEOUT = 8 * SECOND  # ns for a coordinator to answer a reload
POLL_INTERVAL = SECOND // 100  # ns between checks for the answers


class SettingsChanges:
    """The versions of the settings, and the outcome of each change."""

    def __init__(self, loop: Loop, environment: Environment, failures: list[str]) -> None:
        """Start with version 0; failures of the run are appended to `failures`."""
        self.loop = loop
        self.environment = environment
        self.failures = failures
        self.version = 0  # the newest valid version
        self.apply_times: list[int] = []  # ns of each change until it was active at the last coordinator
        self.unfinished = 0  # changes that a coordinator did not answer within APPLY_TIMEOUT
        self.rejected = 0  # rejections of an invalid change
        self.rejection_kept = True  # whether the previous settings stayed active after a rejected change

    def change(self, valid: bool) -> Wait:
        """Change the configuration of every coordinator that can be reached."""
        self.version += valid
        reached = self._reachable()
        sent_at = self.loop.clock()
        before = {coordinator.name: len(coordinator.log.reloads) for coordinator in reached}
        for coordinator in reached:
            coordinator.write_configuration(self.version, valid)
            coordinator.reload()
        if valid:
            self._change_starting()
        deadline = self.loop.now + APPLY_TIMEOUT
        while self.loop.now < deadline and any(
            len(coordinator.log.reloads) == before[coordinator.name] for coordinator in reached
        ):
            yield None, 0, self.loop.now + POLL_INTERVAL
        answered = [
            coordinator for coordinator in reached if len(coordinator.log.reloads) > before[coordinator.name]
        ]
        if len(answered) < len(reached):
            self.unfinished += 1
        elif answered and valid:
            self.apply_times.append(
                max(max(0, coordinator.log.reloads[-1].at - sent_at) for coordinator in answered)
            )
        yield from self._check(answered, valid)

    def _change_starting(self) -> None:
        """Write the configuration of coordinators that are starting, and signal them without waiting."""
        for coordinator in self.environment.coordinators:
            if coordinator.is_starting:
                coordinator.write_configuration(self.version)
                coordinator.reload()

    def _reachable(self) -> list[RealCoordinator]:
        cut_off = self.environment.cut_coordinators()
        return [
            coordinator
            for coordinator in self.environment.coordinators
            if coordinator.serves and coordinator not in cut_off
        ]

    def _check(self, answered: list[RealCoordinator], valid: bool) -> Wait:
        """Check that an invalid change was rejected without effect, and that a valid one is active."""
        for coordinator in answered:
            if not valid:
                rejected = coordinator.log.reloads[-1].rejected
                self.rejected += rejected
                self.rejection_kept = self.rejection_kept and rejected
            applied = yield from coordinator.has_settings(self.version)
            if applied is False:
                self.rejection_kept = self.rejection_kept and valid
                self.failures.append(f"{coordinator.name} lacks version {self.version} of the settings")
