"""Lines at rest: those whose weight follows from means that they share with others, so nobody walks them.

Most links of a large fleet hear too little to have a cost of their own. The weight of such a line follows
from its zone's and its kind's means and from the list's weight alone. Lines that share these, and the weights
last sent, form one group, which is judged once for all its members, and only after one of the means has
moved or a member has come. A group that may have to move hands out its members, and the planner decides on
each of them as it always did: a group too many costs time, and a group is never left out by mistake, since
the test here is the planner's own.

Against: a walk of every backend, zone and table each second whatever has changed. It harms nothing but
memory: a reference a line.
"""

from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple

from granitespool.routing.records import Backend

Weights = tuple[float, ...]
Members = dict[Backend, None]


class Likeness(NamedTuple):
    """What the weight of a line at rest follows from."""

    zone: str
    kind: Hashable
    listed: float


class RestingLines:
    """Groups of lines at rest, by what their weight follows from and by the weights last sent."""

    def __init__(self) -> None:
        self._groups: dict[Likeness, dict[Weights, Members]] = {}
        self._by_zone: dict[str, dict[Likeness, None]] = {}
        self._pending: dict[Likeness, None] = {}  # those to be judged next

    def rest(self, backend: Backend, zone: str, weights: Weights) -> None:
        """Puts a backend's lines in a zone, with these weights as last sent, at rest."""
        likeness = Likeness(zone, backend.kind, backend.listed)
        members = self._groups.setdefault(likeness, {}).setdefault(weights, {})
        members[backend] = None
        backend.resting[zone] = members
        self._by_zone.setdefault(zone, {})[likeness] = None
        self._pending[likeness] = None

    @staticmethod
    def wake(backend: Backend, zone: str) -> None:
        """Takes a backend's lines in a zone out, if they were at rest."""
        members = backend.resting.pop(zone, None)
        if members is not None:
            del members[backend]

    def wake_all(self, backend: Backend) -> None:
        """Takes all lines of a backend out."""
        for zone in list(backend.resting):
            self.wake(backend, zone)

    def means_moved(self, zone: str) -> None:
        """Has all groups of a zone judged anew."""
        self._pending.update(self._by_zone.get(zone, {}))

    def unsettled(
        self, weight_of: Callable[[Backend, str], float], moves: Callable[[float, float], bool]
    ) -> Iterator[tuple[Backend, str]]:
        """The members of groups that may have to move, as (backend, zone).

        `weight_of` tells the weight wanted of a line, `moves` whether that is far enough from the one sent.
        Only groups with such members are judged again without a new cause.
        """
        pending, self._pending = self._pending, {}
        for likeness in pending:
            yield from self._unsettled_of(likeness, weight_of, moves)

    def _unsettled_of(
        self,
        likeness: Likeness,
        weight_of: Callable[[Backend, str], float],
        moves: Callable[[float, float], bool],
    ) -> Iterator[tuple[Backend, str]]:
        groups = self._groups[likeness]
        wanted = None
        for weights, members in list(groups.items()):
            if not members:
                del groups[weights]
                continue
            if wanted is None:
                wanted = weight_of(next(iter(members)), likeness.zone)
            if any(moves(wanted, sent) for sent in weights):
                self._pending[likeness] = None
                yield from [(backend, likeness.zone) for backend in members]
        if not groups:
            del self._groups[likeness]
            del self._by_zone[likeness.zone][likeness]
