"""Sends orders to proxies, and reserves their entries in the account of the channel."""

from collections.abc import Collection, Iterable
from enum import StrEnum

from granitespool.planner.actions import PlannerActions
from granitespool.planner.in_flight import InFlightAccount
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

    def __init__(self, actions: PlannerActions, account: InFlightAccount, tables: TableDirectory) -> None:
        self._actions = actions
        self._account = account
        self._tables = tables
        # kind -> entries reserved since the start; a message's header counts for its first entries
        self.total_entries = dict.fromkeys(EntryKind, 0.0)

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
        self._actions.set_entry(table, backend, weight)
        for proxy in self._tables.subscribers[table]:
            self.reserve(now, proxy, 2 if proxy in readmitted else 1, kind)

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

    def reserve(self, now: int, proxy: int, entries: float, kind: EntryKind) -> None:
        """Reserve entries of this turn's message to a proxy; the turn's first requests acknowledgements."""
        total_before = self._account.total_entries
        if self._account.reserve(now, proxy, entries):
            self._actions.request_acknowledgement(self._account.sequence, False)
        self.total_entries[kind] += self._account.total_entries - total_before

    def _reserve_each(self, now: int, proxies: Iterable[int], kind: EntryKind) -> None:
        for proxy in proxies:
            self.reserve(now, proxy, 1, kind)
