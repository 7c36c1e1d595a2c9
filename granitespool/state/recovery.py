"""A coordinator's record from its start on, without a disk, a thread or a loop; no I/O.

The calls, in order:

1. `Recovery(options, identity)`.
2. `load(stored, record, reason, clocks)`, once: what the folder held, as far as it could be read.
3. `choose_list(known)`: the endpoint list to start from.
4. `restore(coordinator, now, clocks)`, after that list was reported.
5. `collect_changes(coordinator, addresses, list_index, now, names, is_last)`, again and again.
"""

from collections.abc import Mapping
from typing import Any, Protocol

from granitespool.coordinator import Coordinator
from granitespool.planner.events import Restored
from granitespool.state import record as records
from granitespool.state import restore_policy
from granitespool.state.change_filter import ChangeFilter
from granitespool.state.record import Changes, Clocks, Record, Values
from granitespool.state.restore_policy import Identity, Policy, RestoreContext
from granitespool.state.store import StoredState
from granitespool.units import SECOND

NO_RECORD_REASON = "the folder holds no record"  # a first start: no log line is worth it


class AgeOptions(Protocol):
    """How long what was learnt counts, as the operator's settings name it."""

    @property
    def half_life_s(self) -> float:
        """Age in s at which a sum counts for half."""

    @property
    def oldest_s(self) -> float:
        """Age in s past which nothing counts."""


class Recovery:
    """Restores a record at a start, and finds afterwards which changes are worth a write.

    `rejection` says why nothing is restored, or is None.
    """

    def __init__(self, options: AgeOptions, identity: Identity) -> None:
        self.identity = identity
        self.rejection: str | None = NO_RECORD_REASON
        self.written_at: Clocks | None = None  # when the record was last written
        self.uses_stored_list = False  # whether the coordinator started from the record's list
        self.change_filter = ChangeFilter(0)
        self._record: Record | None = None
        self.set_options(options)

    def set_options(self, options: AgeOptions) -> None:
        """Take new ages for what is restored, and written, from now on."""
        half_life = int(options.half_life_s * SECOND)
        self.policy = Policy(half_life, max_age=int(options.oldest_s * SECOND))
        self.change_filter.set_half_life(half_life)

    def load(
        self, stored: StoredState | None, record: Record | None, reason: str | None, clocks: Clocks
    ) -> dict[bytes, bytes]:
        """Take what a folder held, `reason` where it could not be read; return what is to be written again.

        That is nothing where the record is rejected. Otherwise it stays, with its age, until something newer
        takes its place.
        """
        self.rejection = reason
        if reason is None and (stored is None or record is None):
            self.rejection = NO_RECORD_REASON
        if self.rejection or stored is None or record is None:
            return {}
        self.written_at = stored.clocks
        self.rejection = restore_policy.rejection_reason(
            stored.header, self.written_at, clocks, self.identity, self.policy.max_age
        )
        if self.rejection:
            return {}
        self._record = record
        self.change_filter.written = records.record_values(record)
        return records.encode_values(self.change_filter.written)

    def choose_endpoint_list(self, known: dict[str, Any]) -> dict[str, Any]:
        """Return the record's endpoint list where it is newer than the one that is known, else that one."""
        newer = None
        if self._record is not None:
            index = known.get("index")
            newer = restore_policy.newer_list(self._record, index if isinstance(index, int) else 0)
        self.uses_stored_list = newer is not None
        return newer or known

    def restore(self, coordinator: Coordinator, now: int, clocks: Clocks) -> restore_policy.Restored | None:
        """Have the coordinator restore what the policy keeps.

        Returns None where there is nothing to restore, see `rejection`.
        """
        record = self._record
        self._record = None  # it is not needed any more
        if record is None or self.written_at is None:
            return None
        situation = RestoreContext(
            written_at=self.written_at,
            now=clocks,
            endpoints=coordinator.endpoint_states(),
            zones=frozenset(self.identity.zones),
            uses_stored_list=self.uses_stored_list,
        )
        restored = restore_policy.restore(record, situation, self.policy)
        coordinator.report(now, Restored(restored.fleet, restored.backends))
        return restored

    def collect_changes(
        self,
        coordinator: Coordinator,
        addresses: Mapping[str, tuple[str, int] | None],
        list_index: int,
        now: int,
        names: list[str],
        is_last: bool,
    ) -> Changes:
        """Return what is worth a write about these backends, encoded by key.

        With the last of them it is also about the fleet, and about backends that are known no more.
        """
        snapshot = coordinator.snapshot(names)
        values: Values = {}
        if is_last:
            values[None] = {records.FLEET_KEY: records.fleet_record(snapshot.fleet, list_index, now)}
        for name, backend in snapshot.backends.items():
            values[name] = records.backend_values(name, backend, addresses.get(name), now)
        changes: Changes = {
            key: None if value is None else records.encode_value(value)
            for key, value in self.change_filter.select(values).items()
        }
        if is_last:
            changes.update(dict.fromkeys(self.change_filter.remove_absent(coordinator.endpoint_states())))
        return changes
