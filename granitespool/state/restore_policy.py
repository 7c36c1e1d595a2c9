"""What of a record is restored at a start; no I/O.

    a record of another name, other classes or zones    nothing, and one sentence that says so
    a clock that went backward                          its age is unknown: nothing
    older than the maximum age                          nothing
    younger                                             sums count by 0.5 ** (age / half_life)
    a backend that the newest list calls anything but ready, or started again since   nothing of it
    ejections, failures in a row, an overload           while the confidence in them is MIN_CONFIDENCE

What is observed after the start takes precedence over all of it; the planner sees to that, and to its rules.
"""

from collections import Counter
from collections.abc import Mapping, Sequence, Set
from math import isfinite
from typing import Any, NamedTuple

from granitespool.coordinator_status import EndpointState
from granitespool.endpoints import Phase
from granitespool.planner.records import MinimumRtt
from granitespool.planner.status import BackendSnapshot, FleetSnapshot, LinkSnapshot
from granitespool.state.record import (
    BackendRecord,
    Clocks,
    FleetRecord,
    Header,
    LinkRecord,
    Record,
    StoredBackend,
)
from granitespool.units import MILLISECOND, SECOND

MIN_CONFIDENCE = 0.5  # under which a yes or no (an ejection, an overload) is a guess and left out
CLOCK_SLACK = 1 * SECOND  # ns by which two clocks may differ: one is slewed, the other not
MAX_SUM = 1e18  # no sum is larger: the bound of a number on the wire
FAILURES_SLACK = 1.001  # factor by which rounding may let a part exceed its whole


class Identity(NamedTuple):
    """Whose record it is; one of another identity is not restored."""

    name: str
    class_names: list[str | None]
    zones: list[str]


class Policy(NamedTuple):
    """How long what was learnt counts."""

    half_life: int  # ns
    max_age: int  # ns


class RestoreContext(NamedTuple):
    """What a start knows when it restores a record."""

    written_at: Clocks  # when the record was last written
    now: Clocks
    endpoints: Mapping[str, EndpointState]  # of the newest list, by backend
    zones: Set[str]
    uses_stored_list: bool  # whether that list is the record's own


class Restored(NamedTuple):
    """What is to be restored, and what was left out."""

    fleet: FleetSnapshot
    backends: dict[str, BackendSnapshot]
    skipped: dict[str, int]  # reason -> backends
    link_count: int
    ejected_count: int


def record_age(written: Clocks, now: Clocks) -> int | None:
    """Return the ns that have passed, or None where a clock went backward in between.

    A machine that was started anew has a monotonic clock that tells nothing; it then always tells less than
    the wall clock does, which is the age.
    """
    wall = now.wall - written.wall
    monotonic = now.monotonic - written.monotonic
    if wall < 0 or monotonic > wall + CLOCK_SLACK:
        return None
    return wall


def rejection_reason(
    header: Header, written: Clocks, now: Clocks, identity: Identity, max_age: int
) -> str | None:
    """Return one sentence why nothing of a record is restored, or None."""
    reason = _mismatch(header, identity)
    if reason:
        return reason
    age = record_age(written, now)
    if age is None:
        return "the clock went backward since it was written, so its age is unknown"
    if age > max_age:
        return f"it is {age / SECOND:.0f} s old, and past {max_age / SECOND:.0f} s it counts for nothing"
    return None


def _mismatch(header: Header, identity: Identity) -> str | None:
    if header.name != identity.name:
        return f"it was written by {header.name!r:.60}, and this is {identity.name!r:.60}"
    if header.class_names != identity.class_names:
        return _difference("classes", header.class_names, identity.class_names)
    if header.zones != identity.zones:
        return _difference("zones", header.zones, identity.zones)
    return None


def _difference(what: str, written: Sequence[str | None], here: Sequence[str | None]) -> str:
    then = ", ".join(map(str, written))[:100]
    now = ", ".join(map(str, here))[:100]
    return f"it was written for the {what} {then}, and now they are {now}"


def newer_list(record: Record, index: int) -> dict[str, Any] | None:
    """Return the record's list in discovery's form where it is newer than version `index`, or None."""
    if record.fleet is None or record.fleet.list_index <= index:
        return None
    return {
        "index": record.fleet.list_index,
        "snapshot": True,
        "endpoints": [_list_entry(name, backend.facts) for name, backend in record.backends.items()],
    }


def _list_entry(name: str, facts: BackendRecord) -> dict[str, Any]:
    return {
        "name": name,
        "address": facts.address,
        "zone": facts.zone,
        "type": facts.machine_type,
        "status": facts.phase,
        "weight": facts.configured_weight,
        "since_ms": facts.started_at // MILLISECOND,
    }


def restore(record: Record, situation: RestoreContext, policy: Policy) -> Restored:
    """Return what of a record is restored that no `rejection_reason` stands against."""
    return _Restoration(situation, policy).run(record)


