"""How the fleet is split into subsets, and how fast tables and drains then reach the proxies."""

from collections import Counter
from itertools import islice
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.proxy_fleet import ProxyFleet
from support.records import settings_of

from granitespool.planner.in_flight import InFlightAccount
from granitespool.planner.subsets import RESPLIT_FACTOR, SUBSET_SIZE_MIN, UNEVEN_FACTOR, Subsets
from granitespool.units import SECOND

SLOW = {
    "entries_per_s": 800.0,
    "backlog_limit": 28000.0,
    "message_header": 3.0,
    "drain_grace": 36 * SECOND,
    "proxies_expected": 1500,
    "coordinators": 5,
    "classes": [{"name": "a"}],
}


def account_of(settings):
    return InFlightAccount(settings_of(settings))


def backend_stand_in(number, phase="ready", zones=3):
    return SimpleNamespace(
        name=number,
        sequence=number,
        zone=f"z{number % zones}",
        machine_type=f"k{number % 2}",
        phase=phase,
        subset=None,
        subset_key=None,
        published={},
        verified=True,
    )


@pytest.mark.parametrize(
    "change, backend_count, subset_count",
    [
        ({}, 200, 12),
        ({}, 2000, 125),
        ({}, 30, 1),
        ({}, 48, 3),
        ({"entries_per_s": 1e6}, 200, 1),  # the channel carries complete tables
        ({"entries_per_s": 16000.0}, 200, 1),
        ({"entries_per_s": 5300.0}, 200, 1),
        ({"entries_per_s": 4000.0}, 200, 3),
        # 10,100 entries for a coordinator's own proxies: complete tables if sent within the drain grace
        (
            {"entries_per_s": 1000.0, "drain_grace": 12 * SECOND, "proxies_expected": 200, "coordinators": 2},
            96,
            1,
        ),
        (
            {"entries_per_s": 1000.0, "drain_grace": 4 * SECOND, "proxies_expected": 200, "coordinators": 2},
            96,
            6,
        ),
        ({"coordinators": 230}, 200, 1),  # few proxies for each coordinator, even after a failover
        ({"coordinators": 1, "proxies_expected": 20}, 200, 1),
        ({"drain_grace": None}, 200, 1),
        ({"entries_per_s": None}, 200, 1),
        ({"slices": 4}, 200, 1),
    ],
)
def test_the_number_of_subsets_follows_the_channel(change, backend_count, subset_count):
    settings = {name: value for name, value in {**SLOW, **change}.items() if value is not None}
    backends = [backend_stand_in(number) for number in range(backend_count)]
    split = Subsets([])
    # Whole numbers given as floats, such as a header of 3.0, give whole subset sizes
    split.assign(settings_of(settings), account_of(settings), backends)
    assert split.count == subset_count and {backend.subset for backend in backends} == set(
        range(subset_count)
    )


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.sets(st.integers(0, 399), min_size=1, max_size=300), min_size=1, max_size=8))
def test_each_ready_backend_is_in_one_subset_and_subsets_stay_even(fleets):
    subsets, backends = (
        Subsets(["z0", "z1", "z2"]),
        {number: backend_stand_in(number) for number in range(400)},
    )
    for ready in fleets:
        for number, backend in backends.items():
            backend.phase = "ready" if number in ready else "gone"
        is_kept = subsets.split_size / RESPLIT_FACTOR <= len(ready) <= subsets.split_size * RESPLIT_FACTOR
        count = subsets.count if is_kept else None
        subsets.assign(settings_of(SLOW), account_of(SLOW), backends.values())
        assert count in (None, subsets.count)
        members = [
            [backend for backend in backends.values() if backend.subset == subset]
            for subset in range(subsets.count)
        ]
        assert sum(map(len, members)) == len(ready)
        assert max(map(len, members)) <= UNEVEN_FACTOR * min(map(len, members)) + 1
        assert (
            subsets.count == 1
            or min(map(len, members)) >= SUBSET_SIZE_MIN / RESPLIT_FACTOR / UNEVEN_FACTOR - 1
        )


