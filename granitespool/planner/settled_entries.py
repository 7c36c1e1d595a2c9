"""Settled table entries: their weight follows from means that they share with others, so nobody walks them.

Most links of a large fleet observe too little to have a cost of their own. The weight of such an entry
follows from the means of its zone and machine type and from the configured weight alone. Entries that share
these, and the weights last published, form one group, which is judged once for all its members, and only
after one of the means has moved or a member has come. A group that may have to move hands out its members,
and the planner decides on each of them as on any other: a group too many costs time, and a group is never
left out by mistake, since the test here is the planner's own.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from granitespool.endpoints import Label
from granitespool.planner.records import Backend, BackendSet

Weights = tuple[float, ...]
WeightOf = Callable[[Backend, str], float]  # (backend, zone) -> the weight wanted
HasMoved = Callable[[float, float], bool]  # (weight wanted, weight published) -> is that far enough


class SharedInputs(NamedTuple):
    """What the weight of a settled entry follows from."""

    zone: str
    machine_type: Label
    configured_weight: float


class SettledEntries:
    """Groups of settled entries, by what their weight follows from and by the weights last published."""

    def __init__(self) -> None:
        self._groups: dict[SharedInputs, dict[Weights, BackendSet]] = {}
        self._by_zone: dict[str, dict[SharedInputs, None]] = {}
        self._invalid: dict[SharedInputs, None] = {}  # those to be judged next

    def settle(self, backend: Backend, zone: str, weights: Weights) -> None:
        """Settle a backend's entries in a zone, with these weights as last published."""
        inputs = SharedInputs(zone, backend.machine_type, backend.configured_weight)
        members = self._groups.setdefault(inputs, {}).setdefault(weights, {})
        members[backend] = None
        backend.settled[zone] = members
        self._by_zone.setdefault(zone, {})[inputs] = None
        self._invalid[inputs] = None

    @staticmethod
    def remove(backend: Backend, zone: str) -> None:
        """Take a backend's entries in a zone out, if they were settled."""
        members = backend.settled.pop(zone, None)
        if members is not None:
            del members[backend]

    def remove_all(self, backend: Backend) -> None:
        """Take all entries of a backend out."""
        for zone in list(backend.settled):
            self.remove(backend, zone)

    def invalidate_zone(self, zone: str) -> None:
        """Have all groups of a zone judged anew."""
        self._invalid.update(self._by_zone.get(zone, {}))

    def moving(self, weight_of: WeightOf, has_moved: HasMoved) -> Iterator[tuple[Backend, str]]:
        """The members of groups that may have to move, as (backend, zone).

        Only groups with such members are judged again without a new cause.
        """
        invalid, self._invalid = self._invalid, {}
        for inputs in invalid:
            yield from self._moving_of(inputs, weight_of, has_moved)

    def _moving_of(
        self, inputs: SharedInputs, weight_of: WeightOf, has_moved: HasMoved
    ) -> Iterator[tuple[Backend, str]]:
        groups = self._groups[inputs]
        wanted = None
        for weights, members in list(groups.items()):
            if not members:
                del groups[weights]
                continue
            if wanted is None:
                wanted = weight_of(next(iter(members)), inputs.zone)
            if any(has_moved(wanted, published) for published in weights):
                self._invalid[inputs] = None
                yield from [(backend, inputs.zone) for backend in members]
        if not groups:
            del self._groups[inputs]
            del self._by_zone[inputs.zone][inputs]
