"""Pending updates for each proxy.

The planner orders by table. This module expands a table to its subscribers, merges updates that were not
fetched yet, and records which backends each proxy may exclude. It decides nothing and does no I/O.
"""

from collections.abc import Iterable, Iterator

from granitespool.outgoing import LevelUpdate, ProxyUpdate, TableUpdate
from granitespool.planner.admission_levels import AdmissionLevel

Classes = int  # a set of request classes: the sum of 2**k over their positions in the settings


class Subscriber:
    """A joined proxy: its tables, the backends that it may exclude, and its pending update."""

    def __init__(self, possibly_excluded: frozenset[str]) -> None:
        self.tables: dict[Classes, int] = {}  # classes -> table
        # Backends that other coordinators may have excluded before it joined; one set for many proxies
        self.possibly_excluded = possibly_excluded
        # backend -> whether it was excluded or readmitted, as last sent on this stream
        self.sent_exclusions: dict[str, bool] = {}
        # Backends of its table whose entries it has; None: all, or it has no table
        self.part: set[str] | None = None
        self.clear()

    def clear(self) -> None:
        """Clear the pending update."""
        self.entries: dict[Classes, dict[str, float]] = {}
        self.complete: set[Classes] = set()  # classes whose entries replace the whole table
        self.levels: dict[int, AdmissionLevel] = {}  # class position -> level
        self.exclusions: dict[str, bool] = {}  # backend -> whether it is to be excluded
        self.barrier: int | None = None

    def may_exclude(self, backend: str) -> bool:
        """Return whether the proxy may have this backend excluded."""
        return self.sent_exclusions.get(backend, backend in self.possibly_excluded)

    def needs_exclusion(self, backend: str, excluded: bool) -> bool:
        """Return whether the exclusion or readmission of a backend has to be sent."""
        if excluded:
            return not self.sent_exclusions.get(backend)
        return self.may_exclude(backend)

    def set_exclusion(self, backend: str, excluded: bool) -> bool:
        """Add an exclusion or readmission to the pending update if it is needed; return whether it is."""
        is_needed = self.needs_exclusion(backend, excluded)
        if is_needed:
            self.exclusions[backend] = excluded
            self.sent_exclusions[backend] = excluded
        return is_needed

    def take_update(self, class_names: list[str | None]) -> ProxyUpdate:
        """Return the pending update and clear it; `class_names` has all request classes in their order."""
        update = ProxyUpdate(
            tables=[
                TableUpdate(_names_of(classes, class_names), classes in self.complete, entries)
                for classes, entries in self.entries.items()
            ],
            levels=self._level_updates(class_names),
            excluded=[backend for backend, excluded in self.exclusions.items() if excluded],
            readmitted=[backend for backend, excluded in self.exclusions.items() if not excluded],
            barrier=self.barrier,
        )
        self.clear()
        return update

    def _level_updates(self, class_names: list[str | None]) -> list[LevelUpdate]:
        """Return one update for each level, with all classes that have it."""
        groups: dict[AdmissionLevel, Classes] = {}
        for position, level in sorted(self.levels.items()):
            groups[level] = groups.get(level, 0) | 1 << position
        return [
            LevelUpdate(_names_of(classes, class_names), level.share, level.retries)
            for level, classes in groups.items()
        ]


def _names_of(classes: Classes, class_names: list[str | None]) -> list[str | None] | None:
    """Return the names of a set of classes, or None if it has all of them."""
    if classes == (1 << len(class_names)) - 1:
        return None
    return [name for position, name in enumerate(class_names) if classes >> position & 1]


