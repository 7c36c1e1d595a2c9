"""What is waiting to be written to each proxy.

The planner orders by table; this module expands shared tables to the proxies on them, merges what was not
picked yet, and remembers which backends each proxy may exclude. It takes no decision and does no I/O.
"""

from collections.abc import Iterable, Iterator, Mapping

from granitespool.outgoing import LevelUpdate, ProxyUpdate, TableUpdate
from granitespool.planner.admission_levels import AdmissionLevel

Classes = int  # a set of request classes: the sum of 2**k over their positions in the settings


class Subscriber:
    """A joined proxy: its tables, the backends that it may exclude, and what is to be written to it."""

    def __init__(self, possibly_excluded: frozenset[str]) -> None:
        self.tables: dict[Classes, int] = {}  # -> table
        self.possibly_excluded = possibly_excluded  # by other coordinators, when it joined; shared by many
        self.sent_exclusions: dict[
            str, bool
        ] = {}  # backend -> what it was told on this stream: is it excluded
        self.clear()

    def clear(self) -> None:
        """Forget what was to be written."""
        self.entries: dict[Classes, dict[str, float]] = {}
        self.complete: set[Classes] = set()  # whose entries are the whole table
        self.levels: dict[int, AdmissionLevel] = {}  # by the position of the request class
        self.exclusions: dict[str, bool] = {}  # backend -> is it excluded
        self.barrier: int | None = None

    def may_exclude(self, backend: str) -> bool:
        """Whether it may exclude this backend, as far as is known."""
        return self.sent_exclusions.get(backend, backend in self.possibly_excluded)

    def needs_exclusion(self, backend: str, excluded: bool) -> bool:
        """Whether it must be told that a backend is excluded, or that it is not."""
        if excluded:
            return not self.sent_exclusions.get(backend)
        return self.may_exclude(backend)

    def tell_exclusion(self, backend: str, excluded: bool) -> bool:
        """Tell it of an exclusion unless that stands already; whether it was told."""
        is_news = self.needs_exclusion(backend, excluded)
        if is_news:
            self.exclusions[backend] = excluded
            self.sent_exclusions[backend] = excluded
        return is_news


