"""Counts across coordinators: their logs put side by side on one time axis, a row a second.

    python -m bench.fleet LOG...            rows for all together
    python -m bench.fleet --each LOG...     and a row for each coordinator
    python -m bench.fleet --backends LOG... and the outliers among the backends

The logs need the operator's section [figures] (docs/fleet.md). Whatever stands before a line's first brace is
left out, so logs that something has stamped can be read as they are."""

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
  --backends  the backends that carry no ordinary share, most attempts first
  --from=S    seconds after the first line to begin at  [default: 0]
  --to=S      seconds after the first line to end at  [default: 1e9]"""
ROW_MS = 1_000  # ms of a row
BACKENDS_SHOWN = 8  # of a row: those with most attempts
REASONS = (
    "warming_up",
    "recovering",
    "ejected",
    "unverified",
    "removal_unconfirmed",
    "draining",
    "gone",
)

Event = dict[str, Any]  # a line of the log


@dataclass
class CoordinatorRow:
    """What one coordinator logged within a second."""

    events: Counter[str] = field(default_factory=Counter)  # event -> lines
    metrics: Event | None = None  # the last line of metrics
    new_entries: float = 0  # published since the line of metrics before
    new_reports: int = 0  # load reports taken since then


@dataclass
class OutlierTotals:
    """What several coordinators tell of one backend."""

    reasons: set[str] = field(default_factory=set)
    attempts: float = 0.0
    failures: float = 0.0
    coordinators: int = 0


@dataclass(kw_only=True)
class FleetRow:
    """A second of several coordinators: sums, and the worst of what is no sum."""

    joined: int
    unassigned: int
    ejected_links: int
    last_resort_links: int
    queue_share: float  # of the in-flight limit, the highest
    observed_share: float  # of the configured rate, the lowest
    acknowledgement_s: float
    new_entries: float
    new_reports: int
    admitted_share: float
    success_ratio: float
    overloaded: int  # coordinators
    list_age_s: float
    longest_turn_ms: float
    health_checks: int
    attempts: Counter[str]  # to outliers, by reason
    outliers: dict[str, OutlierTotals]  # by backend


COLUMNS = (  # title, field of the row, how it is written
    ("joined", "joined", "6d"),
    ("unassigned", "unassigned", "10d"),
    ("queue", "queue_share", "5.2f"),
    ("rate", "observed_share", "4.2f"),
    ("entries", "new_entries", "7.0f"),
    ("ack_s", "acknowledgement_s", "6.2f"),
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


def lines(data: bytes) -> Iterator[Event]:
    """The events of one log; lines that are cut or no events are left out."""
    for line in data.splitlines():
        start = line.find(b"{")
        try:
            event = orjson.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(event, dict) and "at_ms" in event and "event" in event:
            yield event


def rows(logs: Mapping[str, list[Event]]) -> dict[int, dict[str, CoordinatorRow]]:
    """{second: {coordinator: its row}} of {coordinator: its events}."""
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


def together(found: Iterable[CoordinatorRow]) -> FleetRow | None:
    """One row of several coordinators, or None where none of them wrote its metrics."""
    found = list(found)
    measured = [row for row in found if row.metrics]
    if not measured:
        return None
    metrics = [row.metrics for row in measured if row.metrics]
    return FleetRow(
        joined=sum(each["joined"] for each in metrics),
        unassigned=sum(each["unassigned"] for each in metrics),
        ejected_links=sum(each["ejected_links"] for each in metrics),
        last_resort_links=sum(each["last_resort_links"] for each in metrics),
        queue_share=max(each["in_flight"] / each["in_flight_limit"] for each in metrics),
        observed_share=min(each["observed_rate"] / each["configured_rate"] for each in metrics),
        acknowledgement_s=max(each["acknowledgement_ms"] for each in metrics) / 1000,
        new_entries=sum(row.new_entries for row in measured),
        new_reports=sum(row.new_reports for row in measured),
        admitted_share=min(each["admitted_share"] for each in metrics),
        success_ratio=min(each["success_ratio"] for each in metrics),
        overloaded=sum(each["overloaded"] for each in metrics),
        list_age_s=max(each["list_age_ms"] for each in metrics) / 1000,
        longest_turn_ms=max(each["longest_turn_us"] for each in metrics) / 1000,
        health_checks=sum(row.events["health_check"] for row in found),
        attempts=_attempts_by_reason(metrics),
        outliers=_outliers_of(metrics),
    )


def _attempts_by_reason(metrics: Iterable[Event]) -> Counter[str]:
    attempts: Counter[str] = Counter()
    for each in metrics:
        for reason, tried, _, _ in each["outliers"].values():
            attempts[reason] += tried
    return attempts


def _outliers_of(metrics: Iterable[Event]) -> dict[str, OutlierTotals]:
    totals: dict[str, OutlierTotals] = defaultdict(OutlierTotals)
    for each in metrics:
        for backend, (reason, attempts, failures, _) in each["outliers"].items():
            total = totals[backend]
            total.reasons.add(reason)
            total.attempts += attempts
            total.failures += failures
            total.coordinators += 1
    return totals


def row_text(second: int, name: str, row: FleetRow) -> str:
    """One line of the table."""
    cells = (format(getattr(row, key), form).rjust(len(title)) for title, key, form in COLUMNS)
    attempts = ", ".join(f"{row.attempts[reason]:.0f}" for reason in REASONS)
    return f"{second:5d} {name:>8.8} " + " ".join(cells) + "  " + attempts


def head_text() -> str:
    """The table's first line."""
    titles = " ".join(title.rjust(len(format(0, form))) for title, _, form in COLUMNS)
    return f"{'s':>5} {'who':>8} {titles}  attempts to " + ", ".join(REASONS)


def outlier_text(backend: str, total: OutlierTotals) -> str:
    """One line of a backend under its row."""
    reasons = "/".join(sorted(total.reasons))
    return (
        f"{'':14} {backend} {reasons} at {total.coordinators}: "
        f"{total.attempts:.0f} attempts, {total.failures:.0f} failed"
    )


def report(
    logs: Mapping[str, list[Event]],
    each: bool = False,
    backends: bool = False,
    begin: float = 0.0,
    end: float = 1e9,
) -> str:
    """The text of all rows from second `begin` to second `end`."""
    text = [head_text()]
    for second, found in rows(logs).items():
        row = together(found.values()) if begin <= second <= end else None
        if row is None:
            continue
        text.append(row_text(second, "all", row))
        if each:
            for name, coordinator_row in sorted(found.items()):
                alone = together([coordinator_row])
                if alone is not None:
                    text.append(row_text(second, name, alone))
        if backends:
            most = sorted(row.outliers.items(), key=lambda pair: -pair[1].attempts)[:BACKENDS_SHOWN]
            text += [outlier_text(backend, total) for backend, total in most]
    return "\n".join(text)


def main(words: list[str]) -> None:
    """Prints the report of the logs that the words name."""
    options = docopt.docopt(USAGE, words)
    logs = {}
    for path in options["LOG"]:
        events = list(lines(Path(path).read_bytes()))
        logs[next((event["name"] for event in events if "name" in event), path)] = events
    begin, end = float(options["--from"]), float(options["--to"])
    print(report(logs, options["--each"], options["--backends"], begin, end))


if __name__ == "__main__":
    main(sys.argv[1:])
