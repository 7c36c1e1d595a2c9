"""Input events of the planner, one type for each kind of event.

Times are whole nanoseconds. The fields are validated when a message enters the process, in
`granitespool.net.messages` or `granitespool.simulator_adapter`. They are not validated again here.
"""

from enum import StrEnum

import msgspec

from granitespool.endpoints import Endpoint
from granitespool.planner.status import BackendSnapshot, FleetSnapshot

LoadMetrics = dict[str, int | float]  # metric name -> value, as `granitespool.endpoints.load_metrics` returns


class ListForm(StrEnum):
    """Which entries an endpoint list contains."""

    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # all entries; backends that are not in the list are gone
    RESTORED = "restored"  # all entries, read when the watch of the list was started again
    FAILED = "failed"  # the list could not be read


class HealthCheckOutcome(StrEnum):
    """Result of a health check."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # the backend answered that it has reached its limit
    TIMED_OUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"


class Event(msgspec.Struct, frozen=True):
    """Base of all events."""


class EndpointListUpdate(Event, frozen=True):
    """The complete endpoint list, or its changed entries."""

    form: ListForm
    entries: list[Endpoint]


class LoadReport(Event, frozen=True, gc=False):
    """Attempts that the proxies of a zone made at a backend."""

    zone: str
    backend: str
    attempts: int | float
    failures: int | float
    mean: int  # mean response time of the successful attempts, ns
    window: int  # duration that the report covers, ns
    load: LoadMetrics  # empty if the backend reported no metrics


class UsageReport(Event, frozen=True, gc=False):
    """Requests of one class that reached a proxy."""

    proxy: int
    request_class: str
    requests: int | float
    unanswered: int | float
    window: int  # duration that the report covers, ns


class ProxyJoined(Event, frozen=True):
    """The stream of a proxy is ready."""

    proxy: int
    zone: str
    bootstrap: bool  # the proxy has only the bootstrap table
    rate: float  # approximate requests per second; 0 if unknown
    resumed: bool = False  # the stream is the previous one, which was unreachable for a while


class ProxyLeft(Event, frozen=True):
    """The stream of a proxy has ended, or the proxy is unreachable."""

    proxy: int
    unreachable: bool = False  # queued messages may still be delivered to the proxy


class Acknowledged(Event, frozen=True, gc=False):
    """A proxy has applied all messages up to an acknowledgement barrier."""

    proxy: int
    # Number of the barrier, or None if the proxy sent an invalid number. None acknowledges the oldest barrier
    # in flight.
    sequence: int | None
    latency: int | None  # ns since the barrier was sent; None if unknown


class HealthCheckResult(Event, frozen=True):
    """A health check has ended."""

    backend: str
    outcome: HealthCheckOutcome
    latency: int  # ns
    load: LoadMetrics


class GossipReceived(Event, frozen=True):
    """A datagram from another coordinator."""

    peer: int
    payload: str  # in hex


class SliceAssigned(Event, frozen=True):
    """The store assigned a slice to this coordinator, or withdrew the slice."""

    table: int
    owned: bool


class SliceEntry(Event, frozen=True):
    """A table entry that the store contains for a slice of this coordinator."""

    table: int
    backend: str
    weight: float


class SliceLoad(Event, frozen=True):
    """Requests of one class that reached the proxies of a slice."""

    table: int
    request_class: str
    requests: int | float
    unanswered: int | float
    window: int  # duration that the report covers, ns


class Restored(Event, frozen=True):
    """The trusted part of the snapshot that a former process wrote.

    The event is sent when the coordinator starts, after the first endpoint list.
    """

    fleet: FleetSnapshot
    backends: dict[str, BackendSnapshot]  # by name; the endpoint list contains all of them
