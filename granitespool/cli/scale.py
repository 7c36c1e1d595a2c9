"""`scale`: scenarios in real time, with real and hollow coordinators before stand-ins."""

import sys
from typing import Any

import msgspec

from granitespool.cli import FAILED
from granitespool.errors import InvalidInputError
from granitespool.scale import plot, report, runner, schema


def run(told: dict[str, Any]) -> int:
    """Lists scenarios or plays one; the exit code. Raises InvalidInputError where it cannot be played."""
    if told["list"]:
        for name in schema.names():
            print(f"{name:12} {schema.load(name).scale.title}")
        return 0
    if told["plot"]:
        return _plot(told["PLOT"], told["REPORT"])
    if told["--plot"]:
        plot.require()  # before a run of minutes
    changes = [*told["--set"], *([f"scale.seed={told['--seed']}"] if told["--seed"] is not None else ())]
    scenario = schema.load(told["SCENARIO"], changes)
    result = runner.play(scenario, lambda words: print(words, file=sys.stderr))
    if told["--report"]:
        with open(told["--report"], "w", encoding="utf-8") as file:
            file.write(report.as_json(result))
    print("\n".join(report.table(result)))
    if told["--plot"]:
        plot.plot([result], told["--plot"])
    if not result.passed:
        print("granitespool: the scenario did not pass", file=sys.stderr)
        return FAILED
    return 0


def _plot(path: str, reports: list[str]) -> int:
    read = []
    for each in reports:
        try:
            with open(each, "rb") as file:
                read.append(report.of_json(file.read()))
        except msgspec.DecodeError as error:
            raise InvalidInputError(f"{each} is no report of a scale run: {error}") from None
    plot.plot(read, path)
    return 0
