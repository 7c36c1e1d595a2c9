"""What a coordinator remembers at a start and in between, without a disk, a thread or a loop; no I/O.

The calls, in order:

1. `Memory(options, identity)`.
2. `opened(found, kept, why, clocks)`, once: what the folder held, as far as it could be read.
3. `first_list(known)`: the list to start from.
4. `recall(coordinator, now, clocks)`, after that list was reported: the belief.
5. `changes(coordinator, addresses, index, now, names, last)`, again and again.
"""

from granitespool.state import record, restore_policy
from granitespool.state.change_filter import Ledger

SECOND = 1_000_000_000  # ns
NONE = "the folder holds no record"  # a first start: no line is worth it


class Memory:
    """`options`: half_life_s and oldest_s; `identity`: whose memory it is."""

    def __init__(self, options, identity):
        self.identity, self.why, self.kept, self.then, self.own_list = identity, NONE, None, None, False
        self.ledger = Ledger(0)
        self.new_options(options)

    def new_options(self, options):
        self.half_life, self.oldest = int(options.half_life_s * SECOND), int(options.oldest_s * SECOND)
        self.ledger.set_half_life(self.half_life)

    def opened(self, found, kept, why, clocks):
        """Takes what a folder held; returns what of it is to be written again, {key: bytes}. That is nothing
        where the record is not believed; else it stays, with its age, until something newer takes its
        place."""
        self.why = why or (NONE if kept is None else None)
        if self.why:
            return {}
        self.then = restore_policy.Clocks(*found.clocks)
        self.why = restore_policy.doubt(found.header, self.then, clocks, self.identity, self.oldest)
        if self.why:
            return {}
        self.kept, self.ledger.written = kept, record.values_of(kept)
        return {
            key: record.value_bytes(value)
            for values in self.ledger.written.values()
            for key, value in values.items()
        }

    def first_list(self, known):
        """The list to start from: the record's, where it is believed and newer, else the one that was
        told."""
        index = known.get("index")
        newer = self.kept and restore_policy.newer_list(self.kept, index if isinstance(index, int) else 0)
        self.own_list = newer is not None
        return newer or known

    def recall(self, coordinator, now, clocks):
        """Has the coordinator recall what is believed, and returns the Belief; None where nothing is, see
        `why`."""
        kept, self.kept = self.kept, None  # it is not needed any more
        if kept is None:
            return None
        belief = restore_policy.believed(
            kept,
            self.then,
            clocks,
            coordinator.listed(),
            frozenset(self.identity.zones),
            self.own_list,
            self.half_life,
            self.oldest,
        )
        coordinator.report(now, "recalled", fleet=belief.fleet, backends=belief.backends)
        return belief

    def changes(self, coordinator, addresses, index, now, names, last):
        """{key: bytes, or None where it goes} of what is worth writing about these backends; with the `last`
        of them also about the fleet, and about who is gone."""
        fleet, backends = coordinator.learnt(names)
        values = record.values(fleet if last else None, backends, addresses, index, now)
        changes = {
            key: None if value is None else record.value_bytes(value)
            for key, value in self.ledger.due(values).items()
        }
        if last:
            changes.update(dict.fromkeys(self.ledger.gone(coordinator.listed())))
        return changes
