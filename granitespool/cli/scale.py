"""The command `scale`: runs scenarios in real time with real and hollow coordinators and stand-ins."""

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from granitespool.cli import EXIT_FAILURE
from granitespool.errors import InvalidInputError
from granitespool.scale import plot, report, runner, schema
from granitespool.simulation.plotting import require_matplotlib


def run(arguments: Mapping[str, Any]) -> int:
    """List the scenarios, run one or plot reports, and return the exit code.

    Raises InvalidInputError if the scenario or a report is invalid.
    """
    if arguments["list"]:
        for name in schema.names():
            print(f"{name:12} {schema.load(name).scale.title}")
        return 0
    if arguments["plot"]:
        plot.plot([_read_report(path) for path in arguments["REPORT"]], arguments["PLOT"])
        return 0
    return _run_scenario(arguments)


def _run_scenario(arguments: Mapping[str, Any]) -> int:
    if arguments["--plot"]:
        require_matplotlib()  # fail before the run, which takes minutes
    overrides = list(arguments["--set"])
    if arguments["--seed"] is not None:
        overrides.append(f"scale.seed={arguments['--seed']}")
    scenario = schema.load(arguments["SCENARIO"], overrides)
    result = runner.play(scenario, _print_progress)
    if arguments["--report"]:
        Path(arguments["--report"]).write_text(report.as_json(result), encoding="utf-8")
    print("\n".join(report.table(result)))
    if arguments["--plot"]:
        plot.plot([result], arguments["--plot"])
    if not result.passed:
        print("granitespool: the scenario did not pass", file=sys.stderr)
        return EXIT_FAILURE
    return 0


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr)


def _read_report(path: str) -> report.Report:
    try:
        return report.of_json(Path(path).read_bytes())
    except msgspec.DecodeError as error:
        raise InvalidInputError(f"{path} is not a report of a scale run: {error}") from None
