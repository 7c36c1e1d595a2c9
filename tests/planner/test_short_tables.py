"""Proxies that were assigned a part of their table: what they are sent, and the rest that follows."""

from collections import Counter

import pytest
from support.restarted_fleet import RestartedFleet

GRACE = 3.0  # s


def partial(fleet):
    return fleet.coordinator.planner.tables.partial


def table_of(fleet, proxy):
    table = fleet.coordinator.planner.assignment.proxies[proxy].table
    return fleet.coordinator.updates.tables[table]


def fleet_with_parts(proxies=320, missed=30):
    """Return a fleet in which many proxies have a part of their table, and run no further."""
    fleet = RestartedFleet(proxies, 900, GRACE, missed)
    while len(partial(fleet)) < proxies / 2:
        fleet.turn()
    return fleet


def test_parts_share_the_warm_backends_of_a_table_evenly():
    fleet = fleet_with_parts(missed=30)
    users = dict.fromkeys(fleet.ready[:-30], 0)
    for part in partial(fleet).values():
        for name in part:
            users[name] += 1
    mean = sum(users.values()) / len(users)
    assert max(users.values()) <= 2 * mean
    assert sum(count > 0 for count in users.values()) >= 0.9 * len(users)


def test_a_part_has_warm_backends_alone_where_they_suffice():
    fleet = fleet_with_parts(missed=60)
    cold = set(fleet.ready[-60:])
    assert any(cold & table_of(fleet, proxy).keys() for proxy in partial(fleet))
    assert not [proxy for proxy, part in partial(fleet).items() if cold & part]


# Guards against proxies that are left with a part, or with entries that their table no longer has
@pytest.mark.parametrize(
    ("proxies", "batch", "batches"), [(320, 0, 0), (320, 10, 3), (150, 20, 4), (480, 2, 6)]
)
def test_each_proxy_has_its_complete_table_in_the_end(proxies, batch, batches):
    fleet = RestartedFleet(proxies, 900, GRACE, missed=30)
    fleet.deploy(batch, 1.6, batches, seconds=60)
    assert not partial(fleet)
    assert not fleet.coordinator.planner.assignment.unassigned
    held = {proxy: fleet.tables[proxy].weights for proxy in range(proxies)}
    assert held == {proxy: table_of(fleet, proxy) for proxy in range(proxies)}


# Guards against a proxy without a backend because all backends of its part drain
def test_a_proxy_whose_part_drains_gets_further_entries_of_its_table_first():
    fleet = fleet_with_parts()
    proxy, part = min(partial(fleet).items(), key=lambda item: len(item[1]))
    drained = sorted(part)
    fleet.ready = drained + [name for name in fleet.ready if name not in part]
    fleet.drain(len(drained))
    further = set()
    for _ in range(120):
        fleet.turn()
        assert fleet.tables[proxy].weights.keys() - fleet.tables[proxy].excluded
        further = further or partial(fleet).get(proxy, part) - set(drained)
    assert 0 < len(further) < len(table_of(fleet, proxy))
    assert not fleet.usable(proxy) & set(drained)


def test_a_proxy_that_joins_again_has_no_part_of_its_former_table():
    fleet = fleet_with_parts()
    proxy = next(iter(partial(fleet)))
    fleet.join(proxy, bootstrap=False)
    assert proxy not in partial(fleet)
    fleet.run(30)
    assert fleet.tables[proxy].weights == table_of(fleet, proxy)


def test_messages_of_one_proxy_do_not_exceed_the_limit_while_parts_are_sent():
    fleet = RestartedFleet(320, 900, GRACE, missed=8)
    counts = Counter()
    write = fleet.on_written

    def count_and_write(proxy, *arguments):
        counts[proxy] += 1
        write(proxy, *arguments)

    fleet.on_written = count_and_write
    fleet.deploy(4, 1.0, 8, seconds=10)
    assert 2 < max(counts.values()) <= fleet.settings.messages_limit
