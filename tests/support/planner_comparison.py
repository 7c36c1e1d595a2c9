"""Two coordinators that are told the same: one on the planner, one on its plain reference.

What their planners order of their hosts must be the same, call by call, and so must what they count.
"""

from random import Random
from unittest.mock import patch

from reference.adapter import ReferencePlanner

from granitespool.coordinator import Coordinator
from granitespool.outgoing import HealthCheckRequest, ProxyUpdate, Queue
from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    HealthCheckOutcome,
    HealthCheckResult,
    ListForm,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    UsageReport,
)
from support.records import endpoint, settings_of

SECOND = 10**9  # ns
TURN = SECOND // 10
ACTIONS = (
    "set_entry",
    "assign",
    "exclude",
    "set_admission",
    "request_acknowledgement",
    "check_health",
    "remove_backend",
    "set_timer",
    "subscribe",
)
COMPARED = {  # of the reference -> (part of the planner, attribute)
    "credit": ("budget", "tokens"),
    "strained": ("overload", "is_overloaded"),
    "room": ("overload", "admitted_share"),
    "through": ("overload", "success_ratio"),
    "short": ("budget", "is_mandatory_waiting"),
    "later": ("publisher", "has_deferred"),
    "lag": ("inspection", "acknowledgement_latency"),
    "next_flush": ("publisher", "next_message_at"),
    "next_alarm": ("publisher", "next_complete_pass_at"),
    "shut_at": ("exclusion", "exclusions_sent_at"),
}


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


for _name in ACTIONS:
    setattr(Recorder, _name, _recorded(_name))


