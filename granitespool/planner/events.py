"""What can happen to a planner: one typed event for each kind of input.

Times are whole nanoseconds. Fields were checked at the border (`granitespool.net.messages`,
`granitespool.simulator_adapter`), so nothing is checked again here.
"""

from enum import StrEnum

import msgspec

from granitespool.endpoints import Endpoint
from granitespool.planner.status import BackendSnapshot, FleetSnapshot

LoadMetrics = dict[str, int | float]  # metric -> value, as `granitespool.endpoints.load_metrics` names them


class ListForm(StrEnum):
    """How an endpoint list relates to the ones before."""

    CHANGES = "changes"  # only the entries that changed
    COMPLETE = "complete"  # all entries; what it does not name is gone
    RESTORED = "restored"  # all entries, as a watch that starts anew tells them
    FAILED = "failed"  # the list could not be read


class HealthCheckOutcome(StrEnum):
    """How a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # answered, but at its limit
    TIMED_OUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"


class Event(msgspec.Struct, frozen=True):
    """Base of all events."""


class EndpointListUpdate(Event, frozen=True):
    """The endpoint list, or changes of it."""

    form: ListForm
    entries: list[Endpoint]


class LoadReport(Event, frozen=True, gc=False):
    """What the proxies of a zone saw at a backend."""

    zone: str
    backend: str
    attempts: int | float
    failures: int | float
    mean: int  # ns that a successful attempt took
    window: int  # ns that the report covers
    load: LoadMetrics  # empty where the backend reported none


class UsageReport(Event, frozen=True, gc=False):
    """The requests of one class that reached a proxy."""

    proxy: int
    request_class: str
    requests: int | float
    unanswered: int | float
    window: int  # ns that the report covers


class ProxyJoined(Event, frozen=True):
    """A proxy's stream is ready."""

    proxy: int
    zone: str
    bootstrap: bool  # it holds only the table that proxies start with
    rate: float  # requests a second, roughly; 0 where it was not told
    resumed: bool = False  # on the stream that was unreachable for a while


class ProxyLeft(Event, frozen=True):
    """A proxy's stream has ended, or is unreachable."""

    proxy: int
    unreachable: bool = False  # what waits for it may still be on its way


class Acknowledged(Event, frozen=True, gc=False):
    """A proxy has applied everything up to an acknowledgement barrier."""

    proxy: int
    sequence: int | None  # None: an older one than it named, at least the oldest
    latency: int | None  # ns since the barrier was sent; None where that is not known


class HealthCheckResult(Event, frozen=True):
    """A health check has ended."""

    backend: str
    outcome: HealthCheckOutcome
    latency: int  # ns
    load: LoadMetrics


class GossipReceived(Event, frozen=True):
    """A datagram of another coordinator."""

    peer: int
    payload: str  # hex


class SliceAssigned(Event, frozen=True):
    """This coordinator owns a slice's table from now on, or no more."""

    table: int
    owned: bool


class SliceEntry(Event, frozen=True):
    """One entry that the store holds of an owned slice."""

    table: int
    backend: str
    weight: float


class SliceLoad(Event, frozen=True):
    """The requests of one class in a slice."""

    table: int
    request_class: str
    requests: int | float
    unanswered: int | float
    window: int  # ns that the report covers


class Restored(Event, frozen=True):
    """What is believed of a former process's snapshot; at a start, after the first endpoint list."""

    fleet: FleetSnapshot
    backends: dict[str, BackendSnapshot]  # by name; all of them are in the list
