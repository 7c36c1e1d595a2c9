"""Messages by kind, and events that leave tables stale: what two tables of docs/CAPACITY.md are made of."""

from collections.abc import Callable

import msgspec

from bench.capacity import sweep
from bench.capacity.fleet import RACK, Sizes
from bench.capacity.maker import ORDINARY_DAY, list_entries
from bench.capacity.scales import Costs
from granitespool.scale.budget import DAY

PING_BYTES = 100  # bytes of a probe's request, as the program writes it, or of a ping; rounded up
EMPTY_LINES_PER_S = 0.5  # the protocol's
EMPTY_LINE_BYTES = 6  # a chunk that holds a newline
JOINED_BYTES = 90  # bytes of a joining's frame; rounded up


class Kind(msgspec.Struct, frozen=True):
    """One kind of message: its size, and how many come in a mean and in the worst second."""

    name: str
    sender: str
    receiver: str
    size: Callable[[Costs, Sizes], float]  # bytes
    mean: Callable[[Costs, Sizes], float]  # a second
    worst: Callable[[Costs, Sizes], float]  # in the worst second


def _heard(costs: Costs, sizes: Sizes) -> float:
    return max(1.0, costs["busy_reports"] - sizes.proxies)


KINDS = (
    Kind(
        "`heard`",
        "collector",
        "coordinator",
        lambda c, s: c["heard_in_bytes"] / _heard(c, s),
        _heard,
        lambda c, s: s.links,
    ),
    Kind(
        "`usage`",
        "proxy or collector",
        "coordinator",
        lambda c, s: (c["busy_in_bytes"] - c["heard_in_bytes"]) / s.proxies,
        lambda c, s: s.proxies,
        lambda c, s: min(s.proxies * s.classes, max(s.proxies, s.requests / s.planners)),
    ),
    Kind(
        "`applied`",
        "proxy",
        "coordinator",
        lambda c, s: c["applied_bytes"],
        lambda c, s: c["busy_messages"],
        lambda c, s: s.proxies,
    ),
    Kind(
        "`joined`",
        "proxy",
        "coordinator",
        lambda c, s: JOINED_BYTES,
        lambda c, s: 0,
        lambda c, s: s.proxies,
    ),
    Kind(
        "`update`, ordinary",
        "coordinator",
        "proxy",
        lambda c, s: c["busy_out_bytes"] / max(1.0, c["busy_messages"]),
        lambda c, s: c["busy_messages"],
        lambda c, s: s.proxies,
    ),
    Kind(
        "`update`, a joiner's table",
        "coordinator",
        "proxy",
        lambda c, s: c["join_bytes"] / s.proxies,
        lambda c, s: 0,
        lambda c, s: c["join_bound_first_turn"],
    ),
    Kind(
        "change of the list",
        "discovery's agent",
        "coordinator",
        lambda c, s: c["entry_row_bytes"],
        lambda c, s: list_entries(s) / DAY,
        lambda c, s: s.backends / s.zones,
    ),
    Kind(
        "empty line of the watch",
        "discovery's agent",
        "coordinator",
        lambda c, s: EMPTY_LINE_BYTES,
        lambda c, s: EMPTY_LINES_PER_S,
        lambda c, s: 1,
    ),
    Kind(
        "whole list",
        "discovery's agent",
        "coordinator",
        lambda c, s: c["list_bytes"],
        lambda c, s: 0,
        lambda c, s: 1,
    ),
    Kind(
        "probe",
        "coordinator",
        "backend",
        lambda c, s: PING_BYTES,
        lambda c, s: ORDINARY_DAY.replaced * s.backends / sweep.PLAN.backends / DAY,
        lambda c, s: min(64, s.backends),
    ),
    Kind(
        "configuration",
        "control machine",
        "coordinator",
        lambda c, s: c["file_bytes"],
        lambda c, s: ORDINARY_DAY.configurations / DAY,
        lambda c, s: 1,
    ),
    Kind("datagram", "coordinator", "coordinator", lambda c, s: 0, lambda c, s: 0, lambda c, s: 0),
)


class Stale(msgspec.Struct, frozen=True):
    """Something that leaves tables stale until the last proxy has its orders."""

    name: str
    share: Callable[[Sizes], float]  # of requests that go to what has left
    seconds: str  # the cost that tells the channel's time
    turn: str  # the cost that tells the processor's time, in ms
    a_day: float  # at the plan's fleet


STALE = (
    Stale(
        "a backend fails",
        lambda s: 1 / s.backends,
        "entry_s",
        "entry_ms",
        ORDINARY_DAY.failed,
    ),
    Stale(
        "a backend is replaced",
        lambda s: 1 / s.backends,
        "entry_s",
        "entry_ms",
        ORDINARY_DAY.replaced,
    ),
    Stale(
        "a rack is gone, once in 45 days",
        lambda s: min(RACK, s.backends // 4) / s.backends,
        "rack_s",
        "rack_turn_ms",
        1 / 45,
    ),
    Stale("a zone is gone, once in 60 days", lambda s: 1 / s.zones, "zone_s", "zone_turn_ms", 1 / 60),
)
