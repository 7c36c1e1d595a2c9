"""The scales of docs/CAPACITY.md: measured ones, and the plan with every route as a class, worked out."""

import msgspec

from bench.capacity import process, sweep
from bench.capacity.sizes import Sizes

ROUTES = "plan_routes"
TITLES = {
    "today": "today",
    "tenth": "a tenth",
    "service": "one service of 49",
    "service_routes": "one service, 3,100 routes",
    "plan": "plan, 3 classes",
    ROUTES: "plan, 3,100 routes",
}
PLAN_SCALES = ("plan", ROUTES)
ROUTE_DRIVEN = frozenset(  # costs that are worked out for 3,100 routes; all others are as without them
    sweep.FITTED
)
UNKNOWN_AT_ROUTES = (  # costs that no slope carries to 3,100 routes
    "rack_",
    "zone_",
    "heal_",
    "process_",
    "join_s",
    "join_bound",
    "named_",
)

Costs = dict[str, float]


class Scale(msgspec.Struct, frozen=True):
    """The costs at one scale; `worked_out` names those that no run has measured."""

    sizes: Sizes
    costs: Costs
    worked_out: bool


def scales_of(result: sweep.Result) -> dict[str, Scale]:
    """Every measured scale, and the plan with each route as a class, worked out."""
    scales = {}
    for name, point in result.scales.items():
        costs = dict(point.costs)
        if name in result.processes:
            costs |= _process_costs(result.processes[name])
        scales[name] = Scale(point.sizes, costs, False)
    if "plan" in scales and result.plan_classes:
        scales[ROUTES] = _with_routes(scales["plan"], result.plan_classes)
        if ROUTES in result.processes:
            scales[ROUTES].costs.update(_process_costs(result.processes[ROUTES]))
    return scales


def _process_costs(found: process.Measured) -> Costs:
    values = msgspec.structs.asdict(found)
    return {f"process_{key}": float(value) for key, value in values.items() if value is not None}


def _with_routes(plan: Scale, classes: sweep.Swept) -> Scale:
    sizes = msgspec.structs.replace(plan.sizes, classes=sweep.ROUTES)
    slopes = {slope.cost: slope for slope in classes.slopes}
    costs = {}
    for name, value in plan.costs.items():
        if name.startswith(UNKNOWN_AT_ROUTES):
            continue
        if name not in ROUTE_DRIVEN:
            costs[name] = value
        elif (worked_out := sweep.worked_out(slopes[name], sizes)) is not None:
            costs[name] = worked_out
    if "memory_mb" in costs:
        costs["resident_mb"] = plan.costs["resident_mb"] - plan.costs["memory_mb"] + costs["memory_mb"]
    else:
        costs.pop("resident_mb", None)
    return Scale(sizes, costs, True)
