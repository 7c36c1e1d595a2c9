"""Reads the state subtree from a coordinator in steps, so that no turn of the event loop is long; no I/O.

    state = OperationalState(coordinator, facts)
    for _ in state.steps(): ...             # the event loop runs between two steps
    state.tree                              # the complete state subtree

A backend is read within one step. Changes after that step appear only in the next reading.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple, Protocol

from granitespool.coordinator_status import CoordinatorBackendStatus, CoordinatorStatus, ZoneStatus
from granitespool.endpoints import Phase
from granitespool.management.data_tree import Tree
from granitespool.management.mapping import decimal_text
from granitespool.planner.status import EntryStatus, PlannerStatus
from granitespool.units import MICROSECOND

LINKS_PER_STEP = 40  # pairs of a backend and a zone that one step reads; this takes about 0.5 ms
MAX_FIGURE = 1e9  # the upper bound of the YANG type figure
MAX_COST = 10**15  # us, the upper bound of the YANG type span


class Coordinator(Protocol):
    """The part of the coordinator's interface from which the state is read."""

    def status(self) -> CoordinatorStatus:
        """Return the state of the fleet and of the tables of each zone."""

    def endpoint_states(self) -> Mapping[str, object]:
        """Return a mapping whose keys are the names of all backends."""

    def backend_status(self, name: str) -> CoordinatorBackendStatus | None:
        """Return the state of a backend and of its links, None if there is no such backend."""


class StateFolderMetrics(NamedTuple):
    """Metrics of the state folder.

    `bytes_written` and `batches_written` are counted since the start; `is_failing` is whether the disk
    currently rejects writes.
    """

    bytes_written: int
    batches_written: int
    is_failing: bool


class ServiceFacts(NamedTuple):
    """State of the service that is not part of the coordinator; `list_age` is in ns."""

    name: str
    version: int
    commits: int
    rejected: int
    list_index: int
    list_age: int
    has_endpoint_list: bool
    folder: StateFolderMetrics | None


class OperationalState:
    """A reading of the state; `tree` is complete once `steps` has ended."""

    def __init__(self, coordinator: Coordinator, facts: ServiceFacts) -> None:
        self.coordinator = coordinator
        self.facts = facts
        self.tree: Tree = {}

    def steps(self) -> Iterator[None]:
        """Read the state part by part, and yield between two parts until the tree is complete."""
        status = self.coordinator.status()
        self.tree.update(_service_tree(self.facts))
        self.tree.update(_fleet_tree(status.planner))
        self.tree["counters"] = {"commits": self.facts.commits, "refused": self.facts.rejected}
        if self.facts.folder:
            self.tree["state-folder"] = _folder_tree(self.facts.folder)
        if status.zones:
            self.tree["table"] = [_table_tree(zone) for zone in status.zones]
        backends = []
        backends_per_step = max(1, LINKS_PER_STEP // max(1, len(status.zones)))
        for number, name in enumerate(list(self.coordinator.endpoint_states())):
            if number % backends_per_step == 0:
                yield
            backend_status = self.coordinator.backend_status(name)
            if backend_status is not None:  # None if the backend was removed after the reading began
                backends.append(_backend_tree(name, backend_status))
        if backends:
            self.tree["backend"] = backends
        yield


def _service_tree(facts: ServiceFacts) -> Tree:
    return {
        "name": facts.name,
        "version": facts.version,
        "discovery": {
            "index": str(facts.list_index),
            "named": facts.has_endpoint_list,
            "age": str(max(0, facts.list_age) // MICROSECOND),
        },
    }


def _fleet_tree(status: PlannerStatus) -> Tree:
    return {
        "proxies": {"joined": status.joined, "waiting": status.unassigned},
        "channel": {
            "waiting": str(max(0, int(status.in_flight))),
            "lag": str(int(status.acknowledgement_latency) // MICROSECOND),
        },
        "fleet": {
            "strained": status.is_overloaded,
            "let-in": decimal_text(status.admitted_share),
            "answered": decimal_text(min(1.0, max(0.0, status.success_ratio))),
        },
    }


def _folder_tree(metrics: StateFolderMetrics) -> Tree:
    written, batches, failing = metrics
    return {"written": str(written), "batches": batches, "failing": failing}


def _table_tree(zone: ZoneStatus) -> Tree:
    table: Tree = {"zone": zone.zone, "lines": zone.entries}
    if zone.levels:
        table["level"] = [
            {
                "class": name,
                "share": decimal_text(min(level.share, MAX_FIGURE)),
                "retry": level.retries,
            }
            for name, level in zone.levels.items()
        ]
    return table


def _backend_tree(name: str, status: CoordinatorBackendStatus) -> Tree:
    planner_status = status.planner
    backend: Tree = {"name": name, "phase": str(planner_status.phase), "proven": planner_status.verified}
    if isinstance(planner_status.zone, str):
        backend["zone"] = planner_status.zone
    if isinstance(planner_status.machine_type, str):
        backend["kind"] = planner_status.machine_type
    if planner_status.entries:
        backend["seen-from"] = [
            _link_tree(status, zone, entry) for zone, entry in planner_status.entries.items()
        ]
    return backend


def _link_tree(status: CoordinatorBackendStatus, zone: str, entry: EntryStatus) -> Tree:
    link: Tree = {"zone": zone, "cut": entry.is_ejected}
    reason = _absence_reason(status, entry)
    if entry.weight:
        link["weight"] = decimal_text(min(entry.weight, MAX_FIGURE))
    elif reason:
        link["out"] = reason
    if entry.cost is not None:
        link["cost"] = str(min(int(entry.cost) // MICROSECOND, MAX_COST))
    return link


def _absence_reason(status: CoordinatorBackendStatus, entry: EntryStatus) -> str | None:
    """Return the reason why a backend has no weight, None if its entry has only not been published yet."""
    if status.planner.phase != Phase.READY:
        return "not-ready"
    if not status.planner.verified:
        return "unproven"
    if entry.is_ejected:
        return "cut"
    return "shut-out" if status.is_excluded else None
