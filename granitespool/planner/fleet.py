"""The backends of the planner, and the number of the current period."""

from granitespool.planner.records import Backend
from granitespool.units import SECOND

# ns between recomputations. It is the period of the load reports, so that each step moves weights little.
RECOMPUTATION_PERIOD = 1 * SECOND


class Fleet:
    """All backends by name, in creation sequence."""

    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.period = 0  # recomputations so far
        self._created = 0

    def create(self, name: str, now: int) -> Backend:
        """Create a backend; its phase is gone until its endpoint list entry is applied."""
        self._created += 1
        backend = self.backends[name] = Backend(name, now, self._created, -RECOMPUTATION_PERIOD)
        return backend

    def remove(self, name: str) -> None:
        """Remove a backend and its observations."""
        del self.backends[name]
