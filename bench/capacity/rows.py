"""The rows of docs/CAPACITY.md: each role's costs at each scale, from the results of a run."""

from bench.capacity import coordinator_rows, sweep
from bench.capacity.row_spec import BUDGET, ORDINARY_DAY, Formula, RowSpec, cost, list_entries, of_sizes
from bench.capacity.scales import scales_of
from granitespool.scale.budget import DAY, LoweredBy, Origin, Row


def rows_of(result: sweep.Result) -> list[Row]:
    """Return all rows, unordered."""
    specs = [*coordinator_rows.ROWS, *OTHER_ROWS]
    if result.state_slope:
        specs.append(_state_folder(result.state_slope))
    scales = scales_of(result)
    return [spec.row(scales) for spec in specs]


def _state_folder(slope: sweep.Slope) -> RowSpec:
    return RowSpec(
        role="state folder",
        cost="bytes written a second, if it is enabled",
        unit="B",
        formula=lambda _, sizes: sweep.predict_state_bytes(slope, sizes) * sizes.heard_share,
        source=f"worked out: {slope.form}, times the share of links reported",
        module="state/store.py",
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    )


def _per_proxy(name: str) -> Formula:
    """Return the formula of a measured cost divided by the proxies."""
    return lambda costs, sizes: costs[name] / sizes.proxies


OTHER_ROWS: tuple[RowSpec, ...] = (
    *(
        RowSpec(
            role="proxy",
            cost=text,
            unit=unit,
            formula=_per_proxy(name),
            source=f"worked out: `{name}` over the proxies",
            module="net/frames.py `encode_update`",
            origin=Origin.WORKED_OUT,
        )
        for name, text, unit in (
            ("busy_out_bytes", "updates in, a second under reports", "B"),
            ("busy_lines", "updates in, a second under reports", "entries"),
            ("join_bytes", "updates in at a joining, tables and admission levels", "B"),
            ("join_lines", "state: entries after a joining", "entries"),
            ("entry_bytes", "updates in for one changed entry", "B"),
        )
    ),
    RowSpec(
        role="discovery",
        cost="bytes out a second: changes to all coordinators, mean of a day",
        unit="B",
        formula=lambda costs, sizes: list_entries(sizes) * costs["entry_row_bytes"] * sizes.planners / DAY,
        source="worked out: an entry's bytes, the day's entries, every coordinator",
        module="platform",
        lowered_by=LoweredBy.PROTOCOL,
        origin=Origin.WORKED_OUT,
    ),
    RowSpec(
        role="discovery",
        cost="bytes out: the complete list to all coordinators, after a network cut",
        unit="B",
        formula=lambda costs, sizes: costs["list_bytes"] * sizes.planners,
        source="worked out: `list_bytes` times coordinators",
        module="platform",
        lowered_by=LoweredBy.PROTOCOL,
        origin=Origin.WORKED_OUT,
    ),
    RowSpec(
        role="discovery's agent",
        cost="state: the list; messages: an empty line every 2 s",
        unit="B",
        formula=cost("list_bytes"),
        source="measured: `list_bytes`",
        module="platform",
        lowered_by=LoweredBy.PROTOCOL,
    ),
    RowSpec(
        role="collector",
        cost="bytes out a second: its zone's load reports to all coordinators",
        unit="B",
        formula=lambda costs, sizes: costs["heard_in_bytes"] / sizes.zones * sizes.planners,
        source="worked out: `heard_in_bytes` over zones, times coordinators",
        module="platform",
        lowered_by=LoweredBy.PROTOCOL,
        origin=Origin.WORKED_OUT,
    ),
    RowSpec(
        role="collector",
        cost="state: sums of its zone's links",
        unit="links",
        formula=of_sizes(lambda sizes: sizes.backends),
        source="told: one for each backend",
        module="platform",
        lowered_by=LoweredBy.PROTOCOL,
        origin=Origin.GIVEN,
    ),
    RowSpec(
        role="control machine, one of 7",
        cost="bytes out a second: one complete configuration to all within 4 s",
        unit="B",
        formula=lambda costs, sizes: (
            costs["file_bytes"] * sizes.planners / ORDINARY_DAY.control_machines / BUDGET.configuration_s
        ),
        source="worked out: `file_bytes`, coordinators, 4 s",
        module="missing (a control service)",
        lowered_by=LoweredBy.PROGRAM,
        origin=Origin.WORKED_OUT,
    ),
    RowSpec(
        role="control machine, one of 7",
        cost="state: the configuration",
        unit="B",
        formula=cost("file_bytes"),
        source="measured: `file_bytes`",
        module="missing (a control service)",
    ),
    RowSpec(
        role="control machine, one of 7",
        cost="descriptors: a session with its share of the coordinators",
        unit="",
        formula=of_sizes(lambda sizes: -(-sizes.planners // ORDINARY_DAY.control_machines)),
        source="worked out: coordinators over 7",
        module="missing (a control service)",
        origin=Origin.WORKED_OUT,
    ),
    RowSpec(
        role="operators' managers",
        cost="edits a second, mean of a day: every configuration to every coordinator",
        unit="",
        formula=of_sizes(lambda sizes: ORDINARY_DAY.configurations * sizes.planners / DAY),
        source="worked out: 380 a day times coordinators",
        module="net/management_listener.py, net/management_service.py",
        origin=Origin.WORKED_OUT,
    ),
)
