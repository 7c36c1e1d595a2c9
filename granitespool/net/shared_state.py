"""One reading of the operational state for all management clients that ask within a short time."""

from collections.abc import Callable, Iterator, MutableMapping
from typing import Any
from weakref import WeakValueDictionary

from granitespool.management.data_tree import Tree
from granitespool.management.interfaces import StateReader
from granitespool.net.loop import SECOND

VALID_FOR = SECOND // 4  # ns for which a reading serves


class SharedState:
    """A reading that is made in steps; a client that takes a step takes it for all.

    `flat` holds what protocols derived of the newest tree, `leaves` (by the text of their path) what they
    know of a leaf for as long as any of them holds it: a hundred subscribers of the same paths cost one
    flattening, and a value is encoded once. Few objects matter as much: the garbage collector walks them
    all."""

    def __init__(self, make_reader: Callable[[], StateReader]) -> None:
        """`make_reader` begins a new reading."""
        self.make_reader = make_reader
        self.tree: Tree | None = None
        self.started_at: int | None = None  # ns
        self.reader: StateReader | None = None
        self.steps: Iterator[None] | None = None
        self.leaf_values: dict[tuple[str, int], Any] = {}
        self.leaf_cache: MutableMapping[str, Any] = WeakValueDictionary()

    def poll(self, now: int) -> Tree | None:
        """A tree whose reading began `VALID_FOR` ago at most, or None after a step towards it; ns."""
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
