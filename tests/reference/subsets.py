"""The split into subsets as it was before the planner looked only at what changed; kept as it stood.

Subsets: a fleet whose whole table the channel cannot carry to everyone is split among a zone's proxies.

The design's table holds the whole fleet. Where a coordinator's channel needs so long to carry that to its
own proxies that it is outdated on arrival, or that a drain's grace is over before (its own proxies come back
all at once after its restart, and what was on its way to them is lost), the fleet is split into subsets of
like servers; a table holds one of them: it costs its part of the lines, and so does a drain. A coordinator
may have to take the proxies of others that died, and each that joins has the drain's grace until the table it
came with must be right: that sizes the subsets. One subset is the whole fleet, and then nothing is split. A
table has copies where more proxies use it than one line could reach.
"""

from collections import Counter

SECOND = 1_000_000_000  # ns
OUTDATED = 12 * SECOND  # ns that what was heard counts for in the planner's means (its KEEP): a table that
#                         arrives later is made of what is forgotten
TAKES = 4  # proxies' shares that one coordinator may have to carry: its own and three others'
PART = 0.5  # part of what the channel carries within the grace that binding may take: drains need more
LEAST = 16  # servers of a subset at least: with a third of them cut, those left still share evenly
RESPLIT = 3  # factor that the fleet's size must have moved by for all to be split anew: a zone lost must
#                  not do it, nor a release whose old half has gone before the new one answers
UNEVEN = 2  # times the smallest subset's size, and one more, that the largest may have: else one moves
LEVELS = 4  # lines that order what is let in of all classes, whatever their number, at most: the planner's
USERS_PART = 0.5  # part of the queue that one line to all users of a table may take


class Subsets:
    def __init__(self, zones):
        self.count, self.split_for = 1, 0
        self.tables, self.number = {}, 0  # zone -> its tables; how many there are
        self.proxies, self.loads = Counter(), Counter()  # table -> who is or will be on it; their rates
        for zone in zones:
            self.know(zone)
        self.sizes, self.like = Counter(), Counter()  # subset -> its backends; (subset, zone, kind) -> those

    def know(self, zone):
        """This zone, which has a table at least from now on."""
        if zone not in self.tables:
            self._add(zone)
        return zone

    def _add(self, zone):
        self.tables.setdefault(zone, []).append(self.number)
        self.number += 1

    def join(self, zone, rate, channel):
        """The table for a proxy that joins: the least laden, or a further one where all have too many users
        for one line to reach them in one go."""
        while len(self.tables.get(zone, ())) < self.count:
            self._add(zone)
        table = min(self.tables[zone], key=lambda each: (self.loads[each], each))
        if self.proxies[table] * (1 + channel.head) >= USERS_PART * channel.limit:
            self._add(zone)
            table = self.tables[zone][-1]
        self.proxies[table] += 1
        self.loads[table] += 1 + rate
        return table

    def left(self, table, rate):
        self.proxies[table] -= 1
        self.loads[table] = max(0.0, self.loads[table] - 1 - rate) if self.proxies[table] else 0.0

    def lines_of(self, backends):
        """Each table that holds one of these, or is to: (record, zone, table, whether it is to)."""
        for rec in backends:
            for zone, tables in self.tables.items():
                mine = [] if rec.subset is None else tables[rec.subset :: self.count]
                yield from ((rec, zone, table, True) for table in mine)
                yield from (
                    (rec, zone, table, False) for table in tables if rec.sent.get(table) and table not in mine
                )

    def wanted(self, settings, channel, fleet):
        """How many subsets the channel asks for."""
        grace, expected = settings.get("drain_grace"), settings.get("proxies_expected")
        if not grace or not expected or not settings.get("lines_per_s") or settings.get("slices"):
            return 1
        share = -(-expected // max(1, settings.get("planners") or 1))
        fixed = channel.head + 1 + min(LEVELS, len(settings.get("classes") or ()))
        if (fleet + fixed) * share * SECOND <= min(OUTDATED, grace) * channel.pace:
            return 1  # the design's own tables: nothing is departed from
        takers = min(expected, TAKES * share)
        lines = int(PART * channel.pace * grace / SECOND / takers - fixed)  # figures may be told as 3.0
        return 1 if lines >= fleet else max(1, fleet // max(LEAST, lines))

    def assign(self, settings, channel, backends):
        """Gives every ready backend its subset, and takes it from the others."""
        # A list may name what is not there: who has not answered yet is in no subset as long as any has.
        # Harm: a fleet of which few have answered is split anew once the others do.
        ready = [rec for rec in backends if rec.phase == "ready"]
        ready = [rec for rec in ready if rec.proven] or ready
        anew = not self.split_for / RESPLIT <= len(ready) <= self.split_for * RESPLIT
        if anew:
            self.split_for, self.count = len(ready), self.wanted(settings, channel, len(ready))
        for rec in backends:
            rec.subset = None if anew or rec.phase != "ready" or not rec.proven else rec.subset
        self.sizes, self.like = Counter(), Counter()
        for rec in ready:
            if rec.subset is not None:
                self._give(rec, rec.subset)
        for rec in ready:
            if rec.subset is None:
                self._give(
                    rec,
                    min(
                        range(self.count),
                        key=lambda subset: (
                            self.like[subset, rec.zone, rec.kind],
                            self.sizes[subset],
                            subset,
                        ),
                    ),
                )
        while self.count > 1:
            large, small = (pick(range(self.count), key=self.sizes.__getitem__) for pick in (max, min))
            if self.sizes[large] <= UNEVEN * self.sizes[small] + 1:
                return
            rec = max(
                (rec for rec in ready if rec.subset == large),
                key=lambda rec: self.like[large, rec.zone, rec.kind],
            )
            self._give(rec, large, -1)
            self._give(rec, small)

    def _give(self, rec, subset, one=1):
        rec.subset = subset
        self.sizes[subset] += one
        self.like[subset, rec.zone, rec.kind] += one
