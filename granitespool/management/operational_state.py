"""The state subtree, taken out of a coordinator in steps, so that no turn of the loop is long; no I/O.

    state = OperationalState(coordinator, facts)
    for _ in state.steps(): ...             # between two steps the loop goes on
    state.tree                              # all of `state`

Each backend is as it is when its step comes; what changes meanwhile shows in the next reading."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, Protocol, TypeAlias

from granitespool.management.data_tree import Tree
from granitespool.management.mapping import decimal_text
from granitespool.units import MICROSECOND

LINKS_PER_STEP = 40  # backend and zone pairs taken in one step: half a millisecond
MAX_FIGURE = 1e9  # the module's largest
MAX_COST = 10**15  # us, the module's largest

Facts: TypeAlias = Mapping[str, Any]
Views: TypeAlias = Mapping[str, tuple[float, float | None, bool, bool]]
"""By zone: weight in its table, cost in ns, whether it is ejected there, and whether it is excluded."""


class Coordinator(Protocol):
    """What is read of a coordinator."""

    def pictured_fleet(self) -> Facts:
        """Figures of the fleet and of each table."""

    def listed(self) -> Mapping[str, object]:
        """The names of all backends that are known."""

    def pictured(self, backend: str) -> tuple[Facts, Views] | None:
        """What is known of a backend, and how the zones see it; None where it is not known."""


class FolderFigures(NamedTuple):
    """Of the state folder: bytes and batches written since the start, whether the disk rejects writes."""

    written: int
    batches: int
    failing: bool


class ServiceFacts(NamedTuple):
    """What the service knows beside the coordinator; `list_age` in ns."""

    name: str
    version: int
    commits: int
    rejected: int
    list_index: int
    list_age: int
    list_named: bool
    folder: FolderFigures | None


class OperationalState:
    """One reading; `tree` is complete once `steps` has ended."""

    def __init__(self, coordinator: Coordinator, facts: ServiceFacts) -> None:
        self.coordinator = coordinator
        self.facts = facts
        self.tree: Tree = {}

    def steps(self) -> Iterator[None]:
        """Reads a part and yields, until the tree is complete."""
        fleet = self.coordinator.pictured_fleet()
        self.tree.update(_service_tree(self.facts))
        self.tree.update(_fleet_tree(fleet))
        self.tree["counters"] = {"commits": self.facts.commits, "refused": self.facts.rejected}
        if self.facts.folder:
            self.tree["state-folder"] = _folder_tree(self.facts.folder)
        if fleet["tables"]:
            self.tree["table"] = [_table_tree(*table) for table in fleet["tables"]]
        backends = []
        backends_per_step = max(1, LINKS_PER_STEP // max(1, len(fleet["tables"])))
        for number, name in enumerate(list(self.coordinator.listed())):
            if number % backends_per_step == 0:
                yield
            known = self.coordinator.pictured(name)
            if known is not None:  # it may have been forgotten meanwhile
                backends.append(_backend_tree(name, *known))
        if backends:
            self.tree["backend"] = backends
        yield


def _service_tree(facts: ServiceFacts) -> Tree:
    return {
        "name": facts.name,
        "version": facts.version,
        "discovery": {
            "index": str(facts.list_index),
            "named": facts.list_named,
            "age": str(max(0, facts.list_age) // MICROSECOND),
        },
    }


def _fleet_tree(fleet: Facts) -> Tree:
    return {
        "proxies": {"joined": fleet["joined"], "waiting": fleet["unbound"]},
        "channel": {
            "waiting": str(max(0, int(fleet["waiting"]))),
            "lag": str(int(fleet["lag"]) // MICROSECOND),
        },
        "fleet": {
            "strained": fleet["strained"],
            "let-in": decimal_text(fleet["room"]),
            "answered": decimal_text(min(1.0, max(0.0, fleet["through"]))),
        },
    }


def _folder_tree(figures: FolderFigures) -> Tree:
    written, batches, failing = figures
    return {"written": str(written), "batches": batches, "failing": failing}


def _table_tree(zone: str, entries: int, levels: Mapping[str, tuple[float, int]]) -> Tree:
    table: Tree = {"zone": zone, "lines": entries}
    if levels:
        table["level"] = [
            {"class": name, "share": decimal_text(min(share, MAX_FIGURE)), "retry": retry}
            for name, (share, retry) in levels.items()
        ]
    return table


def _backend_tree(name: str, facts: Facts, views: Views) -> Tree:
    backend: Tree = {"name": name, "phase": facts["phase"], "proven": facts["proven"]}
    for leaf in ("zone", "kind"):
        if isinstance(facts[leaf], str):
            backend[leaf] = facts[leaf]
    if views:
        backend["seen-from"] = [_view_tree(facts, zone, *view) for zone, view in views.items()]
    return backend


def _view_tree(
    facts: Facts, zone: str, weight: float, cost: float | None, ejected: bool, excluded: bool
) -> Tree:
    view: Tree = {"zone": zone, "cut": ejected}
    reason = _absence_reason(facts, ejected, excluded)
    if weight:
        view["weight"] = decimal_text(min(weight, MAX_FIGURE))
    elif reason:
        view["out"] = reason
    if cost is not None:
        view["cost"] = str(min(int(cost) // MICROSECOND, MAX_COST))
    return view


def _absence_reason(facts: Facts, ejected: bool, excluded: bool) -> str | None:
    """Why a backend without a weight has none; None where its entry has only not been sent yet."""
    if facts["phase"] != "ready":
        return "not-ready"
    if not facts["proven"]:
        return "unproven"
    if ejected:
        return "cut"
    return "shut-out" if excluded else None
