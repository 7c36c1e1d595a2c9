"""When and in which order changed entries are published."""

from support.events import load_report
from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_list_changes_wait_until_the_message_limit_allows_the_next_message(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(messages_limit=10, messages_span=10 * SECOND)
    fleet.list_restored("a", "b", "c", "d")
    fleet.join(1)
    fleet.advance_to(2 * SECOND)
    fleet.list_changes(endpoint("a", phase="draining"))
    assert actions.made("set_entry", 0, "a", 0)
    fleet.advance_to(2100 * MILLISECOND)
    fleet.list_changes(endpoint("b", phase="draining"))
    assert not actions.made("set_entry", 0, "b")
    fleet.advance_to(3300 * MILLISECOND)
    assert actions.made("set_entry", 0, "b", 0)


def test_admission_levels_and_ejections_wait_behind_a_full_channel_and_draining_does_not(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(backlog_limit=20, message_header=5, admission="fraction")
    fleet.request_class("low", "free", latency_objective=SECOND, priority_weight=1)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.usage_report(1, "low", requests=99)
    fleet.report_each_second(
        3 * SECOND,
        load_report("n", "a", attempts=50, failures=25, mean=900 * MILLISECOND),
        load_report("n", "b", attempts=50, failures=25, mean=900 * MILLISECOND),
        load_report("n", "c", attempts=50, failures=25, mean=900 * MILLISECOND),
    )
    assert not actions.made("set_admission", 0, "low", 0)
    fleet.list_changes(endpoint("a", phase="draining"))
    assert actions.made("set_entry", 0, "a", 0)


def test_entry_updates_leave_capacity_for_a_proxy_awaiting_its_table(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(backlog_limit=60, message_header=3, empty_table_limit=20 * SECOND)
    fleet.list_restored("a", "b", "c")
    for proxy in range(1, 4):
        fleet.join(proxy)
    assert not actions.made("assign", 3)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.advance_to(3 * SECOND)
    assert not actions.made("set_entry")


def test_draining_does_not_wait_for_a_later_publication_that_is_already_due(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(messages_limit=10, messages_span=4 * SECOND, entries_per_s=6.6, message_header=3)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.advance_to(1100 * MILLISECOND)
    fleet.list_changes(endpoint("b", phase="draining"))
    fleet.advance_to(1700 * MILLISECOND)
    assert actions.made("set_entry", 0, "b", 0)


def test_an_urgent_update_for_few_proxies_has_no_gap_on_an_idle_channel_and_otherwise_joins_a_due_message(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(entries_per_s=30, message_header=3, drain_grace=9 * SECOND)
    fleet.list_restored("a", "b", "c", "d", "e", "f", "g")
    fleet.join(1)
    for proxy in range(2, 10):
        fleet.join(proxy, "s")
    for proxy in range(1, 10):
        fleet.acknowledged(proxy, 1, 100 * MILLISECOND)
    fleet.load_report("n", "a", attempts=100, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=100, mean=300 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a")
    fleet.acknowledge(1)
    fleet.advance_to(1100 * MILLISECOND)
    fleet.load_report("s", "c", attempts=6, failures=6)
    fleet.load_report("s", "c", attempts=6, failures=6)
    assert not actions.made("set_entry", 1, "c")
    fleet.load_report("n", "c", attempts=6, failures=6)
    fleet.load_report("n", "c", attempts=6, failures=6)
    assert actions.made("set_entry", 0, "c", 0)
    fleet.advance_to(1150 * MILLISECOND)
    fleet.load_report("n", "f", attempts=6, failures=6)
    fleet.load_report("n", "f", attempts=6, failures=6)
    assert actions.made("set_entry", 0, "f", 0)
    fleet.advance_to(1200 * MILLISECOND)
    fleet.load_report("n", "d", attempts=6, failures=6)
    fleet.load_report("n", "d", attempts=6, failures=6)
    assert not actions.made("set_entry", 0, "d")
    fleet.list_changes(endpoint("e", phase="draining"))
    assert actions.made("set_entry", 0, "e", 0)
    assert actions.made("set_entry", 0, "d")
    assert not actions.made("set_entry", 0, "b")


def test_the_updates_of_a_table_go_together_and_the_table_that_changes_most_goes_first(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    """Each message costs a header."""
    fleet.configure(entries_per_s=5, message_header=3)
    fleet.list_restored("a", "b", "c")
    fleet.join(1)
    fleet.join(2, "s")
    fleet.acknowledged(1, 1, 100 * MILLISECOND)
    fleet.acknowledged(2, 1, 100 * MILLISECOND)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.load_report("s", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("s", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.load_report("s", "c", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 1, "a")
    assert actions.made("set_entry", 1, "b")
    assert actions.made("set_entry", 1, "c")
    assert not actions.made("set_entry", 0)


def test_a_weight_that_changed_by_less_than_a_tenth_is_not_sent(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=10, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=10, mean=110 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert not actions.made("set_entry")


def test_weight_updates_wait_while_the_channel_is_over_half_full_and_draining_does_not(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(backlog_limit=13, message_header=3)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert not actions.made("set_entry")
    fleet.list_changes(endpoint("b", phase="draining"))
    assert actions.made("set_entry", 0, "b", 0)


def test_an_acknowledgement_releases_all_earlier_messages_to_its_proxy(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(backlog_limit=60, message_header=3)
    fleet.list_restored("a", "b")
    fleet.join(1)
    fleet.advance_to(500 * MILLISECOND)
    fleet.join(2)
    fleet.acknowledge(2)
    fleet.load_report("n", "a", attempts=1_000_000, mean=100 * MILLISECOND)
    fleet.load_report("n", "b", attempts=1_000_000, mean=300 * MILLISECOND)
    fleet.advance_to(SECOND)
    assert actions.made("set_entry", 0, "a", 2)
