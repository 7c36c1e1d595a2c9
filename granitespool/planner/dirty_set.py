"""What the planner has to look at: the backends and table entries that something has changed, and no others.

It decides nothing. The planner says what changed, and asks for the entries that may have to move; an entry
that is not among them is as it should be, since nothing has changed that its weight follows from:

- a dirty backend has all its entries looked at, until it is ready, verified, warm and in no table that is not
  to hold it;
- a watched entry has a link that decides on its own: one with a cost of its own, ejected, or in slow start,
  which begins where an ejection ends;
- all others are settled (`granitespool.planner.settled_entries`), and are looked at once the means that they
  share move.

Sets are dicts, for their order. Sums that the planner makes follow the creation sequence, so that they come
out the same to the last digit whatever was looked at.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from granitespool.planner.cost import ObservedCost
from granitespool.planner.records import BY_SEQUENCE, READY, Backend, Backends, Link
from granitespool.planner.settled_entries import HasMoved, SettledEntries, WeightOf
from granitespool.planner.subsets import Subsets

IsWarm = Callable[[Backend], bool]
IsSlowStartOver = Callable[[int | None], bool]


class TableEntry(NamedTuple):
    """A backend in a table, or on its way into or out of it."""

    backend: Backend
    zone: str
    table: int
    is_member: bool  # whether the table is to hold it


class DirtySet:
    """The backends and entries to look at next."""

    def __init__(self, subsets: Subsets) -> None:
        self.changed: Backends = {}  # phase, zone, machine type or verification, since `take_changed`
        self.dirty: Backends = {}
        self.watching: Backends = {}  # have watched entries
        self.absent: Backends = {}  # not ready, or excluded
        self.ejected: Backends = {}  # have an ejected link, or had one
        self.observed: defaultdict[str, Backends] = defaultdict(
            dict
        )  # zone -> enough for a cost of their own
        self._settled = SettledEntries()
        self._subsets = subsets
        self._known_tables: dict[str, int] = {}  # zone -> how many tables its entries were looked at for

    def mark_changed(self, backend: Backend) -> None:
        """A backend's phase, zone, machine type, weight, start or verification has changed."""
        self.changed[backend] = None
        self.mark_dirty(backend)

    def take_changed(self) -> list[Backend]:
        """The backends that changed since the last call, oldest first."""
        changed = sorted(self.changed, key=BY_SEQUENCE)
        self.changed = {}
        return changed

    def mark_dirty(self, backend: Backend) -> None:
        """Have each entry of a backend looked at until it is clean again."""
        self._settled.remove_all(backend)
        self.dirty[backend] = None
        if backend.phase != READY or backend.exclusion.is_in_force:
            self.absent[backend] = None

    def watch(self, backend: Backend, zone: str) -> None:
        """Have the entry of a backend in a zone looked at until its link decides nothing on its own."""
        self._settled.remove(backend, zone)
        backend.watched[zone] = None
        self.watching[backend] = None

    def mark_observed(self, backend: Backend, zone: str) -> None:
        """A backend's link in a zone has observed enough for a cost of its own."""
        if backend not in self.observed[zone]:
            self.observed[zone][backend] = None
            self.watch(backend, zone)

    def observed_costs(self, zone: str, cost_of: Callable[[Link], float | None]) -> list[ObservedCost]:
        """The links of a zone that observed enough for a cost of their own, in creation sequence.

        `cost_of` tells a link's cost (ns), None where it has too little left: it is dropped here.
        """
        costs = []
        for backend in sorted(self.observed[zone], key=BY_SEQUENCE):
            link = backend.links.get(zone)
            cost = cost_of(link) if link else None
            if link is None or cost is None:
                del self.observed[zone][backend]
            else:
                costs.append(ObservedCost(backend, link, cost))
        return costs

    def decay_observed(self, period: int, factor: float) -> None:
        """Decay the links that observed enough for a cost of their own."""
        for zone, backends in self.observed.items():
            for backend in backends:
                backend.links[zone].decay_to(period, factor)

    def invalidate_zone(self, zone: str) -> None:
        """The means of a zone, which its settled entries follow from, have moved."""
        self._settled.invalidate_zone(zone)

    def apply_settings(self, backends: Iterable[Backend]) -> None:
        """Slow start that was over may not be by new settings: whoever had one is looked at."""
        for backend in backends:
            if backend.slow_start_since is not None:
                self.mark_dirty(backend)
            for zone, link in backend.links.items():
                if link.slow_start_since is not None:
                    self.watch(backend, zone)

    def remove(self, backend: Backend) -> None:
        """Nothing is to be looked at of a backend any more."""
        self._settled.remove_all(backend)
        sets = self.changed, self.dirty, self.watching, self.absent, self.ejected
        for backends in (*sets, *self.observed.values()):
            backends.pop(backend, None)

    def due_for_recompute(self) -> list[Backend]:
        """What each period looks at: backends that are dirty, absent or have ejected links."""
        return sorted({**self.dirty, **self.absent, **self.ejected}, key=BY_SEQUENCE)

    def absent_in_sequence(self) -> list[Backend]:
        """The backends that are not ready or excluded, oldest first."""
        return sorted(self.absent, key=BY_SEQUENCE)

    def entries(
        self, backends: Iterable[Backend], weight_of: WeightOf, has_moved: HasMoved
    ) -> list[TableEntry]:
        """The entries that may have to move, in creation sequence of their backends.

        `backends`: all that are known.
        """
        self._watch_new_tables(backends)
        entries = [entry for backend in self.dirty for entry in self.entries_of(backend)]
        some = [
            (backend, zone)
            for backend in self.watching
            if backend not in self.dirty
            for zone in backend.watched
        ]
        some += self._settled.moving(weight_of, has_moved)
        for backend, zone in some:
            entries += [
                TableEntry(backend, zone, table, True) for table in self._subsets.tables_of(backend, zone)
            ]
        return sorted(entries, key=lambda entry: entry.backend.sequence)

    def entries_of(self, backend: Backend) -> list[TableEntry]:
        """All entries of a backend: those that are to be, and those that are left over."""
        held = [
            TableEntry(backend, zone, table, True)
            for zone in self._subsets.tables
            for table in self._subsets.tables_of(backend, zone)
        ]
        left_over = [
            TableEntry(backend, self._subsets.zone_of(table), table, False)
            for table in self._subsets.left_over(backend)
        ]
        return held + left_over

    def _watch_new_tables(self, backends: Iterable[Backend]) -> None:
        for zone, tables in self._subsets.tables.items():
            if self._known_tables.get(zone) != len(tables):
                self._known_tables[zone] = len(tables)
                for backend in backends:
                    if backend.subset is not None:
                        self.watch(backend, zone)

    def published(self, backend: Backend, table: int, weight: float) -> None:
        """An entry was published with this weight."""
        backend.published[table] = weight
        zone = self._subsets.zone_of(table)
        if zone in backend.settled:
            self._settle(backend, zone)

    def mark_clean(self, is_warm: IsWarm, is_slow_start_over: IsSlowStartOver) -> None:
        """Settle what follows from shared means alone from here on.

        `is_warm` tells whether a backend can do its whole work and costs what its machine type does,
        `is_slow_start_over` whether slow start that began then (ns; None: none) is over.
        """
        for backend in list(self.dirty):
            left_over = self._subsets.left_over(backend)
            if not left_over and self._is_clean(backend, is_warm, is_slow_start_over):
                del self.dirty[backend]
                for zone in self._subsets.tables:
                    self.watch(backend, zone)
            elif backend.phase != READY and backend.subset is None and not left_over:
                del self.dirty[backend]
        for backend in [each for each in self.watching if each not in self.dirty]:
            self._settle_watched(backend, is_slow_start_over)

    def _settle_watched(self, backend: Backend, is_slow_start_over: IsSlowStartOver) -> None:
        for zone in list(backend.watched):
            link = backend.links.get(zone)
            if link is None or (
                self._is_idle(link, is_slow_start_over) and backend not in self.observed[zone]
            ):
                del backend.watched[zone]
                if backend.phase == READY:
                    self._settle(backend, zone)
        if not backend.watched:
            del self.watching[backend]

    @staticmethod
    def _is_clean(backend: Backend, is_warm: IsWarm, is_slow_start_over: IsSlowStartOver) -> bool:
        return (
            backend.phase == READY
            and backend.verified
            and backend.subset is not None
            and not backend.exclusion.is_in_force
            and is_slow_start_over(backend.slow_start_since)
            and is_warm(backend)
        )

    @staticmethod
    def _is_idle(link: Link, is_slow_start_over: IsSlowStartOver) -> bool:
        return link.cost is None and link.ejected_at is None and is_slow_start_over(link.slow_start_since)

    def _settle(self, backend: Backend, zone: str) -> None:
        self._settled.remove(backend, zone)
        tables = self._subsets.tables_of(backend, zone)
        self._settled.settle(backend, zone, tuple(backend.published.get(table, 0.0) for table in tables))
