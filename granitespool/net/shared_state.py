"""One snapshot of the operational state, shared by all management clients for a short time."""

from collections.abc import Callable, Iterator, MutableMapping
from typing import Any
from weakref import WeakValueDictionary

from granitespool.management.data_tree import Tree
from granitespool.management.interfaces import StateReader
from granitespool.net.loop import SECOND

VALID_FOR = SECOND // 4  # ns after its start for which a snapshot is used


class SharedState:
    """A snapshot of the operational state that is read in steps; each step serves all clients.

    `leaf_values` caches what protocols derived from the latest tree. `leaf_cache` caches data of a leaf by
    the text of its path, as long as a client refers to it. With both, a hundred subscribers of the same paths
    cost one flattening, and a value is encoded once. It also keeps the number of objects low, which matters
    as much because the garbage collector traverses all of them.
    """

    def __init__(self, make_reader: Callable[[], StateReader]) -> None:
        """Create the cache; `make_reader` returns a reader for a new snapshot."""
        self.make_reader = make_reader
        self.tree: Tree | None = None
        self.started_at: int | None = None  # ns
        self.reader: StateReader | None = None
        self.steps: Iterator[None] | None = None
        self.leaf_values: dict[tuple[str, int], Any] = {}
        self.leaf_cache: MutableMapping[str, Any] = WeakValueDictionary()

    def poll(self, now: int) -> Tree | None:
        """Return a tree that is at most `VALID_FOR` old, or do one step of reading it and return None.

        The age counts from the start of the reading; `now` in ns.
        """
        if self.steps is None or self.reader is None:
            if self.started_at is not None and now - self.started_at < VALID_FOR:
                return self.tree
            self.reader = self.make_reader()
            self.started_at = now
            self.steps = self.reader.steps()
        if not self._has_ended(self.steps):
            return None
        self.tree = self.reader.tree
        self.steps = None
        self.leaf_values = {}
        return self.tree

    @staticmethod
    def _has_ended(steps: Iterator[None]) -> bool:
        try:
            next(steps)
        except StopIteration:
            return True
        return False
