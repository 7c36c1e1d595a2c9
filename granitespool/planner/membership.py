"""Membership of backends in the fleet, according to the endpoint list.

The endpoint list may be old or wrong. If health checks are permitted, a backend that is added while the
planner runs is used only after a health check or an attempt has succeeded. If the settings require a drain
before a removal, a ready backend that the list no longer contains is removed only after a health check has
failed.
"""

from granitespool.endpoints import Endpoint
from granitespool.planner.cost import CostTable
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.events import EndpointListUpdate, ListForm
from granitespool.planner.fleet import Fleet
from granitespool.planner.health import HealthVerification
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.records import GONE, READY, Backend
from granitespool.planner.slow_start import SlowStart
from granitespool.planner.subsets import Subsets
from granitespool.settings import Settings

DEFAULT_WEIGHT = 1.0  # used if the endpoint list contains no weight above 0


class FleetMembership:
    """Applies endpoint lists to the fleet."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        dirty: DirtySet,
        costs: CostTable,
        subsets: Subsets,
        slow_start: SlowStart,
        health: HealthVerification,
        overload: OverloadDetector,
    ) -> None:
        self.settings = settings
        self._fleet = fleet
        self._dirty = dirty
        self._costs = costs
        self._subsets = subsets
        self._slow_start = slow_start
        self._health = health
        self._overload = overload
        self._list_applied = False

    def apply(self, now: int, update: EndpointListUpdate) -> None:
        """Apply an endpoint list. Its form must not be `ListForm.FAILED`."""
        for entry in update.entries:
            self._apply_entry(now, entry)
        if update.form != ListForm.CHANGES:
            listed = {entry.name for entry in update.entries}
            for backend in list(self._fleet.backends.values()):
                if backend.name not in listed:
                    self._apply_entry(now, _removal_of(backend))
        self._list_applied = True

    def _apply_entry(self, now: int, entry: Endpoint) -> None:
        backend = self._fleet.backends.get(entry.name)
        before = None if backend is None else _listed_state(backend)
        if backend is None:
            backend = self._fleet.create(entry.name, now)
            self._costs.reset_backend(backend)
        was_ready = backend.phase == READY
        is_removal = entry.phase == GONE and was_ready
        backend.removal_unconfirmed = bool(is_removal and self.settings.removal_needs_drain)
        if backend.removal_unconfirmed:
            self._health.check(now, backend, at_once=True)
            return
        if was_ready and entry.phase != READY:
            backend.left_ready_at = now
        if entry.phase == READY and (not was_ready or entry.started_at > backend.started_at):
            self._start(now, backend, entry.started_at)
        if entry.machine_type != backend.machine_type and backend.costs_evaluated:
            self._costs.freeze(backend, self._subsets.tables, self._fleet.period)
        backend.zone = entry.zone
        backend.machine_type = entry.machine_type
        backend.phase = entry.phase
        backend.started_at = max(entry.started_at, backend.started_at)
        backend.configured_weight = entry.weight if entry.weight > 0 else DEFAULT_WEIGHT
        if before != _listed_state(backend):
            self._dirty.mark_changed(backend)

    def _start(self, now: int, backend: Backend, started_at: int) -> None:
        """Reset the links and the slow start of a backend that is new, has returned or has restarted.

        Backends of the first endpoint list enter slow start only if they are still cold. Cold backends in the
        first list can mean that the fleet is overloaded and that the admission levels are lost.
        """
        is_cold = self._slow_start.is_cold_at_start(now, started_at)
        self._costs.reset_backend(backend)
        backend.slow_start_since = now if self._list_applied or is_cold else None
        backend.verified = not (self._list_applied and self.settings.health_checks_allowed)
        if not backend.verified:
            self._health.check(now, backend, at_once=True)
        if is_cold and not self._list_applied:
            self._overload.assume_cold_start()


def _listed_state(backend: Backend) -> tuple[object, ...]:
    return (
        backend.zone,
        backend.machine_type,
        backend.phase,
        backend.configured_weight,
        backend.started_at,
    )


def _removal_of(backend: Backend) -> Endpoint:
    """Return an endpoint list entry that removes a backend."""
    return Endpoint(
        name=backend.name,
        zone=backend.zone,
        machine_type=backend.machine_type,
        cell=None,
        phase=GONE,
        weight=backend.configured_weight,
        started_at=0,
    )
