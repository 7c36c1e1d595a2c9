"""Subsets: a fleet whose whole table the channel cannot carry to everyone is split among a zone's proxies.

The design's table holds the whole fleet. Where a coordinator's channel needs so long to carry that to its
own proxies that it is outdated on arrival, or that a drain's grace is over before (its own proxies come back
all at once after its restart, and what was on its way to them is lost), the fleet is split into subsets of
like servers; a table holds one of them: it costs its part of the lines, and so does a drain. A coordinator
may have to take the proxies of others that died, and each that joins has the drain's grace until the table it
came with must be right: that sizes the subsets. One subset is the whole fleet, and then nothing is split. A
table has copies where more proxies use it than one line could reach.
"""

from collections import Counter

from granitespool.routing.levels import lines_of

SECOND = 1_000_000_000  # ns
OUTDATED = 12 * SECOND  # ns that what was heard counts for in the planner's means (its KEEP): a table that
#                         arrives later is made of what is forgotten
TAKES = 4  # proxies' shares that one coordinator may have to carry: its own and three others'
PART = 0.5  # part of what the channel carries within the grace that binding may take: drains need more
LEAST = 16  # servers of a subset at least: with a third of them cut, those left still share evenly
RESPLIT = 3  # factor that the fleet's size must have moved by for all to be split anew: a zone lost must
#                  not do it, nor a release whose old half has gone before the new one answers
UNEVEN = 2  # times the smallest subset's size, and one more, that the largest may have: else one moves
USERS_PART = 0.5  # part of the queue that one line to all users of a table may take


