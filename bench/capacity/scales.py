"""The scales of docs/CAPACITY.md: the measured ones, and the extrapolated plan with each route as a class."""

import msgspec

from bench.capacity import process, sweep
from bench.capacity.sizes import Sizes

ROUTES_SCALE = "plan_routes"
TITLES = {
    "today": "today",
    "tenth": "a tenth",
    "service": "one service of 49",
    "service_routes": "one service, 3,100 routes",
    "plan": "plan, 3 classes",
    ROUTES_SCALE: "plan, 3,100 routes",
}
PLAN_SCALES = ("plan", ROUTES_SCALE)
ROUTE_DRIVEN = frozenset(  # costs that are extrapolated to 3,100 routes; all others do not change
    sweep.FITTED_COSTS
)
UNKNOWN_AT_ROUTES = (  # prefixes of the costs that no slope extrapolates to 3,100 routes
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
    """The sizes and costs at one scale; `worked_out` is true if the costs are extrapolated, not measured."""

    sizes: Sizes
    costs: Costs
    worked_out: bool


def scales_of(result: sweep.Result) -> dict[str, Scale]:
    """Return every measured scale, and the extrapolated plan with each route as a class."""
    scales = {}
    for name, point in result.scales.items():
        costs = dict(point.costs)
        if name in result.processes:
            costs |= _process_costs(result.processes[name])
        scales[name] = Scale(point.sizes, costs, False)
    if "plan" in scales and result.plan_classes:
        scales[ROUTES_SCALE] = _with_routes(scales["plan"], result.plan_classes)
        if ROUTES_SCALE in result.processes:
            scales[ROUTES_SCALE].costs.update(_process_costs(result.processes[ROUTES_SCALE]))
    return scales


def _process_costs(process_costs: process.ProcessCosts) -> Costs:
    values = msgspec.structs.asdict(process_costs)
    return {f"process_{key}": float(value) for key, value in values.items() if value is not None}


def _with_routes(plan: Scale, classes: sweep.SweepResult) -> Scale:
    sizes = msgspec.structs.replace(plan.sizes, classes=sweep.PLAN_ROUTES)
    slopes = {slope.cost: slope for slope in classes.slopes}
    costs = {}
    for name, value in plan.costs.items():
        if name.startswith(UNKNOWN_AT_ROUTES):
            continue
        if name not in ROUTE_DRIVEN:
            costs[name] = value
        elif (extrapolated := sweep.extrapolate(slopes[name], sizes)) is not None:
            costs[name] = extrapolated
    if "memory_mb" in costs:
        costs["resident_mb"] = plan.costs["resident_mb"] - plan.costs["memory_mb"] + costs["memory_mb"]
    else:
        costs.pop("resident_mb", None)
    return Scale(sizes, costs, True)
