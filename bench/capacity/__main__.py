"""Measure a coordinator's costs by size and write the fits and tables of docs/CAPACITY.md.

    python -m bench.capacity --json=docs/capacity.json --page=docs/CAPACITY.md

Each point is measured in a separate process, one at a time. Wrong predictions of held-out points and rejected
forms are listed at the end and on the page.
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
  --json=FILE        write all figures to this file
  --page=FILE        replace the generated tables of this page, between its markers
  --before=FILE      figures of an earlier version, for the table of before and after
  --from=FILE        read the figures from this file instead of measuring
  --before-text=DIR  also measure the scales on the program in this directory, in the same run
  --base=SIZES       sizes that a sweep does not vary, as backends=600,zones=8
  --sizes=SWEEPS     values of each sweep, the last one held out, as backends=150:300:600:900:1500,zones=...
  --scales=NAMES     scales that are measured completely, of today,tenth,service,service_routes,plan; or none
                     [default: all]
  --seed=N           seed of all random numbers  [default: 1]
  --repeats=N        measurements of a point, of which the median counts  [default: 3]
  --quiet            print no progress"""
NONE = "none"
ALL = "all"
Progress = Callable[[str], None]
# Measurements of each point of the sweep at the plan's sizes. Each measurement takes half a minute.
PLAN_REPEATS = 2


def main(argv: list[str]) -> int:
    """Measure or read figures, write them, print the tables and return the exit code."""
    arguments = docopt.docopt(USAGE, argv)
    stored_path = arguments["--from"]
    result = _read_result(stored_path) if stored_path else page.compacted(_measure(arguments))
    if arguments["--json"]:
        Path(arguments["--json"]).write_text(page.to_json(result), encoding="utf-8")
    before = _read_result(arguments["--before"]) if arguments["--before"] else None
    tables = page.tables(result, before)
    if arguments["--page"]:
        page.rewrite(arguments["--page"], tables)
    print("\n\n".join(tables.values()))
    return 0


def _read_result(path: str) -> sweep.Result:
    return msgspec.json.decode(Path(path).read_bytes(), type=sweep.Result)


def _base_sizes(text: str | None) -> Sizes:
    if not text:
        return sweep.BASE
    pairs = (pair.split("=") for pair in text.split(","))
    return msgspec.structs.replace(
        sweep.BASE, **{name: float(value) if name == "requests" else int(value) for name, value in pairs}
    )


def _sweep_values(text: str | None) -> Mapping[str, Sequence[float]]:
    if text is None:
        return sweep.SWEEP_VALUES
    if text == NONE:
        return {}
    pairs = (pair.split("=") for pair in text.split(","))
    return {name: tuple(map(float, values.split(":"))) for name, values in pairs}


def _measure(arguments: dict[str, Any]) -> sweep.Result:
    report_progress = _discard_progress if arguments["--quiet"] else _print_progress
    result = sweep.Result(seed=int(arguments["--seed"]), repeats=int(arguments["--repeats"]))
    for name in _scale_names(arguments["--scales"]):
        _measure_scale(result, name, arguments["--before-text"], report_progress)
    base = _base_sizes(arguments["--base"])
    for size, values in _sweep_values(arguments["--sizes"]).items():
        result.sweeps.append(
            sweep.run_sweep(base, size, values, result.seed, result.repeats, report_progress)
        )
    if "plan" in result.scales:
        routes = msgspec.structs.replace(sweep.PLAN, classes=sweep.PLAN_ROUTES)
        _measure_process(result, scales.ROUTES_SCALE, routes, report_progress)
        result.plan_classes = _sweep_plan_classes(result, report_progress)
        report_progress("state folder")
        result.state_points, result.state_slope = sweep.measure_state_points()
    return result


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _discard_progress(_: str) -> None:
    """Discard a progress message (`--quiet`)."""


def _scale_names(text: str) -> list[str]:
    if text == NONE:
        return []
    return list(sweep.SCALES) if text == ALL else text.split(",")


def _measure_scale(
    result: sweep.Result, name: str, earlier_program: str | None, report_progress: Progress
) -> None:
    sizes = sweep.SCALES[name]
    is_unrepeated = name in sweep.UNREPEATED_SCALES
    repeats = 1 if is_unrepeated else result.repeats
    request = Request(
        sizes=sizes, seed=result.seed, repeats=repeats, events=True, named_backends=not is_unrepeated
    )
    if earlier_program:
        report_progress(f"{name}, earlier version")
        result.before[name] = sweep.run_point(request, earlier_program)
    report_progress(name)
    result.scales[name] = sweep.run_point(request)
    _measure_process(result, name, sizes, report_progress)


def _measure_process(result: sweep.Result, name: str, sizes: Sizes, report_progress: Progress) -> None:
    """Measure a process at these sizes; print a failure, after which its rows have no figures."""
    report_progress(f"{name}, process")
    try:
        result.processes[name] = process.measure(sizes)
    except (OSError, RuntimeError) as error:
        print(f"{name}: the process was not measured: {error}", file=sys.stderr)


def _sweep_plan_classes(result: sweep.Result, report_progress: Progress) -> sweep.SweepResult:
    """Sweep the number of request classes while the other sizes are those of the plan."""
    return sweep.run_sweep(
        sweep.PLAN, "classes", sweep.PLAN_CLASSES, result.seed, PLAN_REPEATS, report_progress
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