class Subsets:
    """Which subset each backend is in, and the tables of each zone."""

    def __init__(self, zones):
        self.count, self.split_for = 1, 0
        self.before = self.own = 0.0  # proxies of the coordinators before this one; this one's own
        self.tables, self.places = {}, []  # zone -> its tables; table -> (zone, its position there)
        self.proxies, self.loads = Counter(), Counter()  # table -> who is or will be on it; their rates
        for zone in zones:
            self.know(zone)
        self.sizes, self.like = Counter(), Counter()  # subset -> its backends; (subset, zone, kind) -> those
        self.ready, self.proven = {}, {}  # id -> record: ready ones; those of them that have answered
        self.all_unproven = True  # so it was at the last call

    @property
    def number(self):
        """How many tables there are."""
        return len(self.places)

    def know(self, zone):
        """This zone, which has a table at least from now on."""
        if zone not in self.tables:
            self._add(zone)
        return zone

    def _add(self, zone):
        tables = self.tables.setdefault(zone, [])
        tables.append(self.number)
        self.places.append((zone, len(tables) - 1))

    def join(self, zone, rate, channel):
        """The table for a proxy that joins: the least laden, or a further one where all have too many users
        for one line to reach them in one go."""
        while len(self.tables.get(zone, ())) < self.count:
            self._add(zone)
        table = min(self.tables[zone], key=lambda each: (self.loads[each], self._turn(each)))
        if self.proxies[table] * (1 + channel.head) >= USERS_PART * channel.limit:
            self._add(zone)
            table = self.tables[zone][-1]
        self.proxies[table] += 1
        self.loads[table] += 1 + rate
        return table

    def _turn(self, table):
        """When this table of a zone has its turn among those as laden.

        All coordinators' proxies are thought of in one row, those of this one and zone after all before them,
        and the subsets are given along it. Against: coordinators with fewer proxies in a zone than there are
        subsets, who would all give the same few: 680 of them sent all requests to 170 of 2,900 backends.
        Harm: none, each subset has its turn.
        """
        zone, position = self.places[table]
        copy, subset = divmod(position, self.count)
        before = self.before + self.own * list(self.tables).index(zone) / len(self.tables)
        return copy, (subset - int(before)) % self.count

    def left(self, table, rate):
        """A proxy of this table and rate is gone."""
        self.proxies[table] -= 1
        self.loads[table] = max(0.0, self.loads[table] - 1 - rate) if self.proxies[table] else 0.0

    def held_in(self, rec, zone):
        """The tables of a zone that are to hold this record."""
        return [] if rec.subset is None else self.tables[zone][rec.subset :: self.count]

    def zone_of(self, table):
        """The zone that a table is of."""
        return self.places[table][0]

    def left_over(self, rec):
        """The tables that hold this record and are not to."""
        return [
            table
            for table, weight in rec.sent.items()
            if weight and table != "out" and not self._is_held(table, rec.subset)
        ]

    def _is_held(self, table, subset):
        return subset is not None and self.places[table][1] % self.count == subset

    def lines_of(self, rec):
        """Each table that holds this record, or is to: (zone, table, whether it is to)."""
        for zone in self.tables:
            yield from ((zone, table, True) for table in self.held_in(rec, zone))
        yield from ((self.zone_of(table), table, False) for table in self.left_over(rec))

    def wanted(self, settings, channel, fleet):
        """How many subsets the channel asks for."""
        grace, expected = settings.get("drain_grace"), settings.get("proxies_expected")
        if not grace or not expected or not settings.get("lines_per_s") or settings.get("slices"):
            return 1
        share = -(-expected // max(1, settings.get("planners") or 1))
        fixed = channel.head + 1 + lines_of(len(settings.get("classes") or ()))
        if (fleet + fixed) * share * SECOND <= min(OUTDATED, grace) * channel.pace:
            return 1  # the design's own tables: nothing is departed from
        takers = min(expected, TAKES * share)
        lines = int(PART * channel.pace * grace / SECOND / takers - fixed)  # figures may be told as 3.0
        return 1 if lines >= fleet else max(1, fleet // max(LEAST, lines))

    def assign(self, settings, channel, backends, changed=None):
        """Gives every ready backend its subset, and takes it from the others; returns those whose tables are
        others now: all where the fleet was split anew. `changed`: the only records whose phase, zone, kind or
        answering changed since the last call, where that is known."""
        if changed is None:
            self.ready, self.proven = {}, {}
        self._sort(backends if changed is None else changed)
        # A list may name what is not there: who has not answered yet is in no subset as long as any has.
        # Harm: a fleet of which few have answered is split anew once the others do.
        able = self.proven or self.ready
        anew = not self.split_for / RESPLIT <= len(able) <= self.split_for * RESPLIT
        if anew:
            self.split_for, self.count = len(able), self.wanted(settings, channel, len(able))
            if (index := settings.get("index")) is not None:
                self.own = (settings.get("proxies_expected") or 0) / (settings.get("planners") or 1)
                self.before = self.own * index
        if anew or not self.proven or changed is None or self.all_unproven:
            changed = list(backends)
            self.sizes, self.like = Counter(), Counter()
            for rec in changed:
                rec.counted = None
        self.all_unproven = not self.proven
        before = [(rec, rec.subset) for rec in changed]
        for rec in changed:
            self._take(rec)
            rec.subset = None if anew or rec.id not in self.proven else rec.subset
            if rec.subset is not None:
                self._give(rec, rec.subset)
        for rec in changed:
            if rec.subset is None and rec.id in able:
                self._give(rec, self._smallest(rec))
        before += self._evened(able)
        return [rec for rec, subset in before if anew or rec.subset != subset]

    def _sort(self, records):
        for rec in records:
            for held, holds in (
                (self.ready, rec.phase == "ready"),
                (self.proven, rec.phase == "ready" and rec.proven),
            ):
                if holds:
                    held[rec.id] = rec
                else:
                    held.pop(rec.id, None)

    def _smallest(self, rec):
        """The subset with the fewest like this one, and of those the one with the fewest."""
        return min(
            range(self.count),
            key=lambda subset: (self.like[subset, rec.zone, rec.kind], self.sizes[subset], subset),
        )

    def _evened(self, able):
        """Moves records from the largest subset to the smallest until they are even; those, with the former
        subset of each."""
        moved = []
        while self.count > 1:
            large = max(range(self.count), key=self.sizes.__getitem__)
            small = min(range(self.count), key=self.sizes.__getitem__)
            if self.sizes[large] <= UNEVEN * self.sizes[small] + 1:
                break
            rec = max(
                (rec for rec in able.values() if rec.subset == large),
                key=lambda rec: (self.like[large, rec.zone, rec.kind], -rec.order),
            )
            moved.append((rec, large))
            self._take(rec)
            self._give(rec, small)
        return moved

    def _give(self, rec, subset):
        rec.subset = subset
        rec.counted = subset, rec.zone, rec.kind
        self.sizes[subset] += 1
        self.like[rec.counted] += 1

    def _take(self, rec):
        if rec.counted is not None:
            self.sizes[rec.counted[0]] -= 1
            self.like[rec.counted] -= 1
            rec.counted = None
