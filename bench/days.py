"""The plays of the standing bench as a table: what its --json files say, a row a day.

    lbreal SITE --rough roll+mass --nodes 30 --seed 3 --json after/roll-3.json
    python -m bench.days after/*.json                  rows for the pages, as Markdown
    python -m bench.days --before=DIR after/*.json     beside the files of the same names in another folder

A file of a score has a row for each of its days. Exit code 1 where a rule broke or a play ended early."""

import json
import sys
from pathlib import Path

import docopt

USAGE = """Usage: days [--before=DIR] FILE..."""
HEAD = ("day, seed", "G, served, rules", "gate", "nearest class", "ready, restarted within (s)")


def plays(path):
    """The plays of a file, {(day, seed): play}; one that cannot be read ends in one sentence."""
    try:
        whole = json.loads(Path(path).read_bytes())
        return {(play["row"]["name"], play["row"]["seed"]): play for play in whole.get("days", [whole])}
    except OSError as error:
        raise SystemExit(f"days: {path} cannot be read: {error.strerror}") from None
    except (ValueError, KeyError, TypeError, AttributeError):
        raise SystemExit(f"days: {path} is no file of the bench's --json") from None


def broken(play):
    return {rule: times for rule, times in play["row"]["rules"].items() if times}


def result(play):
    """What came of a play, in a cell."""
    if play is None:
        return "not run"
    if play["fault"]:
        return f"ended: {play['fault']}"
    rules = ", ".join(f"{rule} {times}" for rule, times in broken(play).items()) or "kept"
    return f"{play['row']['G']:.3f}, {play['row']['served']:.3f}, {rules}"


def nearest(play):
    """The class that is nearest to its floor, and both figures."""
    floors = [each for each in play["row"]["by_class"] if each[2]]
    if play["fault"] or not floors:
        return ""
    name, served, least = min(floors, key=lambda each: each[1] / each[2])
    return f"{name} {served:.2f} of {least:.2f}"


def started(play):
    if play["fault"]:
        return ""
    seen = play["real"]["seen"]
    return ", ".join(
        f"{each:.1f}" for each in (seen["start_s"], max(seen["restart_s"], default=None)) if each is not None
    )


def rows(files, before=None):
    """The table's rows, and whether all went well."""
    title, *others = HEAD
    yield (title, *([f"before: {others[0]}"] if before else []), *others)
    for path in files:
        other = before and Path(before) / Path(path).name
        former = plays(other) if other and other.exists() else {}
        for (day, seed), play in plays(path).items():
            yield (
                f"{day} {seed}",
                *([result(former.get((day, seed)))] if before else []),
                result(play),
                f"{play['row']['served_least']:.3f}",
                nearest(play),
                started(play),
            )


def main(words):
    told = docopt.docopt(USAGE, words)
    table = list(rows(told["FILE"], told["--before"]))
    table.insert(1, ["---"] * len(table[0]))
    for row in table:
        print("|", " | ".join(row), "|")
    wrong = [play for path in told["FILE"] for play in plays(path).values() if play["fault"] or broken(play)]
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
