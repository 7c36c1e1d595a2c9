"""What the planner has to look at: the records and lines that something has changed, and no others.

It decides nothing. The planner says what changed, and asks for the lines that may have to move; a line that
is not among them is as it should be, since nothing has changed that its weight follows from:

- an unsettled record has all its lines looked at, until it is ready, has answered, is warm and in no table
  that is not to hold it;
- a watched line has a link that decides on its own: one with a cost of its own, cut, or on a ramp, which
  begins where a cut ends;
- all others are at rest (`granitespool.routing.resting`), and are looked at once the means that they share
  move.

Sets are dicts, for their order. Sums that the planner makes follow the records' order, so that they come out
the same to the last digit whatever was looked at.
"""

from collections import defaultdict
from collections.abc import Callable
from operator import attrgetter

from granitespool.routing.costs import HeardLink
from granitespool.routing.records import Backend, Link
from granitespool.routing.resting import RestingLines
from granitespool.routing.subsets import Subsets

BY_ORDER = attrgetter("order")  # of records, oldest first

Line = tuple[Backend, str, int, bool]  # record, zone, table, whether the table is to hold it
Records = dict[Backend, None]


class Worklist:
    """The records and lines to look at next."""

    def __init__(self, subsets: Subsets) -> None:
        self.changed: Records = {}  # phase, zone, kind or answering, since the last `take_changed`
        self.unsettled: Records = {}
        self.watching: Records = {}  # have watched lines
        self.absent: Records = {}  # not ready, or shut out of what joiners hold
        self.cut: Records = {}  # have a cut link, or had one
        self.recent: Records = {}  # were met in the last minutes
        self.heard: defaultdict[str, Records] = defaultdict(dict)  # zone -> enough for a cost of their own
        self._resting = RestingLines()
        self._subsets = subsets
        self._tables_known: dict[str, int] = {}  # zone -> how many tables its lines were looked at for

    def changes(self, backend: Backend) -> None:
        """A record's phase, zone, kind, weight, start or answering is another now."""
        self.changed[backend] = None
        self.unsettle(backend)

    def take_changed(self) -> list[Backend]:
        """The records that changed since the last call, in order."""
        changed, self.changed = sorted(self.changed, key=BY_ORDER), {}
        return changed

    def unsettle(self, backend: Backend) -> None:
        """Has each line of a record looked at until it is settled again."""
        self._resting.wake_all(backend)
        self.unsettled[backend] = None
        if backend.phase != "ready" or backend.sent.get("out", False) is not False:
            self.absent[backend] = None

    def watch(self, backend: Backend, zone: str) -> None:
        """Has the line of a record in a zone looked at until its link decides nothing on its own."""
        self._resting.wake(backend, zone)
        backend.watched[zone] = self.watching[backend] = None

    def hears(self, backend: Backend, zone: str) -> None:
        """A record's link in a zone has heard enough for a cost of its own."""
        if backend not in self.heard[zone]:
            self.heard[zone][backend] = None
            self.watch(backend, zone)

    def heard_costs(self, zone: str, cost_of: Callable[[Link], float | None]) -> list[HeardLink]:
        """The links of a zone that heard enough for a cost of their own, by their records' order.

        `cost_of` tells a link's cost (ns), None where it has too little left: it is dropped here.
        """
        heard = []
        for backend in sorted(self.heard[zone], key=BY_ORDER):
            link = backend.links.get(zone)
            cost = cost_of(link) if link else None
            if cost is None:
                del self.heard[zone][backend]
            else:
                heard.append(HeardLink(backend, link, cost))
        return heard

    def means_moved(self, zone: str) -> None:
        """The means of a zone, which its lines at rest follow from, are others now."""
        self._resting.means_moved(zone)

    def new_settings(self, backends: list[Backend]) -> None:
        """A ramp that was over may not be by new settings: whoever had one is looked at."""
        for backend in backends:
            if backend.ramp_from is not None:
                self.unsettle(backend)
            for zone, link in backend.links.items():
                if link.ramp_from is not None:
                    self.watch(backend, zone)

    def forget(self, backend: Backend) -> None:
        """Nothing is to be looked at of a record any more."""
        self._resting.wake_all(backend)
        kept = self.changed, self.unsettled, self.watching, self.absent, self.cut, self.recent
        for records in (*kept, *self.heard.values()):
            records.pop(backend, None)

    def in_turn(self) -> list[Backend]:
        """What each round looks at: records that have not answered, are absent or have cut links."""
        return sorted({**self.unsettled, **self.absent, **self.cut}, key=BY_ORDER)

    def lines(
        self,
        backends: list[Backend],
        weight_of: Callable[[Backend, str], float],
        moves: Callable[[float, float], bool],
    ) -> list[Line]:
        """The lines that may have to move, by their records' order.

        `weight_of` tells the weight wanted of a line, `moves` whether it is far enough from the one sent.
        """
        for zone, tables in self._subsets.tables.items():
            if self._tables_known.get(zone) != len(tables):
                self._tables_known[zone] = len(tables)
                for backend in backends:
                    if backend.subset is not None:
                        self.watch(backend, zone)
        lines = [(backend, *line) for backend in self.unsettled for line in self._subsets.lines_of(backend)]
        some = [(each, zone) for each in self.watching if each not in self.unsettled for zone in each.watched]
        some += self._resting.unsettled(weight_of, moves)
        for backend, zone in some:
            lines += [(backend, zone, table, True) for table in self._subsets.held_in(backend, zone)]
        return sorted(lines, key=lambda line: line[0].order)

    def sent(self, backend: Backend, table: int, weight: float) -> None:
        """A line was sent."""
        backend.sent[table] = weight
        zone = self._subsets.zone_of(table)
        if zone in backend.resting:
            self._rest(backend, zone)

    def settle(self, is_warm: Callable[[Backend], bool], ramp_over: Callable[[int | None], bool]) -> None:
        """Puts what follows from shared means alone from here on at rest.

        `is_warm` tells whether a backend can do its whole work and costs what its kind does, `ramp_over`
        whether a ramp that began then (ns; None: none) takes nothing from a weight any more.
        """
        for backend in list(self.unsettled):
            left_over = self._subsets.left_over(backend)
            if not left_over and self._is_settled(backend, is_warm, ramp_over):
                del self.unsettled[backend]
                for zone in self._subsets.tables:
                    self.watch(backend, zone)
            elif backend.phase != "ready" and backend.subset is None and not left_over:
                del self.unsettled[backend]
        for backend in [each for each in self.watching if each not in self.unsettled]:
            self._settle_watched(backend, ramp_over)

    def _settle_watched(self, backend: Backend, ramp_over: Callable[[int | None], bool]) -> None:
        for zone in list(backend.watched):
            link = backend.links.get(zone)
            if link is None or self._is_idle(link, ramp_over) and backend not in self.heard[zone]:
                del backend.watched[zone]
                if backend.phase == "ready":
                    self._rest(backend, zone)
        if not backend.watched:
            del self.watching[backend]

    @staticmethod
    def _is_settled(
        backend: Backend, is_warm: Callable[[Backend], bool], ramp_over: Callable[[int | None], bool]
    ) -> bool:
        return (
            backend.phase == "ready"
            and backend.proven
            and backend.subset is not None
            and backend.sent.get("out", False) is False
            and ramp_over(backend.ramp_from)
            and is_warm(backend)
        )

    @staticmethod
    def _is_idle(link: Link, ramp_over: Callable[[int | None], bool]) -> bool:
        return link.cost is None and link.cut_at is None and ramp_over(link.ramp_from)

    def _rest(self, backend: Backend, zone: str) -> None:
        self._resting.wake(backend, zone)
        weights = tuple(backend.sent.get(table, 0.0) for table in self._subsets.held_in(backend, zone))
        self._resting.rest(backend, zone, weights)