def test_listed_backends_that_do_not_exist_cause_no_new_split():
    """66 of them beside 96 backends caused a new split during a release, and half was rejected after it."""
    subsets, backends = Subsets(["z0"]), [backend_stand_in(number) for number in range(96)]
    subsets.assign(settings_of(SLOW), account_of(SLOW), backends)
    before, unverified = (
        [backend.subset for backend in backends],
        [backend_stand_in(number) for number in range(96, 162)],
    )
    for backend in unverified:
        backend.verified = False
    subsets.assign(settings_of(SLOW), account_of(SLOW), backends + unverified)
    assert [backend.subset for backend in backends] == before and not any(
        backend.subset is not None for backend in unverified
    )
    unverified[0].verified = True
    subsets.assign(settings_of(SLOW), account_of(SLOW), backends + unverified)
    assert unverified[0].subset is not None and unverified[1].subset is None


def test_neither_a_lost_zone_nor_its_return_causes_a_new_split():
    subsets, backends = Subsets(["z0"]), [backend_stand_in(number, zones=2) for number in range(200)]
    subsets.assign(settings_of(SLOW), account_of(SLOW), backends)
    before = [backend.subset for backend in backends]
    for phase in ("gone", "ready"):
        for backend in backends[::2]:
            backend.phase = phase
        subsets.assign(settings_of(SLOW), account_of(SLOW), backends)
        assert [backend.subset for backend in backends[1::2]] == before[1::2]


def test_each_zone_and_machine_type_is_spread_evenly_over_the_subsets():
    subsets, backends = Subsets(["z0"]), [backend_stand_in(number) for number in range(192)]
    subsets.assign(settings_of(SLOW), account_of(SLOW), backends)
    for subset in range(subsets.count):
        members = [backend for backend in backends if backend.subset == subset]
        assert {
            (zone, machine_type): sum(
                1 for backend in members if (backend.zone, backend.machine_type) == (zone, machine_type)
            )
            for zone, machine_type in {(backend.zone, backend.machine_type) for backend in members}
        } == {
            (f"z{zone}", f"k{machine_type}"): pytest.approx(16 / 6, abs=1)
            for zone in range(3)
            for machine_type in range(2)
        }


def test_joining_proxies_share_the_tables_and_a_full_table_gets_a_copy():
    subsets, account = Subsets(["z0"]), account_of({**SLOW, "backlog_limit": 100.0})
    tables = [subsets.join("z0", 1.0, account) for _ in range(25)]
    assert tables == [0] * 10 + [1] * 10 + [2] * 5  # one entry to ten subscribers fills half of the queue
    for table in tables:
        subsets.leave(table, 1.0)
    assert not any(subsets._loads.values()) and not any(subsets.proxies.values())


def proxies_by_subset(coordinators, proxies, zones, **changes):
    """Return the number of proxies on each subset, over coordinators that only know their own proxies."""
    proxy_counts, account = Counter(), account_of({**SLOW, **changes})
    backends = [backend_stand_in(number, zones=zones) for number in range(600)]
    for index in range(coordinators):
        subsets = Subsets([f"z{zone}" for zone in range(zones)])
        settings = {**SLOW, **changes, "coordinator_index": index, "coordinators": coordinators}
        settings["proxies_expected"] = coordinators * proxies
        subsets.assign(settings_of(settings), account, backends)
        for number in range(proxies):
            table = subsets.join(f"z{(index + number) % zones}", 1.0, account)
            proxy_counts[subsets._positions[table].position % subsets.count] += 1
    return [proxy_counts[subset] for subset in range(subsets.count)]


@pytest.mark.parametrize(
    "coordinators, proxies, zones", [(60, 35, 10), (61, 13, 4), (40, 7, 20), (5, 300, 3)]
)
def test_coordinators_with_few_proxies_use_all_subsets_equally(coordinators, proxies, zones):
    """When each started with the lowest, at 3 proxies for each zone, 4 of 37 subsets got all requests."""
    counts = proxies_by_subset(coordinators, proxies, zones, entries_per_s=100.0)
    mean = sum(counts) / len(counts)
    assert len(counts) >= 10 and sum(counts) == coordinators * proxies
    assert 0.85 * mean <= min(counts) <= max(counts) <= 1.15 * mean


def slow_fleet(proxies, backends=200):
    classes = [{"name": "a", "latency_objective": SECOND, "priority_weight": 1.0}]
    fleet = ProxyFleet(backends, 3, **{**SLOW, "classes": classes})
    for proxy in range(proxies):
        fleet.join(proxy)
    return fleet


