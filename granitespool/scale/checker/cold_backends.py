"""The rule on backends that warm up: `cold_overload`."""

from granitespool.scale.checker.deadlines import Deadlines
from granitespool.scale.checker.violation import Handlers, Violation, as_seconds
from granitespool.scale.trace import BackendLoad, CoordinatorEnded, CoordinatorStarted, Limits

INFORMED_SHARE = 2 / 3  # of a backend's work, what must come from proxies that could know of its start


class ColdBackendRule:
    """Starts and stops a time limit for each backend that gets more than it can do at its age."""

    def __init__(self, limits: Limits, deadlines: Deadlines) -> None:
        self.limits = limits
        self.deadlines = deadlines
        self.overloaded_since: dict[str, int] = {}  # ns, by backend
        self.latest: dict[str, BackendLoad] = {}  # of those overloaded
        self.answered: dict[str, int] = {}  # running coordinators' first answers, ns
        self.any_answered = False
        self.handlers: Handlers = {
            BackendLoad: self.load,
            CoordinatorStarted: self.started,
            CoordinatorEnded: self.ended,
        }

    def load(self, event: BackendLoad) -> None:
        """The work that reaches a backend changes."""
        if self._is_overload(event):
            self.overloaded_since.setdefault(event.backend, event.at)
            self.latest[event.backend] = event
        else:
            self.overloaded_since.pop(event.backend, None)
        self._refresh(event.backend, event.at)

    def _is_overload(self, event: BackendLoad) -> bool:
        informed = event.informed_share >= INFORMED_SHARE
        return event.warming_up and event.multiple > self.limits.overload_multiple and informed

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
        for backend in self.overloaded_since:
            self._refresh(backend, now)

    def _refresh(self, backend: str, now: int) -> None:
        subject = f"backend {backend}"
        none_running = self.any_answered and not self.answered
        if backend not in self.overloaded_since or none_running:
            self.deadlines.stop("cold_overload", subject)
            return
        began = self._began(self.overloaded_since[backend])
        allowed = self.limits.overload_time + self.limits.slack
        text = (
            f"The cold backend {backend} gets over {self.limits.overload_multiple:g} times what it can do"
            f" ({self.latest[backend].multiple:.2f} of late) for over {as_seconds(allowed)} from"
            f" {as_seconds(began)} on."
        )
        at = max(began + allowed, now)
        violation = Violation(rule="cold_overload", at=at, subject=subject, text=text)
        self.deadlines.start(began, began + allowed, violation)

    def _began(self, since: int) -> int:
        """When (ns) the time limit of an overload since then starts to run."""
        first_answer = min(self.answered.values(), default=None)
        return since if first_answer is None else max(since, first_answer + self.limits.start_grace)
