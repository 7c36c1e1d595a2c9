"""Selection of the values of a record that are restored at a start; no I/O.

    name, classes or zones of the record differ       nothing is restored, and the reason is logged
    a clock went backward                             the age is unknown; nothing is restored
    the record is older than the maximum age          nothing is restored
    the record is younger                             sums are multiplied by 0.5 ** (age / half_life)
    backend not ready in the newest endpoint list     the backend is skipped
    backend restarted since the record                the backend is skipped
    ejections, consecutive failures, overload         restored if the confidence is at least MIN_CONFIDENCE

Observations after the start take precedence over restored values; the planner ensures that.
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

MIN_CONFIDENCE = 0.5  # below it, flags (ejection, overload) are too uncertain to be restored
CLOCK_SLACK = 1 * SECOND  # ns by which the clocks may differ, since only one of them is slewed
MAX_SUM = 1e18  # maximum of a restored sum, equal to the limit of numbers on the wire
ROUNDING_SLACK = 1.001  # factor by which failures or successes may exceed attempts because of rounding


class Identity(NamedTuple):
    """Identity of a coordinator; it only restores records that were written under the same identity."""

    name: str
    class_names: list[str | None]
    zones: list[str]


class Policy(NamedTuple):
    """Limits on the age of restored values."""

    half_life: int  # ns
    max_age: int  # ns


class RestoreContext(NamedTuple):
    """State of the coordinator at the time when it restores a record."""

    written_at: Clocks  # when the record was last written
    now: Clocks
    endpoints: Mapping[str, EndpointState]  # newest endpoint list, by backend
    zones: Set[str]
    uses_stored_list: bool  # whether that endpoint list comes from the record


class Restored(NamedTuple):
    """Values to restore, and the number of skipped backends by reason."""

    fleet: FleetSnapshot
    backends: dict[str, BackendSnapshot]
    skipped: dict[str, int]  # number of backends by reason
    link_count: int
    ejected_count: int


def record_age(written: Clocks, now: Clocks) -> int | None:
    """Return the age of a record in ns, or None if a clock went backward since it was written.

    The age is the difference of the wall clock. After a reboot the monotonic clock has started again, so
    that its difference is always less than the age.
    """
    wall = now.wall - written.wall
    monotonic = now.monotonic - written.monotonic
    if wall < 0 or monotonic > wall + CLOCK_SLACK:
        return None
    return wall


def rejection_reason(
    header: Header, written: Clocks, now: Clocks, identity: Identity, max_age: int
) -> str | None:
    """Return why a record must not be restored, in one sentence; None if it may be restored."""
    reason = _mismatch(header, identity)
    if reason:
        return reason
    age = record_age(written, now)
    if age is None:
        return "the clock went backward since it was written, so its age is unknown"
    if age > max_age:
        return f"it is {age / SECOND:.0f} s old, more than the maximum age of {max_age / SECOND:.0f} s"
    return None


def _mismatch(header: Header, identity: Identity) -> str | None:
    if header.name != identity.name:
        return f"it was written by {header.name!r:.60}, but this coordinator is {identity.name!r:.60}"
    if header.class_names != identity.class_names:
        return _difference("classes", header.class_names, identity.class_names)
    if header.zones != identity.zones:
        return _difference("zones", header.zones, identity.zones)
    return None


def _difference(kind: str, written: Sequence[str | None], configured: Sequence[str | None]) -> str:
    written_names = ", ".join(map(str, written))[:100]
    configured_names = ", ".join(map(str, configured))[:100]
    return f"it was written for the {kind} {written_names}, but the settings contain {configured_names}"


def newer_list(record: Record, index: int) -> dict[str, Any] | None:
    """Return the endpoint list of a record in discovery's format if it is newer than version `index`."""
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


def restore(record: Record, context: RestoreContext, policy: Policy) -> Restored:
    """Return the values to restore from a record that has no `rejection_reason`."""
    return _Restoration(context, policy).run(record)


