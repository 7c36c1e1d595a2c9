"""Run all trials of an experiment (each size, variant and seed) and build its report."""

import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from granitespool import __version__
from granitespool.emulator.report import Report, Row, make_row
from granitespool.emulator.restart import CONTROL, RestartTrial
from granitespool.emulator.schema import ExperimentSetup
from granitespool.state.disk import StateFolder

ProgressCallback = Callable[[str], None]


def _ignore_progress(_: str) -> None:
    """Ignore a progress message."""


def run(setup: ExperimentSetup, progress: ProgressCallback = _ignore_progress) -> Report:
    """Run an experiment and return its report; `progress` is called at the start of each trial."""
    experiment = setup.experiment
    rows: list[Row] = []
    for backends, proxies in experiment.size_pairs():
        rows += _run_size(setup, backends, proxies, progress)
    return Report(
        title=experiment.title,
        program=__version__,
        seeds=experiment.seeds,
        first_seed=experiment.first_seed,
        rows=rows,
    )


def _run_size(setup: ExperimentSetup, backends: int, proxies: int, progress: ProgressCallback) -> list[Row]:
    """Run the control trial of each seed, and then the trials of all variants, for one size.

    The control trials show by which distances tables vary without a restart.
    """
    experiment = setup.experiment
    seeds = range(experiment.first_seed, experiment.first_seed + experiment.seeds)
    control_distances = {}
    for seed in seeds:
        with _trial(setup, CONTROL, (backends, proxies), seed, progress) as trial:
            control_distances[seed] = trial.run_control()
    rows = []
    for variant in experiment.variant_names():
        results = []
        for seed in seeds:
            with _trial(setup, variant, (backends, proxies), seed, progress) as trial:
                results.append(trial.run(control_distances[seed]))
        rows.append(make_row(f"{backends}x{proxies}", variant, results))
    return rows


@contextmanager
def _trial(
    setup: ExperimentSetup, variant: str, size: tuple[int, int], seed: int, progress: ProgressCallback
) -> Iterator[RestartTrial]:
    """Yield a trial with a temporary state folder; `size` is (backends, proxies)."""
    backends, proxies = size
    progress(f"{backends} x {proxies}, {variant}, seed {seed}")
    with tempfile.TemporaryDirectory() as path:
        folder = StateFolder(path)
        try:
            yield RestartTrial(setup, variant, backends, proxies, seed, folder)
        finally:
            folder.close()
