"""The rows of the coordinator in docs/CAPACITY.md."""

from functools import partial

import orjson

from bench.capacity.row_spec import BUDGET, ORDINARY_DAY, RowSpec, cost, list_entries, of_costs, of_sizes
from bench.capacity.scales import Costs
from bench.capacity.sizes import Sizes
from bench.capacity.wire import DRAIN_GRACE_MS, PACE, configuration
from granitespool.scale.budget import DAY, LoweredBy, Origin

SOCKET_LIMIT = 1024  # descriptors that the configuration of the measured points allows
DRAIN_GRACE_S = DRAIN_GRACE_MS / 1000

_row = partial(RowSpec, role="coordinator")


def _tenants_bytes(sizes: Sizes) -> int:
    """Bytes of the tenants in a configuration file."""
    return len(orjson.dumps(configuration(sizes)["tenants"]))


def _bound_s(costs: Costs) -> float:
    """Until the last proxy has its table: the channel's time, where it is known, and the processor's."""
    if costs.get("join_unbound"):
        raise KeyError("join_unbound")  # some were never bound in the time that the measurement gives
    return costs.get("join_s", 0.0) + costs["join_ms"] / 1000


PROCESSOR_ROWS = (
    *(
        _row(
            cost=text,
            unit="ms",
            formula=cost(name),
            source=f"measured: `{name}`",
            module=module,
            limit=BUDGET.processor_ms_per_s,
            lowered_by=LoweredBy.PROGRAM,
        )
        for name, text, module in (
            ("idle_ms", "processor, an idle second", "planner/recomputation.py, planner/dirty_set.py"),
            (
                "busy_ms",
                "processor, a usual second under reports",
                "planner/load_reports.py, planner/cost.py, planner/publication.py",
            ),
            (
                "busy_worst_ms",
                "processor, the worst second under reports",
                "planner/load_reports.py, planner/cost.py, planner/publication.py",
            ),
            ("busy_read_ms", "of it: frames of reports read", "net/frames.py `parsed`"),
            (
                "entry_ms",
                "processor, the turn of one changed entry",
                "planner/membership.py, planner/dirty_set.py",
            ),
        )
    ),
    _row(
        cost="processor, the whole idle process without proxies",
        unit="ms",
        formula=cost("process_idle_ms"),
        source="measured: `process_idle_ms`",
        module="net/service.py, planner/recomputation.py",
        limit=BUDGET.processor_ms_per_s,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="processor, first whole list",
        unit="ms",
        formula=cost("first_list_ms"),
        source="measured: `first_list_ms`",
        module="planner/membership.py, planner/subsets.py `assign`",
    ),
    _row(
        cost="from the start to the first pong",
        unit="s",
        formula=cost("process_ready_s"),
        source="measured: `process_ready_s`",
        module="cli/serve.py, net/service.py",
    ),
    _row(
        cost="a ping answered 1.5 s after the start (20: not within 20 s)",
        unit="s",
        formula=cost("process_answer_s"),
        source="measured: `process_answer_s`",
        module="net/loop.py, net/streams.py",
        limit=BUDGET.configuration_s,
        lowered_by=LoweredBy.PROGRAM,
    ),
)

MEMORY_AND_DESCRIPTORS_ROWS = (
    _row(
        cost="memory, with proxies and under reports",
        unit="MB",
        formula=cost("resident_mb"),
        source="measured: resident set of the child that holds it",
        module="planner/records.py; planner/admission_levels.py, coordinator.py",
        limit=BUDGET.memory_mb,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="memory, the whole idle process without proxies",
        unit="MB",
        formula=cost("process_resident_mb"),
        source="measured: `process_resident_mb`",
        module="net/service.py, planner/planner.py",
        limit=BUDGET.memory_mb,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="descriptors: idle, a proxy and a collector each",
        unit="",
        formula=lambda costs, sizes: costs["process_descriptors"] + sizes.proxies + sizes.zones,
        source="worked out: idle measured, one a stream",
        module="net/streams.py",
        limit=SOCKET_LIMIT,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="log lines of a day: the list, joinings, configurations",
        unit="lines",
        formula=of_sizes(lambda sizes: list_entries(sizes) + ORDINARY_DAY.configurations + 2 * sizes.proxies),
        source="worked out: one a message of the list, a reload, a joining and an end",
        module="net/log.py",
        origin=Origin.WORKED_OUT,
    ),
)

