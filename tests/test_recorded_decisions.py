"""Replays recorded runs of a coordinator: every byte that it writes must be as recorded.

Each file `data/coordinator/*.jsonl.gz` contains one run, one step in each line, in the order of the run:

    ["start", settings, seed, now]      settings in the simulator's protocol
    ["settings", now, settings, waits]  new settings, and the names of those that need a restart
    ["report", now, event, fields]      one event
    ["action", name, arguments...]      a planner action called directly
    ["tick", now, due, recipients]      the end of a turn: the next due time, the recipients with messages
    ["pick", recipient, message]        frames written to a proxy (bytes as Latin-1), or a queued message
    ["status", values]                  the whole state that a coordinator returns

Times are in ns. The recordings contain plain values only, which the functions of this module turn into calls,
so that a renamed class or method changes these functions and never a recording.
"""

import gzip
import json
import pathlib

import pytest
from support.records import endpoint

from granitespool.coordinator import Coordinator
from granitespool.endpoints import Phase
from granitespool.net.frames import encode_update
from granitespool.outgoing import ProxyUpdate, Queue
from granitespool.planner import events
from granitespool.planner.records import MinimumRtt
from granitespool.planner.status import BackendSnapshot, FleetSnapshot, LinkSnapshot
from granitespool.settings import settings_from_wire

RECORDINGS = sorted((pathlib.Path(__file__).parent / "data" / "coordinator").glob("*.jsonl.gz"))


def plain(value):
    """Return a value as it is after encoding and decoding as JSON, with lists for tuples."""
    return json.loads(json.dumps(value))


ACTIONS = {  # name in the recordings -> action of the planner
    "weigh": "set_entry",
    "bind": "assign",
    "withdraw": "exclude",
    "level": "set_admission",
    "mark": "request_acknowledgement",
    "probe": "check_health",
    "observe": "subscribe",
    "lookup": "fetch_endpoints",
    "wake": "set_timer",
    "post": "send_gossip",
    "remark": "log",
}


def entry_of(recorded):
    return endpoint(
        name=recorded["backend"],
        zone=recorded["zone"],
        machine_type=recorded["kind"],
        phase=recorded["phase"],
        weight=recorded["weight"],
        started_at=recorded["started"],
    )


EVENTS = {  # name in the recordings -> event, and its fields by their names in the recordings
    "heard": (
        events.LoadReport,
        {
            "zone": "zone",
            "backend": "backend",
            "tries": "attempts",
            "failed": "failures",
            "mean": "mean",
            "window": "window",
            "load": "load",
        },
    ),
    "arrivals": (
        events.UsageReport,
        {
            "proxy": "proxy",
            "grade": "request_class",
            "number": "requests",
            "unanswered": "unanswered",
            "window": "window",
        },
    ),
    "joined": (
        events.ProxyJoined,
        {"proxy": "proxy", "zone": "zone", "standing": "bootstrap", "rate": "rate", "again": "resumed"},
    ),
    "left": (events.ProxyLeft, {"proxy": "proxy", "silent": "unreachable"}),
    "applied": (events.Acknowledged, {"proxy": "proxy", "serial": "sequence", "took": "latency"}),
    "peer_said": (events.GossipReceived, {"sender": "peer", "contents": "payload"}),
    "slice_given": (events.SliceAssigned, {"table": "table", "ours": "owned"}),
    "slice_line": (events.SliceEntry, {"table": "table", "backend": "backend", "weight": "weight"}),
    "slice_load": (
        events.SliceLoad,
        {
            "table": "table",
            "grade": "request_class",
            "number": "requests",
            "unanswered": "unanswered",
            "window": "window",
        },
    ),
}
FORMS = {"whole": "complete"}  # form of an endpoint list: name in the recordings -> value, where they differ
QUEUES = {
    Queue.HEALTH_CHECKS: "probes",
    Queue.GOSSIP: "peers",
    Queue.INTERNAL_ERRORS: "remarks",
    Queue.REMOVED_BACKENDS: "gone",
}
REASONS = {  # reason of an outlier -> name in the recordings, where they differ
    "removal_unconfirmed": "missing",
    "unverified": "unproven",
    "ejected": "cut",
    "warming_up": "cold",
    "recovering": "returning",
}


