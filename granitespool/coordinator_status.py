"""Status records of a coordinator, which contain those of its planner (`granitespool.planner.status`)."""

import msgspec

from granitespool.endpoints import Phase
from granitespool.planner.admission_levels import AdmissionLevel
from granitespool.planner.status import BackendStatus, PlannerMetrics, PlannerStatus


class EndpointState(msgspec.Struct, frozen=True):
    """The state of a backend in the endpoint list."""

    phase: Phase
    started_at: int  # ns, Unix time; 0 if the list does not contain it


class ZoneStatus(msgspec.Struct, frozen=True):
    """The entries and admission levels of all tables of a zone."""

    zone: str
    entries: int
    levels: dict[str | None, AdmissionLevel]  # by request class, the same for all tables of the zone


class CoordinatorStatus(msgspec.Struct, frozen=True):
    """The operational state of the fleet and of each zone."""

    planner: PlannerStatus
    zones: list[ZoneStatus]


class CoordinatorBackendStatus(msgspec.Struct, frozen=True):
    """A backend's operational state."""

    planner: BackendStatus
    is_excluded: bool  # for proxies that might use it


class CoordinatorMetrics(msgspec.Struct, frozen=True):
    """Metrics that can be summed over coordinators: gauges, and totals since the start."""

    planner: PlannerMetrics
    load_reports: int
