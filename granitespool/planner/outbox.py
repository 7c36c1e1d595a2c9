"""Sends orders to proxies, and reserves their entries in the account of the channel."""

from collections.abc import Collection, Iterable

from granitespool.planner.actions import PlannerActions
from granitespool.planner.in_flight import InFlightAccount
from granitespool.planner.tables import TableDirectory


class Outbox:
    """Takes the planner actions that use the channel, and reserves their entries."""

    def __init__(self, actions: PlannerActions, account: InFlightAccount, tables: TableDirectory) -> None:
        self._actions = actions
        self._account = account
        self._tables = tables

    def set_entry(
        self, now: int, table: int, backend: str, weight: float, readmitted: Collection[int] = ()
    ) -> None:
        """Set an entry for all subscribers of a table; those in `readmitted` also readmit the backend."""
        self._actions.set_entry(table, backend, weight)
        for proxy in self._tables.subscribers[table]:
            self.reserve(now, proxy, 2 if proxy in readmitted else 1)

    def set_owned_entry(
        self, now: int, proxies: Iterable[int], table: int, backend: str, weight: float
    ) -> None:
        """Set an entry of an owned slice for these proxies."""
        self._actions.set_entry(table, backend, weight)
        self._reserve_each(now, proxies)

    def exclude(self, now: int, proxies: Iterable[int], backend: str, excluded: bool) -> None:
        """Exclude or readmit a backend, at one entry for each of these proxies."""
        self._actions.exclude(backend, excluded)
        self._reserve_each(now, proxies)

    def set_admission(self, now: int, table: int, classes: int, share: float, retries: int) -> None:
        """Set the admission level of some classes for all subscribers of a table."""
        self._actions.set_admission(table, classes, share, retries)
        self._reserve_each(now, self._tables.subscribers[table])

    def assign(self, now: int, proxy: int, table: int, entries: int) -> None:
        """Assign a proxy to a table for all classes, at a cost of `entries`."""
        self._actions.assign(proxy, table, 0)
        self.reserve(now, proxy, entries)

    def reserve(self, now: int, proxy: int, entries: float) -> None:
        """Reserve entries of this turn's message to a proxy; the turn's first requests acknowledgements."""
        if self._account.reserve(now, proxy, entries):
            self._actions.request_acknowledgement(self._account.sequence, False)

    def _reserve_each(self, now: int, proxies: Iterable[int]) -> None:
        for proxy in proxies:
            self.reserve(now, proxy, 1)
