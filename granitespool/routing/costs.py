"""Costs as last worked out, of links and of kinds of backends in a zone; in ns.

The planner works out the cost of a link that heard enough. Here it is mixed with the mean of its kind in its
zone, which stands for some answers; a link that heard too little has that mean alone, so only what was heard
is kept.
"""

from collections import defaultdict
from typing import NamedTuple

from granitespool.routing.records import Backend, Link

UNKNOWN = 0.0  # a link's own cost until the next look at costs, where it began after the last one


class HeardLink(NamedTuple):
    """A link that heard enough for a cost of its own, and that cost (ns)."""

    backend: Backend
    link: Link
    cost: float


class Costs:
    """Costs as of the last look at them; what began after it has none until the next."""

    def __init__(self) -> None:
        self.average: dict[str, float | None] = {}  # zone -> of its links with a cost of their own
        self._kinds: dict[str, dict] = {}  # zone -> {kind: mean cost of its links with a cost of their own}
        self._own: list[Link] = []  # links with a cost of their own until the next look
        self._new: list[Backend] = []  # records whose links began after the last look

    @property
    def known(self) -> bool:
        """Whether any cost is known: until then what has just begun is like all others."""
        return any(average is not None for average in self.average.values())

    def began(self, backend: Backend) -> None:
        """A backend's links begin anew."""
        backend.links.clear()
        backend.costed = False
        self._new.append(backend)

    def replaced(self, link: Link) -> None:
        """A link that takes the place of another has no cost until the next look."""
        self.own(link, UNKNOWN)

    def look(self) -> None:
        """A look at costs begins: no link has one of its own any more."""
        for link in self._own:
            link.cost = None
        for backend in self._new:
            backend.costed = True
        self._own, self._new = [], []

    def own(self, link: Link, cost: float) -> None:
        """A link has a cost of its own until the next look."""
        link.cost = cost
        self._own.append(link)

    def share(self, zone: str, heard: list[HeardLink], prior: float) -> bool:
        """Works out a zone's means, and the costs of those heard; whether any mean moved.

        `heard` is in the records' order, so that sums come out the same; `prior`: answers that the mean of a
        link's kind stands for in its cost. Kinds' means are of ready backends that are not cut.
        """
        by_kind = defaultdict(list)
        for backend, link, cost in heard:
            if backend.phase == "ready" and link.cut_at is None:
                by_kind[backend.kind].append(cost)
        costs = sum(by_kind.values(), [])
        average = sum(costs) / len(costs) if costs else None
        kinds = {kind: sum(like) / len(like) for kind, like in by_kind.items()}
        for backend, link, cost in heard:
            if backend.kind in kinds:
                cost = cost * link.answered + kinds[backend.kind] * prior
                cost /= link.answered + prior
            self.own(link, cost)
        moved = (average, kinds) != (self.average.get(zone), self._kinds.get(zone))
        self.average[zone], self._kinds[zone] = average, kinds
        return moved

    def of(self, backend: Backend, zone: str) -> float | None:
        """What a try costs: by the link itself, else by its kind in its zone; None where nothing tells."""
        link = backend.links.get(zone)
        if link is not None and link.cost is not None:
            return link.cost or None
        return self._kinds.get(zone, {}).get(backend.kind) if backend.costed else None

    def keep(self, backend: Backend, links: list[tuple[str, Link]]) -> None:
        """Until the next look these links of a backend keep their costs, whatever kind it is of by then."""
        for link, cost in [(link, self.of(backend, zone)) for zone, link in links]:
            self.own(link, cost or UNKNOWN)
