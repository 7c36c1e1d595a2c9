"""Records of a planner's state: snapshots to restore from, operational state and metrics.

Times and costs are in ns; weights and shares have no unit.
"""

import msgspec

from granitespool.endpoints import Label, Phase
from granitespool.planner.records import MinimumRtt


class FleetSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The load of the whole fleet, to be restored by a later process."""

    is_overloaded: bool
    admitted_share: float
    success_ratio: float  # of attempts
    demand: dict[str | None, float]  # request class -> requests in about the last second


class LinkSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Observations of one zone's proxies at a backend; sums are decayed up to the snapshot."""

    attempts: float
    failures: float
    successes: float
    response_time: float  # sum over all successes, ns
    overloaded_reports: int
    consecutive_failures: float
    ejected_at: int | None
    slow_start_since: int | None
    minimum_rtt: MinimumRtt | None


class BackendSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A backend, to be restored by a later process."""

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

    weight: float  # the largest that is published
    cost: float | None  # of an attempt, ns; None if unknown
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

    joined: int  # number of proxies
    unassigned: int  # number of the joined proxies without a table
    in_flight: float  # table entries
    acknowledgement_latency: int  # of the last acknowledgement, ns
    is_overloaded: bool
    admitted_share: float
    success_ratio: float


class PlannerMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Gauges, and totals since the start, that can be summed over coordinators."""

    joined: int
    unassigned: int
    in_flight: float  # table entries
    in_flight_limit: float
    configured_rate: float  # entries a second
    observed_rate: float
    total_entries: float
    acknowledgement_latency: int  # of the last acknowledgement, ns
    is_overloaded: bool
    admitted_share: float
    success_ratio: float
    subsets: int
    ejected_links: int
    last_resort_links: int


class Outlier(msgspec.Struct, frozen=True, kw_only=True):
    """A backend without its ordinary share of the traffic."""

    reason: str
    attempts: float  # in about the last second
    failures: float  # in about the last second
    weight: float  # sum of all its entries


class Outliers(msgspec.Struct, frozen=True, kw_only=True):
    """The outliers with most attempts, and the number of omitted ones."""

    backends: dict[str, Outlier]  # by name, most attempts first
    omitted: int
