"""Sends orders to proxies, and reserves their entries in the account of the channel."""

from collections.abc import Collection, Iterable
from enum import StrEnum

from granitespool.planner.actions import PlannerActions, ProxyActions
from granitespool.planner.in_flight import InFlightAccount
from granitespool.planner.short_tables import ShortTables
from granitespool.planner.tables import TableDirectory


class EntryKind(StrEnum):
    """What entries are sent for; the values are also the names in the log."""

    ASSIGNMENT = "assignment"
    MANDATORY = "mandatory"  # drains, removals and first entries of tables
    CHANGE = "change"  # all other entries of tables
    EXCLUSION = "exclusion"  # exclusions and readmissions
    ADMISSION = "admission"  # admission levels


class Outbox:
    """Takes the planner actions that use the channel, and reserves their entries."""

    def __init__(
        self,
        actions: PlannerActions,
        account: InFlightAccount,
        tables: TableDirectory,
        short_tables: ShortTables,
    ) -> None:
        self._actions = actions
        self._short_tables = short_tables
        self._account = account
        self._tables = tables
        # kind -> entries reserved since the start; a message's header counts for its first entries
        self.total_entries = dict.fromkeys(EntryKind, 0.0)

    @property
    def _proxy_actions(self) -> ProxyActions:
        actions = self._actions.proxy_actions
        assert actions is not None, "the channel has no actions that concern one proxy"
        return actions

    def set_entry(
        self,
        now: int,
        table: int,
        backend: str,
        weight: float,
        kind: EntryKind,
        readmitted: Collection[int] = (),
    ) -> None:
        """Set an entry for all subscribers of a table; those in `readmitted` also readmit the backend."""
        recipients = self._tables.recipients(table, backend)
        if not weight:
            for proxy in [proxy for proxy in recipients if self._tables.would_empty(proxy, backend)]:
                self._replace_last_entry(now, proxy, table, kind)
        self._actions.set_entry(table, backend, weight)
        for proxy in recipients:
            self.reserve(now, proxy, 2 if proxy in readmitted else 1, kind)
            if not weight and proxy in self._tables.partial:
                self._tables.partial[proxy].discard(backend)

    def set_owned_entry(
        self, now: int, proxies: Iterable[int], table: int, backend: str, weight: float
    ) -> None:
        """Set an entry of an owned slice for these proxies."""
        self._actions.set_entry(table, backend, weight)
        self._reserve_each(now, proxies, EntryKind.MANDATORY)

    def exclude(self, now: int, proxies: Iterable[int], backend: str, excluded: bool) -> None:
        """Exclude or readmit a backend, at one entry for each of these proxies."""
        self._actions.exclude(backend, excluded)
        self._reserve_each(now, proxies, EntryKind.EXCLUSION)

    def set_admission(self, now: int, table: int, classes: int, share: float, retries: int) -> None:
        """Set the admission level of some classes for all subscribers of a table."""
        self._actions.set_admission(table, classes, share, retries)
        self._reserve_each(now, self._tables.subscribers[table], EntryKind.ADMISSION)

    def assign(self, now: int, proxy: int, table: int, entries: int) -> None:
        """Assign a proxy to a table for all classes, at a cost of `entries`."""
        self._actions.assign(proxy, table, 0)
        self.reserve(now, proxy, entries, EntryKind.ASSIGNMENT)

    def assign_part(self, now: int, proxy: int, table: int, backends: Collection[str], entries: int) -> None:
        """Assign a proxy the entries of some backends of a table, for all classes, at a cost of `entries`."""
        self._proxy_actions.assign_part(proxy, table, backends)
        self._tables.partial[proxy] = set(backends)
        self.reserve(now, proxy, entries, EntryKind.ASSIGNMENT)

    def complete_table(
        self, now: int, proxy: int, table: int, kind: EntryKind = EntryKind.ASSIGNMENT
    ) -> None:
        """Send a proxy the rest of its table."""
        entries = self.completion_cost(proxy, table)
        del self._tables.partial[proxy]
        self._proxy_actions.complete_table(proxy, table)
        if entries:
            self.reserve(now, proxy, entries, kind)

    def replacement_cost(self, now: int, proxy: int, table: int) -> int:
        """Return the entries that it costs to replace the last entry of a proxy's part."""
        backends = self._short_tables.further_entries(now, table, self._tables.partial[proxy])
        if not backends:
            return self.completion_cost(proxy, table)
        return len(backends) + self._readmission_cost(proxy, table, backends)

    def _replace_last_entry(self, now: int, proxy: int, table: int, kind: EntryKind) -> None:
        """Send a proxy further entries of its table, or the rest of it, before its part becomes empty."""
        backends = self._short_tables.further_entries(now, table, self._tables.partial[proxy])
        if not backends:
            self.complete_table(now, proxy, table, kind)
            return
        entries = self.replacement_cost(now, proxy, table)
        self._proxy_actions.extend_part(proxy, table, backends)
        self._short_tables.count_assigned(table)
        self._tables.partial[proxy].update(backends)
        self.reserve(now, proxy, entries, kind)

    def _readmission_cost(self, proxy: int, table: int, backends: Iterable[str]) -> int:
        return sum(
            sum(self._actions.readmission_cost((proxy,), table, backend).values()) for backend in backends
        )

    def completion_cost(self, proxy: int, table: int) -> int:
        """Return the entries that the rest of a proxy's table costs."""
        readmitted = self._actions.readmission_cost((proxy,), table)
        missing = self._tables.entry_counts[table] - len(self._tables.partial[proxy])
        return missing + sum(readmitted.values())

    def exclude_for(self, now: int, proxy: int, backends: Collection[str]) -> None:
        """Exclude backends at one unassigned proxy."""
        self._proxy_actions.exclude_for(proxy, backends)
        self.reserve(now, proxy, len(backends), EntryKind.EXCLUSION)

    def reserve(self, now: int, proxy: int, entries: float, kind: EntryKind) -> None:
        """Reserve entries of this turn's message to a proxy; the turn's first requests acknowledgements."""
        total_before = self._account.total_entries
        if self._account.reserve(now, proxy, entries):
            self._actions.request_acknowledgement(self._account.sequence, False)
        self.total_entries[kind] += self._account.total_entries - total_before

    def _reserve_each(self, now: int, proxies: Iterable[int], kind: EntryKind) -> None:
        for proxy in proxies:
            self.reserve(now, proxy, 1, kind)
