"""Weights by cost, compared with manual calculations."""

from support.events import load_report
from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_weights_are_inverse_to_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """Configured weights of 1 become 2 and 0.6667 at costs of 100 ms and 300 ms, 200 ms on average."""
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 2)
    assert actions.made("set_entry", 0, "b", 0.6667)


def test_failures_raise_the_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """With one failure in two attempts the cost is 1.5 times as high: 150 ms instead of 100 ms."""
    # The average cost is 125 ms, so the weights are 0.8333 and 1.25. With one failure in five the average
    # would be 110 ms, and 110/120 is less than a tenth from 1 and would not be sent.
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=2_000_000, failures=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=2_000_000, mean=100 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 0.8333)
    assert actions.made("set_entry", 0, "b", 1.25)


def test_utilization_raises_the_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """At 80 percent the factor is 1.5: 500 ms, at a minimum round trip of 100 ms, cost 750 ms."""
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=500 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 3)
    fleet.load_report("n", "a", attempts=9_200_000, mean=540 * MILLISECOND)
    fleet.load_report("n", "b", attempts=80_000, mean=500 * MILLISECOND)
    fleet.advance_to(2 * SECOND)
    # The costs are 750 ms and 500 ms, 625 ms on average.
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
