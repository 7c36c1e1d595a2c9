"""Short tables: the parts in which a table is assigned while complete tables would arrive too late.

The parts of a table share its entries evenly, so that the proxies on them together spread their requests as
proxies with the complete table do. Backends that are cold are left out where warm ones suffice.
"""

from collections import Counter, defaultdict
from collections.abc import Collection

from granitespool.planner.fleet import Fleet
from granitespool.planner.records import READY, Backend
from granitespool.planner.slow_start import SlowStart

# Entries of a part at least, largest first: a proxy spreads its requests over so few backends for seconds
PART_SIZES = (8, 4, 2)
PART_SIZE_MIN = PART_SIZES[-1]
EXTENSION_SIZE = 4  # entries at least, where the last entry of a part is removed


class ShortTables:
    """Chooses the part of its table that a proxy is assigned, in turn over the parts of the table."""

    def __init__(self, fleet: Fleet, slow_start: SlowStart) -> None:
        self._fleet = fleet
        self._slow_start = slow_start
        self._assigned: Counter[int] = Counter()  # table -> parts that were assigned so far
        self._evaluated_at = -1  # ns
        self._members: dict[int, list[Backend]] = {}  # table -> backends for its parts, as of `_evaluated_at`

    def next_part(self, now: int, table: int, size: int) -> list[str]:
        """Return the backends of the next part of a table; empty if the table has no entry.

        The parts of a table have `size` entries or up to twice as many.
        """
        if now != self._evaluated_at:
            self._evaluated_at = now
            self._members = {
                table: self._usable(now, members) for table, members in self._members_by_table().items()
            }
        # An entry may have been removed since
        members = [backend.name for backend in self._members.get(table, ()) if backend.published.get(table)]
        count = max(1, len(members) // size)
        return members[self._assigned[table] % count :: count]

    def further_entries(self, now: int, table: int, part: Collection[str]) -> list[str]:
        """Return backends to add to a part of a table; empty if the part has all usable ones."""
        return [name for name in self.next_part(now, table, EXTENSION_SIZE) if name not in part]

    def count_assigned(self, table: int) -> None:
        """Record that a part of a table was assigned, so that the next proxy gets the next one."""
        self._assigned[table] += 1

    def _members_by_table(self) -> dict[int, list[Backend]]:
        members: defaultdict[int, list[Backend]] = defaultdict(list)
        for backend in self._fleet.backends.values():
            if backend.phase == READY:
                for table, weight in backend.published.items():
                    if weight:
                        members[table].append(backend)
        return members

    def _usable(self, now: int, members: list[Backend]) -> list[Backend]:
        warm = [backend for backend in members if self._slow_start.is_warm(now, backend)]
        return warm if len(warm) >= max(PART_SIZES) else members
