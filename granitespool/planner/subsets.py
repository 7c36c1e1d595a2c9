"""Subsets: a fleet whose complete table the channel cannot carry to everyone is split among a zone's proxies.

The design's table holds the whole fleet. Where a coordinator's channel needs so long to carry that to its
own proxies that it is outdated on arrival, or that a drain's grace is over before (its own proxies come back
all at once after its restart, and what was on its way to them is lost), the fleet is split into subsets of
similar backends; a table holds one of them: it costs its share of the entries, and so does a drain. A
coordinator may have to take the proxies of others that died, and each that joins has the drain's grace until
the table it came with must be right: that sizes the subsets. One subset is the whole fleet, and then nothing
is split. A table has copies where more proxies use it than one entry could reach.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from granitespool.endpoints import Label
from granitespool.planner.admission_levels import admission_entries_max
from granitespool.planner.in_flight import InFlightAccount
from granitespool.planner.records import READY, Backend
from granitespool.settings import Settings
from granitespool.units import SECOND

OUTDATED = 12 * SECOND  # ns that observations count for in the planner's means (the report decay): a table
#                         that arrives later is made of what is forgotten
TAKEOVER_SHARES = 4  # proxies' shares that one coordinator may have to carry: its own and three others'
ASSIGNMENT_SHARE = 0.5  # share of what the channel carries within the grace that assignments may take
SUBSET_SIZE_MIN = 16  # backends of a subset: with a third of them ejected, those left still share evenly
RESPLIT_FACTOR = 3  # that the fleet's size must have changed by for all to be split anew: a lost zone must
#                     not do it, nor a release whose old half has gone before the new one is verified
UNEVEN_FACTOR = 2  # times the smallest subset's size, and one more, that the largest may have: else one moves
SUBSCRIBERS_SHARE = 0.5  # share of the queue that one entry to all subscribers of a table may take


class TablePosition(NamedTuple):
    """Where a table stands."""

    zone: str
    position: int  # among the zone's tables: copy * subsets + subset


class Subsets:
    """Which subset each backend is in, and the tables of each zone."""

    def __init__(self, zones: Iterable[str]) -> None:
        self.count = 1
        self.split_size = 0  # backends that the count was chosen for
        self.tables: dict[str, list[int]] = {}  # zone -> its tables
        self.proxies: Counter[int] = Counter()  # table -> proxies that are or will be on it
        self.sizes: Counter[int] = Counter()  # subset -> its backends
        self._positions: list[TablePosition] = []  # by table
        self._proxies_before = 0.0  # proxies of the coordinators before this one
        self._own_proxies = 0.0  # this one's share of all proxies
        self._loads: defaultdict[int, float] = defaultdict(
            int
        )  # table -> its proxies and their request rates
        self._similar: Counter[tuple[int, Label, Label]] = Counter()  # subset_key -> backends
        self._ready: dict[str, Backend] = {}
        self._verified: dict[str, Backend] = {}  # ready ones that are verified
        self._none_verified = True  # so it was at the last call
        for zone in zones:
            self.ensure_zone(zone)

    @property
    def table_count(self) -> int:
        """How many tables there are."""
        return len(self._positions)

    def ensure_zone(self, zone: str) -> str:
        """This zone, which has a table at least from now on."""
        if zone not in self.tables:
            self._add_table(zone)
        return zone

    def _add_table(self, zone: str) -> None:
        tables = self.tables.setdefault(zone, [])
        tables.append(self.table_count)
        self._positions.append(TablePosition(zone, len(tables) - 1))

    # Tables and their proxies

    def join(self, zone: str, rate: float, in_flight: InFlightAccount) -> int:
        """The table for a proxy that joins: the least loaded of its zone.

        A further one is made where all have too many subscribers for one entry to reach them in one go.
        """
        while len(self.tables.get(zone, ())) < self.count:
            self._add_table(zone)
        table = min(self.tables[zone], key=lambda each: (self._loads[each], self._turn(each)))
        if self.proxies[table] * (1 + in_flight.header) >= SUBSCRIBERS_SHARE * in_flight.limit:
            self._add_table(zone)
            table = self.tables[zone][-1]
        self.proxies[table] += 1
        self._loads[table] += 1 + rate
        return table

    def leave(self, table: int, rate: float) -> None:
        """A proxy of this table and request rate is gone."""
        self.proxies[table] -= 1
        self._loads[table] = max(0.0, self._loads[table] - 1 - rate) if self.proxies[table] else 0.0

    def _turn(self, table: int) -> tuple[int, int]:
        """When this table of a zone has its turn among those as loaded.

        The proxies of all coordinators are thought of in one row, those of this one and zone after all before
        them, and the subsets are given along it. Otherwise coordinators with fewer proxies in a zone than
        there are subsets would all give the same few: 680 of them sent all requests to 170 of 2,900 backends.
        """
        zone, position = self._positions[table]
        copy, subset = divmod(position, self.count)
        before = self._proxies_before + self._own_proxies * list(self.tables).index(zone) / len(self.tables)
        return copy, (subset - int(before)) % self.count

    def zone_of(self, table: int) -> str:
        """The zone that a table is of."""
        return self._positions[table].zone

    def tables_of(self, backend: Backend, zone: str) -> list[int]:
        """The tables of a zone that are to hold this backend."""
        return [] if backend.subset is None else self.tables[zone][backend.subset :: self.count]

    def left_over(self, backend: Backend) -> list[int]:
        """The tables that hold this backend and are not to."""
        return [
            table
            for table, weight in backend.published.items()
            if weight and not self._is_held(table, backend.subset)
        ]

    def _is_held(self, table: int, subset: int | None) -> bool:
        return subset is not None and self._positions[table].position % self.count == subset

    # Backends and their subsets

    def assign(
        self,
        settings: Settings,
        in_flight: InFlightAccount,
        backends: Iterable[Backend],
        changed: list[Backend] | None = None,
    ) -> list[Backend]:
        """Give every ready backend its subset, and take it from the others.

        `changed`: the only backends whose phase, zone, machine type or verification changed since the last
        call, where that is known. Returns those whose tables have changed: all where the fleet was split
        anew.
        """
        if changed is None:
            self._ready = {}
            self._verified = {}
        self._sort(backends if changed is None else changed)
        # The list may name what is not there: while any is verified, an unverified backend is in no subset
        able = self._verified or self._ready
        is_split_anew = not self.split_size / RESPLIT_FACTOR <= len(able) <= self.split_size * RESPLIT_FACTOR
        if is_split_anew:
            self._split(settings, in_flight, len(able))
        if is_split_anew or not self._verified or changed is None or self._none_verified:
            changed = list(backends)
            self._reset_counts(changed)
        self._none_verified = not self._verified
        before = [(backend, backend.subset) for backend in changed]
        self._place(changed, able, is_split_anew)
        before += self._even_out(able)
        return [backend for backend, subset in before if is_split_anew or backend.subset != subset]

    def _sort(self, backends: Iterable[Backend]) -> None:
        for backend in backends:
            is_ready = backend.phase == READY
            self._keep_in(self._ready, backend, is_ready)
            self._keep_in(self._verified, backend, is_ready and backend.verified)

    @staticmethod
    def _keep_in(group: dict[str, Backend], backend: Backend, is_member: bool) -> None:
        if is_member:
            group[backend.name] = backend
        else:
            group.pop(backend.name, None)

    def _split(self, settings: Settings, in_flight: InFlightAccount, size: int) -> None:
        self.split_size = size
        self.count = subsets_wanted(settings, in_flight, size)
        if settings.coordinator_index is not None:
            self._own_proxies = (settings.proxies_expected or 0) / (settings.coordinators or 1)
            self._proxies_before = self._own_proxies * settings.coordinator_index

    def _reset_counts(self, backends: list[Backend]) -> None:
        self.sizes = Counter()
        self._similar = Counter()
        for backend in backends:
            backend.subset_key = None

    def _place(self, backends: list[Backend], able: dict[str, Backend], is_split_anew: bool) -> None:
        for backend in backends:
            self._remove(backend)
            if is_split_anew or backend.name not in self._verified:
                backend.subset = None
            if backend.subset is not None:
                self._add(backend, backend.subset)
        for backend in backends:
            if backend.subset is None and backend.name in able:
                self._add(backend, self._smallest_for(backend))

    def _smallest_for(self, backend: Backend) -> int:
        """The subset with the fewest similar backends, and of those the one with the fewest."""
        return min(
            range(self.count),
            key=lambda subset: (
                self._similar[subset, backend.zone, backend.machine_type],
                self.sizes[subset],
                subset,
            ),
        )

    def _even_out(self, able: dict[str, Backend]) -> list[tuple[Backend, int | None]]:
        """Move backends from the largest subset to the smallest until they are even.

        Returns those, with the former subset of each.
        """
        moved: list[tuple[Backend, int | None]] = []
        while self.count > 1:
            largest = max(range(self.count), key=self.sizes.__getitem__)
            smallest = min(range(self.count), key=self.sizes.__getitem__)
            if self.sizes[largest] <= UNEVEN_FACTOR * self.sizes[smallest] + 1:
                break
            backend = self._most_similar_in(largest, able)
            moved.append((backend, largest))
            self._remove(backend)
            self._add(backend, smallest)
        return moved

    def _most_similar_in(self, subset: int, able: dict[str, Backend]) -> Backend:
        """The backend of a subset that has most like it there, the oldest of them."""
        return max(
            (backend for backend in able.values() if backend.subset == subset),
            key=lambda each: (self._similar[subset, each.zone, each.machine_type], -each.sequence),
        )

    def _add(self, backend: Backend, subset: int) -> None:
        backend.subset = subset
        backend.subset_key = (subset, backend.zone, backend.machine_type)
        self.sizes[subset] += 1
        self._similar[backend.subset_key] += 1

    def _remove(self, backend: Backend) -> None:
        if backend.subset_key is not None:
            self.sizes[backend.subset_key[0]] -= 1
            self._similar[backend.subset_key] -= 1
            backend.subset_key = None


def subsets_wanted(settings: Settings, in_flight: InFlightAccount, size: int) -> int:
    """How many subsets the channel asks for, of a fleet with so many backends."""
    grace = settings.drain_grace
    expected = settings.proxies_expected
    if not grace or not expected or not settings.entries_per_s or settings.slices:
        return 1
    own_proxies = -(-expected // max(1, settings.coordinators or 1))
    fixed = in_flight.header + 1 + admission_entries_max(len(settings.classes))
    if (size + fixed) * own_proxies * SECOND <= min(OUTDATED, grace) * in_flight.rate:
        return 1  # the design's own tables
    proxies = min(expected, TAKEOVER_SHARES * own_proxies)
    # Settings may tell whole numbers as 3.0
    subset_size = int(ASSIGNMENT_SHARE * in_flight.rate * grace / SECOND / proxies - fixed)
    if subset_size >= size:
        return 1
    return max(1, size // max(SUBSET_SIZE_MIN, subset_size))
