"""A snapshot of the operational state, which all management clients share for a short time."""

from collections.abc import Callable, Iterator, MutableMapping
from typing import Any
from weakref import WeakValueDictionary

from granitespool.management.data_tree import Tree
from granitespool.management.interfaces import StateReader
from granitespool.net.loop import SECOND

VALID_FOR = SECOND // 4  # ns from the start of reading a snapshot until the snapshot expires


class SharedState:
    """A snapshot of the operational state, which is read in steps on behalf of all clients.

    `leaf_values` caches the values that protocols derived from the latest tree. `leaf_cache` caches data of a
    leaf by the text of the leaf's path, as long as a client refers to the data. With both caches the tree is
    flattened once for a hundred subscribers of the same paths, and each value is encoded once. The caches
    also keep the number of objects low. This matters as much, because the garbage collector traverses all
    objects.
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
        """Return the tree if it has not expired; otherwise do one step of reading a new tree.

        Return None if that step does not complete the new tree. `now` is in ns. A tree expires `VALID_FOR`
        after its reading started.
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