BYTES_ROWS = (
    _row(
        cost="bytes in a second: sums of links, drawn",
        unit="B",
        formula=cost("heard_in_bytes"),
        source="measured: frames of one second",
        module="net/messages.py, net/dispatch.py",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROTOCOL,
    ),
    _row(
        cost="bytes in a second: sums, a report of every link",
        unit="B",
        formula=lambda costs, sizes: costs["heard_in_bytes"] / sizes.heard_share,
        source="worked out: from the drawn ones",
        module="net/messages.py, net/dispatch.py",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROTOCOL,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="bytes in a second: usage, one class a proxy",
        unit="B",
        formula=of_costs(lambda costs: costs["busy_in_bytes"] - costs["heard_in_bytes"]),
        source="measured: frames of one second",
        module="net/messages.py, net/dispatch.py",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROTOCOL,
    ),
    _row(
        cost="bytes out a second: orders under reports",
        unit="B",
        formula=cost("busy_out_bytes"),
        source="measured: `busy_out_bytes`",
        module="net/frames.py `updates`",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="bytes in a second: answers to marks",
        unit="B",
        formula=of_costs(lambda costs: costs["busy_messages"] * costs["applied_bytes"]),
        source="measured: messages under reports times the size of an answer",
        module="net/messages.py, net/dispatch.py",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROTOCOL,
    ),
    _row(
        cost="bytes in a second: changes of the list, mean of a day",
        unit="B",
        formula=lambda costs, sizes: list_entries(sizes) * costs["entry_row_bytes"] / DAY,
        source="worked out: bytes of an entry times the day's entries",
        module="net/discovery.py",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROTOCOL,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="bytes in: the whole list, in the second that it comes",
        unit="B",
        formula=cost("list_bytes"),
        source="measured: `list_bytes`",
        module="net/discovery.py",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROTOCOL,
    ),
)

