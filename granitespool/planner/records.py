"""The planner's records of a backend and of its links. State alone: no decision, no I/O.

A backend has one record. A link is what the proxies of one zone observed at one backend; it is made when
something is first observed or decided there, so that a fleet of thousands costs nothing where nobody sends.
"""

from collections import deque
from enum import Enum
from operator import attrgetter
from typing import NamedTuple

from granitespool.endpoints import Label, Phase

READY = Phase.READY  # a module's own name costs less than an enum's member on the hot path
GONE = Phase.GONE

EXACT_PERIODS_MAX = 64  # periods whose decay is multiplied out one by one, so that it is the same to the last
#                         digit however often it is looked at; of what is older under 1 % is left


class Exclusion(Enum):
    """Whether proxies without a table of ours are told not to use a backend."""

    NEVER = ("never", False)  # nobody was told anything yet
    READMITTED = ("readmitted", False)
    EXCLUDED = ("excluded", True)
    PARTIAL = ("partial", True)  # excluded, but some joined since and were not told

    def __init__(self, label: str, is_active: bool) -> None:
        self.label = label
        self.is_active = is_active  # some proxies may hold the backend excluded


class UnassignedProxy(NamedTuple):
    """A joined proxy that has no table of ours yet."""

    foreign_entries_max: int  # entries of others' tables that it holds, at most
    since: int  # ns


class MinimumRtt(NamedTuple):
    """A mean round trip that was the lowest since it was observed."""

    observed_at: int  # ns
    mean: float  # ns


class Link:
    """What the proxies of one zone observed at a backend, and its outlier state; times in ns."""

    __slots__ = (
        "attempts",  # sums over the recent past, decayed each period
        "consecutive_failures",
        "cost",  # its own; None: that of its machine type in its zone
        "decayed_to",  # the period up to which the sums are decayed
        "ejected_at",
        "failures",
        "last_resort",  # ejected past the cap: keeps a small weight
        "minimum_rtts",  # MinimumRtt of the window, the lowest first
        "overloaded_reports",  # consecutive
        "response_time",  # of all successes
        "restored",  # its sums are from a snapshot of a former process
        "slow_start_since",
        "successes",
    )

    def __init__(self, period: int = 0) -> None:
        self.attempts = 0.0
        self.failures = 0.0
        self.successes = 0.0
        self.response_time = 0.0
        self.decayed_to = period
        self.minimum_rtts: deque[MinimumRtt] = deque()
        self.ejected_at: int | None = None
        self.last_resort = False
        self.overloaded_reports = 0
        self.consecutive_failures: float = 0  # reports may hold parts of attempts
        self.slow_start_since: int | None = None
        self.cost: float | None = None
        self.restored = False

    @property
    def is_ejected(self) -> bool:
        """Whether it is out of the tables, or in them as a last resort alone."""
        return self.ejected_at is not None

    def observe(self, attempts: float, failures: float, successes: float, response_time: float) -> None:
        """Add what was observed; `response_time` in ns of all successes."""
        self.attempts += attempts
        self.failures += failures
        self.successes += successes
        self.response_time += response_time

    def observe_rtt(self, now: int, mean: float, window: int) -> None:
        """Keep the minimum of the means over the last `window` ns; the lowest stands at the front."""
        while self.minimum_rtts and self.minimum_rtts[-1].mean >= mean:
            self.minimum_rtts.pop()
        self.minimum_rtts.append(MinimumRtt(now, mean))
        while self.minimum_rtts[0].observed_at < now - window:
            self.minimum_rtts.popleft()

    def decay(self, factor: float) -> None:
        """Carry on this part of the sums."""
        self.attempts *= factor
        self.failures *= factor
        self.successes *= factor
        self.response_time *= factor

    def decay_to(self, period: int, factor: float) -> None:
        """Decay by this factor for each period since the last decay."""
        missed = period - self.decayed_to
        self.decayed_to = period
        if missed > EXACT_PERIODS_MAX:
            self.decay(factor**missed)
            return
        for _ in range(missed):
            self.decay(factor)


class Backend:
    """The one record of a backend."""

    __slots__ = (
        "configured_weight",  # the endpoint list's
        "costs_evaluated",  # costs were worked out since its links began
        "exclusion",
        "health_checked_at",
        "left_ready_at",  # when the list last told that it is not ready any more
        "links",  # zone -> Link, where anything was observed or decided
        "machine_type",
        "name",
        "phase",
        "published",  # table -> weight as sent
        "recent_attempts",  # sums over all zones of about the last second
        "recent_failures",
        "recent_response_time",
        "recent_successes",
        "removal_unconfirmed",  # the list alone dropped it
        "sequence",  # creation sequence: its position in the planner's fleet, oldest first
        "settled",  # zone -> the group of settled entries that it is in
        "slow_start_since",
        "started_at",
        "subset",  # where the fleet is split
        "subset_key",  # the subset, zone and machine type that it is counted for there
        "verified",  # a health check or an attempt has succeeded
        "watched_zones",  # zones whose link decides on its own
        "zone",
    )

    def __init__(self, name: str, now: int, sequence: int, health_checked_at: int) -> None:
        self.name = name
        self.sequence = sequence
        self.zone: Label = None
        self.machine_type: Label = None
        self.phase = GONE
        self.configured_weight = 1.0
        self.started_at = 0
        self.slow_start_since: int | None = None
        self.health_checked_at = health_checked_at
        self.links: dict[str, Link] = {}
        self.published: dict[int, float] = {}
        self.exclusion = Exclusion.NEVER
        self.subset: int | None = None
        self.subset_key: tuple[int, Label, Label] | None = None
        self.recent_attempts = 0.0
        self.recent_failures = 0.0
        self.recent_successes = 0.0
        self.recent_response_time = 0.0
        self.removal_unconfirmed = False
        self.verified = True
        self.left_ready_at = now
        self.costs_evaluated = False
        self.settled: dict[str, dict[Backend, None]] = {}
        self.watched_zones: dict[str, None] = {}

    @property
    def is_in_tables(self) -> bool:
        """Whether any table has an entry for it."""
        return any(self.published.values())

    @property
    def ejected_links(self) -> list[tuple[str, Link]]:
        """(zone, link) of its ejected links."""
        return [(zone, link) for zone, link in self.links.items() if link.ejected_at is not None]

    def link(self, zone: str, period: int) -> Link:
        """The link of a zone, made where there is none; `period`: the present one."""
        if zone not in self.links:
            self.links[zone] = Link(period)
        return self.links[zone]

    def link_as_of(self, zone: str, period: int, factor: float) -> Link:
        """A zone's link with its sums decayed up to this period, an empty one where there is none."""
        link = self.links.get(zone) or Link(period)
        link.decay_to(period, factor)
        return link

    def observe(self, attempts: float, failures: float, successes: float, response_time: float) -> None:
        """Add what was observed; `response_time` in ns of all successes."""
        self.recent_attempts += attempts
        self.recent_failures += failures
        self.recent_successes += successes
        self.recent_response_time += response_time

    def decay(self, factor: float) -> None:
        """Carry on this part of the recent sums."""
        self.recent_attempts *= factor
        self.recent_failures *= factor
        self.recent_successes *= factor
        self.recent_response_time *= factor


BY_SEQUENCE = attrgetter("sequence")  # a sort key of Backend: oldest first
BackendSet = dict[Backend, None]  # a set that keeps its order, so that runs repeat