class _Restoration:
    """One application of a policy to a record."""

    def __init__(self, situation: RestoreContext, policy: Policy) -> None:
        self.situation = situation
        self.policy = policy
        self.now = situation.now.wall

    def run(self, record: Record) -> Restored:
        backends: dict[str, BackendSnapshot] = {}
        left_out: Counter[str] = Counter()
        for name, stored in record.backends.items():
            reason = self._reason_to_leave_out(name, stored.facts)
            if reason:
                left_out[reason] += 1
            else:
                backends[name] = self._backend(stored)
        links = [link for backend in backends.values() for link in backend.links.values()]
        ejected = sum(link.ejected_at is not None for link in links)
        return Restored(self._fleet(record.fleet), backends, dict(left_out), len(links), ejected)

    def _confidence(self, taken_at: int) -> float:
        age = self.now - min(taken_at, self.situation.written_at.wall)
        if age > self.policy.max_age:
            return 0.0
        return float(0.5 ** (age / self.policy.half_life))

    def _reason_to_leave_out(self, name: str, facts: BackendRecord) -> str | None:
        listed = self.situation.endpoints.get(name)
        if listed is None or listed.phase != Phase.READY:
            return "not ready now"
        if facts.phase != Phase.READY:
            return "not ready then"
        if listed.started_at > facts.started_at:
            return "started again since"
        if not self._confidence(facts.taken_at):
            return "too old"
        return None

    def _backend(self, stored: StoredBackend) -> BackendSnapshot:
        links = {}
        for zone, link in stored.links.items():
            if zone in self.situation.zones and is_plausible(link):
                confidence = self._confidence(link.taken_at)
                if confidence:
                    links[zone] = self._link(link, confidence)
        facts = stored.facts
        return BackendSnapshot(
            phase=Phase(facts.phase),
            zone=facts.zone,
            machine_type=facts.machine_type,
            configured_weight=facts.configured_weight,
            started_at=facts.started_at,
            left_ready_at=facts.left_ready_at or 0,
            slow_start_since=self._not_after_now(facts.slow_start_since),
            verified=facts.verified,
            removal_unconfirmed=facts.removal_unconfirmed and self.situation.uses_stored_list,
            links=links,
        )

    def _not_after_now(self, time: int | None) -> int | None:
        return None if time is None else min(time, self.now)

    def _link(self, link: LinkRecord, confidence: float) -> LinkSnapshot:
        is_likely = confidence >= MIN_CONFIDENCE
        minimum_rtt = None
        if link.minimum_rtt is not None:
            minimum_rtt = MinimumRtt(min(link.minimum_rtt.observed_at, self.now), link.minimum_rtt.mean)
        return LinkSnapshot(
            attempts=link.attempts * confidence,
            failures=link.failures * confidence,
            successes=link.successes * confidence,
            response_time=link.response_time * confidence,
            minimum_rtt=minimum_rtt,
            overloaded_reports=link.overloaded_reports if is_likely else 0,
            consecutive_failures=link.consecutive_failures if is_likely else 0,
            ejected_at=self._not_after_now(link.ejected_at) if is_likely else None,
            slow_start_since=self._not_after_now(link.slow_start_since),
        )

    def _fleet(self, fleet: FleetRecord | None) -> FleetSnapshot:
        nothing = FleetSnapshot(is_overloaded=False, admitted_share=1.0, success_ratio=1.0, demand={})
        if fleet is None or not (_is_share(fleet.admitted_share) and _is_share(fleet.success_ratio)):
            return nothing
        confidence = self._confidence(fleet.taken_at)
        if not confidence:
            return nothing
        is_likely = confidence >= MIN_CONFIDENCE
        return FleetSnapshot(
            is_overloaded=fleet.is_overloaded and is_likely,
            admitted_share=1 - (1 - fleet.admitted_share) * confidence if is_likely else 1.0,
            success_ratio=1 - (1 - fleet.success_ratio) * confidence,
            demand={name: amount for name, amount in fleet.demand.items() if 0 <= amount <= MAX_SUM},
        )


def _is_share(value: float) -> bool:
    return isfinite(value) and 0 <= value <= 1


def _is_sum(value: float) -> bool:
    return isfinite(value) and 0 <= value <= MAX_SUM


def is_plausible(link: LinkRecord) -> bool:
    """Whether these can be sums of what was observed."""
    sums = (link.attempts, link.failures, link.successes, link.response_time)
    if not all(map(_is_sum, sums)):
        return False
    if not (_is_sum(link.consecutive_failures) and _is_sum(link.overloaded_reports)):
        return False
    if max(link.failures, link.successes) > link.attempts * FAILURES_SLACK:
        return False
    if link.successes and not link.response_time:  # the planner divides by the mean
        return False
    return link.minimum_rtt is None or (_is_sum(link.minimum_rtt.mean) and link.minimum_rtt.mean > 0)
