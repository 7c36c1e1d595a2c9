"""Plays an experiment: its variants for each size and seed, what is measured of each, and the report."""

import json
import statistics
import tempfile

from granitespool import __version__
from granitespool.emulator.world import BEGAN, SECOND, World
from granitespool.errors import InvalidInputError
from granitespool.state import record, restore_policy
from granitespool.state.disk import Folder
from granitespool.state.recovery import Memory
from granitespool.state.store import Store
from granitespool.state.writer import read_back
from granitespool.units import MILLISECOND

LOOK = SECOND // 10  # ns between looks at the tables
BEFORE = 5 * SECOND  # ns before the kill whose mean tables are the ones to come back to
STANDS = 2 * SECOND  # ns that tables must stay near those to count as settled
WANDER = 0.95  # part of the looks at a coordinator that nobody kills that count as standing
HOLDERS = 40  # proxies whose held tables are looked at
MOST = 64 << 20  # bytes of a state folder


def distance(one, other):
    """Half the sum of differences of two tables' shares: 0 for the same, 1 for nothing in common."""
    if not one or not other:
        return 1.0
    return 0.5 * sum(abs(one.get(name, 0) - other.get(name, 0)) for name in one.keys() | other.keys())


def shares(table):
    total = sum(table.values())
    return {name: weight / total for name, weight in table.items()} if total else {}


CONTROL = "control"  # the variant in which nobody is killed
CHANGED = "changed", "wrong", "alive"  # those in which ill and well backends change places at the kill


