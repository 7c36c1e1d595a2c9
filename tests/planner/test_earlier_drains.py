"""Proxies that join with an old table must stop using backends that drained long before."""

import pytest
from support.drain_observer import assigned_fleet
from support.planner_harness import PlannerHarness, RecordedActions
from support.records import endpoint

from granitespool.planner.events import ProxyLeft
from granitespool.planner.outbox import EntryKind
from granitespool.units import SECOND

CUT_SHARE = 0.48  # of the proxies
SILENCE_TIMEOUT = 9  # s after which a silent proxy is reported as unreachable
JOINING_TIME = 2.5  # s in which the proxies join again
GRACE = 3.3  # s


def join_again(fleet, proxies):
    """Let proxies join one after the other, then run until all have their tables."""
    for proxy in proxies:
        fleet.silent.discard(proxy)
        fleet.join(proxy, bootstrap=False)
        fleet.turn(int(JOINING_TIME * SECOND / len(proxies)))
    fleet.run(10)


# Guards against proxies that reached no coordinator while backends drained and use them when they are back
@pytest.mark.parametrize(
    "proxies, entries_per_s, full_queue_time, drains, cut_time",
    [
        (400, 900.0, 2, 2, 16),
        (400, 900.0, 2, 1, 16),
        (400, 730.0, 3, 1, 16),
        (400, 900.0, 3, 2, 12),
        (240, 730.0, 3, 5, 10),
    ],
)
def test_proxies_that_were_cut_off_during_a_drain_leave_its_backends_within_the_grace(
    proxies, entries_per_s, full_queue_time, drains, cut_time
):
    fleet = assigned_fleet(proxies, entries_per_s, GRACE, full_queue_time)
    cut = fleet.random.sample(range(proxies), int(CUT_SHARE * proxies))
    fleet.silent.update(cut)
    fleet.run(1)
    fleet.replace(drains, SILENCE_TIMEOUT - 1)
    for proxy in cut:
        fleet.coordinator.report(fleet.now, ProxyLeft(proxy=proxy, unreachable=True))
    fleet.run(cut_time - SILENCE_TIMEOUT)
    join_again(fleet, cut)
    assert not fleet.late


# Guards against the same where the proxies had another coordinator
def test_proxies_that_come_from_another_coordinator_leave_earlier_drains_within_the_grace():
    fleet = assigned_fleet(150, 900.0, GRACE)
    joining = range(150, 300)
    for proxy in joining:
        fleet.set_bootstrap_table(proxy)
    fleet.replace(2, 14)
    join_again(fleet, joining)
    assert not fleet.late


# Guards against recent drains that wait behind the exclusion of earlier ones
def test_earlier_drains_delay_neither_recent_ones_nor_assignments():
    fleet = assigned_fleet(30, 900.0, GRACE)
    joining = range(30, 270)
    for proxy in joining:
        fleet.set_bootstrap_table(proxy)
    fleet.replace(10, 14)
    recent = fleet.ready[:2]
    fleet.drain(2)
    assert any(name in fleet.usable(proxy) for proxy in joining for name in recent)
    for proxy in joining:
        fleet.join(proxy, bootstrap=False)
        fleet.turn(SECOND // 200)
    before = dict(fleet.coordinator.planner.outbox.total_entries)
    fleet.run(7)
    after = fleet.coordinator.planner.outbox.total_entries
    assert not fleet.late
    exclusions = after[EntryKind.EXCLUSION] - before[EntryKind.EXCLUSION]
    assert exclusions < after[EntryKind.ASSIGNMENT] - before[EntryKind.ASSIGNMENT]


def test_an_earlier_drain_is_excluded_after_a_recent_one(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    join_after_an_earlier_and_a_recent_drain(fleet, 5)
    fleet.advance_to(15 * SECOND)
    assert actions.made("exclude") == [("exclude", "b", True), ("exclude", "a", True)]


def test_an_earlier_drain_is_not_excluded_where_all_proxies_are_assigned_within_half_the_grace(
    fleet: PlannerHarness, actions: RecordedActions
) -> None:
    join_after_an_earlier_and_a_recent_drain(fleet, 2)
    fleet.advance_to(15 * SECOND)
    assert not actions.made("exclude", "a")


def join_after_an_earlier_and_a_recent_drain(fleet, proxies):
    """Let backend `a` drain two graces before the proxies join, and `b` two seconds before."""
    fleet.configure(
        backlog_limit=60, message_header=3, bootstrap_entries=5, entries_per_s=10, drain_grace=6 * SECOND
    )
    fleet.list_restored("a", "b", "c", "d")
    fleet.join(1)
    fleet.list_changes(endpoint("a", phase="draining"))
    fleet.acknowledge(1)
    fleet.advance_to(11 * SECOND)
    fleet.list_changes(endpoint("b", phase="draining"))
    fleet.advance_to(13 * SECOND)
    for proxy in range(2, 2 + proxies):
        fleet.join(proxy)
    assert not fleet.actions.made("exclude")
