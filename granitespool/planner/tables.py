"""The tables, who is subscribed to each, and how many entries each has."""

from collections import Counter, defaultdict

from granitespool.planner.subsets import Subsets


class TableDirectory:
    """What publication and assignment know of the tables."""

    def __init__(self, subsets: Subsets) -> None:
        self.subsets = subsets
        self.entry_counts: Counter[int] = Counter()  # table -> its entries
        self.subscribers: defaultdict[int, dict[int, None]] = defaultdict(dict)  # table -> proxies on it

    def subscribe(self, table: int, proxy: int) -> None:
        """A proxy is on a table from now on."""
        self.subscribers[table][proxy] = None

    def unsubscribe(self, table: int, proxy: int) -> None:
        """A proxy is on a table no more, if it was."""
        self.subscribers[table].pop(proxy, None)
