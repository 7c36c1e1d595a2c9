"""The backends of the planner, and the number of the current period."""

from granitespool.planner.records import Backend
from granitespool.units import SECOND

# Time between recomputations, ns. It equals the period of the load reports, so that each recomputation moves
# the weights only a little.
RECOMPUTATION_PERIOD = 1 * SECOND


class Fleet:
    """All backends by name, in the order of their creation."""

    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.period = 0  # number of recomputations so far
        self._created = 0

    def create(self, name: str, now: int) -> Backend:
        """Create a backend in the phase `GONE`.

        The phase stays `GONE` until the endpoint list entry of the backend is applied.
        """
        self._created += 1
        backend = self.backends[name] = Backend(name, now, self._created, -RECOMPUTATION_PERIOD)
        return backend

    def remove(self, name: str) -> None:
        """Remove a backend with all its observations."""
        del self.backends[name]
