"""What a coordinator costs by size, with fits and the tables of docs/CAPACITY.md.

    python -m bench.capacity --json=docs/capacity.json --page=docs/CAPACITY.md

Each point is measured in a process of its own, one at a time. A held-out point that is off, and a form that
was refused, are named at the end and on the page.
"""

import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import docopt
import msgspec

from bench.capacity import page, process, scales, sweep
from bench.capacity.point import Request
from bench.capacity.sizes import Sizes

USAGE = """Usage: capacity [--json=FILE] [--page=FILE] [--before=FILE] [--from=FILE] [--before-text=DIR]
                [--base=SIZES] [--sizes=SWEEPS] [--scales=NAMES] [--seed=N] [--repeats=N] [--quiet]

Options:
  --json=FILE        write all figures there
  --page=FILE        write the generated tables of this page anew, between its markers
  --before=FILE      figures of a former text, for the table of before and after
  --from=FILE        measure nothing, take the figures from there
  --before-text=DIR  measure the scales on the program in this directory as well, in the same run
  --base=SIZES       sizes that a sweep does not vary, as backends=600,zones=8
  --sizes=SWEEPS     values of each sweep, the last one held out, as backends=150:300:600:900:1500,zones=...
  --scales=NAMES     scales that are measured whole, of today,tenth,service,service_routes,plan; or none
                     [default: all]
  --seed=N           seed of all chance  [default: 1]
  --repeats=N        measurements of a point, of which the median counts  [default: 3]
  --quiet            tell no progress"""
NONE = "none"
ALL = "all"
Tell = Callable[[str], None]
PLAN_REPEATS = 2  # of each point of the classes at the plan's other sizes, half a minute each


def main(words: list[str]) -> int:
    """Measures or reads figures, writes them and prints the tables; returns the exit code."""
    arguments = docopt.docopt(USAGE, words)
    stored = arguments["--from"]
    result = _read(stored) if stored else page.shortened(_measure(arguments))
    if arguments["--json"]:
        Path(arguments["--json"]).write_text(page.stored(result), encoding="utf-8")
    before = _read(arguments["--before"]) if arguments["--before"] else None
    tables = page.tables(result, before)
    if arguments["--page"]:
        page.rewrite(arguments["--page"], tables)
    print("\n\n".join(tables.values()))
    return 0


def _read(path: str) -> sweep.Result:
    return msgspec.json.decode(Path(path).read_bytes(), type=sweep.Result)


def _base(text: str | None) -> Sizes:
    if not text:
        return sweep.BASE
    pairs = (pair.split("=") for pair in text.split(","))
    return msgspec.structs.replace(
        sweep.BASE, **{name: float(value) if name == "requests" else int(value) for name, value in pairs}
    )


def _sweeps(text: str | None) -> Mapping[str, Sequence[float]]:
    if text is None:
        return sweep.SIZES
    if text == NONE:
        return {}
    pairs = (pair.split("=") for pair in text.split(","))
    return {name: tuple(map(float, values.split(":"))) for name, values in pairs}


def _measure(arguments: dict[str, Any]) -> sweep.Result:
    tell = _ignore if arguments["--quiet"] else _print_progress
    result = sweep.Result(seed=int(arguments["--seed"]), repeats=int(arguments["--repeats"]))
    for name in _scale_names(arguments["--scales"]):
        _scale(result, name, arguments["--before-text"], tell)
    base = _base(arguments["--base"])
    for size, values in _sweeps(arguments["--sizes"]).items():
        result.sweeps.append(sweep.run_sweep(base, size, values, result.seed, result.repeats, tell))
    if "plan" in result.scales:
        routes = msgspec.structs.replace(sweep.PLAN, classes=sweep.ROUTES)
        _process(result, scales.ROUTES, routes, tell)
        result.plan_classes = _plan_classes(result, tell)
        tell("state folder")
        result.state_points, result.state_slope = sweep.state_points()
    return result


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _ignore(_: str) -> None:
    """Takes progress that nobody wants to see."""


def _scale_names(text: str) -> list[str]:
    if text == NONE:
        return []
    return list(sweep.SCALES) if text == ALL else text.split(",")


def _scale(result: sweep.Result, name: str, former: str | None, tell: Tell) -> None:
    sizes = sweep.SCALES[name]
    once = name in sweep.ONCE
    repeats = 1 if once else result.repeats
    request = Request(sizes=sizes, seed=result.seed, repeats=repeats, events=True, named=not once)
    if former:
        tell(f"{name}, former text")
        result.before[name] = sweep.run_point(request, former)
    tell(name)
    result.scales[name] = sweep.run_point(request)
    _process(result, name, sizes, tell)


def _process(result: sweep.Result, name: str, sizes: Sizes, tell: Tell) -> None:
    """Measures a process at these sizes; one that fails is told, and its rows stay open."""
    tell(f"{name}, process")
    try:
        result.processes[name] = process.measure(sizes)
    except (OSError, RuntimeError) as error:
        print(f"{name}: the process was not measured: {error}", file=sys.stderr)


def _plan_classes(result: sweep.Result, tell: Tell) -> sweep.Swept:
    """The classes swept at the plan's other sizes."""
    return sweep.run_sweep(sweep.PLAN, "classes", sweep.PLAN_CLASSES, result.seed, PLAN_REPEATS, tell)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
