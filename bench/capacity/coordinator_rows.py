"""The rows of the coordinator in docs/CAPACITY.md."""

from functools import partial

import orjson

from bench.capacity.row_spec import BUDGET, ORDINARY_DAY, RowSpec, cost, list_entries, of_costs, of_sizes
from bench.capacity.scales import Costs
from bench.capacity.sizes import Sizes
from bench.capacity.wire import CHANNEL_RATE, DRAIN_GRACE_MS, configuration
from granitespool.scale.budget import DAY, LoweredBy, Origin

SOCKET_LIMIT = 1024  # descriptors, in the configuration of the measured points
DRAIN_GRACE_S = DRAIN_GRACE_MS / 1000

_row = partial(RowSpec, role="coordinator")


def _tenants_bytes(sizes: Sizes) -> int:
    """Return the bytes of the tenants in a configuration file."""
    return len(orjson.dumps(configuration(sizes)["tenants"]))


def _assignment_s(costs: Costs) -> float:
    """Return the time until the last proxy has its table: processor time plus the channel's time if known."""
    if costs.get("join_unbound"):
        raise KeyError("join_unbound")  # some proxies received no table before the measurement ended
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
                "processor, a median second under reports",
                "planner/load_reports.py, planner/cost.py, planner/publication.py",
            ),
            (
                "busy_worst_ms",
                "processor, the worst second under reports",
                "planner/load_reports.py, planner/cost.py, planner/publication.py",
            ),
            ("busy_read_ms", "of which: decoding of report frames", "net/frames.py `parse_body`"),
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
        cost="processor, first complete list",
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
        source="measured: resident set of the child process",
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
        cost="descriptors: idle, and one for each proxy and collector",
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
        cost="bytes in a second: load reports, drawn",
        unit="B",
        formula=cost("heard_in_bytes"),
        source="measured: frames of one second",
        module="net/messages.py, net/dispatch.py",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROTOCOL,
    ),
    _row(
        cost="bytes in a second: load reports, one of every link",
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
        cost="bytes out a second: updates under reports",
        unit="B",
        formula=cost("busy_out_bytes"),
        source="measured: `busy_out_bytes`",
        module="net/frames.py `encode_update`",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="bytes in a second: acknowledgements",
        unit="B",
        formula=of_costs(lambda costs: costs["busy_messages"] * costs["applied_bytes"]),
        source="measured: messages under reports times the size of an acknowledgement",
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
        cost="bytes in: the complete list, in the second of its receipt",
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
        cost="bytes in a second: complete configurations, mean of a day",
        unit="B",
        formula=of_costs(lambda costs: ORDINARY_DAY.configurations * costs["file_bytes"] / DAY),
        source="worked out: `file_bytes` times 380 a day",
        module="missing (changes of a configuration); net/config.py reads it completely",
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
        module="missing (changes of a configuration); net/config.py reads it completely",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="bytes a second: one complete configuration within 4 s",
        unit="B",
        formula=of_costs(lambda costs: costs["file_bytes"] / BUDGET.configuration_s),
        source="worked out: `file_bytes` over 4 s",
        module="missing (changes of a configuration); net/config.py reads it completely",
        limit=BUDGET.bytes_per_s,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
    _row(
        cost="processor, reading and applying a configuration",
        unit="ms",
        formula=of_costs(lambda costs: costs["file_ms"] + costs["change_ms"]),
        source="measured: `file_ms` and `change_ms`",
        module="net/config.py, coordinator.py `apply_settings`",
        limit=BUDGET.processor_ms_per_s,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="from SIGHUP to an active configuration",
        unit="s",
        formula=cost("process_reload_s"),
        source="measured: `process_reload_s`",
        module="net/service.py",
        limit=BUDGET.configuration_s,
        lowered_by=LoweredBy.PROGRAM,
    ),
    _row(
        cost="a change of the routes' names, which needs a restart, active",
        unit="s",
        formula=of_costs(lambda costs: costs["process_ready_s"] + _assignment_s(costs)),
        source="worked out: start, and joining until all are assigned",
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
        formula=of_costs(_assignment_s),
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
            unit="ms" if name == "join_ms" else "B" if name == "join_bytes" else "entries",
            formula=cost(name),
            source=f"measured: `{name}`",
            module="planner/assignment.py `assign`, planner/admission_levels.py",
        )
        for name, text in (
            ("join_ms", "all proxies join at once: processor"),
            ("join_lines", "all proxies join at once: entries"),
            ("join_bytes", "all proxies join at once: bytes out"),
        )
    ),
    _row(
        cost="all proxies join at once: time of the channel for their entries",
        unit="s",
        formula=of_costs(lambda costs: costs["join_lines"] / CHANNEL_RATE),
        source="worked out: `join_lines` at 4,000 entries a second",
        module="planner/assignment.py `assign`, planner/admission_levels.py",
        limit=DRAIN_GRACE_S,
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
)

SPREAD_ROWS = (
    _row(
        cost="fleet over backends in the tables of four coordinators together",
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
            ("heal", "a region is healed: the complete list again"),
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
                cost=f"{text}: until the last acknowledgement of its updates",
                unit="s",
                formula=cost(f"{event}_s"),
                source=f"measured: `{event}_s`, virtual",
                module="planner/publication.py, planner/in_flight.py",
                limit=DRAIN_GRACE_S,
                lowered_by=LoweredBy.PROGRAM,
            ),
            _row(
                cost=f"{text}: entries",
                unit="entries",
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
        cost="an ordinary day's changed entries: entries to proxies",
        unit="entries",
        formula=lambda costs, sizes: list_entries(sizes) * costs["entry_lines"],
        source="worked out: `entry_lines` times the day's entries, as if all were in a table in use",
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
