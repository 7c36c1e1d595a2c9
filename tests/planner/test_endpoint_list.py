"""Effects of endpoint lists: which backends leave the tables, stay in the tables, or are removed."""

from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_draining_and_gone_backends_leave_the_tables_at_once(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b", endpoint("c", "s"))
    fleet.join(1)
    fleet.list_changes(endpoint("a", phase="draining"))
    assert actions.made("set_entry", 0, "a", 0)
    fleet.advance_to(SECOND)
    fleet.list_complete(endpoint("c", "s"))
    assert actions.made("set_entry", 0, "b", 0)
    assert not actions.made("set_entry", 0, "c")


def test_a_failed_list_is_requested_again(fleet: PlannerHarness, actions: RecordedActions) -> None:
    fleet.configure(subscribe=True)
    fleet.advance_to(0)
    fleet.list_restored("a")
    fleet.list_failed()
    fleet.advance_to(2 * SECOND)
    assert actions.made("subscribe", True)


def test_unlikely_events_do_not_stop_the_planner(fleet: PlannerHarness, actions: RecordedActions) -> None:
    """Events with unlikely contents are handled without an exception.

    The events contain counts of 0, unknown names, windows of 0 s and 90 s, empty lists, and a backend that is
    listed twice.
    """
    fleet.list_restored("a", "a")
    fleet.join(1)
    fleet.join(1)
    fleet.load_report("n", "a", attempts=0)
    fleet.load_report("z", "a", attempts=3, failures=9, mean=5 * MILLISECOND)
    fleet.load_report("n", "unknown", attempts=3, mean=5 * MILLISECOND)
    fleet.load_report("n", "a", attempts=5, mean=5 * MILLISECOND, window=0)
    fleet.load_report("n", "a", attempts=5, mean=5 * MILLISECOND, window=90 * SECOND)
    fleet.usage_report(9, "pay", requests=3, window=0)
    fleet.acknowledged(1, 99, 5)
    fleet.acknowledged(9, 1, 5)
    fleet.health_check("unknown", "ok", 5)
    fleet.leave(1)
    fleet.leave(1)
    fleet.advance_to(3 * SECOND)
    fleet.list_complete()
    fleet.join(1)
    assert not actions.made("assign")
    fleet.advance_to(9 * SECOND)
    assert not actions.made("assign")
    fleet.list_complete("a")
    assert actions.made("assign", 1, 0, 0)


def test_if_a_removal_needs_a_drain_an_unlisted_backend_stays_while_health_checks_succeed(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(removal_needs_drain=True, health_checks_allowed=True)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.list_complete("c")
    assert actions.made("check_health", "a")
    assert not actions.made("set_entry", 0, "a", 0)
    fleet.health_check("a", "ok", 5 * MILLISECOND)
    fleet.health_check("b", "unreachable", 5 * MILLISECOND)
    assert not actions.made("set_entry", 0, "a", 0)
    assert actions.made("set_entry", 0, "b", 0)
    fleet.list_changes(endpoint("a", phase="draining"))
    assert actions.made("set_entry", 0, "a", 0)


def test_a_gone_backend_is_removed_after_its_retention_and_later_events_about_it_have_no_effect(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.advance_to(SECOND)
    fleet.list_changes(endpoint("c", phase="gone"))
    fleet.advance_to(15 * SECOND)
    assert not actions.made("remove_backend", "c")
    fleet.advance_to(25 * SECOND)
    assert actions.made("remove_backend", "c")
    fleet.load_report("n", "c", attempts=9, failures=9)
    fleet.health_check("c", "ok", MILLISECOND)
    fleet.list_changes(endpoint("c", started_at=26 * SECOND))
    assert actions.made("set_entry", 0, "c", 0.25)
