"""The result of an experiment: typed, as JSON and as a table for a terminal."""

import json
import statistics
from collections.abc import Iterable, Sequence

import msgspec

from granitespool.emulator.request_traffic import OutcomeShares
from granitespool.emulator.restart import Sample, TrialResult
from granitespool.units import SECOND

DECIMAL_PLACES = 4  # after the point, of what is reported
DistancePoint = tuple[
    float, float, float
]  # s after the start, distance of the coordinator's tables and of the proxies'


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One size and variant; medians over the seeds. The fields are the keys of the JSON."""

    size: str
    variant: str
    tables_s: float | None
    held_s: float | None
    service: dict[str, OutcomeShares]  # by class, of the first seconds after the start
    usual: dict[str, float]  # by class, the share in time before the end
    spread: dict[str, float]  # by class, largest less least share in time over the seeds
    far: list[DistancePoint]  # of the first seed


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """A whole experiment. The fields are the keys of the JSON."""

    title: str
    program: str  # version
    seeds: int
    first_seed: int
    rows: list[Row]


def make_row(size: str, variant: str, trials: Sequence[TrialResult]) -> Row:
    """Sums the trials of one size and variant up, one a seed."""
    names = list(trials[0].outcomes)
    in_time = {name: [trial.outcomes[name].in_time for trial in trials] for name in names}
    return Row(
        size=size,
        variant=variant,
        tables_s=_median_of_present(trial.coordinator_settled_s for trial in trials),
        held_s=_median_of_present(trial.proxies_settled_s for trial in trials),
        service={name: _median_outcomes([trial.outcomes[name] for trial in trials]) for name in names},
        usual={
            name: _rounded_median(trial.baseline_outcomes[name].in_time for trial in trials) for name in names
        },
        spread={name: round(max(column) - min(column), DECIMAL_PLACES) for name, column in in_time.items()},
        far=[_distance_point(sample) for sample in trials[0].samples],
    )


def _median_of_present(values: Iterable[float | None]) -> float | None:
    """The median of the values that are there, None where there are none."""
    known = [value for value in values if value is not None]
    return _rounded_median(known) if known else None


def _rounded_median(values: Iterable[float]) -> float:
    return round(statistics.median(values), DECIMAL_PLACES)


def _median_outcomes(found: Sequence[OutcomeShares]) -> OutcomeShares:
    return OutcomeShares(
        asked=_rounded_median(shares.asked for shares in found),
        in_time=_rounded_median(shares.in_time for shares in found),
        late=_rounded_median(shares.late for shares in found),
        failed=_rounded_median(shares.failed for shares in found),
        refused=_rounded_median(shares.refused for shares in found),
    )


def _distance_point(sample: Sample) -> DistancePoint:
    distances = sample.distances
    return (
        round(sample.at / SECOND, 1),
        round(distances.coordinator, DECIMAL_PLACES),
        round(distances.proxies, DECIMAL_PLACES),
    )


def as_json(report: Report) -> str:
    """The report as indented JSON."""
    return json.dumps(msgspec.to_builtins(report), indent=1)


def format_table(report: Report) -> list[str]:
    """The report as lines for a terminal."""
    names = list(report.rows[0].service)
    head = ["size", "variant", "tables", "held"]
    head += [f"{name} in time" for name in names]
    head += [f"{name} before" for name in names]
    lines = [head, *(_row_cells(row, names) for row in report.rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    return [
        f"{report.title} (simulated servers; median of {report.seeds} seeds)",
        *("  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip() for line in lines),
    ]


def _row_cells(row: Row, names: Sequence[str]) -> list[str]:
    return [
        row.size,
        row.variant,
        _format_seconds(row.tables_s),
        _format_seconds(row.held_s),
        *(f"{row.service[name].in_time:.4f}" for name in names),
        *(f"{row.usual[name]:.4f}" for name in names),
    ]


def _format_seconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds:.1f} s"
