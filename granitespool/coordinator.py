"""The way in to the decisions: report what has happened, tick the time, pick what is next for a recipient.

    coordinator.report(now, LoadReport(...))        # any number of events, all with the turn's one time
    due = coordinator.tick(now)                     # ends the turn; the time at which it is next due
    for recipient in coordinator.recipients():      # who has something waiting
        message = coordinator.next_message(recipient)       # None once there is nothing

What is reported in one turn is one batch, and what the planner orders on it is one message for each proxy.
Messages that were not picked yet merge with later ones: the last weight counts, and the last barrier stands
for those before. No decision is taken here, and there is no I/O.
"""

import heapq
import traceback
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Literal, NamedTuple, overload

import msgspec

from granitespool.coordinator_status import (
    CoordinatorBackendStatus,
    CoordinatorMetrics,
    CoordinatorStatus,
    EndpointState,
    ZoneStatus,
)
from granitespool.endpoints import Endpoint, Phase
from granitespool.outgoing import (
    ForgottenBackend,
    GossipMessage,
    HealthCheckRequest,
    InternalError,
    OutgoingMessage,
    ProxyUpdate,
    Queue,
    Recipient,
)
from granitespool.planner.admission_levels import AdmissionLevel
from granitespool.planner.events import EndpointListUpdate, Event, LoadReport, ProxyJoined, ProxyLeft
from granitespool.planner.planner import Planner
from granitespool.planner.records import UnassignedProxy
from granitespool.planner.status import Outliers, Snapshot
from granitespool.proxy_updates import ProxyUpdates
from granitespool.settings import Settings

# Settings that hold for the life of a coordinator, since what it keeps is built on them
FIXED_SETTINGS = {  # field -> the name that operators know it by: that of the deployment's settings
    "classes": "classes",
    "slices": "slices",
    "subscribe": "subscribe",
    "coordinator_index": "index",
}


class _Timer(NamedTuple):
    due: int  # ns
    number: int  # timers due at one time fire in the order in which they were set
    cookie: str


