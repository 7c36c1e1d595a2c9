"""Coordinators that were cut off: what they held when the cut ended, and when they were up to date again."""

from collections.abc import Sequence

import msgspec

from granitespool.net.loop import Loop
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.coroutines import Wait
from granitespool.scale.environment import Environment
from granitespool.scale.faults import FaultInjector
from granitespool.scale.plan import PlannedEvent
from granitespool.scale.settings_changes import SettingsChanges
from granitespool.units import SECOND

RECOVERY_TIMEOUT = 60 * SECOND  # ns after the end of a cut for which coordinators are looked at
POLL_INTERVAL = SECOND // 20  # ns between two looks


class Recovery(msgspec.Struct):
    """A coordinator after a cut."""

    coordinator: RealCoordinator
    healed_at: int  # ns
    list_held: int  # version when the cut ended
    list_newest: int
    settings_held: int
    settings_newest: int
    list_recovered_after: int | None = None  # ns after the end of the cut
    settings_recovered_after: int | None = None

    @property
    def complete(self) -> bool:
        """Whether both list and settings are the newest."""
        return self.list_recovered_after is not None and self.settings_recovered_after is not None


class CutRecovery:
    """Ends cuts and follows the coordinators that were cut off."""

    def __init__(
        self,
        loop: Loop,
        environment: Environment,
        faults: FaultInjector,
        settings: SettingsChanges,
        failures: list[str],
    ) -> None:
        """What goes wrong is added to `failures`."""
        self.loop = loop
        self.environment = environment
        self.faults = faults
        self.settings = settings
        self.failures = failures
        self.recoveries: list[Recovery] = []

    def heal(self, planned: PlannedEvent) -> Wait:
        """Ends a cut as planned."""
        cut_off, now = self.environment.cut_coordinators(), self.loop.clock()
        recoveries = []
        for coordinator in cut_off:
            yield from self._check_still_isolated(coordinator)
            recoveries.append(self._recovery(coordinator, now))
        self.recoveries += recoveries
        self.faults.perform(planned)
        self._start_recovery(recoveries)

    def _check_still_isolated(self, coordinator: RealCoordinator) -> Wait:
        newer = yield from coordinator.has_settings(coordinator.written_version + 1)
        if newer is True:
            self.failures.append(f"{coordinator.name} had settings that it could not have been told")

    def _recovery(self, coordinator: RealCoordinator, now: int) -> Recovery:
        return Recovery(
            coordinator=coordinator,
            healed_at=now,
            list_held=coordinator.log.list_index,
            list_newest=self.environment.list.index,
            settings_held=coordinator.applied_version,
            settings_newest=self.settings.version,
        )

    def _start_recovery(self, recoveries: Sequence[Recovery]) -> None:
        for recovery in recoveries:
            recovery.healed_at = self.loop.clock()
            recovery.coordinator.write_configuration(self.settings.version)
            recovery.coordinator.reload()
            self.loop.spawn(self._wait_for_recovery(recovery))

    def _wait_for_recovery(self, recovery: Recovery) -> Wait:
        """Looks when a coordinator has the newest list and settings."""
        coordinator = recovery.coordinator
        until = recovery.healed_at + RECOVERY_TIMEOUT
        while self.loop.now < until and not recovery.complete:
            if recovery.settings_recovered_after is None:
                in_force = yield from coordinator.has_settings(recovery.settings_newest)
                if in_force:
                    recovery.settings_recovered_after = self.loop.clock() - recovery.healed_at
            if recovery.list_recovered_after is None and coordinator.log.list_index >= recovery.list_newest:
                recovery.list_recovered_after = self.loop.clock() - recovery.healed_at
            yield None, 0, self.loop.now + POLL_INTERVAL
