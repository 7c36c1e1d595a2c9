"""The backends that the planner knows, and the number of the present period."""

from granitespool.planner.records import Backend
from granitespool.units import SECOND

# ns between recomputations. It is the period of the load reports, so that each step moves weights little.
RECOMPUTATION_PERIOD = 1 * SECOND


class Fleet:
    """All known backends by name, in creation sequence."""

    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.period = 0  # recomputations so far
        self._created = 0

    def create(self, name: str, now: int) -> Backend:
        """A new backend, gone until its endpoint entry is applied."""
        self._created += 1
        backend = self.backends[name] = Backend(name, now, self._created, -RECOMPUTATION_PERIOD)
        return backend

    def remove(self, name: str) -> None:
        """Nothing is known of a backend any more."""
        del self.backends[name]
