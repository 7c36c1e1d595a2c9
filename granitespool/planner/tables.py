"""The subscribers and the entry count of each table."""

from collections import Counter, defaultdict

from granitespool.planner.subsets import Subsets


class TableDirectory:
    """The tables, with their subscribers and entry counts."""

    def __init__(self, subsets: Subsets) -> None:
        self.subsets = subsets
        self.entry_counts: Counter[int] = Counter()  # table -> number of its entries
        self.subscribers: defaultdict[int, dict[int, None]] = defaultdict(dict)  # table -> proxies

    def subscribe(self, table: int, proxy: int) -> None:
        """Add a proxy to the subscribers of a table."""
        self.subscribers[table][proxy] = None

    def unsubscribe(self, table: int, proxy: int) -> None:
        """Remove a proxy from the subscribers of a table, if it is one."""
        self.subscribers[table].pop(proxy, None)