def event_of(event, fields):
    if event == "list_news":
        form = events.ListForm(FORMS.get(fields["form"], fields["form"]))
        return events.EndpointListUpdate(form, [entry_of(entry) for entry in fields["entries"]])
    if event == "probed":
        outcome = events.HealthCheckOutcome(fields["status"])
        return events.HealthCheckResult(fields["backend"], outcome, fields["took"], fields["load"])
    if event == "recalled":
        backends = {name: backend_of(*backend) for name, backend in fields["backends"].items()}
        return events.Restored(fleet_of(fields["fleet"]), backends)
    event_class, names = EVENTS[event]
    return event_class(**{names[name]: value for name, value in fields.items()})


def fleet_of(recorded):
    return FleetSnapshot(
        is_overloaded=recorded["strained"],
        admitted_share=recorded["room"],
        success_ratio=recorded["through"],
        demand=recorded["asked"],
    )


def backend_of(recorded, links):
    return BackendSnapshot(
        phase=Phase(recorded["phase"]),
        zone=recorded["zone"],
        machine_type=recorded["kind"],
        configured_weight=recorded["listed"],
        started_at=recorded["started"],
        left_ready_at=recorded["gone_at"],
        slow_start_since=recorded["ramp_from"],
        verified=recorded["proven"],
        removal_unconfirmed=recorded["missing"],
        links={zone: link_of(link) for zone, link in links.items()},
    )


def link_of(recorded):
    return LinkSnapshot(
        attempts=recorded["tries"],
        failures=recorded["failed"],
        successes=recorded["answered"],
        response_time=recorded["time"],
        overloaded_reports=recorded["over"],
        consecutive_failures=recorded["streak"],
        ejected_at=recorded["cut_at"],
        slow_start_since=recorded["ramp_from"],
        minimum_rtt=MinimumRtt(*recorded["low"]) if recorded["low"] else None,
    )


def report(coordinator, now, event, fields):
    coordinator.report(now, event_of(event, fields))


def call_action(coordinator, name, arguments):
    getattr(coordinator, ACTIONS.get(name, name))(*arguments)


def recipient_of(recorded):
    return next((queue for queue, name in QUEUES.items() if name == recorded), recorded)


def picked(coordinator, recorded_recipient):
    message = coordinator.pick(recipient_of(recorded_recipient))
    if isinstance(message, ProxyUpdate):
        return encode_update(message).decode("latin-1")
    if message is None or len(message) > 1:
        return plain(message)
    return message[0]  # a message with one field


def status(coordinator):
    names = list(coordinator.endpoint_states())
    return {
        "listed": {
            name: (each.phase, each.started_at) for name, each in coordinator.endpoint_states().items()
        },
        "zones": sorted(coordinator.joined_zones()),
        "snapshot": snapshot_values(coordinator.snapshot(names)),
        "fleet": status_values(coordinator.status()),
        "backends": {name: backend_values(coordinator.backend_status(name)) for name in [*names, "unknown"]},
        "metrics": metrics_values(coordinator.metrics()),
        "outliers": outliers_values(coordinator.outliers(3)),
    }


def snapshot_values(snapshot):
    fleet = snapshot.fleet
    return (
        {
            "strained": fleet.is_overloaded,
            "room": fleet.admitted_share,
            "through": fleet.success_ratio,
            "asked": fleet.demand,
        },
        {name: snapshot_backend_values(backend) for name, backend in snapshot.backends.items()},
    )


def snapshot_backend_values(backend):
    return (
        {
            "phase": backend.phase,
            "zone": backend.zone,
            "kind": backend.machine_type,
            "listed": backend.configured_weight,
            "started": backend.started_at,
            "gone_at": backend.left_ready_at,
            "ramp_from": backend.slow_start_since,
            "proven": backend.verified,
            "missing": backend.removal_unconfirmed,
        },
        {zone: link_values(link) for zone, link in backend.links.items()},
    )


