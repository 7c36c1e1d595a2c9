"""Measures the profile of a real coordinator from the events that the stand-ins recorded."""

from collections.abc import Iterable

import msgspec

from granitespool.errors import GranitespoolError
from granitespool.scale.hollow.endpoints import EndpointStates
from granitespool.scale.hollow.profile import (
    Flush,
    MessageProfile,
    Parts,
    Profile,
    RefreshProfile,
)
from granitespool.scale.trace import BackendListed, Event, ProxyJoined, ProxyLeft, UpdateReceived
from granitespool.units import SECOND

FLUSH_TIME = SECOND // 20  # ns from the first to the last message of a flush
CHANGE_TIME = SECOND  # ns after a change of the endpoint list in which a proxy's next message belongs to it

MeasuredEvent = ProxyJoined | ProxyLeft | BackendListed | UpdateReceived


class MeasurementError(GranitespoolError):
    """The events cannot be measured."""


class LateEventError(MeasurementError, ValueError):
    """An event is not older than the end of the measurement."""

    def __init__(self, at: int, until: int) -> None:
        """Create the error; both times are in ns."""
        super().__init__(f"an event has the time {at} ns, but the measurement ended at {until} ns")


class UnmeasuredEventError(MeasurementError, TypeError):
    """An event has a type that a profile cannot be measured from."""

    def __init__(self, kind: type) -> None:
        """Create the error; `kind` is the event's type."""
        super().__init__(f"no profile can be measured from an event of type {kind.__name__}")


def measure_profile(events: Iterable[MeasuredEvent], until: int) -> Profile:
    """Measure the profile of one coordinator from events in order of time, up to `until` (ns).

    Endpoint list entries of the same time are one change; a change before any proxy has joined is ignored.
    Raises LateEventError and UnmeasuredEventError.
    """
    measurement = _Measurement()
    for event in events:
        measurement.observe(event)
        if event.at >= until:
            raise LateEventError(event.at, until)
    return measurement.profile(until)


class _Written(msgspec.Struct):
    """A change of the endpoint list or a flush, and the message to each proxy for it."""

    at: int  # ns of the change, or of the first message of the flush
    messages: dict[int, Parts | None]  # by proxy, in order of joining; None: no message yet


class _Measurement:
    """Classifies the messages of one coordinator by their cause: a join, a change of the list, or time."""

    def __init__(self) -> None:
        self.joined: dict[int, int] = {}  # proxy -> ns when it joined; in order of joining
        self.first_tables: list[Parts | None] = []
        self.awaiting_table: dict[int, int] = {}  # proxy without a table -> its index in `first_tables`
        self.changes: list[_Written] = []
        self.states = EndpointStates()
        self.flushes: list[_Written] = []
        self.first_joined_at: int | None = None  # ns
        self.proxy_time = 0  # ns, summed over streams that have ended

    def observe(self, event: Event) -> None:
        """Handle one event; raise UnmeasuredEventError if its type is not supported."""
        match event:
            case ProxyJoined():
                self._joined(event)
            case ProxyLeft():
                self._left(event.proxy, event.at)
            case BackendListed():
                self._listed(event)
            case UpdateReceived():
                self._received(event)
            case _:
                raise UnmeasuredEventError(type(event))

    def _joined(self, event: ProxyJoined) -> None:
        self._left(event.proxy, event.at)
        if self.first_joined_at is None:
            self.first_joined_at = event.at
        self.joined[event.proxy] = event.at
        self.awaiting_table[event.proxy] = len(self.first_tables)
        self.first_tables.append(None)

    def _left(self, proxy: int, at: int) -> None:
        joined_at = self.joined.pop(proxy, at)
        self.proxy_time += at - joined_at
        self.awaiting_table.pop(proxy, None)

    def _listed(self, event: BackendListed) -> None:
        same_time = bool(self.changes) and self.changes[-1].at == event.at
        if self.states.update(event.backend, event.phase, event.started) and not same_time:
            served = (proxy for proxy in self.joined if proxy not in self.awaiting_table)
            self.changes.append(_Written(event.at, dict.fromkeys(served)))

    def _received(self, event: UpdateReceived) -> None:
        if event.proxy in self.awaiting_table:
            self.first_tables[self.awaiting_table.pop(event.proxy)] = event.parts
        elif change := self._change_of(event):
            change.messages[event.proxy] = event.parts
        else:
            self._flush_of(event).messages[event.proxy] = event.parts

    def _change_of(self, event: UpdateReceived) -> _Written | None:
        """Return the last change if this message can belong to it."""
        change = self.changes[-1] if self.changes else None
        if change is None or event.at - change.at > CHANGE_TIME or not _lacks_message(change, event):
            return None
        return change

    def _flush_of(self, event: UpdateReceived) -> _Written:
        """Return the last flush if this message can belong to it, else a new one."""
        flush = self.flushes[-1] if self.flushes else None
        if flush is None or event.at - flush.at > FLUSH_TIME or not _lacks_message(flush, event):
            flush = _Written(event.at, dict.fromkeys(self.joined))
            self.flushes.append(flush)
        return flush

    def profile(self, until: int) -> Profile:
        """Return the profile of the events up to `until` (ns)."""
        proxy_time = self.proxy_time + sum(until - joined_at for joined_at in self.joined.values())
        first = until if self.first_joined_at is None else self.first_joined_at
        changes = [parts for change in self.changes for parts in change.messages.values()]
        flushes = [
            Flush(offset=flush.at - first, messages=tuple(flush.messages.values())) for flush in self.flushes
        ]
        return Profile(
            joining=MessageProfile(occasions=tuple(self.first_tables)),
            change=MessageProfile(occasions=tuple(changes)),
            refresh=RefreshProfile(period=until - first, proxy_time=proxy_time, flushes=tuple(flushes)),
        )


def _lacks_message(written: _Written, event: UpdateReceived) -> bool:
    """Return whether a message to the event's proxy is expected here and has not been written yet."""
    return event.proxy in written.messages and written.messages[event.proxy] is None
