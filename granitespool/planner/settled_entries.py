"""Settled table entries: their weight follows from shared means, so they are not evaluated one by one.

Most links of a large fleet observe too little to have a cost of their own. The weight of such an entry
follows from the means of its zone and machine type and from its configured weight alone. Entries that share
these, and the weights last published, form a group, which is checked once for all its members, and only after
one of the means has changed or a member was added. The members of a group that may have changed are returned,
and the planner decides on each of them as on any other entry. A group returned in vain only costs time, and
none is missed, since the check is the planner's own.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from granitespool.endpoints import Label
from granitespool.planner.records import Backend, BackendSet

Weights = tuple[float, ...]
WeightOf = Callable[[Backend, str], float]  # (backend, zone) -> target weight
NeedsUpdate = Callable[
    [float, float], bool
]  # (target weight, published weight) -> whether to send the new one


class SharedInputs(NamedTuple):
    """The inputs that determine the weight of a settled entry."""

    zone: str
    machine_type: Label
    configured_weight: float


class SettledEntries:
    """Groups of settled entries, by the inputs of their weight and by the weights last published."""

    def __init__(self) -> None:
        self._groups: dict[SharedInputs, dict[Weights, BackendSet]] = {}
        self._by_zone: dict[str, dict[SharedInputs, None]] = {}
        self._invalid: dict[SharedInputs, None] = {}  # to be checked next

    def settle(self, backend: Backend, zone: str, weights: Weights) -> None:
        """Add a backend's entries in a zone; `weights` are those last published, by table."""
        inputs = SharedInputs(zone, backend.machine_type, backend.configured_weight)
        members = self._groups.setdefault(inputs, {}).setdefault(weights, {})
        members[backend] = None
        backend.settled[zone] = members
        self._by_zone.setdefault(zone, {})[inputs] = None
        self._invalid[inputs] = None

    @staticmethod
    def remove(backend: Backend, zone: str) -> None:
        """Remove a backend's entries in a zone, if they are settled."""
        members = backend.settled.pop(zone, None)
        if members is not None:
            del members[backend]

    def remove_all(self, backend: Backend) -> None:
        """Remove all entries of a backend."""
        for zone in list(backend.settled):
            self.remove(backend, zone)

    def invalidate_zone(self, zone: str) -> None:
        """Have all groups of a zone checked again."""
        self._invalid.update(self._by_zone.get(zone, {}))

    def outdated(self, weight_of: WeightOf, needs_update: NeedsUpdate) -> Iterator[tuple[Backend, str]]:
        """Yield the members of groups whose weight may have changed, as (backend, zone).

        A group that yields members stays invalid, and is checked again by the next call.
        """
        invalid, self._invalid = self._invalid, {}
        for inputs in invalid:
            yield from self._outdated_of(inputs, weight_of, needs_update)

    def _outdated_of(
        self, inputs: SharedInputs, weight_of: WeightOf, needs_update: NeedsUpdate
    ) -> Iterator[tuple[Backend, str]]:
        groups = self._groups[inputs]
        target = None
        for weights, members in list(groups.items()):
            if not members:
                del groups[weights]
                continue
            if target is None:
                target = weight_of(next(iter(members)), inputs.zone)
            if any(needs_update(target, published) for published in weights):
                self._invalid[inputs] = None
                yield from [(backend, inputs.zone) for backend in members]
        if not groups:
            del self._groups[inputs]
            del self._by_zone[inputs.zone][inputs]