def link_values(link):
    return {
        "low": link.minimum_rtt,
        "tries": link.attempts,
        "failed": link.failures,
        "answered": link.successes,
        "time": link.response_time,
        "over": link.overloaded_reports,
        "streak": link.consecutive_failures,
        "cut_at": link.ejected_at,
        "ramp_from": link.slow_start_since,
    }


def status_values(status):
    return {
        "joined": status.planner.joined,
        "unbound": status.planner.unassigned,
        "waiting": status.planner.in_flight,
        "lag": status.planner.acknowledgement_latency,
        "strained": status.planner.is_overloaded,
        "room": status.planner.admitted_share,
        "through": status.planner.success_ratio,
        "tables": [(zone.zone, zone.entries, zone.levels) for zone in status.zones],
    }


def backend_values(status):
    if status is None:
        return None
    known = status.planner
    return (
        {
            "phase": known.phase,
            "zone": known.zone,
            "kind": known.machine_type,
            "proven": known.verified,
        },
        {
            zone: (entry.weight, entry.cost, entry.is_ejected, status.is_excluded)
            for zone, entry in known.entries.items()
        },
    )


def metrics_values(metrics):
    planner = metrics.planner
    return {
        "joined": planner.joined,
        "unbound": planner.unassigned,
        "waiting": planner.in_flight,
        "limit": planner.in_flight_limit,
        "pace": planner.configured_rate,
        "met": planner.observed_rate,
        "ordered": planner.total_entries,
        "lag": planner.acknowledgement_latency,
        "strained": planner.is_overloaded,
        "room": planner.admitted_share,
        "through": planner.success_ratio,
        "subsets": planner.subsets,
        "reports": metrics.load_reports,
        "cut": planner.ejected_links,
        "last_resort": planner.last_resort_links,
    }


def outliers_values(outliers):
    found = {
        name: (
            REASONS.get(outlier.reason, outlier.reason),
            outlier.attempts,
            outlier.failures,
            outlier.weight,
        )
        for name, outlier in outliers.backends.items()
    }
    return found, outliers.omitted


class Replay:
    """Replays one recording; the method of a step takes the rest of its line."""

    def __init__(self):
        self.coordinator = None

    def start(self, settings, seed, now):
        self.coordinator = Coordinator(settings_from_wire(settings), seed, now)

    def settings(self, now, settings, waits):
        assert self.coordinator.apply_settings(now, settings_from_wire(settings)) == waits

    def report(self, now, event, fields):
        report(self.coordinator, now, event, fields)

    def action(self, name, *arguments):
        call_action(self.coordinator, name, arguments)

    def tick(self, now, due, recipients):
        assert self.coordinator.tick(now) == due
        found = self.coordinator.recipients()
        assert [QUEUES.get(recipient, recipient) for recipient in found] == recipients

    def pick(self, recipient, message):
        assert picked(self.coordinator, recipient) == message

    def status(self, values):
        found = plain(status(self.coordinator))
        for name, value in values.items():
            assert found[name] == value, name
        assert json.dumps(found) == json.dumps(values)  # also in the same order


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.name.partition(".")[0])
def test_recorded_run_gives_the_same_bytes(path):
    replay = Replay()
    for number, line in enumerate(gzip.decompress(path.read_bytes()).splitlines(), 1):
        step, *values = json.loads(line)
        try:
            getattr(replay, step)(*values)
        except AssertionError as error:
            error.add_note(f"{path.name}, line {number}: {step}")
            raise


def test_recordings_contain_every_kind_of_event_and_message():
    events, written, queues = set(), "", set()
    for path in RECORDINGS:
        for line in gzip.decompress(path.read_bytes()).splitlines():
            step, *values = json.loads(line)
            if step == "report":
                events.add(values[1])
            elif step == "pick" and isinstance(values[0], int):
                written += values[1] or ""
            elif step == "pick":
                queues.add(values[0])
    assert events == {
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
    }
    fields = ("classes", "whole", "lines", "level", "retry", "out", "back", "ticket", "more")
    assert [name for name in fields if f'"{name}":' not in written] == []
    assert queues == {"probes", "peers", "remarks", "gone"}
