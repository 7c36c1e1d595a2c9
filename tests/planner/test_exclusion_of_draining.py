"""Draining backends are excluded for unassigned proxies."""

from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.units import MILLISECOND, SECOND


def test_a_backend_that_drains_in_the_first_list_is_excluded_for_joining_proxies(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    """Orders of the former process may have been lost with it."""
    fleet.configure(backlog_limit=60, message_header=3, bootstrap_entries=5)
    fleet.list_restored("a", "b", endpoint("c", phase="draining"))
    for proxy in range(1, 5):
        fleet.join(proxy)
    assert not actions.made("exclude", "c", True)
    fleet.advance_to(SECOND)
    assert actions.made("exclude", "c", True)


# Guards against a draining backend that is let back at proxies which had it excluded
def test_a_drain_that_grows_old_while_newcomers_wait_for_its_exclusion_is_not_readmitted(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(
        backlog_limit=60, message_header=3, bootstrap_entries=5, entries_per_s=10, drain_grace=6 * SECOND
    )
    fleet.list_restored("a", "b", "c", "d", "e")
    for proxy in range(1, 5):
        fleet.join(proxy)
    fleet.list_changes(endpoint("a", phase="draining"))
    fleet.advance_to(10 * SECOND)
    assert actions.made("exclude", "a", True)
    for proxy in range(5, 9):
        fleet.join(proxy)
    fleet.advance_to(11 * SECOND)
    fleet.list_changes(endpoint("b", phase="draining"))  # the channel is full until the acknowledgements
    fleet.advance_to(14 * SECOND)
    assert not actions.made("exclude")
    for proxy in range(1, 9):
        fleet.acknowledged(proxy, 1, 100 * MILLISECOND)
        fleet.acknowledged(proxy, 2, 100 * MILLISECOND)
    fleet.advance_to(16 * SECOND)
    assert actions.made("exclude", "a", True)
    assert not actions.made("exclude", "a", False)


def test_a_backend_that_returns_is_readmitted_even_if_some_proxies_have_not_excluded_it_yet(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    fleet.configure(backlog_limit=60, message_header=3, bootstrap_entries=5)
    fleet.list_restored("a", "b", "c")
    for proxy in range(1, 5):
        fleet.join(proxy)
    fleet.list_changes(endpoint("a", phase="draining"))
    assert actions.made("exclude", "a", True)
    fleet.advance_to(SECOND)
    fleet.join(5)
    fleet.advance_to(1500 * MILLISECOND)
    fleet.list_changes(endpoint("a", started_at=5))
    assert actions.made("exclude", "a", False)
