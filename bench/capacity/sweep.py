"""Select the measured points, run each in a child process, and fit the results."""

import math
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence

import msgspec

from bench.capacity import process
from bench.capacity.point import Request
from bench.capacity.sizes import Sizes
from bench.state import simulate
from granitespool.scale import fits

SWEPT_SIZES = ("backends", "zones", "proxies", "classes", "tenants", "heard_share", "planners")
FITTED_COSTS = (
    "idle_ms",
    "idle_calls",
    "entry_ms",
    "entry_calls",
    "entry_lines",
    "entry_bytes",
    "busy_ms",
    "busy_worst_ms",
    "busy_read_ms",
    "busy_in_bytes",
    "first_list_ms",
    "join_ms",
    "join_lines",
    "join_bytes",
    "file_bytes",
    "file_ms",
    "list_bytes",
    "memory_mb",
)
BASE = Sizes(backends=600, zones=8, proxies=70, classes=3, tenants=10, requests=1071.0, planners=50)
SWEEP_VALUES = {  # at least four fitted values, and a last one that is held out
    "backends": (450, 600, 900, 1200, 2000),
    "zones": (2, 4, 8, 12, 20),
    "proxies": (50, 70, 90, 110, 150),
    "classes": (40, 70, 110, 160, 300),
    "tenants": (10, 1000, 5000, 15000, 33000),
    "heard_share": (0.1, 0.2, 0.4, 0.6, 0.8),
    "planners": (5, 25, 50, 150, 680),
}
TODAY = Sizes(backends=100, zones=3, proxies=80, classes=3, tenants=10, requests=300.0, planners=5)
TENTH = Sizes(backends=290, zones=2, proxies=70, classes=310, tenants=3300, requests=4700.0, planners=68)
SERVICE = Sizes(backends=59, zones=20, proxies=70, classes=63, tenants=673, requests=959.0, planners=14)
SERVICE_ROUTES = Sizes(
    backends=59, zones=20, proxies=70, classes=3100, tenants=673, requests=959.0, planners=14
)
PLAN = Sizes(backends=2900, zones=20, proxies=70, classes=3, tenants=33000, requests=47000.0, planners=680)
SCALES = {
    "today": TODAY,
    "tenth": TENTH,
    "service": SERVICE,
    "service_routes": SERVICE_ROUTES,
    "plan": PLAN,
}
# Scales that are measured once, because a measurement takes half a minute.
UNREPEATED_SCALES = frozenset(("service_routes",))
PLAN_ROUTES = 3100  # number of routes in the plan; each is a request class
# Numbers of request classes, all above the maximum of subsets, for the sweep with the plan's other sizes.
PLAN_CLASSES = (30, 60, 100, 160, 260)
# (backends, zones); the last point is held out.
STATE_POINTS = ((100, 3), (200, 4), (400, 4), (400, 8), (600, 10))
STATE_SECONDS = 10  # virtual duration of each point
CHILD_PROGRAM = "import sys; sys.path.insert(0, {program!r}); import granitespool; sys.path.pop(0)\n" + (
    "from bench.capacity.point import main; main()"
)


class Point(msgspec.Struct, frozen=True):
    """The costs measured at one point of sizes."""

    sizes: Sizes
    costs: dict[str, float]


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """The growth of one cost with one size, and its prediction for the held-out point."""

    size: str
    cost: str
    form: str
    coefficients: tuple[float, ...] = ()
    text: str = ""
    residual: float = 0.0
    refused: bool = False
    predicted: float | None = None
    measured: float | None = None
    error: float | None = None
    is_off: bool = False


class SweepResult(msgspec.Struct, frozen=True):
    """The points of one sweep, of which the last is held out, and the fitted slopes."""

    size: str
    points: list[Point]
    slopes: list[Slope]


class StatePoint(msgspec.Struct, frozen=True):
    """Bytes written to the state folder a second while each link is reported once a second."""

    backends: int
    zones: int
    bytes_per_s: float


class Result(msgspec.Struct, kw_only=True):
    """All results of one run."""

    seed: int
    repeats: int
    scales: dict[str, Point] = {}
    before: dict[str, Point] = {}  # by scale, of an earlier version measured in the same run
    processes: dict[str, process.ProcessCosts] = {}
    sweeps: list[SweepResult] = []
    plan_classes: SweepResult | None = None
    state_points: list[StatePoint] = []
    state_slope: Slope | None = None