def test_a_slow_channel_assigns_all_proxies_within_the_drain_grace():
    """With complete tables, 300 proxies take 78 s of this channel."""
    fleet = slow_fleet(300)
    fleet.run(13)
    assert not fleet.coordinator.planner.assignment.unassigned
    tables = [set(table) for table, _ in fleet.tables.values()]
    assert set().union(*tables) == set(fleet.ready) and max(map(len, tables)) <= 200 // 12 + 1


def test_all_proxies_of_a_restarted_coordinator_are_assigned_within_the_drain_grace():
    """Messages in flight are lost with the process, and the proxies keep backends that drained meanwhile.

    Complete tables for 48 proxies took 10.7 s of this channel: 12 to 745 violations of the drain grace on
    three days.
    """
    settings = {
        "entries_per_s": 900.0,
        "backlog_limit": 4400.0,
        "message_header": 3.0,
        "proxies_expected": 240,
        "coordinators": 5,
        "drain_grace": 62 * SECOND // 10,
    }
    fleet = ProxyFleet(
        200, 3, **settings, classes=[{"name": "a", "latency_objective": SECOND, "priority_weight": 1.0}]
    )
    for proxy in range(48):
        fleet.join(proxy, bootstrap=False)
    fleet.run(6)
    assert not fleet.coordinator.planner.assignment.unassigned


def test_after_a_release_of_half_the_fleet_every_table_has_enough_new_backends():
    fleet = slow_fleet(300)
    fleet.run(15)
    for _ in range(5):
        fleet.replace_backends(24)
        fleet.run(4)
    fleet.run(40)
    old = {f"s{n + 1}" for n in range(120)}
    for table, _ in fleet.tables.values():
        assert len(table) >= 5 and not old & set(table)


def test_one_coordinator_serves_the_proxies_of_all_failed_ones():
    """Excluding 24 drained backends for 1,200 more proxies would alone take 42 s of the channel."""
    fleet = slow_fleet(300)
    fleet.run(13)
    fleet.replace_backends(24)
    for proxy in range(300, 1500):
        fleet.join(proxy, bootstrap=False)
    fleet.run(36)
    assert len(fleet.coordinator.planner.assignment.unassigned) < 150
    fleet.run(8)
    assert not fleet.coordinator.planner.assignment.unassigned


def last_sent_at(fleet, proxy):
    """Return the time (ns) at which the last message to a proxy leaves the channel."""
    return max(
        (leaves for leaves, _, recipient, *_ in fleet.channel if recipient == proxy), default=fleet.now
    )


def test_proxies_that_wait_long_are_assigned_before_newer_drains_are_published():
    """Four of five coordinators fail during a release, and their proxies join the fifth.

    Each batch of drains was published before proxies that had joined earlier: the last got their tables after
    8.5 s, later than the drain grace.
    """
    grace = 59 * SECOND // 10
    settings = {"entries_per_s": 900.0, "backlog_limit": 4400.0, "proxies_expected": 240, "coordinators": 5}
    fleet = ProxyFleet(200, 3, **settings, drain_grace=grace)
    for proxy in range(57):
        fleet.join(proxy)
    fleet.run(8)
    fleet.replace_backends(30)
    fleet.run(2)
    start, joining, pending_since, slowest = fleet.now, iter(range(57, 240)), {}, 0
    batches = [start + tenths * SECOND // 10 for tenths in (3, 28, 38, 48)]
    while fleet.now < start + 12 * SECOND:
        for proxy in islice(joining, 10):
            fleet.join(proxy)
            pending_since[proxy, None] = fleet.now
        if batches and fleet.now >= batches[0]:
            del batches[0]
            drained = fleet.ready[:30]
            fleet.replace_backends(30)
            drained_entries = [
                (proxy, name) for proxy, held in fleet.tables.items() for name in drained if name in held[0]
            ]
            pending_since |= dict.fromkeys(drained_entries, fleet.now)
        fleet.turn()
        for proxy, name in list(pending_since):
            table, _ = fleet.tables.get(proxy, ({}, set()))
            if table and name not in table:
                slowest = max(slowest, last_sent_at(fleet, proxy) - pending_since.pop((proxy, name)))
    assert not pending_since and slowest <= grace, slowest
