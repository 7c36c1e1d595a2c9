"""Weights from costs, with the arithmetic done by hand."""

from support.events import load_report
from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_weights_are_inverse_to_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """100 ms and 300 ms against their average of 200 ms: weights 2 and 0.6667 for configured weights of 1."""
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 2)
    assert actions.made("set_entry", 0, "b", 0.6667)


def test_failures_raise_the_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """Failures of one in two cost 1.5 times as much: 150 ms against 100 ms."""
    # The average is 110 ms. 110/120 is less than a tenth from 1 and would not be sent, so the share of
    # failures is one in two here: 150 ms against 100 ms, weights 0.8333 and 1.25.
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=2_000_000, failures=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=2_000_000, mean=100 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 0.8333)
    assert actions.made("set_entry", 0, "b", 1.25)


def test_utilization_raises_the_cost(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """The factor is 1.5 at 80 percent: 500 ms against a minimum round trip of 100 ms costs 750 ms."""
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=500 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 3)
    fleet.load_report("n", "a", attempts=9_200_000, mean=540 * MILLISECOND)
    fleet.load_report("n", "b", attempts=80_000, mean=500 * MILLISECOND)
    fleet.advance_to(2 * SECOND)
    # The costs are 750 and 500, their average is 625.
    assert actions.made("set_entry", 0, "a", 0.8333)
    assert actions.made("set_entry", 0, "b", 1.25)


def test_in_an_overload_the_cost_is_taken_from_the_lowest_mean(
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


def test_a_tiny_weight_does_not_vanish_by_rounding(fleet: PlannerHarness, actions: RecordedActions) -> None:
    fleet.list_restored("a")
    fleet.list_changes(endpoint("b", weight=0.0001))
    assert actions.made("set_entry", 0, "b", 0.0001)
