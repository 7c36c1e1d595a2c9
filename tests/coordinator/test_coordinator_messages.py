"""The messages that proxies get for the actions of the planner."""

from support.coordinator_harness import (
    ALL_CLASSES,
    Admission,
    CoordinatorHarness,
    ProxyMessage,
    complete_table,
    table_changes,
)
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_one_turn_is_one_message_with_each_entry_once_and_one_barrier(
    coordinator: CoordinatorHarness,
) -> None:
    coordinator.configure(default_retries=1)
    coordinator.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    coordinator.request_class("see", "free", latency_objective=SECOND, priority_weight=1)
    coordinator.join(1)
    coordinator.actions.set_entry(0, "a", 1)
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    coordinator.actions.set_entry(0, "b", 2)
    coordinator.actions.set_entry(0, "a", 1.5)
    coordinator.actions.request_acknowledgement(3, False)
    assert coordinator.message(1) == ProxyMessage(tables=(complete_table(a=1.5, b=2),), acknowledge=True)
    assert coordinator.message(1) is None


def test_pending_updates_merge_into_the_last_weight_and_the_last_barrier(
    coordinator: CoordinatorHarness,
) -> None:
    coordinator.configure(default_retries=1)
    coordinator.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    coordinator.join(1)
    coordinator.actions.set_entry(0, "a", 1)
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    coordinator.actions.request_acknowledgement(3, False)
    assert coordinator.message(1) == ProxyMessage(tables=(complete_table(a=1),), acknowledge=True)
    coordinator.actions.set_entry(0, "a", 2)
    coordinator.actions.set_entry(0, "b", 1)
    coordinator.actions.request_acknowledgement(4, False)
    coordinator.advance_to(MILLISECOND)
    coordinator.actions.set_entry(0, "a", 3)
    coordinator.actions.set_entry(0, "b", 0)
    coordinator.actions.request_acknowledgement(5, False)
    assert coordinator.message(1) == ProxyMessage(tables=(table_changes(a=3, b=0),), acknowledge=True)


def test_an_entry_added_and_removed_with_a_complete_table_in_one_message_is_left_out(
    coordinator: CoordinatorHarness,
) -> None:
    coordinator.configure(default_retries=1)
    coordinator.join(1)
    coordinator.actions.set_entry(0, "a", 1)
    coordinator.actions.set_entry(0, "b", 1)
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    coordinator.actions.set_entry(0, "b", 0)
    assert coordinator.message(1) == ProxyMessage(tables=(complete_table(a=1),))


def test_a_table_reaches_the_proxies_assigned_to_it_and_no_others(coordinator: CoordinatorHarness) -> None:
    coordinator.configure(default_retries=1)
    coordinator.join(1)
    coordinator.join(2, "s")
    coordinator.actions.set_entry(0, "a", 1)
    coordinator.actions.set_entry(1, "b", 1)
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    coordinator.actions.assign(2, 1, ALL_CLASSES)
    assert coordinator.message(1) == ProxyMessage(tables=(complete_table(a=1),))
    assert coordinator.message(2) == ProxyMessage(tables=(complete_table(b=1),))
    coordinator.actions.set_entry(0, "a", 2)
    assert coordinator.message(1) == ProxyMessage(tables=(table_changes(a=2),))
    assert coordinator.message(2) is None


def test_admission_levels_are_sent_again_with_a_complete_table_and_equal_ones_are_grouped(
    coordinator: CoordinatorHarness,
) -> None:
    coordinator.configure(default_retries=1)
    coordinator.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    coordinator.request_class("see", "free", latency_objective=SECOND, priority_weight=1)
    coordinator.request_class("ask", "free", latency_objective=SECOND, priority_weight=1)
    coordinator.join(1)
    coordinator.actions.set_entry(0, "a", 1)
    coordinator.actions.set_admission(0, 0b001, 0.5, 1)
    coordinator.actions.set_admission(0, 0b010, 0.5, 1)
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    assert coordinator.message(1) == ProxyMessage(
        tables=(complete_table(a=1),), admissions=(Admission(0.5, 1, classes=("pay", "see")),)
    )
    coordinator.actions.set_admission(0, 0b100, 0.5, 1)
    coordinator.actions.set_admission(0, 0b011, 0.5, 1)
    assert coordinator.message(1) == ProxyMessage(admissions=(Admission(0.5, 1),))
    coordinator.actions.reset_table(0)
    assert coordinator.message(1) == ProxyMessage(tables=(complete_table(),))


