"""Sequences of steps on a traced fleet: releases, restarts, crashes, lost streams and delayed lists."""

from granitespool.units import SECOND
from support.traced_fleet import ChannelSettings, TracedFleet

SETTLE_TIME = 25  # s after the last step to recover; longer by the slowdown of the channels
BUSY_DAY = [
    ("delay_list", (1, 3)),
    ("release", 6),
    ("stop_coordinator", 0),
    ("repeat_change", 1),
    ("wait", 4),
    ("restart", 3),
    ("complete_list", 2),
    ("lose_streams", 5),
    ("wait", 8),
    ("crash", 2),
    ("return_home", 0),
]


def perform_step(fleet, kind, value):
    """Perform one step on the fleet."""
    if kind in ("release", "restart", "crash"):
        getattr(fleet.backends, kind)(value)
    elif kind == "lose_streams":
        fleet.lose_streams(value)
    elif kind in ("stop_coordinator", "replace_coordinator"):
        fleet.end_coordinator(value, (6 if kind == "stop_coordinator" else 1) * SECOND)
    elif kind == "return_home":
        fleet.return_home()
    elif kind == "wait":
        fleet.run(value)
    elif kind == "delay_list":
        number, seconds = value
        fleet.coordinators[number % len(fleet.coordinators)].list_delay = seconds * SECOND
    else:
        resend_list(fleet.coordinators[value % len(fleet.coordinators)], kind)


def resend_list(coordinator, kind):
    """Send the complete list, or the last change again, to a coordinator if it is running."""
    if not coordinator.up:
        return
    if kind == "complete_list":
        coordinator.send_complete_list()
    else:
        coordinator.repeat_change()


def make_fleet(coordinators, proxies, backends, table_time=0.1, **more):
    """Return a traced fleet with channel settings that fit its size."""
    channel = ChannelSettings.for_fleet(coordinators, proxies, backends, table_time)
    return TracedFleet(channel, coordinators, proxies, backends, **more)


def run_steps(steps, fleet):
    """Run the steps one second apart, then the time to recover, and return the fleet."""
    fleet.run(3)
    for kind, value in steps:
        perform_step(fleet, kind, value)
        fleet.run(1)
    fleet.run(SETTLE_TIME * fleet.slowdown)
    return fleet
