"""The result of an experiment: as records, as JSON and as a text table for a terminal."""

import json
import statistics
from collections.abc import Iterable, Sequence

import msgspec

from granitespool.emulator.request_traffic import OutcomeShares
from granitespool.emulator.restart import Sample, TrialResult
from granitespool.units import SECOND

DECIMAL_PLACES = 4  # reported values are rounded to these decimal places
# (seconds after the start, distance of the coordinator's tables, distance of the proxies' tables)
DistancePoint = tuple[float, float, float]


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one size and variant, as medians over the seeds. The fields are the keys of the JSON."""

    size: str
    variant: str
    tables_s: float | None  # s after the start until the coordinator's tables have settled
    held_s: float | None  # s after the start until the proxies' tables have settled
    service: dict[str, OutcomeShares]  # class -> outcomes of the first seconds after the start
    usual: dict[str, float]  # class -> share of transactions answered in time before the kill
    # Class -> largest minus smallest share of transactions answered in time, over the trials of all seeds.
    spread: dict[str, float]
    far: list[DistancePoint]  # distances over time in the trial of the first seed


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a whole experiment. The fields are the keys of the JSON."""

    title: str
    program: str  # version of granitespool
    seeds: int
    first_seed: int
    rows: list[Row]


def make_row(size: str, variant: str, trials: Sequence[TrialResult]) -> Row:
    """Return the row of one size and variant; `trials` contains one result for each seed."""
    names = list(trials[0].outcomes)
    in_time_shares = {name: [trial.outcomes[name].in_time for trial in trials] for name in names}
    return Row(
        size=size,
        variant=variant,
        tables_s=_median_of_present(trial.coordinator_settled_s for trial in trials),
        held_s=_median_of_present(trial.proxies_settled_s for trial in trials),
        service={name: _median_outcomes([trial.outcomes[name] for trial in trials]) for name in names},
        usual={
            name: _rounded_median(trial.baseline_outcomes[name].in_time for trial in trials) for name in names
        },
        spread={
            name: round(max(shares) - min(shares), DECIMAL_PLACES) for name, shares in in_time_shares.items()
        },
        far=[_distance_point(sample) for sample in trials[0].samples],
    )


def _median_of_present(values: Iterable[float | None]) -> float | None:
    """Return the rounded median of the values that are not None, or None if there are none."""
    present = [value for value in values if value is not None]
    return _rounded_median(present) if present else None


def _rounded_median(values: Iterable[float]) -> float:
    return round(statistics.median(values), DECIMAL_PLACES)


def _median_outcomes(outcomes: Sequence[OutcomeShares]) -> OutcomeShares:
    return OutcomeShares(
        asked=_rounded_median(shares.asked for shares in outcomes),
        in_time=_rounded_median(shares.in_time for shares in outcomes),
        late=_rounded_median(shares.late for shares in outcomes),
        failed=_rounded_median(shares.failed for shares in outcomes),
        refused=_rounded_median(shares.refused for shares in outcomes),
    )


def _distance_point(sample: Sample) -> DistancePoint:
    distances = sample.distances
    return (
        round(sample.at / SECOND, 1),
        round(distances.coordinator, DECIMAL_PLACES),
        round(distances.proxies, DECIMAL_PLACES),
    )


def as_json(report: Report) -> str:
    """Return the report as indented JSON."""
    return json.dumps(msgspec.to_builtins(report), indent=1)


def format_table(report: Report) -> list[str]:
    """Return the report as lines of a text table."""
    names = list(report.rows[0].service)
    header = ["size", "variant", "tables", "held"]
    header += [f"{name} in time" for name in names]
    header += [f"{name} before" for name in names]
    lines = [header, *(_row_cells(row, names) for row in report.rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
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
