"""Compares a coordinator with the planner to one with the reference planner on the same events.

The actions of both planners must be equal, call by call, and so must their counters.
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
TURN = SECOND // 10  # ns
ACTIONS = (
    "set_entry",
    "assign",
    "assign_part",
    "complete_table",
    "extend_part",
    "exclude",
    "exclude_for",
    "end_exclusion",
    "set_admission",
    "request_acknowledgement",
    "check_health",
    "remove_backend",
    "set_timer",
    "subscribe",
)
COMPARED = {  # attribute of the reference -> (component of the planner, attribute)
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


class RecordingCoordinator(Coordinator):
    """A coordinator that records the actions of its planner."""

    def __init__(self, settings, seed, now):
        self.calls = []
        super().__init__(settings, seed, now)


def _recorded(name):
    def call(self, *arguments):
        self.calls.append((name, *arguments))
        return getattr(Coordinator, name)(self, *arguments)

    return call


for _name in ACTIONS:
    setattr(RecordingCoordinator, _name, _recorded(_name))


class PlannerComparison:
    """A random fleet before two coordinators, which `check` compares after each turn."""

    def __init__(self, seed, backends, zones, proxies, entries_per_s, **more):
        self.random, self.now = Random(seed), 100 * SECOND
        self.zones = [f"z{k}" for k in range(zones)]
        self.settings = {
            "zones": self.zones,
            "health_checks_allowed": bool(seed % 2),
            "entries_per_s": entries_per_s,
            "backlog_limit": 4 * entries_per_s,
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
        self.coordinator = RecordingCoordinator(settings_of(self.settings), seed, self.now)
        with patch("granitespool.coordinator.Planner", ReferencePlanner):
            self.reference = RecordingCoordinator(settings_of(self.settings), seed, self.now)
        self.coordinators = self.coordinator, self.reference
        self.backends_created, self.proxies, self.pending_acknowledgements, self.action_count = 0, {}, [], 0
        self.entries, self.mean, self.failing = {}, 40_000_000, {}
        for _ in range(backends):
            self.new_backend()
        self.send_list("restored", list(self.entries.values()))
        for proxy in range(proxies):
            self.join(proxy)

    def report(self, event):
        for coordinator in self.coordinators:
            coordinator.report(self.now, event)

    def send_list(self, form, entries):
        self.report(EndpointListUpdate(form=ListForm(form), entries=[endpoint(**entry) for entry in entries]))

    def new_backend(self, started=0):
        self.backends_created += 1
        name = f"s{self.backends_created}"
        self.entries[name] = {
            "name": name,
            "zone": self.random.choice(self.zones),
            "machine_type": f"m{self.backends_created % 3}",
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
        self.pending_acknowledgements = [item for item in self.pending_acknowledgements if item[1] != proxy]
        self.report(ProxyLeft(proxy=proxy))

    def turn(self):
        """Run and compare one turn of both; answer health checks at once and barriers after a delay."""
        self.now += TURN
        due, self.pending_acknowledgements = (
            [item for item in self.pending_acknowledgements if item[0] <= self.now],
            [item for item in self.pending_acknowledgements if item[0] > self.now],
        )
        for _, proxy, sequence, latency in due:
            self.report(Acknowledged(proxy=proxy, sequence=sequence, latency=latency))
        for coordinator in self.coordinators:
            coordinator.tick(self.now)
        self.check()
        for recipient in self.coordinator.recipients():
            messages = [coordinator.pick(recipient) for coordinator in self.coordinators]
            while isinstance(recipient, Queue) and messages[0] is not None:
                if isinstance(messages[0], HealthCheckRequest):
                    self._report_health_check(messages[0].backend)
                messages = [coordinator.pick(recipient) for coordinator in self.coordinators]
            if recipient in self.proxies and isinstance(messages[0], ProxyUpdate):
                latency = self.random.randint(TURN, 12 * TURN)
                self.pending_acknowledgements.append(
                    (self.now + latency, recipient, messages[0].barrier, latency)
                )

    def _report_health_check(self, backend):
        times_out = self.failing.get(backend, 0.0) >= 1.0 and self.random.random() < 0.5
        outcome = "timeout" if times_out else self.random.choice(("ok", "ok", "ok", "full", "error"))
        self.report(
            HealthCheckResult(
                backend=backend, outcome=HealthCheckOutcome(outcome), latency=SECOND // 100, load={}
            )
        )

    def check(self):
        coordinator, reference = self.coordinators
        assert not coordinator.queues[Queue.INTERNAL_ERRORS], coordinator.queues[Queue.INTERNAL_ERRORS][0]
        assert not reference.queues[Queue.INTERNAL_ERRORS], reference.queues[Queue.INTERNAL_ERRORS][0]
        assert coordinator.calls == reference.calls, first_difference(coordinator.calls, reference.calls)
        self.action_count += len(coordinator.calls)
        for name, (part, attribute) in COMPARED.items():
            value = getattr(getattr(coordinator.planner, part), attribute)
            assert value == getattr(reference.planner.former, name), name
        assert coordinator.planner.in_flight.in_flight == reference.planner.former.channel.waiting
        assert list(coordinator.planner.fleet.backends) == list(reference.planner.former.backends)
        for compared in self.coordinators:
            compared.calls.clear()

    def report_loads(self, share, scale=1.0, failed=0.0, excluding=None, zones=None):
        """Report load of a random `share` of the links in `zones`, without the backend `excluding`.

        At least the share `failed` of the attempts fails, and more at a failing backend.
        """
        for name in self.entries:
            for zone in zones or self.zones:
                if self.random.random() >= share or name == excluding:
                    continue
                attempts = self.random.randint(1, 12)
                failed_share = max(failed, self.failing.get(name, 0.0))
                failures = sum(self.random.random() < failed_share for _ in range(attempts))
                mean = int(self.mean * scale * self.random.uniform(0.6, 1.6)) if failures < attempts else 0
                self.report(
                    LoadReport(
                        zone=zone,
                        backend=name,
                        attempts=attempts,
                        failures=failures,
                        mean=mean,
                        window=SECOND,
                        load={},
                    ),
                )
        for request_class in ("a", "b"):
            self.report(
                UsageReport(proxy=0, request_class=request_class, requests=50, unanswered=0, window=SECOND)
            )

    def list_changes(self, count):
        """Send random list changes: phases, restarts, new backends, weights, machine types and zones."""
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
        self.send_list("changes", entries)

    def remove_backends(self, names):
        """Send list changes by which these backends are gone."""
        gone = [{**self.entries.pop(name), "phase": "gone"} for name in names]
        self.send_list("changes", gone)

    def restart(self, name):
        """Restart a backend: it is listed as ready with a new start time."""
        entry = self.entries[name] = {**self.entries[name], "phase": "ready", "started_at": self.now}
        self.send_list("changes", [entry])

    def send_complete_list(self):
        """Send a complete list, which may lack a backend."""
        left_out = self.random.random() < 0.3 and self.random.choice(list(self.entries))
        if left_out and len(self.entries) > 3:
            del self.entries[left_out]
        self.send_list("complete", list(self.entries.values()))

    def apply_settings(self, **changes):
        self.settings = {**self.settings, **changes}
        for coordinator in self.coordinators:
            coordinator.apply_settings(self.now, settings_of(self.settings))

    def random_event(self):
        """Report a random event."""
        what = self.random.randrange(13)
        backend = self.random.choice(list(self.entries))
        if what <= 2:
            self.report_loads(self.random.choice((0.02, 0.3, 1.0)))
        elif what == 3:
            self.report_loads(0.5, scale=self.random.choice((1.0, 12.0)))
        elif what == 4:
            self.report_loads(0.3, failed=0.6)
        elif what == 5:
            self.failing[backend] = self.random.choice((0.0, 0.5, 1.0))
            self.report_loads(0.4)
        elif what == 6:
            self.failing.clear()
        elif what in (7, 8):
            self.list_changes(self.random.choice((1, 1, 2, 8)))
        elif what == 9:
            self.send_complete_list()
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


def first_difference(calls, reference_calls):
    """Describe the first difference of two lists of calls."""
    for number, (call, expected) in enumerate(zip(calls, reference_calls)):
        if call != expected:
            return f"call {number} is {call}, and {expected} by the reference"
    longer = calls if len(calls) > len(reference_calls) else reference_calls
    return (
        f"{len(calls)} calls, and {len(reference_calls)} by the reference; "
        f"the first extra call is {longer[min(len(calls), len(reference_calls))]}"
    )
