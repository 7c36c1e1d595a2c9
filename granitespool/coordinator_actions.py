"""The actions of a coordinator's planner: pending updates, queued messages and timers.

They take effect when the coordinator ends its turn and its messages are picked. This module decides nothing
and does no I/O.
"""

import heapq
from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from granitespool.outgoing import (
    GossipMessage,
    HealthCheckRequest,
    InternalError,
    OutgoingMessage,
    Queue,
    RemovedBackend,
)
from granitespool.planner.admission_levels import AdmissionLevel
from granitespool.planner.records import UnassignedProxy
from granitespool.planner.status import LateDrains
from granitespool.proxy_updates import ProxyUpdates


class Timer(NamedTuple):
    """A timer that the planner has set."""

    due: int  # ns
    number: int  # timers with the same due time expire in the order in which they were set
    cookie: str


class CoordinatorActions:
    """The planner's actions (`granitespool.planner.actions`), and what they leave for the end of the turn."""

    def __init__(self, class_names: list[str | None], now: int) -> None:
        self.now = now
        self.updates = ProxyUpdates(class_names)
        self.queues: dict[Queue, deque[OutgoingMessage]] = {queue: deque() for queue in Queue}
        self.timers: list[Timer] = []  # a heap
        self._timer_count = 0
        self._barrier: int | None = None  # number of this turn's acknowledgement barrier

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Set one entry of a table; weight 0 removes it."""
        self.updates.set_entry(table, backend, weight)

    def reset_table(self, table: int) -> None:
        """Remove all entries and admission levels of a table."""
        self.updates.reset_table(table)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Assign a joined proxy to a table for some classes, until the proxy leaves."""
        self.updates.assign(proxy, table, classes)

    def exclude(self, backend: str, excluded: bool) -> None:
        """Exclude a backend from all tables that joined proxies use, or readmit it."""
        self.updates.exclude(backend, excluded)

    @property
    def proxy_actions(self) -> "CoordinatorActions":
        """The actions that concern one proxy: each proxy has a stream of its own."""
        return self

    def assign_part(self, proxy: int, table: int, backends: Iterable[str]) -> None:
        """Assign a joined proxy to a table for all classes, with the entries of these backends only."""
        self.updates.assign_part(proxy, table, backends)

    def extend_part(self, proxy: int, table: int, backends: Iterable[str]) -> None:
        """Add the entries of further backends to a proxy that has a part of its table."""
        self.updates.extend_part(proxy, table, backends)

    def complete_table(self, proxy: int, table: int) -> None:
        """Add the rest of its table to a proxy that has a part of it."""
        self.updates.complete_table(proxy, table)

    def exclude_for(self, proxy: int, backends: Iterable[str]) -> None:
        """Exclude backends at one unassigned proxy."""
        self.updates.exclude_for(proxy, backends)

    def missing_exclusions(self, proxy: int, backends: Iterable[str]) -> list[str]:
        """Return which of these backends a proxy was not sent an exclusion of on its stream."""
        return self.updates.missing_exclusions(proxy, backends)

    def report_late_drains(self, late: LateDrains) -> None:
        """Queue a report of drains that reach proxies too late."""
        self.queues[Queue.LATE_DRAINS].append(late)

    def end_exclusion(self, backend: str) -> None:
        """Readmit a backend, at each proxy together with its first table entry of the backend."""
        self.updates.excluded.discard(backend)

    def exclusion_cost(
        self, backend: str, excluded: bool, unassigned: Mapping[int, UnassignedProxy], backend_count: int
    ) -> Mapping[int, float]:
        """Return the table entries that `exclude` would cost now, by proxy."""
        # Inputs of an estimate, which is not needed here: the exclusions of each proxy are recorded
        del unassigned, backend_count
        return self.updates.exclusion_cost(backend, excluded)

    def readmission_cost(
        self, proxies: Iterable[int], table: int, backend: str | None = None
    ) -> Mapping[int, int]:
        """Return the table entries, by proxy, that readmit backends which these may have excluded."""
        return self.updates.readmission_cost(proxies, table, backend)

    def set_admission(self, table: int, classes: int, share: float, retries: int) -> None:
        """Set the admitted share of some classes, and how proxies retry them (0 to 3)."""
        self.updates.set_admission(table, classes, AdmissionLevel(share, retries))

    def request_acknowledgement(self, sequence: int, all_proxies: bool) -> None:
        """Request an acknowledgement from each proxy that gets a message in this turn."""
        self._barrier = sequence
        if all_proxies:
            self.updates.touch_all()

    def check_health(self, backend: str) -> None:
        """Queue a health check, unless one is queued already."""
        request = HealthCheckRequest(backend)
        if request not in self.queues[Queue.HEALTH_CHECKS]:
            self.queues[Queue.HEALTH_CHECKS].append(request)

    def remove_backend(self, backend: str) -> None:
        """Remove all records of a backend that is gone; only the endpoint list can add it again."""
        self.updates.remove_backend(backend)
        self.queues[Queue.REMOVED_BACKENDS].append(RemovedBackend(backend))

    def subscribe(self, enabled: bool) -> None:
        """Do nothing: the service watches the endpoint list all the time."""

    def fetch_endpoints(self) -> None:
        """Do nothing: the watch fetches the complete list after a gap."""

    def set_timer(self, delay: int, cookie: str) -> None:
        """Call the planner's `on_timer` with this cookie after a delay (ns)."""
        self._timer_count += 1
        heapq.heappush(self.timers, Timer(self.now + delay, self._timer_count, cookie))

    def send_gossip(self, peer: int, payload: str) -> None:
        """Queue a datagram of at most 256 bytes (in hex) to a peer, or to all with -1."""
        self.queues[Queue.GOSSIP].append(GossipMessage(peer, payload))

    def log(self, text: str) -> None:
        """Queue a text to be logged."""
        self.queues[Queue.INTERNAL_ERRORS].append(InternalError(text))
