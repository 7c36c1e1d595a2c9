"""How the fleet is split into subsets, and what that gains where the channel is slow."""

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


def channel_of(settings):
    return InFlightAccount(settings_of(settings))


def server(number, phase="ready", zones=3):
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
    "change, fleet, subsets",
    [
        ({}, 200, 12),
        ({}, 2000, 125),
        ({}, 30, 1),
        ({}, 48, 3),
        ({"entries_per_s": 1e6}, 200, 1),  # the channel carries whole tables
        ({"entries_per_s": 16000.0}, 200, 1),
        ({"entries_per_s": 5300.0}, 200, 1),
        ({"entries_per_s": 4000.0}, 200, 3),
        # 10,100 lines for a coordinator's own proxies: whole tables where that is within the drain's grace
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
        ({"coordinators": 230}, 200, 1),  # few proxies a coordinator, whichever of them die
        ({"coordinators": 1, "proxies_expected": 20}, 200, 1),
        ({"drain_grace": None}, 200, 1),
        ({"entries_per_s": None}, 200, 1),
        ({"slices": 4}, 200, 1),
    ],
)
def test_subsets_follow_the_channel(change, fleet, subsets):
    told = {name: value for name, value in {**SLOW, **change}.items() if value is not None}
    servers = [server(number) for number in range(fleet)]
    split = Subsets([])
    split.assign(
        settings_of(told), channel_of(told), servers
    )  # figures such as a head of 3.0 give no broken subsets
    assert split.count == subsets and {rec.subset for rec in servers} == set(range(subsets))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.sets(st.integers(0, 399), min_size=1, max_size=300), min_size=1, max_size=8))
def test_each_ready_server_is_in_one_subset_and_subsets_stay_even(fleets):
    subsets, servers = Subsets(["z0", "z1", "z2"]), {number: server(number) for number in range(400)}
    for ready in fleets:
        for number, rec in servers.items():
            rec.phase = "ready" if number in ready else "gone"
        same = subsets.split_size / RESPLIT_FACTOR <= len(ready) <= subsets.split_size * RESPLIT_FACTOR
        count = subsets.count if same else None
        subsets.assign(settings_of(SLOW), channel_of(SLOW), servers.values())
        assert count in (None, subsets.count)
        held = [[rec for rec in servers.values() if rec.subset == subset] for subset in range(subsets.count)]
        assert sum(map(len, held)) == len(ready)
        assert max(map(len, held)) <= UNEVEN_FACTOR * min(map(len, held)) + 1
        assert (
            subsets.count == 1 or min(map(len, held)) >= SUBSET_SIZE_MIN / RESPLIT_FACTOR / UNEVEN_FACTOR - 1
        )


def test_a_list_that_names_what_is_not_there_deals_nothing_anew():
    # 66 names beside 96 servers: all were split anew in the middle of a release, and half refused after
    subsets, servers = Subsets(["z0"]), [server(number) for number in range(96)]
    subsets.assign(settings_of(SLOW), channel_of(SLOW), servers)
    held, named = [rec.subset for rec in servers], [server(number) for number in range(96, 162)]
    for rec in named:
        rec.verified = False
    subsets.assign(settings_of(SLOW), channel_of(SLOW), servers + named)
    assert [rec.subset for rec in servers] == held and not any(rec.subset is not None for rec in named)
    named[0].verified = True
    subsets.assign(settings_of(SLOW), channel_of(SLOW), servers + named)
    assert named[0].subset is not None and named[1].subset is None


def test_neither_a_lost_zone_nor_its_return_deals_anew():
    subsets, servers = Subsets(["z0"]), [server(number, zones=2) for number in range(200)]
    subsets.assign(settings_of(SLOW), channel_of(SLOW), servers)
    held = [rec.subset for rec in servers]
    for phase in ("gone", "ready"):
        for rec in servers[::2]:
            rec.phase = phase
        subsets.assign(settings_of(SLOW), channel_of(SLOW), servers)
        assert [rec.subset for rec in servers[1::2]] == held[1::2]


def test_subsets_hold_like_servers():
    subsets, servers = Subsets(["z0"]), [server(number) for number in range(192)]
    subsets.assign(settings_of(SLOW), channel_of(SLOW), servers)
    for subset in range(subsets.count):
        held = [rec for rec in servers if rec.subset == subset]
        assert {
            (zone, kind): sum(1 for rec in held if (rec.zone, rec.machine_type) == (zone, kind))
            for zone, kind in {(rec.zone, rec.machine_type) for rec in held}
        } == {(f"z{z}", f"k{k}"): pytest.approx(16 / 6, abs=1) for z in range(3) for k in range(2)}


def test_joiners_share_the_tables_and_a_crowded_one_gets_a_copy():
    subsets, channel = Subsets(["z0"]), channel_of({**SLOW, "backlog_limit": 100.0})
    tables = [subsets.join("z0", 1.0, channel) for _ in range(25)]
    assert tables == [0] * 10 + [1] * 10 + [2] * 5  # ten users are half of the queue
    for table in tables:
        subsets.leave(table, 1.0)
    assert not any(subsets._loads.values()) and not any(subsets.proxies.values())


