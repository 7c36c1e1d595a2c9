"""Selection of the changes that have to be written to the state folder; no I/O.

Every load report changes the record of a link. If each change were written, a thousand backends would cost
most of a megabyte per second. Only changes that affect what the next start restores are written:

- a value that is neither a sum nor a mean, such as a phase, has changed;
- a mean has changed by more than a tenth, or a sum by more than half;
- the stored value is so old that its age alone would lower its confidence.
"""

from collections.abc import Container

from granitespool.state.record import BackendRecord, FleetRecord, LinkRecord, Value, Values

MEAN_STEP = 0.1  # relative change of a mean that is written; weights are sent again at the same threshold
AMOUNT_STEP = 0.5  # relative change of a sum or demand that is written; sums only weight the means
SHARE_STEP = 0.02  # absolute change of a share that is written: failures per attempt or admitted share
# Age at which a value is written again, as a share of the half-life. A third of its confidence is lost then.
REFRESH_SHARE = 0.5
OVERLOADED_REPORTS_MAX = 2  # consecutive reports that eject a backend; more have no further effect
BACKEND_FACTS = (
    "phase",
    "zone",
    "machine_type",
    "configured_weight",
    "started_at",
    "left_ready_at",
    "slow_start_since",
    "verified",
    "removal_unconfirmed",
    "address",
)


class ChangeFilter:
    """Compares values with those last written; `written` contains the latter by backend and key.

    The key None stands for the fleet.
    """

    def __init__(self, half_life: int) -> None:
        self.written: Values = {}
        self.set_half_life(half_life)

    def set_half_life(self, half_life: int) -> None:
        """Set the half-life in ns; it also applies to values that are already written."""
        self.refresh_after = int(half_life * REFRESH_SHARE)

    def select(self, values: Values) -> dict[bytes, Value | None]:
        """Return the changes to write by key and record them as written; a removed key has the value None.

        `values` may lack backends, but contains all keys of the backends that it has.
        """
        selected: dict[bytes, Value | None] = {}
        for name, group in values.items():
            written = self.written.setdefault(name, {})
            for key in [key for key in written if key not in group]:
                del written[key]
                selected[key] = None
            for key, value in group.items():
                if self._is_due(written.get(key), value):
                    written[key] = value
                    selected[key] = value
        return selected

    def _is_due(self, old: Value | None, new: Value) -> bool:
        return old is None or new.taken_at - old.taken_at >= self.refresh_after or has_changed(old, new)

    def remove_absent(self, names: Container[str]) -> list[bytes]:
        """Return the written keys of the backends that are not in `names`, and remove them from `written`."""
        absent = [name for name in self.written if name is not None and name not in names]
        return [key for name in absent for key in self.written.pop(name)]


def has_changed(old: Value, new: Value) -> bool:
    """Return whether a start would restore `new` differently from `old`, the written value of the key."""
    if isinstance(old, FleetRecord) and isinstance(new, FleetRecord):
        return _fleet_changed(old, new)
    if isinstance(old, LinkRecord) and isinstance(new, LinkRecord):
        return _link_changed(old, new)
    return _backend_changed(old, new)


def _backend_changed(old: Value, new: Value) -> bool:
    assert isinstance(old, BackendRecord)
    assert isinstance(new, BackendRecord)
    return any(getattr(old, fact) != getattr(new, fact) for fact in BACKEND_FACTS)


def _moved_by(old: float, new: float, share: float) -> bool:
    return abs(new - old) > share * max(abs(old), abs(new))


def _fleet_changed(old: FleetRecord, new: FleetRecord) -> bool:
    if old.is_overloaded != new.is_overloaded or old.list_index != new.list_index:
        return True
    if old.demand.keys() != new.demand.keys():
        return True
    if abs(old.admitted_share - new.admitted_share) > SHARE_STEP:
        return True
    if abs(old.success_ratio - new.success_ratio) > SHARE_STEP:
        return True
    if new.admitted_share >= 1:  # the demand is only used while load is shed
        return False
    return any(_moved_by(old.demand[name], amount, AMOUNT_STEP) for name, amount in new.demand.items())


def _link_changed(old: LinkRecord, new: LinkRecord) -> bool:
    if _flags_changed(old, new):
        return True
    if (
        old.minimum_rtt
        and new.minimum_rtt
        and _moved_by(old.minimum_rtt.mean, new.minimum_rtt.mean, MEAN_STEP)
    ):
        return True
    if _moved_by(old.successes, new.successes, AMOUNT_STEP) or _moved_by(
        old.attempts, new.attempts, AMOUNT_STEP
    ):
        return True
    if not (new.successes and new.attempts and old.successes and old.attempts):
        return False
    if _moved_by(old.response_time / old.successes, new.response_time / new.successes, MEAN_STEP):
        return True
    return abs(old.failures / old.attempts - new.failures / new.attempts) > SHARE_STEP


def _flags_changed(old: LinkRecord, new: LinkRecord) -> bool:
    if old.ejected_at != new.ejected_at or old.slow_start_since != new.slow_start_since:
        return True
    if (old.minimum_rtt is None) != (new.minimum_rtt is None):
        return True
    if _capped(old.overloaded_reports) != _capped(new.overloaded_reports):
        return True
    # The number of consecutive failures is soon out of date, so only the change from or to 0 is written.
    return bool(old.consecutive_failures) != bool(new.consecutive_failures)


def _capped(reports: int) -> int:
    return min(reports, OVERLOADED_REPORTS_MAX)
