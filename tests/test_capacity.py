"""The capacity command: fits recover known slopes, reject wrong forms and report predictions that are off."""

import json
from pathlib import Path
from random import Random

import pytest

from bench.capacity import page, process, scales, sweep
from bench.capacity.__main__ import main
from bench.capacity.point import Request, measure
from bench.capacity.sizes import Sizes
from granitespool.scale import budget, fits

SIZES = ({"backends": float(b), "zones": float(z)} for b in (100, 200, 400, 800) for z in (2, 4, 8))
POINTS = list(SIZES)
FORMS = fits.forms_of(("backends", "zones"))


def samples(cost, points=POINTS):
    return [fits.Sample(sizes, cost(sizes)) for sizes in points]


@pytest.mark.parametrize(
    ("form", "cost", "coefficients"),
    [
        ("constant", lambda s: 7.0, (7.0,)),
        ("proportional to backends", lambda s: 0.25 * s["backends"], (0.25,)),
        ("linear in zones", lambda s: 5 + 3 * s["zones"], (5.0, 3.0)),
        ("product of backends and zones", lambda s: 0.5 * s["backends"] * s["zones"], (0.5,)),
        (
            "base and product of backends and zones",
            lambda s: 900 + 0.5 * s["backends"] * s["zones"],
            (900.0, 0.5),
        ),
        ("product of backends and backends", lambda s: 0.01 * s["backends"] ** 2, (0.01,)),
    ],
)
def test_the_chosen_form_recovers_known_slopes(form, cost, coefficients):
    chosen = fits.choose_fit(samples(cost), FORMS)
    assert chosen.form.name == form
    assert chosen.coefficients == pytest.approx(coefficients, rel=1e-6)
    assert chosen.residual < 1e-9


@pytest.mark.parametrize("seed", range(5))
def test_noise_of_three_percent_changes_a_slope_by_less_than_five_and_adds_no_parameter(seed):
    random = Random(seed)
    noisy = samples(lambda s: 0.5 * s["backends"] * s["zones"] * random.gauss(1, 0.03))
    chosen = fits.choose_fit(noisy, FORMS)
    assert chosen.form.name == "product of backends and zones"
    assert chosen.coefficients[0] == pytest.approx(0.5, rel=0.05)


def test_a_wrong_form_is_rejected_with_its_residual():
    product = samples(lambda s: 0.5 * s["backends"] * s["zones"])
    with pytest.raises(fits.FormRejectedError) as rejected:
        fits.choose_fit(product, [fits.constant(), fits.linear("backends")])
    assert rejected.value.best.residual > rejected.value.limit
    assert "linear in backends" in str(rejected.value) or "constant" in str(rejected.value)


def test_a_cost_that_falls_with_its_size_has_no_form():
    falling = samples(lambda s: 1000 - s["backends"])
    with pytest.raises(fits.FormRejectedError):
        fits.choose_fit(falling, FORMS)


def test_a_size_that_does_not_vary_is_indistinguishable_from_a_constant():
    constant_sizes = samples(lambda s: 4.0, [{"backends": 100.0, "zones": 4.0}] * 5)
    with pytest.raises(fits.SingularFitError):
        fits.fit(constant_sizes, fits.linear("backends"))


def test_too_few_samples_are_an_error():
    with pytest.raises(fits.TooFewSamplesError):
        fits.fit(samples(lambda _: 1.0)[:2], fits.linear("backends"))


def test_a_held_out_point_is_off_only_past_the_limit():
    chosen = fits.choose_fit(samples(lambda s: 0.25 * s["backends"]), FORMS)
    larger = {"backends": 3200.0, "zones": 4.0}
    near = fits.check_held_out(chosen, fits.Sample(larger, 900.0), limit=0.2)
    far = fits.check_held_out(chosen, fits.Sample(larger, 1600.0), limit=0.2)
    assert near.predicted == pytest.approx(800.0)
    assert near.error == pytest.approx(-1 / 9)
    assert not near.exceeds_limit
    assert far.error == pytest.approx(-0.5)
    assert far.exceeds_limit


def test_a_held_out_point_that_costs_nothing_is_off_unless_nothing_was_predicted():
    chosen = fits.choose_fit(samples(lambda s: 0.25 * s["backends"]), FORMS)
    assert fits.check_held_out(chosen, fits.Sample(POINTS[0], 0.0)).exceeds_limit


