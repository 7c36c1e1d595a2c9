"""The capacity command: fits recover known slopes, refuse a wrong form and name a prediction that is off."""

from random import Random

import pytest

from granitespool.scale import fits

SIZES = ({"backends": float(b), "zones": float(z)} for b in (100, 200, 400, 800) for z in (2, 4, 8))
POINTS = list(SIZES)
FORMS = fits.forms_of(("backends", "zones"))


def samples(cost, points=POINTS):
    return [fits.Sample(sizes, cost(sizes)) for sizes in points]


@pytest.mark.parametrize(
    "form, cost, coefficients",
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
    chosen = fits.choose(samples(cost), FORMS)
    assert chosen.form.name == form
    assert chosen.coefficients == pytest.approx(coefficients, rel=1e-6)
    assert chosen.residual < 1e-9


@pytest.mark.parametrize("seed", range(5))
def test_noise_of_some_percent_moves_a_slope_by_no_more_and_adds_no_parameter(seed):
    chance = Random(seed)
    noisy = samples(lambda s: 0.5 * s["backends"] * s["zones"] * chance.gauss(1, 0.03))
    chosen = fits.choose(noisy, FORMS)
    assert chosen.form.name == "product of backends and zones"
    assert chosen.coefficients[0] == pytest.approx(0.5, rel=0.05)


def test_a_wrong_form_is_refused_with_its_residual():
    product = samples(lambda s: 0.5 * s["backends"] * s["zones"])
    with pytest.raises(fits.FormRefused) as refused:
        fits.choose(product, [fits.constant(), fits.linear("backends")])
    assert refused.value.best.residual > refused.value.limit
    assert "linear in backends" in str(refused.value) or "constant" in str(refused.value)


def test_a_cost_that_falls_with_its_size_is_no_form_of_a_cost():
    falling = samples(lambda s: 1000 - s["backends"])
    with pytest.raises(fits.FormRefused):
        fits.choose(falling, FORMS)


def test_a_size_that_does_not_vary_cannot_be_told_from_the_constant():
    still = samples(lambda s: 4.0, [{"backends": 100.0, "zones": 4.0}] * 5)
    with pytest.raises(fits.SingularFit):
        fits.fit(still, fits.linear("backends"))


def test_too_few_samples_are_an_error():
    with pytest.raises(fits.TooFewSamples):
        fits.fit(samples(lambda s: 1.0)[:2], fits.linear("backends"))


def test_a_held_out_point_is_named_as_off_only_past_the_limit():
    chosen = fits.choose(samples(lambda s: 0.25 * s["backends"]), FORMS)
    larger = {"backends": 3200.0, "zones": 4.0}
    near = fits.check_held_out(chosen, fits.Sample(larger, 900.0), limit=0.2)
    far = fits.check_held_out(chosen, fits.Sample(larger, 1600.0), limit=0.2)
    assert near.predicted == pytest.approx(800.0)
    assert near.error == pytest.approx(-1 / 9)
    assert not near.is_off
    assert far.error == pytest.approx(-0.5)
    assert far.is_off


def test_a_held_out_point_that_costs_nothing_is_off_unless_nothing_was_predicted():
    chosen = fits.choose(samples(lambda s: 0.25 * s["backends"]), FORMS)
    assert fits.check_held_out(chosen, fits.Sample(POINTS[0], 0.0)).is_off
