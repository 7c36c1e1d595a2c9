"""Input events of the planner, one type for each kind.

Times are whole nanoseconds. Fields are validated where messages enter the process
(`granitespool.net.messages`, `granitespool.simulator_adapter`) and not again here.
"""

from enum import StrEnum

import msgspec

from granitespool.endpoints import Endpoint
from granitespool.planner.status import BackendSnapshot, FleetSnapshot

LoadMetrics = dict[str, int | float]  # metric -> value, as `granitespool.endpoints.load_metrics` names them


class ListForm(StrEnum):
    """How an endpoint list relates to the previous ones."""

    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # all entries; a backend that is not listed is gone
    RESTORED = "restored"  # all entries, from a watch that was started anew
    FAILED = "failed"  # the list could not be read


class HealthCheckOutcome(StrEnum):
    """How a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # answered: the backend is at its limit
    TIMED_OUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"


class Event(msgspec.Struct, frozen=True):
    """Base of all events."""


class EndpointListUpdate(Event, frozen=True):
    """A complete endpoint list, or changes of it."""

    form: ListForm
    entries: list[Endpoint]


class LoadReport(Event, frozen=True, gc=False):
    """Attempts of the proxies of a zone at a backend."""

    zone: str
    backend: str
    attempts: int | float
    failures: int | float
    mean: int  # mean response time of the successful attempts, ns
    window: int  # duration that the report covers, ns
    load: LoadMetrics  # empty if the backend reported none


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
    bootstrap: bool  # it has only the bootstrap table
    rate: float  # approximate requests a second; 0 if unknown
    resumed: bool = False  # on its former stream, which was unreachable for a while


class ProxyLeft(Event, frozen=True):
    """The stream of a proxy has ended or is unreachable."""

    proxy: int
    unreachable: bool = False  # queued messages may still be delivered to it


class Acknowledged(Event, frozen=True, gc=False):
    """A proxy has applied everything up to an acknowledgement barrier."""

    proxy: int
    sequence: int | None  # None: invalid; the oldest barrier in flight is acknowledged
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
    payload: str  # hex


class SliceAssigned(Event, frozen=True):
    """A slice was assigned to this coordinator, or withdrawn from it."""

    table: int
    owned: bool


class SliceEntry(Event, frozen=True):
    """An entry that the store contains for an owned slice."""

    table: int
    backend: str
    weight: float


class SliceLoad(Event, frozen=True):
    """Requests of one class in a slice."""

    table: int
    request_class: str
    requests: int | float
    unanswered: int | float
    window: int  # duration that the report covers, ns


class Restored(Event, frozen=True):
    """The trusted part of a former process's snapshot.

    It is sent at a start, after the first endpoint list.
    """

    fleet: FleetSnapshot
    backends: dict[str, BackendSnapshot]  # by name; all are in the endpoint list
