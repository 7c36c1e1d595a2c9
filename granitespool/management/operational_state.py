"""The state subtree, taken out of a coordinator in pieces so that no turn of the loop is long; no I/O.

    picture = Picture(coordinator, facts)
    for _ in picture.steps(): ...           # between two steps the loop goes on
    picture.tree                            # the whole of `state`

Each backend is as it is when its piece is taken; what changes meanwhile shows in the next picture."""

from granitespool.management.mapping import decimal
from granitespool.units import MICROSECOND

PIECE = 40  # backend and zone pairs taken in one step: half a millisecond
FIGURE_MOST = 1e9  # the module's largest figure


class Picture:
    """`facts`: name, version, commits, refused, index, named, age (ns of the list), folder (written, batches,
    failing, or None)."""

    def __init__(self, coordinator, facts):
        self.coordinator, self.facts, self.tree = coordinator, facts, {}

    def steps(self):
        coordinator, facts = self.coordinator, self.facts
        fleet = coordinator.pictured_fleet()
        self.tree.update(
            {
                "name": facts["name"],
                "version": facts["version"],
                "discovery": {
                    "index": str(facts["index"]),
                    "named": facts["named"],
                    "age": str(max(0, facts["age"]) // MICROSECOND),
                },
                "proxies": {"joined": fleet["joined"], "waiting": fleet["unbound"]},
                "channel": {
                    "waiting": str(max(0, int(fleet["waiting"]))),
                    "lag": str(int(fleet["lag"]) // MICROSECOND),
                },
                "fleet": {
                    "strained": fleet["strained"],
                    "let-in": decimal(fleet["room"]),
                    "answered": decimal(min(1.0, max(0.0, fleet["through"]))),
                },
                "counters": {"commits": facts["commits"], "refused": facts["refused"]},
            }
        )
        if facts["folder"]:
            written, batches, failing = facts["folder"]
            self.tree["state-folder"] = {"written": str(written), "batches": batches, "failing": failing}
        if fleet["tables"]:
            self.tree["table"] = [_table(*table) for table in fleet["tables"]]
        backends, piece = [], max(1, PIECE // max(1, len(fleet["tables"])))
        for number, name in enumerate(list(coordinator.listed())):
            if number % piece == 0:
                yield
            facts_of = coordinator.pictured(name)
            if facts_of is not None:  # it may have been forgotten meanwhile
                backends.append(_backend(name, *facts_of))
        if backends:
            self.tree["backend"] = backends
        yield


def _table(zone, lines, levels):
    table = {"zone": zone, "lines": lines}
    if levels:
        table["level"] = [
            {"class": name, "share": decimal(min(share, FIGURE_MOST)), "retry": retry}
            for name, (share, retry) in levels.items()
        ]
    return table


def _backend(name, facts, seen):
    backend = {"name": name, "phase": facts["phase"], "proven": facts["proven"]}
    for leaf in ("zone", "kind"):
        if isinstance(facts[leaf], str):
            backend[leaf] = facts[leaf]
    views = []
    for zone, (weight, cost, cut, shut) in seen.items():
        view = {"zone": zone, "cut": cut}
        if weight:
            view["weight"] = decimal(min(weight, FIGURE_MOST))
        else:
            why = why_out(facts, cut, shut)
            if why:
                view["out"] = why
        if cost is not None:
            view["cost"] = str(min(int(cost) // MICROSECOND, 10**15))
        views.append(view)
    if views:
        backend["seen-from"] = views
    return backend


def why_out(facts, cut, shut):
    """Why a backend without a weight has none; None where its line has only not been sent yet."""
    if facts["phase"] != "ready":
        return "not-ready"
    if not facts["proven"]:
        return "unproven"
    return "cut" if cut else "shut-out" if shut else None
