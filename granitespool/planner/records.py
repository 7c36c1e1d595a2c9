"""Records of backends and their links. They hold state; they make no decisions and do no I/O.

A link holds what the proxies of one zone observed at one backend. It is created with the first observation or
decision about that backend in that zone. Thousands of backends without traffic therefore need no links.
"""

from collections import deque
from enum import Enum
from operator import attrgetter
from typing import NamedTuple

from granitespool.endpoints import Label, Phase

# These are read on the hot path, where a module variable is faster to read than an enum member
READY = Phase.READY
GONE = Phase.GONE

# Maximum number of missed periods whose decay is applied one period at a time. The sums are then equal to the
# last digit, no matter how often they are read. After more periods less than 1 % of a sum is left.
EXACT_PERIODS_MAX = 64


class Exclusion(Enum):
    """Whether a backend is excluded for proxies without a table of this coordinator."""

    NEVER = ("never", False)  # no exclusion was ever sent to a proxy
    READMITTED = ("readmitted", False)
    EXCLUDED = ("excluded", True)
    PARTIAL = ("partial", True)  # excluded, except for proxies that joined after the exclusion

    def __init__(self, label: str, is_active: bool) -> None:
        self.label = label
        self.is_active = is_active  # whether some proxies may have excluded the backend


class UnassignedProxy(NamedTuple):
    """A joined proxy that is on no table of this coordinator yet."""

    foreign_entries_max: int  # maximum number of entries that the proxy has from other tables
    since: int  # time at which the proxy began to wait for a table, ns


class MinimumRtt(NamedTuple):
    """A mean round trip; no lower mean was observed after it."""

    observed_at: int  # ns
    mean: float  # ns


class Link:
    """Observations of a backend by the proxies of one zone, and whether the backend is ejected there.

    Times are in ns. The attempts, failures, successes and response times are sums that decay each period.
    """

    __slots__ = (
        "attempts",
        "consecutive_failures",
        "cost",  # own cost of the link; if None, the mean of its zone and machine type is used
        "decayed_to",  # number of the period in which the sums were last decayed
        "ejected_at",
        "failures",
        "last_resort",  # ejected beyond the cap on ejections, so the link keeps a small weight
        "minimum_rtts",  # candidates for the minimum round trip of the window, lowest first
        "overloaded_reports",  # number of consecutive load reports that show an overloaded backend
        "response_time",  # sum of the response times of all successes
        "restored",  # whether the sums come from the snapshot of a former process
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
        self.consecutive_failures: float = 0  # a float, as load reports may contain fractions of attempts
        self.slow_start_since: int | None = None
        self.cost: float | None = None
        self.restored = False

    @property
    def is_ejected(self) -> bool:
        """Whether the link is ejected. A last resort counts as ejected, though it stays in the tables."""
        return self.ejected_at is not None

    def observe(self, attempts: float, failures: float, successes: float, response_time: float) -> None:
        """Add observed attempts. `response_time` is the sum of the response times of all successes (ns)."""
        self.attempts += attempts
        self.failures += failures
        self.successes += successes
        self.response_time += response_time

    def observe_rtt(self, now: int, mean: float, window: int) -> None:
        """Add a mean round trip (ns), and update the minimum over the last `window` (ns)."""
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
        """Multiply the sums by a factor, once for each period since the last decay."""
        missed = period - self.decayed_to
        self.decayed_to = period
        if missed > EXACT_PERIODS_MAX:
            self.decay(factor**missed)
            return
        for _ in range(missed):
            self.decay(factor)


class Backend:
    """The record of a backend. Times are in ns.

    The recent sums cover all zones and about the last second.
    """

    __slots__ = (
        "configured_weight",  # from the endpoint list
        "costs_evaluated",  # whether costs were evaluated after the last reset of the links
        "exclusion",
        "health_checked_at",
        "left_ready_at",  # time of the last change from ready to another phase in the endpoint list
        "links",  # zone -> Link; only zones with an observation or a decision
        "machine_type",
        "name",
        "phase",
        "published",  # table -> weight that was last sent
        "recent_attempts",
        "recent_failures",
        "recent_response_time",
        "recent_successes",
        "removal_unconfirmed",  # the endpoint list removed the backend, but no health check has confirmed it
        "sequence",  # creation number; backends are ordered by it, oldest first
        "settled",  # zone -> backends in the same group of settled entries (see `settled_entries`)
        "slow_start_since",
        "started_at",
        "subset",  # number of the subset; None if the fleet is not split into subsets
        "subset_key",  # (subset, zone, machine type) under which the backend is counted
        "verified",  # whether a health check or an attempt has succeeded
        "watched_zones",  # zones in which the link has its own cost, is ejected or is in slow start
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
        """Whether any table contains the backend."""
        return any(self.published.values())

    @property
    def ejected_links(self) -> list[tuple[str, Link]]:
        """The ejected links as pairs (zone, link)."""
        return [(zone, link) for zone, link in self.links.items() if link.ejected_at is not None]

    def link(self, zone: str, period: int) -> Link:
        """Return the link of a zone. A missing link is created, with `period` as the current period."""
        if zone not in self.links:
            self.links[zone] = Link(period)
        return self.links[zone]

    def link_as_of(self, zone: str, period: int, factor: float) -> Link:
        """Return the link of a zone after decaying its sums up to `period`.

        If the zone has no link, a new empty link is returned and not stored.
        """
        link = self.links.get(zone) or Link(period)
        link.decay_to(period, factor)
        return link

    def observe(self, attempts: float, failures: float, successes: float, response_time: float) -> None:
        """Add observed attempts. `response_time` is the sum of the response times of all successes (ns)."""
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
BackendSet = dict[Backend, None]  # a set that keeps insertion order, so that runs are repeatable
