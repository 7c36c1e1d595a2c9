"""Plays one scenario: a planner on a host that notes what is asked; tests/README.md has the notation."""

from support.records import endpoint, settings_of

from granitespool.coordinator import Coordinator
from granitespool.outgoing import Queue
from granitespool.planner import events
from granitespool.planner.planner import Planner
from granitespool.planner.records import MinimumRtt
from granitespool.planner.status import BackendSnapshot, FleetSnapshot, LinkSnapshot

NOTATION = {  # the planner's actions -> the scenarios' words for them
    "set_entry": "weigh",
    "assign": "bind",
    "exclude": "withdraw",
    "set_admission": "level",
    "request_acknowledgement": "mark",
    "check_health": "probe",
    "subscribe": "observe",
    "send_gossip": "post",
    "log": "remark",
    "reset_table": "reset_table",
    "forget": "forget",
}
ACTIONS = {word: action for action, word in NOTATION.items()}
FORMS = {"whole": events.ListForm.COMPLETE}
EVENTS = {  # the scenarios' words for events -> how one is made of the words that follow
    "heard": lambda *words: events.LoadReport(*words, load={}),
    "arrivals": events.UsageReport,
    "joined": events.ProxyJoined,
    "left": events.ProxyLeft,
    "applied": events.Acknowledged,
    "probed": lambda backend, outcome, latency: events.HealthCheckResult(
        backend, events.HealthCheckOutcome(outcome), latency, {}
    ),
    "peer_said": events.GossipReceived,
    "slice_given": events.SliceAssigned,
    "slice_line": events.SliceEntry,
    "slice_load": events.SliceLoad,
}
UNITS = {"ms": 1_000_000, "us": 1_000, "s": 1_000_000_000}


def value(word):
    """2s and 5ms are times, true and false flags, the rest numbers or words."""
    if word in ("true", "false"):
        return word == "true"
    for unit, size in UNITS.items():
        if word.endswith(unit) and word[: -len(unit)].replace(".", "").isdigit():
            return round(float(word[: -len(unit)]) * size)
    try:
        return int(word) if word.lstrip("-").isdigit() else float(word)
    except ValueError:
        return word


