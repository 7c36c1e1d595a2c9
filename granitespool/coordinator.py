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

import msgspec

from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckOutcome,
    HealthCheckResult,
    ListForm,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    Restored,
    SliceAssigned,
    SliceEntry,
    SliceLoad,
    UsageReport,
)
from granitespool.planner.planner import Planner
from granitespool.planner.records import MinimumRtt
from granitespool.planner.status import BackendSnapshot, FleetSnapshot, LinkSnapshot

# Parties other than the proxies, which are numbers: what they are given to do, say, write down or forget
PROBES, PEERS, REMARKS, GONE = "probes", "peers", "remarks", "gone"
FIXED = (
    "classes",
    "slices",
    "subscribe",
    "coordinator_index",
)  # settings that what is kept here or there is built on


BACKEND_FACTS = {
    "phase": "phase",
    "zone": "zone",
    "kind": "machine_type",
    "listed": "configured_weight",
    "started": "started_at",
    "gone_at": "left_ready_at",
    "ramp_from": "slow_start_since",
    "proven": "verified",
    "missing": "removal_unconfirmed",
}
LINK_FACTS = {
    "low": "minimum_rtt",
    "tries": "attempts",
    "failed": "failures",
    "answered": "successes",
    "time": "response_time",
    "over": "overloaded_reports",
    "streak": "consecutive_failures",
    "cut_at": "ejected_at",
    "ramp_from": "slow_start_since",
}
REASONS = {
    "removal_unconfirmed": "missing",
    "unverified": "unproven",
    "ejected": "cut",
    "warming_up": "cold",
    "recovering": "returning",
}


def _event_of(what, met):
    """The event of a former report: its name and words."""
    if what == "list_news":
        return _list_news(**met)
    if what == "recalled":
        return _recalled(**met)
    if what == "probed":
        outcome = HealthCheckOutcome(met["status"])
        return HealthCheckResult(met["backend"], outcome, met["took"], met["load"])
    event, words = EVENTS[what]
    return event(*(met[word] for word in words if word in met))


def _list_news(form, entries):
    form = "complete" if form == "whole" else form
    return EndpointListUpdate(ListForm(form), entries)


def _recalled(fleet, backends):
    def link(facts):
        values = {theirs: facts[ours] for ours, theirs in LINK_FACTS.items()}
        low = values.pop("minimum_rtt")
        return LinkSnapshot(minimum_rtt=MinimumRtt(*low) if low else None, **values)

    usual = dict.fromkeys(BACKEND_FACTS)
    return Restored(
        FleetSnapshot(
            is_overloaded=fleet["strained"],
            admitted_share=fleet["room"],
            success_ratio=fleet["through"],
            demand=fleet["asked"],
        ),
        {
            name: BackendSnapshot(
                **{theirs: {**usual, **facts}[ours] for ours, theirs in BACKEND_FACTS.items()},
                links={zone: link(each) for zone, each in links.items()},
            )
            for name, (facts, links) in backends.items()
        },
    )


