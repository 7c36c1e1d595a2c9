"""Delivery of drains to unassigned proxies that are due, proxy by proxy.

An unassigned proxy uses a table that this coordinator does not know. It has left all draining backends
once it has excluded them or has a table of this coordinator, even a part of one. Each proxy gets one
message, those that are due first come first, and what does not fit waits for the next pass.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from granitespool.planner.actions import ProxyActions
from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.budget import MANDATORY_QUEUE_SHARE, ChannelBudget, effective_drain_grace
from granitespool.planner.outbox import Outbox
from granitespool.planner.records import Backend
from granitespool.planner.short_tables import PART_SIZE_MIN, PART_SIZES
from granitespool.planner.status import LateDrains
from granitespool.settings import Settings
from granitespool.units import SECOND

# Share of the time left in which proxies are served: the rest is for those that join and for further drains
IN_TIME_SHARE = 0.5


class DueProxy(NamedTuple):
    """An unassigned proxy that may still use backends that drain or are gone."""

    due: int  # ns; when it must have left them
    proxy: int
    backends: list[str]  # those that it has not excluded


class DrainDelivery:
    """Sends each due proxy the message that lets it leave all draining backends."""

    def __init__(
        self,
        settings: Settings,
        actions: ProxyActions,
        assignment: ProxyAssignment,
        budget: ChannelBudget,
        outbox: Outbox,
    ) -> None:
        self.settings = settings
        self._actions = actions
        self._assignment = assignment
        self._budget = budget
        self._outbox = outbox

    def publish(self, now: int, backends: Iterable[Backend], due_before: int | None) -> bool:
        """Send what fits to the proxies that are due; return whether none is left.

        `due_before` (ns) excludes proxies that are due later; None: all are served.
        """
        due_proxies = self._due_proxies({backend.name: backend.left_ready_at for backend in backends})
        served = [due for due in due_proxies if due_before is None or due.due < due_before]
        size = self._part_size(now, served)
        for due_proxy in served:
            if not self._serve(now, due_proxy, size):
                self._budget.is_mandatory_waiting = True
                return False
        return len(served) == len(due_proxies)

    def readmit(self, backend: Backend) -> None:
        """Readmit a backend at each proxy together with its first table entry, at no cost of its own."""
        self._actions.end_exclusion(backend.name)

    def _due_proxies(self, drained_at: dict[str, int]) -> list[DueProxy]:
        """Return the proxies that may use a backend (name -> start of its drain, ns), by due time."""
        grace = effective_drain_grace(self.settings)
        found = []
        for proxy, waiting in self._assignment.unassigned.items():
            lacking = self._actions.missing_exclusions(proxy, drained_at)
            if lacking:
                began = max(waiting.since, min(drained_at[name] for name in lacking))
                found.append(DueProxy(began + grace, proxy, lacking))
        return sorted(found)

    def _part_size(self, now: int, due_proxies: list[DueProxy]) -> int | None:
        """Return the size of the parts of tables that the proxies are served with.

        None: exclusions are in time for all, and parts are not, so the shorter message is sent.
        """
        for size in PART_SIZES:
            if self._is_in_time(now, due_proxies, partial(self._part_cost, now, size), IN_TIME_SHARE):
                return size
        if self._is_in_time(now, due_proxies, partial(self._part_cost, now, PART_SIZE_MIN), 1.0):
            return PART_SIZE_MIN
        if self._is_in_time(now, due_proxies, partial(self._shortest_cost, now), 1.0):
            return None
        self._report_late(now, due_proxies)
        return PART_SIZE_MIN

    def _part_cost(self, now: int, size: int, due_proxy: DueProxy) -> int:
        """Return the entries of a proxy's part, or of its exclusions if its table is empty."""
        return self._assignment.part_cost(now, due_proxy.proxy, size) or len(due_proxy.backends)

    def _shortest_cost(self, now: int, due_proxy: DueProxy) -> int:
        return min(len(due_proxy.backends), self._part_cost(now, PART_SIZE_MIN, due_proxy))

    def _is_in_time(
        self, now: int, due_proxies: list[DueProxy], cost_of: Callable[[DueProxy], int], share: float
    ) -> bool:
        """Return whether each proxy is served within a share of the time that is left until it is due."""
        account = self._budget.account
        entries = account.in_flight
        for due_proxy in due_proxies:
            entries += cost_of(due_proxy) + account.header
            if entries > account.observed_rate * share * (due_proxy.due - now) / SECOND:
                return False
        return True

    def _serve(self, now: int, due_proxy: DueProxy, size: int | None) -> bool:
        """Send a proxy a part of its table or its exclusions; return False if the channel has no capacity.

        `size` is the result of `_part_size`.
        """
        part_size = PART_SIZE_MIN if size is None else size
        part_cost = self._assignment.part_cost(now, due_proxy.proxy, part_size)
        is_part = part_cost > 0 and (size is not None or part_cost <= len(due_proxy.backends))
        account = self._budget.account
        cost = (part_cost if is_part else len(due_proxy.backends)) + account.header
        if cost > account.capacity_left(MANDATORY_QUEUE_SHARE):
            return False
        if is_part:
            self._assignment.assign_part(now, due_proxy.proxy, part_size)
        else:
            self._outbox.exclude_for(now, due_proxy.proxy, due_proxy.backends)
        return True

    def _report_late(self, now: int, due_proxies: list[DueProxy]) -> None:
        """Report the proxies that the channel cannot serve in time even with the shortest messages."""
        account = self._budget.account
        entries = account.in_flight
        lateness = []
        for due_proxy in due_proxies:
            entries += self._shortest_cost(now, due_proxy) + account.header
            lateness.append(now + int(entries / account.observed_rate * SECOND) - due_proxy.due)
        late_proxies = sum(late > 0 for late in lateness)
        if late_proxies:
            self._actions.report_late_drains(
                LateDrains(proxies=late_proxies, entries=int(entries), lateness=max(lateness))
            )
