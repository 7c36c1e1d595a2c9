"""Tests that the seeded parts of the scale run and the checker's verdicts match the recordings.

The plan, the fleet, the settings and the simulated traffic follow from the scenario's seed, the traces from a
virtual clock, so nothing here depends on real time and the recordings are complete. The number of the
loopback network, which a run draws at random, is fixed.
"""

import hashlib
import json
from random import Random

import msgspec
import pytest
from support import recordings
from support.interleavings import BUSY_DAY, make_fleet, run_steps

from granitespool.net.loop import SECOND
from granitespool.scale import fleet, report, schema
from granitespool.scale.checker import check
from granitespool.scale.collector import Collector
from granitespool.scale.fleet import GeneratedFleet, Network
from granitespool.scale.plan import Plan, coordinator_name, coordinator_zones, plan_digest
from granitespool.scale.recorder import Recorder
from granitespool.scale.run_report import sizes
from granitespool.scale.trace import BackendLoad, TableHeld
from granitespool.scale.traffic import Traffic
from granitespool.simulation.proxy_table import AdmissionLevel, AdmissionUpdate, ProxyTable, TableUpdate

NETWORK = Network(77)
FULLY_RECORDED = (
    "ci",
    "partition",
    "zone",
)  # scenarios with a complete recorded plan; the others have a digest
SMALL_ZONE = ["backends=60", "hollow=0", "real=8"]


def planned(scenario):
    seed = scenario.scale.seed
    generated = GeneratedFleet(scenario, NETWORK, Random(seed))
    return generated, Plan(scenario, generated, Random(seed))


def scenario_of(name):
    return schema.load(name, SMALL_ZONE if name == "zone" else ())


def plan_of(name):
    scenario = scenario_of(name)
    generated, plan = planned(scenario)
    found = {
        "end": plan.end,
        "events": len(plan.planned),
        "digest": plan_digest(plan.planned),
        "backends": hashlib.sha256(msgspec.json.encode(generated.backends)).hexdigest(),
        "sizes": sizes(scenario),
    }
    if name in FULLY_RECORDED:
        found["planned"] = [
            [
                event.at,
                event.action,
                [(entry.name, entry.zone, entry.status, entry.group) for entry in event.entries],
                event.names,
                event.lasting,
            ]
            for event in plan.planned
        ]
    return recordings.as_recorded(found)


def fleet_of(name):
    scenario = scenario_of(name)
    return recordings.as_recorded(
        {
            "first": msgspec.to_builtins(GeneratedFleet(scenario, NETWORK, Random(5)).backends[:8]),
            "zones": coordinator_zones(scenario),
            "names": [coordinator_name(index) for index in range(3)],
            "addresses": [NETWORK.coordinator(251), NETWORK.agent(251), NETWORK.backend(1751)],
            "proxies": fleet.expected_proxies(scenario),
            "settings": [fleet.settings(scenario, "r0-z0", 1, version) for version in (0, 13)],
            "limits": msgspec.structs.astuple(fleet.limits(scenario)),
        }
    )


class VirtualLoop:
    """Stand-in for the event loop, for coroutines that only wait for a time; time is virtual."""

    def __init__(self):
        self.now, self.waiting = 1000 * SECOND, []

    def clock(self):
        return self.now

    def spawn(self, coroutine):
        self.waiting.append((self.now, len(self.waiting), coroutine))

    def run(self, until):
        while True:
            self.waiting.sort()
            due, number, coroutine = self.waiting[0]
            if due > until:
                self.now = until
                return
            self.now = max(self.now, due)
            self.waiting[0] = (next(coroutine)[2], number, coroutine)


class RunningBackends:
    """Stand-in for the backends: the running ones and their start times."""

    def __init__(self, names):
        self.running, self.started = dict.fromkeys(names), dict.fromkeys(names, 0)


class StreamWithTable:
    """Stand-in for a proxy's stream: only its table and its rate of requests."""

    def __init__(self, number, zone, table):
        self.number, self.joined, self.rate, self.weighted_at = number, True, 1.0 + number, {}
        self.table = ProxyTable(number, zone, table)


def traffic_of():
    """Return events, counts, load and reports of 8 s of requests; one backend starts and one stops."""
    scenario = schema.load("ci", ["sampled_per_s=4"])
    loop = VirtualLoop()
    recorder = Recorder(loop.clock)
    names = [f"s{number}" for number in range(6)]
    backends = RunningBackends(names)
    streams = [
        StreamWithTable(number, scenario.zones[number % 2], dict.fromkeys(names[number:], 1.0 + number))
        for number in range(4)
    ]
    for number, stream in enumerate(streams):
        first, others = AdmissionLevel(1.0, number), AdmissionLevel(0.7, 3 - number)
        admission = [AdmissionUpdate(["class0"], first), AdmissionUpdate(None, others)]
        stream.table.apply(TableUpdate(admission=admission))
    traffic = Traffic(loop, recorder, scenario, streams, backends, Random(3))
    collector = Collector(loop, recorder, scenario, scenario.zones[0], streams, backends, Random("collector"))
    reports = []
    for second in range(8):
        loop.run(loop.now + SECOND)
        reports.append([json.loads(report_frame[4:]) for report_frame in collector.load_reports()])
        if second == 1:
            backends.started["s4"] = loop.now
            streams[1].weighted_at["s4"] = loop.now
        if second == 2:
            del backends.running["s5"]
            streams[0].table.apply(TableUpdate(excluded=["s5"]))
    return recordings.as_recorded(
        {
            "events": [[type(event).__name__, *msgspec.structs.astuple(event)] for event in recorder.events],
            "requests": [traffic.requests, traffic.unserved],
            "spread": traffic.load_by_backend(),
            "reports": reports,
        }
    )


