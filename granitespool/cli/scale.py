"""The command `scale`: runs scenarios in real time with real and hollow coordinators and stand-ins."""

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from granitespool.cli import EXIT_FAILURE
from granitespool.errors import InvalidInputError
from granitespool.scale import plot, report, runner, schema, soak
from granitespool.simulation.plotting import require_matplotlib

VIOLATIONS_PRINTED = 5  # of each seed of a soak


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
    if arguments["soak"]:
        return _run_soak(arguments)
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


def _run_soak(arguments: Mapping[str, Any]) -> int:
    first = _whole_number("--seed", arguments["--seed"] or "1")
    count = _whole_number("--count", arguments["--count"])
    broken = 0
    for result in soak.play(range(first, first + count)):
        print(soak.describe(result), flush=True)
        broken += not result.passed
        for violation in () if result.passed else result.report.violations[:VIOLATIONS_PRINTED]:
            print(f"  {violation.text}", flush=True)
    print(f"{count - broken} seeds held, {broken} broken")
    return EXIT_FAILURE if broken else 0


def _whole_number(option: str, text: str) -> int:
    if not text.isdecimal():
        raise InvalidInputError(f"{option} {text!r:.60} is not a whole number")
    return int(text)


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr)


def _read_report(path: str) -> report.Report:
    try:
        return report.of_json(Path(path).read_bytes())
    except msgspec.DecodeError as error:
        raise InvalidInputError(f"{path} is not a report of a scale run: {error}") from None
