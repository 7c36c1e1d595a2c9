"""One trial of a restart: a coordinator runs, is killed, and the next incarnation starts.

In the variant `CONTROL` the coordinator is not killed. The control trial shows by which distances tables vary
without a restart. In the other variants, tables have settled after a restart once their distances from the
tables before the kill are that small again.
"""

from collections.abc import Sequence

import msgspec

from granitespool.emulator.clock import EPOCH
from granitespool.emulator.distance import Shares, mean_distance, mean_shares, shares
from granitespool.emulator.emulation import Emulation
from granitespool.emulator.request_traffic import OutcomeShares
from granitespool.emulator.schema import ExperimentSetup
from granitespool.emulator.snapshots import SnapshotRecorder
from granitespool.errors import GranitespoolError
from granitespool.state.disk import Folder
from granitespool.units import SECOND

SAMPLE_INTERVAL = SECOND // 10  # ns between samples of the tables
REFERENCE_DURATION = 5 * SECOND  # ns before the kill; the reference is the mean table of this time
SETTLED_DURATION = 2 * SECOND  # ns; tables have settled if they stay near the reference this long
CONTROL_QUANTILE = 0.95  # tables up to this quantile of the control's distances are near
SAMPLED_PROXY_COUNT = 40  # in a larger fleet, at least this many tables are sampled
BASELINE_SECONDS = 10  # baseline outcomes are counted over this time before the kill

CONTROL = "control"  # the coordinator is not killed
# Faulty and healthy backends swap their faults at the time of the kill.
VARIANTS_SWAPPING_FAULTS = ("changed", "wrong", "alive")
VARIANTS_WITHOUT_KILL = (CONTROL, "alive")
VARIANTS_WITHOUT_RESTORE = ("without", "changed")  # the next incarnation starts with no saved state


class Distances(msgspec.Struct, frozen=True):
    """Mean distances from the reference tables before the kill."""

    coordinator: float  # of the coordinator's tables
    proxies: float  # of the proxies' tables


class Sample(msgspec.Struct, frozen=True):
    """Distances of the tables at one time."""

    at: int  # ns after the start of the next incarnation
    distances: Distances


class TrialResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one trial."""

    # Seconds after the restart until the tables have settled. None if faults were swapped, as
    # the tables then have to differ from those before the kill.
    coordinator_settled_s: float | None
    proxies_settled_s: float | None
    outcomes: dict[str, OutcomeShares]  # class -> first seconds after the restart
    baseline_outcomes: dict[str, OutcomeShares]  # class -> last seconds before the kill
    samples: list[Sample]


class PlannerFailedError(GranitespoolError):
    """The planner failed in a trial, so the result of the trial is not valid."""


class RestartTrial:
    """A trial of one variant, size and seed."""

    def __init__(
        self, setup: ExperimentSetup, variant: str, backends: int, proxies: int, seed: int, folder: Folder
    ) -> None:
        self.setup = setup
        self.settings = setup.restart
        self.variant = variant
        self.emulation = Emulation(setup, backends, proxies, seed)
        self.recorder = SnapshotRecorder(self.emulation, setup.restart, folder)
        self.sampled_proxies = self.emulation.proxies[:: max(1, proxies // SAMPLED_PROXY_COUNT)]
        self.reference_tables: dict[str, Shares] = {}  # zone -> mean table before the kill
        self.baseline_outcomes: dict[str, OutcomeShares] = {}  # class -> outcomes before the kill

    def run_control(self) -> Distances:
        """Run without a kill; return the largest distances at which tables are near the reference."""
        samples = self._run_phases()
        return Distances(
            _quantile([sample.distances.coordinator for sample in samples]),
            _quantile([sample.distances.proxies for sample in samples]),
        )

    def run(self, thresholds: Distances) -> TrialResult:
        """Run the trial and return its result.

        Tables are near the reference while their distances are at most `thresholds`.

        Raises:
            PlannerFailedError: the planner raised an internal error.
        """
        samples = self._run_phases()
        internal_errors = self.emulation.host.internal_errors
        if internal_errors:
            raise PlannerFailedError(
                f"the planner failed in variant {self.variant}: {internal_errors[0][-300:]}"
            )
        settings, has_reference = self.settings, self.variant not in VARIANTS_SWAPPING_FAULTS
        first_second = int(settings.learn_s + settings.down_s)
        coordinator_near = [
            (sample.at, sample.distances.coordinator <= thresholds.coordinator) for sample in samples
        ]
        proxies_near = [(sample.at, sample.distances.proxies <= thresholds.proxies) for sample in samples]
        return TrialResult(
            coordinator_settled_s=self._settled_after(coordinator_near) if has_reference else None,
            proxies_settled_s=self._settled_after(proxies_near) if has_reference else None,
            outcomes=self.emulation.outcomes(first_second, first_second + int(settings.look_s)),
            baseline_outcomes=self.baseline_outcomes,
            samples=samples,
        )

    def _run_phases(self) -> list[Sample]:
        """Run all phases of the trial; return the samples taken since the restart."""
        settings, emulation = self.settings, self.emulation
        emulation.start()
        self.recorder.start()
        kill_at = EPOCH + int(settings.learn_s * SECOND)
        emulation.run_until(kill_at - REFERENCE_DURATION)
        self._record_reference(kill_at)
        last_second = int(settings.learn_s)
        self.baseline_outcomes = emulation.outcomes(last_second - BASELINE_SECONDS, last_second)
        restart_at = kill_at + int(settings.down_s * SECOND)
        if self.variant in VARIANTS_SWAPPING_FAULTS:
            emulation.swap_faults()
        if self.variant in VARIANTS_WITHOUT_KILL:
            emulation.run_until(restart_at)
        else:
            emulation.kill()
            emulation.run_until(restart_at)
            self._restart()
        return self._take_samples(restart_at, restart_at + int(settings.settle_s * SECOND))

    def _restart(self) -> None:
        if self.variant in VARIANTS_WITHOUT_RESTORE:
            restore = None
        else:
            restore = self.recorder.restore(self.settings.old_s if self.variant == "old" else 0.0)
        self.emulation.start(restore, self.settings.rejoin_s)

    def _record_reference(self, until: int) -> None:
        """Run until `until` (ns) and use the mean tables of this period as the reference."""
        emulation = self.emulation
        tables: dict[str, list[Shares]] = {zone: [] for zone in emulation.zones}
        while emulation.now < until:
            emulation.run_until(emulation.now + SAMPLE_INTERVAL)
            for zone in emulation.zones:
                tables[zone].append(emulation.zone_shares(zone))
        self.reference_tables = {zone: mean_shares(tables[zone]) for zone in emulation.zones}

    def _take_samples(self, start: int, until: int) -> list[Sample]:
        """Run until `until` (ns) and return samples; their times are counted from `start` (ns)."""
        samples = []
        while self.emulation.now < until:
            self.emulation.run_until(self.emulation.now + SAMPLE_INTERVAL)
            samples.append(Sample(self.emulation.now - start, self._distances()))
        return samples

    def _distances(self) -> Distances:
        emulation, reference = self.emulation, self.reference_tables
        return Distances(
            mean_distance((emulation.zone_shares(zone), reference[zone]) for zone in emulation.zones),
            mean_distance((shares(proxy.weights), reference[proxy.zone]) for proxy in self.sampled_proxies),
        )

    def _settled_after(self, samples: Sequence[tuple[int, bool]]) -> float:
        """Return the time (s) from which the tables stay near the reference for the settled duration.

        The result is the setting `settle_s` if the tables do not settle. A sample contains a time (ns) and
        whether the tables were near the reference at that time.
        """
        near_since = None
        for at, is_near in samples:
            if not is_near:
                near_since = None
            elif near_since is None:
                near_since = at
            if near_since is not None and at - near_since >= SETTLED_DURATION:
                return round(near_since / SECOND, 1)
        return float(self.settings.settle_s)


def _quantile(distances: list[float]) -> float:
    return sorted(distances)[int(CONTROL_QUANTILE * len(distances))]
