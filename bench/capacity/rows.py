"""The rows of docs/CAPACITY.md: each role's costs at each scale, from what a run has found."""

from bench.capacity import coordinator_rows, sweep
from bench.capacity.maker import BUDGET, ORDINARY_DAY, Maker, list_entries
from bench.capacity.scales import scales_of
from granitespool.scale.budget import DAY, LoweredBy, Origin, Row


def rows_of(result: sweep.Result) -> list[Row]:
    """All rows, in no order."""
    maker = Maker(scales_of(result))
    coordinator_rows.add_rows(maker)
    _others(maker, result)
    return maker.rows


def _others(maker: Maker, result: sweep.Result) -> None:
    worked_out, protocol = Origin.WORKED_OUT, LoweredBy.PROTOCOL
    for cost, text, unit in (
        ("busy_out_bytes", "orders in, a second under reports", "B"),
        ("busy_lines", "orders in, a second under reports", "lines"),
        ("join_bytes", "orders in at a joining, tables and levels", "B"),
        ("join_lines", "state: lines held after a joining", "lines"),
        ("entry_bytes", "orders in for one changed entry", "B"),
    ):
        maker.add(
            "proxy",
            text,
            unit,
            lambda c, s, k=cost: c[k] / s.proxies,
            f"worked out: `{cost}` over the proxies",
            "net/frames.py `updates`",
            origin=worked_out,
        )
    maker.add(
        "discovery",
        "bytes out a second: changes to all coordinators, mean of a day",
        "B",
        lambda c, s: list_entries(s) * c["entry_row_bytes"] * s.planners / DAY,
        "worked out: an entry's bytes, the day's entries, every coordinator",
        "platform",
        origin=worked_out,
        lowered_by=protocol,
    )
    maker.add(
        "discovery",
        "bytes out: the whole list to all coordinators, after a heal",
        "B",
        lambda c, s: c["list_bytes"] * s.planners,
        "worked out: `list_bytes` times coordinators",
        "platform",
        origin=worked_out,
        lowered_by=protocol,
    )
    maker.add(
        "discovery's agent",
        "state: the list; messages: an empty line each 2 s",
        "B",
        lambda c, s: c["list_bytes"],
        "measured: `list_bytes`",
        "platform",
        lowered_by=protocol,
    )
    maker.add(
        "collector",
        "bytes out a second: its zone's sums to all coordinators",
        "B",
        lambda c, s: c["heard_in_bytes"] / s.zones * s.planners,
        "worked out: `heard_in_bytes` over zones, times coordinators",
        "platform",
        origin=worked_out,
        lowered_by=protocol,
    )
    maker.add(
        "collector",
        "state: sums of its zone's links",
        "links",
        lambda c, s: s.backends,
        "told: one for each backend",
        "platform",
        origin=Origin.TOLD,
        lowered_by=protocol,
    )
    maker.add(
        "control machine, one of 7",
        "bytes out a second: one whole configuration to all within 4 s",
        "B",
        lambda c, s: c["file_bytes"] * s.planners / ORDINARY_DAY.control_machines / BUDGET.in_force_s,
        "worked out: `file_bytes`, coordinators, 4 s",
        "missing (a control service)",
        origin=worked_out,
        lowered_by=LoweredBy.PROGRAM,
    )
    maker.add(
        "control machine, one of 7",
        "state: the configuration",
        "B",
        lambda c, s: c["file_bytes"],
        "measured: `file_bytes`",
        "missing (a control service)",
    )
    maker.add(
        "control machine, one of 7",
        "descriptors: a session with its share of the coordinators",
        "",
        lambda c, s: -(-s.planners // ORDINARY_DAY.control_machines),
        "worked out: coordinators over 7",
        "missing (a control service)",
        origin=worked_out,
    )
    maker.add(
        "operators' managers",
        "edits a second, mean of a day: each configuration to each coordinator",
        "",
        lambda c, s: ORDINARY_DAY.configurations * s.planners / DAY,
        "worked out: 380 a day times coordinators",
        "net/management_listener.py, net/management_service.py",
        origin=worked_out,
    )
    if result.state_slope:
        each = result.state_slope
        maker.add(
            "state folder",
            "bytes written a second, where it is switched on",
            "B",
            lambda c, s: sweep.state_bytes(each, s) * s.heard_share,
            f"worked out: {each.form}, times the share of links heard",
            "state/store.py",
            origin=worked_out,
            lowered_by=LoweredBy.PROGRAM,
        )