class Coordinator:
    """A planner, the actions that it takes, and what waits for each recipient.

    The methods from `set_entry` on are the planner's actions (`granitespool.planner.actions`).
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.classes = settings.class_names
        self.now = now
        self.load_reports = 0  # received since the start
        self.updates = ProxyUpdates(self.classes)
        self.queues: dict[Queue, deque[OutgoingMessage]] = {queue: deque() for queue in Queue}
        self.timers: list[_Timer] = []  # a heap
        self._timer_count = 0
        self._barrier: int | None = None  # of the messages of this turn
        self._on_event: dict[type[Event], Callable[[Any], None]] = {
            LoadReport: self._on_load_report,
            ProxyJoined: self._on_proxy_joined,
            ProxyLeft: self._on_proxy_left,
            EndpointListUpdate: self._on_endpoint_list,
        }
        self.planner = Planner(self, seed, settings)

    def report(self, now: int, event: Event) -> None:
        """Tell what has happened at `now` (ns)."""
        self.now = max(self.now, now)
        keep = self._on_event.get(type(event))
        if keep is not None:
            keep(event)
        self._contain(self.planner.handle, event)

    def _on_load_report(self, _: LoadReport) -> None:
        self.load_reports += 1

    def _on_proxy_joined(self, event: ProxyJoined) -> None:
        self.updates.join(event.proxy)

    def _on_proxy_left(self, event: ProxyLeft) -> None:
        self.updates.leave(event.proxy)

    def _on_endpoint_list(self, event: EndpointListUpdate) -> None:
        """Note which backends another coordinator may have excluded.

        Nobody excludes a name that was never listed, and whoever saw it return has readmitted it. One that is
        listed as before was not away, unless it went and came back between two lists.
        """
        self.updates.suspect(entry.name for entry in event.entries if self._may_be_excluded(entry))

    def _may_be_excluded(self, entry: Endpoint) -> bool:
        if entry.phase != Phase.READY:
            return True
        known = self.planner.inspection.backend(entry.name)
        return known is not None and entry.started_at > known.started_at

    def tick(self, now: int) -> int | None:
        """Run the timers that are due and end the turn; return when the next is due (ns), or None."""
        self.now = max(self.now, now)
        due = []
        while self.timers and self.timers[0].due <= self.now:
            due.append(heapq.heappop(self.timers))
        for timer in due:
            self._contain(self.planner.on_timer, timer.cookie)
        self.updates.end_turn(self._barrier)
        self._barrier = None
        return self.timers[0].due if self.timers else None

    def _contain(self, call: Callable[..., None], *arguments: object) -> None:
        """Call the planner; an error of its code, or of the actions it takes, becomes an InternalError.

        The boundary exists because an error that ended the process would cost every proxy its coordinator.
        After one the planner goes on with a state that may be changed in part; what it ordered stands.
        """
        try:
            call(self.now, *arguments)
        except Exception:
            self.log(traceback.format_exc())

    def recipients(self) -> list[Recipient]:
        """Return who has something waiting: proxies first."""
        return [*self.updates.waiting, *(queue for queue, messages in self.queues.items() if messages)]

    @overload
    def next_message(self, recipient: int) -> ProxyUpdate | None: ...

    @overload
    def next_message(self, recipient: Literal[Queue.HEALTH_CHECKS]) -> HealthCheckRequest | None: ...

    @overload
    def next_message(self, recipient: Literal[Queue.GOSSIP]) -> GossipMessage | None: ...

    @overload
    def next_message(self, recipient: Literal[Queue.INTERNAL_ERRORS]) -> InternalError | None: ...

    @overload
    def next_message(self, recipient: Literal[Queue.FORGOTTEN]) -> ForgottenBackend | None: ...

    @overload
    def next_message(self, recipient: Recipient) -> OutgoingMessage | None: ...

    def next_message(self, recipient: Recipient) -> OutgoingMessage | None:
        """Return what is next for a recipient: a proxy's update or the next of a queue; None without any."""
        if not isinstance(recipient, Queue):
            return self.updates.next_update(recipient)
        messages = self.queues[recipient]
        return messages.popleft() if messages else None

    # Settings

    def fixed_settings_changed(self, settings: Settings) -> list[str]:
        """Return the operators' names of settings that differ and would wait for a restart."""
        return [FIXED_SETTINGS[field] for field in self._fixed_fields_changed(settings)]

    def _fixed_fields_changed(self, settings: Settings) -> list[str]:
        fields = [
            field for field in FIXED_SETTINGS if getattr(settings, field) != getattr(self.settings, field)
        ]
        if "classes" in fields and settings.class_names == self.classes:
            fields.remove("classes")  # tables and levels go by their order; their values may change
        return fields

    def apply_settings(self, now: int, settings: Settings) -> list[str]:
        """Take settings for what is decided from now on; return the names of those that wait."""
        fixed = self._fixed_fields_changed(settings)
        former = {field: getattr(self.settings, field) for field in fixed}
        self.settings = msgspec.structs.replace(settings, **former)
        self.now = max(self.now, now)
        self._contain(lambda _: self.planner.apply_settings(self.settings))
        return [FIXED_SETTINGS[field] for field in fixed]

    # What may be asked

    def endpoint_states(self) -> dict[str, EndpointState]:
        """Return what the endpoint list says of every backend that is known, by name."""
        return {
            backend.name: EndpointState(backend.phase, backend.started_at)
            for backend in self.planner.inspection.backends()
        }

    def snapshot(self, names: Iterable[str]) -> Snapshot:
        """Return what is known of the fleet and of these backends, for a later life to restore."""
        return self.planner.inspection.snapshot(names)

    def status(self) -> CoordinatorStatus:
        """Return the operational state of the whole."""
        inspection = self.planner.inspection
        zones = [self._zone_status(zone, tables) for zone, tables in inspection.tables().items()]
        return CoordinatorStatus(inspection.status(), zones)

    def _zone_status(self, zone: str, tables: list[int]) -> ZoneStatus:
        return ZoneStatus(zone, self.updates.entry_count(tables), self.updates.levels_of(tables))

    def backend_status(self, name: str) -> CoordinatorBackendStatus | None:
        """Return a backend's operational state, or None where it is not known."""
        status = self.planner.inspection.backend_status(name)
        if status is None:
            return None
        return CoordinatorBackendStatus(status, is_excluded=name in self.updates.excluded)

    def metrics(self) -> CoordinatorMetrics:
        """Return what can be summed over coordinators."""
        return CoordinatorMetrics(self.planner.inspection.metrics(), self.load_reports)

    def outliers(self, limit: int) -> Outliers:
        """Return the backends that carry no ordinary share, at most `limit` of them."""
        return self.planner.inspection.outliers(self.now, limit)

    def joined_zones(self) -> set[str]:
        """Return the zones that proxies have joined from."""
        return self.planner.inspection.joined_zones()

    # The planner's actions

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Set one entry of a table; weight 0 removes it."""
        self.updates.set_entry(table, backend, weight)

    def reset_table(self, table: int) -> None:
        """Remove all entries and admission levels of a table."""
        self.updates.reset_table(table)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Put a joined proxy on a table for some classes, from now until it leaves."""
        self.updates.assign(proxy, table, classes)

    def exclude(self, backend: str, excluded: bool) -> None:
        """Exclude a backend from everything that joined proxies hold, or readmit it."""
        self.updates.exclude(backend, excluded)

    def exclusion_cost(
        self, backend: str, excluded: bool, unassigned: Mapping[int, UnassignedProxy], backend_count: int
    ) -> Mapping[int, float]:
        """Return the table entries that `exclude` would cost now, by proxy."""
        # Both serve estimates, which are not needed here: the state of each proxy is recorded
        del unassigned, backend_count
        return self.updates.exclusion_cost(backend, excluded)

    def readmission_cost(
        self, proxies: Iterable[int], table: int, backend: str | None = None
    ) -> Mapping[int, int]:
        """Return the table entries, by proxy, that readmit what these may hold excluded."""
        return self.updates.readmission_cost(proxies, table, backend)

    def set_admission(self, table: int, classes: int, share: float, retries: int) -> None:
        """Set the admitted share of some classes, and how proxies retry them (0 to 3)."""
        self.updates.set_admission(table, classes, AdmissionLevel(share, retries))

    def request_acknowledgement(self, sequence: int, all_proxies: bool) -> None:
        """Have each proxy that gets a message at this time acknowledge once it has applied it."""
        self._barrier = sequence
        if all_proxies:
            self.updates.touch_all()

    def check_health(self, backend: str) -> None:
        """Queue one health check, unless one waits already."""
        request = HealthCheckRequest(backend)
        if request not in self.queues[Queue.HEALTH_CHECKS]:
            self.queues[Queue.HEALTH_CHECKS].append(request)

    def remove_backend(self, backend: str) -> None:
        """Drop what is kept of a backend: nothing will name it again, unless the endpoint list does."""
        self.updates.forget(backend)
        self.queues[Queue.FORGOTTEN].append(ForgottenBackend(backend))

    def subscribe(self, enabled: bool) -> None:
        """Do nothing: the watch of the endpoint list runs as long as the service does."""

    def fetch_endpoints(self) -> None:
        """Do nothing: the watch brings the complete list where there is a gap."""

    def set_timer(self, delay: int, cookie: str) -> None:
        """Call the planner's `on_timer` with this cookie after a delay (ns)."""
        self._timer_count += 1
        heapq.heappush(self.timers, _Timer(self.now + delay, self._timer_count, cookie))

    def send_gossip(self, peer: int, payload: str) -> None:
        """Queue a datagram of at most 256 bytes (in hex) to a peer, or to all with -1."""
        self.queues[Queue.GOSSIP].append(GossipMessage(peer, payload))

    def log(self, text: str) -> None:
        """Queue an entry of the log."""
        self.queues[Queue.INTERNAL_ERRORS].append(InternalError(text))
