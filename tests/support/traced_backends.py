"""The backends of a traced fleet: their actual state, scheduled changes and the endpoint list."""

from typing import NamedTuple

from granitespool.units import SECOND
from support.proxy_fleet import START, Entry

WARM_UP_TIME = 17 * SECOND  # ns
WARM_UP_START_SHARE = 0.2
# Share of the first backends that always stay ready and warm: the capacity is not planned for fewer
MIN_WARM_SHARE = 2 / 3
DRAIN_TIME = 8 * SECOND  # ns from a backend's drain to its end
RESTART_DRAIN = 2 * SECOND  # ns from the drain of a backend that is restarted to its end
RETURN_DELAY = 4 * SECOND  # ns from a backend's end to its return


class Clock:
    """The clock that all parts of a fleet share."""

    def __init__(self) -> None:
        self.now = START  # ns


class TracedBackend:
    """The actual state of one backend."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.phase = "ready"
        self.started = 0  # ns; 0: long ago

    def capacity_share(self, now: int) -> float:
        """Return the capacity as a share of the warm capacity."""
        age = 1.0 if not self.started else min(1.0, (now - self.started) / WARM_UP_TIME)
        return WARM_UP_START_SHARE + (1 - WARM_UP_START_SHARE) * age

    def warms_up(self, now: int) -> bool:
        """Return whether the backend has less than its warm capacity."""
        return bool(self.started) and now - self.started < WARM_UP_TIME

    def entry(self) -> Entry:
        """Return its entry of the endpoint list."""
        return self.name, self.phase, self.started


class ListChange(NamedTuple):
    """One change of the endpoint list."""

    at: int  # ns
    entries: list[Entry]


class _ScheduledChange(NamedTuple):
    """A scheduled change of a backend's phase."""

    at: int  # ns
    phase: str
    backend: str


class TracedBackends:
    """All backends by name, and every change of the endpoint list."""

    def __init__(self, clock: Clock, count: int) -> None:
        """Create `count` backends that have been ready for a long time."""
        self.clock = clock
        self.by_name = {f"s{number}": TracedBackend(f"s{number}") for number in range(1, count + 1)}
        self.first_count = count
        self.made = count
        self.first_list = self.current_list()
        self.changes: list[ListChange] = []
        self._scheduled: list[_ScheduledChange] = []

    def current_list(self) -> list[Entry]:
        """Return the entries of the current list."""
        return [backend.entry() for backend in self.by_name.values() if backend.phase != "gone"]

    def list_after(self, changes: int) -> list[Entry]:
        """Return the entries of the list after its first `changes` changes."""
        listed = {entry[0]: entry for entry in self.first_list}
        for change in self.changes[:changes]:
            listed.update((entry[0], entry) for entry in change.entries)
        return [entry for entry in listed.values() if entry[1] != "gone"]

    def ready(self) -> list[TracedBackend]:
        """Return the backends that accept requests."""
        return [backend for backend in self.by_name.values() if backend.phase == "ready"]

    def replaceable(self, number: int) -> list[TracedBackend]:
        """Return up to `number` warm backends, oldest first, such that enough warm ones remain."""
        warm = [backend for backend in self.ready() if not backend.warms_up(self.clock.now)]
        number = min(number, len(warm) - int(MIN_WARM_SHARE * self.first_count) - 1)
        return warm[: max(0, number)]

    def release(self, number: int) -> None:
        """Start new backends, and drain and stop the ones that they replace."""
        old = self.replaceable(number)
        new = [self._make() for _ in old]
        self._drain(old, new)
        self._schedule(DRAIN_TIME, "gone", old)

    def restart(self, number: int) -> None:
        """Drain and stop backends; they return cold under the same names."""
        old = self.replaceable(number)
        self._drain(old, [])
        self._schedule(RESTART_DRAIN, "gone", old)
        self._schedule(RESTART_DRAIN + RETURN_DELAY, "ready", old)

    def crash(self, number: int) -> None:
        """Stop backends without a drain; they return cold."""
        lost = self.replaceable(number)
        for backend in lost:
            backend.phase = "gone"
        if lost:
            self._change(lost)
        self._schedule(RETURN_DELAY, "ready", lost)

    def advance(self) -> None:
        """Apply the scheduled changes that are due."""
        due = [change for change in self._scheduled if change.at <= self.clock.now]
        self._scheduled = [change for change in self._scheduled if change.at > self.clock.now]
        for change in due:
            backend = self.by_name[change.backend]
            backend.phase = change.phase
            if change.phase == "ready":
                backend.started = self.clock.now
            self._change([backend])

    def _make(self) -> TracedBackend:
        self.made += 1
        backend = TracedBackend(f"s{self.made}")
        backend.started = self.clock.now
        self.by_name[backend.name] = backend
        return backend

    def _drain(self, old: list[TracedBackend], new: list[TracedBackend]) -> None:
        for backend in old:
            backend.phase = "draining"
        if old:
            self._change([*old, *new])

    def _change(self, backends: list[TracedBackend]) -> None:
        self.changes.append(ListChange(self.clock.now, [backend.entry() for backend in backends]))

    def _schedule(self, delay: int, phase: str, backends: list[TracedBackend]) -> None:
        at = self.clock.now + delay
        self._scheduled += [_ScheduledChange(at, phase, backend.name) for backend in backends]