class ProxyUpdates:
    """The tables as ordered, the proxies on them, and what is pending for each proxy."""

    def __init__(self, class_names: list[str | None]) -> None:
        self.class_names = class_names
        self.all_classes: Classes = (1 << len(class_names)) - 1
        self.proxies: dict[int, Subscriber] = {}  # all that have joined
        self.unassigned: dict[int, Subscriber] = {}  # those without a table
        self.users: dict[int, dict[int, Subscriber]] = {}  # table -> the proxies on it, in order
        self.tables: dict[int, dict[str, float]] = {}  # table -> its entries
        self.levels: dict[int, dict[int, AdmissionLevel]] = {}  # table -> position of a class -> level
        self.excluded: set[str] = set()  # backends
        self.possibly_excluded: frozenset[str] = frozenset()  # backends that some coordinator may exclude
        self.touched: dict[int, None] = {}  # proxies with something new in this turn
        self.waiting: dict[int, None] = {}  # proxies with something to pick

    # Proxies

    def join(self, proxy: int) -> None:
        """Begin anew with a proxy that has joined."""
        self.leave(proxy)
        subscriber = Subscriber(self.possibly_excluded)
        self.proxies[proxy] = subscriber
        self.unassigned[proxy] = subscriber

    def leave(self, proxy: int) -> None:
        """Forget a proxy."""
        self.proxies.pop(proxy, None)
        self.waiting.pop(proxy, None)
        self.touched.pop(proxy, None)
        self.unassigned.pop(proxy, None)
        for users in self.users.values():
            users.pop(proxy, None)

    def touch_all(self) -> None:
        """Have every proxy get a message in this turn."""
        self.touched.update(dict.fromkeys(self.proxies))

    def end_turn(self, barrier: int | None) -> None:
        """Make what was ordered in this turn one message a proxy, with this barrier where there is one."""
        for proxy in self.touched:
            if barrier is not None:
                self.proxies[proxy].barrier = barrier
            self.waiting[proxy] = None
        self.touched = {}

    def next_update(self, proxy: int) -> ProxyUpdate | None:
        """Return what is next for a proxy, or None."""
        if proxy not in self.waiting:
            return None
        del self.waiting[proxy]
        subscriber = self.proxies[proxy]
        update = ProxyUpdate(
            tables=[
                TableUpdate(self._names_of(classes), classes in subscriber.complete, entries)
                for classes, entries in subscriber.entries.items()
            ],
            levels=self._level_updates(subscriber.levels),
            excluded=[backend for backend, excluded in subscriber.exclusions.items() if excluded],
            readmitted=[backend for backend, excluded in subscriber.exclusions.items() if not excluded],
            barrier=subscriber.barrier,
        )
        subscriber.clear()
        return update

    def _names_of(self, classes: Classes) -> list[str | None] | None:
        if classes == self.all_classes:
            return None
        return [name for k, name in enumerate(self.class_names) if classes >> k & 1]

    def _level_updates(self, levels: Mapping[int, AdmissionLevel]) -> list[LevelUpdate]:
        """Group the classes that have the same level."""
        groups: dict[AdmissionLevel, Classes] = {}
        for position, level in sorted(levels.items()):
            groups[level] = groups.get(level, 0) | 1 << position
        return [
            LevelUpdate(self._names_of(classes), level.share, level.retries)
            for level, classes in groups.items()
        ]

    # Tables

    def _subscriptions(self, table: int) -> Iterator[tuple[Subscriber, Classes]]:
        """Yield the proxies on a table and for which classes; each gets a message in this turn."""
        for proxy, subscriber in self.users.get(table, {}).items():
            for classes, used in subscriber.tables.items():
                if used == table:
                    self.touched[proxy] = None
                    yield subscriber, classes

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Set one entry of a table; weight 0 removes it."""
        entries = self.tables.setdefault(table, {})
        entries[backend] = weight
        if not weight:
            del entries[backend]
        for subscriber, classes in self._subscriptions(table):
            self._write_entry(subscriber, classes, backend, weight)
            if not weight and classes in subscriber.complete:
                del subscriber.entries[classes][backend]

    def _write_entry(self, subscriber: Subscriber, classes: Classes, backend: str, weight: float) -> None:
        subscriber.entries.setdefault(classes, {})[backend] = weight
        if weight:
            subscriber.tell_exclusion(backend, backend in self.excluded)

    def reset_table(self, table: int) -> None:
        """Remove all entries and levels of a table."""
        self.tables.pop(table, None)
        self.levels.pop(table, None)
        for subscriber, classes in self._subscriptions(table):
            self._write_table(subscriber, classes, table)

    def assign(self, proxy: int, table: int, classes: Classes) -> None:
        """Put a joined proxy on a table for some classes (0: all)."""
        subscriber = self.proxies.get(proxy)
        if subscriber is None:
            return
        classes = classes or self.all_classes
        for other in [other for other in subscriber.tables if other & classes]:
            self._take_classes(proxy, subscriber, other, classes)
        subscriber.tables[classes] = table
        self.users.setdefault(table, {})[proxy] = subscriber
        self.unassigned.pop(proxy, None)
        self._write_table(subscriber, classes, table)
        self.touched[proxy] = None

    def _take_classes(self, proxy: int, subscriber: Subscriber, other: Classes, classes: Classes) -> None:
        """Take classes, which a later table has now, from those that a proxy uses another table for."""
        table = subscriber.tables.pop(other)
        subscriber.entries.pop(other, None)
        subscriber.complete.discard(other)
        self.users[table].pop(proxy, None)
        rest = other & ~classes
        if rest:
            subscriber.tables[rest] = table
            self.users[table][proxy] = subscriber
            self._write_table(subscriber, rest, table)

    def _write_table(self, subscriber: Subscriber, classes: Classes, table: int) -> None:
        """Write the whole table; that makes the proxy forget its levels, so those are written again."""
        subscriber.complete.add(classes)
        subscriber.entries[classes] = {}
        for backend, weight in self.tables.get(table, {}).items():
            self._write_entry(subscriber, classes, backend, weight)
        levels = self.levels.get(table, {})
        for position in self._positions_of(classes):
            subscriber.levels.pop(position, None)
            if position in levels:
                subscriber.levels[position] = levels[position]

    def _positions_of(self, classes: Classes) -> list[int]:
        return [position for position in range(len(self.class_names)) if classes >> position & 1]

    def set_admission(self, table: int, classes: Classes, level: AdmissionLevel) -> None:
        """Set the level of some classes (0: all) on a table."""
        for position in self._positions_of(classes or self.all_classes):
            self.levels.setdefault(table, {})[position] = level
            for subscriber, used_for in self._subscriptions(table):
                if used_for >> position & 1:
                    subscriber.levels[position] = level

    def entry_count(self, tables: Iterable[int]) -> int:
        """Return how many entries these tables hold together."""
        return sum(len(self.tables.get(table, ())) for table in tables)

    def levels_of(self, tables: Iterable[int]) -> dict[str | None, AdmissionLevel]:
        """Return the levels, by request class, of the first of these tables that has any."""
        for table in tables:
            if table in self.levels:
                levels = sorted(self.levels[table].items())
                return {self.class_names[position]: level for position, level in levels}
        return {}

    # Exclusions

    def suspect(self, backends: Iterable[str]) -> None:
        """Note backends that some coordinator may exclude; those who join from now on may have been told."""
        self.possibly_excluded |= frozenset(backends)

    def forget(self, backend: str) -> None:
        """Forget a backend's name.

        A proxy that excludes it since a stream long ago goes on so if the name returns, until it joins anew.
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
            if subscriber.tell_exclusion(backend, excluded):
                self.touched[proxy] = None

    def _possible_users(self, backend: str) -> dict[int, Subscriber]:
        """Return who may use a backend: proxies without a table, and those whose table holds it.

        Others need nothing: an exclusion follows with the entry, if that is ever written.
        """
        found = dict(self.unassigned)
        for table, entries in self.tables.items():
            if backend in entries:
                found.update(self.users.get(table, {}))
        return found

    def exclusion_cost(self, backend: str, excluded: bool) -> dict[int, int]:
        """Return the lines, by proxy, that `exclude` would cost now.

        Nobody knows what a proxy holds that was never written to on this stream, so all of those count.
        """
        return {
            proxy: 1
            for proxy, subscriber in self.unassigned.items()
            if subscriber.needs_exclusion(backend, excluded)
        }

    def readmission_cost(self, proxies: Iterable[int], table: int, backend: str | None) -> dict[int, int]:
        """Return the lines, by proxy, that readmit what these may exclude.

        They get this backend's entry, or the whole table where it is None.
        """
        names: Iterable[str] = (backend,) if backend is not None else self.tables.get(table, ())
        costs = {}
        for proxy in proxies:
            subscriber = self.proxies.get(proxy)
            lines = sum(map(subscriber.may_exclude, names)) if subscriber else 0
            if lines:
                costs[proxy] = lines
        return costs
