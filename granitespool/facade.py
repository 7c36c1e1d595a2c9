"""The planner in blocking style: report what was met, tick the time, pick what is next for a party.

    coordinator.report(now, "heard", zone=..., backend=..., ...)   # any number, all with the turn's one time
    due = coordinator.tick(now)                                    # ends the turn; the time it is next due
    for party in coordinator.parties():                            # who has something waiting
        order = coordinator.pick(party)                            # None once there is nothing

What is reported in one turn is one batch, and what it orders is one message for each proxy. Orders not picked
yet merge with later ones: the last weight wins, the last mark stands for those before. Shared tables are
expanded here to each bound proxy, and shut-outs kept for each stream. No decision is taken in this file."""

import heapq
import traceback

from granitespool.rules import KEEP, MET, REMEMBERED, Planner

# Parties other than the proxies, which are numbers: what they are given to do, say, write down or forget
PROBES, PEERS, REMARKS, GONE = "probes", "peers", "remarks", "gone"
FIXED = "classes", "slices", "subscribe", "index"  # settings that what is kept here or there is built on
REPORTS = frozenset(
    (
        "list_news",
        "heard",
        "arrivals",
        "joined",
        "left",
        "applied",
        "probed",
        "peer_said",
        "slice_given",
        "slice_line",
        "slice_load",
        "recalled",
    )
)
RETURNING = 20 * 10**9  # ns after a ramp's begin for which a backend is shown as returning
AS_THEY_COME = frozenset(("peer_said", "slice_load"))  # whose words the planner does not name


class Party:
    """A joined proxy: its tables, the backends it may hold shut out, and what is to be written to it."""

    def __init__(self, suspects):
        self.tables = {}  # classes (sum of 2**k) -> table
        self.suspects = suspects  # shut out by others, maybe, when it joined: a set shared by many
        self.told = {}  # backend -> what it was told on this stream: is it shut out
        self.clear()

    def shut(self, backend):
        """Whether it may hold this backend shut out."""
        return self.told.get(backend, backend in self.suspects)

    def clear(self):
        self.lines, self.whole, self.levels = {}, set(), {}  # classes -> lines; classes; position -> level
        self.out, self.mark = {}, None  # backend -> is it shut out; the last mark


