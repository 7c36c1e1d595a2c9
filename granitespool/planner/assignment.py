"""Assignment of joined proxies to tables: who gets one next, as the channel has capacity."""

from typing import NamedTuple

from granitespool.planner.actions import PlannerActions
from granitespool.planner.admission_levels import OrderedLevels
from granitespool.planner.budget import MANDATORY_QUEUE_SHARE, ChannelBudget
from granitespool.planner.outbox import Outbox
from granitespool.planner.records import UnassignedProxy
from granitespool.planner.tables import TableDirectory
from granitespool.settings import Settings
from granitespool.units import SECOND

QUEUE_SHARE = 0.35  # share of the queue that assignments may fill: drains need the rest
GRACE_SHARE = 1 / 3  # share of the grace that they may take at the observed rate: a drain waits behind them
DRAIN_GRACE_SHARE = 0.5  # the same, for proxies that are due before a drain
GRACES_OUTDATED = 3  # a proxy that waited for the grace divided by this goes first: its table is outdated
UNKNOWN_GRACE = SECOND  # ns, where the deployment tells no drain grace


class JoinedProxy(NamedTuple):
    """A joined proxy's table, and its requests a second (0 where not told)."""

    table: int
    rate: float


class ProxyAssignment:
    """The joined proxies, and those of them that await a table."""

    def __init__(
        self,
        settings: Settings,
        actions: PlannerActions,
        tables: TableDirectory,
        levels: OrderedLevels,
        budget: ChannelBudget,
        outbox: Outbox,
    ) -> None:
        self.settings = settings
        self.proxies: dict[int, JoinedProxy] = {}
        self.unassigned: dict[int, UnassignedProxy] = {}
        self._actions = actions
        self._tables = tables
        self._levels = levels
        self._budget = budget
        self._outbox = outbox

    @property
    def _grace(self) -> int:
        return UNKNOWN_GRACE if self.settings.drain_grace is None else self.settings.drain_grace

    def join(self, proxy: int, zone: str, rate: float) -> int:
        """A proxy has joined; returns its table."""
        table = self._tables.subsets.join(zone, rate, self._budget.account)
        self.proxies[proxy] = JoinedProxy(table, rate)
        return table

    def await_table(self, now: int, proxy: int, known_entries: int) -> None:
        """A proxy awaits its table; it holds at most so many entries of others' tables."""
        self.unassigned[proxy] = UnassignedProxy(known_entries, now)

    def leave(self, proxy: int) -> None:
        """A proxy is gone, if it had joined."""
        joined = self.proxies.pop(proxy, None)
        if joined is not None:
            self._tables.unsubscribe(joined.table, proxy)
            self._tables.subsets.leave(joined.table, joined.rate)
        self.unassigned.pop(proxy, None)

    def assign_next(self, now: int, before_drain: int | None = None) -> None:
        """Assign in turn as there is capacity: the longest waiting first, then those with most requests.

        `before_drain`: before a drain that began then (ns) is published, only proxies that wait long and
        since before it are assigned: they are due first.
        """
        if self._budget.is_mandatory_waiting or not self.unassigned or self._capacity_left(before_drain) < 0:
            return  # asked at each acknowledgement: no walk of all that could be assigned none
        long_since = now - self._grace / GRACES_OUTDATED
        order = {
            proxy: (min(waiting.since, long_since), -self.proxies[proxy].rate)
            for proxy, waiting in self.unassigned.items()
        }
        due = sorted(order, key=order.__getitem__)
        if before_drain is not None:
            limit = min(before_drain, long_since)
            due = [proxy for proxy in due if order[proxy][0] < limit]
        for proxy in due:
            if not self.assign(now, proxy, before_drain):
                break

    def assign(self, now: int, proxy: int, before_drain: int | None = None) -> bool:
        """Assign a proxy to its table; False where the channel has no capacity for it.

        A table without entries is never assigned: it would be worse than what the proxy holds.
        """
        table = self.proxies[proxy].table
        readmitted = self._actions.readmission_cost((proxy,), table)
        cost = 1 + self._tables.entry_counts[table] + self._levels.entries(table) + sum(readmitted.values())
        capacity = self._capacity_left(before_drain)
        if self._budget.is_mandatory_waiting or cost + self._budget.account.header > capacity:
            return False
        if self._tables.entry_counts[table] and proxy in self.unassigned:
            del self.unassigned[proxy]
            self._tables.subscribe(table, proxy)
            self._outbox.assign(now, proxy, table, cost)
        return True

    def _capacity_left(self, before_drain: int | None) -> float:
        account = self._budget.account
        grace = self.settings.drain_grace
        if before_drain is not None:
            return account.capacity_left(MANDATORY_QUEUE_SHARE, DRAIN_GRACE_SHARE * (grace or UNKNOWN_GRACE))
        return account.capacity_left(QUEUE_SHARE, grace and GRACE_SHARE * grace)
