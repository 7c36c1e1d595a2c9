"""The emulator: one virtual clock, stand-ins for backends, proxies, collectors, channel and discovery, and
one real coordinator among them at a time. All chance comes from one seed; no clock of the machine is
read."""

import heapq
from bisect import bisect
from itertools import accumulate
from random import Random

from granitespool.coordinator import GONE, PEERS, PROBES, REMARKS, Coordinator
from granitespool.endpoints import Endpoint, Phase
from granitespool.settings import Admission, RequestClass, Settings
from granitespool.units import MILLISECOND

SECOND = 1_000_000_000  # ns
BEGAN = 10**18  # ns: the virtual clock begins here
ERROR = 5 * MILLISECOND  # ns that a quick failure takes
PROBE = 2 * MILLISECOND  # ns that a probe's answer takes
PROBE_LATE = SECOND // 2  # ns after which a probe without an answer is late: the service's
APPLY = 5 * MILLISECOND  # ns in which a proxy applies a message
BATCH = 10 * MILLISECOND  # ns within which what arrives at the coordinator is one turn
MIN_ROUND = 0.1  # part of the way to another zone that a round trip within one takes


class Backend:
    """`workers` at once, first come first served; slow, failing, dead or cold as it is told."""

    def __init__(self, name, zone, kind, workers, service):
        self.name, self.zone, self.kind, self.service = name, zone, kind, service
        self.free = [0] * workers  # when each worker is free, a heap
        self.failing, self.dead, self.started, self.slow = 0.0, False, 0, 1.0

    def answer(self, now, random, fleet):
        """(ns until an answer or None, did it work)."""
        if self.dead:
            return None, False
        if self.failing and random.random() < self.failing:
            return ERROR, False
        begin = max(now, self.free[0])
        if begin - now > fleet.queue_ms * MILLISECOND:
            return ERROR, False
        cold = self.started and now - self.started < fleet.cold_s * SECOND
        took = random.expovariate(1.0) * self.service * self.slow / (fleet.cold_share if cold else 1.0)
        heapq.heapreplace(self.free, begin + int(took))
        return begin + int(took) - now, True


class Proxy:
    """A plain proxy: a table, what is shut out, levels; it holds all of that across a change of streams."""

    def __init__(self, number, zone, table):
        self.number, self.zone, self.table, self.shut, self.levels = number, zone, table, set(), {}
        self.choices, self.sums, self.joined, self.turn = None, None, False, 0

    def pick(self, random):
        if self.choices is None:
            self.choices = [name for name in self.table if name not in self.shut]
            self.sums = list(accumulate(self.table[name] for name in self.choices))
        if not self.choices:
            return None
        at = bisect(self.sums, random.random() * self.sums[-1])
        return self.choices[min(at, len(self.choices) - 1)]

    def apply(self, order):
        for _, whole, lines in order["tables"]:
            table = {} if whole else self.table
            table.update(lines)
            self.table = {name: weight for name, weight in table.items() if weight}
        if any(whole for _, whole, _ in order["tables"]):
            self.levels = {}
        for classes, share, retries in order["levels"]:
            self.levels.update(dict.fromkeys(classes if classes is not None else [None], (share, retries)))
        self.shut = (self.shut | set(order["out"])) - set(order["back"])
        self.choices = None

    def level(self, name):
        return self.levels.get(name) or self.levels.get(None) or (1.0, 0)


