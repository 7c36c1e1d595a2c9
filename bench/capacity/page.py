"""The tables of docs/CAPACITY.md, written from a run's figures between the page's markers."""

import math
import re
from collections.abc import Sequence

import msgspec
import orjson

from bench.capacity import rows, sweep
from bench.capacity.messages import KINDS, STALE
from bench.capacity.scales import PLAN_SCALES, ROUTES, TITLES, Scale, scales_of
from granitespool.scale import fits
from granitespool.scale.budget import DAY, LoweredBy, Origin, Row, Value, by_factor

BEGIN = "<!-- capacity: {name} -->"
END = "<!-- end of {name} -->"
DIGITS = 3  # significant digits of a figure on the page
STORED_DIGITS = 4  # significant digits of a figure in the JSON
MARKS = {Origin.MEASURED: "m", Origin.WORKED_OUT: "w", Origin.TOLD: "t"}
CONSTANT = "constant"
FIRST_SCALES = ("plan", ROUTES, "service", "service_routes")
COMPARED = (
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


class MarkerMissing(Exception):
    """The page has no place for a table; the text names the marker."""


def stored(result: sweep.Result) -> str:
    """The result as JSON with a line for each member, so that the file stays small and differences show."""
    members = []
    for name, value in msgspec.to_builtins(result).items():
        text = orjson.dumps(value).decode()
        if isinstance(value, list):
            text = "[\n" + ",\n".join(orjson.dumps(each).decode() for each in value) + "\n]"
        elif isinstance(value, dict):
            lines = (
                f"{orjson.dumps(key).decode()}: {orjson.dumps(each).decode()}" for key, each in value.items()
            )
            text = "{\n" + ",\n".join(lines) + "\n}"
        members.append(f'"{name}": {text}')
    return "{\n" + ",\n".join(members) + "\n}\n"


def shortened(result: sweep.Result) -> sweep.Result:
    """The result with fewer digits, and in sweeps only the costs that are fitted."""
    whole = msgspec.to_builtins(result)
    for swept in [*whole["sweeps"], *([whole["plan_classes"]] if whole["plan_classes"] else [])]:
        for point in swept["points"]:
            point["costs"] = {name: point["costs"][name] for name in sweep.FITTED}
    return msgspec.convert(_rounded(whole), sweep.Result)


def _rounded(value: object) -> object:
    if isinstance(value, float):
        return float(f"{value:.{STORED_DIGITS}g}")
    if isinstance(value, dict):
        return {key: _rounded(each) for key, each in value.items()}
    if isinstance(value, (list, tuple)):
        return [_rounded(each) for each in value]
    return value


def tables(result: sweep.Result, before: sweep.Result | None) -> dict[str, str]:
    """Every table of the page by the name of its place."""
    made = {}
    if result.scales:
        found = rows.rows_of(result)
        made["sizes"] = _sizes(result)
        made["first"] = _first(found)
        made["rows"] = _rows(found, list(scales_of(result)))
        made["messages"] = _messages(scales_of(result))
        made["added"] = _added(scales_of(result))
    made["slopes"] = _slopes(result)
    made["held out"] = _held_out(result)
    compared = before.scales if before else result.before
    if compared and result.scales:
        made["before and after"] = _compared(compared, result.scales)
    return made


def rewrite(path: str, made: dict[str, str]) -> None:
    """Writes each table between its markers. Raises MarkerMissing where the page has no place for one."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    for name, table in made.items():
        begin, end = BEGIN.format(name=name), END.format(name=name)
        place = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
        if not place.search(text):
            raise MarkerMissing(f"{path} has no lines {begin} and {end}")
        text = place.sub(lambda _, new=f"{begin}\n\n{table}\n\n{end}": new, text)
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)


def off(result: sweep.Result) -> list[sweep.Slope]:
    """Slopes whose held-out point is off by more than the limit, or whose form was refused."""
    return [slope for slope in _all_slopes(result) if slope.is_off or slope.refused]


def figure(value: float | None) -> str:
    """A figure with three significant digits, and separators from a thousand on."""
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
    slopes = [slope for each in swept for slope in each.slopes]
    return slopes + ([result.state_slope] if result.state_slope else [])


def _sizes(result: sweep.Result) -> str:
    names = ("backends", "zones", "proxies", "classes", "tenants", "requests", "planners")
    body = []
    for name, scale in scales_of(result).items():
        sizes = scale.sizes
        body.append(
            [
                TITLES[name],
                *(figure(float(getattr(sizes, each))) for each in names),
                figure(float(sizes.links)),
                figure(sizes.heard_share),
                figure(sizes.requests / sizes.planners),
                figure(sizes.requests / sizes.backends),
                figure(sizes.requests / sizes.zones**2),
            ]
        )
    head = [
        "scale",
        "backends",
        "zones",
        "proxies a coordinator",
        "classes",
        "tenants",
        "requests/s",
        "coordinators",
        "links",
        "share of links heard",
        "requests/s a coordinator",
        "a backend",
        "a pair of zones",
    ]
    return _table(head, body)


def _marked(value: Value | None) -> str:
    if value is None or value.amount is None:
        return "-"
    return f"{figure(value.amount)} {MARKS[value.origin]}"


def _factor(factor: float | None) -> str:
    return "" if factor is None else figure(factor)


def _rows(found: Sequence[Row], names: list[str]) -> str:
    head = [
        "role",
        "cost",
        *(TITLES[name] for name in names),
        "unit",
        "limit",
        "factor",
        "factor, one service",
        "lowered by",
        "source",
        "module",
    ]
    body = []
    for row in by_factor(found, PLAN_SCALES):
        body.append(
            [
                row.role,
                row.cost,
                *(_marked(row.values.get(name)) for name in names),
                row.unit,
                "" if row.limit is None else figure(row.limit),
                _factor(row.worst(PLAN_SCALES)),
                _factor(row.factor("service")),
                row.lowered_by.value,
                row.source,
                row.module,
            ]
        )
    return _table(head, body)


def _first(found: Sequence[Row]) -> str:
    """The rows over their limit that this program can lower, the largest factor first."""
    over = [
        row
        for row in by_factor(found, PLAN_SCALES)
        if row.lowered_by is LoweredBy.PROGRAM and (row.worst(PLAN_SCALES) or 0) > 1
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


def _messages(scales: dict[str, Scale]) -> str:
    body = []
    for kind in KINDS:
        cells = []
        for scale in scales.values():
            try:
                numbers = [
                    formula(scale.costs, scale.sizes) for formula in (kind.size, kind.mean, kind.worst)
                ]
                cells.append(" / ".join(map(figure, numbers)))
            except KeyError:
                cells.append("-")
        body.append([kind.name, kind.sender, kind.receiver, *cells])
    head = ["kind", "from", "to", *(f"{TITLES[name]}: bytes / mean a s / worst s" for name in scales)]
    return _table(head, body)


def _added(scales: dict[str, Scale]) -> str:
    """Share of requests that meet a stale table in its window, the window, and the share in a whole day."""
    body = []
    for event in STALE:
        cells = []
        for scale in scales.values():
            costs, sizes = scale.costs, scale.sizes
            if event.seconds not in costs or event.turn not in costs:
                cells.append("-")
                continue
            share, window = event.share(sizes), costs[event.seconds] + costs[event.turn] / 1000
            in_a_day = share * window * event.a_day * sizes.backends / sweep.PLAN.backends / DAY
            cells.append(f"{share:.3%} / {figure(window)} s / {in_a_day:.2g}")
        body.append([event.name, *cells])
    head = ["event", *(f"{TITLES[name]}: share / window / of a day's requests" for name in scales)]
    return _table(head, body)


def _slopes(result: sweep.Result) -> str:
    sections = []
    swept = [("", each) for each in result.sweeps]
    if result.plan_classes:
        swept.append((", at the plan's other sizes", result.plan_classes))
    for where, each in swept:
        values = ", ".join(figure(point.sizes.variables()[each.size]) for point in each.points)
        still = [slope.cost for slope in each.slopes if _is_still(slope)]
        body = [_slope(slope) for slope in each.slopes if not _is_still(slope)]
        parts = [f"**{each.size}**{where}: {values}; the last is held out."]
        if body:
            head = ["cost", "form", "formula", "residual", "predicted", "measured", "error", "verdict"]
            parts.append(_table(head, body))
        if still:
            parts.append(f"Constant within {fits.NOISE_FLOOR:.0%}: {', '.join(still)}.")
        sections.append("\n\n".join(parts))
    if result.state_slope:
        head = ["cost", "form", "formula", "residual", "predicted", "measured", "error", "verdict"]
        sections.append(
            "**State folder**, every link heard once a second.\n\n"
            + _table(head, [_slope(result.state_slope)])
        )
    return "\n\n".join(sections)


def _is_still(slope: sweep.Slope) -> bool:
    steady = slope.form == CONSTANT and slope.residual <= fits.NOISE_FLOOR
    return steady and not (slope.refused or slope.is_off)


def _slope(slope: sweep.Slope) -> list[str]:
    verdict = "refused" if slope.refused else "off" if slope.is_off else "holds"
    return [
        slope.cost,
        slope.form,
        slope.text or "-",
        f"{slope.residual:.3f}",
        figure(slope.predicted),
        figure(slope.measured),
        "-" if slope.error is None else f"{slope.error:+.0%}",
        verdict,
    ]


def _held_out(result: sweep.Result) -> str:
    bad = off(result)
    total = len(_all_slopes(result))
    told = [f"{total - len(bad)} of {total} held-out points are predicted within {fits.ERROR_LIMIT:.0%}."]
    for slope in bad:
        why = (
            f"no form within a residual of {fits.RESIDUAL_LIMIT:g} (best: {slope.form}, {slope.residual:.2f})"
            if slope.refused
            else f"predicted {figure(slope.predicted)}, measured {figure(slope.measured)}"
        )
        told.append(f"- `{slope.cost}` over {slope.size}: {why}")
    return "\n".join(told)


def _compared(before: dict[str, sweep.Point], after: dict[str, sweep.Point]) -> str:
    names = [name for name in after if name in before]
    body = []
    for cost in ("reference_ms", *COMPARED):
        cells = []
        for name in names:
            old, new = before[name].costs.get(cost), after[name].costs.get(cost)
            if old is None or new is None:
                cells.append("-")
            else:
                cells.append(f"{figure(old)} to {figure(new)}" + (f" ({new / old:.2f})" if old else ""))
        body.append([cost, *cells])
    return _table(["cost", *(TITLES[name] for name in names)], body)
