"""Records of backends and their links: state only, no decisions and no I/O.

A link holds what the proxies of one zone observed at one backend. It is created when something is first
observed or decided there, so that a fleet of thousands of backends costs nothing where no traffic is sent.
"""

from collections import deque
from enum import Enum
from operator import attrgetter
from typing import NamedTuple

from granitespool.endpoints import Label, Phase

# On the hot path a module's own name is cheaper to read than an enum's member
READY = Phase.READY
GONE = Phase.GONE

# Periods whose decay is multiplied one by one, so that sums are equal to the last digit however often they
# are read. After more periods less than 1 % of a sum is left.
EXACT_PERIODS_MAX = 64


class Exclusion(Enum):
    """Whether a backend is excluded for proxies without a table of this coordinator."""

    NEVER = ("never", False)  # no proxy was sent an exclusion
    READMITTED = ("readmitted", False)
    EXCLUDED = ("excluded", True)
    PARTIAL = ("partial", True)  # excluded, but not for proxies that joined since

    def __init__(self, label: str, is_active: bool) -> None:
        self.label = label
        self.is_active = is_active  # some proxies may have the backend excluded


class UnassignedProxy(NamedTuple):
    """A joined proxy that is on no table of this coordinator yet."""

    foreign_entries_max: int  # upper bound of its entries from other tables
    since: int  # start of its wait for a table, ns


class MinimumRtt(NamedTuple):
    """A mean round trip, the lowest since it was observed."""

    observed_at: int  # ns
    mean: float  # ns


class Link:
    """Observations of one zone's proxies at a backend, and their outlier state; times in ns."""

    __slots__ = (
        "attempts",  # recent, as all sums: they decay each period
        "consecutive_failures",
        "cost",  # its own; None: use the mean of its machine type in the zone
        "decayed_to",  # number of the period up to which the sums are decayed
        "ejected_at",
        "failures",
        "last_resort",  # ejected past the cap on ejections: keeps a small weight
        "minimum_rtts",  # candidates for the minimum of the window, the lowest first
        "overloaded_reports",  # consecutive reports
        "response_time",  # sum over all successes
        "restored",  # the sums come from the snapshot of a former process
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
        self.consecutive_failures: float = 0  # load reports may contain fractions of attempts
        self.slow_start_since: int | None = None
        self.cost: float | None = None
        self.restored = False

    @property
    def is_ejected(self) -> bool:
        """Whether the link is out of the tables, or in them as a last resort only."""
        return self.ejected_at is not None

    def observe(self, attempts: float, failures: float, successes: float, response_time: float) -> None:
        """Add observed attempts; `response_time` is the sum over all successes, ns."""
        self.attempts += attempts
        self.failures += failures
        self.successes += successes
        self.response_time += response_time

    def observe_rtt(self, now: int, mean: float, window: int) -> None:
        """Update the minimum round trip over the last `window` ns with a mean (ns)."""
        while self.minimum_rtts and self.minimum_rtts[-1].mean >= mean:
            self.minimum_rtts.pop()
        self.minimum_rtts.append(MinimumRtt(now, mean))
        while self.minimum_rtts[0].observed_at < now - window:
            self.minimum_rtts.popleft()

    def decay(self, factor: float) -> None:
        """Multiply the sums by a factor."""
        self.attempts *= factor
        self.failures *= factor
        self.successes *= factor
        self.response_time *= factor

    def decay_to(self, period: int, factor: float) -> None:
        """Multiply the sums by the factor once for each period since the last decay."""
        missed = period - self.decayed_to
        self.decayed_to = period
        if missed > EXACT_PERIODS_MAX:
            self.decay(factor**missed)
            return
        for _ in range(missed):
            self.decay(factor)


class Backend:
    """The record of a backend; times in ns."""

    __slots__ = (
        "configured_weight",  # from the endpoint list
        "costs_evaluated",  # costs were evaluated since its links were reset
        "exclusion",
        "health_checked_at",
        "left_ready_at",  # when the endpoint list last changed its phase from ready
        "links",  # zone -> Link, for zones with an observation or a decision
        "machine_type",
        "name",
        "phase",
        "published",  # table -> weight last sent
        "recent_attempts",  # over all zones in about the last second, as the next three
        "recent_failures",
        "recent_response_time",
        "recent_successes",
        "removal_unconfirmed",  # only the endpoint list removed it
        "sequence",  # creation sequence: position in the planner's fleet, oldest first
        "settled",  # zone -> its group of settled entries
        "slow_start_since",
        "started_at",
        "subset",  # None if the fleet is not split
        "subset_key",  # subset, zone and machine type that the subset counts it under
        "verified",  # a health check or an attempt has succeeded
        "watched_zones",  # zones whose link has its own cost, is ejected or in slow start
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
        """Whether any table has an entry of the backend."""
        return any(self.published.values())

    @property
    def ejected_links(self) -> list[tuple[str, Link]]:
        """The ejected links, as pairs of zone and link."""
        return [(zone, link) for zone, link in self.links.items() if link.ejected_at is not None]

    def link(self, zone: str, period: int) -> Link:
        """Return the link of a zone; create it in the current `period` if there is none."""
        if zone not in self.links:
            self.links[zone] = Link(period)
        return self.links[zone]

    def link_as_of(self, zone: str, period: int, factor: float) -> Link:
        """Return the link of a zone with its sums decayed up to this period.

        A zone without a link gets an empty one, which is not kept.
        """
        link = self.links.get(zone) or Link(period)
        link.decay_to(period, factor)
        return link

    def observe(self, attempts: float, failures: float, successes: float, response_time: float) -> None:
        """Add observed attempts; `response_time` is the sum over all successes, ns."""
        self.recent_attempts += attempts
        self.recent_failures += failures
        self.recent_successes += successes
        self.recent_response_time += response_time

    def decay(self, factor: float) -> None:
        """Multiply the recent sums by a factor."""
        self.recent_attempts *= factor
        self.recent_failures *= factor
        self.recent_successes *= factor
        self.recent_response_time *= factor


BY_SEQUENCE = attrgetter("sequence")  # sort key of Backend: oldest first
BackendSet = dict[Backend, None]  # an ordered set, so that runs are repeatable
