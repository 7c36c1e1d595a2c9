"""Runs a scenario and returns its report."""

from granitespool.scale.report import Report
from granitespool.scale.run import Progress, Run
from granitespool.scale.run_report import make_report
from granitespool.scale.schema import Scenario


def _ignore(_: str) -> None:
    """Discard a progress message."""


def play(scenario: Scenario, progress: Progress = _ignore) -> Report:
    """Run a scenario; `progress` is called with the name of each phase.

    Raises:
        InvalidInputError: The scenario needs too many processes or too much memory.

    """
    return play_run(Run(scenario, progress))


def play_run(run: Run) -> Report:
    """Execute a run and return its report; the run keeps its measurements."""
    run.play()
    return make_report(run)
