"""Proxies that come back to a coordinator restarted in a deploy must leave its drained backends in time."""

import pytest
from support.restarted_fleet import TRANSIT_TIME, RestartedFleet

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
