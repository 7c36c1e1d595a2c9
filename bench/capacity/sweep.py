"""Which points are measured, each in a child process, and the fits of what was found."""

import math
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence

import msgspec

from bench.capacity import process
from bench.capacity.point import Request
from bench.capacity.sizes import Sizes
from bench.state import played
from granitespool.scale import fits

SWEPT = ("backends", "zones", "proxies", "classes", "tenants", "heard_share", "planners")
FITTED = (
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
SIZES = {  # four points or more, and the last one is held out
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
ONCE = frozenset(("service_routes",))  # scales that are measured without repeats: half a minute each time
ROUTES = 3100  # of the plan, where each is a class of the settings
PLAN_CLASSES = (30, 60, 100, 160, 260)  # swept at the plan's other sizes, above the most subsets
STATE_POINTS = ((100, 3), (200, 4), (400, 4), (400, 8), (600, 10))  # backends x zones; the last is held out
STATE_SECONDS = 10  # virtual seconds of each
CHILD = "import sys; sys.path.insert(0, {text!r}); import granitespool; sys.path.pop(0)\n" + (
    "from bench.capacity.point import main; main()"
)


class Point(msgspec.Struct, frozen=True):
    """The costs at some sizes."""

    sizes: Sizes
    costs: dict[str, float]


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """How one cost grows with one size, and what that predicts for the held-out point."""

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


class Swept(msgspec.Struct, frozen=True):
    """The points of one sweep, the last of them held out, and the slopes."""

    size: str
    points: list[Point]
    slopes: list[Slope]


class StatePoint(msgspec.Struct, frozen=True):
    """Bytes a second that the state folder is written while each link is heard once a second."""

    backends: int
    zones: int
    bytes_per_s: float


class Result(msgspec.Struct, kw_only=True):
    """Everything that one run has found."""

    seed: int
    repeats: int
    scales: dict[str, Point] = {}
    before: dict[str, Point] = {}  # the same scales on a former text, measured in the same run
    processes: dict[str, process.Measured] = {}
    sweeps: list[Swept] = []
    plan_classes: Swept | None = None
    state_points: list[StatePoint] = []
    state_slope: Slope | None = None


def run_point(request: Request, text: str = ".") -> Point:
    """Measures one point in a child process on the program found in the directory `text`."""
    child = subprocess.run(
        [sys.executable, "-c", CHILD.format(text=text)],
        input=msgspec.json.encode(request),
        stdout=subprocess.PIPE,
        check=True,
    )
    return Point(request.sizes, msgspec.json.decode(child.stdout, type=dict[str, float]))


def with_size(base: Sizes, size: str, value: float) -> Sizes:
    """The base with one size changed.

    The share of links heard is kept where another size changes, so that sizes vary one at a time.
    """
    share = value if size == "heard_share" else base.heard_share
    if size != "heard_share":
        base = msgspec.structs.replace(base, **{size: int(value)})
    return msgspec.structs.replace(base, requests=requests_for(share, base.links))


def requests_for(share: float, links: int) -> float:
    """Requests a second that reach this share of links by chance."""
    return -math.log1p(-share) * links


def slope_of(size: str, cost: str, points: Sequence[Point]) -> Slope:
    """Fits all points but the last, and predicts that one; a rejected form is reported as such."""
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
    held = fits.check_held_out(chosen, samples[-1])
    return Slope(
        size=size,
        cost=cost,
        form=chosen.form.name,
        coefficients=chosen.coefficients,
        text=chosen.text,
        residual=chosen.residual,
        predicted=held.predicted,
        measured=measured,
        error=held.error,
        is_off=held.exceeds_limit,
    )


def sweep(size: str, points: list[Point]) -> Swept:
    """The slopes of every fitted cost over these points."""
    return Swept(size, points, [slope_of(size, cost, points) for cost in FITTED])


def worked_out(slope: Slope, sizes: Sizes) -> float | None:
    """What a slope says for other values of its size; None where it was refused or is off."""
    if slope.refused or slope.is_off:
        return None
    forms = {form.name: form for form in fits.forms_of((slope.size,))}
    fitted = fits.Fit(forms[slope.form], slope.coefficients, slope.residual)
    return fitted.predict(sizes.variables())


def state_points() -> tuple[list[StatePoint], Slope]:
    """Bytes written a second by a store whose every link is heard, and how they grow."""
    points = []
    for backends, zones in STATE_POINTS:
        with tempfile.TemporaryDirectory() as folder:
            *_, store = played(folder, backends, zones, STATE_SECONDS)
        points.append(StatePoint(backends, zones, store.bytes_written / STATE_SECONDS))
    samples = [
        fits.Sample({"backends": float(point.backends), "zones": float(point.zones)}, point.bytes_per_s)
        for point in points
    ]
    chosen = fits.choose_fit(samples[:-1], fits.forms_of(("backends", "zones")))
    held = fits.check_held_out(chosen, samples[-1])
    slope = Slope(
        size="backends x zones",
        cost="state_bytes",
        form=chosen.form.name,
        coefficients=chosen.coefficients,
        text=chosen.text,
        residual=chosen.residual,
        predicted=held.predicted,
        measured=held.sample.cost,
        error=held.error,
        is_off=held.exceeds_limit,
    )
    return points, slope


def run_sweep(
    base: Sizes, size: str, values: Sequence[float], seed: int, repeats: int, tell: Callable[[str], None]
) -> Swept:
    """Measures the points of one sweep one after the other."""
    points = []
    for value in values:
        tell(f"{size} {value:g}")
        points.append(run_point(Request(sizes=with_size(base, size, value), seed=seed, repeats=repeats)))
    return sweep(size, points)


def state_bytes(slope: Slope, sizes: Sizes) -> float:
    """Bytes a second that the state folder is written at these sizes while every link is heard."""
    forms = {form.name: form for form in fits.forms_of(("backends", "zones"))}
    fitted = fits.Fit(forms[slope.form], slope.coefficients, slope.residual)
    return fitted.predict({"backends": float(sizes.backends), "zones": float(sizes.zones)})
