"""A channel that counts what is really written, by the protocol page's words, and plays it at its pace.

Stand-in proxies hang on one real Coordinator. What each is written is counted frame by frame as it would go
out, and leaves the channel in order at the pace that the channel has in truth, which may be slower than told.
After each turn what really waits must be no more than what is booked, and no more than the limit."""

from collections import deque

import orjson
from support.records import endpoint, settings_of

from granitespool.coordinator import REMARKS, Coordinator
from granitespool.net.frames import HEAD, updates

SECOND = 10**9  # ns
TURN = SECOND // 20


def lines_of(data):
    """Lines of one message (every line, backend shut out or let back, level, mark and `whole`); its parts."""
    lines = parts = 0
    while data:
        size = int.from_bytes(data[:HEAD], "little")
        part, data = orjson.loads(data[HEAD : HEAD + size]), data[HEAD + size :]
        lines += sum(len(part.get(key, ())) for key in ("lines", "out", "back"))
        lines += sum(key in part for key in ("whole", "level", "ticket"))
        parts += 1
    return lines, parts


class Storm:
    def __init__(self, backends, zones, planners=1, slowed=1.0, **settings):
        self.now, self.slowed, self.due = 100 * SECOND, slowed, None
        self.settings = {
            "zones": [f"z{k}" for k in range(zones)],
            "health_checks_allowed": False,
            "entries_per_s": 1000.0,
            "backlog_limit": 5000.0,
            "message_header": 3.0,
            "bootstrap_entries": 5,
            "drain_grace": 7 * SECOND,
            "warm_up_time": 10 * SECOND,
            "warm_up_start_share": 0.2,
            "coordinators": planners,
            "admission": "fraction",
            "classes": [
                {"name": "a", "latency_objective": SECOND, "priority_weight": 1.0},
                {"name": "b", "latency_objective": SECOND, "priority_weight": 5.0},
            ],
            **settings,
        }
        self.coordinator = Coordinator(settings_of(self.settings), 7, self.now)
        self.queue, self.free_at, self.waits = deque(), 0.0, 0  # (leaves at, lines, proxy, mark, written at)
        self.joined, self.holds, self.most, self.answers = {}, {}, 0.0, True
        self.names, self.zones, self.means = 0, zones, {}
        self.ready = [self._name() for _ in range(backends)]
        self.lists("restored", [(name, "ready", 0) for name in self.ready])

    def _name(self):
        self.names += 1
        return f"s{self.names}"

    def zone(self, name):
        return f"z{int(name[1:]) % self.zones}"

    def lists(self, form, entries):
        self.coordinator.report(
            self.now,
            "list_news",
            form=form,
            entries=[
                endpoint(name, self.zone(name), "k", phase, started_at=started)
                for name, phase, started in entries
            ],
        )

    def release(self, count, renamed=True):
        """So many backends are replaced: the old ones drain; or they come back under their names, cold."""
        old, self.ready = self.ready[:count], self.ready[count:]
        new = [self._name() for _ in old] if renamed else old
        self.lists("changes", [(name, "draining", 0) for name in old])
        if not renamed:
            self.turn()
        self.lists("changes", [(name, "ready", self.now) for name in new])
        self.ready += new

    def gone(self, names):
        self.lists("changes", [(name, "gone", 0) for name in names])

    def join(self, proxy, standing=True, again=False):
        if proxy in self.joined:
            self.leave(proxy)
        self.joined[proxy] = f"z{proxy % self.zones}"
        self.coordinator.report(
            self.now, "joined", proxy=proxy, zone=self.joined[proxy], standing=standing, rate=5.0
        )

    def leave(self, proxy):
        """Its stream breaks: what waits for it has left the channel, whether that was noticed or not."""
        self.queue = deque(each for each in self.queue if each[2] != proxy)
        self.waits = sum(each[1] for each in self.queue)
        del self.joined[proxy]
        self.holds.pop(proxy, None)
        self.coordinator.report(self.now, "left", proxy=proxy)

    def hear(self, mean, failed=0.0, tries=20):
        """What all met: at each backend this mean, or its own of `means`."""
        for number, name in enumerate(self.ready):
            for zone in set(self.joined.values()):
                self.coordinator.report(
                    self.now,
                    "heard",
                    zone=zone,
                    backend=name,
                    tries=tries,
                    failed=int(failed * tries),
                    mean=self.means[number] if mean is None else mean,
                    window=SECOND,
                    load={},
                )
        for kind in ("a", "b"):
            self.coordinator.report(
                self.now,
                "arrivals",
                proxy=0,
                grade=kind,
                number=tries * len(self.ready),
                unanswered=0,
                window=SECOND,
            )

    def turn(self, ahead=TURN):
        """Ends the turn, writes, and lets the channel run for a while."""
        self.due = self.coordinator.tick(self.now)
        for proxy in list(self.coordinator.waiting):
            order = self.coordinator.pick(proxy)
            lines, parts = lines_of(updates(order))
            assert parts <= 64
            lines += self.settings["message_header"]
            pace = self.settings["entries_per_s"] / self.slowed / SECOND
            self.free_at = max(self.free_at, self.now) + lines / pace
            self.queue.append((self.free_at, lines, proxy, order["mark"], self.now))
            self.waits += lines
            self._held(proxy, order)
        booked = self.coordinator.planner.in_flight.in_flight
        assert not self.coordinator.queues[REMARKS], self.coordinator.queues[REMARKS][0]
        assert self.waits <= booked + 1e-6, f"{self.waits} lines wait and {booked} are booked"
        assert self.waits <= self.settings["backlog_limit"], f"{self.waits} lines wait"
        self.most = max(self.most, self.waits / self.settings["backlog_limit"])
        self.now += ahead
        while self.queue and self.queue[0][0] <= self.now:
            _, lines, proxy, mark, since = self.queue.popleft()
            self.waits -= lines
            if self.answers and mark is not None:
                self.coordinator.report(self.now, "applied", proxy=proxy, serial=mark, took=self.now - since)

    def _held(self, proxy, order):
        """The table that a proxy holds once it has applied what is on its way; and what it shuts out."""
        table, out = self.holds.setdefault(proxy, ({}, set()))
        for _, whole, lines in order["tables"]:
            if whole:
                table.clear()
            table.update(lines)
        for name in [name for name, weight in table.items() if not weight]:
            del table[name]
        out |= set(order["out"])
        out -= set(order["back"])

    def run(self, seconds):
        end = self.now + seconds * SECOND
        while self.now < end:
            self.turn()
