"""Which proxies are assigned a table, and in which order."""

from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_a_joining_proxy_is_assigned_its_zone_table_with_every_ready_backend_by_configured_weight(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored(
        endpoint("a", weight=4), endpoint("b", "s", weight=2), endpoint("c", phase="draining")
    )
    fleet.join(7)
    assert actions.made("set_entry", 0, "a", 4)
    assert actions.made("set_entry", 0, "b", 2)
    assert not actions.made("set_entry", 0, "c")
    assert actions.made("assign", 7, 0, 0)
    assert len(actions.made("assign")) == 1


def test_a_table_is_assigned_only_once_it_has_its_first_backend(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored()
    fleet.join(7)
    assert not actions.made("assign")
    fleet.advance_to(SECOND)
    assert not actions.made("assign")
    fleet.list_changes("a")
    assert actions.made("assign", 7, 0, 0)


def test_a_thousand_proxies_that_join_at_once_are_all_assigned_even_without_acknowledgements(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(backlog_limit=2000, entries_per_s=1000, message_header=3, bootstrap_entries=5)
    fleet.list_restored("a", "b", "c")
    fleet.join_many(1000)
    assert len(actions.made("assign")) == 87
    fleet.advance_to(31 * SECOND)
    assert not actions.made("assign")
    fleet.advance_to(33 * SECOND)
    assert actions.made("assign")
    fleet.advance_to(700 * SECOND)
    assert actions.made("assign")
    fleet.list_changes(endpoint("a", phase="draining"))
    assert actions.made("set_entry", 0, "a", 0)


def test_proxies_that_join_together_are_assigned_by_request_rate_and_draining_does_not_wait_for_them(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(backlog_limit=60, message_header=3, bootstrap_entries=5)
    fleet.list_restored("a", "b", "c")
    for proxy in range(1, 5):
        fleet.join(proxy)
    assert len(actions.made("assign")) == 2
    fleet.list_changes(endpoint("a", phase="draining"))
    assert actions.made("set_entry", 0, "a", 0)
    assert actions.made("exclude", "a", True)
    assert not actions.made("assign", 3)
    fleet.acknowledge(2)
    fleet.acknowledge(1)
    assert actions.made("assign", 3, 0, 0)


def test_proxies_that_wait_long_are_assigned_in_order_of_joining_before_busier_ones(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    """The table that they use meanwhile may contain a backend that is gone."""
    fleet.configure(backlog_limit=60, message_header=3, drain_grace=3 * SECOND, empty_table_limit=9 * SECOND)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.join(2)
    fleet.join(3, rate=1.0)
    fleet.advance_to(1500 * MILLISECOND)
    fleet.join(4, rate=9.0)
    fleet.acknowledged(2, 1, 100 * MILLISECOND)
    assert actions.made("assign", 3, 0, 0)
    assert not actions.made("assign", 4)