class PlannerComparison:
    """A drawn fleet; `check` compares the two after each turn."""

    def __init__(self, seed, backends, zones, proxies, pace, **more):
        self.random, self.now = Random(seed), 100 * SECOND
        self.zones = [f"z{k}" for k in range(zones)]
        self.settings = {
            "zones": self.zones,
            "health_checks_allowed": bool(seed % 2),
            "entries_per_s": pace,
            "backlog_limit": 4 * pace,
            "message_header": 3.0,
            "bootstrap_entries": 5,
            "drain_grace": 7 * SECOND,
            "warm_up_time": 5 * SECOND,
            "warm_up_start_share": 0.2,
            "overload_multiple": 4.0,
            "coordinators": 3,
            "proxies_expected": 3 * proxies,
            "messages_limit": 40,
            "messages_span": 10 * SECOND,
            "admission": "fraction",
            "removal_needs_drain": seed % 3 == 0,
            "default_retries": seed % 2,
            "classes": [
                {"name": "a", "latency_objective": SECOND // 4, "priority_weight": 1.0},
                {"name": "b", "latency_objective": SECOND, "priority_weight": 5.0},
            ],
            **more,
        }
        self.changed = Recorder(settings_of(self.settings), seed, self.now)
        with patch("granitespool.coordinator.Planner", ReferencePlanner):
            self.reference = Recorder(settings_of(self.settings), seed, self.now)
        self.both = self.changed, self.reference
        self.names, self.proxies, self.answers, self.ordered = 0, {}, [], 0
        self.entries, self.mean, self.failing = {}, 40_000_000, {}
        for _ in range(backends):
            self.new_backend()
        self.list("restored", list(self.entries.values()))
        for proxy in range(proxies):
            self.join(proxy)

    def report(self, event):
        for each in self.both:
            each.report(self.now, event)

    def list(self, form, entries):
        self.report(EndpointListUpdate(form=ListForm(form), entries=[endpoint(**each) for each in entries]))

    def new_backend(self, started=0):
        self.names += 1
        name = f"s{self.names}"
        self.entries[name] = {
            "name": name,
            "zone": self.random.choice(self.zones),
            "machine_type": f"m{self.names % 3}",
            "phase": "ready",
            "weight": self.random.choice((1.0, 1.0, 2.0)),
            "started_at": started,
        }
        return self.entries[name]

    def join(self, proxy):
        self.proxies[proxy] = self.random.choice(self.zones)
        self.report(
            ProxyJoined(
                proxy=proxy,
                zone=self.proxies[proxy],
                bootstrap=self.random.random() < 0.5,
                rate=self.random.random() * 10,
            ),
        )

    def leave(self, proxy):
        del self.proxies[proxy]
        self.answers = [each for each in self.answers if each[1] != proxy]
        self.report(ProxyLeft(proxy=proxy))

    def turn(self):
        """One turn of both, compared; then marks are answered, and probes, after a while."""
        self.now += TURN
        due, self.answers = (
            [each for each in self.answers if each[0] <= self.now],
            [each for each in self.answers if each[0] > self.now],
        )
        for _, proxy, mark, took in due:
            self.report(Acknowledged(proxy=proxy, sequence=mark, latency=took))
        for each in self.both:
            each.tick(self.now)
        self.check()
        for party in self.changed.recipients():
            orders = [each.next_message(party) for each in self.both]
            while isinstance(party, Queue) and orders[0] is not None:
                if isinstance(orders[0], HealthCheckRequest):
                    self._probed(orders[0].backend)
                orders = [each.next_message(party) for each in self.both]
            if party in self.proxies and isinstance(orders[0], ProxyUpdate):
                took = self.random.randint(TURN, 12 * TURN)
                self.answers.append((self.now + took, party, orders[0].barrier, took))

    def _probed(self, backend):
        dead = self.failing.get(backend, 0.0) >= 1.0 and self.random.random() < 0.5
        status = "timeout" if dead else self.random.choice(("ok", "ok", "ok", "full", "error"))
        self.report(
            HealthCheckResult(
                backend=backend, outcome=HealthCheckOutcome(status), latency=SECOND // 100, load={}
            )
        )

    def check(self):
        changed, reference = self.both
        assert not changed.queues[Queue.INTERNAL_ERRORS], changed.queues[Queue.INTERNAL_ERRORS][0]
        assert not reference.queues[Queue.INTERNAL_ERRORS], reference.queues[Queue.INTERNAL_ERRORS][0]
        assert changed.calls == reference.calls, first_difference(changed.calls, reference.calls)
        self.ordered += len(changed.calls)
        for name, (part, attribute) in COMPARED.items():
            value = getattr(getattr(changed.planner, part), attribute)
            assert value == getattr(reference.planner.former, name), name
        assert changed.planner.in_flight.in_flight == reference.planner.former.channel.waiting
        assert list(changed.planner.fleet.backends) == list(reference.planner.former.backends)
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
                    LoadReport(
                        zone=zone,
                        backend=name,
                        attempts=tries,
                        failures=lost,
                        mean=mean,
                        window=SECOND,
                        load={},
                    ),
                )
        for grade in ("a", "b"):
            self.report(UsageReport(proxy=0, request_class=grade, requests=50, unanswered=0, window=SECOND))

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
                entry.update(phase="ready", started_at=self.now)
            elif what == 3:
                entry = self.new_backend(self.now)
            elif what == 4:
                entry["weight"] = self.random.choice((0.5, 1.0, 3.0))
            elif what == 5:
                entry["machine_type"] = f"m{self.random.randrange(4)}"
            elif what == 6:
                entry["zone"] = self.random.choice(self.zones)
            else:
                entry["phase"] = "ready"
            self.entries[entry["name"]] = entry
            entries.append(entry)
            if entry["phase"] == "gone" and len(self.entries) > 3 and self.random.random() < 0.7:
                del self.entries[entry["name"]]
        self.list("changes", entries)

    def lose(self, names):
        """These are gone by the list."""
        gone = [{**self.entries.pop(name), "phase": "gone"} for name in names]
        self.list("changes", gone)

    def restart(self, name):
        """A backend starts anew, cold."""
        entry = self.entries[name] = {**self.entries[name], "phase": "ready", "started_at": self.now}
        self.list("changes", [entry])

    def whole_list(self):
        """A whole list, which may leave some out."""
        left_out = self.random.random() < 0.3 and self.random.choice(list(self.entries))
        if left_out and len(self.entries) > 3:
            del self.entries[left_out]
        self.list("complete", list(self.entries.values()))

    def apply_settings(self, **changes):
        self.settings = {**self.settings, **changes}
        for each in self.both:
            each.apply_settings(self.now, settings_of(self.settings))

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
            self.apply_settings(
                warm_up_time=self.random.choice((0, 1, 5, 20)) * SECOND,
                default_retries=self.random.randrange(2),
                entries_per_s=self.settings["entries_per_s"] * self.random.choice((0.5, 1.0, 2.0)),
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
