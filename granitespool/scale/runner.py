"""Plays a scenario and reports on it."""

from granitespool.scale.report import Report
from granitespool.scale.run import Progress, Run
from granitespool.scale.run_report import make_report
from granitespool.scale.schema import Scenario


def _ignore(_: str) -> None:
    """Takes progress that nobody wants to see."""


def play(scenario: Scenario, progress: Progress = _ignore) -> Report:
    """Plays a scenario; `progress` is told what it does.

    Raises InvalidInputError where it cannot be played."""
    return play_run(Run(scenario, progress))


def play_run(run: Run) -> Report:
    """Plays a run that was made; it still holds all that was measured afterwards."""
    run.play()
    return make_report(run)
