"""Effects of health check results on backends that are new, ejected, or reported to fail."""

from support.planner_harness import PlannerHarness, RecordedActions

from granitespool.units import MILLISECOND, SECOND


def test_failed_health_checks_confirm_a_report_of_failures_and_keep_the_backend_ejected(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(health_checks_allowed=True)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.load_report("n", "b", attempts=50, mean=100 * MILLISECOND)
    fleet.load_report("n", "c", attempts=50, mean=100 * MILLISECOND)
    fleet.load_report("n", "a", attempts=1, failures=1)
    assert actions.made("check_health", "a")
    fleet.health_check("a", "timeout", 400 * MILLISECOND)
    assert not actions.made("set_entry", 0, "a", 0)
    fleet.health_check("a", "unreachable", 400 * MILLISECOND)
    assert actions.made("set_entry", 0, "a", 0)
    fleet.advance_to(1500 * MILLISECOND)
    fleet.health_check("a", "timeout", 400 * MILLISECOND)
    fleet.advance_to(3 * SECOND)
    assert not actions.made("set_entry", 0, "a")
    fleet.advance_to(4 * SECOND)
    assert actions.made("set_entry", 0, "a", 0.25)


def test_a_new_backend_gets_no_traffic_until_a_health_check_succeeds(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(health_checks_allowed=True)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.advance_to(SECOND)
    fleet.list_changes("c", "d")
    assert actions.made("check_health", "c")
    fleet.health_check("c", "unreachable", 5 * MILLISECOND)
    fleet.health_check("d", "ok", 5 * MILLISECOND)
    assert not actions.made("set_entry", 0, "c")
    assert actions.made("set_entry", 0, "d", 0.25)


def test_unverified_backends_are_used_when_no_backend_is_verified(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(health_checks_allowed=True)
    fleet.list_restored()
    fleet.join(1)
    fleet.advance_to(SECOND)
    fleet.list_changes("a")
    assert actions.made("set_entry", 0, "a", 0.25)
    assert actions.made("assign", 1, 0, 0)


def test_a_slow_rejection_of_a_health_check_keeps_a_backend_ejected_and_a_quick_one_readmits_it(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(health_checks_allowed=True)
    fleet.list_restored("a", "b", "c", "d")
    fleet.join(1)
    fleet.advance_to(10 * SECOND)
    fleet.load_report("n", "a", attempts=6, failures=6)
    fleet.health_check("a", "full", 400 * MILLISECOND)
    assert actions.made("set_entry", 0, "a", 0)
    fleet.advance_to(11500 * MILLISECOND)
    fleet.health_check("a", "full", 400 * MILLISECOND)
    fleet.advance_to(13 * SECOND)
    fleet.health_check("a", "full", 400 * MILLISECOND)
    fleet.advance_to(14500 * MILLISECOND)
    assert not actions.made("set_entry", 0, "a")
    fleet.health_check("a", "full", 5 * MILLISECOND)
    fleet.advance_to(17 * SECOND)
    fleet.health_check("a", "full", 5 * MILLISECOND)
    assert actions.made("set_entry", 0, "a")
