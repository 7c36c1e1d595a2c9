"""A coordinator with its planner: takes events and actions, returns typed messages to proxies."""

import msgspec

from granitespool.coordinator import Coordinator
from granitespool.outgoing import ProxyUpdate, Queue
from granitespool.planner import events
from support.events import EventReporter
from support.records import settings_of

SEED = 1
ALL_CLASSES = 0


class TableUpdate(msgspec.Struct, frozen=True):
    """Entries of a table in order, for some classes (None: all); a complete update replaces the table."""

    complete: bool
    entries: tuple[tuple[str, float], ...]
    classes: tuple[str | None, ...] | None = None


class Admission(msgspec.Struct, frozen=True):
    """The admitted share of some classes (None: all) and how their attempts are retried."""

    share: float
    retries: int
    classes: tuple[str | None, ...] | None = None


class ProxyMessage(msgspec.Struct, frozen=True):
    """One message to a proxy."""

    tables: tuple[TableUpdate, ...] = ()
    admissions: tuple[Admission, ...] = ()
    excluded: tuple[str, ...] = ()
    readmitted: tuple[str, ...] = ()
    acknowledge: bool = False


def complete_table(*classes: str, **entries: float) -> TableUpdate:
    """Return a complete table with these entries, for these classes or all."""
    return TableUpdate(True, tuple(entries.items()), classes or None)


def table_changes(*classes: str, **entries: float) -> TableUpdate:
    """Return changed entries of a table, for these classes or all."""
    return TableUpdate(False, tuple(entries.items()), classes or None)


class CoordinatorHarness(EventReporter):
    """A coordinator that is created at the first use; its clock stands still until it is advanced."""

    def __init__(self) -> None:
        super().__init__()
        self._coordinator: Coordinator | None = None

    @property
    def actions(self) -> Coordinator:
        """The coordinator, which implements the actions of its planner."""
        if self._coordinator is None:
            self._coordinator = Coordinator(settings_of(self.settings), SEED, self.now)
        return self._coordinator

    def report(self, event: events.Event) -> None:
        """Report one event at the current time."""
        self.actions.report(self.now, event)

    def advance_to(self, time: int) -> None:
        """Advance the clock and run the timers that are due by then."""
        while (due := self.actions.tick(self.now)) is not None and due <= time:
            self.now = due
        self.now = time

    def message(self, proxy: int) -> ProxyMessage | None:
        """End the turn and return the next message to the proxy, None if there is none."""
        self.actions.tick(self.now)
        update = self.actions.pick(proxy)
        return _message_of(update) if update else None

    def logged_errors(self) -> list[object]:
        """Return the errors that the coordinator has caught and the texts that the planner has logged."""
        return list(self.actions.queues[Queue.INTERNAL_ERRORS])


def _message_of(update: ProxyUpdate) -> ProxyMessage:
    return ProxyMessage(
        tables=tuple(
            TableUpdate(
                table.complete,
                tuple((name, float(f"{weight:g}")) for name, weight in table.entries.items()),
                _names(table.classes),
            )
            for table in update.tables
        ),
        admissions=tuple(
            Admission(float(f"{level.share:g}"), level.retries, _names(level.classes))
            for level in update.levels
        ),
        excluded=tuple(update.excluded),
        readmitted=tuple(update.readmitted),
        acknowledge=update.barrier is not None,
    )


def _names(classes: list[str | None] | None) -> tuple[str | None, ...] | None:
    return None if classes is None else tuple(classes)
