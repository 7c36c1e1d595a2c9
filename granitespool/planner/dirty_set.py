"""The dirty set: the backends and table entries that the planner has to evaluate again.

It decides nothing. The planner marks what has changed, and asks for the entries whose weight may have
changed. Any other entry is up to date, since none of the inputs of its weight has changed:

- all entries of a dirty backend are evaluated, until it is ready, verified, warm and in no table that it does
  not belong to;
- a watched entry is evaluated because of the state of its link: a cost of its own, an ejection, or slow
  start, which begins when an ejection ends;
- all others are settled (`granitespool.planner.settled_entries`), and are evaluated when the means that they
  share change.

Sets are dicts, for their order. The planner sums in the creation sequence, so that results are the same to
the last digit whichever entries were evaluated.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from granitespool.planner.cost import ObservedCost
from granitespool.planner.records import BY_SEQUENCE, READY, Backend, BackendSet, Link
from granitespool.planner.settled_entries import NeedsUpdate, SettledEntries, WeightOf
from granitespool.planner.subsets import Subsets

IsWarm = Callable[[Backend], bool]
IsSlowStartOver = Callable[[int | None], bool]


class TableEntry(NamedTuple):
    """A backend and a table that it is in, or is to be added to or removed from."""

    backend: Backend
    zone: str
    table: int
    is_member: bool  # whether the backend belongs to the table


class DirtySet:
    """Tracks the backends and entries to evaluate next."""

    def __init__(self, subsets: Subsets) -> None:
        self.changed: BackendSet = {}  # by phase, zone, machine type or verification, since `take_changed`
        self.dirty: BackendSet = {}
        self.watching: BackendSet = {}  # with watched entries
        self.absent: BackendSet = {}  # not ready, or possibly excluded
        self.ejected: BackendSet = {}  # with an ejected link, now or earlier
        # zone -> backends whose link has observed enough for a cost of its own
        self.observed: defaultdict[str, BackendSet] = defaultdict(dict)
        self._settled = SettledEntries()
        self._subsets = subsets
        self._table_counts: dict[str, int] = {}  # zone -> number of tables at the last `entries`

    def mark_changed(self, backend: Backend) -> None:
        """Record that a backend's phase, zone, machine type, weight, start or verification has changed."""
        self.changed[backend] = None
        self.mark_dirty(backend)

    def take_changed(self) -> list[Backend]:
        """Return the backends that changed since the last call, oldest first."""
        changed = sorted(self.changed, key=BY_SEQUENCE)
        self.changed = {}
        return changed

    def mark_dirty(self, backend: Backend) -> None:
        """Have all entries of a backend evaluated until it is clean again."""
        self._settled.remove_all(backend)
        self.dirty[backend] = None
        if backend.phase != READY or backend.exclusion.is_active:
            self.absent[backend] = None

    def watch(self, backend: Backend, zone: str) -> None:
        """Have a backend's entries in a zone evaluated until its link has no state of its own there."""
        self._settled.remove(backend, zone)
        backend.watched_zones[zone] = None
        self.watching[backend] = None

    def mark_observed(self, backend: Backend, zone: str) -> None:
        """Record that a backend's link in a zone has observed enough for a cost of its own."""
        if backend not in self.observed[zone]:
            self.observed[zone][backend] = None
            self.watch(backend, zone)

    def observed_costs(self, zone: str, cost_of: Callable[[Link], float | None]) -> list[ObservedCost]:
        """Return the links of a zone with a cost of their own, in creation sequence of their backends.

        `cost_of` returns a link's cost (ns), or None if too few observations are left: then it is removed.
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
        """Decay the sums of the links that have observed enough for a cost of their own."""
        for zone, backends in self.observed.items():
            for backend in backends:
                backend.links[zone].decay_to(period, factor)

    def invalidate_zone(self, zone: str) -> None:
        """Record that the means of a zone, which determine its settled entries, have changed."""
        self._settled.invalidate_zone(zone)

    def mark_slow_starts(self, backends: Iterable[Backend]) -> None:
        """Mark everything that had a slow start, since by new settings it may not be over."""
        for backend in backends:
            if backend.slow_start_since is not None:
                self.mark_dirty(backend)
            for zone, link in backend.links.items():
                if link.slow_start_since is not None:
                    self.watch(backend, zone)

    def remove(self, backend: Backend) -> None:
        """Remove a backend from all sets."""
        self._settled.remove_all(backend)
        sets = self.changed, self.dirty, self.watching, self.absent, self.ejected
        for backends in (*sets, *self.observed.values()):
            backends.pop(backend, None)

    def due_for_recompute(self) -> list[Backend]:
        """Return the backends to recompute in a period: dirty, absent, or with ejected links."""
        return sorted({**self.dirty, **self.absent, **self.ejected}, key=BY_SEQUENCE)

    def absent_in_sequence(self) -> list[Backend]:
        """Return the backends that are not ready or possibly excluded, oldest first."""
        return sorted(self.absent, key=BY_SEQUENCE)

    def entries(
        self, backends: Iterable[Backend], weight_of: WeightOf, needs_update: NeedsUpdate
    ) -> list[TableEntry]:
        """Return the entries whose weight may have changed, in creation sequence of their backends.

        `backends` contains the whole fleet.
        """
        self._watch_new_tables(backends)
        entries = [entry for backend in self.dirty for entry in self.entries_of(backend)]
        backend_zones = [
            (backend, zone)
            for backend in self.watching
            if backend not in self.dirty
            for zone in backend.watched_zones
        ]
        backend_zones += self._settled.outdated(weight_of, needs_update)
        for backend, zone in backend_zones:
            entries += [
                TableEntry(backend, zone, table, True) for table in self._subsets.tables_of(backend, zone)
            ]
        return sorted(entries, key=lambda entry: entry.backend.sequence)

    def entries_of(self, backend: Backend) -> list[TableEntry]:
        """Return all entries of a backend: those that it belongs to, and those to be removed."""
        members = [
            TableEntry(backend, zone, table, True)
            for zone in self._subsets.tables
            for table in self._subsets.tables_of(backend, zone)
        ]
        stale = [
            TableEntry(backend, self._subsets.zone_of(table), table, False)
            for table in self._subsets.stale_tables(backend)
        ]
        return members + stale

    def _watch_new_tables(self, backends: Iterable[Backend]) -> None:
        for zone, tables in self._subsets.tables.items():
            if self._table_counts.get(zone) != len(tables):
                self._table_counts[zone] = len(tables)
                for backend in backends:
                    if backend.subset is not None:
                        self.watch(backend, zone)

    def record_published(self, backend: Backend, table: int, weight: float) -> None:
        """Record the weight that an entry was published with."""
        backend.published[table] = weight
        zone = self._subsets.zone_of(table)
        if zone in backend.settled:
            self._settle(backend, zone)

    def mark_clean(self, is_warm: IsWarm, is_slow_start_over: IsSlowStartOver) -> None:
        """Mark backends as clean, and settle the entries whose weight follows from shared means alone.

        `is_warm` returns whether a backend can do its whole work and has the cost of its machine type,
        `is_slow_start_over` whether a slow start that began at a time (ns; None: none) is over.
        """
        for backend in list(self.dirty):
            stale_tables = self._subsets.stale_tables(backend)
            if not stale_tables and self._is_clean(backend, is_warm, is_slow_start_over):
                del self.dirty[backend]
                for zone in self._subsets.tables:
                    self.watch(backend, zone)
            elif backend.phase != READY and backend.subset is None and not stale_tables:
                del self.dirty[backend]
        for backend in [backend for backend in self.watching if backend not in self.dirty]:
            self._settle_watched(backend, is_slow_start_over)

    def _settle_watched(self, backend: Backend, is_slow_start_over: IsSlowStartOver) -> None:
        for zone in list(backend.watched_zones):
            link = backend.links.get(zone)
            if link is None or (
                self._is_idle(link, is_slow_start_over) and backend not in self.observed[zone]
            ):
                del backend.watched_zones[zone]
                if backend.phase == READY:
                    self._settle(backend, zone)
        if not backend.watched_zones:
            del self.watching[backend]

    @staticmethod
    def _is_clean(backend: Backend, is_warm: IsWarm, is_slow_start_over: IsSlowStartOver) -> bool:
        return (
            backend.phase == READY
            and backend.verified
            and backend.subset is not None
            and not backend.exclusion.is_active
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
