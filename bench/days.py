"""Tabulate the results of the bench `lbreal`: a row for each day in its --json files.

    lbreal SITE --rough roll+mass --nodes 30 --seed 3 --json after/roll-3.json
    python -m bench.days after/*.json                  a Markdown table
    python -m bench.days --before=DIR after/*.json     compared with the files of the same names in DIR

A file that contains several days gives a row for each of them. The exit code is 1 if a rule was broken or a
day ended early.
"""

import json
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import docopt

USAGE = """Usage: days [--before=DIR] FILE..."""
HEADER = ("day, seed", "G, served, rules", "gate", "nearest class", "ready, restarted within (s)")

DayResult = dict[str, Any]  # one day's results, as decoded from the bench's JSON


class Day(NamedTuple):
    """The name and the random seed of a simulated day."""

    name: str
    seed: int


class ClassResult(NamedTuple):
    """Share of a request class's requests that were served, and the required minimum."""

    name: str
    served: float
    floor: float


def read_results(path: str | Path) -> dict[Day, DayResult]:
    """Return the results in a file by day; raise SystemExit if it is unreadable or malformed."""
    try:
        document = json.loads(Path(path).read_bytes())
        return {
            Day(result["row"]["name"], result["row"]["seed"]): result
            for result in document.get("days", [document])
        }
    except OSError as error:
        raise SystemExit(f"days: {path} cannot be read: {error.strerror}") from None
    except (ValueError, KeyError, TypeError, AttributeError):
        raise SystemExit(f"days: {path} is not a --json file of the bench") from None


def broken_rules(result: DayResult) -> dict[str, int]:
    """Return the broken rules with the number of violations of each."""
    return {rule: times for rule, times in result["row"]["rules"].items() if times}


def result_cell(result: DayResult | None) -> str:
    """Return a table cell with the score, the served share and the broken rules of a day."""
    if result is None:
        return "not run"
    if result["fault"]:
        return f"ended: {result['fault']}"
    rules = ", ".join(f"{rule} {times}" for rule, times in broken_rules(result).items()) or "kept"
    return f"{result['row']['G']:.3f}, {result['row']['served']:.3f}, {rules}"


def nearest_class(result: DayResult) -> str:
    """Return the request class with the lowest ratio of served to required share, and its two shares."""
    results = [ClassResult(*fields) for fields in result["row"]["by_class"]]
    with_floor = [class_result for class_result in results if class_result.floor]
    if result["fault"] or not with_floor:
        return ""
    nearest = min(with_floor, key=lambda class_result: class_result.served / class_result.floor)
    return f"{nearest.name} {nearest.served:.2f} of {nearest.floor:.2f}"


def start_times(result: DayResult) -> str:
    """Return the seconds until the first coordinator was ready, and the longest restart."""
    if result["fault"]:
        return ""
    seen = result["real"]["seen"]
    times = [seen["start_s"], max(seen["restart_s"], default=None)]
    return ", ".join(f"{time:.1f}" for time in times if time is not None)


def table_rows(paths: Sequence[str], before: str | None = None) -> Iterator[list[str]]:
    """Yield the rows of the table, header first; `before` is a folder with files of the same names."""
    title, *others = HEADER
    yield [title, *([f"before: {others[0]}"] if before else []), *others]
    for path in paths:
        earlier = _earlier_results(path, before)
        for day, result in read_results(path).items():
            yield [
                f"{day.name} {day.seed}",
                *([result_cell(earlier.get(day))] if before else []),
                result_cell(result),
                f"{result['row']['served_least']:.3f}",
                nearest_class(result),
                start_times(result),
            ]


def _earlier_results(path: str, before: str | None) -> dict[Day, DayResult]:
    """Return the results in the file of the same name in `before`, empty if there is no such file."""
    if before is None:
        return {}
    earlier = Path(before) / Path(path).name
    return read_results(earlier) if earlier.exists() else {}


def main(argv: list[str]) -> int:
    """Print the table and return the exit code."""
    arguments = docopt.docopt(USAGE, argv)
    paths = arguments["FILE"]
    header, *rows = table_rows(paths, arguments["--before"])
    for row in (header, ["---"] * len(header), *rows):
        print("|", " | ".join(row), "|")
    failed = [
        result
        for path in paths
        for result in read_results(path).values()
        if result["fault"] or broken_rules(result)
    ]
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