def named_by(coordinators, proxies, zones, **told):
    """How many proxies name each subset, over coordinators that each see their own proxies alone."""
    named, channel = Counter(), channel_of({**SLOW, **told})
    servers = [server(number, zones=zones) for number in range(600)]
    for index in range(coordinators):
        subsets = Subsets([f"z{zone}" for zone in range(zones)])
        settings = {**SLOW, **told, "coordinator_index": index, "coordinators": coordinators}
        settings["proxies_expected"] = coordinators * proxies
        subsets.assign(settings_of(settings), channel, servers)
        for number in range(proxies):
            table = subsets.join(f"z{(index + number) % zones}", 1.0, channel)
            named[subsets._positions[table].position % subsets.count] += 1
    return [named[subset] for subset in range(subsets.count)]


@pytest.mark.parametrize(
    "coordinators, proxies, zones", [(60, 35, 10), (61, 13, 4), (40, 7, 20), (5, 300, 3)]
)
def test_coordinators_with_few_proxies_give_each_subset_as_often(coordinators, proxies, zones):
    # Each gave the lowest numbers first: with 3 proxies a zone, 4 of 37 subsets had all the fleet's requests
    named = named_by(coordinators, proxies, zones, entries_per_s=100.0)
    mean = sum(named) / len(named)
    assert len(named) >= 10 and sum(named) == coordinators * proxies
    assert 0.85 * mean <= min(named) <= max(named) <= 1.15 * mean


def slow_fleet(proxies, backends=200):
    kinds = [{"name": "a", "latency_objective": SECOND, "priority_weight": 1.0}]
    storm = ProxyFleet(backends, 3, **{**SLOW, "classes": kinds})
    for proxy in range(proxies):
        storm.join(proxy)
    return storm


def test_a_slow_channel_binds_all_within_the_grace():
    # With whole tables 300 proxies take 78 s of this channel
    storm = slow_fleet(300)
    storm.run(13)
    assert not storm.coordinator.planner.assignment.unassigned
    held = [set(table) for table, _ in storm.tables.values()]
    assert set().union(*held) == set(storm.ready) and max(map(len, held)) <= 200 // 12 + 1


def test_all_proxies_of_a_restarted_coordinator_are_bound_within_the_grace():
    # What was on its way to them is lost with the process, and they hold what had drained meanwhile. Whole
    # tables for 48 proxies took 10.7 s of this channel, and drains were broken 12 to 745 times on three days.
    told = {
        "entries_per_s": 900.0,
        "backlog_limit": 4400.0,
        "message_header": 3.0,
        "proxies_expected": 240,
        "coordinators": 5,
        "drain_grace": 62 * SECOND // 10,
    }
    storm = ProxyFleet(
        200, 3, **told, classes=[{"name": "a", "latency_objective": SECOND, "priority_weight": 1.0}]
    )
    for proxy in range(48):
        storm.join(proxy, bootstrap=False)
    storm.run(6)
    assert not storm.coordinator.planner.assignment.unassigned


def test_a_release_of_half_the_fleet_leaves_no_table_without_its_part():
    storm = slow_fleet(300)
    storm.run(15)
    for _ in range(5):
        storm.replace_backends(24)
        storm.run(4)
    storm.run(40)
    old = {f"s{n + 1}" for n in range(120)}
    for table, _ in storm.tables.values():
        assert len(table) >= 5 and not old & set(table)


def test_one_coordinator_takes_the_proxies_of_the_dead():
    # 1,200 more at once: shutting 24 drained servers out of each would alone be 42 s of the channel
    storm = slow_fleet(300)
    storm.run(13)
    storm.replace_backends(24)
    for proxy in range(300, 1500):
        storm.join(proxy, bootstrap=False)
    storm.run(36)
    assert len(storm.coordinator.planner.assignment.unassigned) < 150
    storm.run(8)
    assert not storm.coordinator.planner.assignment.unassigned


def written(storm, proxy):
    """When the last of what was ordered of a proxy leaves the channel."""
    return max((leaves for leaves, _, holder, *_ in storm.channel if holder == proxy), default=storm.now)


def test_joiners_that_wait_long_are_bound_before_newer_drains_are_ordered():
    # Four of five coordinators die during a release. Each batch of drains went ahead of joiners that had
    # waited since before it: the last had their tables 8.5 s after joining, past the grace.
    grace = 59 * SECOND // 10
    told = {"entries_per_s": 900.0, "backlog_limit": 4400.0, "proxies_expected": 240, "coordinators": 5}
    storm = ProxyFleet(200, 3, **told, drain_grace=grace)
    for proxy in range(57):
        storm.join(proxy)
    storm.run(8)
    storm.replace_backends(30)
    storm.run(2)
    start, joiners, owed, slowest = storm.now, iter(range(57, 240)), {}, 0
    batches = [start + tenths * SECOND // 10 for tenths in (3, 28, 38, 48)]
    while storm.now < start + 12 * SECOND:
        for proxy in islice(joiners, 10):
            storm.join(proxy)
            owed[proxy, None] = storm.now
        if batches and storm.now >= batches[0]:
            del batches[0]
            drained = storm.ready[:30]
            storm.replace_backends(30)
            holders = [
                (proxy, name) for proxy, held in storm.tables.items() for name in drained if name in held[0]
            ]
            owed |= dict.fromkeys(holders, storm.now)
        storm.turn()
        for proxy, name in list(owed):
            table, _ = storm.tables.get(proxy, ({}, set()))
            if table and name not in table:
                slowest = max(slowest, written(storm, proxy) - owed.pop((proxy, name)))
    assert not owed and slowest <= grace, slowest
