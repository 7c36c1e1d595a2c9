"""Tests of the scale run: the faults of its stand-ins, its processes, its plan and its report.

A small scenario is run once with real processes; the tests at the end examine its measurements.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import pytest

from granitespool.cli import main
from granitespool.errors import InvalidInputError
from granitespool.net.config import parse_configuration
from granitespool.net.discovery import Discovery
from granitespool.net.loop import Loop
from granitespool.scale import fleet, report, runner, schema
from granitespool.scale.coordinator_endpoint import ChannelQueue
from granitespool.scale.discovery import BackendList, DiscoveryAgent
from granitespool.scale.fleet import GeneratedFleet, ListedBackend, Network
from granitespool.scale.plan import Plan, coordinator_zones, plan_digest
from granitespool.scale.processes import Child, Sample
from granitespool.scale.proxy_message import IncomingMessage
from granitespool.scale.queries import proxy_allowed
from granitespool.scale.recorder import Recorder
from granitespool.scale.run import Run, reserve_network
from granitespool.scale.samples import worst_second
from granitespool.scale.schema import Channel
from granitespool.scale.size_check import check_size
from granitespool.scale.trace import BackendListed, ChannelBacklog, TableHeld
from granitespool.units import MILLISECOND, SECOND

NETWORK = Network(77)


def planned(scenario, seed=1):
    generated = GeneratedFleet(scenario, NETWORK, Random(seed))
    return Plan(scenario, generated, Random(seed)).planned


# Scenarios


def test_every_included_scenario_can_be_loaded_and_planned():
    assert {"steady", "day", "changes", "rack", "zone", "partition", "ci"} <= set(schema.names())
    for name in schema.names():
        scenario = schema.load(name)
        plan = planned(scenario)
        assert scenario.scale.title
        assert plan == sorted(plan, key=lambda event: event.at)
        check_size(scenario)


def test_scenarios_plan_the_number_of_events_of_an_ordinary_day():
    scenario = schema.load("day")
    actions = [event.action for event in planned(scenario)]
    assert actions.count("crash") == 15
    assert actions.count("drain") == 580
    assert actions.count("add") == 595
    assert actions.count("remove") == 595
    configured = [event.action for event in planned(schema.load("changes"))]
    assert (configured.count("configure"), configured.count("configure_badly")) == (379, 1)


def test_the_same_seed_gives_the_same_plan_and_another_seed_another_one():
    scenario = schema.load("ci")
    digests = [plan_digest(planned(scenario, seed)) for seed in (1, 1, 2)]
    assert digests[0] == digests[1] != digests[2]


def test_the_steady_scenario_generates_the_planned_fleet_with_uneven_services():
    scenario = schema.load("steady")
    generated = GeneratedFleet(scenario, NETWORK, Random(1))
    services = [backend.type for backend in generated.backends]
    sizes = sorted(services.count(service) for service in set(services))
    assert len(generated.backends) == 2900
    assert len(sizes) == 49
    assert sizes[-1] > 10 * sizes[0] > 0
    assert len({backend.zone for backend in generated.backends}) == 20
    assert len({backend.address for backend in generated.backends}) == 2900
    assert len({zone.partition("-")[0] for zone in coordinator_zones(scenario)}) == 5
    assert scenario.coordinators.real + scenario.coordinators.hollow == 680


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ("real=0", "from 1 to 64"),
        ("seed", "expected KEY=VALUE"),
        ("nothing=1", "no section has this key"),
        ("event.replace.kind=burn", "one of configure, "),
        ("coordinators.reel=3", "did you mean real?"),
    ],
)
def test_an_invalid_scenario_raises_an_error_that_names_the_problem(change, message):
    with pytest.raises(InvalidInputError, match=message):
        schema.load("ci", [change])


def test_a_scenario_over_half_of_the_memory_and_an_unknown_one_are_rejected():
    with pytest.raises(InvalidInputError, match="half of the machine's memory"):
        check_size(schema.load("ci", ["memory_mb=65536", "real=64"]))
    with pytest.raises(InvalidInputError, match="no such scenario"):
        schema.load("no-such")


def test_serve_parses_the_settings_and_a_later_version_allows_one_more_proxy():
    scenario = schema.load("ci")
    base = {"name": "c", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
    parsed = [
        parse_configuration({**base, "settings": fleet.settings(scenario, "r0-z0", 0, version)})["settings"]
        for version in (0, 1)
    ]
    assert (
        parsed[1].proxies_expected == parsed[0].proxies_expected + 1 == fleet.expected_proxies(scenario) + 1
    )
    assert parsed[0].drain_grace == fleet.limits(scenario).drain_grace == 4 * SECOND
    assert parsed[0].backlog_limit == fleet.limits(scenario).backlog_limit


# Stand-ins


def test_a_message_counts_its_entries_as_the_protocol_does():
    message = IncomingMessage()
    message.add({"type": "update", "whole": True, "lines": [["a", 1.0], ["b", 0]], "more": True}, 90)
    message.add({"type": "update", "level": 0.5, "retry": 1, "out": ["c"], "back": ["d"], "ticket": 7}, 70)
    assert message.entries == 1 + 2 + 1 + 1 + 1 + 1
    assert message.sizes == [90, 70]
    assert message.barrier == 7
    assert message.backends() == ["a", "b", "c", "d"]
    with pytest.raises(InvalidInputError):
        message.add({"type": "update", "lines": [["a"]]}, 30)
    with pytest.raises(InvalidInputError):
        message.add({"type": "update", "level": 1.0}, 30)


def test_runs_at_the_same_time_use_different_loopback_networks():
    reserved = [reserve_network() for _ in range(40)]
    for reservation, _ in reserved:
        reservation.close()
    assert len({network.number for _, network in reserved}) == 40


def test_the_queue_of_a_channel_is_lost_with_the_coordinators_process():
    recorder = Recorder(lambda: 0)
    channel = ChannelQueue(recorder, "c", Channel(lines_per_s=1000.0, head_lines=4, delay_ms=30))
    channel.enqueue(0, 996)
    channel.clear(50 * MILLISECOND)
    assert channel.enqueue(50 * MILLISECOND, 96) == 150 * MILLISECOND + 30 * MILLISECOND
    assert [event.entries for event in recorder.events] == pytest.approx([1000, 0, 100])


def test_a_channel_delivers_at_its_rate_and_records_its_backlog():
    recorder = Recorder(lambda: 0)
    channel = ChannelQueue(recorder, "c", Channel(lines_per_s=1000.0, head_lines=4, delay_ms=30))
    assert channel.enqueue(0, 96) == 100 * MILLISECOND + 30 * MILLISECOND
    assert channel.enqueue(50 * MILLISECOND, 96) == 200 * MILLISECOND + 30 * MILLISECOND
    assert [event.entries for event in recorder.events] == pytest.approx([100, 150])
    assert all(isinstance(event, ChannelBacklog) for event in recorder.events)


def test_a_rejection_shows_whether_the_proxy_number_was_allowed():
    def answer(why, kind="refused"):
        return b"0000" + json.dumps({"type": kind, "why": why}).encode()

    assert not proxy_allowed(answer("a 'joined' names the unknown proxy 7"))
    assert proxy_allowed(answer("the field 'locality' of a 'joined' names the unknown '-'"))
    with pytest.raises(InvalidInputError):
        proxy_allowed(answer("", "pong"))


class WatchedDiscovery:
    """The stand-in of discovery with a coordinator's watch of its endpoint list, on one loop."""

    def __init__(self):
        self.failures, self.logged_events, self.updates = [], [], []
        self.loop = Loop(self.failures.append)
        self.recorder = Recorder(self.loop.clock)
        self.entries = [
            ListedBackend(name=f"s-{number}", address="127.0.0.1:9", zone="z", type="m", group=0)
            for number in range(4)
        ]
        self.list = BackendList(self.entries, self.loop.clock)
        address = Network(64 + os.getpid() % 190).agent(240)
        self.agent = DiscoveryAgent(self.loop, self.list, self.recorder, "c", address)
        known = {"index": 1, "snapshot": True, "endpoints": []}
        self.watch = Discovery(
            self.loop, self, self, {"discovery": address, "known": known}, Random(1).uniform
        )

    def report(self, now, update):
        self.updates.append({entry.name: entry.phase for entry in update.entries})

    def event(self, name, **fields):
        self.logged_events.append(name)

    rate_limited_event = event

    def run(self, seconds, until=lambda: False):
        """Run the loop for some seconds, or until a condition holds; return whether it holds."""
        end = self.loop.clock() + int(seconds * SECOND)
        while self.loop.clock() < end and not until():
            self.loop.turn(lambda _: None, SECOND // 100)
        return until()

    def change(self, number, status):
        entry = ListedBackend(
            name=f"s-{number}", address="127.0.0.1:9", zone="z", type="m", group=0, status=status
        )
        return self.list.publish([entry])

    def listed(self):
        return [
            (event.backend, event.phase) for event in self.recorder.events if isinstance(event, BackendListed)
        ]


@pytest.fixture
def watched():
    discovery = WatchedDiscovery()
    assert discovery.run(3, lambda: discovery.agent.watches)
    yield discovery
    discovery.loop.close()
    assert not discovery.failures


def test_a_watch_that_stalls_in_the_middle_of_a_line_is_reopened_without_loss(watched):
    watched.agent.stall(watched.loop.clock() + 3 * SECOND)
    watched.change(0, "draining")
    assert not watched.run(2, lambda: watched.updates)
    assert not watched.listed()
    assert watched.run(6, lambda: watched.updates)
    assert "watch_ended" in watched.logged_events
    assert watched.updates[0] == {"s-0": "draining"}
    assert watched.listed() == [("s-0", "draining")]


def test_a_change_that_is_sent_twice_is_reported_twice_and_is_not_stale(watched):
    watched.agent.push([watched.change(1, "draining")])
    assert watched.run(2, lambda: len(watched.updates) == 2)
    assert watched.updates == [{"s-1": "draining"}] * 2 and "stale_endpoint_list" not in watched.logged_events


def test_an_older_change_after_a_newer_one_is_discarded(watched):
    first = watched.list.publish(
        [ListedBackend(name="s-2", address="127.0.0.1:9", zone="z", type="m", group=0, status="draining")],
        notify=False,
    )
    second = watched.list.publish(
        [ListedBackend(name="s-2", address="127.0.0.1:9", zone="z", type="m", group=0, status="gone")],
        notify=False,
    )
    watched.agent.list_index = watched.list.index
    watched.agent.push([second, first])
    assert watched.run(2, lambda: "stale_endpoint_list" in watched.logged_events)
    assert watched.updates == [{"s-2": "gone"}]
    assert watched.listed() == [("s-2", "gone")]


def test_an_agent_that_is_cut_off_sends_all_changes_once_the_cut_ends(watched):
    watched.agent.set_cut(True)
    watched.change(0, "draining")
    watched.change(1, "draining")
    assert watched.run(4, lambda: "watch_ended" in watched.logged_events)
    assert not watched.updates
    watched.agent.set_cut(False)
    assert watched.run(3, lambda: len(watched.updates) == 2)
    assert watched.listed() == [("s-0", "draining"), ("s-1", "draining")]


# Processes


def test_a_child_ends_with_its_parent_even_if_the_parent_is_killed():
    code = (
        "import sys, time\n"
        "from granitespool.scale.processes import Child\n"
        "child = Child(['-c', 'import time; time.sleep(60)'], None, None)\n"
        "print(child.pid, flush=True)\n"
        "time.sleep(60)\n"
    )
    with subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE) as parent:
        child = int(parent.stdout.readline())
        assert Path(f"/proc/{child}").exists()
        parent.send_signal(signal.SIGKILL)
        parent.wait()
    assert not kill_survivors([child])


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL, signal.SIGINT])
def test_a_run_that_is_stopped_by_a_signal_leaves_no_process(number):
    command = [sys.executable, "-m", "granitespool", "scale", "run", "ci", "--set", "hollow=0"]
    with subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE) as run:
        assert b"c000 is ready" in run.stderr.readline()
        assert b"c001 is ready" in run.stderr.readline()
        children = [int(pid) for pid in Path(f"/proc/{run.pid}/task/{run.pid}/children").read_text().split()]
        assert len(children) >= 2
        run.send_signal(number)
        assert run.wait(20) != 0
    assert not kill_survivors(children)


