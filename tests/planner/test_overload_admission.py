"""Overload detection, load shedding and retries."""

from support.events import load_report
from support.planner_harness import Between, PlannerHarness, RecordedActions

from granitespool.units import MILLISECOND, SECOND


def test_in_an_overload_nothing_is_retried_and_the_lowest_priority_is_shed_first(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(admission="fraction")
    fleet.request_class("low", "free", latency_objective=SECOND, priority_weight=1)
    fleet.request_class("high", "single_shot", latency_objective=SECOND, priority_weight=5)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.advance_to(SECOND)
    fleet.usage_report(1, "low", requests=50)
    fleet.usage_report(1, "high", requests=50)
    fleet.load_report("n", "a", attempts=50, failures=25, mean=900 * MILLISECOND)
    fleet.load_report("n", "b", attempts=50, failures=25, mean=900 * MILLISECOND)
    fleet.load_report("n", "c", attempts=50, failures=25, mean=900 * MILLISECOND)
    fleet.advance_to(2 * SECOND)
    # Half of the 150 attempts succeeded, which is 0.75 of the demand of 100 requests. The admitted share is
    # 0.95 times that, 0.7125, so that 71.25 requests are admitted. Each class gets at least 0.1 of its
    # requests. Of the other 61.25 requests `high` gets 45 and `low` gets 16.25. A share below 1 is
    # rounded to a multiple of 0.03.
    assert actions.made("set_admission", 0, "low", 0.42, 0)
    assert actions.made("set_admission", 0, "high", 1, 0)


def test_while_only_one_backend_fails_each_class_has_one_retry(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    """A request is retried at most once, and only if its attempt never ran.

    This also holds for the class with idempotent requests.
    """
    fleet.request_class("low", "free", latency_objective=SECOND, priority_weight=1)
    fleet.request_class("high", "single_shot", latency_objective=SECOND, priority_weight=5)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    assert actions.made("set_admission", 0, "low", 1, 1)
    assert actions.made("set_admission", 0, "high", 1, 1)
    fleet.report_each_second(
        4 * SECOND,
        load_report("n", "a", attempts=9, failures=9),
        load_report("n", "b", attempts=50, mean=100 * MILLISECOND),
        load_report("n", "c", attempts=50, mean=100 * MILLISECOND),
    )
    assert not actions.made("set_admission", 0, "low", 1, 2)
    assert not actions.made("set_admission", 0, "high", 1, 2)


def test_if_admission_is_a_rate_the_rate_without_overload_is_higher_than_any_proxy_reaches(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(admission="per_second")
    fleet.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    fleet.list_restored("a")
    fleet.join(1)
    assert actions.made("set_admission", 0, "pay", 1e6, 1)


def test_a_first_load_report_with_few_attempts_does_not_start_an_overload(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(admission="fraction")
    fleet.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.usage_report(1, "pay", requests=9)
    fleet.load_report("n", "a", attempts=5, failures=3, mean=900 * MILLISECOND)
    fleet.advance_to(2 * SECOND)
    fleet.advance_to(4 * SECOND)
    assert len(actions.made("set_admission", 0, "pay", Between(0, 1))) == 0
    fleet.usage_report(1, "pay", requests=90)
    fleet.load_report("n", "a", attempts=50, failures=30, mean=900 * MILLISECOND)
    fleet.report_each_second(
        6 * SECOND, load_report("n", "a", attempts=50, failures=30, mean=900 * MILLISECOND)
    )
    assert len(actions.made("set_admission", 0, "pay", Between(0, 1))) == 1
