"""Assignment of joined proxies to tables, in order of waiting time, as the channel has capacity."""

from typing import NamedTuple

from granitespool.planner.actions import PlannerActions
from granitespool.planner.admission_levels import OrderedLevels
from granitespool.planner.budget import (
    LAG_GRACE_SHARE,
    MANDATORY_QUEUE_SHARE,
    ChannelBudget,
    effective_drain_grace,
)
from granitespool.planner.outbox import Outbox
from granitespool.planner.records import UnassignedProxy
from granitespool.planner.short_tables import ShortTables
from granitespool.planner.tables import TableDirectory
from granitespool.settings import Settings

QUEUE_SHARE = 0.35  # share of the queue that assignments may fill: drains need the rest
# Share of the drain grace, counted from the start of a drain, in which assignments may precede it
DRAIN_GRACE_SHARE = 0.5
# A proxy that has waited for the drain grace divided by this is assigned first: its table is outdated
OVERDUE_GRACE_DIVISOR = 3


class JoinedProxy(NamedTuple):
    """A joined proxy's table, and its requests a second (0 if unknown)."""

    table: int
    rate: float


class ProxyAssignment:
    """Tracks joined proxies and assigns a table to those that await one."""

    def __init__(
        self,
        settings: Settings,
        actions: PlannerActions,
        tables: TableDirectory,
        levels: OrderedLevels,
        budget: ChannelBudget,
        outbox: Outbox,
        short_tables: ShortTables,
    ) -> None:
        self.settings = settings
        self.proxies: dict[int, JoinedProxy] = {}
        self.unassigned: dict[int, UnassignedProxy] = {}
        self._actions = actions
        self._tables = tables
        self._levels = levels
        self._budget = budget
        self._outbox = outbox
        self._short_tables = short_tables

    @property
    def _drain_grace(self) -> int:
        return effective_drain_grace(self.settings)

    def join(self, proxy: int, zone: str, rate: float) -> int:
        """Record a proxy that has joined, and return the table chosen for it."""
        table = self._tables.subsets.join(zone, rate, self._budget.account)
        self.proxies[proxy] = JoinedProxy(table, rate)
        return table

    def add_unassigned(self, now: int, proxy: int, foreign_entries_max: int) -> None:
        """Record a proxy as unassigned; it has at most `foreign_entries_max` entries of other tables."""
        self.unassigned[proxy] = UnassignedProxy(foreign_entries_max, now)

    def leave(self, proxy: int) -> None:
        """Remove a proxy, if it has joined."""
        joined = self.proxies.pop(proxy, None)
        if joined is not None:
            self._tables.unsubscribe(joined.table, proxy)
            self._tables.subsets.leave(joined.table, joined.rate)
        self.unassigned.pop(proxy, None)

    def assign_next(self, now: int, before_drain: int | None = None) -> None:
        """Assign tables while the channel has capacity: overdue proxies first, then by request rate.

        `before_drain` is the start (ns) of a drain that is about to be published. Only proxies that are
        overdue and were waiting before it are assigned then, since they go before the drain.
        """
        capacity = self._capacity_left(now, before_drain)
        if self._budget.is_mandatory_waiting or capacity < 0:
            return  # called at each acknowledgement: do not sort all proxies if none can be assigned
        if not self.unassigned:
            self._complete_next(now)
            return
        overdue_since = now - self._drain_grace / OVERDUE_GRACE_DIVISOR
        priorities = {
            proxy: (min(waiting.since, overdue_since), -self.proxies[proxy].rate)
            for proxy, waiting in self.unassigned.items()
        }
        proxies = sorted(priorities, key=priorities.__getitem__)
        if before_drain is not None:
            waiting_before = min(before_drain, overdue_since)
            proxies = [proxy for proxy in proxies if priorities[proxy][0] < waiting_before]
        for proxy in proxies:
            if not self.assign(now, proxy, before_drain):
                break

    def assign(self, now: int, proxy: int, before_drain: int | None = None) -> bool:
        """Assign a proxy to its table; return False if the channel has no capacity for it.

        A table without entries is never assigned: it would be worse than the proxy's present one.
        """
        table = self.proxies[proxy].table
        readmitted = self._actions.readmission_cost((proxy,), table)
        cost = (
            1 + self._tables.entry_counts[table] + self._levels.entry_count(table) + sum(readmitted.values())
        )
        capacity = self._capacity_left(now, before_drain)
        if self._budget.is_mandatory_waiting or cost + self._budget.account.header > capacity:
            return False
        if self._tables.entry_counts[table] and proxy in self.unassigned:
            del self.unassigned[proxy]
            self._tables.subscribe(table, proxy)
            self._outbox.assign(now, proxy, table, cost)
        return True

    def part_cost(self, now: int, proxy: int, size: int) -> int:
        """Return the entries that it costs to assign a proxy a part of its table; 0 if there is none."""
        table = self.proxies[proxy].table
        backends = self._short_tables.next_part(now, table, size)
        if not backends:
            return 0
        readmitted = sum(
            sum(self._actions.readmission_cost((proxy,), table, backend).values()) for backend in backends
        )
        return 1 + len(backends) + self._levels.entry_count(table) + readmitted

    def assign_part(self, now: int, proxy: int, size: int) -> None:
        """Assign a proxy a part of its table, which must have one; the rest follows by `assign_next`."""
        table = self.proxies[proxy].table
        cost = self.part_cost(now, proxy, size)
        backends = self._short_tables.next_part(now, table, size)
        self._short_tables.count_assigned(table)
        del self.unassigned[proxy]
        self._tables.subscribe(table, proxy)
        self._outbox.assign_part(now, proxy, table, backends, cost)

    def _complete_next(self, now: int) -> None:
        """Send the rest of their tables to proxies that have a part, the first assigned first."""
        for proxy in list(self._tables.partial):
            table = self.proxies[proxy].table
            cost = self._outbox.completion_cost(proxy, table) + self._budget.account.header
            if cost > self._capacity_left(now, None):
                break
            self._outbox.complete_table(now, proxy, table)

    def _capacity_left(self, now: int, before_drain: int | None) -> float:
        """Return the entries that assignments may add to the channel, before a drain if given (its start)."""
        account = self._budget.account
        if before_drain is None:
            grace = self.settings.drain_grace
            return account.capacity_left(QUEUE_SHARE, grace and LAG_GRACE_SHARE * grace)
        time_left = before_drain + DRAIN_GRACE_SHARE * self._drain_grace - now
        if time_left <= 0:
            return -account.in_flight
        return account.capacity_left(MANDATORY_QUEUE_SHARE, time_left)
