"""The interface to the planner: report events, advance the time, and get the messages for each recipient.

    coordinator.report(now, LoadReport(...))            # any number of events, all with the time of the turn
    due = coordinator.tick(now)                         # ends the turn; returns the time of the next timer
    for recipient in coordinator.recipients():          # recipients with pending messages
        message = coordinator.pick(recipient)   # None if there is no further one

All events of one turn form a batch, and everything that the planner orders in that turn becomes one message
for each proxy. Pending messages merge with later ones: the last weight and the last barrier replace the
earlier ones. This module decides nothing and does no I/O.
"""

import heapq
import traceback
from collections.abc import Callable, Iterable
from typing import Any, Literal, overload

import msgspec

from granitespool.coordinator_actions import CoordinatorActions
from granitespool.coordinator_status import (
    CoordinatorBackendStatus,
    CoordinatorMetrics,
    CoordinatorStatus,
    EndpointState,
    ZoneStatus,
)
from granitespool.endpoints import Endpoint, Phase
from granitespool.outgoing import (
    GossipMessage,
    HealthCheckRequest,
    InternalError,
    OutgoingMessage,
    ProxyUpdate,
    Queue,
    Recipient,
    RemovedBackend,
)
from granitespool.planner.events import (
    EndpointListUpdate,
    Event,
    ListForm,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
)
from granitespool.planner.planner import Planner
from granitespool.planner.status import LateDrains, Outliers, Snapshot
from granitespool.settings import Settings

# Settings that change only by a restart, since the coordinator's state depends on them: field -> name in the
# deployment's settings
FIXED_SETTINGS = {
    "classes": "classes",
    "slices": "slices",
    "subscribe": "subscribe",
    "coordinator_index": "index",
}


