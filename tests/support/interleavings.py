"""Days made of steps on traced coordinators: releases, restarts, crashes, losses, lists that come late."""

from granitespool.units import SECOND
from support.traced_fleet import ChannelSettings, TracedFleet

CALM = 25  # s after the last step, in which all must come right; more where the channels are slow
BUSY = [
    ("late", (1, 3)),
    ("release", 6),
    ("dies", 0),
    ("again", 1),
    ("wait", 4),
    ("restart", 3),
    ("complete", 2),
    ("loses", 5),
    ("wait", 8),
    ("crash", 2),
    ("go_home", 0),
]


def take(fleet, kind, value):
    """Does one step."""
    if kind in ("release", "restart", "crash"):
        getattr(fleet.backends, kind)(value)
    elif kind == "loses":
        fleet.lose_streams(value)
    elif kind in ("dies", "replaced"):
        fleet.end_coordinator(value, (6 if kind == "dies" else 1) * SECOND)
    elif kind == "go_home":
        fleet.go_home()
    elif kind == "wait":
        fleet.run(value)
    elif kind == "late":
        number, seconds = value
        fleet.coordinators[number % len(fleet.coordinators)].list_delay = seconds * SECOND
    else:
        send_list_again(fleet.coordinators[value % len(fleet.coordinators)], kind)


def send_list_again(coordinator, kind):
    """A complete list, or the last change once more, for a coordinator that runs."""
    if not coordinator.up:
        return
    if kind == "complete":
        coordinator.send_complete_list()
    else:
        coordinator.repeat_change()


def fitting(coordinators, proxies, backends, table_takes=0.1, **more):
    channel = ChannelSettings.fitting(coordinators, proxies, backends, table_takes)
    return TracedFleet(channel, coordinators, proxies, backends, **more)


def played(steps, fleet):
    fleet.run(3)
    for kind, value in steps:
        take(fleet, kind, value)
        fleet.run(1)
    fleet.run(CALM * fleet.slowdown)
    return fleet
