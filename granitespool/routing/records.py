"""The planner's records of a backend and of its links. State alone: no decision, no I/O.

A backend has one record. A link is what the proxies of one zone met at one backend; it is made when something
is first met or decided there, so that a fleet of thousands costs nothing where nobody sends.
"""

from collections import deque

EXACT_PERIODS = (
    64  # periods whose fading is multiplied out one by one; of what is older under 1 % is left, and
)
#                     one power may differ from the product in the last digit


class Link:
    """What the proxies of one zone met at a backend, and what that makes of it; times in ns."""

    __slots__ = (
        "tries",  # sums over the recent past, faded by a part each period
        "failed",
        "answered",
        "time",
        "faded_to",  # the period up to which they are faded
        "lows",  # (time, mean) of the last minute, the lowest first
        "cut_at",
        "spare",  # cut only down to a last resort
        "over",  # reports running over
        "streak",  # tries running that failed
        "ramp_from",
        "cost",  # where it is its own: None stands for that of its kind in its zone
        "recalled",  # its sums are what a former life had met
    )

    def __init__(self, period: int = 0) -> None:
        self.tries = self.failed = self.answered = self.time = 0.0
        self.faded_to = period
        self.lows: deque[tuple[int, float]] = deque()
        self.cut_at: int | None = None
        self.spare = False
        self.over = self.streak = 0
        self.ramp_from: int | None = None
        self.cost: float | None = None
        self.recalled = False

    def meet(self, tries: float, failed: float, answered: float, time: float) -> None:
        """Add what was met; `time` in ns of all answered tries."""
        self.tries += tries
        self.failed += failed
        self.answered += answered
        self.time += time

    def keep_lowest(self, now: int, mean: float, span: int) -> None:
        """Keep this mean among the lowest of the last `span` ns; the lowest stands at the front."""
        while self.lows and self.lows[-1][1] >= mean:
            self.lows.pop()
        self.lows.append((now, mean))
        while self.lows[0][0] < now - span:
            self.lows.popleft()

    def recall(self, period: int, facts: dict, low: tuple[int, float] | None) -> None:
        """Take over what a former life had met, sums as of this period."""
        for name, value in facts.items():
            setattr(self, name, value)
        self.faded_to = period
        self.lows = deque([low] if low else ())
        self.recalled = self.tries > 0

    def fade(self, part: float) -> None:
        """Carry on this part of the sums."""
        self.tries *= part
        self.failed *= part
        self.answered *= part
        self.time *= part

    def fade_to(self, period: int, part: float) -> None:
        """Fade by this part for each period since the last fading."""
        missed = period - self.faded_to
        self.faded_to = period
        if missed > EXACT_PERIODS:
            self.fade(part**missed)
            return
        for _ in range(missed):
            self.fade(part)


class Backend:
    """The one record of a backend; `order` is its place in the planner's fleet, oldest first."""

    __slots__ = (
        "id",
        "order",
        "zone",
        "kind",
        "phase",
        "listed",  # the list's weight
        "started",
        "ramp_from",
        "probed_at",
        "links",  # zone -> Link, where anything was met or decided
        "sent",  # table -> weight as ordered; "out": is it shut out of what joiners hold
        "subset",  # where the fleet is split
        "counted",  # the subset, zone and kind that it is counted for there
        "tried",  # sums over all zones of about the last second
        "missed",
        "done",
        "spent",
        "missing",  # gone by the list alone
        "proven",  # it has answered
        "gone_at",
        "costed",  # costs were worked out since its links began
        "resting",  # zone -> the group of lines at rest that it is in
        "watched",  # zones whose link decides on its own
    )

    def __init__(self, backend: str, now: int, order: int, probed_at: int) -> None:
        self.id, self.order = backend, order
        self.zone = self.kind = None
        self.phase = "gone"
        self.listed = 1.0
        self.started = 0
        self.ramp_from: int | None = None
        self.probed_at = probed_at
        self.links: dict[str, Link] = {}
        self.sent: dict[int | str, float | bool | None] = {}
        self.subset: int | None = None
        self.counted: tuple | None = None
        self.tried = self.missed = self.done = self.spent = 0.0
        self.missing, self.proven, self.gone_at = False, True, now
        self.costed = False
        self.resting: dict[str, dict[Backend, None]] = {}
        self.watched: dict[str, None] = {}

    def link(self, zone: str, period: int) -> Link:
        """The link of a zone, made where there is none; `period`: the present one."""
        if zone not in self.links:
            self.links[zone] = Link(period)
        return self.links[zone]

    def link_as_of(self, zone: str, period: int, part: float) -> Link:
        """A zone's link with its sums faded up to this period, an empty one where there is none."""
        link = self.links.get(zone) or Link(period)
        link.fade_to(period, part)
        return link

    def meet(self, tries: float, failed: float, answered: float, time: float) -> None:
        """Add what was met; `time` in ns of all answered tries."""
        self.tried += tries
        self.missed += failed
        self.done += answered
        self.spent += time

    def fade(self, part: float) -> None:
        """Carry on this part of the sums."""
        self.tried *= part
        self.missed *= part
        self.done *= part
        self.spent *= part
