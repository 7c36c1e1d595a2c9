"""Weights that follow from costs, compared with values calculated by hand."""

from support.events import load_report
from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_weights_are_inverse_to_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """With costs of 100 ms and 300 ms the mean cost is 200 ms.

    The configured weights of 1 become 200 / 100 = 2 and 200 / 300 = 0.6667.
    """
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 2)
    assert actions.made("set_entry", 0, "b", 0.6667)


def test_failures_raise_the_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """If half of the attempts fail, the cost is 1.5 times as high, 150 ms instead of 100 ms."""
    # The mean cost is 125 ms, so the weights are 125 / 150 = 0.8333 and 125 / 100 = 1.25. If only one attempt
    # in five failed, the costs would be 120 ms and 100 ms, and their mean 110 ms. The weight 110 / 120 would
    # differ from 1 by less than a tenth and would not be sent.
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=2_000_000, failures=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=2_000_000, mean=100 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 0.8333)
    assert actions.made("set_entry", 0, "b", 1.25)


def test_utilization_raises_the_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """At a utilization of 80 percent the factor f(u) is 1.5.

    With a round trip of 500 ms and a minimum round trip of 100 ms, the cost is therefore 750 ms.
    """
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=500 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 3)
    fleet.load_report("n", "a", attempts=9_200_000, mean=540 * MILLISECOND)
    fleet.load_report("n", "b", attempts=80_000, mean=500 * MILLISECOND)
    fleet.advance_to(2 * SECOND)
    # The costs are 750 ms and 500 ms, and the mean cost is 625 ms.
    assert actions.made("set_entry", 0, "a", 0.8333)
    assert actions.made("set_entry", 0, "b", 1.25)


def test_in_an_overload_the_cost_is_calculated_from_the_minimum_round_trip(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=10, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=10, mean=100 * MILLISECOND)
    fleet.report_each_second(
        2 * SECOND,
        load_report("n", "a", attempts=99, mean=2 * SECOND),
        load_report("n", "b", attempts=99, mean=700 * MILLISECOND),
    )
    fleet.advance_to(3 * SECOND)
    assert actions.made("set_entry", 0, "a", 1)


def test_a_configured_weight_of_0_0001_is_not_rounded_to_0(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a")
    fleet.list_changes(endpoint("b", weight=0.0001))
    assert actions.made("set_entry", 0, "b", 0.0001)