EVENTS = {  # former name -> its event, and the former words of its fields
    "heard": (LoadReport, ("zone", "backend", "tries", "failed", "mean", "window", "load")),
    "arrivals": (UsageReport, ("proxy", "grade", "number", "unanswered", "window")),
    "joined": (ProxyJoined, ("proxy", "zone", "standing", "rate", "again")),
    "left": (ProxyLeft, ("proxy", "silent")),
    "applied": (Acknowledged, ("proxy", "serial", "took")),
    "peer_said": (GossipReceived, ("sender", "contents")),
    "slice_given": (SliceAssigned, ("table", "ours")),
    "slice_line": (SliceEntry, ("table", "backend", "weight")),
    "slice_load": (SliceLoad, ("table", "grade", "number", "unanswered", "window")),
}


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
        """What was met: an event; or its former name and words, until all callers have events."""
        event = what if isinstance(what, Event) else _event_of(what, met)
        self.now = max(self.now, now)
        self.reports += isinstance(event, LoadReport)
        if isinstance(event, ProxyJoined):
            self._forget_party(event.proxy)
            held = Party(self.suspects)
            self.proxies[event.proxy] = self.loose[event.proxy] = held
        elif isinstance(event, ProxyLeft):
            self._forget_party(event.proxy)
        elif isinstance(event, EndpointListUpdate):
            # A name that was not told before was shut out by nobody, or let back by who saw it return; one
            # told again as it was has not been out. Harm: a return between two such tellings is not seen.
            self.suspects |= {entry.name for entry in event.entries if self._may_be_out(entry)}
        self._guarded(self.planner.handle, event)

    def _may_be_out(self, entry):
        known = self.planner.inspection.backend(entry.name)
        return entry.phase != "ready" or known is not None and entry.started_at > known.started_at

    def _forget_party(self, proxy):
        for kept in (self.proxies, self.waiting, self.touched, self.loose, *self.users.values()):
            kept.pop(proxy, None)

    def listed(self):
        """{backend: (phase, started ns)} of every backend that is known."""
        return {rec.name: (rec.phase, rec.started_at) for rec in self.planner.inspection.backends()}

    def learnt(self, backends):
        """What the planner has learnt of the fleet and of these backends, to be reported as `recalled` by a
        later life: (fleet, {backend: (facts, {zone: facts})}), times in ns of the clock that was told."""
        snapshot = self.planner.inspection.snapshot(backends)
        return (
            {
                "strained": snapshot.fleet.is_overloaded,
                "room": snapshot.fleet.admitted_share,
                "through": snapshot.fleet.success_ratio,
                "asked": snapshot.fleet.demand,
            },
            {
                name: (
                    {ours: getattr(each, theirs) for ours, theirs in BACKEND_FACTS.items()},
                    {
                        zone: {ours: getattr(link, theirs) for ours, theirs in LINK_FACTS.items()}
                        for zone, link in each.links.items()
                    },
                )
                for name, each in snapshot.backends.items()
            },
        )

    def pictured_fleet(self):
        """Figures of the whole: joined, unbound, waiting (lines), lag (ns), strained, room, through, and
        tables as (zone, number of lines, {class: (share, retries)})."""
        status = self.planner.inspection.status()
        return {
            "joined": status.joined,
            "unbound": status.unassigned,
            "waiting": status.in_flight,
            "lag": status.acknowledgement_latency,
            "strained": status.is_overloaded,
            "room": status.admitted_share,
            "through": status.success_ratio,
            "tables": [
                (
                    zone,
                    sum(len(self.tables.get(table, ())) for table in tables),
                    self._levels_of(tables),
                )
                for zone, tables in self.planner.inspection.tables().items()
            ],
        }

    def _levels_of(self, tables):
        """{class: (share, retries)} of a zone's tables: the same for all that have any."""
        ordered = next((self.levels[table] for table in tables if table in self.levels), {})
        return {self.classes[position]: level for position, level in sorted(ordered.items())}

    def pictured(self, backend):
        """(phase, zone, kind and proven by name, {zone: (weight, cost in ns or None, cut, shut out)}) of a
        backend, or None where it is not known."""
        status = self.planner.inspection.backend_status(backend)
        return status and (
            {
                "phase": status.phase,
                "zone": status.zone,
                "kind": status.machine_type,
                "proven": status.verified,
            },
            {
                zone: (entry.weight, entry.cost, entry.is_ejected, backend in self.withdrawn)
                for zone, entry in status.entries.items()
            },
        )

    def figures(self):
        """What can be summed over coordinators: figures of now, and totals since the start."""
        metrics = self.planner.inspection.metrics()
        return {
            "joined": metrics.joined,
            "unbound": metrics.unassigned,
            "waiting": metrics.in_flight,
            "limit": metrics.in_flight_limit,
            "pace": metrics.configured_rate,
            "met": metrics.observed_rate,
            "ordered": metrics.total_entries,
            "lag": metrics.acknowledgement_latency,
            "strained": metrics.is_overloaded,
            "room": metrics.admitted_share,
            "through": metrics.success_ratio,
            "subsets": metrics.subsets,
            "reports": self.reports,
            "cut": metrics.ejected_links,
            "last_resort": metrics.last_resort_links,
        }

    def unusual(self, most):
        """{backend: (why, tries, failed, weight)} of the backends that carry no ordinary part, those with
        most tries of about the last second first, `most` of them; and how many more there are."""
        outliers = self.planner.inspection.outliers(self.now, most)
        return {
            name: (REASONS.get(each.reason, each.reason), each.attempts, each.failures, each.weight)
            for name, each in outliers.backends.items()
        }, outliers.omitted

    def joined_zones(self):
        """Zones that proxies have joined from."""
        return self.planner.inspection.joined_zones()

    def waits(self, settings):
        """Names of these settings that differ from those in force and would wait for a restart."""
        names = [name for name in FIXED if getattr(settings, name) != getattr(self.settings, name)]
        if "classes" in names and self._class_names(settings) == self.classes:
            names.remove("classes")  # tables and levels go by their order; their figures may change
        return names

    def new_settings(self, now, settings):
        """Settings for what is decided from now on; returns the names of those that wait for a restart."""
        waits = self.waits(settings)
        self.settings = msgspec.structs.replace(
            settings, **{name: getattr(self.settings, name) for name in waits}
        )
        self.now = max(self.now, now)
        self._guarded(self.planner.new_settings, self.settings)
        return waits

    @staticmethod
    def _class_names(settings):
        return settings.class_names

    def tick(self, now):
        """Lets the timers run that are due, ends the turn and returns when the next is due."""
        self.now = max(self.now, now)
        due = []
        while self.timers and self.timers[0][0] <= self.now:
            due.append(heapq.heappop(self.timers)[2])
        for cookie in due:
            self._guarded(self.planner.on_timer, cookie)
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
            self.log(traceback.format_exc())

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

    def set_entry(self, table, backend, weight):
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

    def assign(self, proxy, table, classes):
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

    def exclude(self, backend, excluded):
        out = excluded
        (self.withdrawn.add if out else self.withdrawn.discard)(backend)
        # Who is bound needs it where its tables hold the backend; else it follows with the line, if ever
        using = [self.users.get(table, {}) for table, lines in self.tables.items() if backend in lines]
        for proxy, held in {key: held for kept in (self.loose, *using) for key, held in kept.items()}.items():
            if self._shut(held, backend, out):
                self.touched[proxy] = None

    def exclusion_cost(self, backend, excluded, unassigned, known):
        out = excluded
        # Nobody knows what a proxy holds that was never written to on this stream, so all are told
        return {
            proxy: 1
            for proxy, held in self.loose.items()
            if (not held.told.get(backend) if out else held.shut(backend))
        }

    def readmission_cost(self, proxies, table, backend=None):
        names = (backend,) if backend is not None else self.tables.get(table, ())
        held = {proxy: self.proxies[proxy] for proxy in proxies if proxy in self.proxies}
        more = {proxy: sum(map(each.shut, names)) for proxy, each in held.items()}
        return {proxy: lines for proxy, lines in more.items() if lines}

    def set_admission(self, table, classes, share, retries):
        for position in range(len(self.classes)):
            if not classes or classes >> position & 1:
                self.levels.setdefault(table, {})[position] = share, retries
                for held, bound in self._users(table):
                    if bound >> position & 1:
                        held.levels[position] = share, retries

    def request_acknowledgement(self, serial, everyone):
        self.mark_now = serial
        if everyone:
            self.touched.update(dict.fromkeys(self.proxies))

    def check_health(self, backend):
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

    def subscribe(self, on):
        """The list's watch stands by itself as long as the service runs, so there is nothing to ask for."""

    def fetch_endpoints(self):
        """Nor here: a watch brings the whole list where there is a gap."""

    def set_timer(self, delay, cookie):
        self.serial += 1
        heapq.heappush(self.timers, (self.now + delay, self.serial, cookie))

    def send_gossip(self, peer, contents):
        self.queues[PEERS].append((peer, contents))

    def log(self, text):
        self.queues[REMARKS].append(text)
