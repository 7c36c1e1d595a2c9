"""The plays of the standing bench as a table: what its --json files say, a row a day.

    lbreal SITE --rough roll+mass --nodes 30 --seed 3 --json after/roll-3.json
    python -m bench.days after/*.json                  rows for the pages, as Markdown
    python -m bench.days --before=DIR after/*.json     beside the files of the same names in another folder

A file of a score has a row for each of its days. Exit code 1 where a rule broke or a play ended early."""

import json
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import docopt

USAGE = """Usage: days [--before=DIR] FILE..."""
HEAD = ("day, seed", "G, served, rules", "gate", "nearest class", "ready, restarted within (s)")

Play = dict[str, Any]  # as the bench writes it


class Day(NamedTuple):
    """What a play is of."""

    name: str
    seed: int


class ClassResult(NamedTuple):
    """What a class got, and the least that it has to get; shares."""

    name: str
    served: float
    floor: float


def plays(path: str | Path) -> dict[Day, Play]:
    """The plays of a file; raises SystemExit with one sentence where it cannot be read."""
    try:
        whole = json.loads(Path(path).read_bytes())
        return {Day(play["row"]["name"], play["row"]["seed"]): play for play in whole.get("days", [whole])}
    except OSError as error:
        raise SystemExit(f"days: {path} cannot be read: {error.strerror}") from None
    except (ValueError, KeyError, TypeError, AttributeError):
        raise SystemExit(f"days: {path} is no file of the bench's --json") from None


def broken_rules(play: Play) -> dict[str, int]:
    """How often each rule was broken that was."""
    return {rule: times for rule, times in play["row"]["rules"].items() if times}


def result(play: Play | None) -> str:
    """What came of a play, in a cell."""
    if play is None:
        return "not run"
    if play["fault"]:
        return f"ended: {play['fault']}"
    rules = ", ".join(f"{rule} {times}" for rule, times in broken_rules(play).items()) or "kept"
    return f"{play['row']['G']:.3f}, {play['row']['served']:.3f}, {rules}"


def nearest_class(play: Play) -> str:
    """The class that is nearest to its floor, and both figures."""
    found = [ClassResult(*each) for each in play["row"]["by_class"]]
    with_floor = [each for each in found if each.floor]
    if play["fault"] or not with_floor:
        return ""
    nearest = min(with_floor, key=lambda each: each.served / each.floor)
    return f"{nearest.name} {nearest.served:.2f} of {nearest.floor:.2f}"


def start_times(play: Play) -> str:
    """Seconds until the first coordinator was ready, and the longest restart."""
    if play["fault"]:
        return ""
    seen = play["real"]["seen"]
    times = [seen["start_s"], max(seen["restart_s"], default=None)]
    return ", ".join(f"{time:.1f}" for time in times if time is not None)


def table(paths: Sequence[str], before: str | None = None) -> Iterator[list[str]]:
    """The table's rows, the head first; `before`: a folder with files of the same names."""
    title, *others = HEAD
    yield [title, *([f"before: {others[0]}"] if before else []), *others]
    for path in paths:
        former = _former_plays(path, before)
        for day, play in plays(path).items():
            yield [
                f"{day.name} {day.seed}",
                *([result(former.get(day))] if before else []),
                result(play),
                f"{play['row']['served_least']:.3f}",
                nearest_class(play),
                start_times(play),
            ]


def _former_plays(path: str, before: str | None) -> dict[Day, Play]:
    """The plays of the file of the same name in the folder `before`; none where there is no such file."""
    if before is None:
        return {}
    former = Path(before) / Path(path).name
    return plays(former) if former.exists() else {}


def main(words: list[str]) -> int:
    """Prints the table; the exit code."""
    arguments = docopt.docopt(USAGE, words)
    paths = arguments["FILE"]
    head, *rows = table(paths, arguments["--before"])
    for row in (head, ["---"] * len(head), *rows):
        print("|", " | ".join(row), "|")
    wrong = [play for path in paths for play in plays(path).values() if play["fault"] or broken_rules(play)]
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
