"""The rule `cold_overload`: the load of backends that warm up."""

from granitespool.scale.checker.deadlines import Deadlines
from granitespool.scale.checker.violation import Handlers, Violation, as_seconds
from granitespool.scale.trace import BackendLoad, CoordinatorEnded, CoordinatorStarted, Limits

# An overload is a violation only if at least this share of the load comes from proxies that received a
# weight for the backend after the backend's start.
INFORMED_SHARE = 2 / 3


class ColdBackendRule:
    """Runs a time limit for each backend that is warming up and receives more load than it can handle."""

    def __init__(self, limits: Limits, deadlines: Deadlines) -> None:
        self.limits = limits
        self.deadlines = deadlines
        self.overloaded_since: dict[str, int] = {}  # ns, by backend
        self.latest: dict[str, BackendLoad] = {}  # the last load of each overloaded backend
        self.answered: dict[str, int] = {}  # ns of the first answer of each running coordinator
        self.any_answered = False
        self.handlers: Handlers = {
            BackendLoad: self.load,
            CoordinatorStarted: self.started,
            CoordinatorEnded: self.ended,
        }

    def load(self, event: BackendLoad) -> None:
        """Handle a change of a backend's load."""
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
        """Handle a coordinator's start; if it is the only one, time limits begin after `start_grace`."""
        self.answered[event.coordinator] = event.at
        self.any_answered = True
        self._refresh_all(event.at)

    def ended(self, event: CoordinatorEnded) -> None:
        """Handle a coordinator's end; while no coordinator runs, no time limit runs."""
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
        """Return when (ns) the time limit of an overload that began at `since` starts to run."""
        first_answer = min(self.answered.values(), default=None)
        return since if first_answer is None else max(since, first_answer + self.limits.start_grace)
