"""The report of a run: as typed records, as a table for a terminal and as JSON.

The names of the fields are the keys of the JSON document, and published figures refer to them.
"""

import statistics
from collections.abc import Sequence

import msgspec

from granitespool.scale.checker import Violation
from granitespool.units import MILLISECOND

VIOLATIONS_MAX = 20  # stored in a report
PRINTED_VIOLATIONS_MAX = 5


class Times(msgspec.Struct, frozen=True, kw_only=True):
    """Statistics of durations of one kind, in ms; median and worst are None if there are no durations."""

    count: int
    median_ms: float | None = None
    worst_ms: float | None = None
    unfinished: int = 0  # not finished when the run ended


def times(durations: Sequence[int], unfinished: int = 0) -> Times:
    """Return the statistics of durations (ns); `unfinished` further ones had not ended."""
    if not durations:
        return Times(count=0, unfinished=unfinished)
    return Times(
        count=len(durations),
        median_ms=round(statistics.median(durations) / MILLISECOND, 1),
        worst_ms=round(max(durations) / MILLISECOND, 1),
        unfinished=unfinished,
    )


class KindTraffic(msgspec.Struct, frozen=True, kw_only=True):
    """Messages of one kind between a coordinator and its clients and servers."""

    messages: int  # in the whole run
    bytes: int
    bytes_per_s: float = 0.0  # during the measurement, that is, without the start


class CoordinatorRow(msgspec.Struct, frozen=True, kw_only=True):
    """One real coordinator; shares are of one core, rates are means over the whole measurement."""

    name: str
    zone: str
    idle_share: float | None
    reports_share: float | None
    worst_second_share: float | None
    resident_mb: float
    descriptors: int  # maximum of open file descriptors
    log_lines_per_s: float
    in_bytes_per_s: float
    out_bytes_per_s: float
    traffic: dict[str, KindTraffic]  # by direction and kind, such as "in heard"
    ready_ms: list[float]  # from each start to the first answer
    exit_codes: list[int]
    log_events: dict[str, int]  # log lines on faults around the coordinator, by event


class HollowRow(msgspec.Struct, frozen=True, kw_only=True):
    """All hollow coordinators together."""

    coordinators: int
    processes: int
    resident_mb: float
    share: float | None  # of one core, for all processes together
    connected: int  # watches open at the end
    streams: int  # proxies connected at the end
    traffic: dict[str, KindTraffic]


class CutRow(msgspec.Struct, frozen=True, kw_only=True):
    """A coordinator that was cut off: its versions when the cut ended, and the time until it was current."""

    coordinator: str
    list_held: int  # version of its endpoint list when the cut ended
    list_newest: int
    settings_held: int
    settings_newest: int
    list_right_ms: float | None  # ms after the end of the cut; None: never
    settings_right_ms: float | None


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """The cores and the load of the machine."""

    cores: int
    load_before: float  # load average over one minute
    load_after: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The report of one run."""

    scenario: str
    title: str
    seed: int
    sizes: dict[str, int]
    planned: int  # number of planned events
    plan_digest: str  # equal for equal seed and scenario
    machine: Machine
    coordinators: list[CoordinatorRow]
    hollow: HollowRow | None
    list_to_last_proxy: Times  # from a backend's drain or removal until no joined proxy may use it
    list_to_last_proxy_cut: Times  # the same for changes published during a cut
    list_to_last_watch: Times  # until the change was written to the last coordinator, including hollow ones
    settings_to_last: Times  # from a configuration change until it is active at the last coordinator
    settings_refused: int  # invalid changes that were rejected, as expected
    settings_refusal_kept: bool  # whether the previous settings stayed active after a rejection
    ready: Times  # from a restart until the first answer
    cut: list[CutRow]
    older_settings: int  # queries that found older settings than an earlier one
    older_lists: int  # endpoint lists that a coordinator applied although it had a newer one
    stream_resets: int  # streams that proxies closed because of a malformed message
    backends_used: int  # backends in the tables of real coordinators' proxies at the end
    load_largest: float | None  # load of the most loaded backend divided by the mean of those used
    requests: int
    requests_unserved: int
    trace_events: int
    broken: dict[str, int]  # number of violations of each rule
    violations: list[Violation]  # the first VIOLATIONS_MAX
    failures: list[str]  # of the run itself: a failed stand-in, a process that exited, a timeout

    @property
    def passed(self) -> bool:
        """Whether no rule was violated and the run itself had no failure."""
        return not (
            self.broken
            or self.failures
            or self.older_settings
            or self.older_lists
            or self.stream_resets
            or not self.settings_refusal_kept
        )


def of_json(data: bytes) -> Report:
    """Parse the output of `as_json`.

    Raises:
        msgspec.DecodeError: The data is no report.

    """
    return msgspec.json.decode(data, type=Report)


def as_json(report: Report) -> str:
    """Return the report as indented JSON, with the verdict in `passed`."""
    verdict = {"passed": report.passed, **msgspec.to_builtins(report)}
    return msgspec.json.format(msgspec.json.encode(verdict), indent=1).decode() + "\n"


def table(report: Report) -> list[str]:
    """Return the report as lines for a terminal."""
    header = ["coordinator", "zone", "idle", "reports", "worst s", "memory", "fds", "in", "out", "ready"]
    sizes = ", ".join(f"{count} {what}" for what, count in report.sizes.items())
    machine = report.machine
    return [
        f"{report.title} (simulated servers and proxies; seed {report.seed}; {sizes})",
        f"machine: {machine.cores} cores, load {machine.load_before:.1f} before and "
        f"{machine.load_after:.1f} after",
        *_columns([header, *(_coordinator(row) for row in report.coordinators)]),
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
    """Return a line with the bytes a second by kind, as means over the real coordinators, largest first."""
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
        _duration(label, durations)
        for label, durations in (
            ("list to last proxy", report.list_to_last_proxy),
            ("list to last proxy, cut", report.list_to_last_proxy_cut),
            ("list to last watch", report.list_to_last_watch),
            ("settings to last coordinator", report.settings_to_last),
            ("ready after a restart", report.ready),
        )
        if durations.count or durations.unfinished
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


def _duration(label: str, durations: Times) -> str:
    worst = "none ended" if durations.worst_ms is None else f"{durations.worst_ms / 1000:.3f} s worst"
    median = "" if durations.median_ms is None else f", {durations.median_ms / 1000:.3f} s median"
    return f"{label}: {worst}{median}, {durations.count} changes, {durations.unfinished} unfinished"


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
