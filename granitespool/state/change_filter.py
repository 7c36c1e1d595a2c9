"""Which changes are worth a write now; no I/O.

Every link moves with every report. Written each time, the folder of a thousand backends would take most of a
megabyte a second. Worth a write is what would change a start: a fact that is not a sum, a mean that moved by
a tenth, an amount that moved by half, or a value so old that its age alone would cost it confidence.
"""

from collections.abc import Container

from granitespool.state.record import BackendRecord, FleetRecord, LinkRecord, Value, Values

MEAN_STEP = 0.1  # part that a mean must move by: the resend threshold of the weights
AMOUNT_STEP = 0.5  # part that an amount must move by: it only tells how sure a mean is
SHARE_STEP = 0.02  # step of a share that counts: failures among attempts, the admitted share
REFRESH_SHARE = 0.5  # of the half-life, after which a value is written again: a third of its confidence
OVERLOADED_REPORTS_MAX = 2  # reports in a row that eject a backend; how many more there are tells nothing
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
    """Compares values with what was last handed on to be written, by backend (None: the fleet) and key."""

    def __init__(self, half_life: int) -> None:
        self.written: Values = {}
        self.set_half_life(half_life)

    def set_half_life(self, half_life: int) -> None:
        """Set the half-life in ns, also for what was handed on before."""
        self.refresh_after = int(half_life * REFRESH_SHARE)

    def select(self, values: Values) -> dict[bytes, Value | None]:
        """Return what is worth a write, None for a key that is removed; all of it counts as written then.

        `values` has all keys of each backend that it names.
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
        """Return the keys of backends that were written and are none of `names`; they count as removed."""
        absent = [name for name in self.written if name is not None and name not in names]
        return [key for name in absent for key in self.written.pop(name)]


def has_changed(old: Value, new: Value) -> bool:
    """Whether the newer of two values of one key would change a start."""
    if isinstance(old, FleetRecord) and isinstance(new, FleetRecord):
        return _fleet_changed(old, new)
    if isinstance(old, LinkRecord) and isinstance(new, LinkRecord):
        return _link_changed(old, new)
    return _backend_changed(old, new)


def _backend_changed(old: Value, new: Value) -> bool:
    assert isinstance(old, BackendRecord)
    assert isinstance(new, BackendRecord)
    return any(getattr(old, fact) != getattr(new, fact) for fact in BACKEND_FACTS)


def _moved_by(old: float, new: float, part: float) -> bool:
    return abs(new - old) > part * max(abs(old), abs(new))


def _fleet_changed(old: FleetRecord, new: FleetRecord) -> bool:
    if old.is_overloaded != new.is_overloaded or old.list_index != new.list_index:
        return True
    if old.demand.keys() != new.demand.keys():
        return True
    if abs(old.admitted_share - new.admitted_share) > SHARE_STEP:
        return True
    if abs(old.success_ratio - new.success_ratio) > SHARE_STEP:
        return True
    if new.admitted_share >= 1:  # how much was demanded decides only while load is shed
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
    # That attempts fail in a row counts; how many of them is soon out of date
    return bool(old.consecutive_failures) != bool(new.consecutive_failures)


def _capped(reports: int) -> int:
    return min(reports, OVERLOADED_REPORTS_MAX)
