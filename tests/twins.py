"""Two coordinators that are told the same: one on the planner, one on its plain reference.

What their planners order of their hosts must be the same, call by call, and so must what they count.
"""

from random import Random
from unittest.mock import patch

from reference.planner import Planner as ReferencePlanner

from granitespool.facade import GONE, PEERS, PROBES, REMARKS, Coordinator

SECOND = 10**9  # ns
TURN = SECOND // 10
HOST_CALLS = "weigh", "bind", "withdraw", "level", "mark", "probe", "forget", "wake", "observe"
FIGURES = (
    "credit",
    "strained",
    "room",
    "through",
    "short",
    "later",
    "lag",
    "next_flush",
    "next_alarm",
    "shut_at",
)


class Recorder(Coordinator):
    """A coordinator that writes down what its planner orders."""

    def __init__(self, settings, seed, now):
        self.calls = []
        super().__init__(settings, seed, now)


def _recorded(name):
    def call(self, *words):
        self.calls.append((name, *words))
        return getattr(Coordinator, name)(self, *words)

    return call


for _name in HOST_CALLS:
    setattr(Recorder, _name, _recorded(_name))


class Twins:
    """A drawn fleet; `check` compares the two after each turn."""

    def __init__(self, seed, backends, zones, proxies, pace, **more):
        self.random, self.now = Random(seed), 100 * SECOND
        self.zones = [f"z{k}" for k in range(zones)]
        self.settings = {
            "zones": self.zones,
            "probes": bool(seed % 2),
            "lines_per_s": pace,
            "backlog_limit": 4 * pace,
            "message_head": 3.0,
            "standing_lines": 5,
            "drain_grace": 7 * SECOND,
            "cold_time": 5 * SECOND,
            "cold_share": 0.2,
            "fall_multiple": 4.0,
            "planners": 3,
            "proxies_expected": 3 * proxies,
            "messages_limit": 40,
            "messages_span": 10 * SECOND,
            "admission": "fraction",
            "drain_needs_entry": seed % 3 == 0,
            "usual_retry": seed % 2,
            "classes": [
                {"name": "a", "promised_time": SECOND // 4, "benefit": 1.0},
                {"name": "b", "promised_time": SECOND, "benefit": 5.0},
            ],
            **more,
        }
        self.changed = Recorder(self.settings, seed, self.now)
        with patch("granitespool.facade.Planner", ReferencePlanner):
            self.reference = Recorder(self.settings, seed, self.now)
        self.both = self.changed, self.reference
        self.names, self.proxies, self.answers, self.ordered = 0, {}, [], 0
        self.entries, self.mean, self.failing = {}, 40_000_000, {}
        for _ in range(backends):
            self.new_backend()
        self.report("list_news", form="restored", entries=list(self.entries.values()))
        for proxy in range(proxies):
            self.join(proxy)

    def report(self, what, **met):
        for each in self.both:
            each.report(self.now, what, **met)

    def new_backend(self, started=0):
        self.names += 1
        name = f"s{self.names}"
        self.entries[name] = {
            "backend": name,
            "zone": self.random.choice(self.zones),
            "kind": f"m{self.names % 3}",
            "cell": 0,
            "phase": "ready",
            "weight": self.random.choice((1.0, 1.0, 2.0)),
            "started": started,
        }
        return self.entries[name]

    def join(self, proxy):
        self.proxies[proxy] = self.random.choice(self.zones)
        self.report(
            "joined",
            proxy=proxy,
            zone=self.proxies[proxy],
            standing=self.random.random() < 0.5,
            rate=self.random.random() * 10,
        )

    def leave(self, proxy):
        del self.proxies[proxy]
        self.answers = [each for each in self.answers if each[1] != proxy]
        self.report("left", proxy=proxy)

    def turn(self):
        """One turn of both, compared; then marks are answered, and probes, after a while."""
        self.now += TURN
        due, self.answers = (
            [each for each in self.answers if each[0] <= self.now],
            [each for each in self.answers if each[0] > self.now],
        )
        for _, proxy, mark, took in due:
            self.report("applied", proxy=proxy, serial=mark, took=took)
        for each in self.both:
            each.tick(self.now)
        self.check()
        for party in self.changed.parties():
            orders = [each.pick(party) for each in self.both]
            while party in (PROBES, PEERS, GONE) and orders[0] is not None:
                if party == PROBES:
                    self._probed(orders[0])
                orders = [each.pick(party) for each in self.both]
            if party in self.proxies and orders[0] is not None:
                took = self.random.randint(TURN, 12 * TURN)
                self.answers.append((self.now + took, party, orders[0]["mark"], took))

    def _probed(self, backend):
        dead = self.failing.get(backend, 0.0) >= 1.0 and self.random.random() < 0.5
        status = "timeout" if dead else self.random.choice(("ok", "ok", "ok", "full", "error"))
        self.report("probed", backend=backend, status=status, took=SECOND // 100, load={})

    def check(self):
        changed, reference = self.both
        assert not changed.queues[REMARKS], changed.queues[REMARKS][0]
        assert not reference.queues[REMARKS], reference.queues[REMARKS][0]
        assert changed.calls == reference.calls, first_difference(changed.calls, reference.calls)
        self.ordered += len(changed.calls)
        for name in FIGURES:
            assert getattr(changed.planner, name) == getattr(reference.planner, name), name
        assert changed.planner.channel.waiting == reference.planner.channel.waiting
        assert list(changed.planner.backends) == list(reference.planner.backends)
        for each in self.both:
            each.calls.clear()

    def hear(self, share, scale=1.0, failed=0.0, but=None, zones=None):
        """Reports of some links, of these zones and of none of one backend; a failing backend's tries fail,
        the others' by chance."""
        for name in self.entries:
            for zone in zones or self.zones:
                if self.random.random() >= share or name == but:
                    continue
                tries = self.random.randint(1, 12)
                part = max(failed, self.failing.get(name, 0.0))
                lost = sum(self.random.random() < part for _ in range(tries))
                mean = int(self.mean * scale * self.random.uniform(0.6, 1.6)) if lost < tries else 0
                self.report(
                    "heard",
                    zone=zone,
                    backend=name,
                    tries=tries,
                    failed=lost,
                    mean=mean,
                    window=SECOND,
                    load={},
                )
        for grade in ("a", "b"):
            self.report("arrivals", proxy=0, grade=grade, number=50, unanswered=0, window=SECOND)

    def list_changes(self, count):
        """Drawn changes of the list: drains, ends, restarts, new ones, other weights, kinds and zones."""
        entries = []
        for _ in range(count):
            what = self.random.randrange(8)
            name = self.random.choice(list(self.entries))
            entry = {**self.entries[name]}
            if what == 0:
                entry["phase"] = "draining"
            elif what == 1:
                entry["phase"] = "gone"
            elif what == 2:
                entry.update(phase="ready", started=self.now)
            elif what == 3:
                entry = self.new_backend(self.now)
            elif what == 4:
                entry["weight"] = self.random.choice((0.5, 1.0, 3.0))
            elif what == 5:
                entry["kind"] = f"m{self.random.randrange(4)}"
            elif what == 6:
                entry["zone"] = self.random.choice(self.zones)
            else:
                entry["phase"] = "ready"
            self.entries[entry["backend"]] = entry
            entries.append(entry)
            if entry["phase"] == "gone" and len(self.entries) > 3 and self.random.random() < 0.7:
                del self.entries[entry["backend"]]
        self.report("list_news", form="changes", entries=entries)

    def lose(self, names):
        """These are gone by the list."""
        gone = [{**self.entries.pop(name), "phase": "gone"} for name in names]
        self.report("list_news", form="changes", entries=gone)

    def restart(self, name):
        """A backend starts anew, cold."""
        entry = self.entries[name] = {**self.entries[name], "phase": "ready", "started": self.now}
        self.report("list_news", form="changes", entries=[entry])

    def whole_list(self):
        """A whole list, which may leave some out."""
        left_out = self.random.random() < 0.3 and self.random.choice(list(self.entries))
        if left_out and len(self.entries) > 3:
            del self.entries[left_out]
        self.report("list_news", form="whole", entries=list(self.entries.values()))

    def new_settings(self, **changes):
        self.settings = {**self.settings, **changes}
        for each in self.both:
            each.new_settings(self.now, self.settings)

    def event(self):
        """Something drawn happens."""
        what = self.random.randrange(13)
        some = self.random.choice(list(self.entries))
        if what <= 2:
            self.hear(self.random.choice((0.02, 0.3, 1.0)))
        elif what == 3:
            self.hear(0.5, scale=self.random.choice((1.0, 12.0)))
        elif what == 4:
            self.hear(0.3, failed=0.6)
        elif what == 5:
            self.failing[some] = self.random.choice((0.0, 0.5, 1.0))
            self.hear(0.4)
        elif what == 6:
            self.failing.clear()
        elif what in (7, 8):
            self.list_changes(self.random.choice((1, 1, 2, 8)))
        elif what == 9:
            self.whole_list()
        elif what == 10:
            self.join(self.random.randrange(len(self.proxies) + 5))
        elif what == 11 and len(self.proxies) > 1:
            self.leave(self.random.choice(list(self.proxies)))
        elif what == 12:
            self.new_settings(
                cold_time=self.random.choice((0, 1, 5, 20)) * SECOND,
                usual_retry=self.random.randrange(2),
                lines_per_s=self.settings["lines_per_s"] * self.random.choice((0.5, 1.0, 2.0)),
            )

    def run(self, turns):
        for _ in range(turns):
            self.turn()


def first_difference(one, other):
    for number, (mine, theirs) in enumerate(zip(one, other)):
        if mine != theirs:
            return f"call {number}: {mine} and by the reference {theirs}"
    longer = one if len(one) > len(other) else other
    return f"{len(one)} calls and {len(other)} by the reference, such as {longer[min(len(one), len(other))]}"