class Stage:
    """A host that notes each call as a line of text and keeps the timers."""

    def __init__(self):
        self.now, self.calls, self.timers, self.order = 0, [], [], iter(range(10**9))
        self.settings, self.planner = {"zones": ["n", "s"], "classes": []}, None

    def __getattr__(self, name):  # any action
        word = NOTATION[name]
        return lambda *args: self.calls.append(
            " ".join([word, *(f"{a:g}" if isinstance(a, float) else str(a) for a in args)])
        )

    def set_admission(self, table, classes, share, retries):
        """Noted once for each class that it names: what each is let in, however classes are grouped."""
        for position in range(classes.bit_length()):
            if classes >> position & 1:
                self.calls.append(f"level {table} {1 << position} {share:g} {retries}")

    def exclusion_cost(self, backend, excluded, unassigned, known):  # as the simulator's channel has it
        return {proxy: min(held, known) / known for proxy, (held, _) in unassigned.items()}

    def readmission_cost(self, proxies, table, backend=None):
        return {}

    def set_timer(self, delay, cookie):
        assert delay >= 0
        self.timers.append((self.now + delay, next(self.order), cookie))

    def begin(self):
        self.planner = self.planner or Planner(self, self.now, 1, settings_of(self.settings))
        return self.planner

    def report(self, event):
        self.begin().handle(self.now, event)

    def play(self, line):
        verb, *words = line.split()
        getattr(self, "do_" + verb)(*words)

    def end(self):
        """Gives back what the scenario opened."""

    def do_set(self, *pairs):
        self.settings.update((k, value(v)) for k, v in (pair.split("=") for pair in pairs))

    def do_class(self, name, effect, promised, benefit):
        self.settings["classes"].append(
            {
                "name": name,
                "effect": effect,
                "latency_objective": value(promised),
                "timeout": 3 * value(promised),
                "priority_weight": value(benefit),
            }
        )

    def do_at(self, when):
        self.begin()
        self.calls.clear()
        end = value(when)
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.planner.on_timer(self.now, due[0][2])
        self.now = end

    def do_list(self, form, *entries):
        rows = []
        for entry in entries:  # id:zone[:weight[:phase[:started]]]
            usual = ["1", "ready", "0"][entry.count(":") - 1 :]
            name, zone, weight, phase, started = (entry.split(":") + usual)[:5]
            rows.append(endpoint(name, zone, phase=phase, weight=value(weight), started_at=value(started)))
        form = FORMS.get(form) or events.ListForm(form)
        self.report(events.EndpointListUpdate(form, rows))

    def do_join(self, proxy, zone):
        self.report(events.ProxyJoined(int(proxy), zone, True, 5.0))

    def do_recalls(self, *words):  # ZONE/ID/TRIES/FAILED/MEAN[/cut], unproven/ID, strained/ROOM/CLASS=N
        fleet = FleetSnapshot(is_overloaded=False, admitted_share=1.0, success_ratio=1.0, demand={})
        links, unverified = {}, set()
        for word in words:
            kind, *rest = word.split("/")
            if kind == "strained":
                demand = {name: value(number) for name, number in (pair.split("=") for pair in rest[1:])}
                fleet = FleetSnapshot(
                    is_overloaded=True, admitted_share=float(rest[0]), success_ratio=1.0, demand=demand
                )
            elif kind == "unproven":
                links.setdefault(rest[0], {})
                unverified.add(rest[0])
            else:
                links.setdefault(rest[0], {})[kind] = self.link_snapshot(*rest[1:])
        backends = {name: self.backend_snapshot(name not in unverified, links[name]) for name in links}
        self.report(events.Restored(fleet, backends))

    def link_snapshot(self, tries, failed, mean, *more):
        attempts, failures, rtt = value(tries), value(failed), value(mean)
        return LinkSnapshot(
            attempts=float(attempts),
            failures=float(failures),
            successes=float(attempts - failures),
            response_time=float((attempts - failures) * rtt),
            minimum_rtt=MinimumRtt(self.now, rtt) if rtt else None,
            overloaded_reports=0,
            consecutive_failures=0,
            ejected_at=self.now - 10**9 if "cut" in more else None,
            slow_start_since=None,
        )

    @staticmethod
    def backend_snapshot(verified, links):
        return BackendSnapshot(
            phase="ready",
            zone=None,
            machine_type=None,
            configured_weight=1.0,
            started_at=0,
            left_ready_at=0,
            slow_start_since=None,
            verified=verified,
            removal_unconfirmed=False,
            links=links,
        )

    def do_crowd(self, number, zone):
        for proxy in range(int(number)):
            self.do_join(proxy, zone)

    def do_left(self, proxy):
        self.report(events.ProxyLeft(int(proxy)))

    def do_heard(self, zone, backend, tries, failed, mean):
        self.report(events.LoadReport(zone, backend, int(tries), int(failed), value(mean), 10**9, {}))

    def do_steady(self, until, *reports):  # the same reports each second: zone/backend/tries/failed/mean
        while self.now + 10**9 <= value(until):
            kept = list(self.calls)
            self.do_at(f"{self.now // 10**9 + 1}s")
            self.calls[:0] = kept
            for report in reports:
                self.do_heard(*report.split("/"))

    def do_call(self, method, *words):  # reports and probes end with a load, here always empty
        self.report(EVENTS[method](*map(value, words)))

    def do_answer(self, proxy):  # the proxy answers the last mark it was sent
        marks = [call.split()[1] for call in self.calls if call.startswith("mark")]
        self.report(events.Acknowledged(int(proxy), int(marks[-1]), 10**8))

    def made(self, words):
        text = " ".join(words)
        return [call for call in self.calls if call == text or call.startswith(text + " ")]

    def do_expect(self, *words):
        assert self.made(words), (words, self.calls)

    def do_never(self, *words):
        assert not self.made(words), self.calls

    def do_count(self, number, *words):
        text = " ".join(words)
        assert sum(call.startswith(text) for call in self.calls) == int(number), self.calls


class Desk(Stage):
    """A facade and its planner; `host` speaks for the planner, `gets` shows what a proxy would be written."""

    def begin(self):
        if not self.planner:
            self.facade = Coordinator(settings_of(self.settings), 1, self.now)
            self.planner = self.facade.planner
        return self

    def report(self, event):
        self.begin().facade.report(self.now, event)

    def do_at(self, when):
        self.begin()
        end = value(when)
        while (due := self.facade.tick(self.now)) is not None and due <= end:
            self.now = due
        self.now = end

    def end(self):
        errors = self.facade.queues[Queue.INTERNAL_ERRORS]
        assert not errors, errors

    def do_host(self, call, *words):
        getattr(self.begin().facade, ACTIONS[call])(*map(value, words))

    def do_gets(self, proxy, *words):
        self.facade.tick(self.now)
        order = self.facade.pick(int(proxy))
        assert self.text(order) == " ".join(words), self.text(order)

    @staticmethod
    def text(order):
        if not order:
            return "nothing"
        parts = [
            " ".join(
                [
                    "whole" if whole else "lines",
                    *([",".join(classes)] if classes is not None else []),
                    *(f"{b}={w:g}" for b, w in entries.items()),
                ]
            )
            for classes, whole, entries in order.tables
        ]
        parts += [
            f"level {','.join(classes) if classes is not None else 'all'} {share:g} {retries}"
            for classes, share, retries in order.levels
        ]
        exclusions = {"out": order.excluded, "back": order.readmitted}
        parts += [f"{key} {' '.join(names)}" for key, names in exclusions.items() if names]
        return " | ".join([*parts, *(["mark"] if order.barrier is not None else [])])
