"""Judges a trace by the platform's five rules, over all coordinators together.

The rules, by the protocol page's words and figures (`Limits`):

    no_backend     a joined proxy has no backend to pick, though its coordinator's list shows a warm one
    double_effect  a request whose effect must happen once is carried out twice
    drain          a joined proxy holds a backend open that its coordinator knows is draining or gone
    cold_overload  a cold backend gets more than a multiple of what it can do at its age
    channel        lines that wait, messages to one proxy, parts of a message and bytes of a part

The module reads events and does no I/O. It imports nothing of the planner, the facade or the channel's
account, so that a fault there cannot hide itself here. Times are whole nanoseconds.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from typing import Literal

import msgspec

from granitespool.scale.trace import (
    AnyEvent,
    BackendLoad,
    BackendTold,
    ChannelWaiting,
    CoordinatorEnded,
    CoordinatorStarted,
    Limits,
    MessageWritten,
    ProxyJoined,
    ProxyLeft,
    RequestExecuted,
    TableHeld,
)

SECOND = 1_000_000_000  # ns
KNOWING_SHARE = 2 / 3  # share of a cold backend's work that must come from proxies that could know of it

Rule = Literal["no_backend", "double_effect", "drain", "cold_overload", "channel"]


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """One rule broken once."""

    rule: Rule
    at: int  # ns: the last instant that was still allowed, or the event that broke the rule
    subject: str
    text: str  # one sentence with figures


class EventOrderError(ValueError):
    """An event is older than the one before it, so the trace cannot be judged."""

    def __init__(self, index: int, at: int, previous: int):
        """`index` counts events from 0; `at` and `previous` are ns."""
        super().__init__(f"event {index} is of {at} ns, after one of {previous} ns")
        self.index, self.at, self.previous = index, at, previous


class UnknownEventError(TypeError):
    """Something in the trace is no event that the rules know."""


def check(events: Iterable[AnyEvent], limits: Limits) -> list[Violation]:
    """All violations in order of time; raises EventOrderError and UnknownEventError.

    A time limit that is still running at the last event is judged as of that event.
    """
    judge = _Judge(limits)
    for index, event in enumerate(events):
        judge.see(index, event)
    return judge.end()


def _seconds(time: int) -> str:
    return f"{time / SECOND:.3f} s"


class _Running(msgspec.Struct, frozen=True):
    """A time limit that runs: `violation` is told unless it is stopped by `due` (ns)."""

    began: int  # ns
    due: int  # ns: the last instant that is allowed
    violation: Violation


class _Deadlines:
    """Time limits that run, by rule and subject."""

    def __init__(self, violations: list[Violation]):
        self.violations = violations
        self.running: dict[tuple[Rule, str], _Running] = {}
        self.told: dict[tuple[Rule, str], int] = {}  # when the time limit that was last told of began
        self.queue: list[tuple[int, int, _Running]] = []
        self.serial = 0

    def start(self, began: int, due: int, violation: Violation) -> None:
        """Starts or keeps a time limit; one that was told of is not told of again."""
        key = violation.rule, violation.subject
        before = self.running.get(key)
        if self.told.get(key) == began or before and (before.began, before.due) == (began, due):
            return
        limit = self.running[key] = _Running(began, due, violation)
        self.serial += 1
        heapq.heappush(self.queue, (due, self.serial, limit))

    def stop(self, rule: Rule, subject: str) -> None:
        """Ends a time limit, if it runs."""
        self.running.pop((rule, subject), None)

    def advance(self, now: int) -> None:
        """Tells of each time limit whose last allowed instant lies before `now` (ns)."""
        while self.queue and self.queue[0][0] < now:
            limit = heapq.heappop(self.queue)[2]
            key = limit.violation.rule, limit.violation.subject
            if self.running.get(key) is limit:
                del self.running[key]
                self.told[key] = limit.began
                self.violations.append(limit.violation)


class _Listing(msgspec.Struct, frozen=True):
    """A backend as one coordinator was told of it last."""

    ready: bool
    started: int  # ns; 0: long ago


class _BackendList:
    """What one process of a coordinator was told by discovery."""

    def __init__(self, drain_needs_entry: bool):
        self.drain_needs_entry = drain_needs_entry
        self.listings: dict[str, _Listing] = {}
        self.unready: dict[str, int] = {}  # backend that no proxy may hold open for long -> told when, ns

    def tell(self, event: BackendTold) -> None:
        """Takes one entry."""
        ready = event.phase == "ready"
        self.listings[event.backend] = _Listing(ready, event.started)
        if ready:
            self.unready.pop(event.backend, None)
        elif event.phase == "draining" or not self.drain_needs_entry:
            self.unready.setdefault(event.backend, event.at)

    def first_warm(self, cold_time: int) -> int | None:
        """When (ns) the first of the ready backends is or was warm; None where none is ready."""
        ready = (listing.started for listing in self.listings.values() if listing.ready)
        return min((started + cold_time if started else 0 for started in ready), default=None)


class _Coordinator:
    """One coordinator: its first answer, its proxies and what discovery has told it."""

    def __init__(self, drain_needs_entry: bool):
        self.answered_at: int | None = None  # ns of the first answer of its present process
        self.proxies: dict[int, None] = {}
        self.drain_needs_entry = drain_needs_entry
        self.listed = self.next_listed = _BackendList(drain_needs_entry)

    def tell(self, event: BackendTold) -> None:
        """Takes one entry of its list."""
        self.listed.tell(event)
        if self.next_listed is not self.listed:
            self.next_listed.tell(event)

    def end(self) -> None:
        """From now on what is told may be told to a new process; whether it is one shows later."""
        self.next_listed = _BackendList(self.drain_needs_entry)

    def answer(self, now: int) -> None:
        """A new process answers for the first time: it knows only what was told since the end."""
        self.answered_at, self.listed = now, self.next_listed


class _Proxy:
    """One proxy: its stream and the table that it holds, which outlives its streams."""

    def __init__(self) -> None:
        self.coordinator: str | None = None
        self.joined_at = 0  # ns
        self.ended_by: str | None = None  # the coordinator that ended its last stream
        self.open: frozenset[str] = frozenset()  # backends that it may pick
        self.empty_since: int | None = 0  # ns; None: it has a backend to pick
        self.limited: set[str] = set()  # backends whose drain's time runs


class _Tables:
    """The rules on what proxies hold: `no_backend` and `drain`."""

    def __init__(self, limits: Limits, deadlines: _Deadlines):
        self.limits, self.deadlines = limits, deadlines
        self.coordinators: dict[str, _Coordinator] = {}
        self.proxies: dict[int, _Proxy] = {}
        self.handlers = {
            BackendTold: self.backend_told,
            CoordinatorStarted: self.started,
            CoordinatorEnded: self.ended,
            ProxyJoined: self.joined,
            ProxyLeft: self.left,
            TableHeld: self.table_held,
        }

    def _coordinator(self, name: str) -> _Coordinator:
        if name not in self.coordinators:
            self.coordinators[name] = _Coordinator(self.limits.drain_needs_entry)
        return self.coordinators[name]

    def backend_told(self, event: BackendTold) -> None:
        """The list of one coordinator changes, and with it what its proxies may hold."""
        coordinator = self._coordinator(event.coordinator)
        coordinator.tell(event)
        for number in coordinator.proxies:
            proxy = self.proxies[number]
            if proxy.empty_since is not None:
                self._refresh_empty(number, proxy, event.at)
            if event.backend in proxy.open:
                self._refresh_drain(number, proxy, event.backend, event.at)

    def started(self, event: CoordinatorStarted) -> None:
        """A new process answers; the time limits of who has joined it begin no sooner than that."""
        coordinator = self._coordinator(event.coordinator)
        coordinator.answer(event.at)
        for number in coordinator.proxies:
            self._refresh(number, event.at)

    def ended(self, event: CoordinatorEnded) -> None:
        """Its proxies have left it. It may be cut off alone, so its list is kept until a new one answers."""
        coordinator = self._coordinator(event.coordinator)
        coordinator.end()
        for number in list(coordinator.proxies):
            self._leave(number, event.at)

    def joined(self, event: ProxyJoined) -> None:
        """A proxy's time limits begin anew, unless its coordinator had ended its stream itself."""
        proxy = self.proxies.setdefault(event.proxy, _Proxy())
        again = proxy.ended_by == event.coordinator
        if proxy.coordinator is not None:
            self._leave(event.proxy, event.at)
        coordinator = self._coordinator(event.coordinator)
        coordinator.proxies[event.proxy] = None
        if coordinator.answered_at is None:
            coordinator.answered_at = event.at  # who takes a joining answers
        proxy.coordinator = event.coordinator
        proxy.joined_at = proxy.joined_at if again else event.at
        self._refresh(event.proxy, event.at)

    def left(self, event: ProxyLeft) -> None:
        """A stream ended. Where its coordinator ended it, the time limits run until the next joining."""
        proxy = self.proxies.get(event.proxy)
        if proxy is None or proxy.coordinator != event.coordinator:
            return  # the end of a former stream
        if event.by_coordinator:
            proxy.ended_by = event.coordinator
        else:
            self._leave(event.proxy, event.at)

    def _leave(self, number: int, now: int) -> None:
        proxy = self.proxies[number]
        self._coordinator(proxy.coordinator).proxies.pop(number, None)
        proxy.coordinator = proxy.ended_by = None
        self._refresh(number, now)

    def table_held(self, event: TableHeld) -> None:
        """A proxy holds another table."""
        proxy = self.proxies.setdefault(event.proxy, _Proxy())
        lines = (backend for backend, weight in event.lines.items() if weight > 0)
        proxy.open = frozenset(lines) - event.shut_out
        if proxy.open:
            proxy.empty_since = None
        elif proxy.empty_since is None:
            proxy.empty_since = event.at
        self._refresh(event.proxy, event.at)

    def _refresh(self, number: int, now: int) -> None:
        """Starts, keeps and stops this proxy's time limits by what holds from `now` (ns) on."""
        proxy = self.proxies[number]
        self._refresh_empty(number, proxy, now)
        self._refresh_drains(number, proxy, now)

    def _earliest(self, proxy: _Proxy, since: int) -> int:
        """When (ns) a time limit on something that began at `since` starts to run for this proxy."""
        answered_at = self._coordinator(proxy.coordinator).answered_at
        return max(since, proxy.joined_at, answered_at + self.limits.from_start)

    def _refresh_empty(self, number: int, proxy: _Proxy, now: int) -> None:
        subject, warm_at = f"proxy {number}", None
        if proxy.coordinator is not None and proxy.empty_since is not None:
            warm_at = self._coordinator(proxy.coordinator).listed.first_warm(self.limits.cold_time)
        if warm_at is None:
            return self.deadlines.stop("no_backend", subject)
        began = self._earliest(proxy, proxy.empty_since)
        allowed = self.limits.empty_limit + self.limits.slack
        due = max(began + allowed, warm_at)
        text = (
            f"Proxy {number} of {proxy.coordinator} has no backend to pick for over {_seconds(allowed)}"
            f" from {_seconds(began)} on, while its coordinator's list shows a warm one."
        )
        violation = Violation(rule="no_backend", at=max(due, now), subject=subject, text=text)
        self.deadlines.start(began, due, violation)

    def _refresh_drains(self, number: int, proxy: _Proxy, now: int) -> None:
        unready = set()
        if proxy.coordinator is not None:
            unready = self._coordinator(proxy.coordinator).listed.unready.keys() & proxy.open
        for backend in sorted(proxy.limited | unready):
            self._refresh_drain(number, proxy, backend, now)

    def _refresh_drain(self, number: int, proxy: _Proxy, backend: str, now: int) -> None:
        since = None
        if proxy.coordinator is not None and backend in proxy.open:
            since = self._coordinator(proxy.coordinator).listed.unready.get(backend)
        if since is None:
            proxy.limited.discard(backend)
            self.deadlines.stop("drain", self._drain_subject(number, backend))
        else:
            proxy.limited.add(backend)
            self._start_drain(number, proxy, backend, since, now)

    @staticmethod
    def _drain_subject(number: int, backend: str) -> str:
        return f"proxy {number}, backend {backend}"

    def _start_drain(self, number: int, proxy: _Proxy, backend: str, since: int, now: int) -> None:
        began = self._earliest(proxy, since)
        allowed = self.limits.drain_grace + self.limits.slack
        due = began + allowed
        text = (
            f"Proxy {number} of {proxy.coordinator} holds {backend} open for over {_seconds(allowed)} from"
            f" {_seconds(began)} on; that it drains or is gone was told at {_seconds(since)}."
        )
        subject = self._drain_subject(number, backend)
        violation = Violation(rule="drain", at=max(due, now), subject=subject, text=text)
        self.deadlines.start(began, due, violation)


