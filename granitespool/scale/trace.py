"""The trace of a run: typed events that the stand-ins observe at the coordinators and at each other.

A trace is the only input of the checker of the rules (`granitespool.scale.checker`). It contains only what
is visible from outside, never a coordinator's own state, and shares no code with the planner. Events are in
order of time. Times are whole nanoseconds of one clock that all stand-ins read; weights have the unit of the
tables on the wire.
"""

from typing import Literal

import msgspec

Phase = Literal["ready", "draining", "gone"]
Effect = Literal["free", "guarded", "single_shot"]  # the values of the settings on the wire


class Event(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The base class of all events."""

    at: int  # ns


class BackendListed(Event, frozen=True, kw_only=True):
    """Discovery has written an entry of the endpoint list to one coordinator."""

    coordinator: str
    backend: str
    phase: Phase
    started: int = 0  # ns of the backend's start; 0: long ago


class CoordinatorStarted(Event, frozen=True, kw_only=True):
    """A coordinator has answered its first ping after a start."""

    coordinator: str


class CoordinatorEnded(Event, frozen=True, kw_only=True):
    """A coordinator received SIGTERM, was killed, or was cut off from its proxies."""

    coordinator: str


class ProxyJoined(Event, frozen=True, kw_only=True):
    """A proxy has sent its `joined` message to a coordinator."""

    proxy: int
    coordinator: str


class ProxyLeft(Event, frozen=True, kw_only=True):
    """A proxy's stream was reset, was cut off or was closed."""

    proxy: int
    coordinator: str
    # The coordinator closed the stream or wrote a malformed message; the rules do not count this as a leave
    by_coordinator: bool = False


class TableHeld(Event, frozen=True, kw_only=True):
    """The table that a proxy uses from now on, after it has applied a message."""

    proxy: int
    weights: dict[str, float]  # by backend; only weights above 0
    excluded: frozenset[str] = frozenset()


class RequestExecuted(Event, frozen=True, kw_only=True):
    """A backend has executed one attempt of a request."""

    request: int
    backend: str
    effect: Effect


class BackendLoad(Event, frozen=True, kw_only=True):
    """The load of a backend from now on."""

    backend: str
    multiple: float  # load divided by the backend's capacity at its age
    warming_up: bool
    informed_share: float = 1.0  # share of load by proxies that got a weight after the backend's start


class MessageWritten(Event, frozen=True, kw_only=True):
    """A coordinator has written one complete message to a proxy."""

    coordinator: str
    proxy: int
    entries: int  # entries as the protocol counts them, without the header
    parts: int
    largest_part: int  # bytes, without the length prefix


class ChannelBacklog(Event, frozen=True, kw_only=True):
    """The table entries in the queue of a coordinator's channel from now on, headers included."""

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
    """The limits of the rules, by the settings; times are in ns."""

    drain_grace: int
    empty_limit: int
    overload_multiple: float  # of the capacity that a warming-up backend has at its age
    overload_time: int
    backlog_limit: float  # table entries, headers included
    messages_limit: int  # to one proxy in `messages_span`; 0: no limit
    messages_span: int
    slack: int = 300_000_000  # added to the time limits of drains, empty tables and overloaded backends
    start_grace: int = 1_000_000_000  # from a coordinator's first answer until a time limit may begin
    parts_limit: int = 64
    part_bytes: int = 1 << 20
    warm_up_time: int = 0  # from a backend's start; only a warmed-up backend makes an empty table a violation
    only_draining_binds: bool = False  # a backend removed without a drain may stay in tables


class UpdateReceived(Event, frozen=True, kw_only=True):
    """A proxy has received one complete message; for measuring a profile, not for the checker."""

    proxy: int
    parts: tuple[int, ...]  # bytes of each part with its length prefix