CONFIGURATION_ROWS = (
    _row(
        cost="bytes in a second: whole configurations, mean of a day",
        unit="B",
        formula=of_costs(lambda costs: ORDINARY_DAY.configurations * costs["file_bytes"] / DAY),
        source="worked out: `file_bytes` times 380 a day",
        module="missing (changes of a configuration); net/config.py reads it whole",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="bytes in a second: the same without tenants in the file",
        unit="B",
        formula=lambda costs, sizes: (
            ORDINARY_DAY.configurations * (costs["file_bytes"] - _tenants_bytes(sizes)) / DAY
        ),
        source="worked out: `file_bytes` less the tenants' bytes, times 380 a day",
        module="missing (changes of a configuration); net/config.py reads it whole",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="bytes a second: one whole configuration within 4 s",
        unit="B",
        formula=of_costs(lambda costs: costs["file_bytes"] / BUDGET.configuration_s),
        source="worked out: `file_bytes` over 4 s",
        module="missing (changes of a configuration); net/config.py reads it whole",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="processor, reading and taking a configuration",
        unit="ms",
        formula=of_costs(lambda costs: costs["file_ms"] + costs["change_ms"]),
        source="measured: `file_ms` and `change_ms`",
        module="net/config.py, coordinator.py `apply_settings`",
        limit=BUDGET.processor_ms_per_s,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="from SIGHUP to a configuration in force",
        unit="s",
        formula=cost("process_reload_s"),
        source="measured: `process_reload_s`",
        module="net/service.py",
        limit=BUDGET.configuration_s,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="a change of the routes' names, which waits for a restart, in force",
        unit="s",
        formula=of_costs(lambda costs: costs["process_ready_s"] + _bound_s(costs)),
        source="worked out: start, and joining until all are bound",
        module="missing (coordinator.py does not change the classes' names)",
        limit=BUDGET.configuration_s,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
)

JOINING_ROWS = (
    _row(
        cost="all proxies join at once: until the last has its table",
        unit="s",
        formula=of_costs(_bound_s),
        source=(
            "measured: the channel's virtual time and the processor's; "
            "with 3,100 routes the processor's alone"
        ),
        module="planner/assignment.py `assign_next`, planner/admission_levels.py",
        limit=DRAIN_GRACE_S,
        lowered_by=LoweredBy.PROGRAM,
    ),
    *(
        _row(
            cost=text,
            unit="ms" if name == "join_ms" else "B" if name == "join_bytes" else "lines",
            formula=cost(name),
            source=f"measured: `{name}`",
            module="planner/assignment.py `assign`, planner/admission_levels.py",
        )
        for name, text in (
            ("join_ms", "all proxies join at once: processor"),
            ("join_lines", "all proxies join at once: lines"),
            ("join_bytes", "all proxies join at once: bytes out"),
        )
    ),
    _row(
        cost="all proxies join at once: seconds of the channel that their lines take",
        unit="s",
        formula=of_costs(lambda costs: costs["join_lines"] / PACE),
        source="worked out: `join_lines` at 4,000 lines a second",
        module="planner/assignment.py `assign`, planner/admission_levels.py",
        limit=DRAIN_GRACE_S,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
)

SPREAD_ROWS = (
    _row(
        cost="fleet over backends that four coordinators' tables name together",
        unit="times",
        formula=lambda costs, sizes: sizes.backends / costs["named_together"],
        source="measured: four coordinators, seeds and indexes of their own, three classes at the plan",
        module="planner/subsets.py `join`",
        limit=1.0,
        lowered_by=LoweredBy.PROGRAM,
    ),
)

EVENTS_ROWS = (
    *(
        row
        for event, text in (
            ("rack", "a rack of 40 is gone"),
            ("zone", "a zone is gone"),
            ("zone_back", "a zone is back, cold"),
            ("heal", "a region is healed: the whole list again"),
        )
        for row in (
            _row(
                cost=f"{text}: processor in its second",
                unit="ms",
                formula=cost(f"{event}_second_ms"),
                source=f"measured: `{event}_second_ms`",
                module="planner/membership.py, planner/publication.py",
                limit=BUDGET.processor_ms_per_s,
                lowered_by=LoweredBy.PROGRAM,
            ),
            _row(
                cost=f"{text}: until the last answer to its orders",
                unit="s",
                formula=cost(f"{event}_s"),
                source=f"measured: `{event}_s`, virtual",
                module="planner/publication.py, planner/in_flight.py",
                limit=DRAIN_GRACE_S,
                lowered_by=LoweredBy.PROGRAM,
            ),
            _row(
                cost=f"{text}: lines",
                unit="lines",
                formula=cost(f"{event}_lines"),
                source=f"measured: `{event}_lines`",
                module="planner/publication.py",
            ),
        )
    ),
)

DAY_ROWS = (
    _row(
        cost="an ordinary day's changed entries: processor, mean of the day",
        unit="ms a second",
        formula=lambda costs, sizes: list_entries(sizes) * costs["entry_ms"] / DAY,
        source="worked out: `entry_ms` times the day's entries",
        module="planner/membership.py, planner/publication.py",
        limit=BUDGET.processor_ms_per_s,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="an ordinary day's changed entries: lines to proxies",
        unit="lines",
        formula=lambda costs, sizes: list_entries(sizes) * costs["entry_lines"],
        source="worked out: `entry_lines` times the day's entries, as if each were in a table in use",
        module="planner/publication.py, planner/in_flight.py",
        origin=Origin.WORKED_OUT,
    ),
)

ROWS: tuple[RowSpec, ...] = (
    *PROCESSOR_ROWS,
    *MEMORY_AND_DESCRIPTORS_ROWS,
    *BYTES_ROWS,
    *CONFIGURATION_ROWS,
    *JOINING_ROWS,
    *SPREAD_ROWS,
    *EVENTS_ROWS,
    *DAY_ROWS,
)