class _ColdBackends:
    """The rule on cold backends: `cold_overload`."""

    def __init__(self, limits: Limits, deadlines: _Deadlines):
        self.limits, self.deadlines = limits, deadlines
        self.over: dict[str, tuple[int, BackendLoad]] = {}  # backend -> over since (ns), its latest load
        self.answered: dict[str, int] = {}  # running coordinators' first answers, ns
        self.any_answered = False
        self.handlers = {
            BackendLoad: self.load,
            CoordinatorStarted: self.started,
            CoordinatorEnded: self.ended,
        }

    def load(self, event: BackendLoad) -> None:
        """The work that reaches a backend changes."""
        knowing = event.knowing >= KNOWING_SHARE
        if event.cold and event.multiple > self.limits.fall_multiple and knowing:
            since, _ = self.over.get(event.backend, (event.at, event))
            self.over[event.backend] = since, event
        else:
            self.over.pop(event.backend, None)
        self._refresh(event.backend, event.at)

    def started(self, event: CoordinatorStarted) -> None:
        """A coordinator has a second from its first answer on, as long as no other runs."""
        self.answered[event.coordinator] = event.at
        self.any_answered = True
        self._refresh_all(event.at)

    def ended(self, event: CoordinatorEnded) -> None:
        """Where no coordinator runs, nobody is held to the rule."""
        self.answered.pop(event.coordinator, None)
        self._refresh_all(event.at)

    def _refresh_all(self, now: int) -> None:
        for backend in self.over:
            self._refresh(backend, now)

    def _refresh(self, backend: str, now: int) -> None:
        subject, nobody_runs = f"backend {backend}", self.any_answered and not self.answered
        if backend not in self.over or nobody_runs:
            return self.deadlines.stop("cold_overload", subject)
        since, load = self.over[backend]
        first = min(self.answered.values(), default=None)
        began = since if first is None else max(since, first + self.limits.from_start)
        allowed = self.limits.fall_time + self.limits.slack
        text = (
            f"The cold backend {backend} gets over {self.limits.fall_multiple:g} times what it can do"
            f" ({load.multiple:.2f} of late) for over {_seconds(allowed)} from {_seconds(began)} on."
        )
        at = max(began + allowed, now)
        violation = Violation(rule="cold_overload", at=at, subject=subject, text=text)
        self.deadlines.start(began, began + allowed, violation)