class ProxyUpdates:
    """The tables as ordered, their subscribers, and the pending update of each proxy."""

    def __init__(self, class_names: list[str | None]) -> None:
        self.class_names = class_names
        self.all_classes: Classes = (1 << len(class_names)) - 1
        self.proxies: dict[int, Subscriber] = {}  # all joined proxies
        self.unassigned: dict[int, Subscriber] = {}  # joined proxies without a table
        # table -> proxy -> subscriber, in order of assignment
        self.subscribers: dict[int, dict[int, Subscriber]] = {}
        self.tables: dict[int, dict[str, float]] = {}  # table -> backend -> weight
        self.levels: dict[int, dict[int, AdmissionLevel]] = {}  # table -> class position -> level
        self.excluded: set[str] = set()  # backends
        self.possibly_excluded: frozenset[str] = frozenset()  # backends that some coordinator may exclude
        self.touched: dict[int, None] = {}  # proxies with new updates in this turn
        self.waiting: dict[int, None] = {}  # proxies with a pending update

    # Proxies

    def join(self, proxy: int) -> None:
        """Add a proxy that has joined; what was pending for a former stream of it is dropped."""
        self.leave(proxy)
        subscriber = Subscriber(self.possibly_excluded)
        self.proxies[proxy] = subscriber
        self.unassigned[proxy] = subscriber

    def leave(self, proxy: int) -> None:
        """Remove a proxy and its pending update."""
        self.proxies.pop(proxy, None)
        self.waiting.pop(proxy, None)
        self.touched.pop(proxy, None)
        self.unassigned.pop(proxy, None)
        for subscribers in self.subscribers.values():
            subscribers.pop(proxy, None)

    def touch_all(self) -> None:
        """Send every proxy a message in this turn."""
        self.touched.update(dict.fromkeys(self.proxies))

    def end_turn(self, barrier: int | None) -> None:
        """Make this turn's orders one message for each proxy, with this barrier if it is not None."""
        for proxy in self.touched:
            if barrier is not None:
                self.proxies[proxy].barrier = barrier
            self.waiting[proxy] = None
        self.touched = {}

    def next_update(self, proxy: int) -> ProxyUpdate | None:
        """Return the pending update of a proxy and clear it; None if there is none."""
        if proxy not in self.waiting:
            return None
        del self.waiting[proxy]
        return self.proxies[proxy].take_update(self.class_names)

    # Tables

    def _subscriptions(self, table: int, backend: str | None = None) -> Iterator[tuple[Subscriber, Classes]]:
        """Yield the subscribers of a table with their classes; each gets a message in this turn.

        If `backend` is not None, subscribers with a part of the table that lacks it are left out.
        """
        for proxy, subscriber in self.subscribers.get(table, {}).items():
            if subscriber.part is not None and backend is not None and backend not in subscriber.part:
                continue
            for classes, used_table in subscriber.tables.items():
                if used_table == table:
                    self.touched[proxy] = None
                    yield subscriber, classes

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Set one entry of a table; weight 0 removes it."""
        entries = self.tables.setdefault(table, {})
        entries[backend] = weight
        if not weight:
            del entries[backend]
        for subscriber, classes in self._subscriptions(table, backend):
            self._write_entry(subscriber, classes, backend, weight)
            if not weight and classes in subscriber.complete:
                del subscriber.entries[classes][backend]
            if not weight and subscriber.part is not None:
                subscriber.part.discard(backend)

    def _write_entry(self, subscriber: Subscriber, classes: Classes, backend: str, weight: float) -> None:
        subscriber.entries.setdefault(classes, {})[backend] = weight
        if weight:
            subscriber.set_exclusion(backend, backend in self.excluded)

    def reset_table(self, table: int) -> None:
        """Remove all entries and admission levels of a table."""
        self.tables.pop(table, None)
        self.levels.pop(table, None)
        for subscriber, classes in self._subscriptions(table):
            self._write_table(subscriber, classes, table)

    def assign(self, proxy: int, table: int, classes: Classes) -> None:
        """Assign a joined proxy to a table for some classes (0: all)."""
        self._assign(proxy, table, classes, None)

    def _assign(self, proxy: int, table: int, classes: Classes, part: set[str] | None) -> None:
        """Assign a proxy to a table; `part` has the backends whose entries it gets, None: all."""
        subscriber = self.proxies.get(proxy)
        if subscriber is None:
            return
        subscriber.part = part
        classes = classes or self.all_classes
        for former in [former for former in subscriber.tables if former & classes]:
            self._unassign_classes(proxy, subscriber, former, classes)
        subscriber.tables[classes] = table
        self.subscribers.setdefault(table, {})[proxy] = subscriber
        self.unassigned.pop(proxy, None)
        self._write_table(subscriber, classes, table)
        self.touched[proxy] = None

    def assign_part(self, proxy: int, table: int, backends: Iterable[str]) -> None:
        """Assign a joined proxy to a table for all classes, with the entries of these backends only."""
        self._assign(proxy, table, self.all_classes, set(backends))

    def extend_part(self, proxy: int, table: int, backends: Iterable[str]) -> None:
        """Add the entries of further backends to the pending update of a proxy with a part of its table."""
        subscriber = self.proxies.get(proxy)
        if subscriber is None or subscriber.part is None:
            return
        for backend in backends:
            subscriber.part.add(backend)
            self.touched[proxy] = None
            self._write_entry(subscriber, self.all_classes, backend, self.tables[table][backend])

    def complete_table(self, proxy: int, table: int) -> None:
        """Add the entries of its table that a proxy lacks to its pending update."""
        subscriber = self.proxies.get(proxy)
        if subscriber is None or subscriber.part is None:
            return
        part, subscriber.part = subscriber.part, None
        for backend, weight in self.tables.get(table, {}).items():
            if backend not in part:
                self.touched[proxy] = None
                self._write_entry(subscriber, self.all_classes, backend, weight)

    def _unassign_classes(
        self, proxy: int, subscriber: Subscriber, former: Classes, classes: Classes
    ) -> None:
        """Remove classes, which get another table, from the classes that a proxy uses a former table for."""
        table = subscriber.tables.pop(former)
        subscriber.entries.pop(former, None)
        subscriber.complete.discard(former)
        self.subscribers[table].pop(proxy, None)
        rest = former & ~classes
        if rest:
            subscriber.tables[rest] = table
            self.subscribers[table][proxy] = subscriber
            self._write_table(subscriber, rest, table)

    def _write_table(self, subscriber: Subscriber, classes: Classes, table: int) -> None:
        """Add the whole table to the pending update; the proxy then resets its levels, so add those too."""
        subscriber.complete.add(classes)
        subscriber.entries[classes] = {}
        for backend, weight in self.tables.get(table, {}).items():
            if subscriber.part is None or backend in subscriber.part:
                self._write_entry(subscriber, classes, backend, weight)
        levels = self.levels.get(table, {})
        for position in self._positions_of(classes):
            subscriber.levels.pop(position, None)
            if position in levels:
                subscriber.levels[position] = levels[position]

    def _positions_of(self, classes: Classes) -> list[int]:
        return [position for position in range(len(self.class_names)) if classes >> position & 1]

    def set_admission(self, table: int, classes: Classes, level: AdmissionLevel) -> None:
        """Set the admission level of some classes (0: all) for a table."""
        for position in self._positions_of(classes or self.all_classes):
            self.levels.setdefault(table, {})[position] = level
            for subscriber, subscribed_classes in self._subscriptions(table):
                if subscribed_classes >> position & 1:
                    subscriber.levels[position] = level

    def entry_count(self, tables: Iterable[int]) -> int:
        """Return the total number of entries of these tables."""
        return sum(len(self.tables.get(table, ())) for table in tables)

    def levels_of(self, tables: Iterable[int]) -> dict[str | None, AdmissionLevel]:
        """Return the levels, by request class, of the first of these tables with any."""
        for table in tables:
            if table in self.levels:
                levels = sorted(self.levels[table].items())
                return {self.class_names[position]: level for position, level in levels}
        return {}

    # Exclusions

    def mark_possibly_excluded(self, backends: Iterable[str]) -> None:
        """Record backends that some coordinator may exclude, and so may proxies that join from now on."""
        self.possibly_excluded |= frozenset(backends)

    def remove_backend(self, backend: str) -> None:
        """Remove all records of a backend's exclusion.

        A proxy that excludes it since a former stream keeps excluding it if the name returns, until the proxy
        joins again.
        """
        self.possibly_excluded -= {backend}
        self.excluded.discard(backend)
        for subscriber in self.proxies.values():
            subscriber.sent_exclusions.pop(backend, None)

    def exclude(self, backend: str, excluded: bool) -> None:
        """Exclude a backend at every proxy that may use it, or readmit it."""
        if excluded:
            self.excluded.add(backend)
        else:
            self.excluded.discard(backend)
        for proxy, subscriber in self._possible_users(backend).items():
            if subscriber.set_exclusion(backend, excluded):
                self.touched[proxy] = None

    def exclude_for(self, proxy: int, backends: Iterable[str]) -> None:
        """Exclude backends at one proxy."""
        for backend in backends:
            self.excluded.add(backend)
            if self.proxies[proxy].set_exclusion(backend, excluded=True):
                self.touched[proxy] = None

    def missing_exclusions(self, proxy: int, backends: Iterable[str]) -> list[str]:
        """Return which of these backends a proxy was not sent an exclusion of on its stream."""
        sent = self.proxies[proxy].sent_exclusions
        return [backend for backend in backends if not sent.get(backend)]

    def _possible_users(self, backend: str) -> dict[int, Subscriber]:
        """Return the proxies that may use a backend: those without a table, and those with it in their table.

        The others get the exclusion together with the entry, if it is ever added to their table.
        """
        possible_users = dict(self.unassigned)
        for table, entries in self.tables.items():
            if backend in entries:
                possible_users.update(self.subscribers.get(table, {}))
        return possible_users

    def exclusion_cost(self, backend: str, excluded: bool) -> dict[int, int]:
        """Return the entries, by proxy, that `exclude` would cost now.

        All unassigned proxies that need the change count, since the tables that they use are not known.
        """
        return {
            proxy: 1
            for proxy, subscriber in self.unassigned.items()
            if subscriber.needs_exclusion(backend, excluded)
        }

    def readmission_cost(self, proxies: Iterable[int], table: int, backend: str | None) -> dict[int, int]:
        """Return the entries, by proxy, that readmit or exclude backends together with their table entries.

        The proxies get the entry of `backend`, or the whole table if it is None.
        """
        names: Iterable[str] = (backend,) if backend is not None else self.tables.get(table, ())
        costs = {}
        for proxy in proxies:
            subscriber = self.proxies.get(proxy)
            if subscriber is None:
                continue
            entries = sum(subscriber.needs_exclusion(name, name in self.excluded) for name in names)
            if entries:
                costs[proxy] = entries
        return costs
