"""One trial of a restart: a coordinator learns, ends, and the next incarnation starts.

In the variant `CONTROL` nothing ends: it shows how far tables wander by themselves, which is what the tables
of the other variants must come back to."""

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

SAMPLE_INTERVAL = SECOND // 10  # ns between looks at the tables
REFERENCE_DURATION = 5 * SECOND  # ns before the end whose mean tables are the ones to come back to
SETTLED_DURATION = 2 * SECOND  # ns for which tables must stay near those to count as settled
CONTROL_QUANTILE = 0.95  # part of the looks in the control that count as near
SAMPLED_PROXY_COUNT = 40  # proxies whose tables are looked at
BASELINE_SECONDS = 10  # s before the end whose outcomes are the usual ones

CONTROL = "control"  # nothing ends
VARIANTS_SWAPPING_FAULTS = (
    "changed",
    "wrong",
    "alive",
)  # faulty and healthy backends change places at the end
VARIANTS_WITHOUT_KILL = (CONTROL, "alive")  # the coordinator is not ended
VARIANTS_WITHOUT_RESTORE = ("without", "changed")  # the next incarnation restores nothing


class Distances(msgspec.Struct, frozen=True):
    """Mean distances from the tables before the end."""

    coordinator: float  # of the coordinator's tables
    proxies: float  # of what proxies hold


class Sample(msgspec.Struct, frozen=True):
    """One look at the tables."""

    at: int  # ns after the start of the next incarnation
    distances: Distances


class TrialResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one trial showed."""

    coordinator_settled_s: (
        float | None
    )  # until the coordinator's tables settled; None: there is nothing to come back to
    proxies_settled_s: float | None  # the same of what proxies hold
    outcomes: dict[str, OutcomeShares]  # by class, of the first seconds after the start
    baseline_outcomes: dict[str, OutcomeShares]  # the same before the end
    samples: list[Sample]


class PlannerFailedError(GranitespoolError):
    """The planner failed in a trial, so it shows nothing."""


class RestartTrial:
    """One variant of one size and seed."""

    def __init__(
        self, setup: ExperimentSetup, variant: str, backends: int, proxies: int, seed: int, folder: Folder
    ) -> None:
        self.setup = setup
        self.settings = setup.restart
        self.variant = variant
        self.emulation = Emulation(setup, backends, proxies, seed)
        self.recorder = SnapshotRecorder(self.emulation, setup.restart, folder)
        self.sampled_proxies = self.emulation.proxies[:: max(1, proxies // SAMPLED_PROXY_COUNT)]
        self.reference_tables: dict[str, Shares] = {}  # zone -> mean table before the end
        self.baseline_outcomes: dict[str, OutcomeShares] = {}  # by class, before the end

    def run_control(self) -> Distances:
        """Lets the coordinator run on; how far its tables wander by themselves."""
        samples = self._run_phases()
        return Distances(
            _quantile([sample.distances.coordinator for sample in samples]),
            _quantile([sample.distances.proxies for sample in samples]),
        )

    def run(self, near: Distances) -> TrialResult:
        """Runs the trial; tables are back once they are as near as `near`."""
        samples = self._run_phases()
        internal_errors = self.emulation.host.internal_errors
        if internal_errors:
            raise PlannerFailedError(f"the planner failed in {self.variant}: {internal_errors[0][-300:]}")
        settings, comes_back = self.settings, self.variant not in VARIANTS_SWAPPING_FAULTS
        first_second = int(settings.learn_s + settings.down_s)
        tables = [(sample.at, sample.distances.coordinator <= near.coordinator) for sample in samples]
        held = [(sample.at, sample.distances.proxies <= near.proxies) for sample in samples]
        return TrialResult(
            coordinator_settled_s=self._settled_after(tables) if comes_back else None,
            proxies_settled_s=self._settled_after(held) if comes_back else None,
            outcomes=self.emulation.outcomes(first_second, first_second + int(settings.look_s)),
            baseline_outcomes=self.baseline_outcomes,
            samples=samples,
        )

    def _run_phases(self) -> list[Sample]:
        """The whole course: what the tables were from the start of the next incarnation on."""
        settings, emulation = self.settings, self.emulation
        emulation.start()
        self.recorder.start()
        end = EPOCH + int(settings.learn_s * SECOND)
        emulation.run_until(end - REFERENCE_DURATION)
        self._record_reference(end)
        last_second = int(settings.learn_s)
        self.baseline_outcomes = emulation.outcomes(last_second - BASELINE_SECONDS, last_second)
        start = end + int(settings.down_s * SECOND)
        if self.variant in VARIANTS_SWAPPING_FAULTS:
            emulation.swap_faults()
        if self.variant in VARIANTS_WITHOUT_KILL:
            emulation.run_until(start)
        else:
            emulation.kill()
            emulation.run_until(start)
            self._restart()
        return self._take_samples(start, start + int(settings.settle_s * SECOND))

    def _restart(self) -> None:
        if self.variant in VARIANTS_WITHOUT_RESTORE:
            restore = None
        else:
            restore = self.recorder.restore(self.settings.old_s if self.variant == "old" else 0.0)
        self.emulation.start(restore, self.settings.rejoin_s)

    def _record_reference(self, until: int) -> None:
        emulation = self.emulation
        tables: dict[str, list[Shares]] = {zone: [] for zone in emulation.zones}
        while emulation.now < until:
            emulation.run_until(emulation.now + SAMPLE_INTERVAL)
            for zone in emulation.zones:
                tables[zone].append(emulation.zone_shares(zone))
        self.reference_tables = {zone: mean_shares(tables[zone]) for zone in emulation.zones}

    def _take_samples(self, start: int, until: int) -> list[Sample]:
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

    def _settled_after(self, looks: Sequence[tuple[int, bool]]) -> float:
        """Seconds until the looks (ns, is it near) stay near; `settle_s` where they never do."""
        since = None
        for at, is_near in looks:
            if not is_near:
                since = None
            elif since is None:
                since = at
            if since is not None and at - since >= SETTLED_DURATION:
                return round(since / SECOND, 1)
        return float(self.settings.settle_s)


def _quantile(distances: list[float]) -> float:
    return sorted(distances)[int(CONTROL_QUANTILE * len(distances))]
