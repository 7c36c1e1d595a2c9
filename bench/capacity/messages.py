"""Kinds of messages, and events that leave tables stale, for two tables of docs/CAPACITY.md."""

from collections.abc import Callable

import msgspec

from bench.capacity import sweep
from bench.capacity.row_spec import ORDINARY_DAY, Formula, constant, cost, list_entries, of_costs, of_sizes
from bench.capacity.scales import Costs
from bench.capacity.sizes import Sizes
from bench.capacity.wire import RACK_SIZE
from granitespool.scale.budget import DAY

PING_BYTES = 100  # size of a health check's request or of a ping, rounded up
EMPTY_LINES_PER_S = 0.5  # rate of empty lines on a watch, set by the protocol
EMPTY_LINE_BYTES = 6  # size of an HTTP chunk that contains a newline
JOINED_BYTES = 90  # size of a frame `joined`, rounded up


class MessageKind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of message: its size, and its numbers in a mean second and in the worst second."""

    name: str
    sender: str
    receiver: str
    size: Formula  # bytes
    mean: Formula  # messages in a mean second
    worst: Formula  # messages in the worst second


def _load_reports(costs: Costs, sizes: Sizes) -> float:
    return max(1.0, costs["busy_reports"] - sizes.proxies)


MESSAGE_KINDS = (
    MessageKind(
        name="`heard`",
        sender="collector",
        receiver="coordinator",
        size=lambda costs, sizes: costs["heard_in_bytes"] / _load_reports(costs, sizes),
        mean=_load_reports,
        worst=of_sizes(lambda sizes: sizes.links),
    ),
    MessageKind(
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
    MessageKind(
        name="`applied`",
        sender="proxy",
        receiver="coordinator",
        size=cost("applied_bytes"),
        mean=cost("busy_messages"),
        worst=of_sizes(lambda sizes: sizes.proxies),
    ),
    MessageKind(
        name="`joined`",
        sender="proxy",
        receiver="coordinator",
        size=constant(JOINED_BYTES),
        mean=constant(0),
        worst=of_sizes(lambda sizes: sizes.proxies),
    ),
    MessageKind(
        name="`update`, ordinary",
        sender="coordinator",
        receiver="proxy",
        size=of_costs(lambda costs: costs["busy_out_bytes"] / max(1.0, costs["busy_messages"])),
        mean=cost("busy_messages"),
        worst=of_sizes(lambda sizes: sizes.proxies),
    ),
    MessageKind(
        name="`update`, table of a joining proxy",
        sender="coordinator",
        receiver="proxy",
        size=lambda costs, sizes: costs["join_bytes"] / sizes.proxies,
        mean=constant(0),
        worst=cost("join_bound_first_turn"),
    ),
    MessageKind(
        name="change of the list",
        sender="discovery's agent",
        receiver="coordinator",
        size=cost("entry_row_bytes"),
        mean=of_sizes(lambda sizes: list_entries(sizes) / DAY),
        worst=of_sizes(lambda sizes: sizes.backends / sizes.zones),
    ),
    MessageKind(
        name="empty line of the watch",
        sender="discovery's agent",
        receiver="coordinator",
        size=constant(EMPTY_LINE_BYTES),
        mean=constant(EMPTY_LINES_PER_S),
        worst=constant(1),
    ),
    MessageKind(
        name="complete list",
        sender="discovery's agent",
        receiver="coordinator",
        size=cost("list_bytes"),
        mean=constant(0),
        worst=constant(1),
    ),
    MessageKind(
        name="health check",
        sender="coordinator",
        receiver="backend",
        size=constant(PING_BYTES),
        mean=of_sizes(lambda sizes: ORDINARY_DAY.replaced * sizes.backends / sweep.PLAN.backends / DAY),
        worst=of_sizes(lambda sizes: min(64, sizes.backends)),
    ),
    MessageKind(
        name="configuration",
        sender="control machine",
        receiver="coordinator",
        size=cost("file_bytes"),
        mean=constant(ORDINARY_DAY.configurations / DAY),
        worst=constant(1),
    ),
    MessageKind(
        name="datagram",
        sender="coordinator",
        receiver="coordinator",
        size=constant(0),
        mean=constant(0),
        worst=constant(0),
    ),
)


class StaleEvent(msgspec.Struct, frozen=True, kw_only=True):
    """An event that leaves tables stale until the last proxy has applied the update."""

    name: str
    share: Callable[[Sizes], float]  # share of requests that go to backends which have left
    channel_cost: str  # name of the cost that is the channel's time, in s
    processor_cost: str  # name of the cost that is the processor's time, in ms
    per_day: float  # number of events a day in the plan's fleet


STALE_EVENTS = (
    StaleEvent(
        name="a backend fails",
        share=lambda sizes: 1 / sizes.backends,
        channel_cost="entry_s",
        processor_cost="entry_ms",
        per_day=ORDINARY_DAY.failed,
    ),
    StaleEvent(
        name="a backend is replaced",
        share=lambda sizes: 1 / sizes.backends,
        channel_cost="entry_s",
        processor_cost="entry_ms",
        per_day=ORDINARY_DAY.replaced,
    ),
    StaleEvent(
        name="a rack is gone, once in 45 days",
        share=lambda sizes: min(RACK_SIZE, sizes.backends // 4) / sizes.backends,
        channel_cost="rack_s",
        processor_cost="rack_turn_ms",
        per_day=1 / 45,
    ),
    StaleEvent(
        name="a zone is gone, once in 60 days",
        share=lambda sizes: 1 / sizes.zones,
        channel_cost="zone_s",
        processor_cost="zone_turn_ms",
        per_day=1 / 60,
    ),
)
