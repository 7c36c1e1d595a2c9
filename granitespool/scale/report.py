"""The result of a run: typed, as a table for a terminal and as JSON.

The fields' names are the keys of the JSON, which docs hold figures of."""

import statistics
from collections.abc import Sequence

import msgspec

from granitespool.scale.checker import Violation
from granitespool.units import MILLISECOND

VIOLATIONS_MAX = 20  # in a report
PRINTED_VIOLATIONS_MAX = 5


class Times(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of one kind, in ms; all None where there were none."""

    count: int
    median_ms: float | None = None
    worst_ms: float | None = None
    unfinished: int = 0  # that had not come to an end when the run ended


def times(durations: Sequence[int], unfinished: int = 0) -> Times:
    """Sums durations (ns) up; `unfinished` had not come to an end."""
    if not durations:
        return Times(count=0, unfinished=unfinished)
    return Times(
        count=len(durations),
        median_ms=round(statistics.median(durations) / MILLISECOND, 1),
        worst_ms=round(max(durations) / MILLISECOND, 1),
        unfinished=unfinished,
    )


class KindTraffic(msgspec.Struct, frozen=True, kw_only=True):
    """Messages of one kind between a coordinator and the others."""

    messages: int  # of the whole run
    bytes: int
    bytes_per_s: float = 0.0  # while it was measured: without the start


class CoordinatorRow(msgspec.Struct, frozen=True, kw_only=True):
    """One real coordinator. Shares are of one core; the rates are means over the phases of measuring."""

    name: str
    zone: str
    idle_share: float | None
    reports_share: float | None
    worst_second_share: float | None
    resident_mb: float
    descriptors: int  # most that were open at once
    log_lines_per_s: float
    in_bytes_per_s: float
    out_bytes_per_s: float
    traffic: dict[str, KindTraffic]  # "in heard" -> what came
    ready_ms: list[float]  # of each of its starts
    exit_codes: list[int]
    log_events: dict[str, int]  # lines of its log that tell of faults it met


class HollowRow(msgspec.Struct, frozen=True, kw_only=True):
    """All hollow coordinators together."""

    coordinators: int
    processes: int
    resident_mb: float
    share: float | None  # of one core, all together
    connected: int  # watches of theirs that are open at the end
    streams: int  # proxies with a stream to one of them at the end
    traffic: dict[str, KindTraffic]


class CutRow(msgspec.Struct, frozen=True, kw_only=True):
    """What a coordinator held that was cut off, and when it was right again."""

    coordinator: str
    list_held: int  # version when the cut ended
    list_newest: int
    settings_held: int
    settings_newest: int
    list_right_ms: float | None  # after the end of the cut; None: never
    settings_right_ms: float | None


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """The machine's load while the run was on it."""

    cores: int
    load_before: float  # processes that wait or run, a mean of one minute
    load_after: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """A whole run."""

    scenario: str
    title: str
    seed: int
    sizes: dict[str, int]
    planned: int  # events
    plan_digest: str  # the same for the same seed and scenario
    machine: Machine
    coordinators: list[CoordinatorRow]
    hollow: HollowRow | None
    list_to_last_proxy: Times  # a backend drains or is gone, until no proxy with a stream holds it open
    list_to_last_proxy_cut: Times  # the same of changes that were made during a cut
    list_to_last_watch: Times  # until the change was written to the last coordinator, hollow ones too
    settings_to_last: Times  # a configuration change until it is in force at the last coordinator
    settings_refused: int  # changes that were refused, as they should be
    settings_refusal_kept: bool  # whether the settings before them stayed in force
    ready: Times  # a restart, until the first answer
    cut: list[CutRow]
    older_settings: int  # looks at which a coordinator had older settings than before
    older_lists: int  # lists that a coordinator took though they were older than what it had
    stream_resets: int  # streams that proxies ended because they could not use what came
    backends_used: int  # at the end, by proxies of real coordinators
    load_largest: float | None  # work of the most laden backend over the mean of those used
    requests: int
    requests_unserved: int
    trace_events: int
    broken: dict[str, int]  # how often each rule was broken
    violations: list[Violation]  # the first of them
    failures: list[str]  # of the run itself: a stand-in that failed, a process that ended, time run out

    @property
    def passed(self) -> bool:
        """Whether every rule was kept, and the run itself went as planned."""
        return not (
            self.broken
            or self.failures
            or self.older_settings
            or self.older_lists
            or self.stream_resets
            or not self.settings_refusal_kept
        )


def of_json(data: bytes) -> Report:
    """What `as_json` gave; ends in msgspec.DecodeError where it is something else."""
    return msgspec.json.decode(data, type=Report)


def as_json(report: Report) -> str:
    """The report as indented JSON, with its verdict."""
    verdict = {"passed": report.passed, **msgspec.to_builtins(report)}
    return msgspec.json.format(msgspec.json.encode(verdict), indent=1).decode() + "\n"


def table(report: Report) -> list[str]:
    """The report as lines for a terminal."""
    head = ["coordinator", "zone", "idle", "reports", "worst s", "memory", "fds", "in", "out", "ready"]
    sizes = ", ".join(f"{count} {what}" for what, count in report.sizes.items())
    machine = report.machine
    return [
        f"{report.title} (simulated servers and proxies; seed {report.seed}; {sizes})",
        f"machine: {machine.cores} cores, load {machine.load_before:.1f} before and "
        f"{machine.load_after:.1f} after",
        *_columns([head, *(_coordinator(row) for row in report.coordinators)]),
        *(_kinds(report, direction) for direction in ("in", "out")),
        *_fleet(report),
        *_verdict(report),
    ]


def _coordinator(row: CoordinatorRow) -> list[str]:
    return [
        row.name,
        row.zone,
        _share(row.idle_share),
        _share(row.reports_share),
        _share(row.worst_second_share),
        f"{row.resident_mb:.0f} MB",
        str(row.descriptors),
        f"{row.in_bytes_per_s / 1000:.1f} kB/s",
        f"{row.out_bytes_per_s / 1000:.1f} kB/s",
        " ".join(f"{ms / 1000:.2f} s" for ms in row.ready_ms),
    ]


def _kinds(report: Report, direction: str) -> str:
    """One line: bytes a second by kind, means over the real coordinators, the largest first."""
    sums: dict[str, float] = {}
    for row in report.coordinators:
        for kind, traffic in row.traffic.items():
            if kind.startswith(direction + " "):
                sums[kind] = sums.get(kind, 0.0) + traffic.bytes_per_s / len(report.coordinators)
    shown = sorted(sums.items(), key=lambda item: -item[1])
    words = (f"{kind.partition(' ')[2]} {rate:.0f}" for kind, rate in shown)
    return f"bytes a second {direction}, mean of a coordinator: " + ", ".join(words)


def _fleet(report: Report) -> list[str]:
    lines = [_hollow(report.hollow)] if report.hollow else []
    lines += [
        _duration(what, found)
        for what, found in (
            ("list to last proxy", report.list_to_last_proxy),
            ("list to last proxy, cut", report.list_to_last_proxy_cut),
            ("list to last watch", report.list_to_last_watch),
            ("settings to last coordinator", report.settings_to_last),
            ("ready after a restart", report.ready),
        )
        if found.count or found.unfinished
    ]
    largest = (
        "no work" if report.load_largest is None else f"{report.load_largest:.1f} times the mean of them"
    )
    used = f"backends in tables of real coordinators' proxies: {report.backends_used}"
    lines.append(f"{used}, the most laden has {largest}")
    lines += [_cut(row) for row in report.cut]
    return lines


def _hollow(hollow: HollowRow) -> str:
    return (
        f"hollow: {hollow.coordinators} in {hollow.processes} processes, {hollow.connected} watches and "
        f"{hollow.streams} streams open, "
        f"{hollow.resident_mb:.0f} MB, {_share(hollow.share)} of a core"
    )


def _duration(what: str, found: Times) -> str:
    worst = "none ended" if found.worst_ms is None else f"{found.worst_ms / 1000:.3f} s worst"
    median = "" if found.median_ms is None else f", {found.median_ms / 1000:.3f} s median"
    return f"{what}: {worst}{median}, {found.count} changes, {found.unfinished} unfinished"


def _cut(row: CutRow) -> str:
    return (
        f"cut {row.coordinator}: held list {row.list_held} of {row.list_newest}, settings "
        f"{row.settings_held} of {row.settings_newest}; right again after {_ms(row.list_right_ms)} "
        f"and {_ms(row.settings_right_ms)}"
    )


def _verdict(report: Report) -> list[str]:
    lines = [
        f"requests followed: {report.requests}, without an answer {report.requests_unserved}; "
        f"refused configurations: {report.settings_refused}; "
        f"older settings {report.older_settings}, older lists {report.older_lists}, "
        f"streams reset by proxies {report.stream_resets}"
    ]
    lines += [f"rule {rule} broken {count} times" for rule, count in sorted(report.broken.items())]
    lines += [f"  {violation.text}" for violation in report.violations[:PRINTED_VIOLATIONS_MAX]]
    lines += [f"failed: {failure}" for failure in report.failures]
    lines.append("passed" if report.passed else "NOT PASSED")
    return lines


def _columns(rows: list[list[str]]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return ["  ".join(word.ljust(width) for word, width in zip(row, widths)).rstrip() for row in rows]


def _share(share: float | None) -> str:
    return "-" if share is None else f"{100 * share:.1f} %"


def _ms(duration: float | None) -> str:
    return "never" if duration is None else f"{duration / 1000:.3f} s"
