"""The drains of a table are published together: one message to each subscriber, whatever their number."""

import pytest
from support.drain_observer import assigned_fleet

from granitespool.planner.in_flight import TRANSIT_TIME, InFlightAccount
from granitespool.planner.outbox import EntryKind
from granitespool.settings import Settings
from granitespool.units import SECOND

HEADER = 4  # entries of a message beside its own, with the barrier


# Guards against drains that are sent one by one as soon as each fits, with a message header each
@pytest.mark.parametrize("drains", [1, 3, 5])
def test_each_proxy_is_sent_all_drains_of_its_table_in_one_message(drains):
    fleet = assigned_fleet(240, 900.0, 6)
    entries = fleet.coordinator.planner.outbox.total_entries
    before = entries[EntryKind.MANDATORY]
    fleet.replace(drains, 7)
    assert not fleet.late
    assert entries[EntryKind.MANDATORY] - before == 240 * (HEADER + drains)


# Guards against late drains at reachable proxies while messages to silent ones take a part of the queue
@pytest.mark.parametrize(
    "proxies, entries_per_s, full_queue_time, drains",
    [(400, 900.0, 2, 2), (400, 730.0, 3, 2), (240, 730.0, 3, 5)],
)
def test_drains_reach_the_other_proxies_in_time_while_half_are_silent(
    proxies, entries_per_s, full_queue_time, drains
):
    fleet = assigned_fleet(proxies, entries_per_s, 3.3, full_queue_time)
    fleet.silent.update(fleet.random.sample(range(proxies), 48 * proxies // 100))
    fleet.run(1)
    fleet.replace(drains, 8)
    assert not fleet.late


# Guards against drains that wait for room which messages to silent proxies keep
def test_drains_that_never_fit_together_beside_messages_to_silent_proxies_are_published_apart():
    fleet = assigned_fleet(240, 900.0, 10)
    fleet.silent.update(range(0, 240, 2))
    fleet.replace(12, 15)
    assert not fleet.late


def test_entries_that_the_channel_has_passed_are_unacknowledged_after_the_transit_time():
    account = InFlightAccount(Settings(entries_per_s=1000.0, backlog_limit=1000.0, message_header=3.0))
    account.reserve(0, 1, 6)
    account.reserve(SECOND, 2, 6)
    barrier = account.sequence
    assert account.unacknowledged(SECOND) == 0
    account.acknowledge(2 * SECOND, 2, barrier)
    assert account.unacknowledged(2 * SECOND + TRANSIT_TIME - 1) == 0
    assert account.unacknowledged(2 * SECOND + TRANSIT_TIME) == 10
