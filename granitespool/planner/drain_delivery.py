"""Delivery of drains to unassigned proxies that are due, proxy by proxy.

An unassigned proxy uses a table that this coordinator does not know. It has left all draining backends
once it has excluded them or has a table of this coordinator, even a part of one. Each proxy gets one
message, those that are due first come first, and what does not fit waits for the next pass.
"""

from collections.abc import Iterable
from typing import NamedTuple

from granitespool.planner.actions import ProxyActions
from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.budget import MANDATORY_QUEUE_SHARE, ChannelBudget, effective_drain_grace
from granitespool.planner.outbox import Outbox
from granitespool.planner.records import Backend
from granitespool.planner.short_tables import PART_SIZES
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
        size = self._largest_size_in_time(now, served)
        if size is None:
            self._report_late(now, served)
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

    def _largest_size_in_time(self, now: int, due_proxies: list[DueProxy]) -> int | None:
        """Return the largest size of parts with which each proxy is served before it is due, or None."""
        sizes = (size for size in PART_SIZES if self._is_in_time(now, due_proxies, size))
        return next(sizes, None)

    def _is_in_time(self, now: int, due_proxies: list[DueProxy], size: int) -> bool:
        account = self._budget.account
        entries = account.in_flight
        for due_proxy in due_proxies:
            entries += self._assignment.part_cost(now, due_proxy.proxy, size) + account.header
            time_left = IN_TIME_SHARE * (due_proxy.due - now)
            if entries > account.observed_rate * time_left / SECOND:
                return False
        return True

    def _serve(self, now: int, due_proxy: DueProxy, size: int | None) -> bool:
        """Send a proxy a part of its table, or its exclusions where these are cheaper and parts are late.

        Return False if the channel has no capacity.
        """
        part_size = min(PART_SIZES) if size is None else size
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
            part_cost = self._assignment.part_cost(now, due_proxy.proxy, min(PART_SIZES))
            entries += min(part_cost or len(due_proxy.backends), len(due_proxy.backends)) + account.header
            lateness.append(now + int(entries / account.observed_rate * SECOND) - due_proxy.due)
        late_proxies = sum(late > 0 for late in lateness)
        if late_proxies:
            self._actions.report_late_drains(
                LateDrains(proxies=late_proxies, entries=int(entries), lateness=max(lateness))
            )
