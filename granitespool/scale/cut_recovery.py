"""Recovery of coordinators after a network partition ("cut") between regions.

Records which versions of the endpoint list and the settings a coordinator had when the cut ended, and when it
was up to date again.
"""

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

RECOVERY_TIMEOUT = 60 * SECOND  # ns after the end of a cut
POLL_INTERVAL = SECOND // 20  # ns between checks of a coordinator


class Recovery(msgspec.Struct):
    """One coordinator's versions at the end of a cut and its time to recover."""

    coordinator: RealCoordinator
    healed_at: int  # ns
    list_held: int  # version of the coordinator's endpoint list at the end of the cut
    list_newest: int
    settings_held: int
    settings_newest: int
    list_recovered_after: int | None = None  # ns after the end of the cut
    settings_recovered_after: int | None = None

    @property
    def complete(self) -> bool:
        """Whether both the endpoint list and the settings are up to date."""
        return self.list_recovered_after is not None and self.settings_recovered_after is not None


class CutRecovery:
    """Ends cuts and measures how long the coordinators that were cut off take to recover."""

    def __init__(
        self,
        loop: Loop,
        environment: Environment,
        faults: FaultInjector,
        settings: SettingsChanges,
        failures: list[str],
    ) -> None:
        """Create the recorder; failures of the run are appended to `failures`."""
        self.loop = loop
        self.environment = environment
        self.faults = faults
        self.settings = settings
        self.failures = failures
        self.recoveries: list[Recovery] = []

    def heal(self, planned: PlannedEvent) -> Wait:
        """End a cut as planned."""
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
            self.failures.append(f"{coordinator.name} had settings that were published while it was cut off")

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
        """Poll a coordinator until its endpoint list and settings are up to date."""
        coordinator = recovery.coordinator
        deadline = recovery.healed_at + RECOVERY_TIMEOUT
        while self.loop.now < deadline and not recovery.complete:
            if recovery.settings_recovered_after is None:
                applied = yield from coordinator.has_settings(recovery.settings_newest)
                if applied:
                    recovery.settings_recovered_after = self.loop.clock() - recovery.healed_at
            if recovery.list_recovered_after is None and coordinator.log.list_index >= recovery.list_newest:
                recovery.list_recovered_after = self.loop.clock() - recovery.healed_at
            yield None, 0, self.loop.now + POLL_INTERVAL
