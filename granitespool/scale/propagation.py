"""Measures how long proxies may still use a backend after the backend drains or is removed."""

from collections.abc import Callable, Sequence

import msgspec

from granitespool.scale.discovery import Change
from granitespool.scale.proxy_stream import ProxyStream


class _Pending(msgspec.Struct, frozen=True):
    """The removal of a backend, and the proxies whose tables still allow it."""

    since: int  # ns
    holders: set[int]  # proxies
    during_cut: bool


class PropagationTracker:
    """Tracks each removal of a backend from the endpoint list until the last proxy has applied it."""

    def __init__(self, clock: Callable[[], int], streams: Sequence[ProxyStream]) -> None:
        """Create the tracker; `clock` returns ns, and the caller may add to `streams` later."""
        self.clock = clock
        self.streams = streams
        self.durations: list[int] = []  # ns until the last proxy had applied a removal
        self.durations_cut: list[int] = []  # the same for removals published during a cut
        self._pending: dict[str, _Pending] = {}

    def published(self, change: Change, during_cut: bool) -> None:
        """Start to track the removals in a change that discovery has published."""
        for entry in change.entries:
            if entry.status == "ready":
                self._pending.pop(entry.name, None)
            elif entry.name not in self._pending:
                self._follow(entry.name, during_cut)

    def _follow(self, backend: str, during_cut: bool) -> None:
        holders = {stream.number for stream in self.streams if stream.table.is_usable(backend)}
        if holders:
            self._pending[backend] = _Pending(self.clock(), holders, during_cut)

    def applied(self, stream: ProxyStream) -> None:
        """Update the pending removals after a proxy has applied a message."""
        now = self.clock()
        for backend, pending in list(self._pending.items()):
            if stream.number in pending.holders and not stream.table.is_usable(backend):
                pending.holders.discard(stream.number)
                if not pending.holders:
                    del self._pending[backend]
                    self._finished(pending, now)

    def _finished(self, pending: _Pending, now: int) -> None:
        durations = self.durations_cut if pending.during_cut else self.durations
        durations.append(now - pending.since)

    def unfinished(self, during_cut: bool) -> int:
        """Return the number of removals that some proxy has not applied yet."""
        return sum(pending.during_cut == during_cut for pending in self._pending.values())
