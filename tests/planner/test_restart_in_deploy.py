"""Proxies that come back to a coordinator restarted in a deploy must leave its drained backends in time."""

import pytest
from support.restarted_fleet import TRANSIT_TIME, RestartedFleet

from granitespool.outgoing import Queue
from granitespool.scale import runner, schema

RULE_SLACK = 0.3  # s that the protocol adds to the drain grace on sockets
GRACE = 3.0 + RULE_SLACK - TRANSIT_TIME  # s until a message has to leave the channel


# Guards against drains that are sent after the grace because exclusions are cut by backends (issue 55)
@pytest.mark.parametrize(
    ("proxies", "entries_per_s", "missed", "batch", "interval", "batches"),
    [
        (150, 900, 30, 10, 1.6, 3),
        (320, 900, 6, 0, 1.0, 0),
        (320, 900, 8, 4, 2.0, 4),
        (320, 900, 30, 10, 1.6, 3),
        (320, 900, 40, 0, 1.0, 0),
        (320, 1500, 30, 10, 1.6, 3),
        (320, 3600, 30, 10, 1.6, 3),
        (640, 2400, 8, 4, 2.0, 4),
        (640, 2400, 30, 10, 1.6, 3),
        (640, 2400, 40, 0, 1.0, 0),
    ],
)
def test_drains_reach_all_proxies_in_time_after_a_restart_in_a_deploy(
    proxies, entries_per_s, missed, batch, interval, batches
):
    fleet = RestartedFleet(proxies, entries_per_s, GRACE, missed)
    fleet.deploy(batch, interval, batches, seconds=16)
    assert not fleet.late


# Guards against the same on real processes: SIGKILL in a deploy, back with the list of the first start
def test_a_coordinator_killed_in_a_deploy_keeps_the_rules():
    report = runner.play(schema.load("restart_in_deploy"))
    assert not report.failures
    assert report.broken == {}


def test_the_log_has_figures_where_the_channel_cannot_serve_all_proxies_in_time():
    fleet = RestartedFleet(640, 730, GRACE, missed=100)
    fleet.run(2.5)
    reports = fleet.coordinator.queues[Queue.LATE_DRAINS]
    fleet.run(10)
    late = {proxy for proxy, _ in fleet.late}
    assert max(report.proxies for report in reports) >= 0.5 * len(late) > 0
    assert all(report.lateness > 0 and report.entries > 730 for report in reports)


def test_the_log_has_no_late_drains_where_all_proxies_are_served_in_time():
    fleet = RestartedFleet(150, 900, GRACE, missed=30)
    fleet.run(10)
    assert not fleet.coordinator.queues[Queue.LATE_DRAINS]


# Guards against exclusions that are sent again and again while no proxy is assigned its table
def test_each_proxy_has_entries_of_its_table_though_a_backend_drains_each_two_seconds():
    fleet = RestartedFleet(400, 730, GRACE, missed=0, backends=30, coordinators=2)
    entries_each = 4 + 1 + 2  # header, barrier and complete table, two entries
    changes = 10 * 400 * (4 + 1)  # each drain at each proxy
    fleet.deploy(1, 2.0, 10, seconds=(400 * entries_each + changes) / 730)
    assert not fleet.coordinator.planner.assignment.unassigned


# Guards against parts of tables that the next list change of the same turn drains
@pytest.mark.parametrize(
    ("proxies", "entries_per_s", "backends"), [(145, 990, 30), (145, 990, 60), (240, 1500, 60)]
)
def test_list_changes_that_arrive_together_are_acted_on_together(proxies, entries_per_s, backends):
    fleet = RestartedFleet(
        proxies, entries_per_s, GRACE, 0, backends=backends, coordinators=4, redial=(0.0, 0.1)
    )
    fleet.run(0.45)
    for _ in range(6):
        fleet.drain(backends // 10)
    fleet.turn()
    parts = fleet.coordinator.planner.tables.partial
    assert parts
    assert not [proxy for proxy, part in parts.items() if part & fleet.drained_at.keys()]
    fleet.run(8)
    assert not fleet.late
