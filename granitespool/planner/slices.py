"""Slices: tables that a store assigns to a coordinator, with the store's entries instead of those of a zone.

The store's entries are kept, but a backend that drains or is gone is excluded and, unless slices have a
single owner, replaced by the ready backend with the fewest slices, a warm one if there is any.
"""

from granitespool.planner.actions import PlannerActions
from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.fleet import Fleet
from granitespool.planner.outbox import Outbox
from granitespool.planner.records import READY, Backend, Exclusion
from granitespool.planner.slow_start import SlowStart
from granitespool.planner.timers import Timer
from granitespool.settings import Settings


class SliceTables:
    """The slices that this coordinator owns, and their entries."""

    def __init__(
        self,
        settings: Settings,
        actions: PlannerActions,
        fleet: Fleet,
        slow_start: SlowStart,
        assignment: ProxyAssignment,
        outbox: Outbox,
    ) -> None:
        self.settings = settings
        self._entries: dict[int, dict[str, float]] = {}  # table -> {backend: weight}
        self._actions = actions
        self._fleet = fleet
        self._slow_start = slow_start
        self._assignment = assignment
        self._outbox = outbox

    def assign(self, table: int, owned: bool) -> None:
        """Record that the store has assigned a slice to this coordinator, or has withdrawn it."""
        self._entries.pop(table, None)
        if owned:
            self._entries[table] = {}
            self._actions.set_timer(0, Timer.PUBLISH)  # its entries arrive in the same turn

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Record an entry that the store has set in an owned slice."""
        if table in self._entries:
            self._entries[table][backend] = weight

    def proxy_joined(self) -> None:
        """Have all exclusions sent again, since a proxy that has just joined did not get them."""
        for backend in self._fleet.backends.values():
            backend.exclusion = Exclusion.NEVER

    def publish(self, now: int) -> None:
        """Exclude backends that are not ready, and replace them in the slices."""
        ready = {backend.name: backend for backend in self._fleet.backends.values() if backend.phase == READY}
        for backend in self._fleet.backends.values():
            self._update_exclusion(now, backend, backend.name not in ready)
        if ready and not self.settings.single_owner:
            for table, entries in self._entries.items():
                self._replace(now, table, entries, ready)

    def _update_exclusion(self, now: int, backend: Backend, excluded: bool) -> None:
        if (backend.exclusion == Exclusion.EXCLUDED) != excluded:
            backend.exclusion = Exclusion.EXCLUDED if excluded else Exclusion.READMITTED
            self._outbox.exclude(now, self._assignment.proxies, backend.name, excluded)

    def _replace(self, now: int, table: int, entries: dict[str, float], ready: dict[str, Backend]) -> None:
        for name in [name for name in entries if name not in ready]:
            del entries[name]
            self._outbox.set_owned_entry(now, self._assignment.proxies, table, name, 0.0)
        if not entries:
            name = self._replacement(now, ready)
            entries[name] = 1.0
            self._outbox.set_owned_entry(now, self._assignment.proxies, table, name, 1.0)

    def _replacement(self, now: int, ready: dict[str, Backend]) -> str:
        assigned = [name for entries in self._entries.values() for name in entries]
        return min(
            ready, key=lambda name: (not self._slow_start.is_warm(now, ready[name]), assigned.count(name))
        )
