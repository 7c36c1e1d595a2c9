"""Restores a coordinator from its record and collects later changes; without I/O, threads or event loop.

Methods are called in this order:

1. `Recovery(options, identity)`.
2. `load(stored, record, reason, clocks)`, once, with the contents of the folder or the reason for their lack.
3. `choose_endpoint_list(configured)`, which returns the endpoint list to start from.
4. `restore(coordinator, now, clocks)`, after that list was reported to the coordinator.
5. `collect_changes(coordinator, addresses, list_index, now, names, is_last)`, repeatedly.
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

NO_RECORD_REASON = "the folder contains no record"  # not logged, since it is normal at a first start


class AgeOptions(Protocol):
    """Limits on the age of restored values, named as in the operator's settings."""

    @property
    def half_life_s(self) -> float:
        """Age in s at which a restored sum counts half."""

    @property
    def oldest_s(self) -> float:
        """Maximum age in s of restored values."""


class Recovery:
    """Restores a record at the start of a coordinator, and collects the changes to write afterwards.

    `rejection` is the reason why nothing is restored; None if the record is restored.
    """

    def __init__(self, options: AgeOptions, identity: Identity) -> None:
        self.identity = identity
        self.rejection: str | None = NO_RECORD_REASON
        self.written_at: Clocks | None = None  # when the record was last written
        self.uses_stored_list = False  # whether the coordinator started from the endpoint list of the record
        self.change_filter = ChangeFilter(0)
        self._record: Record | None = None
        self.set_options(options)

    def set_options(self, options: AgeOptions) -> None:
        """Set the age limits; they apply to all values that are restored or written afterwards."""
        half_life = int(options.half_life_s * SECOND)
        self.policy = Policy(half_life, max_age=int(options.oldest_s * SECOND))
        self.change_filter.set_half_life(half_life)

    def load(
        self, stored: StoredState | None, record: Record | None, reason: str | None, clocks: Clocks
    ) -> dict[bytes, bytes]:
        """Load the contents of a folder; `reason` says why they could not be read, if so.

        Returns the encoded values of the record, which the caller writes again. They keep their age until
        newer values replace them. If the record is rejected, no values are returned.
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

    def choose_endpoint_list(self, configured: dict[str, Any]) -> dict[str, Any]:
        """Return the endpoint list of the record if it is newer than `configured`, otherwise `configured`."""
        newer = None
        if self._record is not None:
            index = configured.get("index")
            newer = restore_policy.newer_list(self._record, index if isinstance(index, int) else 0)
        self.uses_stored_list = newer is not None
        return newer or configured

    def restore(self, coordinator: Coordinator, now: int, clocks: Clocks) -> restore_policy.Restored | None:
        """Restore the values that the policy selects from the record, and return them.

        Returns None if there is no record to restore; `rejection` contains the reason.
        """
        record = self._record
        self._record = None  # release its memory
        if record is None or self.written_at is None:
            return None
        context = RestoreContext(
            written_at=self.written_at,
            now=clocks,
            endpoints=coordinator.endpoint_states(),
            zones=frozenset(self.identity.zones),
            uses_stored_list=self.uses_stored_list,
        )
        restored = restore_policy.restore(record, context, self.policy)
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
        """Return the encoded changes of the backends in `names`, by key.

        With the last group of backends (`is_last`), the changes of the fleet are added, and the keys of
        backends that are no longer listed are removed.
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