TINY = Sizes(backends=12, zones=2, proxies=4, classes=2, tenants=2, requests=40.0, planners=2)
DOCS = Path(__file__).parent.parent / "docs"
COUNTED = (
    "idle_calls",
    "entry_calls",
    "entry_lines",
    "join_lines",
    "join_bytes",
    "busy_in_bytes",
    "busy_lines",
)
PAGE = """Words before.

<!-- capacity: slopes -->
an old table
<!-- end of slopes -->

Words between.

<!-- capacity: held out -->
<!-- end of held out -->

Words after.
"""


def tiny_arguments(tmp_path, *options):
    (tmp_path / "page.md").write_text(PAGE)
    base = "backends=12,zones=2,proxies=4,classes=2,tenants=2,requests=40,planners=2"
    return [
        "--scales=none",
        f"--base={base}",
        "--sizes=backends=8:12:16:20:32",
        "--repeats=1",
        "--quiet",
        f"--json={tmp_path}/figures.json",
        f"--page={tmp_path}/page.md",
        *options,
    ]


def test_the_command_at_a_tiny_size_writes_its_figures_and_the_tables_of_the_page(tmp_path):
    assert main(tiny_arguments(tmp_path)) == 0
    (swept,) = json.loads((tmp_path / "figures.json").read_text())["sweeps"]
    assert [point["sizes"]["backends"] for point in swept["points"]] == [8, 12, 16, 20, 32]
    slopes = {slope["cost"]: slope for slope in swept["slopes"]}
    assert set(slopes) == set(sweep.FITTED_COSTS)
    assert "in backends" in slopes["file_bytes"]["form"]  # the size is counted, so it is the same in each run
    assert abs(slopes["file_bytes"]["error"]) < 0.02
    written = (tmp_path / "page.md").read_text()
    assert "an old table" not in written
    assert "| file_bytes | linear in backends |" in written
    for words in ("Words before.", "Words between.", "Words after."):
        assert words in written
    figures = (tmp_path / "figures.json").read_text()
    assert main(tiny_arguments(tmp_path, f"--from={tmp_path}/figures.json")) == 0
    assert (tmp_path / "page.md").read_text() == written
    assert (tmp_path / "figures.json").read_text() == figures


def test_counted_costs_are_the_same_in_each_run_of_a_seed():
    first, second = (measure(Request(sizes=TINY, seed=3, events=True, named_backends=True)) for _ in range(2))
    assert {name: first[name] for name in COUNTED} == {name: second[name] for name in COUNTED}
    assert first["join_unbound"] == 0
    assert first["named_together"] == TINY.backends


def test_more_load_reports_are_sent_when_a_larger_share_of_links_is_reported():
    few, many = (
        measure(Request(sizes=sweep.with_size(TINY, "heard_share", share), seed=1)) for share in (0.2, 0.8)
    )
    assert few["heard_in_bytes"] < many["heard_in_bytes"]
    assert sweep.with_size(TINY, "heard_share", 0.2).heard_share == pytest.approx(0.2)


def synthetic_points(costs):
    """Return the points of a sweep over backends, each with one of these values for every fitted cost."""
    return [
        sweep.Point(
            sweep.with_size(TINY, "backends", backends), dict.fromkeys(sweep.FITTED_COSTS, float(cost))
        )
        for backends, cost in zip((100, 200, 300, 400, 800), costs)
    ]


def held_out_table(points):
    result = sweep.Result(seed=1, repeats=1, sweeps=[sweep.fit_sweep("backends", points)])
    return page.tables(result, None)["held out"]


def test_the_page_lists_a_held_out_point_that_is_off_and_a_rejected_form():
    assert "`idle_ms`" not in held_out_table(synthetic_points((10, 20, 30, 40, 80)))
    assert "`idle_ms` over backends: predicted 80, measured 160" in held_out_table(
        synthetic_points((10, 20, 30, 40, 160))
    )
    assert "`idle_ms` over backends: no form" in held_out_table(synthetic_points((10, 90, 10, 90, 10)))


def test_a_page_without_markers_for_a_table_is_an_error(tmp_path):
    path = tmp_path / "page.md"
    path.write_text("no markers\n")
    with pytest.raises(page.MarkerMissingError, match="slopes"):
        page.rewrite(str(path), {"slopes": "a table"})
    assert path.read_text() == "no markers\n"


def row(cost, amount, limit):
    return budget.Row(
        role="coordinator",
        cost=cost,
        unit="ms",
        values={"plan": budget.Value(amount, budget.Origin.MEASURED)},
        source="made up",
        module="rules.py",
        limit=limit,
    )