class _Restoration:
    """Selects the values of one record according to a policy."""

    def __init__(self, context: RestoreContext, policy: Policy) -> None:
        self.context = context
        self.policy = policy
        self.now = context.now.wall

    def run(self, record: Record) -> Restored:
        backends: dict[str, BackendSnapshot] = {}
        skipped: Counter[str] = Counter()
        for name, stored in record.backends.items():
            reason = self._reason_to_skip(name, stored.facts)
            if reason:
                skipped[reason] += 1
            else:
                backends[name] = self._restored_backend(stored)
        links = [link for backend in backends.values() for link in backend.links.values()]
        ejected = sum(link.ejected_at is not None for link in links)
        return Restored(self._restored_fleet(record.fleet), backends, dict(skipped), len(links), ejected)

    def _confidence(self, taken_at: int) -> float:
        age = self.now - min(taken_at, self.context.written_at.wall)
        if age > self.policy.max_age:
            return 0.0
        return float(0.5 ** (age / self.policy.half_life))

    def _reason_to_skip(self, name: str, facts: BackendRecord) -> str | None:
        listed = self.context.endpoints.get(name)
        if listed is None or listed.phase != Phase.READY:
            return "not ready now"
        if facts.phase != Phase.READY:
            return "not ready then"
        if listed.started_at > facts.started_at:
            return "started again since"
        if not self._confidence(facts.taken_at):
            return "too old"
        return None

    def _restored_backend(self, stored: StoredBackend) -> BackendSnapshot:
        links = {}
        for zone, link in stored.links.items():
            if zone in self.context.zones and is_plausible(link):
                confidence = self._confidence(link.taken_at)
                if confidence:
                    links[zone] = self._restored_link(link, confidence)
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
            removal_unconfirmed=facts.removal_unconfirmed and self.context.uses_stored_list,
            links=links,
        )

    def _not_after_now(self, time: int | None) -> int | None:
        return None if time is None else min(time, self.now)

    def _restored_link(self, link: LinkRecord, confidence: float) -> LinkSnapshot:
        is_confident = confidence >= MIN_CONFIDENCE
        minimum_rtt = None
        if link.minimum_rtt is not None:
            minimum_rtt = MinimumRtt(min(link.minimum_rtt.observed_at, self.now), link.minimum_rtt.mean)
        return LinkSnapshot(
            attempts=link.attempts * confidence,
            failures=link.failures * confidence,
            successes=link.successes * confidence,
            response_time=link.response_time * confidence,
            minimum_rtt=minimum_rtt,
            overloaded_reports=link.overloaded_reports if is_confident else 0,
            consecutive_failures=link.consecutive_failures if is_confident else 0,
            ejected_at=self._not_after_now(link.ejected_at) if is_confident else None,
            slow_start_since=self._not_after_now(link.slow_start_since),
        )

    def _restored_fleet(self, fleet: FleetRecord | None) -> FleetSnapshot:
        unknown = FleetSnapshot(is_overloaded=False, admitted_share=1.0, success_ratio=1.0, demand={})
        if fleet is None or not (_is_share(fleet.admitted_share) and _is_share(fleet.success_ratio)):
            return unknown
        confidence = self._confidence(fleet.taken_at)
        if not confidence:
            return unknown
        is_confident = confidence >= MIN_CONFIDENCE
        return FleetSnapshot(
            is_overloaded=fleet.is_overloaded and is_confident,
            admitted_share=1 - (1 - fleet.admitted_share) * confidence if is_confident else 1.0,
            success_ratio=1 - (1 - fleet.success_ratio) * confidence,
            demand={name: amount for name, amount in fleet.demand.items() if 0 <= amount <= MAX_SUM},
        )


def _is_share(value: float) -> bool:
    return isfinite(value) and 0 <= value <= 1


def _is_sum(value: float) -> bool:
    return isfinite(value) and 0 <= value <= MAX_SUM


def is_plausible(link: LinkRecord) -> bool:
    """Return whether the sums of a link are within their limits and consistent with each other."""
    sums = (link.attempts, link.failures, link.successes, link.response_time)
    if not all(map(_is_sum, sums)):
        return False
    if not (_is_sum(link.consecutive_failures) and _is_sum(link.overloaded_reports)):
        return False
    if max(link.failures, link.successes) > link.attempts * ROUNDING_SLACK:
        return False
    if link.successes and not link.response_time:  # a mean of 0, by which the planner would divide
        return False
    return link.minimum_rtt is None or (_is_sum(link.minimum_rtt.mean) and link.minimum_rtt.mean > 0)
