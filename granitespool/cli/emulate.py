"""The command `emulate`: runs experiments in virtual time."""

import sys
from collections.abc import Mapping
from typing import Any

from granitespool.emulator import experiment, plot, report, schema


def run(arguments: Mapping[str, Any]) -> int:
    """List the experiments or run one, and return the exit code.

    Raises InvalidInputError if the experiment is invalid.
    """
    if arguments["list"]:
        for name in schema.experiment_names():
            print(f"{name:12} {schema.load(name).experiment.title}")
        return 0
    setup = schema.load(arguments["EXPERIMENT"], arguments["--set"])
    result = experiment.run(setup, _print_progress if sys.stderr.isatty() else _ignore)
    if arguments["--plot"]:
        plot.plot(result, arguments["--plot"])
    print(report.as_json(result) if arguments["--json"] else "\n".join(report.format_table(result)))
    return 0


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr)


def _ignore(_: str) -> None:
    """Discard progress messages, since standard error is not a terminal."""