def kill_survivors(children):
    """Kill the processes that still run 5 s after their parent's end, and return their ids."""
    deadline = time.monotonic() + 5
    while any(map(running, children)) and time.monotonic() < deadline:
        time.sleep(0.02)
    survivors = [pid for pid in children if running(pid)]
    for pid in survivors:
        os.kill(pid, signal.SIGKILL)
    return survivors


def running(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


def test_a_child_has_its_resource_limits_and_is_killed_if_it_ignores_sigterm():
    code = (
        "import resource, signal, time\n"
        "signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
        "print(resource.getrlimit(resource.RLIMIT_NOFILE)[0], resource.getrlimit(resource.RLIMIT_DATA)[0],"
        " flush=True)\n"
        "time.sleep(60)\n"
    )
    child = Child(["-c", code], 256, 100)
    os.set_blocking(child.process.stdout.fileno(), True)
    assert child.process.stdout.readline().split() == [b"100", b"268435456"]
    assert child.close(timeout=0.2) == -signal.SIGKILL
    child.process.stdout.close()


def test_the_worst_second_is_within_one_process_and_after_the_beginning():
    samples = [
        Sample(at=second * SECOND, processor=used, resident=1)
        for second, used in enumerate((0, SECOND, SECOND + SECOND // 2, 0, SECOND // 4))
    ]
    assert worst_second(samples, 0) == 1.0
    assert worst_second(samples, SECOND) == 0.5
    assert worst_second(samples, 2 * SECOND) == 0.25
    assert worst_second(samples, 4 * SECOND) is None


# A complete small run


class FinishedRun(Run):
    """A finished run of the scenario `ci` with its report."""

    def __init__(self, *changes):
        super().__init__(schema.load("ci", changes), lambda _: None)
        self.result = runner.play_run(self)


@pytest.fixture(scope="module")
def finished_run():
    return FinishedRun()


def test_the_small_scenario_passes_and_leaves_no_process(finished_run):
    assert finished_run.result.passed, (finished_run.result.failures, finished_run.result.violations[:3])
    assert finished_run.result.planned == len(finished_run.plan) > 20
    for coordinator in finished_run.environment.coordinators:
        assert coordinator.child.exited
        assert coordinator.exit_codes[-1] == 0
    assert all(child.exited for child in finished_run.hollow.children)


def test_every_real_coordinator_is_measured(finished_run):
    assert 0 < finished_run.result.backends_used <= len(finished_run.environment.list.entries)
    assert finished_run.result.load_largest >= 1
    for row in finished_run.result.coordinators:
        assert 0 < row.idle_share < 1
        assert 0 < row.reports_share < 1
        assert row.worst_second_share > 0
        assert row.resident_mb > 5
        assert row.in_bytes_per_s > 0
        assert row.out_bytes_per_s > 0
        kinds = {"in joined", "in applied", "in heard", "in usage", "in discovery list", "out update"}
        assert kinds <= set(row.traffic)
        assert all(traffic.bytes > 0 for traffic in row.traffic.values())


def test_hollow_coordinators_keep_serving_when_one_of_their_processes_is_killed(finished_run):
    hollow = finished_run.result.hollow
    assert hollow.coordinators == 24
    assert hollow.connected == 12
    assert hollow.streams == 24
    assert finished_run.hollow.processes[-1].child.process.returncode == -signal.SIGKILL
    assert hollow.traffic["out update"].messages > 24
    assert hollow.traffic["in list"].messages > 24


def test_stalls_and_changes_out_of_order_lose_no_change_of_the_endpoint_list(finished_run):
    newest = finished_run.environment.list.index
    for coordinator in finished_run.environment.coordinators:
        assert coordinator.log.fault_events["watch_ended"] >= 1
        assert coordinator.log.list_index == newest
        assert coordinator.log.fault_events["stale_endpoint_list"] == 1
    assert finished_run.result.older_lists == 0
    assert finished_run.result.list_to_last_proxy.unfinished == 0


def test_a_rejected_configuration_has_no_effect_and_the_others_are_active(finished_run):
    assert finished_run.result.settings_refused == 3
    assert finished_run.result.settings_refusal_kept
    assert finished_run.result.settings_to_last.count == 6
    assert finished_run.result.settings_to_last.unfinished == 0
    assert [coordinator.applied_version for coordinator in finished_run.environment.coordinators] == [6, 6, 6]


def test_a_coordinator_keeps_its_versions_during_a_cut_and_recovers_soon_after(finished_run):
    assert len(finished_run.result.cut) == 2
    for row in finished_run.result.cut:
        assert row.list_held < row.list_newest
        assert row.settings_held == row.settings_newest - 1
        assert row.list_right_ms < 4000
        assert row.settings_right_ms < 4000
    assert finished_run.result.list_to_last_proxy_cut.count == 4
    assert finished_run.result.older_settings == 0


def test_a_restarted_coordinator_is_ready_and_its_proxies_return(finished_run):
    first = finished_run.environment.coordinators[0]
    assert len(first.ready_times) == 2
    assert finished_run.result.ready.count == 1
    assert all(
        stream.endpoint is finished_run.environment.homes[stream.number]
        for stream in finished_run.environment.streams
    )
    assert all(stream.joined or stream.table.weights for stream in finished_run.environment.streams)


def test_the_trace_ends_with_the_tables_of_the_proxies(finished_run):
    last = {
        event.proxy: event
        for event in finished_run.environment.recorder.events
        if isinstance(event, TableHeld)
    }
    for stream in finished_run.environment.streams:
        assert last[stream.number].weights == stream.table.positive_weights()
        assert last[stream.number].excluded == stream.table.excluded
    times = [event.at for event in finished_run.environment.recorder.events]
    assert times == sorted(times)


def test_the_report_is_written_as_a_table_and_as_json(finished_run):
    lines = report.table(finished_run.result)
    assert lines[-1] == "passed"
    assert any(line.startswith("c000") for line in lines)
    document = json.loads(report.as_json(finished_run.result))
    assert document["passed"] is True
    assert len(document["coordinators"]) == 3
    assert report.of_json(report.as_json(finished_run.result).encode()) == finished_run.result


def test_reports_are_plotted_against_the_size_of_the_fleet(finished_run, tmp_path, capsys):
    report_path, plot_path = tmp_path / "report.json", tmp_path / "plot.png"
    report_path.write_text(report.as_json(finished_run.result))
    code = main(["scale", "plot", str(plot_path), str(report_path), str(report_path)])
    try:
        import matplotlib  # noqa: F401, PLC0415
    except ImportError:
        assert code == 1
        assert "extra `plot`" in capsys.readouterr().err
    else:
        assert code == 0
        assert plot_path.stat().st_size > 1000
    report_path.write_text("{}")
    assert main(["scale", "plot", str(plot_path), str(report_path)]) == 1
    assert "is not a report of a scale run" in capsys.readouterr().err


def test_a_channel_that_is_too_slow_for_a_drain_fails_the_command(capsys, tmp_path):
    path = tmp_path / "late.ini"
    path.write_text(
        "[scale]\ntitle = late\n"
        "[fleet]\nbackends = 20\nservices = 3\nregions = 1\nzones_per_region = 1\n"
        "[coordinators]\nreal = 1\nhollow = 0\n"
        "[proxies]\nper_coordinator = 3\n"
        "[channel]\ndelay_ms = 3000\n"
        "[rules]\ndrain_grace_s = 0.5\n"
        "[times]\nwarm_s = 0\nidle_s = 0\nreports_s = 0\nsettle_s = 3.5\n"
        "[event.drain]\nkind = replace\ncount = 1\ndrain_s = 3\n"
    )
    report_path = tmp_path / "report.json"
    assert main(["scale", "run", str(path), "--seed", "3", "--report", str(report_path)]) == 1
    out, err = capsys.readouterr()
    assert "rule drain broken" in out
    assert "NOT PASSED" in out
    assert "did not pass" in err
    document = json.loads(report_path.read_text())
    assert document["passed"] is False
    assert document["seed"] == 3
    assert {violation["rule"] for violation in document["violations"]} == {"drain"}
    assert list(document["broken"]) == ["drain"]
    assert document["broken"]["drain"] >= len(document["violations"]) > 0


def test_the_command_lists_the_scenarios(capsys):
    assert main(["scale", "list"]) == 0
    assert "steady" in capsys.readouterr().out
    assert main(["scale", "run", "no-such"]) == 1