class Coordinator(CoordinatorActions):
    """A planner, the actions that it takes, and the pending messages of each recipient."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings.class_names, now)
        self.settings = settings
        self.classes = settings.class_names
        self.load_reports = 0  # received since the start
        self._list_changes: list[Endpoint] = []  # reported and not handled yet, in order
        self._on_event: dict[type[Event], Callable[[Any], None]] = {
            LoadReport: self._on_load_report,
            ProxyJoined: self._on_proxy_joined,
            ProxyLeft: self._on_proxy_left,
            EndpointListUpdate: self._on_endpoint_list,
        }
        self.planner = Planner(self, seed, settings)

    def report(self, now: int, event: Event) -> None:
        """Handle an event that happened at `now` (ns).

        Changes of the endpoint list that follow each other are handled as one event, before the next event or
        the end of the turn: an order on the first of them could be wrong by the others.
        """
        is_list_change = isinstance(event, EndpointListUpdate) and event.form == ListForm.CHANGES
        if not is_list_change:
            self._handle_list_changes()
        self.now = max(self.now, now)
        if isinstance(event, EndpointListUpdate) and is_list_change:
            self._list_changes += event.entries
        else:
            self._handle(event)

    def _handle_list_changes(self) -> None:
        """Handle the changes of the endpoint list that were reported and not handled yet."""
        if self._list_changes:
            entries, self._list_changes = self._list_changes, []
            self._handle(EndpointListUpdate(ListForm.CHANGES, entries))

    def _handle(self, event: Event) -> None:
        handler = self._on_event.get(type(event))
        if handler is not None:
            handler(event)
        self._call_planner(self.planner.handle, event)

    def _on_load_report(self, _: LoadReport) -> None:
        self.load_reports += 1

    def _on_proxy_joined(self, event: ProxyJoined) -> None:
        self.updates.join(event.proxy)

    def _on_proxy_left(self, event: ProxyLeft) -> None:
        self.updates.leave(event.proxy)

    def _on_endpoint_list(self, event: EndpointListUpdate) -> None:
        """Record which backends another coordinator may have excluded.

        No coordinator excludes a backend that was never in the endpoint list, and one that saw it return has
        readmitted it. A backend that is listed as before was not excluded, unless it left and returned
        between two lists.
        """
        self.updates.mark_possibly_excluded(
            entry.name for entry in event.entries if self._may_be_excluded(entry)
        )

    def _may_be_excluded(self, entry: Endpoint) -> bool:
        if entry.phase != Phase.READY:
            return True
        backend = self.planner.inspection.backend(entry.name)
        return backend is not None and entry.started_at > backend.started_at

    def tick(self, now: int) -> int | None:
        """Run the expired timers and end the turn; return when the next timer is due (ns), or None."""
        self._handle_list_changes()
        self.now = max(self.now, now)
        expired = []
        while self.timers and self.timers[0].due <= self.now:
            expired.append(heapq.heappop(self.timers))
        for timer in expired:
            self._call_planner(self.planner.on_timer, timer.cookie)
        self.updates.end_turn(self._barrier)
        self._barrier = None
        return self.timers[0].due if self.timers else None

    def _call_planner(self, call: Callable[..., None], *arguments: object) -> None:
        """Call the planner; an exception in it, or in its actions, is logged as an InternalError.

        The exception is caught here because all proxies would lose their coordinator if it ended the process.
        The planner continues with a state that may be partly changed, and its orders up to there are sent.
        """
        try:
            call(self.now, *arguments)
        except Exception:
            self.log(traceback.format_exc())

    def recipients(self) -> list[Recipient]:
        """Return the recipients with pending messages, proxies first."""
        return [*self.updates.waiting, *(queue for queue, messages in self.queues.items() if messages)]

    @overload
    def pick(self, recipient: int) -> ProxyUpdate | None: ...

    @overload
    def pick(self, recipient: Literal[Queue.HEALTH_CHECKS]) -> HealthCheckRequest | None: ...

    @overload
    def pick(self, recipient: Literal[Queue.GOSSIP]) -> GossipMessage | None: ...

    @overload
    def pick(self, recipient: Literal[Queue.INTERNAL_ERRORS]) -> InternalError | None: ...

    @overload
    def pick(self, recipient: Literal[Queue.REMOVED_BACKENDS]) -> RemovedBackend | None: ...

    @overload
    def pick(self, recipient: Literal[Queue.LATE_DRAINS]) -> LateDrains | None: ...

    @overload
    def pick(self, recipient: Recipient) -> OutgoingMessage | None: ...

    def pick(self, recipient: Recipient) -> OutgoingMessage | None:
        """Return the next message for a recipient (a proxy or a queue), or None if there is none."""
        if not isinstance(recipient, Queue):
            return self.updates.next_update(recipient)
        messages = self.queues[recipient]
        return messages.popleft() if messages else None

    # Settings

    def fixed_settings_changed(self, settings: Settings) -> list[str]:
        """Return the names of the settings that differ and would take effect only by a restart."""
        return [FIXED_SETTINGS[field] for field in self._fixed_fields_changed(settings)]

    def _fixed_fields_changed(self, settings: Settings) -> list[str]:
        fields = [
            field for field in FIXED_SETTINGS if getattr(settings, field) != getattr(self.settings, field)
        ]
        if "classes" in fields and settings.class_names == self.classes:
            fields.remove("classes")  # only names and order are fixed, which tables and levels depend on
        return fields

    def apply_settings(self, now: int, settings: Settings) -> list[str]:
        """Apply settings from now on; return the names of those that take effect only by a restart."""
        fixed = self._fixed_fields_changed(settings)
        former = {field: getattr(self.settings, field) for field in fixed}
        self.settings = msgspec.structs.replace(settings, **former)
        self.now = max(self.now, now)
        self._call_planner(lambda _: self.planner.apply_settings(self.settings))
        return [FIXED_SETTINGS[field] for field in fixed]

    # State

    def endpoint_states(self) -> dict[str, EndpointState]:
        """Return the state of every known backend in the endpoint list, by name."""
        return {
            backend.name: EndpointState(backend.phase, backend.started_at)
            for backend in self.planner.inspection.backends()
        }

    def snapshot(self, names: Iterable[str]) -> Snapshot:
        """Return a snapshot of the fleet and of these backends, for a later process to restore."""
        return self.planner.inspection.snapshot(names)

    def status(self) -> CoordinatorStatus:
        """Return the operational state of the fleet and of each zone."""
        inspection = self.planner.inspection
        zones = [self._zone_status(zone, tables) for zone, tables in inspection.tables().items()]
        return CoordinatorStatus(inspection.status(), zones)

    def _zone_status(self, zone: str, tables: list[int]) -> ZoneStatus:
        return ZoneStatus(zone, self.updates.entry_count(tables), self.updates.levels_of(tables))

    def backend_status(self, name: str) -> CoordinatorBackendStatus | None:
        """Return a backend's operational state, or None if the backend is not known."""
        status = self.planner.inspection.backend_status(name)
        if status is None:
            return None
        return CoordinatorBackendStatus(status, is_excluded=name in self.updates.excluded)

    def metrics(self) -> CoordinatorMetrics:
        """Return the metrics that can be summed over coordinators."""
        return CoordinatorMetrics(self.planner.inspection.metrics(self.now), self.load_reports)

    def outliers(self, limit: int) -> Outliers:
        """Return at most `limit` backends whose weight is not an ordinary one."""
        return self.planner.inspection.outliers(self.now, limit)

    def joined_zones(self) -> set[str]:
        """Return the zones that proxies have joined from."""
        return self.planner.inspection.joined_zones()