class _Effects:
    """The rule on effects: `double_effect`."""

    def __init__(self, violations: list[Violation]):
        self.violations = violations
        self.executed: dict[int, str] = {}  # request -> the backend that carried it out first
        self.handlers = {RequestExecuted: self.request_executed}

    def request_executed(self, event: RequestExecuted) -> None:
        """A backend has carried out a try."""
        if event.effect != "single_shot":
            return
        if event.request not in self.executed:
            self.executed[event.request] = event.backend
            return
        text = (
            f"Request {event.request} was carried out by {event.backend} after"
            f" {self.executed[event.request]} had done so, and its effect must happen once."
        )
        subject = f"request {event.request}"
        self.violations.append(Violation(rule="double_effect", at=event.at, subject=subject, text=text))


class _ChannelUse:
    """The limits of each coordinator's channel: `channel`."""

    def __init__(self, limits: Limits, violations: list[Violation]):
        self.limits, self.violations = limits, violations
        self.full: set[str] = set()  # coordinators with more lines waiting than may be
        self.written: dict[tuple[str, int], deque[int]] = {}  # (coordinator, proxy) -> times in the span, ns
        self.crowded: set[tuple[str, int]] = set()  # those with more messages in the span than may be
        self.ended: set[tuple[str, int]] = set()  # whose streams the coordinator itself has ended
        self.handlers = {
            ChannelWaiting: self.waiting,
            MessageWritten: self.message_written,
            ProxyJoined: self.joined,
            ProxyLeft: self.left,
        }

    def _tell(self, at: int, subject: str, text: str) -> None:
        self.violations.append(Violation(rule="channel", at=at, subject=subject, text=text))

    def waiting(self, event: ChannelWaiting) -> None:
        """Told once for each time that too many lines wait."""
        if event.lines <= self.limits.backlog_limit:
            self.full.discard(event.coordinator)
        elif event.coordinator not in self.full:
            self.full.add(event.coordinator)
            text = f"{event.lines:g} lines wait in its channel, over {self.limits.backlog_limit:g}."
            self._tell(event.at, f"coordinator {event.coordinator}", text)

    def joined(self, event: ProxyJoined) -> None:
        """Messages are counted from a proxy's joining, unless the coordinator had ended its stream."""
        key = event.coordinator, event.proxy
        if key in self.ended:
            self.ended.discard(key)
        else:
            self.written.pop(key, None)
            self.crowded.discard(key)

    def left(self, event: ProxyLeft) -> None:
        """Keeps who was sent away by the coordinator."""
        key = event.coordinator, event.proxy
        if event.by_coordinator:
            self.ended.add(key)
        else:
            self.ended.discard(key)

    def message_written(self, event: MessageWritten) -> None:
        """One whole message: its parts, the bytes of its largest part, and how many came before it."""
        subject = f"coordinator {event.coordinator}, proxy {event.proxy}"
        if event.parts > self.limits.parts_limit:
            text = f"A message has {event.parts} parts, over {self.limits.parts_limit}."
            self._tell(event.at, subject, text)
        if event.largest_part > self.limits.part_bytes:
            text = f"A part has {event.largest_part} bytes, over {self.limits.part_bytes}."
            self._tell(event.at, subject, text)
        if self.limits.messages_limit:
            self._count(event, subject)

    def _count(self, event: MessageWritten, subject: str) -> None:
        key = event.coordinator, event.proxy
        times = self.written.setdefault(key, deque())
        times.append(event.at)
        while times[0] <= event.at - self.limits.messages_span:
            times.popleft()
        if len(times) <= self.limits.messages_limit:
            self.crowded.discard(key)
        elif key not in self.crowded:
            self.crowded.add(key)
            span = _seconds(self.limits.messages_span)
            text = f"It was written {len(times)} messages in {span}, over {self.limits.messages_limit}."
            self._tell(event.at, subject, text)


