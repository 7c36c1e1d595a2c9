"""The state subtree, taken out of a coordinator in steps, so that no turn of the loop is long; no I/O.

    state = OperationalState(coordinator, facts)
    for _ in state.steps(): ...             # between two steps the loop goes on
    state.tree                              # all of `state`

Each backend is as it is when its step comes; what changes meanwhile shows in the next reading."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple, Protocol

from granitespool.coordinator_status import CoordinatorBackendStatus, CoordinatorStatus, ZoneStatus
from granitespool.endpoints import Phase
from granitespool.management.data_tree import Tree
from granitespool.management.mapping import decimal_text
from granitespool.planner.status import EntryStatus, PlannerStatus
from granitespool.units import MICROSECOND

LINKS_PER_STEP = 40  # backend and zone pairs taken in one step: half a millisecond
MAX_FIGURE = 1e9  # the module's largest
MAX_COST = 10**15  # us, the module's largest


class Coordinator(Protocol):
    """What is read of a coordinator."""

    def status(self) -> CoordinatorStatus:
        """Figures of the fleet and of each zone's tables."""

    def endpoint_states(self) -> Mapping[str, object]:
        """The names of all backends that are known."""

    def backend_status(self, name: str) -> CoordinatorBackendStatus | None:
        """What is known of a backend, and how the zones see it; None where it is not known."""


class StateFolderMetrics(NamedTuple):
    """Of the state folder: bytes and batches written since the start, whether the disk rejects writes."""

    bytes_written: int
    batches_written: int
    is_failing: bool


class ServiceFacts(NamedTuple):
    """What the service knows beside the coordinator; `list_age` in ns."""

    name: str
    version: int
    commits: int
    rejected: int
    list_index: int
    list_age: int
    has_endpoint_list: bool
    folder: StateFolderMetrics | None


class OperationalState:
    """One reading; `tree` is complete once `steps` has ended."""

    def __init__(self, coordinator: Coordinator, facts: ServiceFacts) -> None:
        self.coordinator = coordinator
        self.facts = facts
        self.tree: Tree = {}

    def steps(self) -> Iterator[None]:
        """Reads a part and yields, until the tree is complete."""
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
            known = self.coordinator.backend_status(name)
            if known is not None:  # it may have been forgotten meanwhile
                backends.append(_backend_tree(name, known))
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


def _folder_tree(figures: StateFolderMetrics) -> Tree:
    written, batches, failing = figures
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
    known = status.planner
    backend: Tree = {"name": name, "phase": str(known.phase), "proven": known.verified}
    if isinstance(known.zone, str):
        backend["zone"] = known.zone
    if isinstance(known.machine_type, str):
        backend["kind"] = known.machine_type
    if known.entries:
        backend["seen-from"] = [_view_tree(status, zone, entry) for zone, entry in known.entries.items()]
    return backend


def _view_tree(status: CoordinatorBackendStatus, zone: str, entry: EntryStatus) -> Tree:
    view: Tree = {"zone": zone, "cut": entry.is_ejected}
    reason = _absence_reason(status, entry)
    if entry.weight:
        view["weight"] = decimal_text(min(entry.weight, MAX_FIGURE))
    elif reason:
        view["out"] = reason
    if entry.cost is not None:
        view["cost"] = str(min(int(entry.cost) // MICROSECOND, MAX_COST))
    return view


def _absence_reason(status: CoordinatorBackendStatus, entry: EntryStatus) -> str | None:
    """Why a backend without a weight has none; None where its entry has only not been sent yet."""
    if status.planner.phase != Phase.READY:
        return "not-ready"
    if not status.planner.verified:
        return "unproven"
    if entry.is_ejected:
        return "cut"
    return "shut-out" if status.is_excluded else None
