"""The former assignment of subsets, from before the planner evaluated only changes; kept unchanged.

A table normally contains the whole fleet. A coordinator's channel can be too slow for that: the table would
be outdated on arrival at its own proxies, or the drain grace over before (they all come back at once after a
restart, and the messages in flight to them are lost). Then the fleet is split into subsets of similar
servers, and a table contains one of them: a table and a drain cost that share of the entries. A coordinator
may have to serve the proxies of failed ones, and the table with which a proxy joins must be correct after the
drain grace: both determine the size of subsets. A single subset is the whole fleet. A table has copies if it
has more users than one entry could reach at once.
"""

from collections import Counter

SECOND = 1_000_000_000  # ns
# ns that an observation counts in the planner's means (its KEEP): a table that arrives later is based on
# outdated ones
OUTDATED = 12 * SECOND
TAKES = 4  # shares of the proxies that one coordinator may have to serve: its own and those of three others
PART = 0.5  # share of the channel's capacity within the grace for assignments: drains need more
LEAST = 16  # minimum size of a subset: with a third of it ejected, the rest still shares evenly
# Factor of change in the fleet's size that causes a new split: neither a lost zone nor a release whose old
# half is gone before the new one answers may cause it
RESPLIT = 3
UNEVEN = 2  # a backend moves if the largest subset has more than this times the smallest, plus one
LEVELS = 4  # maximum of entries that set the admission levels of all classes: the planner's
USERS_PART = 0.5  # share of the queue that one entry to all users of a table may take


class Subsets:
    def __init__(self, zones):
        self.count, self.split_for = 1, 0
        self.tables, self.number = {}, 0  # zone -> its tables; number of tables
        self.proxies, self.loads = Counter(), Counter()  # table -> its current and future users; their rates
        for zone in zones:
            self.know(zone)
        self.sizes, self.like = Counter(), Counter()  # number of backends by subset; by (subset, zone, kind)

    def know(self, zone):
        """Return the zone after adding a table for it if it has none."""
        if zone not in self.tables:
            self._add(zone)
        return zone

    def _add(self, zone):
        self.tables.setdefault(zone, []).append(self.number)
        self.number += 1

    def join(self, zone, rate, channel):
        """Return the table for a joining proxy: the least loaded one.

        Add a table if that one has too many users for one entry to reach them at once.
        """
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
        """Yield each table that contains a backend or should: (record, zone, table, whether it should)."""
        for rec in backends:
            for zone, tables in self.tables.items():
                mine = [] if rec.subset is None else tables[rec.subset :: self.count]
                yield from ((rec, zone, table, True) for table in mine)
                yield from (
                    (rec, zone, table, False) for table in tables if rec.sent.get(table) and table not in mine
                )

    def wanted(self, settings, channel, fleet):
        """Return the number of subsets that the channel requires."""
        grace, expected = settings.get("drain_grace"), settings.get("proxies_expected")
        if not grace or not expected or not settings.get("lines_per_s") or settings.get("slices"):
            return 1
        share = -(-expected // max(1, settings.get("planners") or 1))
        fixed = channel.head + 1 + min(LEVELS, len(settings.get("classes") or ()))
        if (fleet + fixed) * share * SECOND <= min(OUTDATED, grace) * channel.pace:
            return 1  # tables with the whole fleet
        takers = min(expected, TAKES * share)
        # Settings may be floats such as 3.0
        lines = int(PART * channel.pace * grace / SECOND / takers - fixed)
        return 1 if lines >= fleet else max(1, fleet // max(LEAST, lines))

    def assign(self, settings, channel, backends):
        """Assign a subset to every ready backend and remove it from the others."""
        # A list may contain absent backends: one that has not answered yet is in no subset while any has.
        # Drawback: a fleet of which few have answered is split again once the others do.
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
