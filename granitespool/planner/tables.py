"""The entry count of each table, its subscribers, and the part of the table that each of them has.

A subscriber has the complete table, or, while the channel cannot carry complete tables in time, a part of it.
Only changes of the entries that it has are sent to it until the rest of the table follows.
"""

from collections import Counter, defaultdict
from collections.abc import Collection

from granitespool.planner.subsets import Subsets


class TableDirectory:
    """The tables, with their subscribers and entry counts."""

    def __init__(self, subsets: Subsets) -> None:
        self.subsets = subsets
        self.entry_counts: Counter[int] = Counter()  # table -> number of its entries
        self.subscribers: defaultdict[int, dict[int, None]] = defaultdict(dict)  # table -> proxies
        self.partial: dict[int, set[str]] = {}  # proxy with a part of its table -> backends in that part

    def subscribe(self, table: int, proxy: int) -> None:
        """Add a proxy to the subscribers of a table."""
        self.subscribers[table][proxy] = None

    def unsubscribe(self, table: int, proxy: int) -> None:
        """Remove a proxy from the subscribers of a table, if it is one."""
        self.subscribers[table].pop(proxy, None)
        self.partial.pop(proxy, None)

    def recipients(self, table: int, backend: str) -> Collection[int]:
        """Return the subscribers that are sent a change of a backend's entry."""
        subscribers = self.subscribers[table]
        if not self.partial:
            return subscribers
        return [proxy for proxy in subscribers if self.has_entry(proxy, backend)]

    def entries_by_recipient(self, table: int, backends: Collection[str]) -> dict[int, int]:
        """Return, by proxy, how many changes of these backends' entries a subscriber is sent."""
        subscribers = self.subscribers[table]
        if not self.partial:
            return dict.fromkeys(subscribers, len(backends))
        counts = {proxy: sum(self.has_entry(proxy, backend) for backend in backends) for proxy in subscribers}
        return {proxy: count for proxy, count in counts.items() if count}

    def has_entry(self, proxy: int, backend: str) -> bool:
        """Return whether a subscriber has the entry of a backend, if its table contains the backend."""
        return proxy not in self.partial or backend in self.partial[proxy]

    def would_empty(self, proxy: int, backend: str) -> bool:
        """Return whether a subscriber has no entry but that of a backend."""
        return self.partial.get(proxy) == {backend}
