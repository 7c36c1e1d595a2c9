"""Growth of the weight of a new or returned backend."""

from support.events import load_report
from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_in_an_overload_the_share_of_a_warming_up_backend_is_multiplied_by_the_success_ratio(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(warm_up_time=16 * SECOND)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.report_each_second(
        3 * SECOND,
        load_report("n", "a", attempts=50, failures=40, mean=900 * MILLISECOND),
        load_report("n", "b", attempts=50, failures=40, mean=900 * MILLISECOND),
    )
    fleet.list_changes(endpoint("c", started_at=2 * SECOND))
    assert actions.made("set_entry", 0, "c", 0.05)
    fleet.report_each_second(
        12 * SECOND,
        load_report("n", "a", attempts=50, mean=100 * MILLISECOND),
        load_report("n", "b", attempts=50, mean=100 * MILLISECOND),
    )
    # Of the recent 100 + 11.1 attempts 8.88 failed, so the success ratio is 0.92. The weight is 0.92 times a
    # quarter. Later no attempt fails.
    assert actions.made("set_entry", 0, "c", 0.23)
    assert actions.made("set_entry", 0, "c", 0.5)


def test_slow_start_lasts_the_configured_warm_up_and_begins_at_the_configured_share_if_that_is_larger(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(warm_up_time=SECOND, warm_up_start_share=0.85)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.advance_to(10 * SECOND)
    fleet.list_changes(endpoint("c", started_at=10 * SECOND))
    assert actions.made("set_entry", 0, "c", 0.85)
    fleet.advance_to(12 * SECOND)
    assert actions.made("set_entry", 0, "c", 1)


def test_a_recovery_ramp_that_began_long_ago_is_over_and_does_not_overflow(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    """More than 1,023 doublings would overflow a float and stop the publication."""
    fleet.configure(warm_up_time=2 * SECOND)
    fleet.list_restored("a", "b", "c", "d")
    fleet.report_each_second(
        3 * SECOND,
        load_report("n", "b", attempts=9, failures=9),
        load_report("n", "a", attempts=9, mean=40 * MILLISECOND),
    )
    assert actions.made("set_entry", 0, "b", 0)
    fleet.load_report("n", "b", attempts=9, mean=40 * MILLISECOND)
    fleet.advance_to(20 * SECOND)
    assert actions.made("set_entry", 0, "b", 1)
    fleet.advance_to(1200 * SECOND)
    fleet.load_report("n", "b", attempts=9, mean=40 * MILLISECOND)
    fleet.load_report("n", "a", attempts=9, mean=40 * MILLISECOND)
    fleet.advance_to(1202 * SECOND)
    assert not actions.made("set_entry", 0, "b", 0)


def test_in_an_overload_a_warming_up_backend_gets_what_its_warm_up_share_allows(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    """The overload multiple allows the backend more than its slow-start share times the success ratio."""
    fleet.configure(warm_up_time=20 * SECOND, warm_up_start_share=0.2, overload_multiple=4)
    fleet.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.advance_to(11 * SECOND)
    fleet.list_changes(endpoint("c", started_at=10500 * MILLISECOND))
    assert actions.made("set_entry", 0, "c", 0.25)
    fleet.report_each_second(
        16 * SECOND,
        load_report("n", "a", attempts=40, failures=24, mean=100 * MILLISECOND),
        load_report("n", "b", attempts=40, failures=24, mean=100 * MILLISECOND),
        load_report("n", "c", attempts=9, mean=100 * MILLISECOND),
    )
    assert actions.made("set_entry", 0, "c", 0.387)


def test_a_new_backend_starts_at_a_quarter_of_its_configured_weight_which_doubles_each_step(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored(endpoint("a", weight=4), endpoint("b", weight=4))
    fleet.join(1)
    fleet.advance_to(SECOND)
    fleet.list_changes(endpoint("c", weight=4, started_at=SECOND))
    assert actions.made("set_entry", 0, "c", 1)
    fleet.advance_to(5 * SECOND)
    assert not actions.made("set_entry", 0, "c")
    fleet.advance_to(6 * SECOND)
    assert actions.made("set_entry", 0, "c", 2)
    fleet.advance_to(11 * SECOND)
    assert actions.made("set_entry", 0, "c", 4)


def test_a_backend_that_restarts_under_the_same_name_starts_again_at_a_quarter_at_once(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.advance_to(3 * SECOND)
    fleet.list_changes(endpoint("a", started_at=2 * SECOND))
    assert actions.made("set_entry", 0, "a", 0.25)


def test_a_backend_of_the_first_list_that_started_recently_is_warming_up(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(warm_up_time=16 * SECOND)
    fleet.advance_to(20 * SECOND)
    fleet.list_restored(endpoint("a", started_at=SECOND), endpoint("b", started_at=8 * SECOND))
    fleet.join(1)
    # A quarter of the configured weight, times the success ratio of 0.3 that is assumed until a load report
    # arrives.
    assert actions.made("set_entry", 0, "a", 1)
    assert actions.made("set_entry", 0, "b", 0.075)


def test_a_warming_up_backend_gains_no_weight_by_answering_fast(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(warm_up_time=16 * SECOND)
    fleet.list_restored("a", "b")
    fleet.advance_to(SECOND)
    fleet.list_changes(endpoint("c", started_at=SECOND))
    fleet.report_each_second(
        3 * SECOND,
        load_report("n", "a", attempts=50, mean=400 * MILLISECOND),
        load_report("n", "b", attempts=50, mean=400 * MILLISECOND),
        load_report("n", "c", attempts=50, mean=100 * MILLISECOND),
    )
    assert len(actions.made("set_entry", 0, "c")) == 1
