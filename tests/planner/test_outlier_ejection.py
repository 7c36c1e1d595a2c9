"""Conditions of an outlier ejection, the cap on ejections, and the return of ejected backends."""

from support.events import load_report
from support.planner_harness import PlannerHarness, RecordedActions

from granitespool.units import MILLISECOND, SECOND


def test_two_load_reports_with_only_failures_eject_a_backend_and_one_does_not(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=5, failures=5)
    assert not actions.made("set_entry", 0, "a", 0)
    fleet.advance_to(SECOND)
    fleet.load_report("n", "a", attempts=5, failures=5)
    assert actions.made("set_entry", 0, "a", 0)


def test_two_failed_attempts_do_not_eject_a_backend(fleet: PlannerHarness, actions: RecordedActions) -> None:
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1, failures=1)
    fleet.advance_to(SECOND)
    fleet.load_report("n", "a", attempts=1, failures=1)
    assert not actions.made("set_entry", 0, "a", 0)


def test_at_most_a_third_of_the_backends_is_ejected_and_the_next_stays_as_a_last_resort(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=5, failures=5)
    fleet.load_report("n", "b", attempts=5, failures=5)
    fleet.advance_to(SECOND)
    fleet.load_report("n", "a", attempts=5, failures=5)
    fleet.load_report("n", "b", attempts=5, failures=5)
    assert actions.made("set_entry", 0, "a", 0)
    assert not actions.made("set_entry", 0, "b", 0)
    assert actions.made("set_entry", 0, "b", 0.02)


def test_two_overloaded_reports_in_a_row_eject_a_backend_while_the_fleet_is_not_overloaded(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    """A load report counts as overloaded if it shows a utilization above 80 percent."""
    fleet.request_class("pay", "free", latency_objective=10 * SECOND, priority_weight=1)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=10, mean=100 * MILLISECOND)
    fleet.advance_to(SECOND)
    fleet.load_report("n", "a", attempts=1000, mean=900 * MILLISECOND)
    assert not actions.made("set_entry", 0, "a", 0)
    fleet.advance_to(2 * SECOND)
    fleet.load_report("n", "a", attempts=1000, mean=900 * MILLISECOND)
    assert actions.made("set_entry", 0, "a", 0)


def test_slow_responses_from_all_backends_at_once_eject_none(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.report_each_second(
        3 * SECOND,
        load_report("n", "a", attempts=10, mean=100 * MILLISECOND),
        load_report("n", "b", attempts=10, mean=100 * MILLISECOND),
        load_report("n", "c", attempts=10, mean=100 * MILLISECOND),
    )
    fleet.report_each_second(
        9 * SECOND,
        load_report("n", "a", attempts=99, mean=3 * SECOND),
        load_report("n", "b", attempts=99, mean=3 * SECOND),
        load_report("n", "c", attempts=99, mean=3 * SECOND),
    )
    assert not actions.made("set_entry", 0, "a", 0)
    assert not actions.made("set_entry", 0, "b", 0)
    assert not actions.made("set_entry", 0, "c", 0)


def test_a_readmitted_backend_is_in_slow_start_as_a_new_one_is(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(warm_up_time=SECOND, warm_up_start_share=0.6)
    fleet.list_restored("a", "b", "c", "d")
    fleet.join(1)
    fleet.advance_to(10 * SECOND)
    fleet.load_report("n", "a", attempts=6, failures=6)
    fleet.advance_to(11 * SECOND)
    fleet.load_report("n", "a", attempts=6, failures=6)
    assert actions.made("set_entry", 0, "a", 0)
    fleet.advance_to(12 * SECOND)
    fleet.load_report("n", "a", attempts=6, mean=200 * MILLISECOND)
    assert actions.made("set_entry", 0, "a", 0.6)
    fleet.advance_to(15 * SECOND)
    assert actions.made("set_entry", 0, "a", 1)