def test_classes_can_be_assigned_tables_of_their_own_and_the_last_assignment_applies(
    coordinator: CoordinatorHarness,
) -> None:
    coordinator.configure(default_retries=1)
    coordinator.request_class("pay", "free", latency_objective=SECOND, priority_weight=1)
    coordinator.request_class("see", "free", latency_objective=SECOND, priority_weight=1)
    coordinator.join(1)
    coordinator.actions.set_entry(0, "a", 1)
    coordinator.actions.set_entry(1, "b", 1)
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    assert coordinator.message(1) == ProxyMessage(tables=(complete_table(a=1),))
    coordinator.actions.assign(1, 1, 0b010)
    assert coordinator.message(1) == ProxyMessage(
        tables=(complete_table("pay", a=1), complete_table("see", b=1))
    )
    coordinator.actions.set_entry(1, "b", 2)
    assert coordinator.message(1) == ProxyMessage(tables=(table_changes("see", b=2),))


def test_exclusions_reach_unassigned_proxies_and_those_with_the_backend_in_their_table(
    coordinator: CoordinatorHarness,
) -> None:
    """Other proxies get the exclusion with the backend's entry."""
    coordinator.configure(default_retries=1)
    coordinator.join(1)
    coordinator.join(2)
    coordinator.actions.set_entry(0, "a", 1)
    coordinator.actions.assign(2, 0, ALL_CLASSES)
    assert coordinator.message(2) == ProxyMessage(tables=(complete_table(a=1),))
    coordinator.actions.exclude("a", True)
    coordinator.actions.exclude("z", True)
    assert coordinator.message(1) == ProxyMessage(excluded=("a", "z"))
    assert coordinator.message(2) == ProxyMessage(excluded=("a",))
    coordinator.actions.set_entry(0, "z", 1)
    assert coordinator.message(2) == ProxyMessage(tables=(table_changes(z=1),), excluded=("z",))
    coordinator.actions.exclude("z", False)
    assert coordinator.message(1) == ProxyMessage(readmitted=("z",))
    assert coordinator.message(2) == ProxyMessage(readmitted=("z",))


def test_a_proxy_that_may_exclude_a_backend_since_a_former_stream_gets_the_readmission_with_the_entry(
    coordinator: CoordinatorHarness,
) -> None:
    coordinator.configure(default_retries=1)
    coordinator.list_restored("a", endpoint("b", started_at=5 * SECOND), endpoint("c", phase="draining"))
    coordinator.advance_to(6 * SECOND)
    coordinator.join(7)
    assert coordinator.message(7) == ProxyMessage(tables=(complete_table(a=1, b=0.15),), acknowledge=True)
    coordinator.advance_to(6500 * MILLISECOND)
    coordinator.list_changes(endpoint("c", started_at=6 * SECOND))
    coordinator.advance_to(7 * SECOND)
    assert coordinator.message(7) == ProxyMessage(
        tables=(table_changes(c=0.075),), readmitted=("c",), acknowledge=True
    )
    coordinator.advance_to(9 * SECOND)
    coordinator.list_changes(endpoint("d", started_at=9 * SECOND))
    coordinator.advance_to(10 * SECOND)
    assert coordinator.message(7) == ProxyMessage(tables=(table_changes(d=0.075, b=0.3),), acknowledge=True)
    coordinator.join(8)
    assert coordinator.message(8) == ProxyMessage(
        tables=(complete_table(a=1, b=0.3, c=0.075, d=0.075),), readmitted=("c",)
    )


def test_updates_of_a_former_stream_do_not_reach_the_new_one_and_a_proxy_that_left_gets_none(
    coordinator: CoordinatorHarness,
) -> None:
    coordinator.configure(default_retries=1)
    coordinator.join(1)
    coordinator.actions.set_entry(0, "a", 1)
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    coordinator.join(1)
    assert coordinator.message(1) is None
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    coordinator.leave(1)
    assert coordinator.message(1) is None
    coordinator.actions.assign(1, 0, ALL_CLASSES)
    coordinator.actions.set_entry(0, "a", 2)
    assert coordinator.message(1) is None


def test_the_planner_accepts_every_event(coordinator: CoordinatorHarness) -> None:
    coordinator.configure(slices=2, default_retries=1)
    coordinator.slice_assigned(0, True)
    coordinator.slice_load(0, "pay", 3, 0, SECOND)
    coordinator.gossip(1, "6869")
    coordinator.join(1)
    assert coordinator.message(1) is None
