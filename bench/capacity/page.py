"""Write the tables of docs/CAPACITY.md from a run's figures between the page's markers."""

import math
import re
from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec
import orjson

from bench.capacity import rows, sweep
from bench.capacity.messages import MESSAGE_KINDS, STALE_EVENTS, MessageKind, StaleEvent
from bench.capacity.scales import PLAN_SCALES, ROUTES_SCALE, TITLES, Scale, scales_of
from bench.capacity.sizes import Sizes
from granitespool.errors import GranitespoolError
from granitespool.scale import fits
from granitespool.scale.budget import DAY, LoweredBy, Origin, Row, Value, by_factor

BEGIN = "<!-- capacity: {name} -->"
END = "<!-- end of {name} -->"
DIGITS = 3  # significant digits of a figure on the page
STORED_DIGITS = 4  # significant digits of a figure in the JSON
MARKS = {Origin.MEASURED: "m", Origin.WORKED_OUT: "w", Origin.GIVEN: "t"}
CONSTANT = "constant"
FIRST_SCALES = ("plan", ROUTES_SCALE, "service", "service_routes")
COMPARED_COSTS = (
    "idle_ms",
    "idle_calls",
    "entry_ms",
    "entry_calls",
    "busy_ms",
    "busy_worst_ms",
    "first_list_ms",
    "join_ms",
    "join_s",
    "memory_mb",
    "named_together",
)


class MarkerMissingError(GranitespoolError):
    """The page has no markers for a table; the error text contains the missing markers."""


def to_json(result: sweep.Result) -> str:
    """Return the result as JSON with a line for each member, which keeps files small and diffs readable."""
    members = []
    for name, value in msgspec.to_builtins(result).items():
        text = orjson.dumps(value).decode()
        if isinstance(value, list):
            text = "[\n" + ",\n".join(orjson.dumps(item).decode() for item in value) + "\n]"
        elif isinstance(value, dict):
            lines = (
                f"{orjson.dumps(key).decode()}: {orjson.dumps(item).decode()}" for key, item in value.items()
            )
            text = "{\n" + ",\n".join(lines) + "\n}"
        members.append(f'"{name}": {text}')
    return "{\n" + ",\n".join(members) + "\n}\n"


def compacted(result: sweep.Result) -> sweep.Result:
    """Return the result with rounded figures; its sweeps keep only the costs that are fitted."""
    document = msgspec.to_builtins(result)
    for swept in [*document["sweeps"], *([document["plan_classes"]] if document["plan_classes"] else [])]:
        for point in swept["points"]:
            point["costs"] = {name: point["costs"][name] for name in sweep.FITTED_COSTS}
    return msgspec.convert(_rounded(document), sweep.Result)


def _rounded(value: object) -> object:
    if isinstance(value, float):
        return float(f"{value:.{STORED_DIGITS}g}")
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_rounded(item) for item in value]
    return value


def tables(result: sweep.Result, before: sweep.Result | None) -> dict[str, str]:
    """Return every table of the page by the name of its markers."""
    tables_by_name = {}
    if result.scales:
        found_rows = rows.rows_of(result)
        tables_by_name["sizes"] = _sizes(result)
        tables_by_name["first"] = _first(found_rows)
        tables_by_name["rows"] = _rows(found_rows, list(scales_of(result)))
        tables_by_name["messages"] = _messages(scales_of(result))
        tables_by_name["added"] = _added(scales_of(result))
    tables_by_name["slopes"] = _slopes(result)
    tables_by_name["held out"] = _held_out(result)
    compared = before.scales if before else result.before
    if compared and result.scales:
        tables_by_name["before and after"] = _comparison(compared, result.scales)
    return tables_by_name


def rewrite(path: str, tables_by_name: dict[str, str]) -> None:
    """Write each table between its markers; raise MarkerMissingError if the page lacks them."""
    page = Path(path)
    text = page.read_text(encoding="utf-8")
    for name, table in tables_by_name.items():
        begin, end = BEGIN.format(name=name), END.format(name=name)
        place = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
        if not place.search(text):
            raise MarkerMissingError(f"{path} has no lines {begin} and {end}")
        text = place.sub(f"{begin}\n\n{table}\n\n{end}".replace("\\", r"\\"), text)
    page.write_text(text, encoding="utf-8")


