"""Proxies that go silent while their streams stay open must not delay what the other proxies are sent."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.drain_observer import DrainObserver
from support.proxy_fleet import ProxyFleet

from granitespool.planner.events import ProxyLeft
from granitespool.planner.in_flight import ACKNOWLEDGEMENT_TIMEOUT, InFlightAccount
from granitespool.settings import Settings
from granitespool.units import MILLISECOND, SECOND

PROXIES = 75
BACKENDS = 30
DRAIN_GRACE = 42 * SECOND // 10
DRAIN_INTERVAL = 0.36  # s between two backends that drain
DRAIN_TIME = 5  # s from the drain of a backend to its end
SILENCE_TIMEOUT = 9  # s after which a silent proxy is reported as unreachable


def make_fleet(entries_per_s, backlog_limit):
    return DrainObserver(
        BACKENDS,
        3,
        coordinators=2,
        entries_per_s=entries_per_s,
        backlog_limit=backlog_limit,
        messages_limit=30,
        messages_span=10 * SECOND,
        drain_grace=DRAIN_GRACE,
        proxies_expected=2 * PROXIES,
    )


def replace_while_silent(fleet, silent, drains):
    """Let proxies go silent, replace `drains` backends one by one and run until the drains are over."""
    for proxy in range(PROXIES):
        fleet.join(proxy)
    fleet.run(8)
    fleet.silent.update(range(silent))
    began = fleet.now
    fleet.run(1)
    reported = False
    for _ in range(int(drains + 12 / DRAIN_INTERVAL)):
        if len(fleet.drained_at) < drains:
            fleet.drain(1)
        fleet.report_load(SECOND // 5)
        fleet.run(DRAIN_INTERVAL)
        if not reported and fleet.now > began + SILENCE_TIMEOUT * SECOND:
            reported = True
            for proxy in fleet.silent:
                fleet.coordinator.report(fleet.now, ProxyLeft(proxy=proxy, unreachable=True))
        fleet.remove_backends(
            [name for name, since in fleet.drained_at.items() if fleet.now > since + DRAIN_TIME * SECOND]
        )


# Guards against drains that reach no proxy while the account is full of messages to silent ones
@pytest.mark.parametrize("silent", [36, 60])
@pytest.mark.parametrize("entries_per_s, backlog_limit", [(900.0, 2700.0), (730.0, 1460.0)])
def test_drains_reach_the_other_proxies_in_time_while_some_are_silent(silent, entries_per_s, backlog_limit):
    fleet = make_fleet(entries_per_s, backlog_limit)
    replace_while_silent(fleet, silent, drains=18)
    assert len(fleet.drained_at) == 18
    assert not fleet.late


# Guards against joining proxies without a table while all messages in flight are to unreachable ones
@pytest.mark.parametrize("drains", [6, 18])
def test_proxies_that_join_while_all_others_are_unreachable_get_their_tables_in_time(drains):
    fleet = make_fleet(900.0, 2700.0)
    replace_while_silent(fleet, PROXIES, drains)
    assert fleet.coordinator.planner.in_flight.in_flight > fleet.settings.backlog_limit / 3
    joining = range(PROXIES, PROXIES + 20)
    for proxy in joining:
        fleet.join(proxy, bootstrap=False)
    fleet.run(DRAIN_GRACE / SECOND)
    assert not fleet.coordinator.planner.assignment.unassigned
    assert all(fleet.weights[proxy] for proxy in joining)


def account_of(rate=1000.0):
    return InFlightAccount(Settings(entries_per_s=rate, backlog_limit=1000.0, message_header=3.0))


def reserve(account, now, *proxies, entries=6):
    """Reserve a message of 4 + `entries` entries to each proxy; return the number of its barrier."""
    for proxy in proxies:
        account.reserve(now, proxy, entries)
    return account.sequence


def test_a_message_leaves_the_account_some_time_after_a_later_one_is_acknowledged_by_another_proxy():
    account = account_of()
    unanswered = reserve(account, 0, 1)
    later = reserve(account, SECOND, 2)
    assert account.acknowledge(2 * SECOND, 2, later)
    account.expire(2 * SECOND + ACKNOWLEDGEMENT_TIMEOUT - 1)
    assert account.in_flight == 10
    account.expire(2 * SECOND + ACKNOWLEDGEMENT_TIMEOUT)
    assert account.in_flight == 0
    assert not account.acknowledge(5 * SECOND, 1, unanswered)


def test_an_acknowledgement_shows_nothing_of_later_messages():
    account = account_of()
    earlier = reserve(account, 0, 1)
    reserve(account, MILLISECOND, 2)
    assert account.acknowledge(SECOND, 1, earlier)
    account.expire(10 * SECOND)
    assert account.in_flight == 10


def test_the_rest_of_an_acknowledged_batch_gets_the_time_that_the_channel_takes_for_it():
    account = account_of(rate=100.0)
    batch = reserve(account, 0, 1, 2, 3, 4, entries=96)
    assert account.acknowledge(SECOND, 1, batch)
    account.expire(4 * SECOND + ACKNOWLEDGEMENT_TIMEOUT - 1)  # 300 entries take three seconds
    assert account.in_flight == 300
    assert account.acknowledge(5 * SECOND, 2, batch)  # the channel is slower: it is still sending this batch
    account.expire(7 * SECOND + ACKNOWLEDGEMENT_TIMEOUT - 1)
    assert account.in_flight == 200
    account.expire(7 * SECOND + ACKNOWLEDGEMENT_TIMEOUT)
    assert account.in_flight == 0


def test_an_acknowledgement_that_arrives_out_of_order_extends_no_time():
    account = account_of()
    first = reserve(account, 0, 1, 2, 3)
    second = reserve(account, SECOND, 4, 5)
    assert account.acknowledge(2 * SECOND, 4, second)
    assert account.acknowledge(3 * SECOND, 1, first)
    account.expire(2 * SECOND + ACKNOWLEDGEMENT_TIMEOUT)
    assert account.in_flight == 10  # the message to proxy 5, which the channel passes after that to proxy 4


def test_the_rest_of_the_limit_may_be_used_while_all_messages_in_flight_are_to_unreachable_proxies():
    account = account_of()
    reserve(account, 0, 1, 2, entries=246)
    account.mark_unreachable(1)
    assert account.capacity_left(0.35) == -150
    account.mark_unreachable(2)
    assert account.capacity_left(0.35) == account.capacity_left(0.94, SECOND // 10) == 500
    reserve(account, SECOND, 3)
    assert account.capacity_left(0.35) == -160
    account.release(3)
    assert account.capacity_left(0.35) == 500
    account.mark_reachable(1)
    assert account.capacity_left(0.35) == -150
    account.release(1)
    account.release(2)
    assert account.capacity_left(0.35) == 940
    account.mark_unreachable(1)
    assert account.capacity_left(0.35) == 940


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("join"), st.integers(1, 80)),
        st.tuples(st.just("silence"), st.integers(1, 80)),
        st.tuples(st.just("return"), st.integers(1, 80)),
        st.tuples(st.just("drain"), st.integers(1, 12)),
        st.tuples(st.just("slow"), st.sampled_from((1, 3, 10))),
        st.tuples(st.just("run"), st.integers(1, 8)),
    ),
    min_size=3,
    max_size=14,
)


# Guards against a queue over its limit because messages that it still holds were released
@settings(max_examples=60, deadline=None, derandomize=True)
@given(STEPS, st.integers(2, 60), st.sampled_from((200.0, 900.0)), st.sampled_from((1.5, 10.0)))
def test_messages_that_the_channel_holds_stay_in_flight_whoever_is_silent(
    steps, backends, rate, full_queue_s
):
    limit = max(rate * full_queue_s, 400.0)
    fleet = ProxyFleet(
        backends,
        3,
        coordinators=2,
        entries_per_s=rate,
        backlog_limit=limit,
        drain_grace=int((limit / rate + 2) * SECOND),
        proxies_expected=160,
    )
    for step, number in steps:
        if step == "join":
            for proxy in range(number):
                fleet.join(proxy)
        elif step == "silence":
            fleet.silent.update(range(0, number, 2))
        elif step == "return":
            fleet.silent.difference_update(range(number))
        elif step == "drain":
            fleet.replace_backends(min(number, len(fleet.ready) - 1))
        elif step == "slow":
            fleet.slowdown = number
        elif step == "run":
            fleet.report_load(SECOND // 5)
            fleet.run(number)
        fleet.turn()
