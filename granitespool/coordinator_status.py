"""What may be asked of a coordinator beside its planner's own records (`granitespool.planner.status`)."""

import msgspec

from granitespool.endpoints import Phase
from granitespool.planner.admission_levels import AdmissionLevel
from granitespool.planner.status import BackendStatus, PlannerMetrics, PlannerStatus


class EndpointState(msgspec.Struct, frozen=True):
    """What the endpoint list says of a backend."""

    phase: Phase
    started_at: int  # ns, Unix time; 0 where the list does not tell


class ZoneStatus(msgspec.Struct, frozen=True):
    """The tables of one zone taken together."""

    zone: str
    entries: int
    levels: dict[str | None, AdmissionLevel]  # by request class, the same for all tables of the zone


class CoordinatorStatus(msgspec.Struct, frozen=True):
    """The operational state of the whole."""

    planner: PlannerStatus
    zones: list[ZoneStatus]


class CoordinatorBackendStatus(msgspec.Struct, frozen=True):
    """A backend's operational state."""

    planner: BackendStatus
    is_excluded: bool  # at proxies that may use it


class CoordinatorMetrics(msgspec.Struct, frozen=True):
    """What can be summed over coordinators: gauges, and totals since the start."""

    planner: PlannerMetrics
    load_reports: int
