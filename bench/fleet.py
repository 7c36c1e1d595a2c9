"""Combine the metrics in the logs of several coordinators on one time axis, a row a second.

    python -m bench.fleet LOG...            rows for all coordinators combined
    python -m bench.fleet --each LOG...     also a row for each coordinator
    python -m bench.fleet --backends LOG... also the outliers among the backends

The logs contain metrics only if the operator's file has a section [figures] (docs/fleet.md). Text before the
first brace of a line is ignored, so logs with a time stamp on each line can be read unchanged.
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import docopt
import orjson

USAGE = """Usage: fleet [--each] [--backends] [--from=S] [--to=S] LOG...

Options:
  --each      a row for each coordinator too
  --backends  the backends without an ordinary weight, most attempts first
  --from=S    seconds after the first line to begin at  [default: 0]
  --to=S      seconds after the first line to end at  [default: 1e9]"""
ROW_MS = 1_000  # time span of a row
BACKENDS_SHOWN = 8  # in each row; those with the most attempts
REASONS = (
    "warming_up",
    "recovering",
    "ejected",
    "unverified",
    "removal_unconfirmed",
    "draining",
    "gone",
)

Event = dict[str, Any]  # a decoded log line


@dataclass
class CoordinatorRow:
    """Events that one coordinator logged within a second."""

    events: Counter[str] = field(default_factory=Counter)  # event -> number of lines
    metrics: Event | None = None  # the last metrics event
    new_entries: float = 0  # entries published since the previous metrics event
    new_reports: int = 0  # load reports received since the previous metrics event


@dataclass
class OutlierTotals:
    """Attempts and failures of one outlier, summed over the coordinators that report it."""

    reasons: set[str] = field(default_factory=set)
    attempts: float = 0.0
    failures: float = 0.0
    coordinators: int = 0


@dataclass(kw_only=True)
class FleetRow:
    """Metrics of several coordinators in one second: sums, or the worst value if a sum has no meaning."""

    joined: int
    unassigned: int
    ejected_links: int
    last_resort_links: int
    queue_share: float  # highest share of the in-flight limit
    observed_share: float  # lowest share of the configured rate
    acknowledgement_s: float
    oldest_in_flight_s: float  # highest age of an unacknowledged message
    new_entries: float
    new_reports: int
    admitted_share: float
    success_ratio: float
    overloaded: int  # number of overloaded coordinators
    list_age_s: float
    longest_turn_ms: float
    health_checks: int
    attempts: Counter[str]  # attempts to outliers, by reason
    outliers: dict[str, OutlierTotals]  # totals by backend


COLUMNS = (  # title, field of FleetRow, format
    ("joined", "joined", "6d"),
    ("unassigned", "unassigned", "10d"),
    ("queue", "queue_share", "5.2f"),
    ("rate", "observed_share", "4.2f"),
    ("entries", "new_entries", "7.0f"),
    ("ack_s", "acknowledgement_s", "6.2f"),
    ("oldest_s", "oldest_in_flight_s", "8.2f"),
    ("reports", "new_reports", "7d"),
    ("admitted", "admitted_share", "8.2f"),
    ("success", "success_ratio", "7.2f"),
    ("overloaded", "overloaded", "10d"),
    ("ejected", "ejected_links", "7d"),
    ("last_resort", "last_resort_links", "11d"),
    ("list_s", "list_age_s", "6.1f"),
    ("turn_ms", "longest_turn_ms", "7.1f"),
    ("checks", "health_checks", "6d"),
)


def parse_events(data: bytes) -> Iterator[Event]:
    """Yield the events of one log; truncated lines and lines without an event are skipped."""
    for line in data.splitlines():
        start = line.find(b"{")
        try:
            event = orjson.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(event, dict) and "at_ms" in event and "event" in event:
            yield event


def rows_by_second(logs: Mapping[str, list[Event]]) -> dict[int, dict[str, CoordinatorRow]]:
    """Return the row of each coordinator by second, given the events of each coordinator."""
    begin = min((event["at_ms"] for events in logs.values() for event in events), default=0)
    table: dict[int, dict[str, CoordinatorRow]] = defaultdict(dict)
    for name, events in logs.items():
        entries_before, reports_before = 0, 0
        for event in events:
            row = table[(event["at_ms"] - begin) // ROW_MS].setdefault(name, CoordinatorRow())
            row.events[event["event"]] += 1
            if event["event"] == "metrics":
                row.metrics = event
                row.new_entries = event["total_entries"] - entries_before
                row.new_reports = event["total_reports"] - reports_before
                entries_before, reports_before = event["total_entries"], event["total_reports"]
    return dict(sorted(table.items()))


def combine_rows(coordinator_rows: Iterable[CoordinatorRow]) -> FleetRow | None:
    """Combine the rows of several coordinators; return None if none of them logged metrics."""
    coordinator_rows = list(coordinator_rows)
    rows_with_metrics = [row for row in coordinator_rows if row.metrics]
    if not rows_with_metrics:
        return None
    metrics = [row.metrics for row in rows_with_metrics if row.metrics]
    return FleetRow(
        joined=sum(event["joined"] for event in metrics),
        unassigned=sum(event["unassigned"] for event in metrics),
        ejected_links=sum(event["ejected_links"] for event in metrics),
        last_resort_links=sum(event["last_resort_links"] for event in metrics),
        queue_share=max(event["in_flight"] / event["in_flight_limit"] for event in metrics),
        observed_share=min(event["observed_rate"] / event["configured_rate"] for event in metrics),
        acknowledgement_s=max(event["acknowledgement_ms"] for event in metrics) / 1000,
        # Logs of releases before the field was added do not contain it
        oldest_in_flight_s=max(event.get("oldest_in_flight_ms", 0) for event in metrics) / 1000,
        new_entries=sum(row.new_entries for row in rows_with_metrics),
        new_reports=sum(row.new_reports for row in rows_with_metrics),
        admitted_share=min(event["admitted_share"] for event in metrics),
        success_ratio=min(event["success_ratio"] for event in metrics),
        overloaded=sum(event["overloaded"] for event in metrics),
        list_age_s=max(event["list_age_ms"] for event in metrics) / 1000,
        longest_turn_ms=max(event["longest_turn_us"] for event in metrics) / 1000,
        health_checks=sum(row.events["health_check"] for row in coordinator_rows),
        attempts=_attempts_by_reason(metrics),
        outliers=_outliers_of(metrics),
    )


def _attempts_by_reason(metrics: Iterable[Event]) -> Counter[str]:
    attempts: Counter[str] = Counter()
    for event in metrics:
        for reason, count, _, _ in event["outliers"].values():
            attempts[reason] += count
    return attempts


def _outliers_of(metrics: Iterable[Event]) -> dict[str, OutlierTotals]:
    totals: dict[str, OutlierTotals] = defaultdict(OutlierTotals)
    for event in metrics:
        for backend, (reason, attempts, failures, _) in event["outliers"].items():
            total = totals[backend]
            total.reasons.add(reason)
            total.attempts += attempts
            total.failures += failures
            total.coordinators += 1
    return totals


def row_text(second: int, name: str, row: FleetRow) -> str:
    """Return one line of the table."""
    cells = (format(getattr(row, key), spec).rjust(len(title)) for title, key, spec in COLUMNS)
    attempts = ", ".join(f"{row.attempts[reason]:.0f}" for reason in REASONS)
    return f"{second:5d} {name:>8.8} " + " ".join(cells) + "  " + attempts


def header_text() -> str:
    """Return the header line of the table."""
    titles = " ".join(title.rjust(len(format(0, spec))) for title, _, spec in COLUMNS)
    return f"{'s':>5} {'who':>8} {titles}  attempts to " + ", ".join(REASONS)


def outlier_text(backend: str, total: OutlierTotals) -> str:
    """Return the line that describes one outlier below a row."""
    reasons = "/".join(sorted(total.reasons))
    return (
        f"{'':14} {backend} {reasons} at {total.coordinators}: "
        f"{total.attempts:.0f} attempts, {total.failures:.0f} failed"
    )


def report(
    logs: Mapping[str, list[Event]],
    per_coordinator: bool = False,
    backends: bool = False,
    begin: float = 0.0,
    end: float = 1e9,
) -> str:
    """Return the table from second `begin` to second `end`.

    `per_coordinator` adds a row for each coordinator, `backends` the outliers with most attempts.
    """
    text = [header_text()]
    for second, coordinator_rows in rows_by_second(logs).items():
        row = combine_rows(coordinator_rows.values()) if begin <= second <= end else None
        if row is None:
            continue
        text.append(row_text(second, "all", row))
        if per_coordinator:
            for name, coordinator_row in sorted(coordinator_rows.items()):
                single_row = combine_rows([coordinator_row])
                if single_row is not None:
                    text.append(row_text(second, name, single_row))
        if backends:
            outliers = sorted(row.outliers.items(), key=lambda pair: -pair[1].attempts)[:BACKENDS_SHOWN]
            text += [outlier_text(backend, total) for backend, total in outliers]
    return "\n".join(text)


def main(argv: list[str]) -> None:
    """Print the table of the logs that the arguments name."""
    options = docopt.docopt(USAGE, argv)
    logs = {}
    for path in options["LOG"]:
        events = list(parse_events(Path(path).read_bytes()))
        logs[next((event["name"] for event in events if "name" in event), path)] = events
    begin, end = float(options["--from"]), float(options["--to"])
    print(report(logs, options["--each"], options["--backends"], begin, end))


if __name__ == "__main__":
    main(sys.argv[1:])