def run_point(request: Request, program: str = ".") -> Point:
    """Measure one point in a child process, on the program in the directory `program`."""
    child = subprocess.run(
        [sys.executable, "-c", CHILD_PROGRAM.format(program=program)],
        input=msgspec.json.encode(request),
        stdout=subprocess.PIPE,
        check=True,
    )
    return Point(request.sizes, msgspec.json.decode(child.stdout, type=dict[str, float]))


def with_size(base: Sizes, size: str, value: float) -> Sizes:
    """Return the base with one size changed.

    The share of reported links is kept when another size changes, so that sizes vary one at a time.
    """
    share = value if size == "heard_share" else base.heard_share
    if size != "heard_share":
        base = msgspec.structs.replace(base, **{size: int(value)})
    return msgspec.structs.replace(base, requests=requests_for(share, base.links))


def requests_for(share: float, links: int) -> float:
    """Return the requests a second that reach this share of links if distributed at random."""
    return -math.log1p(-share) * links


def fit_slope(size: str, cost: str, points: Sequence[Point]) -> Slope:
    """Fit all points but the last and predict it; a slope without an accepted form is marked `refused`."""
    samples = [fits.Sample(point.sizes.variables(), point.costs[cost]) for point in points]
    measured = samples[-1].cost
    try:
        chosen = fits.choose_fit(samples[:-1], fits.forms_of((size,)))
    except fits.FormRejectedError as rejected:
        best = rejected.best
        return Slope(
            size=size, cost=cost, form=best.form.name, residual=best.residual, refused=True, measured=measured
        )
    except fits.FitError as error:
        return Slope(size=size, cost=cost, form=str(error), refused=True, measured=measured)
    held_out = fits.check_held_out(chosen, samples[-1])
    return Slope(
        size=size,
        cost=cost,
        form=chosen.form.name,
        coefficients=chosen.coefficients,
        text=chosen.text,
        residual=chosen.residual,
        predicted=held_out.predicted,
        measured=measured,
        error=held_out.error,
        is_off=held_out.exceeds_limit,
    )


def fit_sweep(size: str, points: list[Point]) -> SweepResult:
    """Return the sweep of these points, with a slope for every fitted cost."""
    return SweepResult(size, points, [fit_slope(size, cost, points) for cost in FITTED_COSTS])


def extrapolate(slope: Slope, sizes: Sizes) -> float | None:
    """Return a slope's prediction at other sizes, or None if its form was rejected or it is off."""
    if slope.refused or slope.is_off:
        return None
    forms = {form.name: form for form in fits.forms_of((slope.size,))}
    fitted = fits.Fit(forms[slope.form], slope.coefficients, slope.residual)
    return fitted.predict(sizes.variables())


def measure_state_points() -> tuple[list[StatePoint], Slope]:
    """Measure the bytes a store writes a second while every link is reported, and fit their growth."""
    points = []
    for backends, zones in STATE_POINTS:
        with tempfile.TemporaryDirectory() as folder:
            *_, store = simulate(folder, backends, zones, STATE_SECONDS)
        points.append(StatePoint(backends, zones, store.bytes_written / STATE_SECONDS))
    samples = [
        fits.Sample({"backends": float(point.backends), "zones": float(point.zones)}, point.bytes_per_s)
        for point in points
    ]
    chosen = fits.choose_fit(samples[:-1], fits.forms_of(("backends", "zones")))
    held_out = fits.check_held_out(chosen, samples[-1])
    slope = Slope(
        size="backends x zones",
        cost="state_bytes",
        form=chosen.form.name,
        coefficients=chosen.coefficients,
        text=chosen.text,
        residual=chosen.residual,
        predicted=held_out.predicted,
        measured=held_out.sample.cost,
        error=held_out.error,
        is_off=held_out.exceeds_limit,
    )
    return points, slope


def run_sweep(
    base: Sizes,
    size: str,
    values: Sequence[float],
    seed: int,
    repeats: int,
    report_progress: Callable[[str], None],
) -> SweepResult:
    """Measure the points of one sweep one after the other and fit them."""
    points = []
    for value in values:
        report_progress(f"{size} {value:g}")
        points.append(run_point(Request(sizes=with_size(base, size, value), seed=seed, repeats=repeats)))
    return fit_sweep(size, points)


def predict_state_bytes(slope: Slope, sizes: Sizes) -> float:
    """Predict the bytes written to the state folder a second while every link is reported."""
    forms = {form.name: form for form in fits.forms_of(("backends", "zones"))}
    fitted = fits.Fit(forms[slope.form], slope.coefficients, slope.residual)
    return fitted.predict({"backends": float(sizes.backends), "zones": float(sizes.zones)})