class _Judge:
    """All rules over one trace, event by event."""

    def __init__(self, limits: Limits):
        self.violations: list[Violation] = []
        self.deadlines = _Deadlines(self.violations)
        self.now: int | None = None  # ns of the latest event
        self.handlers: dict[type, list[Callable[[AnyEvent], None]]] = {}
        rules = (
            _Tables(limits, self.deadlines),
            _ColdBackends(limits, self.deadlines),
            _Effects(self.violations),
            _ChannelUse(limits, self.violations),
        )
        for rule in rules:
            for kind, handler in rule.handlers.items():
                self.handlers.setdefault(kind, []).append(handler)

    def see(self, index: int, event: AnyEvent) -> None:
        """Lets time pass up to the event, then takes it; raises EventOrderError, UnknownEventError."""
        handlers = self.handlers.get(type(event))
        if handlers is None:
            raise UnknownEventError(f"event {index} is a {type(event).__name__}")
        if self.now is not None and event.at < self.now:
            raise EventOrderError(index, event.at, self.now)
        self.now = event.at
        self.deadlines.advance(event.at)
        for handle in handlers:
            handle(event)

    def end(self) -> list[Violation]:
        """All violations in order of time."""
        if self.now is not None:
            self.deadlines.advance(self.now)
        return sorted(self.violations, key=lambda violation: violation.at)
