"""The scale run's seeded parts and the checker's verdicts are those of the recordings.

The plan, the fleet, the settings and the made-up traffic follow from the scenario's seed, the traces from a
virtual clock, so nothing here depends on real time and nothing is left out. The number of the loopback
network, which a run draws anew, is fixed."""

import hashlib
import json
from random import Random

import msgspec
import pytest
from support import recordings
from support.interleavings import BUSY, fitting, played

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
WHOLE = "ci", "partition", "zone"  # scenarios whose plans are recorded whole; of the others a digest
SMALL_ZONE = ["backends=60", "hollow=0", "real=8"]


def planned(scenario):
    seed = scenario.scale.seed
    made = GeneratedFleet(scenario, NETWORK, Random(seed))
    return made, Plan(scenario, made, Random(seed))


def scenario_of(name):
    return schema.load(name, SMALL_ZONE if name == "zone" else ())


def plan_of(name):
    scenario = scenario_of(name)
    made, plan = planned(scenario)
    found = {
        "end": plan.end,
        "events": len(plan.planned),
        "digest": plan_digest(plan.planned),
        "backends": hashlib.sha256(msgspec.json.encode(made.backends)).hexdigest(),
        "sizes": sizes(scenario),
    }
    if name in WHOLE:
        found["planned"] = [
            [
                each.at,
                each.action,
                [(entry.name, entry.zone, entry.status, entry.group) for entry in each.entries],
                each.names,
                each.lasting,
            ]
            for each in plan.planned
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
    """Stands in for the loop: coroutines that wait for time alone, in virtual time."""

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
    """Stands in for the backends: who lives, and since when."""

    def __init__(self, names):
        self.running, self.started = dict.fromkeys(names), dict.fromkeys(names, 0)


class Stream:
    """Stands in for a proxy's stream: the table that it holds."""

    def __init__(self, number, zone, table):
        self.number, self.joined, self.rate, self.weighted_at = number, True, 1.0 + number, {}
        self.table = ProxyTable(number, zone, table)


def traffic_of():
    """Everything that made-up requests record in some seconds in which backends begin cold and end."""
    scenario = schema.load("ci", ["sampled_per_s=4"])
    loop = VirtualLoop()
    recorder = Recorder(loop.clock)
    names = [f"s{number}" for number in range(6)]
    backends = RunningBackends(names)
    streams = [
        Stream(number, scenario.zones[number % 2], dict.fromkeys(names[number:], 1.0 + number))
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
        reports.append([json.loads(each[4:]) for each in collector.load_reports()])
        if second == 1:
            backends.started["s4"] = loop.now
            streams[1].weighted_at["s4"] = loop.now
        if second == 2:
            del backends.running["s5"]
            streams[0].table.apply(TableUpdate(excluded=["s5"]))
    return recordings.as_recorded(
        {
            "events": [[type(each).__name__, *msgspec.structs.astuple(each)] for each in recorder.events],
            "requests": [traffic.requests, traffic.unserved],
            "spread": traffic.load_by_backend(),
            "reports": reports,
        }
    )


STRICT = {  # limits so strict that an innocent trace breaks them
    "as told": {},
    "drain": {"drain_grace": SECOND // 10, "slack": 0, "start_grace": 0},
    "drain needs entry": {"drain_grace": SECOND // 10, "slack": 0, "only_draining_binds": True},
    "no backend": {"empty_limit": 0, "slack": 0, "start_grace": 0, "warm_up_time": 0},
    "cold": {"overload_multiple": 0.3, "overload_time": SECOND, "slack": 0},
    "channel": {"backlog_limit": 100.0, "messages_limit": 4, "parts_limit": 1, "part_bytes": 300},
}


def values(event):
    """The event's values without names; what has no order is sorted."""
    return [sorted(each) if isinstance(each, frozenset) else each for each in msgspec.structs.astuple(event)]


def verdicts_of():
    """The verdicts on the trace of a busy day, under the limits as told and under stricter ones.

    Further traces are the same day with some requests executed twice, with some tables empty, and with the
    work of cold backends coming from proxies that know little of their starts."""
    day = played(BUSY, fitting(3, 6, 18))
    trace = day.events()
    doubled = sorted([*trace, *(each for each in trace[::97] if hasattr(each, "effect"))], key=lambda e: e.at)
    emptied = [
        msgspec.structs.replace(each, weights={})
        if isinstance(each, TableHeld) and number % 11 == 0
        else each
        for number, each in enumerate(trace)
    ]
    short = msgspec.structs.replace(day.limits(), empty_limit=SECOND)
    known_late = [
        msgspec.structs.replace(each, informed_share=(each.at // 10**8 // 7 % 10) / 10)
        if isinstance(each, BackendLoad)
        else each
        for each in trace
    ]
    pressed = msgspec.structs.replace(day.limits(), overload_multiple=0.1, overload_time=SECOND // 2, slack=0)
    found = {
        name: [
            msgspec.to_builtins(each)
            for each in check(trace, msgspec.structs.replace(day.limits(), **change))
        ]
        for name, change in STRICT.items()
    }
    found["doubled"] = [msgspec.to_builtins(each) for each in check(doubled, day.limits())]
    found["emptied"] = [msgspec.to_builtins(each) for each in check(emptied, short)]
    found["known late"] = [msgspec.to_builtins(each) for each in check(known_late, pressed)]
    found["trace"] = [
        len(trace),
        hashlib.sha256(json.dumps([values(each) for each in trace]).encode()).hexdigest(),
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
def test_a_scenario_gives_the_recorded_plan(name):
    assert plan_of(name) == recordings.read(f"scale/plan-{name}")


@pytest.mark.parametrize("name", ["ci", "steady"])
def test_a_scenario_gives_the_recorded_fleet_settings_and_limits(name):
    assert fleet_of(name) == recordings.read(f"scale/fleet-{name}")


def test_made_up_requests_record_the_same_events_and_reports():
    assert traffic_of() == recordings.read("scale/traffic")


def test_the_checker_gives_the_recorded_verdicts_on_the_recorded_day():
    found, recorded = verdicts_of(), recordings.read("scale/verdicts")
    assert {name: len(each) for name, each in found.items()} == {
        name: len(each) for name, each in recorded.items()
    }
    assert found == recorded


def test_scenarios_have_the_recorded_keys_and_defaults():
    assert keys() == recordings.read("scale/keys")


def test_a_report_is_read_and_written_with_the_recorded_keys_and_gives_the_recorded_table():
    recorded = recordings.read("scale/report")
    read = report.of_json(json.dumps(recorded).encode())
    assert json.loads(report.as_json(read)) == recorded
    assert report.table(read) == recordings.read("scale/report-table")


if __name__ == "__main__":
    recordings.write(
        "scale/report-table",
        report.table(report.of_json(json.dumps(recordings.read("scale/report")).encode())),
    )
    for each in schema.names():
        recordings.write(f"scale/plan-{each}", plan_of(each))
    for each in ("ci", "steady"):
        recordings.write(f"scale/fleet-{each}", fleet_of(each))
    recordings.write("scale/traffic", traffic_of())
    recordings.write("scale/verdicts", verdicts_of())
    recordings.write("scale/keys", keys())
