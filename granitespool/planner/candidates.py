"""Candidate updates: entries whose target weight differs from the one published, ranked by their gain."""

from collections import defaultdict
from typing import NamedTuple

from granitespool.planner.dirty_set import DirtySet, TableEntry
from granitespool.planner.fleet import Fleet
from granitespool.planner.records import READY, Backend
from granitespool.planner.slow_start import SlowStart
from granitespool.planner.tables import TableDirectory
from granitespool.planner.weights import EntryWeights

MIN_CHANGE_SHARE = 0.1  # relative change of a weight that is worth publishing


def needs_update(target: float, published: float) -> bool:
    """Return whether a weight differs enough from the published one to be sent."""
    if target == published:
        return False
    return not published or abs(target - published) > MIN_CHANGE_SHARE * published


class Candidate(NamedTuple):
    """An entry whose target weight differs from the published one, and its priority."""

    backend: Backend
    table: int
    weight: float
    is_mandatory: bool  # a drain, a removal, or a first entry of a table
    is_ordinary: bool  # only a cost has changed
    rank: float  # minus the weight that it moves; 0 if mandatory
    due_since: int  # ns; when it became mandatory; 0 if it is not

    @property
    def adds_entry(self) -> bool:
        """Whether it adds a backend to the table."""
        return bool(self.weight) and not self.backend.published.get(self.table)


class CandidateSelection:
    """Finds the candidate updates of a publication pass."""

    def __init__(
        self,
        fleet: Fleet,
        dirty: DirtySet,
        tables: TableDirectory,
        weights: EntryWeights,
        slow_start: SlowStart,
    ) -> None:
        self._fleet = fleet
        self._dirty = dirty
        self._tables = tables
        self._weights = weights
        self._slow_start = slow_start

    def select(self, now: int, only: Backend | None) -> list[Candidate]:
        """Return all candidates, or those of one backend, by priority.

        Mandatory updates come first, oldest first; then tables by how much weight moves in them, so that the
        updates of a table share a message.
        """
        entries = self._entries(now, only)
        self._weights.update_fallback()
        candidates = []
        for entry in entries:
            weight = self._weights.target_weight(now, entry.backend, entry.zone) if entry.is_member else 0.0
            if weight == entry.backend.published.get(entry.table, 0.0):
                continue
            candidate = self._candidate(now, entry, weight, is_single=only is not None)
            if candidate is not None:
                candidates.append(candidate)
        gains: defaultdict[int, float] = defaultdict(int)
        for candidate in candidates:
            gains[candidate.table] += candidate.rank
        candidates.sort(key=lambda candidate: _priority(candidate, gains[candidate.table]))
        return candidates

    def _entries(self, now: int, only: Backend | None) -> list[TableEntry]:
        if only is not None:
            return self._dirty.entries_of(only)
        return self._dirty.entries(
            self._fleet.backends.values(),
            lambda backend, zone: self._weights.target_weight(now, backend, zone),
            needs_update,
        )

    def _candidate(self, now: int, entry: TableEntry, weight: float, is_single: bool) -> Candidate | None:
        """Return the candidate for an entry with a new target weight, or None if it is not worth sending."""
        backend, zone, table, _ = entry
        published = backend.published.get(table, 0.0)
        if backend.phase != READY or not self._tables.entry_counts[table]:
            return Candidate(backend, table, weight, True, False, 0, backend.left_ready_at)
        change = abs(weight - published)
        is_urgent = self._is_urgent(now, backend, zone, weight, published)
        if not is_urgent and (is_single or change <= MIN_CHANGE_SHARE * published):
            return None
        if not weight and self._tables.entry_counts[table] <= 1:
            return None  # keep the last entry: an empty table is worse
        # A new entry ranks by what it will carry in the end: its configured weight
        rank = -(change if published else backend.configured_weight)
        return Candidate(backend, table, weight, False, not is_urgent, rank, 0)

    def _is_urgent(self, now: int, backend: Backend, zone: str, weight: float, published: float) -> bool:
        """Return whether it adds or removes a backend, or lowers the weight of an ejected or cold one."""
        if not weight or not published:
            return True
        if weight >= published * (1 - MIN_CHANGE_SHARE):
            return False
        link = backend.links.get(zone)
        is_ejected = link is not None and link.is_ejected
        return is_ejected or not self._slow_start.is_warm(now, backend)


def _priority(candidate: Candidate, gain: float) -> tuple[bool, float, float, int, str, int]:
    if candidate.is_mandatory:
        return (False, 0, candidate.due_since, candidate.table, candidate.backend.name, candidate.table)
    return (True, gain, candidate.rank, 0, candidate.backend.name, candidate.table)
