"""A planner by itself: takes events, records the requested actions and runs timers on demand."""

import heapq
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from granitespool.planner import events
from granitespool.planner.planner import Planner
from granitespool.planner.records import UnassignedProxy
from granitespool.units import SECOND
from support.events import EventReporter
from support.records import settings_of

SEED = 1


class Between(msgspec.Struct, frozen=True):
    """Stands for any number above `low` and below `high`."""

    low: float
    high: float

    def __contains__(self, value: float) -> bool:
        return self.low < value < self.high


class Below(msgspec.Struct, frozen=True):
    """Stands for any number below `high`."""

    high: float

    def __contains__(self, value: float) -> bool:
        return value < self.high


def _matches(expected: object, actual: Any) -> bool:
    if isinstance(expected, Between | Below):
        return actual in expected
    if isinstance(expected, bool) or isinstance(actual, bool):
        return expected is actual
    if isinstance(actual, float):
        return bool(expected == float(f"{actual:g}"))
    return bool(expected == actual)


class RecordedActions:
    """The actions that a planner has requested, each as a tuple of its name and arguments."""

    def __init__(self) -> None:
        self.now = 0
        self.calls: list[tuple[Any, ...]] = []
        self.class_names: list[str | None] = []
        self._timers: list[tuple[int, int, str]] = []
        self._timers_set = 0

    def __repr__(self) -> str:
        return f"actions {self.calls}"

    def made(self, action: str, *arguments: Any) -> list[tuple[Any, ...]]:
        """Return the actions of this name whose first arguments match; floats to six significant digits."""
        expected = (action, *arguments)
        return [
            call for call in self.calls if len(call) >= len(expected) and all(map(_matches, expected, call))
        ]

    def clear(self) -> None:
        """Discard the actions so far; timers stay set."""
        self.calls.clear()

    def next_timer(self, until: int) -> tuple[int, str] | None:
        """Remove and return the next timer that is due by `until`: its time and cookie."""
        if not self._timers or self._timers[0][0] > until:
            return None
        due, _, cookie = heapq.heappop(self._timers)
        return due, cookie

    # The actions of `granitespool.planner.actions.PlannerActions`

    proxy_actions = None  # as on the simulator's channel

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Record the action."""
        self.calls.append(("set_entry", table, backend, weight))

    def reset_table(self, table: int) -> None:
        """Record the action."""
        self.calls.append(("reset_table", table))

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Record the action."""
        self.calls.append(("assign", proxy, table, classes))

    def exclude(self, backend: str, excluded: bool) -> None:
        """Record the action."""
        self.calls.append(("exclude", backend, excluded))

    def exclusion_cost(
        self, _backend: str, _excluded: bool, unassigned: Mapping[int, UnassignedProxy], backend_count: int
    ) -> Mapping[int, float]:
        """Return the cost on the simulator's channel: a part of an entry for each unassigned proxy."""
        return {
            proxy: min(entries, backend_count) / backend_count for proxy, (entries, _) in unassigned.items()
        }

    def readmission_cost(
        self, _proxies: Iterable[int], _table: int, _backend: str | None = None
    ) -> Mapping[int, int]:
        """Return no cost, as on the simulator's channel."""
        return {}

    def set_admission(self, table: int, classes: int, share: float, retries: int) -> None:
        """Record the action once for each class, by its name, however classes are grouped."""
        for position in range(classes.bit_length()):
            if classes >> position & 1:
                self.calls.append(("set_admission", table, self.class_names[position], share, retries))

    def request_acknowledgement(self, sequence: int, all_proxies: bool) -> None:
        """Record the action."""
        self.calls.append(("request_acknowledgement", sequence, all_proxies))

    def check_health(self, backend: str) -> None:
        """Record the action."""
        self.calls.append(("check_health", backend))

    def remove_backend(self, backend: str) -> None:
        """Record the action."""
        self.calls.append(("remove_backend", backend))

    def subscribe(self, enabled: bool) -> None:
        """Record the action."""
        self.calls.append(("subscribe", enabled))

    def fetch_endpoints(self) -> None:
        """Record the action."""
        self.calls.append(("fetch_endpoints",))

    def set_timer(self, delay: int, cookie: str) -> None:
        """Set a timer, which `PlannerHarness.advance_to` runs."""
        assert delay >= 0
        self._timers_set += 1
        heapq.heappush(self._timers, (self.now + delay, self._timers_set, cookie))

    def send_gossip(self, peer: int, payload: str) -> None:
        """Record the action."""
        self.calls.append(("send_gossip", peer, payload))

    def log(self, text: str) -> None:
        """Record the action."""
        self.calls.append(("log", text))


class PlannerHarness(EventReporter):
    """A planner that is created at the first event or advance of the clock."""

    def __init__(self) -> None:
        super().__init__()
        self.actions = RecordedActions()
        self._planner: Planner | None = None

    def report(self, event: events.Event) -> None:
        """Report one event at the current time."""
        self._ensure_planner().handle(self.now, event)

    def advance_to(self, time: int) -> None:
        """Discard the actions so far and run the timers that are due by `time`."""
        self._ensure_planner()
        self.actions.clear()
        self._run_timers(time)

    def report_each_second(self, until: int, *reports: events.LoadReport) -> None:
        """Advance to each full second until `until` and report these; all actions stay recorded."""
        while self.now + SECOND <= until:
            self._run_timers((self.now // SECOND + 1) * SECOND)
            for report in reports:
                self.report(report)

    def acknowledge(self, proxy: int) -> None:
        """Report that a proxy acknowledged the last recorded barrier after 100 ms."""
        _, sequence, _ = self.actions.made("request_acknowledgement")[-1]
        self.acknowledged(proxy, sequence, SECOND // 10)

    def _ensure_planner(self) -> Planner:
        if self._planner is None:
            settings = settings_of(self.settings)
            self.actions.class_names = [request_class.name for request_class in settings.classes]
            self._planner = Planner(self.actions, SEED, settings)
        return self._planner

    def _run_timers(self, until: int) -> None:
        planner = self._ensure_planner()
        while timer := self.actions.next_timer(until):
            due, cookie = timer
            self._set_time(max(self.now, due))
            planner.on_timer(self.now, cookie)
        self._set_time(until)

    def _set_time(self, now: int) -> None:
        self.now = now
        self.actions.now = now
