"""Effects of the state that is restored from a former process, and when it is discarded."""

from support.events import RestoredLink, RestoredOverload, RestoredUnverified, load_report
from support.planner_harness import Below, PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_restored_costs_set_weights_before_any_report(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b", "c")
    fleet.restore(
        RestoredLink("n", "a", attempts=100, mean=40 * MILLISECOND),
        RestoredLink("n", "b", attempts=100, mean=160 * MILLISECOND),
    )
    assert actions.made("set_entry", 0, "b", 0.6429)
    assert not actions.made("set_entry", 0, "a", 0)


def test_a_restored_ejection_applies_at_once_and_ends_if_the_backend_has_no_load_reports(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(health_checks_allowed=True)
    fleet.list_restored("a", "b", "c", "d")
    fleet.restore(
        RestoredLink("n", "a", attempts=100, mean=40 * MILLISECOND),
        RestoredLink("n", "b", attempts=100, failures=90, mean=40 * MILLISECOND, ejected=True),
    )
    assert actions.made("set_entry", 0, "b", 0)
    assert actions.made("check_health", "b")
    fleet.report_each_second(
        4 * SECOND,
        load_report("n", "a", attempts=9, mean=40 * MILLISECOND),
        load_report("n", "c", attempts=9, mean=40 * MILLISECOND),
        load_report("n", "d", attempts=9, mean=40 * MILLISECOND),
    )
    assert actions.made("set_entry", 0, "b", 0.25)


def test_failed_health_checks_keep_a_restored_ejection(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(health_checks_allowed=True)
    fleet.list_restored("a", "b", "c", "d")
    fleet.restore(RestoredLink("n", "b", attempts=100, failures=90, mean=40 * MILLISECOND, ejected=True))
    fleet.advance_to(SECOND)
    fleet.health_check("b", "unreachable", 0)
    fleet.advance_to(2 * SECOND)
    fleet.health_check("b", "unreachable", 0)
    fleet.advance_to(3 * SECOND)
    fleet.health_check("b", "unreachable", 0)
    fleet.advance_to(4 * SECOND)
    assert not actions.made("set_entry", 0, "b", 0.25)


def test_after_a_restore_at_most_a_third_stays_ejected_and_the_others_are_last_resorts(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b", "c", "d", "e", "f")
    fleet.restore(
        RestoredLink("n", "a", attempts=9, failures=9, ejected=True),
        RestoredLink("n", "b", attempts=9, failures=9, ejected=True),
        RestoredLink("n", "c", attempts=9, failures=9, ejected=True),
        RestoredLink("n", "d", attempts=9, failures=9, ejected=True),
        RestoredLink("n", "e", attempts=9, failures=9, ejected=True),
        RestoredLink("n", "f", attempts=9, failures=9, ejected=True),
    )
    assert len(actions.made("set_entry", 0, "a", Below(1))) == 1
    assert len(actions.made("set_entry", 0, "b", Below(1))) == 1
    assert actions.made("set_entry", 0, "c", 0.02)
    assert actions.made("set_entry", 0, "f", 0.02)


def test_a_backend_that_is_still_warming_up_stays_in_slow_start_after_a_restore(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(warm_up_time=10 * SECOND, warm_up_start_share=0.25)
    fleet.list_restored("a", "b", endpoint("c", started_at=999 * SECOND))
    fleet.advance_to(1000 * SECOND)
    fleet.restore(
        RestoredLink("n", "a", attempts=100, mean=40 * MILLISECOND),
        RestoredLink("n", "b", attempts=100, mean=40 * MILLISECOND),
        RestoredLink("n", "c", attempts=100, mean=10 * MILLISECOND),
    )
    assert not actions.made("set_entry", 0, "c", 1)


def test_a_backend_that_was_not_verified_waits_until_a_health_check_succeeds(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(health_checks_allowed=True)
    fleet.list_restored("a", "b")
    fleet.restore(RestoredUnverified("b"), RestoredLink("n", "a", attempts=100, mean=40 * MILLISECOND))
    assert actions.made("set_entry", 0, "b", 0)
    assert actions.made("check_health", "b")
    fleet.advance_to(SECOND)
    fleet.health_check("b", "ok", MILLISECOND)
    assert actions.made("set_entry", 0, "b", 0.25)


def test_restored_costs_are_replaced_if_reports_contradict_them(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b")
    fleet.restore(
        RestoredLink("n", "a", attempts=100, mean=40 * MILLISECOND),
        RestoredLink("n", "b", attempts=100, mean=400 * MILLISECOND),
    )
    assert actions.made("set_entry", 0, "b", 0.569)
    fleet.advance_to(900 * MILLISECOND)
    fleet.load_report("n", "a", attempts=9, mean=40 * MILLISECOND)
    fleet.load_report("n", "b", attempts=9, mean=40 * MILLISECOND)
    fleet.advance_to(2 * SECOND)
    assert actions.made("set_entry", 0, "b", 1)


def test_restored_costs_stay_if_reports_agree_or_contain_too_few_attempts(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b")
    fleet.restore(
        RestoredLink("n", "a", attempts=100, mean=40 * MILLISECOND),
        RestoredLink("n", "b", attempts=100, mean=400 * MILLISECOND),
    )
    fleet.advance_to(900 * MILLISECOND)
    fleet.load_report("n", "a", attempts=9, mean=50 * MILLISECOND)
    fleet.load_report("n", "b", attempts=2, mean=40 * MILLISECOND)
    fleet.advance_to(2 * SECOND)
    assert not actions.made("set_entry", 0, "b", 1)


def test_a_restored_overload_sheds_load_at_once_and_ends_with_the_first_reports_without_overload(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.request_class("pay", "free", latency_objective=400 * MILLISECOND, priority_weight=5)
    fleet.request_class("look", "free", latency_objective=400 * MILLISECOND, priority_weight=1)
    fleet.configure(admission="fraction")
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.restore(RestoredOverload(0.5, {"pay": 100, "look": 100}))
    assert actions.made("set_admission", 0, "pay", 0.9, 0)
    assert actions.made("set_admission", 0, "look", 0.09, 0)
    fleet.report_each_second(
        2 * SECOND,
        load_report("n", "a", attempts=30, mean=40 * MILLISECOND),
        load_report("n", "b", attempts=30, mean=40 * MILLISECOND),
    )
    assert actions.made("set_admission", 0, "pay", 1, 1)
    assert actions.made("set_admission", 0, "look", 1, 1)


def test_a_restored_overload_ends_after_three_seconds_if_no_report_confirms_it(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.request_class("pay", "free", latency_objective=400 * MILLISECOND, priority_weight=5)
    fleet.request_class("look", "free", latency_objective=400 * MILLISECOND, priority_weight=1)
    fleet.configure(admission="fraction")
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.restore(RestoredOverload(0.5, {"pay": 100, "look": 100}))
    fleet.advance_to(2900 * MILLISECOND)
    assert not actions.made("set_admission", 0, "pay", 1)
    fleet.advance_to(3900 * MILLISECOND)
    assert actions.made("set_admission", 0, "pay", 1, 1)


def test_a_restored_overload_continues_if_reports_confirm_it(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.request_class("pay", "free", latency_objective=400 * MILLISECOND, priority_weight=5)
    fleet.request_class("look", "free", latency_objective=400 * MILLISECOND, priority_weight=1)
    fleet.configure(admission="fraction")
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.restore(RestoredOverload(0.5, {"pay": 100, "look": 100}))
    fleet.advance_to(MILLISECOND)
    fleet.report_each_second(
        3 * SECOND,
        load_report("n", "a", attempts=30, mean=800 * MILLISECOND),
        load_report("n", "b", attempts=30, mean=800 * MILLISECOND),
    )
    assert not actions.made("set_admission", 0, "pay", 1)
    assert not actions.made("set_admission", 0, "look", 1)