class Coordinator:
    """One coordinator: a planner, the host that it acts on, and what waits for each party."""

    def __init__(self, settings, seed, now):
        self.settings, self.classes = settings, self._class_names(settings)
        self.every = (1 << len(self.classes)) - 1
        self.now, self.serial, self.timers = now, 0, []
        self.proxies, self.touched, self.waiting = {}, {}, {}  # number -> Party; in this turn; parties
        self.tables, self.levels, self.withdrawn = {}, {}, set()
        self.suspects = frozenset()  # backends that some coordinator may have shut out
        self.users, self.loose = {}, {}  # table -> the proxies on it, in order; those that are on none
        self.mark_now, self.reports = None, 0  # reports: of what was met at a backend, in all
        self.queues = {PROBES: [], PEERS: [], REMARKS: [], GONE: []}
        self.planner = Planner(self, now, seed, settings)

    def report(self, now, what, **met):
        """What was met; `what` and the words of `met` are the planner's method and its parameters."""
        assert what in REPORTS, what
        self.now = max(self.now, now)
        self.reports += what == "heard"
        if what == "joined":
            self._forget_party(met["proxy"])
            held = Party(self.suspects)
            self.proxies[met["proxy"]] = self.loose[met["proxy"]] = held
        elif what == "left":
            self._forget_party(met["proxy"])
        elif what == "list_news":
            # A name that was not told before was shut out by nobody, or let back by who saw it return; one
            # told again as it was has not been out. Harm: a return between two such tellings is not seen.
            self.suspects |= {entry["backend"] for entry in met["entries"] if self._may_be_out(entry)}
        if what in AS_THEY_COME:
            self._guarded(getattr(self.planner, what), *met.values())
        else:
            self._guarded(getattr(self.planner, what), **met)

    def _may_be_out(self, entry):
        known = self.planner.backends.get(entry["backend"])
        return entry["phase"] != "ready" or known is not None and entry["started"] > known.started

    def _forget_party(self, proxy):
        for kept in (self.proxies, self.waiting, self.touched, self.loose, *self.users.values()):
            kept.pop(proxy, None)

    def listed(self):
        """{backend: (phase, started ns)} of every backend that is known."""
        return {rec.id: (rec.phase, rec.started) for rec in self.planner.backends.values()}

    def learnt(self, backends):
        """What the planner has learnt of the fleet and of these backends, to be reported as `recalled` by a
        later life: (fleet, {backend: (facts, {zone: facts})}), times in ns of the clock that was told."""
        fleet = {key: getattr(self.planner, key) for key in ("strained", "room", "through", "asked")}
        return fleet, {
            rec.id: (
                {key: getattr(rec, key) for key in REMEMBERED},
                {
                    zone: {
                        "low": link.lows[0] if link.lows else None,
                        **{key: getattr(link, key) for key in MET},
                    }
                    for zone in self.planner.tables
                    for link in (rec.link_as_of(zone, self.planner.period, KEEP),)
                },
            )
            for rec in map(self.planner.backends.get, backends)
            if rec
        }

    def pictured_fleet(self):
        """Figures of the whole: joined, unbound, waiting (lines), lag (ns), strained, room, through, and
        tables as (zone, number of lines, {class: (share, retries)})."""
        planner = self.planner
        return {
            "joined": len(planner.proxies),
            "unbound": len(planner.unbound),
            "waiting": planner.channel.waiting,
            "lag": planner.lag,
            "strained": planner.strained,
            "room": planner.room,
            "through": planner.through,
            "tables": [
                (
                    zone,
                    sum(len(self.tables.get(table, ())) for table in tables),
                    self._levels_of(tables),
                )
                for zone, tables in planner.tables.items()
            ],
        }

    def _levels_of(self, tables):
        """{class: (share, retries)} of a zone's tables: the same for all that have any."""
        ordered = next((self.levels[table] for table in tables if table in self.levels), {})
        return {self.classes[position]: level for position, level in sorted(ordered.items())}

    def pictured(self, backend):
        """(phase, zone, kind and proven by name, {zone: (weight, cost in ns or None, cut, shut out)}) of a
        backend, or None where it is not known."""
        rec = self.planner.backends.get(backend)
        return rec and (
            {"phase": rec.phase, "zone": rec.zone, "kind": rec.kind, "proven": rec.proven},
            {
                zone: (
                    max(rec.sent.get(table, 0.0) for table in tables),
                    self.planner.costs.of(rec, zone),
                    bool(link) and link.cut_at is not None,
                    backend in self.withdrawn,
                )
                for zone, tables in self.planner.tables.items()
                for link in (rec.links.get(zone),)
            },
        )

    def figures(self):
        """What can be summed over coordinators: figures of now, and totals since the start."""
        planner, channel = self.planner, self.planner.channel
        links = [link for rec in planner.backends.values() for link in rec.links.values()]
        return {
            "joined": len(planner.proxies),
            "unbound": len(planner.unbound),
            "waiting": channel.waiting,
            "limit": channel.limit,
            "pace": channel.pace,
            "met": channel.met,
            "ordered": channel.ordered,
            "lag": planner.lag,
            "strained": planner.strained,
            "room": planner.room,
            "through": planner.through,
            "subsets": planner.subsets.count,
            "reports": self.reports,
            "cut": sum(link.cut_at is not None and not link.spare for link in links),
            "last_resort": sum(link.cut_at is not None and link.spare for link in links),
        }

    def unusual(self, most):
        """{backend: (why, tries, failed, weight)} of the backends that carry no ordinary part, those with
        most tries of about the last second first, `most` of them; and how many more there are."""
        found = {
            rec.id: (
                why,
                rec.tried,
                rec.missed,
                sum(weight for table, weight in rec.sent.items() if table != "out"),
            )
            for rec in self.planner.backends.values()
            if (why := self._why(rec))
        }
        order = sorted(found, key=lambda backend: -found[backend][1])
        return {backend: found[backend] for backend in order[:most]}, max(0, len(order) - most)

    def _why(self, rec):
        ramps = [each.ramp_from for each in (rec, *rec.links.values()) if each.ramp_from is not None]
        if rec.phase != "ready":
            return rec.phase if rec.tried >= 0.5 or any(rec.sent.values()) else None
        if rec.missing or not rec.proven:
            return "missing" if rec.missing else "unproven"
        if any(link.cut_at is not None for link in rec.links.values()):
            return "cut"
        if self.planner.warm(self.now, rec) < 1:
            return "cold"
        return "returning" if ramps and self.now - max(ramps) < RETURNING else None

    def joined_zones(self):
        """Zones that proxies have joined from."""
        used = {table for table, _ in self.planner.proxies.values()}
        return {zone for zone, tables in self.planner.tables.items() if used.intersection(tables)}

    def waits(self, settings):
        """Names of these settings that differ from those in force and would wait for a restart."""
        names = [name for name in FIXED if settings.get(name) != self.settings.get(name)]
        if "classes" in names and self._class_names(settings) == self.classes:
            names.remove("classes")  # tables and levels go by their order; their figures may change
        return names

    def new_settings(self, now, settings):
        """Settings for what is decided from now on; returns the names of those that wait for a restart."""
        waits = self.waits(settings)
        self.settings = {**settings, **{name: self.settings.get(name) for name in waits}}
        self.now = max(self.now, now)
        self._guarded(self.planner.new_settings, self.settings)
        return waits

    @staticmethod
    def _class_names(settings):
        return [kind.get("name") for kind in settings.get("classes") or ()]

    def tick(self, now):
        """Lets the timers run that are due, ends the turn and returns when the next is due."""
        self.now = max(self.now, now)
        due = []
        while self.timers and self.timers[0][0] <= self.now:
            due.append(heapq.heappop(self.timers)[2])
        for cookie in due:
            self._guarded(self.planner.timer, cookie)
        for proxy in self.touched:
            if self.mark_now is not None:
                self.proxies[proxy].mark = self.mark_now
            self.waiting[proxy] = None
        self.touched, self.mark_now = {}, None
        return self.timers[0][0] if self.timers else None

    def _guarded(self, call, *words, **met):
        # A fault of the planner must not end the process: every proxy would lose its coordinator. What else
        # it holds for: faults in this file's host calls. Harm: it goes on from a state left half changed.
        try:
            call(self.now, *words, **met)
        except Exception:
            self.remark(traceback.format_exc())

    def parties(self):
        return [*self.waiting, *(party for party, queue in self.queues.items() if queue)]

    def pick(self, party):
        """What is next for this party: a proxy's message, or the next of a queue, or None."""
        if party in self.queues:
            return self.queues[party].pop(0) if self.queues[party] else None
        if self.waiting.pop(party, self) is self:
            return None
        held = self.proxies[party]
        order = {
            "tables": [
                (self._names(classes), classes in held.whole, list(lines.items()))
                for classes, lines in held.lines.items()
            ],
            "levels": self._grouped(held.levels),
            "out": [b for b, out in held.out.items() if out],
            "back": [b for b, out in held.out.items() if not out],
            "mark": held.mark,
        }
        held.clear()
        return order

    def _names(self, classes):
        if classes == self.every:
            return None  # all of them
        return [name for k, name in enumerate(self.classes) if classes >> k & 1]

    def _grouped(self, levels):
        groups = {}
        for position, level in sorted(levels.items()):
            groups[level] = groups.get(level, 0) | 1 << position
        return [(self._names(classes), *level) for level, classes in groups.items()]

    def _users(self, table):
        for proxy, held in self.users.get(table, {}).items():
            for classes, used in held.tables.items():
                if used == table:
                    self.touched[proxy] = None
                    yield held, classes

    def _line(self, held, classes, backend, weight):
        held.lines.setdefault(classes, {})[backend] = weight
        if weight:
            self._shut(held, backend, backend in self.withdrawn)

    @staticmethod
    def _shut(held, backend, out):
        """Tells it, unless it is so already as far as is known."""
        new = not held.told.get(backend) if out else held.shut(backend)
        if new:
            held.out[backend] = held.told[backend] = out
        return new

    # The planner's host

    def weigh(self, table, backend, weight):
        lines = self.tables.setdefault(table, {})
        lines[backend] = weight
        if not weight:
            del lines[backend]
        for held, classes in self._users(table):
            self._line(held, classes, backend, weight)
            if not weight and classes in held.whole:
                del held.lines[classes][backend]

    def reset_table(self, table):
        self.tables.pop(table, None)
        self.levels.pop(table, None)
        for held, classes in self._users(table):
            self._rewrite(held, classes, table)

    def bind(self, proxy, table, classes):
        held, classes = self.proxies.get(proxy), classes or self.every
        if held is None:
            return
        for other, used in list(held.tables.items()):
            if other & classes:  # the later table has these classes now
                del held.tables[other]
                held.lines.pop(other, None)
                held.whole.discard(other)
                self.users[used].pop(proxy, None)
                if other & ~classes:
                    held.tables[other & ~classes] = used
                    self.users[used][proxy] = held
                    self._rewrite(held, other & ~classes, used)
        held.tables[classes] = table
        self.users.setdefault(table, {})[proxy] = held
        self.loose.pop(proxy, None)
        self._rewrite(held, classes, table)
        self.touched[proxy] = None

    def _rewrite(self, held, classes, table):
        """The whole table; it makes the proxy forget its levels, so those come again."""
        held.whole.add(classes)
        held.lines[classes] = {}
        for backend, weight in self.tables.get(table, {}).items():
            self._line(held, classes, backend, weight)
        for position in range(len(self.classes)):
            if classes >> position & 1:
                held.levels.pop(position, None)
                if position in self.levels.get(table, ()):
                    held.levels[position] = self.levels[table][position]

    def withdraw(self, backend, out):
        (self.withdrawn.add if out else self.withdrawn.discard)(backend)
        # Who is bound needs it where its tables hold the backend; else it follows with the line, if ever
        using = [self.users.get(table, {}) for table, lines in self.tables.items() if backend in lines]
        for proxy, held in {key: held for kept in (self.loose, *using) for key, held in kept.items()}.items():
            if self._shut(held, backend, out):
                self.touched[proxy] = None

    def reach(self, backend, out, unbound, known):
        # Nobody knows what a proxy holds that was never written to on this stream, so all are told
        return {
            proxy: 1
            for proxy, held in self.loose.items()
            if (not held.told.get(backend) if out else held.shut(backend))
        }

    def returns(self, proxies, table, backend=None):
        names = (backend,) if backend is not None else self.tables.get(table, ())
        held = {proxy: self.proxies[proxy] for proxy in proxies if proxy in self.proxies}
        more = {proxy: sum(map(each.shut, names)) for proxy, each in held.items()}
        return {proxy: lines for proxy, lines in more.items() if lines}

    def level(self, table, classes, share, retries):
        for position in range(len(self.classes)):
            if not classes or classes >> position & 1:
                self.levels.setdefault(table, {})[position] = share, retries
                for held, bound in self._users(table):
                    if bound >> position & 1:
                        held.levels[position] = share, retries

    def mark(self, serial, everyone):
        self.mark_now = serial
        if everyone:
            self.touched.update(dict.fromkeys(self.proxies))

    def probe(self, backend):
        if backend not in self.queues[PROBES]:
            self.queues[PROBES].append(backend)

    def forget(self, backend):
        # The one place that forgets a name. Harm: a proxy that holds it shut out from a stream long ago goes
        # on so if the name returns, until it joins anew.
        self.suspects -= {backend}
        self.withdrawn.discard(backend)
        for held in self.proxies.values():
            held.told.pop(backend, None)
        self.queues[GONE].append(backend)

    def observe(self, on):
        """The list's watch stands by itself as long as the service runs, so there is nothing to ask for."""

    def lookup(self):
        """Nor here: a watch brings the whole list where there is a gap."""

    def wake(self, delay, cookie):
        self.serial += 1
        heapq.heappush(self.timers, (self.now + delay, self.serial, cookie))

    def post(self, peer, contents):
        self.queues[PEERS].append((peer, contents))

    def remark(self, text):
        self.queues[REMARKS].append(text)
