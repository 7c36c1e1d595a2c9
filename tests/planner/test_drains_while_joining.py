"""Backends that drain while many proxies wait for their tables must be left within the drain grace."""

import pytest
from support.drain_observer import observed_fleet

from granitespool.units import SECOND

JOINING_TIME = 0.3  # s in which all proxies join
DRAIN_AFTER = 2.7  # s after the last of them has joined


def join_with_bootstrap_tables(fleet, proxies):
    for proxy in range(proxies):
        fleet.set_bootstrap_table(proxy)
        fleet.join(proxy)
        fleet.turn(int(JOINING_TIME * SECOND / proxies))


# Guards against drains that wait until every joining proxy has its table, while these tables contain them
@pytest.mark.parametrize(
    "proxies, entries_per_s, full_queue_time, grace, drains",
    [
        (240, 900.0, 2, 6, 5),
        (240, 900.0, 2, 4, 1),
        (240, 730.0, 2, 6, 3),
        (240, 900.0, 3, 6, 5),
        (150, 730.0, 2, 4, 3),
        (400, 900.0, 3, 6, 3),
    ],
)
def test_drains_are_published_before_assignments_that_are_due_no_earlier(
    proxies, entries_per_s, full_queue_time, grace, drains
):
    fleet = observed_fleet(proxies, entries_per_s, grace, full_queue_time, coordinators=3)
    join_with_bootstrap_tables(fleet, proxies)
    fleet.run(DRAIN_AFTER)
    assert len(fleet.coordinator.planner.assignment.unassigned) > proxies / 4
    fleet.replace(drains, grace + 7)
    assert not fleet.late


# Guards against a drain that assignments delay again in each pass, while an earlier drain is not excluded
def test_assignments_that_precede_a_drain_end_half_a_grace_after_its_start():
    fleet = observed_fleet(240, 900.0, grace=6, coordinators=3, backends=60)
    earlier, fleet.ready = fleet.ready[:33], fleet.ready[33:]
    fleet.send_list("changes", [(name, "draining", 0) for name in earlier])
    join_with_bootstrap_tables(fleet, 240)  # excluding all earlier drains would cost more than assigning all
    fleet.run(DRAIN_AFTER)
    assigned = set(range(240)) - fleet.coordinator.planner.assignment.unassigned.keys()
    fleet.replace(2, 7)
    assert assigned
    assert not fleet.excluded[239]
    assert not [proxy for proxy, _ in fleet.late if proxy in assigned]


def test_metrics_show_how_long_proxies_wait_and_how_long_they_may_use_a_drained_backend():
    fleet = observed_fleet(240, 900.0, grace=6, coordinators=3)
    before = fleet.coordinator.metrics().planner
    assert (before.longest_wait, before.outstanding_drains, before.longest_drain) == (0, 0, 0)
    join_with_bootstrap_tables(fleet, 240)
    fleet.run(DRAIN_AFTER)
    fleet.drain(2)
    fleet.turn()
    metrics = fleet.coordinator.metrics().planner
    assert metrics.outstanding_drains == 2
    assert 0 < metrics.longest_drain < SECOND < 2 * SECOND < metrics.longest_wait < 4 * SECOND
    fleet.run(2)
    assert fleet.coordinator.metrics().planner.outstanding_drains == 0
