"""Slices, whose entries a store sets."""

from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import SECOND


def test_the_entry_of_a_slice_is_kept_and_a_draining_backend_is_excluded_and_replaced(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(slices=2)
    fleet.list_restored("a", "b")
    fleet.slice_assigned(0, True)
    fleet.slice_entry(0, "a", 1)
    fleet.join(1)
    fleet.advance_to(SECOND)
    assert not actions.made("assign")
    assert not actions.made("set_entry")
    fleet.list_changes(endpoint("a", phase="draining"))
    assert actions.made("exclude", "a", True)
    assert actions.made("set_entry", 0, "b", 1)
    assert actions.made("set_entry", 0, "a", 0)


def test_a_slice_with_one_owner_keeps_its_entry_and_a_lost_owner_is_only_excluded(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(slices=2, single_owner=True)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.slice_assigned(0, True)
    fleet.slice_entry(0, "a", 1)
    fleet.advance_to(SECOND)
    fleet.list_changes(endpoint("a", phase="gone"))
    assert actions.made("exclude", "a", True)
    fleet.advance_to(20 * SECOND)
    assert not actions.made("set_entry")
