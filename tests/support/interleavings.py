"""Days made of steps on traced coordinators: releases, restarts, crashes, losses, lists that come late."""

from granitespool.units import SECOND
from support.traced_fleet import ChannelSettings, TracedFleet

SETTLE_TIME = 25  # s after the last step, in which all must come right; more where the channels are slow
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
    """Does one step."""
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
    """A complete list, or the last change once more, for a coordinator that runs."""
    if not coordinator.up:
        return
    if kind == "complete_list":
        coordinator.send_complete_list()
    else:
        coordinator.repeat_change()


def make_fleet(coordinators, proxies, backends, table_takes=0.1, **more):
    channel = ChannelSettings.for_fleet(coordinators, proxies, backends, table_takes)
    return TracedFleet(channel, coordinators, proxies, backends, **more)


def run_steps(steps, fleet):
    fleet.run(3)
    for kind, value in steps:
        perform_step(fleet, kind, value)
        fleet.run(1)
    fleet.run(SETTLE_TIME * fleet.slowdown)
    return fleet
