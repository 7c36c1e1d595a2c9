"""What the stand-ins of a run observe of coordinators and of each other, as typed events in order of time.

A trace is the only input of the checker of the rules (`granitespool.scale.checker`). It holds what was seen
from outside, never what a coordinator believes, and shares no code with the planner. Times are whole
nanoseconds of one clock that all stand-ins read; weights have the unit of the tables on the wire."""

from typing import Literal

import msgspec

Phase = Literal["ready", "draining", "gone"]
Effect = Literal["free", "guarded", "single_shot"]  # as the settings on the wire have it


class Event(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Anything that was observed at one time."""

    at: int  # ns


class BackendListed(Event, frozen=True, kw_only=True):
    """Discovery has written a backend's phase to one coordinator."""

    coordinator: str
    backend: str
    phase: Phase
    started: int = 0  # ns; 0: long ago


class CoordinatorStarted(Event, frozen=True, kw_only=True):
    """A coordinator has answered its first ping after a start."""

    coordinator: str


class CoordinatorEnded(Event, frozen=True, kw_only=True):
    """A coordinator was asked to end, was killed, or was cut off from its proxies."""

    coordinator: str


class ProxyJoined(Event, frozen=True, kw_only=True):
    """A proxy has sent its joining to a coordinator."""

    proxy: int
    coordinator: str


class ProxyLeft(Event, frozen=True, kw_only=True):
    """A proxy's stream broke, went silent or was closed."""

    proxy: int
    coordinator: str
    by_coordinator: bool = False  # it ended the stream, or lost it by what it wrote: no leaving by the rules


class TableHeld(Event, frozen=True, kw_only=True):
    """What a proxy holds from now on, after it has applied a message."""

    proxy: int
    weights: dict[str, float]  # by backend, above 0
    excluded: frozenset[str] = frozenset()


class RequestExecuted(Event, frozen=True, kw_only=True):
    """A backend has carried out one attempt of a request."""

    request: int
    backend: str
    effect: Effect


class BackendLoad(Event, frozen=True, kw_only=True):
    """The work that reaches a backend from now on."""

    backend: str
    multiple: float  # of what it can do at its present age
    warming_up: bool
    informed_share: float = 1.0  # of the work, that from proxies whose tables were made knowing of its start


class MessageWritten(Event, frozen=True, kw_only=True):
    """A coordinator has written one complete message to a proxy."""

    coordinator: str
    proxy: int
    entries: int  # as the protocol page counts them, without the head
    parts: int
    largest_part: int  # bytes


class ChannelBacklog(Event, frozen=True, kw_only=True):
    """Table entries that wait in a coordinator's channel from now on, heads counted."""

    coordinator: str
    entries: float


AnyEvent = (
    BackendListed
    | CoordinatorStarted
    | CoordinatorEnded
    | ProxyJoined
    | ProxyLeft
    | TableHeld
    | RequestExecuted
    | BackendLoad
    | MessageWritten
    | ChannelBacklog
)


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """The rules' figures, as the settings give them; times in ns."""

    drain_grace: int
    empty_limit: int
    overload_multiple: float  # of what a backend that warms up can do at its age
    overload_time: int
    backlog_limit: float  # table entries, heads counted
    messages_limit: int  # to one proxy in `messages_span`; 0: any number
    messages_span: int
    slack: int = 300_000_000  # added to the drain's, the empty table's and the overloaded backend's time
    start_grace: int = 1_000_000_000  # no time limit begins sooner after a coordinator's first answer
    parts_limit: int = 64
    part_bytes: int = 1 << 20
    warm_up_time: int = 0  # from a backend's start on; only a warm one must be in every table
    only_draining_binds: bool = False  # a backend that is gone without having drained may still be held


class UpdateReceived(Event, frozen=True, kw_only=True):
    """A proxy has received one complete message; for the measurement of a profile, not for the checker."""

    proxy: int
    parts: tuple[int, ...]  # bytes of each part, the length before it counted