STRICT_LIMITS = {  # limits that a clean trace violates; the first item changes no limit
    "as told": {},
    "drain": {"drain_grace": SECOND // 10, "slack": 0, "start_grace": 0},
    "drain needs entry": {"drain_grace": SECOND // 10, "slack": 0, "only_draining_binds": True},
    "no backend": {"empty_limit": 0, "slack": 0, "start_grace": 0, "warm_up_time": 0},
    "cold": {"overload_multiple": 0.3, "overload_time": SECOND, "slack": 0},
    "channel": {"backlog_limit": 100.0, "messages_limit": 4, "parts_limit": 1, "part_bytes": 300},
}


def values(event):
    """Return the values of an event's fields; sets are sorted."""
    return [
        sorted(value) if isinstance(value, frozenset) else value for value in msgspec.structs.astuple(event)
    ]


def verdicts_of():
    """Return the violations in the trace of a busy run, with the configured limits and with stricter ones.

    Further traces are those of the same run with some requests executed twice, with some tables empty, and
    with warming-up backends whose load comes mostly from proxies that were not informed of their start.
    """
    day = run_steps(BUSY_DAY, make_fleet(3, 6, 18))
    trace = day.events()
    doubled = sorted(
        [*trace, *(event for event in trace[::97] if hasattr(event, "effect"))], key=lambda event: event.at
    )
    emptied = [
        msgspec.structs.replace(event, weights={})
        if isinstance(event, TableHeld) and number % 11 == 0
        else event
        for number, event in enumerate(trace)
    ]
    short = msgspec.structs.replace(day.limits(), empty_limit=SECOND)
    uninformed = [
        msgspec.structs.replace(event, informed_share=(event.at // 10**8 // 7 % 10) / 10)
        if isinstance(event, BackendLoad)
        else event
        for event in trace
    ]
    strict = msgspec.structs.replace(day.limits(), overload_multiple=0.1, overload_time=SECOND // 2, slack=0)
    found = {
        name: [
            msgspec.to_builtins(violation)
            for violation in check(trace, msgspec.structs.replace(day.limits(), **change))
        ]
        for name, change in STRICT_LIMITS.items()
    }
    found["doubled"] = [msgspec.to_builtins(violation) for violation in check(doubled, day.limits())]
    found["emptied"] = [msgspec.to_builtins(violation) for violation in check(emptied, short)]
    found["known late"] = [msgspec.to_builtins(violation) for violation in check(uninformed, strict)]
    found["trace"] = [
        len(trace),
        hashlib.sha256(json.dumps([values(event) for event in trace]).encode()).hexdigest(),
    ]
    return recordings.as_recorded(found)


def keys():
    sections = {**schema.SECTIONS, schema.EVENT_PREFIX + "*": schema.Event}
    return recordings.as_recorded(
        {
            section: {
                field.encode_name: None if field.required else field.default
                for field in msgspec.structs.fields(record)
            }
            for section, record in sections.items()
        }
    )


@pytest.mark.parametrize("name", schema.names())
def test_each_scenario_gives_the_recorded_plan(name):
    assert plan_of(name) == recordings.read(f"scale/plan-{name}")


@pytest.mark.parametrize("name", ["ci", "steady"])
def test_a_scenario_gives_the_recorded_fleet_settings_and_limits(name):
    assert fleet_of(name) == recordings.read(f"scale/fleet-{name}")


def test_simulated_requests_give_the_recorded_events_and_reports():
    assert traffic_of() == recordings.read("scale/traffic")


def test_the_checker_gives_the_recorded_violations_of_the_recorded_trace():
    found, recorded = verdicts_of(), recordings.read("scale/verdicts")
    assert {name: len(violations) for name, violations in found.items()} == {
        name: len(violations) for name, violations in recorded.items()
    }
    assert found == recorded


def test_scenario_files_have_the_recorded_keys_and_defaults():
    assert keys() == recordings.read("scale/keys")


def test_a_recorded_report_is_parsed_and_written_unchanged_and_gives_the_recorded_table():
    recorded = recordings.read("scale/report")
    parsed = report.of_json(json.dumps(recorded).encode())
    assert json.loads(report.as_json(parsed)) == recorded
    assert report.table(parsed) == recordings.read("scale/report-table")


if __name__ == "__main__":
    recordings.write(
        "scale/report-table",
        report.table(report.of_json(json.dumps(recordings.read("scale/report")).encode())),
    )
    for scenario_name in schema.names():
        recordings.write(f"scale/plan-{scenario_name}", plan_of(scenario_name))
    for scenario_name in ("ci", "steady"):
        recordings.write(f"scale/fleet-{scenario_name}", fleet_of(scenario_name))
    recordings.write("scale/traffic", traffic_of())
    recordings.write("scale/verdicts", verdicts_of())
    recordings.write("scale/keys", keys())
