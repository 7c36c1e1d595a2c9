"""The rules `no_backend` and `drain`: the tables of proxies."""

from granitespool.scale.checker.deadlines import Deadlines
from granitespool.scale.checker.endpoint_list import CoordinatorView
from granitespool.scale.checker.violation import Handlers, Violation, as_seconds
from granitespool.scale.trace import (
    BackendListed,
    CoordinatorEnded,
    CoordinatorStarted,
    Limits,
    ProxyJoined,
    ProxyLeft,
    TableHeld,
)


class _Proxy:
    """One proxy: its stream, and its table, which it keeps when the stream ends."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.coordinator: CoordinatorView | None = None
        self.coordinator_name = ""
        self.joined_at = 0  # ns
        self.ended_by: str | None = None  # the coordinator that closed its last stream
        self.usable: frozenset[str] = frozenset()  # backends that the proxy may use
        self.empty_since: int | None = 0  # ns; None: the proxy may use a backend
        self.drain_timed: set[str] = set()  # backends with a running time limit of the rule `drain`

    def set_table(self, event: TableHeld) -> None:
        """Set the table that the proxy uses from now on."""
        weighted_backends = (backend for backend, weight in event.weights.items() if weight > 0)
        self.usable = frozenset(weighted_backends) - event.excluded
        if self.usable:
            self.empty_since = None
        elif self.empty_since is None:
            self.empty_since = event.at

    def since(self, began: int, start_grace: int) -> int:
        """Return when (ns) a time limit on a state since `began` starts to run for this proxy."""
        assert self.coordinator is not None and self.coordinator.answered_at is not None  # noqa: PT018
        return max(began, self.joined_at, self.coordinator.answered_at + start_grace)


class TableRules:
    """Runs a time limit for each empty table and for each draining backend in a table."""

    def __init__(self, limits: Limits, deadlines: Deadlines) -> None:
        self.limits = limits
        self.deadlines = deadlines
        self.coordinators: dict[str, CoordinatorView] = {}
        self.proxies: dict[int, _Proxy] = {}
        self.handlers: Handlers = {
            BackendListed: self.backend_listed,
            CoordinatorStarted: self.started,
            CoordinatorEnded: self.ended,
            ProxyJoined: self.joined,
            ProxyLeft: self.left,
            TableHeld: self.table_held,
        }

    def _coordinator(self, name: str) -> CoordinatorView:
        if name not in self.coordinators:
            self.coordinators[name] = CoordinatorView(self.limits.only_draining_binds)
        return self.coordinators[name]

    def _proxy(self, number: int) -> _Proxy:
        if number not in self.proxies:
            self.proxies[number] = _Proxy(number)
        return self.proxies[number]

    def backend_listed(self, event: BackendListed) -> None:
        """Handle a change of a coordinator's endpoint list, which affects the tables of its proxies."""
        coordinator = self._coordinator(event.coordinator)
        coordinator.update(event)
        for number in coordinator.proxies:
            proxy = self.proxies[number]
            if proxy.empty_since is not None:
                self._refresh_empty(proxy, event.at)
            if event.backend in proxy.usable:
                self._refresh_drain(proxy, event.backend, event.at)

    def started(self, event: CoordinatorStarted) -> None:
        """Handle the first answer of a new process; time limits of its proxies begin no sooner."""
        coordinator = self._coordinator(event.coordinator)
        coordinator.answer(event.at)
        for number in coordinator.proxies:
            self._refresh(self.proxies[number], event.at)

    def ended(self, event: CoordinatorEnded) -> None:
        """Handle a coordinator's end: its proxies leave it.

        It may only be cut off, so its endpoint list is kept until a new process answers.
        """
        coordinator = self._coordinator(event.coordinator)
        coordinator.end()
        for number in list(coordinator.proxies):
            self._leave(self.proxies[number], event.at)

    def joined(self, event: ProxyJoined) -> None:
        """Handle a join; time limits start again, unless the same coordinator had closed the stream."""
        proxy = self._proxy(event.proxy)
        joined_again = proxy.ended_by == event.coordinator
        if proxy.coordinator is not None:
            self._leave(proxy, event.at)
        coordinator = self._coordinator(event.coordinator)
        coordinator.proxies[event.proxy] = None
        if coordinator.answered_at is None:
            coordinator.answered_at = event.at  # accepting a proxy counts as an answer
        proxy.coordinator = coordinator
        proxy.coordinator_name = event.coordinator
        if not joined_again:
            proxy.joined_at = event.at
        self._refresh(proxy, event.at)

    def left(self, event: ProxyLeft) -> None:
        """Handle the end of a stream; if its coordinator closed it, time limits run until the next join."""
        proxy = self.proxies.get(event.proxy)
        if proxy is None or proxy.coordinator is None or proxy.coordinator_name != event.coordinator:
            return  # the end of a former stream
        if event.by_coordinator:
            proxy.ended_by = event.coordinator
        else:
            self._leave(proxy, event.at)

    def _leave(self, proxy: _Proxy, now: int) -> None:
        if proxy.coordinator is not None:
            proxy.coordinator.proxies.pop(proxy.number, None)
        proxy.coordinator = None
        proxy.ended_by = None
        self._refresh(proxy, now)

    def table_held(self, event: TableHeld) -> None:
        """Handle a change of a proxy's table."""
        proxy = self._proxy(event.proxy)
        proxy.set_table(event)
        self._refresh(proxy, event.at)

    def _refresh(self, proxy: _Proxy, now: int) -> None:
        """Start, keep or stop this proxy's time limits by its state from `now` (ns) on."""
        self._refresh_empty(proxy, now)
        unready = proxy.coordinator.listed.unready.keys() & proxy.usable if proxy.coordinator else set()
        for backend in sorted(proxy.drain_timed | unready):
            self._refresh_drain(proxy, backend, now)

    def _refresh_empty(self, proxy: _Proxy, now: int) -> None:
        subject = f"proxy {proxy.number}"
        warm_at = None
        if proxy.coordinator is not None and proxy.empty_since is not None:
            warm_at = proxy.coordinator.listed.first_warm_at(self.limits.warm_up_time)
        if warm_at is None or proxy.empty_since is None:
            self.deadlines.stop("no_backend", subject)
            return
        began = proxy.since(proxy.empty_since, self.limits.start_grace)
        allowed = self.limits.empty_limit + self.limits.slack
        due = max(began + allowed, warm_at)
        text = (
            f"Proxy {proxy.number} of {proxy.coordinator_name} has no backend to pick for over"
            f" {as_seconds(allowed)} from {as_seconds(began)} on, while its coordinator's list shows a warm"
            " one."
        )
        violation = Violation(rule="no_backend", at=max(due, now), subject=subject, text=text)
        self.deadlines.start(began, due, violation)

    def _refresh_drain(self, proxy: _Proxy, backend: str, now: int) -> None:
        unready_since = None
        if proxy.coordinator is not None and backend in proxy.usable:
            unready_since = proxy.coordinator.listed.unready.get(backend)
        if unready_since is None:
            proxy.drain_timed.discard(backend)
            self.deadlines.stop("drain", _drain_subject(proxy, backend))
        else:
            proxy.drain_timed.add(backend)
            self._start_drain(proxy, backend, unready_since, now)

    def _start_drain(self, proxy: _Proxy, backend: str, unready_since: int, now: int) -> None:
        began = proxy.since(unready_since, self.limits.start_grace)
        allowed = self.limits.drain_grace + self.limits.slack
        due = began + allowed
        text = (
            f"Proxy {proxy.number} of {proxy.coordinator_name} holds {backend} open for over"
            f" {as_seconds(allowed)} from {as_seconds(began)} on; that it drains or is gone was told at"
            f" {as_seconds(unready_since)}."
        )
        subject = _drain_subject(proxy, backend)
        violation = Violation(rule="drain", at=max(due, now), subject=subject, text=text)
        self.deadlines.start(began, due, violation)


def _drain_subject(proxy: _Proxy, backend: str) -> str:
    return f"proxy {proxy.number}, backend {backend}"
