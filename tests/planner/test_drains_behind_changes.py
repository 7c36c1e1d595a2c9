"""Drains that start while ordinary changes fill the channel must reach all proxies within the grace."""

import pytest
from support.drain_observer import assigned_fleet

from granitespool.units import MILLISECOND

GRACE = 3.0  # s until a message has to leave the channel


def fill_with_changes(fleet):
    """Report other response times until the planner sends as many changes at once as it may."""
    times = fleet.random.sample(range(20, 400), len(fleet.ready))
    fleet.response_times = {number: time * MILLISECOND for number, time in enumerate(times)}
    largest = 0.0
    for turn in range(400):
        if turn % 20 == 0:
            fleet.report_load(None)
        fleet.turn()
        if fleet.backlog < largest and largest > 0.5 * fleet.settings.entries_per_s:
            return
        largest = fleet.backlog


# Guards against ordinary changes that fill more of the channel than the drain grace leaves
@pytest.mark.parametrize(
    ("proxies", "entries_per_s", "full_queue_time", "drains"),
    [(150, 990.0, 4.9, 3), (240, 1500.0, 4.9, 3), (145, 990.0, 4.6, 4), (100, 730.0, 4.9, 4)],
)
def test_drains_are_in_time_behind_a_burst_of_ordinary_changes(
    proxies, entries_per_s, full_queue_time, drains
):
    fleet = assigned_fleet(proxies, entries_per_s, GRACE, full_queue_time)
    fleet.run(6)
    fill_with_changes(fleet)
    assert fleet.backlog > 0.5 * entries_per_s
    fleet.drain(1)
    fleet.turn()
    fleet.drain(drains)
    fleet.run(GRACE + 2)
    assert not fleet.late
