"""Messages by kind, and events that leave tables stale: what two tables of docs/CAPACITY.md are made of."""

from collections.abc import Callable

import msgspec

from bench.capacity import sweep
from bench.capacity.row_spec import ORDINARY_DAY, Formula, constant, cost, list_entries, of_costs, of_sizes
from bench.capacity.scales import Costs
from bench.capacity.sizes import Sizes
from bench.capacity.wire import RACK
from granitespool.scale.budget import DAY

PING_BYTES = 100  # bytes of a health check's request, as the program writes it, or of a ping; rounded up
EMPTY_LINES_PER_S = 0.5  # the protocol's
EMPTY_LINE_BYTES = 6  # a chunk that holds a newline
JOINED_BYTES = 90  # bytes of a joining's frame; rounded up


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of message: its size, and how many come in a mean and in the worst second."""

    name: str
    sender: str
    receiver: str
    size: Formula  # bytes
    mean: Formula  # a second
    worst: Formula  # in the worst second


def _heard(costs: Costs, sizes: Sizes) -> float:
    return max(1.0, costs["busy_reports"] - sizes.proxies)


KINDS = (
    Kind(
        name="`heard`",
        sender="collector",
        receiver="coordinator",
        size=lambda costs, sizes: costs["heard_in_bytes"] / _heard(costs, sizes),
        mean=_heard,
        worst=of_sizes(lambda sizes: sizes.links),
    ),
    Kind(
        name="`usage`",
        sender="proxy or collector",
        receiver="coordinator",
        size=lambda costs, sizes: (costs["busy_in_bytes"] - costs["heard_in_bytes"]) / sizes.proxies,
        mean=of_sizes(lambda sizes: sizes.proxies),
        worst=of_sizes(
            lambda sizes: min(
                sizes.proxies * sizes.classes, max(sizes.proxies, sizes.requests / sizes.planners)
            )
        ),
    ),
    Kind(
        name="`applied`",
        sender="proxy",
        receiver="coordinator",
        size=cost("applied_bytes"),
        mean=cost("busy_messages"),
        worst=of_sizes(lambda sizes: sizes.proxies),
    ),
    Kind(
        name="`joined`",
        sender="proxy",
        receiver="coordinator",
        size=constant(JOINED_BYTES),
        mean=constant(0),
        worst=of_sizes(lambda sizes: sizes.proxies),
    ),
    Kind(
        name="`update`, ordinary",
        sender="coordinator",
        receiver="proxy",
        size=of_costs(lambda costs: costs["busy_out_bytes"] / max(1.0, costs["busy_messages"])),
        mean=cost("busy_messages"),
        worst=of_sizes(lambda sizes: sizes.proxies),
    ),
    Kind(
        name="`update`, a joiner's table",
        sender="coordinator",
        receiver="proxy",
        size=lambda costs, sizes: costs["join_bytes"] / sizes.proxies,
        mean=constant(0),
        worst=cost("join_bound_first_turn"),
    ),
    Kind(
        name="change of the list",
        sender="discovery's agent",
        receiver="coordinator",
        size=cost("entry_row_bytes"),
        mean=of_sizes(lambda sizes: list_entries(sizes) / DAY),
        worst=of_sizes(lambda sizes: sizes.backends / sizes.zones),
    ),
    Kind(
        name="empty line of the watch",
        sender="discovery's agent",
        receiver="coordinator",
        size=constant(EMPTY_LINE_BYTES),
        mean=constant(EMPTY_LINES_PER_S),
        worst=constant(1),
    ),
    Kind(
        name="whole list",
        sender="discovery's agent",
        receiver="coordinator",
        size=cost("list_bytes"),
        mean=constant(0),
        worst=constant(1),
    ),
    Kind(
        name="health check",
        sender="coordinator",
        receiver="backend",
        size=constant(PING_BYTES),
        mean=of_sizes(lambda sizes: ORDINARY_DAY.replaced * sizes.backends / sweep.PLAN.backends / DAY),
        worst=of_sizes(lambda sizes: min(64, sizes.backends)),
    ),
    Kind(
        name="configuration",
        sender="control machine",
        receiver="coordinator",
        size=cost("file_bytes"),
        mean=constant(ORDINARY_DAY.configurations / DAY),
        worst=constant(1),
    ),
    Kind(
        name="datagram",
        sender="coordinator",
        receiver="coordinator",
        size=constant(0),
        mean=constant(0),
        worst=constant(0),
    ),
)


class Stale(msgspec.Struct, frozen=True, kw_only=True):
    """Something that leaves tables stale until the last proxy has its update."""

    name: str
    share: Callable[[Sizes], float]  # of requests that go to what has left
    seconds: str  # the cost that tells the channel's time
    turn: str  # the cost that tells the processor's time, in ms
    a_day: float  # at the plan's fleet


STALE = (
    Stale(
        name="a backend fails",
        share=lambda sizes: 1 / sizes.backends,
        seconds="entry_s",
        turn="entry_ms",
        a_day=ORDINARY_DAY.failed,
    ),
    Stale(
        name="a backend is replaced",
        share=lambda sizes: 1 / sizes.backends,
        seconds="entry_s",
        turn="entry_ms",
        a_day=ORDINARY_DAY.replaced,
    ),
    Stale(
        name="a rack is gone, once in 45 days",
        share=lambda sizes: min(RACK, sizes.backends // 4) / sizes.backends,
        seconds="rack_s",
        turn="rack_turn_ms",
        a_day=1 / 45,
    ),
    Stale(
        name="a zone is gone, once in 60 days",
        share=lambda sizes: 1 / sizes.zones,
        seconds="zone_s",
        turn="zone_turn_ms",
        a_day=1 / 60,
    ),
)