def slopes_off(result: sweep.Result) -> list[sweep.Slope]:
    """Return the slopes that miss their held-out point by more than the limit, or whose form was rejected."""
    return [slope for slope in _all_slopes(result) if slope.is_off or slope.refused]


def figure(value: float | None) -> str:
    """Format a figure with three significant digits and with thousands separators."""
    if value is None:
        return "-"
    if not math.isfinite(value):
        return "without end"
    if value and abs(value) < 1000:
        return f"{value:.{DIGITS}g}"
    digits = max(0, int(math.log10(abs(value))) + 1 - DIGITS) if value else 0
    return f"{round(value, -digits):,.0f}"


def _table(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *body]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def _all_slopes(result: sweep.Result) -> list[sweep.Slope]:
    swept = [*result.sweeps, *([result.plan_classes] if result.plan_classes else [])]
    slopes = [slope for sweep_result in swept for slope in sweep_result.slopes]
    return slopes + ([result.state_slope] if result.state_slope else [])


SIZES_HEAD = (
    "scale",
    "backends",
    "zones",
    "proxies a coordinator",
    "classes",
    "tenants",
    "requests/s",
    "coordinators",
    "links",
    "share of links reported",
    "requests/s a coordinator",
    "a backend",
    "a pair of zones",
)


def _sizes(result: sweep.Result) -> str:
    body = [[TITLES[name], *_size_cells(scale.sizes)] for name, scale in scales_of(result).items()]
    return _table(SIZES_HEAD, body)


def _size_cells(sizes: Sizes) -> list[str]:
    amounts = (
        sizes.backends,
        sizes.zones,
        sizes.proxies,
        sizes.classes,
        sizes.tenants,
        sizes.requests,
        sizes.planners,
        sizes.links,
        sizes.heard_share,
        sizes.requests / sizes.planners,
        sizes.requests / sizes.backends,
        sizes.requests / sizes.zones**2,
    )
    return [figure(float(amount)) for amount in amounts]


def _marked(value: Value | None) -> str:
    if value is None or value.amount is None:
        return "-"
    return f"{figure(value.amount)} {MARKS[value.origin]}"


def _factor(factor: float | None) -> str:
    return "" if factor is None else figure(factor)


def _rows(found_rows: Sequence[Row], names: Sequence[str]) -> str:
    head = ["role", "cost", *(TITLES[name] for name in names)]
    head += ["unit", "limit", "factor", "factor, one service", "lowered by", "source", "module"]
    return _table(head, [_row_cells(row, names) for row in by_factor(found_rows, PLAN_SCALES)])


def _row_cells(row: Row, names: Sequence[str]) -> list[str]:
    return [
        row.role,
        row.cost,
        *(_marked(row.values.get(name)) for name in names),
        row.unit,
        "" if row.limit is None else figure(row.limit),
        _factor(row.worst_factor(PLAN_SCALES)),
        _factor(row.factor("service")),
        row.lowered_by.value,
        row.source,
        row.module,
    ]


def _first(found_rows: Sequence[Row]) -> str:
    """Return the table of rows over their limit that this program can lower, largest factor first."""
    over = [
        row
        for row in by_factor(found_rows, PLAN_SCALES)
        if row.lowered_by is LoweredBy.PROGRAM and (row.worst_factor(PLAN_SCALES) or 0) > 1
    ]
    body = [
        [
            row.cost,
            *(_factor(row.factor(name)) for name in FIRST_SCALES),
            row.module,
        ]
        for row in over
    ]
    head = ["over its limit", *(TITLES[name] for name in FIRST_SCALES), "module"]
    return _table(head, body)


def _messages(scales: Mapping[str, Scale]) -> str:
    head = ["kind", "from", "to", *(f"{TITLES[name]}: bytes / mean a s / worst s" for name in scales)]
    body = [
        [kind.name, kind.sender, kind.receiver, *(_message_cell(kind, scale) for scale in scales.values())]
        for kind in MESSAGE_KINDS
    ]
    return _table(head, body)


def _message_cell(kind: MessageKind, scale: Scale) -> str:
    """Return the bytes in a mean second and in the worst second, or "-" if a cost was not measured."""
    try:
        amounts = [formula(scale.costs, scale.sizes) for formula in (kind.size, kind.mean, kind.worst)]
    except KeyError:
        return "-"
    return " / ".join(map(figure, amounts))