def test_rows_are_sorted_by_the_factor_over_their_limit_and_those_without_a_limit_come_last():
    rows = [row("free", 900.0, None), row("within", 10.0, 29.0), row("over", 290.0, 29.0)]
    assert [found.cost for found in budget.by_factor(rows, ["plan"])] == ["over", "within", "free"]
    assert rows[2].worst_factor(["plan", "unknown"]) == pytest.approx(10.0)


def test_a_cost_without_a_form_is_not_extrapolated_to_3100_routes():
    costs = dict.fromkeys(sweep.FITTED_COSTS, 5.0) | {
        "resident_mb": 30.0,
        "rack_second_ms": 7.0,
        "entry_row_bytes": 170,
    }
    plan = scales.Scale(sweep.PLAN, costs, False)
    points = [
        sweep.Point(
            sweep.with_size(sweep.PLAN, "classes", classes),
            dict.fromkeys(sweep.FITTED_COSTS, float(classes)) | {"idle_ms": unfitted_cost},
        )
        for classes, unfitted_cost in zip((30, 60, 100, 200, 300), (1.0, 90.0, 2.0, 80.0, 3.0))
    ]
    extrapolated = scales._with_routes(plan, sweep.fit_sweep("classes", points)).costs
    assert extrapolated["join_ms"] == pytest.approx(3100.0)
    assert extrapolated["resident_mb"] == pytest.approx(30.0 - 5.0 + 3100.0)
    assert extrapolated["entry_row_bytes"] == 170
    assert "idle_ms" not in extrapolated
    assert "rack_second_ms" not in extrapolated


def test_a_process_answers_applies_a_new_file_and_ends(monkeypatch):
    monkeypatch.setattr(process, "SETTLE_TIME", 0.1)
    monkeypatch.setattr(process, "IDLE_TIME", 0.2)
    costs = process.measure(TINY)
    assert costs.answer_s < process.ANSWER_TIMEOUT
    assert costs.reload_s < budget.Budget().configuration_s
    assert costs.descriptors >= 4  # standard streams, the loop, the listener
    assert costs.log_lines >= 3  # serving, reloaded, stopped
    assert costs.start_ms > 0


def test_before_and_after_shows_both_figures_and_their_ratio():
    before, after = (
        {"plan": sweep.Point(sweep.PLAN, {"idle_ms": idle, "idle_calls": 50.0})} for idle in (300.0, 30.0)
    )
    table = page._comparison(before, after)
    assert "| idle_ms | 300 to 30 (0.10) |" in table
    assert "| idle_calls | 50 to 50 (1.00) |" in table
    assert "| join_ms | - |" in table


def test_every_table_of_the_page_comes_from_the_stored_figures(tmp_path):
    copy = tmp_path / "CAPACITY.md"
    copy.write_text((DOCS / "CAPACITY.md").read_text())
    words = [f"--from={DOCS}/capacity.json", f"--before={DOCS}/capacity-before.json", f"--page={copy}"]
    assert main(words) == 0
    assert copy.read_text() == (DOCS / "CAPACITY.md").read_text()


def test_tables_of_a_run_contain_each_scale_with_its_factor_and_unmeasured_costs():
    costs = measure(Request(sizes=TINY, seed=1, events=True, named_backends=True))
    without_events = {name: value for name, value in costs.items() if not name.startswith("zone_back")}
    idle = budget.Budget().processor_ms_per_s * 3
    result = sweep.Result(
        seed=1,
        repeats=1,
        scales={
            "today": sweep.Point(TINY, costs),
            "plan": sweep.Point(TINY, without_events | {"idle_ms": idle}),
        },
    )
    tables = page.tables(result, None)
    assert set(tables) == {"sizes", "first", "rows", "messages", "added", "slopes", "held out"}
    cells = [[cell.strip() for cell in line.split("|")[1:-1]] for line in tables["rows"].splitlines()]
    column = {name: at for at, name in enumerate(cells[0])}
    by_cost = {line[column["cost"]]: line for line in cells[2:]}
    row_of_idle = by_cost["processor, an idle second"]
    assert row_of_idle[column["plan, 3 classes"]] == "87 m"
    assert row_of_idle[column["factor"]] == "3"
    cold_zone = by_cost["a zone is back, cold: processor in its second"]
    assert cold_zone[column["plan, 3 classes"]] == "-"
    assert cold_zone[column["today"]].endswith(" m")
    not_run = by_cost["from SIGHUP to an active configuration"]  # no process was measured
    assert not_run[column["plan, 3 classes"]] == "-"
    factors = [float(line[column["factor"]].replace(",", "")) for line in cells[2:] if line[column["factor"]]]
    assert factors == sorted(factors, reverse=True)
