"""Subsets: splits a fleet whose complete table the channel cannot carry to all proxies.

By default a table contains the whole fleet. If the channel of a coordinator takes so long to send such tables
to its own proxies that they are outdated on arrival, or that the drain grace has expired (all its proxies
join again at once after its restart, and messages that were in flight to them are lost), the fleet is split
into subsets of similar backends. A table then contains one subset, and both the table and a drain cost that
share of the entries.

The size of the subsets follows from failover: a coordinator may have to serve the proxies of others that have
failed, and each proxy that joins needs a correct table within the drain grace. With a single subset, which is
the whole fleet, nothing is split. A table gets a copy when it has more subscribers than one entry could
reach.
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

# ns that observations count for in the planner's means, by the decay of load reports: a table that arrives
# later is based on observations that have decayed
TABLE_AGE_MAX = 12 * SECOND
FAILOVER_SHARES = 4  # shares of all proxies that one coordinator may have to serve: its own and three others'
ASSIGNMENT_SHARE = 0.5  # share of the channel's entries within the drain grace that assignments may take
SUBSET_SIZE_MIN = 16  # backends of a subset: with a third of them ejected, the rest still share evenly
# Factor by which the fleet's size must have changed to split it again. A lost zone must not cause that, nor a
# release whose old half is gone before the new half is verified.
RESPLIT_FACTOR = 3
# The largest subset may have this many times the backends of the smallest, and one more; else a backend moves
UNEVEN_FACTOR = 2
SUBSCRIBERS_SHARE = 0.5  # share of the queue that one entry to all subscribers of a table may take


class TablePosition(NamedTuple):
    """The zone of a table, and its position there."""

    zone: str
    position: int  # in the list of the zone's tables: copy * subset count + subset


class Subsets:
    """The subset of each backend, and the tables of each zone."""

    def __init__(self, zones: Iterable[str]) -> None:
        self.count = 1
        self.split_size = 0  # eligible backends at the last split
        self.tables: dict[str, list[int]] = {}  # zone -> its tables
        self.proxies: Counter[int] = Counter()  # table -> number of proxies that are or will be on it
        self.sizes: Counter[int] = Counter()  # subset -> number of its backends
        self._positions: list[TablePosition] = []  # by table
        self._proxies_before = 0.0  # proxies of the coordinators with lower indexes
        self._own_proxies = 0.0  # this coordinator's share of all proxies
        # table -> number of its proxies plus their request rates
        self._loads: defaultdict[int, float] = defaultdict(int)
        self._similar: Counter[tuple[int, Label, Label]] = Counter()  # subset_key -> number of backends
        self._ready: dict[str, Backend] = {}
        self._verified: dict[str, Backend] = {}  # ready and verified
        self._none_verified = True  # at the last call of `assign`
        for zone in zones:
            self.ensure_zone(zone)

    @property
    def table_count(self) -> int:
        """The number of tables."""
        return len(self._positions)

    def ensure_zone(self, zone: str) -> str:
        """Add a table for a zone that has none, and return the zone."""
        if zone not in self.tables:
            self._add_table(zone)
        return zone

    def _add_table(self, zone: str) -> None:
        tables = self.tables.setdefault(zone, [])
        tables.append(self.table_count)
        self._positions.append(TablePosition(zone, len(tables) - 1))

    # Tables and their proxies

    def join(self, zone: str, rate: float, in_flight: InFlightAccount) -> int:
        """Return the table for a joining proxy: the least loaded one of its zone.

        Another table is added if that has too many subscribers for one entry to be sent to all of them at
        once.
        """
        while len(self.tables.get(zone, ())) < self.count:
            self._add_table(zone)
        table = min(self.tables[zone], key=lambda table: (self._loads[table], self._join_order(table)))
        if self.proxies[table] * (1 + in_flight.header) >= SUBSCRIBERS_SHARE * in_flight.limit:
            self._add_table(zone)
            table = self.tables[zone][-1]
        self.proxies[table] += 1
        self._loads[table] += 1 + rate
        return table

    def leave(self, table: int, rate: float) -> None:
        """Remove a proxy with this request rate from a table."""
        self.proxies[table] -= 1
        self._loads[table] = max(0.0, self._loads[table] - 1 - rate) if self.proxies[table] else 0.0

    def _join_order(self, table: int) -> tuple[int, int]:
        """Return the sort key of a table among the equally loaded ones of its zone.

        The subsets are assigned round-robin over the proxies of all coordinators, ordered by coordinator and
        zone, so each coordinator starts at its own offset. Otherwise coordinators with fewer proxies in a
        zone than there are subsets would all use the same few: 680 of them sent all requests to 170 of 2,900
        backends.
        """
        zone, position = self._positions[table]
        copy, subset = divmod(position, self.count)
        before = self._proxies_before + self._own_proxies * list(self.tables).index(zone) / len(self.tables)
        return copy, (subset - int(before)) % self.count

    def zone_of(self, table: int) -> str:
        """Return the zone of a table."""
        return self._positions[table].zone

    def tables_of(self, backend: Backend, zone: str) -> list[int]:
        """Return the tables of a zone that a backend belongs to."""
        return [] if backend.subset is None else self.tables[zone][backend.subset :: self.count]

    def stale_tables(self, backend: Backend) -> list[int]:
        """Return the tables that contain a backend although it does not belong to them."""
        return [
            table
            for table, weight in backend.published.items()
            if weight and not self._is_member(table, backend.subset)
        ]

    def _is_member(self, table: int, subset: int | None) -> bool:
        return subset is not None and self._positions[table].position % self.count == subset

    # Backends and their subsets

    def assign(
        self,
        settings: Settings,
        in_flight: InFlightAccount,
        backends: Iterable[Backend],
        changed: list[Backend] | None = None,
    ) -> list[Backend]:
        """Assign a subset to each ready backend, and none to the others.

        `changed` contains all backends whose phase, zone, machine type or verification changed since the last
        call, None if that is unknown. Returns the backends whose tables have changed: all of them if the
        fleet was split again.
        """
        if changed is None:
            self._ready = {}
            self._verified = {}
        self._update_ready(backends if changed is None else changed)
        # The endpoint list may contain backends that do not exist: while any backend is verified, an
        # unverified one is in no subset
        eligible = self._verified or self._ready
        is_resplit = not self.split_size / RESPLIT_FACTOR <= len(eligible) <= self.split_size * RESPLIT_FACTOR
        if is_resplit:
            self._split(settings, in_flight, len(eligible))
        if is_resplit or not self._verified or changed is None or self._none_verified:
            changed = list(backends)
            self._reset_counts(changed)
        self._none_verified = not self._verified
        before = [(backend, backend.subset) for backend in changed]
        self._place(changed, eligible, is_resplit)
        before += self._rebalance(eligible)
        return [backend for backend, subset in before if is_resplit or backend.subset != subset]

    def _update_ready(self, backends: Iterable[Backend]) -> None:
        for backend in backends:
            is_ready = backend.phase == READY
            self._set_membership(self._ready, backend, is_ready)
            self._set_membership(self._verified, backend, is_ready and backend.verified)

    @staticmethod
    def _set_membership(group: dict[str, Backend], backend: Backend, is_member: bool) -> None:
        if is_member:
            group[backend.name] = backend
        else:
            group.pop(backend.name, None)

    def _split(self, settings: Settings, in_flight: InFlightAccount, size: int) -> None:
        self.split_size = size
        self.count = subset_count(settings, in_flight, size)
        if settings.coordinator_index is not None:
            self._own_proxies = (settings.proxies_expected or 0) / (settings.coordinators or 1)
            self._proxies_before = self._own_proxies * settings.coordinator_index

    def _reset_counts(self, backends: list[Backend]) -> None:
        self.sizes = Counter()
        self._similar = Counter()
        for backend in backends:
            backend.subset_key = None

    def _place(self, backends: list[Backend], eligible: dict[str, Backend], is_resplit: bool) -> None:
        for backend in backends:
            self._remove(backend)
            if is_resplit or backend.name not in self._verified:
                backend.subset = None
            if backend.subset is not None:
                self._add(backend, backend.subset)
        for backend in backends:
            if backend.subset is None and backend.name in eligible:
                self._add(backend, self._smallest_for(backend))

    def _smallest_for(self, backend: Backend) -> int:
        """Return the subset with the fewest similar backends, and of those the smallest."""
        return min(
            range(self.count),
            key=lambda subset: (
                self._similar[subset, backend.zone, backend.machine_type],
                self.sizes[subset],
                subset,
            ),
        )

    def _rebalance(self, eligible: dict[str, Backend]) -> list[tuple[Backend, int | None]]:
        """Move backends from the largest subset to the smallest until the sizes are close enough.

        Returns the moved backends, each with its former subset.
        """
        moved: list[tuple[Backend, int | None]] = []
        while self.count > 1:
            largest = max(range(self.count), key=self.sizes.__getitem__)
            smallest = min(range(self.count), key=self.sizes.__getitem__)
            if self.sizes[largest] <= UNEVEN_FACTOR * self.sizes[smallest] + 1:
                break
            backend = self._most_similar_in(largest, eligible)
            moved.append((backend, largest))
            self._remove(backend)
            self._add(backend, smallest)
        return moved

    def _most_similar_in(self, subset: int, eligible: dict[str, Backend]) -> Backend:
        """Return the backend with the most similar ones in a subset, the oldest of these."""
        return max(
            (backend for backend in eligible.values() if backend.subset == subset),
            key=lambda backend: (
                self._similar[subset, backend.zone, backend.machine_type],
                -backend.sequence,
            ),
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


def subset_count(settings: Settings, in_flight: InFlightAccount, size: int) -> int:
    """Return the number of subsets that a fleet of `size` backends is split into."""
    grace = settings.drain_grace
    expected = settings.proxies_expected
    if not grace or not expected or not settings.entries_per_s or settings.slices:
        return 1
    own_proxies = -(-expected // max(1, settings.coordinators or 1))
    fixed_entries = in_flight.header + 1 + admission_entries_max(len(settings.classes))
    if (size + fixed_entries) * own_proxies * SECOND <= min(TABLE_AGE_MAX, grace) * in_flight.rate:
        return 1  # the channel carries complete tables in time
    proxies = min(expected, FAILOVER_SHARES * own_proxies)
    # Settings may contain whole numbers as floats such as 3.0
    subset_size = int(ASSIGNMENT_SHARE * in_flight.rate * grace / SECOND / proxies - fixed_entries)
    if subset_size >= size:
        return 1
    return max(1, size // max(SUBSET_SIZE_MIN, subset_size))