class Restart:
    """One variant of one size and seed."""

    def __init__(self, setup, variant, backends, proxies, seed, folder):
        self.setup, self.variant, self.restart = setup, variant, setup.restart
        self.world, self.mono = World(setup, backends, proxies, seed), 0
        self.identity = restore_policy.Identity("lab", list(setup.classes), self.world.zones)
        self.folder, self.memory, self.store = folder, None, None
        step = max(1, proxies // HOLDERS)
        self.holders = self.world.proxies[::step]
        self.looks, self.reference = [], None  # (ns, distance of the tables, of those that proxies hold)

    def play(self, near=None):
        """What was measured; `near`: how far tables wander that nobody disturbs, as CONTROL gives it."""
        world, restart = self.world, self.restart
        self._remember()
        world.start()
        world.at(world.now, self._sweep, world.lives)
        killed = BEGAN + int(restart.learn_s * SECOND)
        world.run(killed - BEFORE)
        before = self._sample(killed, keep=True)
        self.reference = {zone: mean([tables[zone] for tables, _ in before]) for zone in world.zones}
        usual = world.service(int(restart.learn_s) - 10, int(restart.learn_s))
        started = killed + int(restart.down_s * SECOND)
        if self.variant in CHANGED:
            world.change_places()
        if self.variant not in (CONTROL, "alive"):
            world.kill()
        world.run(started)
        if self.variant not in (CONTROL, "alive"):
            world.start(self._recall(), restart.rejoin_s)
        self._sample(started + int(restart.settle_s * SECOND), since=started)
        if self.variant == CONTROL:
            return [sorted(column)[int(WANDER * len(column))] for column in list(zip(*self.looks))[1:]]
        first = int(restart.learn_s + restart.down_s)
        if world.faults:
            raise InvalidInputError(f"the planner failed in {self.variant}: {world.faults[0][-300:]}")
        moved = self.variant in CHANGED  # then there is nothing to come back to
        return {
            "tables_s": None if moved else self._settled(1, near[0], restart.settle_s),
            "held_s": None if moved else self._settled(2, near[1], restart.settle_s),
            "service": world.service(first, first + int(restart.look_s)),
            "usual": usual,
            "far": [(round(at / SECOND, 1), *(round(far, 4) for far in both)) for at, *both in self.looks],
        }

    def _remember(self):
        self.memory = Memory(self.restart, self.identity)
        self.store = Store(
            self.folder,
            MOST,
            lambda: record.Header(
                record.FORMAT, *self.identity, self.world.now, self.world.now, 1, __version__
            ),
        )

    def _sweep(self, life):
        world = self.world
        if world.coordinator is not None and life == world.lives:
            world.at(world.now + self.restart.every_ms * MILLISECOND // 2, self._sweep, life)
            changes = self.memory.changes(
                world.coordinator, {}, 0, world.now, list(world.coordinator.listed()), True
            )
            if changes:
                self.store.append(world.now, world.now, changes)

    def _recall(self):
        """What makes the next coordinator recall the folder, or None in variants without."""
        if self.variant in ("without", "changed"):
            return None
        later = int(self.restart.old_s * SECOND) if self.variant == "old" else 0
        clocks = restore_policy.Clocks(self.world.now + later, self.world.now + later)
        opened, _ = read_back(self.folder, MOST)
        memory = Memory(self.restart, self.identity)
        memory.opened(opened.found, opened.kept, opened.why, clocks)
        return lambda coordinator: memory.recall(coordinator, self.world.now, clocks)

    def _sample(self, until, keep=False, since=None):
        world, kept = self.world, []
        while world.now < until:
            world.run(world.now + LOOK)
            tables = {zone: world.table(zone) for zone in world.zones}
            held = [(proxy.zone, shares(proxy.table)) for proxy in self.holders]
            if keep:
                kept.append((tables, held))
            else:
                self.looks.append((world.now - since, self._far(tables), self._held_far(held)))
        return kept

    def _far(self, tables):
        return statistics.fmean(distance(tables[zone], self.reference[zone]) for zone in self.world.zones)

    def _held_far(self, held):
        return statistics.fmean(distance(table, self.reference[zone]) for zone, table in held)

    def _settled(self, column, near, most):
        """s from the start until tables stand near those before the kill; `most` where they never do."""
        since = None
        for look in self.looks:
            since = None if look[column] > near else look[0] if since is None else since
            if since is not None and look[0] - since >= STANDS:
                return round(since / SECOND, 1)
        return float(most)


def mean(tables):
    names = set().union(*tables)
    return {name: sum(table.get(name, 0) for table in tables) / len(tables) for name in names}


def play(setup, told=lambda words: None):
    """The result of an experiment: {"title", "rows": one for each size and variant}; medians over seeds."""
    rows, experiment = [], setup.experiment
    seeds = range(experiment.first_seed, experiment.first_seed + experiment.seeds)
    for size in experiment.size_pairs():
        near = {}
        for variant in (CONTROL, *experiment.variant_names()):
            plays = []
            for seed in seeds:
                told("{} x {}, {}, seed {}".format(*size, variant, seed))
                with tempfile.TemporaryDirectory() as path:
                    folder = Folder(path)
                    plays.append(Restart(setup, variant, *size, seed, folder).play(near.get(seed)))
                    folder.close()
            if variant == CONTROL:
                near = dict(zip(seeds, plays))
            else:
                rows.append(row("{}x{}".format(*size), variant, plays))
    return {
        "title": experiment.title,
        "program": __version__,
        "seeds": experiment.seeds,
        "first_seed": experiment.first_seed,
        "rows": rows,
    }


def row(size, variant, plays):
    def middle(values):
        known = [value for value in values if value is not None]
        return round(statistics.median(known), 4) if known else None

    names = plays[0]["service"]
    return {
        "size": size,
        "variant": variant,
        "tables_s": middle(play["tables_s"] for play in plays),
        "held_s": middle(play["held_s"] for play in plays),
        "service": {
            name: {what: middle(play["service"][name][what] for play in plays) for what in names[name]}
            for name in names
        },
        "usual": {name: middle(play["usual"][name]["in_time"] for play in plays) for name in names},
        "spread": {
            name: round(max(column) - min(column), 4)
            for name, column in (
                (name, [play["service"][name]["in_time"] for play in plays]) for name in names
            )
        },
        "far": plays[0]["far"],
    }


def table(result):
    """The result as lines for a terminal."""
    names = list(result["rows"][0]["service"])
    head = [
        "size",
        "variant",
        "tables",
        "held",
        *(f"{name} in time" for name in names),
        *(f"{name} before" for name in names),
    ]
    lines = [head]
    for each in result["rows"]:
        lines.append(
            [
                each["size"],
                each["variant"],
                *("-" if each[key] is None else f"{each[key]:.1f} s" for key in ("tables_s", "held_s")),
                *(f"{each['service'][name]['in_time']:.4f}" for name in names),
                *(f"{each['usual'][name]:.4f}" for name in names),
            ]
        )
    widths = [max(len(line[k]) for line in lines) for k in range(len(head))]
    return [
        f"{result['title']} (simulated servers; median of {result['seeds']} seeds)",
        *("  ".join(word.ljust(width) for word, width in zip(line, widths)).rstrip() for line in lines),
    ]


def as_json(result):
    return json.dumps(result, indent=1)


def plot(result, path):
    """How far tables are from those before the kill, over time, a line for each variant of the first size."""
    try:
        import matplotlib  # noqa: PLC0415 an extra, and slow to import
    except ImportError:
        raise InvalidInputError("a plot needs the extra `plot` (pip install granitespool[plot])") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    sizes = list(dict.fromkeys(each["size"] for each in result["rows"]))
    figure, axes = pyplot.subplots(len(sizes), 2, figsize=(11, 3.2 * len(sizes)), squeeze=False, sharex=True)
    for line, size in zip(axes, sizes):
        for each in (each for each in result["rows"] if each["size"] == size):
            times, *columns = zip(*each["far"])
            for axis, column, title in zip(line, columns, ("the coordinator's tables", "what proxies hold")):
                axis.plot(times, column, label=each["variant"], linewidth=1.2)
                axis.set_title(f"{size}: {title}", fontsize=9)
                axis.set_xlabel("s after the start")
                axis.set_ylabel("distance from before the kill")
                axis.set_ylim(0, 1)
    axes[0][0].legend(fontsize=8)
    figure.suptitle(f"{result['title']} (simulated servers)", fontsize=10)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
