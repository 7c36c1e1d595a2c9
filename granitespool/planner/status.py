"""Records of a planner's state: snapshots for a later restoration, operational state and metrics.

Times and costs are in ns; weights and shares have no unit.
"""

import msgspec

from granitespool.endpoints import Label, Phase
from granitespool.planner.records import MinimumRtt


class FleetSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The load of the whole fleet, for restoration by a later process."""

    is_overloaded: bool
    admitted_share: float
    success_ratio: float  # successes per attempt
    demand: dict[str | None, float]  # request class -> requests in about the last second


class LinkSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Observations of a backend by the proxies of one zone. Sums are decayed up to the snapshot."""

    attempts: float
    failures: float
    successes: float
    response_time: float  # sum of the response times of all successes, ns
    overloaded_reports: int
    consecutive_failures: float
    ejected_at: int | None
    slow_start_since: int | None
    minimum_rtt: MinimumRtt | None


class BackendSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """State of a backend, for restoration by a later process."""

    phase: Phase
    zone: Label
    machine_type: Label
    configured_weight: float
    started_at: int
    left_ready_at: int
    slow_start_since: int | None
    verified: bool
    removal_unconfirmed: bool
    links: dict[str, LinkSnapshot]  # by zone


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The load of the fleet and the state of some backends."""

    fleet: FleetSnapshot
    backends: dict[str, BackendSnapshot]  # by name


class EntryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The entries of a backend in the tables of one zone."""

    weight: float  # largest published weight in these tables
    cost: float | None  # cost of an attempt, ns; None if unknown
    is_ejected: bool


class BackendStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A backend's operational state."""

    phase: Phase
    zone: Label
    machine_type: Label
    verified: bool
    entries: dict[str, EntryStatus]  # by zone


class PlannerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A planner's operational state."""

    joined: int  # number of joined proxies
    unassigned: int  # number of joined proxies without a table
    in_flight: float  # number of table entries
    acknowledgement_latency: int  # of the last acknowledgement, ns
    is_overloaded: bool
    admitted_share: float
    success_ratio: float


class PlannerMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Gauges and totals since the start. They can be added up over all coordinators."""

    joined: int
    unassigned: int
    longest_wait: int  # of an unassigned proxy, ns; 0 if there is none
    outstanding_drains: int  # backends that left the ready phase and that proxies may still use
    longest_drain: int  # since the first outstanding drain, ns; 0 if there is none
    in_flight: float  # number of table entries
    in_flight_limit: float  # number of table entries
    oldest_in_flight_age: int  # of the oldest unacknowledged message, ns
    configured_rate: float  # entries per second
    observed_rate: float  # entries per second
    total_entries: float
    entries_by_kind: dict[str, float]  # total_entries by what they were sent for
    acknowledgement_latency: int  # of the last acknowledgement, ns
    is_overloaded: bool
    admitted_share: float
    success_ratio: float
    subsets: int
    ejected_links: int
    last_resort_links: int


class LateDrains(msgspec.Struct, frozen=True, kw_only=True):
    """Proxies that leave draining backends after the grace, since the channel is too slow for all of them."""

    proxies: int  # number of late proxies
    entries: int  # in flight and for all proxies that are due, at least
    lateness: int  # of the last proxy, ns


class Outlier(msgspec.Struct, frozen=True, kw_only=True):
    """A backend that gets less than its ordinary share of the traffic."""

    reason: str
    attempts: float  # in about the last second
    failures: float  # in about the last second
    weight: float  # sum of the weights of all entries of the backend


class Outliers(msgspec.Struct, frozen=True, kw_only=True):
    """The outliers with the most attempts, and the number of other outliers."""

    backends: dict[str, Outlier]  # by name, most attempts first
    omitted: int  # number of outliers that `backends` does not contain