class World:
    """Everyone but the coordinator, and the coordinator that `start` makes and `kill` ends."""

    def __init__(self, setup, backends, proxies, seed):
        self.setup, self.random, self.seed = setup, Random(seed), seed
        self.now, self.events, self.serial = BEGAN, [], 0
        fleet = setup.fleet
        self.zones = [f"z{k}" for k in range(fleet.zones)]
        self.classes = setup.classes
        self.backends = {}
        for k in range(backends):
            name = f"s-{k:05d}"
            self.backends[name] = Backend(
                name, self.zones[k % len(self.zones)], "m", fleet.workers, fleet.service_ms * MILLISECOND
            )
        self.strike(list(self.backends.values()))
        equal = dict.fromkeys(self.backends, 1.0)
        self.proxies = [Proxy(k, self.zones[k % len(self.zones)], dict(equal)) for k in range(proxies)]
        able = sum(
            fleet.workers / (fleet.service_ms / 1e3 * each.slow)
            for each in self.backends.values()
            if not each.dead
        )
        self.rate = fleet.load * able  # transactions a second of all proxies
        self.names = list(self.classes)
        self.shares = list(accumulate(each.share for each in self.classes.values()))
        self.served = {}  # (second, class) -> [asked, in time, late, failed, refused]
        self.met = {}  # second -> {(zone, backend): [tries, failed, answered, ns]}
        self.asked = {}  # (proxy, class) -> [asked, not answered]
        self.coordinator, self.lives, self.due, self.channel = None, 0, None, 0
        self.incoming, self.faults = [], []
        self.at(self._gap(), self._arrival)
        self.at(BEGAN + SECOND, self._report, 0)

    def strike(self, backends):
        """Makes shares of them slow, failing and dead, by chance; who is none of it is well."""
        fleet, order = self.setup.fleet, list(backends)
        self.random.shuffle(order)
        for each in order:
            each.slow, each.failing, each.dead = 1.0, 0.0, False
        count = len(order)
        slow, failing, dead = (
            round(count * share) for share in (fleet.slow_share, fleet.failing_share, fleet.dead_share)
        )
        for each in order[:slow]:
            each.slow = fleet.slow_factor
        for each in order[slow : slow + failing]:
            each.failing = fleet.failing_part
        for each in order[slow + failing : slow + failing + dead]:
            each.dead = True

    def change_places(self):
        """Who was ill is well, and as many of those who were well are ill in its place."""
        ill = [each for each in self.backends.values() if each.slow > 1 or each.failing or each.dead]
        well = [each for each in self.backends.values() if each not in ill]
        for one, other in zip(ill, self.random.sample(well, min(len(ill), len(well)))):
            for fact in "slow", "failing", "dead":
                mine, theirs = getattr(one, fact), getattr(other, fact)
                setattr(one, fact, theirs)
                setattr(other, fact, mine)

    # Time

    def at(self, when, call, *words):
        self.serial += 1
        heapq.heappush(self.events, (when, self.serial, call, words))

    def run(self, until):
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, call, words = heapq.heappop(events)
            call(*words)
        self.now = until

    # Transactions

    def _gap(self):
        return self.now + int(self.random.expovariate(self.rate) * SECOND)

    def _arrival(self):
        self.at(self._gap(), self._arrival)
        proxy = self.proxies[int(self.random.random() * len(self.proxies))]
        at = bisect(self.shares, self.random.random() * self.shares[-1])
        name = self.names[min(at, len(self.names) - 1)]
        count = self.served.setdefault(((self.now - BEGAN) // SECOND, name), [0, 0, 0, 0, 0])
        count[0] += 1
        asked = self.asked.setdefault((proxy.number, name), [0, 0])
        asked[0] += 1
        share = proxy.level(name)[0]
        if share < 1 and self.random.random() >= share:
            count[4] += 1
            return
        self._try(proxy, name, count, self.now, 0)

    def _try(self, proxy, name, count, begun, tries):
        kind, backend = self.classes[name], self.backends.get(proxy.pick(self.random))
        limit = begun + int(kind.limit_ms * MILLISECOND) - self.now
        if backend is None or limit <= 0:
            count[3] += 1
            return
        took, worked = backend.answer(self.now, self.random, self.setup.fleet)
        way = self.setup.fleet.cross_zone_ms * MILLISECOND
        way = int(way if backend.zone != proxy.zone else way * MIN_ROUND)
        took = limit if took is None else min(limit, took + way)
        worked = worked and took < limit
        end = self.now + took
        second, link = self.met.setdefault((end - BEGAN) // SECOND, {}), (proxy.zone, backend.name)
        met = second.setdefault(link, [0, 0, 0, 0])
        met[0] += 1
        if worked:
            met[2], met[3] = met[2] + 1, met[3] + took
            count[1 if end - begun <= kind.promised_ms * MILLISECOND else 2] += 1
            return
        met[1] += 1
        if kind.again and tries < proxy.level(name)[1]:
            self.at(end, self._try, proxy, name, count, begun, tries + 1)
        else:
            count[3] += 1

    # Reports, the list, probes

    def _report(self, second):
        """Collectors and proxies tell what the last second brought; it arrives late."""
        self.at(self.now + SECOND, self._report, second + 1)
        met, asked, self.asked = self.met.pop(second, {}), self.asked, {}
        if self.coordinator is None:
            return
        words = [
            (
                "heard",
                {
                    "zone": zone,
                    "backend": backend,
                    "tries": tries,
                    "failed": failed,
                    "mean": spent // answered if answered else 0,
                    "window": SECOND,
                    "load": {},
                },
            )
            for (zone, backend), (tries, failed, answered, spent) in met.items()
        ]
        words += [
            (
                "arrivals",
                {"proxy": number, "grade": name, "number": told, "unanswered": lost, "window": SECOND},
            )
            for (number, name), (told, lost) in asked.items()
        ]
        self.at(
            self.now + int(self.setup.channel.report_lag_ms * MILLISECOND), self._arrive, self.lives, words
        )

    def _arrive(self, life, words):
        if life == self.lives and self.coordinator is not None:
            for what, met in words:
                if what != "arrivals" or self.proxies[met["proxy"]].joined:
                    self.coordinator.report(self.now, what, **met)
            self._turn()

    def entries(self):
        return [
            Endpoint(each.name, each.zone, each.kind, 0, Phase.READY, 1.0, each.started)
            for each in self.backends.values()
        ]

    def _probe(self, life, name):
        backend = self.backends[name]
        took, status = (PROBE_LATE, "timeout") if backend.dead else (PROBE, "ok")
        self.at(
            self.now + took,
            self._arrive,
            life,
            [("probed", {"backend": name, "status": status, "took": took, "load": {}})],
        )

    # The coordinator

    def settings(self):
        fleet, channel = self.setup.fleet, self.setup.channel
        lines = len(self.backends) * len(self.proxies) / channel.binding_s
        return Settings(
            zones=self.zones,
            health_checks_allowed=True,
            admission=Admission.FRACTION,
            entries_per_s=lines,
            message_header=1,
            backlog_limit=2 * lines,
            bootstrap_entries=len(self.backends),
            proxies_expected=len(self.proxies),
            drain_grace=10 * SECOND,
            default_retries=0,
            warm_up_time=int(fleet.cold_s * SECOND),
            warm_up_start_share=fleet.cold_share,
            classes=[
                RequestClass(
                    name=name,
                    effect="free" if each.again else "single_shot",
                    latency_objective=int(each.promised_ms * MILLISECOND),
                    timeout=int(each.limit_ms * MILLISECOND),
                    priority_weight=each.benefit,
                )
                for name, each in self.classes.items()
            ],
        )

    def start(self, recall=None, rejoin=0.0):
        """A coordinator's life begins with the list, what `recall(coordinator)` makes it recall, and proxies
        that join within `rejoin` s."""
        self.lives += 1
        self.due, self.channel = None, self.now
        self.coordinator = Coordinator(self.settings(), self.seed + self.lives, self.now)
        self.coordinator.report(self.now, "list_news", form="restored", entries=self.entries())
        if recall:
            recall(self.coordinator)
        self._turn()
        for proxy in self.proxies:
            delay = int(self.random.random() * rejoin * SECOND) // BATCH * BATCH
            self.at(self.now + delay, self._join, self.lives, proxy)

    def kill(self):
        """Its orders that are under way, and its reports, are lost; every proxy goes on with what it
        holds."""
        self.coordinator = None
        for proxy in self.proxies:
            proxy.joined = False

    def _join(self, life, proxy):
        if life == self.lives and self.coordinator is not None:
            proxy.joined = True
            self.coordinator.report(
                self.now,
                "joined",
                proxy=proxy.number,
                zone=proxy.zone,
                standing=life == 1,
                rate=self.rate / len(self.proxies),
            )
            self._soon()

    def _soon(self):
        """What arrives within a short time is one turn."""
        if not self.incoming:
            self.incoming.append(True)
            self.at(self.now, self._end_soon, self.lives)

    def _end_soon(self, life):
        self.incoming.clear()
        if life == self.lives and self.coordinator is not None:
            self._turn()

    def _turn(self):
        coordinator = self.coordinator
        due = coordinator.tick(self.now)
        for party in coordinator.parties():
            while (order := coordinator.pick(party)) is not None:
                if party == PROBES:
                    self._probe(self.lives, order)
                elif party == REMARKS:
                    self.faults.append(order)
                elif party not in (GONE, PEERS):
                    self._send(self.proxies[party], order)
        if due is not None and (self.due is None or due < self.due or self.due <= self.now):
            self.due = due
            self.at(max(due, self.now + 1), self._wake, self.lives)

    def _wake(self, life):
        if life == self.lives and self.coordinator is not None:
            self._turn()

    def _send(self, proxy, order):
        lines = (
            2
            + sum(len(lines) + whole for _, whole, lines in order["tables"])
            + len(order["levels"])
            + len(order["out"])
            + len(order["back"])
        )
        self.channel = max(self.channel, self.now) + int(SECOND * lines / self.settings_pace())
        at = self.channel + int(self.setup.channel.delay_ms * MILLISECOND)
        self.at(-(-at // BATCH) * BATCH, self._applied, self.lives, proxy, order, self.now)

    def settings_pace(self):
        return len(self.backends) * len(self.proxies) / self.setup.channel.binding_s

    def _applied(self, life, proxy, order, sent):
        if life != self.lives or self.coordinator is None or not proxy.joined:
            return
        proxy.apply(order)
        if order["mark"] is not None:
            self.at(self.now + APPLY, self._answer, life, proxy.number, order["mark"], self.now - sent)

    def _answer(self, life, number, mark, took):
        if life == self.lives and self.coordinator is not None:
            self.coordinator.report(self.now, "applied", proxy=number, serial=mark, took=took)
            self._soon()

    # What is looked at

    def table(self, zone):
        """{backend: share} of the coordinator's table for a zone; empty where there is none."""
        held = self.coordinator.planner.subsets.tables.get(zone, ()) if self.coordinator else ()
        lines = {
            name: weight for table in held for name, weight in self.coordinator.tables.get(table, {}).items()
        }
        total = sum(lines.values())
        return {name: weight / total for name, weight in lines.items()} if total else {}

    def service(self, first, last):
        """{class: shares of (in time, late, failed, refused), asked} of those who asked in these seconds."""
        found = {}
        for name in self.names:
            rows = [row for second in range(first, last) if (row := self.served.get((second, name)))]
            asked, *outcomes = (sum(column) for column in zip(*rows)) if rows else (0, 0, 0, 0, 0)
            found[name] = {
                "asked": asked,
                **{
                    what: count / asked if asked else 0.0
                    for what, count in zip(("in_time", "late", "failed", "refused"), outcomes)
                },
            }
        return found
