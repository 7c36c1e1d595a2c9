"""What stand-ins observe of coordinators and of each other, as typed events in order of time.

A trace is the only input of the checker of the rules (`granitespool.scale.checker`). It holds what the
parties saw, never what a coordinator believes, and it shares no code with the planner. Times are whole
nanoseconds of one clock that all parties read; weights have the unit of the tables on the wire.
"""

from typing import Literal

import msgspec


class Event(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Anything that was observed at one time."""

    at: int  # ns


class BackendTold(Event, frozen=True, kw_only=True):
    """Discovery has written a backend's phase to one coordinator."""

    coordinator: str
    backend: str
    phase: Literal["ready", "draining", "gone"]
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
    lines: dict[str, float]  # backend -> weight above 0
    shut_out: frozenset[str] = frozenset()


class RequestExecuted(Event, frozen=True, kw_only=True):
    """A backend has carried out one try of a request."""

    request: int
    backend: str
    effect: Literal["free", "guarded", "single_shot"]


class BackendLoad(Event, frozen=True, kw_only=True):
    """The work that reaches a backend from now on, as a multiple of what it can do at its present age."""

    backend: str
    multiple: float
    cold: bool
    knowing: float = 1.0  # share of it from proxies whose tables were made with knowledge of its start


class MessageWritten(Event, frozen=True, kw_only=True):
    """A coordinator has written one whole message to a proxy."""

    coordinator: str
    proxy: int
    lines: int  # as the protocol page counts them, without the head
    parts: int
    largest_part: int  # bytes


class ChannelWaiting(Event, frozen=True, kw_only=True):
    """Lines that wait in a coordinator's channel from now on, heads counted."""

    coordinator: str
    lines: float


AnyEvent = (
    BackendTold
    | CoordinatorStarted
    | CoordinatorEnded
    | ProxyJoined
    | ProxyLeft
    | TableHeld
    | RequestExecuted
    | BackendLoad
    | MessageWritten
    | ChannelWaiting
)


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """The rules' figures, as the settings tell them; times in ns."""

    drain_grace: int
    empty_limit: int
    fall_multiple: float  # of what a cold backend can do at its age
    fall_time: int
    backlog_limit: float  # lines, heads counted
    messages_limit: int  # to one proxy in `messages_span`
    messages_span: int
    slack: int = 300_000_000  # added to the drain's, the empty table's and the cold backend's time
    from_start: int = 1_000_000_000  # no time limit begins sooner after a coordinator's first answer
    parts_limit: int = 64
    part_bytes: int = 1 << 20
    cold_time: int = 0  # since its start until a backend is warm: only a warm one must be in every table
    drain_needs_entry: bool = False  # a backend that is gone without having drained binds nobody