def _added(scales: Mapping[str, Scale]) -> str:
    head = ["event", *(f"{TITLES[name]}: share / window / of a day's requests" for name in scales)]
    body = [[event.name, *(_added_cell(event, scale) for scale in scales.values())] for event in STALE_EVENTS]
    return _table(head, body)


def _added_cell(event: StaleEvent, scale: Scale) -> str:
    """Return how an event affects requests, as text "share / window / share of a day".

    The first share is of the requests that meet a stale table within the window. The window is the time that
    tables are stale, in seconds.
    """
    costs, sizes = scale.costs, scale.sizes
    if event.channel_cost not in costs or event.processor_cost not in costs:
        return "-"
    share = event.share(sizes)
    window = costs[event.channel_cost] + costs[event.processor_cost] / 1000
    in_a_day = share * window * event.per_day * sizes.backends / sweep.PLAN.backends / DAY
    return f"{share:.3%} / {figure(window)} s / {in_a_day:.2g}"


SLOPES_HEAD = ("cost", "form", "formula", "residual", "predicted", "measured", "error", "verdict")


def _slopes(result: sweep.Result) -> str:
    sections = [_swept(swept, "") for swept in result.sweeps]
    if result.plan_classes:
        sections.append(_swept(result.plan_classes, ", at the plan's other sizes"))
    if result.state_slope:
        title = "**State folder**, every link reported once a second."
        sections.append(f"{title}\n\n{_table(SLOPES_HEAD, [_slope(result.state_slope)])}")
    return "\n\n".join(sections)


def _swept(swept: sweep.SweepResult, where: str) -> str:
    """Return the section of one sweep; `where` describes the sizes that do not change."""
    values = ", ".join(figure(point.sizes.variables()[swept.size]) for point in swept.points)
    constant = [slope.cost for slope in swept.slopes if _is_constant(slope)]
    body = [_slope(slope) for slope in swept.slopes if not _is_constant(slope)]
    parts = [f"**{swept.size}**{where}: {values}; the last is held out."]
    if body:
        parts.append(_table(SLOPES_HEAD, body))
    if constant:
        parts.append(f"Constant within {fits.NOISE_FLOOR:.0%}: {', '.join(constant)}.")
    return "\n\n".join(parts)


def _is_constant(slope: sweep.Slope) -> bool:
    steady = slope.form == CONSTANT and slope.residual <= fits.NOISE_FLOOR
    return steady and not (slope.refused or slope.is_off)


def _slope(slope: sweep.Slope) -> list[str]:
    return [
        slope.cost,
        slope.form,
        slope.text or "-",
        f"{slope.residual:.3f}",
        figure(slope.predicted),
        figure(slope.measured),
        "-" if slope.error is None else f"{slope.error:+.0%}",
        _verdict(slope),
    ]


def _verdict(slope: sweep.Slope) -> str:
    if slope.refused:
        return "rejected"
    return "off" if slope.is_off else "holds"


def _held_out(result: sweep.Result) -> str:
    bad = slopes_off(result)
    total = len(_all_slopes(result))
    lines = [f"{total - len(bad)} of {total} held-out points are predicted within {fits.ERROR_LIMIT:.0%}."]
    lines += [f"- `{slope.cost}` over {slope.size}: {_reason(slope)}" for slope in bad]
    return "\n".join(lines)


def _reason(slope: sweep.Slope) -> str:
    """Return why a slope makes no prediction, or its wrong prediction beside the measured figure."""
    if slope.refused:
        best = f"{slope.form}, {slope.residual:.2f}"
        return f"no form within a residual of {fits.RESIDUAL_LIMIT:g} (best: {best})"
    return f"predicted {figure(slope.predicted)}, measured {figure(slope.measured)}"


def _comparison(before: Mapping[str, sweep.Point], after: Mapping[str, sweep.Point]) -> str:
    names = [name for name in after if name in before]
    body = [
        [cost, *(_change(before[name].costs.get(cost), after[name].costs.get(cost)) for name in names)]
        for cost in ("reference_ms", *COMPARED_COSTS)
    ]
    return _table(["cost", *(TITLES[name] for name in names)], body)


def _change(before: float | None, after: float | None) -> str:
    """Format two figures and their ratio."""
    if before is None or after is None:
        return "-"
    ratio = f" ({after / before:.2f})" if before else ""
    return f"{figure(before)} to {figure(after)}{ratio}"
