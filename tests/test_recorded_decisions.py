"""A coordinator is told again what was recorded, and every byte that it writes must be as it was.

`data/coordinator/*.jsonl.gz` holds one run a file, one step a line, in the order of the run:

    ["start", settings, seed, now]      settings as the simulator's wire has them
    ["settings", now, settings, waits]  new settings, and the names of those that wait for a restart
    ["report", now, event, fields]      one report
    ["action", name, arguments...]      a planner action called directly
    ["tick", now, due, parties]         the end of a turn: when the next is due, who has something waiting
    ["pick", party, message]            frames written to a proxy (bytes as Latin-1), or the next of a queue
    ["status", values]                  everything that may be asked of a coordinator

Times are in ns. The recordings hold plain values only; the functions of this module turn them into calls, so
that a renamed class or method changes these functions and never a recording.
"""

import gzip
import json
import pathlib

import pytest
from support.records import endpoint

from granitespool.coordinator import Coordinator
from granitespool.net.frames import updates
from granitespool.settings import settings_from_wire

RECORDINGS = sorted((pathlib.Path(__file__).parent / "data" / "coordinator").glob("*.jsonl.gz"))


def plain(value):
    """A value as it is after a way through JSON: lists for tuples."""
    return json.loads(json.dumps(value))


ACTIONS = {  # the recordings' words -> the planner's actions
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


def report(coordinator, now, event, fields):
    if event == "list_news":
        fields = {**fields, "entries": [entry_of(each) for each in fields["entries"]]}
    coordinator.report(now, event, **fields)


def call_action(coordinator, name, arguments):
    getattr(coordinator, ACTIONS.get(name, name))(*arguments)


def picked(coordinator, party):
    message = coordinator.pick(party)
    if isinstance(party, int) and message is not None:
        return updates(message).decode("latin-1")
    return plain(message)


def status(coordinator):
    names = list(coordinator.listed())
    return {
        "listed": coordinator.listed(),
        "zones": sorted(coordinator.joined_zones()),
        "snapshot": coordinator.learnt(names),
        "fleet": coordinator.pictured_fleet(),
        "backends": {name: coordinator.pictured(name) for name in [*names, "unknown"]},
        "metrics": coordinator.figures(),
        "outliers": coordinator.unusual(3),
    }


class Replay:
    """Plays one recording; every method takes the rest of a line."""

    def __init__(self):
        self.coordinator = None

    def start(self, settings, seed, now):
        self.coordinator = Coordinator(settings_from_wire(settings), seed, now)

    def settings(self, now, settings, waits):
        assert self.coordinator.new_settings(now, settings_from_wire(settings)) == waits

    def report(self, now, event, fields):
        report(self.coordinator, now, event, fields)

    def action(self, name, *arguments):
        call_action(self.coordinator, name, arguments)

    def tick(self, now, due, parties):
        assert self.coordinator.tick(now) == due
        assert self.coordinator.parties() == parties

    def pick(self, party, message):
        assert picked(self.coordinator, party) == message

    def status(self, values):
        found = plain(status(self.coordinator))
        for name, value in values.items():
            assert found[name] == value, name
        assert json.dumps(found) == json.dumps(values)  # in the same order, too


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


def test_recordings_hold_every_kind_of_event_and_of_message():
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
