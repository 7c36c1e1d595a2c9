"""The scale run, small: its stand-ins fail as they are told to, its processes end with it, the same seed
plans the same events, and its verdict is that of what was seen."""

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
from granitespool.scale.discovery import Agent, BackendList
from granitespool.scale.fleet import ListedBackend, MadeFleet, Network
from granitespool.scale.plan import Plan, coordinator_zones, plan_digest
from granitespool.scale.processes import Child, Sample
from granitespool.scale.proxy_message import IncomingMessage
from granitespool.scale.questions import proxy_allowed
from granitespool.scale.recorder import Recorder
from granitespool.scale.run import Run
from granitespool.scale.samples import worst_second
from granitespool.scale.schema import Channel
from granitespool.scale.size_check import check_size
from granitespool.scale.trace import BackendListed, ChannelBacklog, TableHeld
from granitespool.units import MILLISECOND, SECOND

NETWORK = Network(77)


def planned(scenario, seed=1):
    made = MadeFleet(scenario, NETWORK, Random(seed))
    return Plan(scenario, made, Random(seed)).planned


# Scenarios


def test_every_scenario_that_comes_with_the_program_can_be_read_and_planned():
    assert {"steady", "day", "changes", "rack", "zone", "partition", "ci"} <= set(schema.names())
    for name in schema.names():
        scenario = schema.load(name)
        plan = planned(scenario)
        assert scenario.scale.title
        assert plan == sorted(plan, key=lambda each: each.at)
        check_size(scenario)


def test_a_day_has_the_failures_and_replacements_of_the_plan():
    scenario = schema.load("day")
    actions = [each.action for each in planned(scenario)]
    assert actions.count("crash") == 15
    assert actions.count("drain") == 580
    assert actions.count("add") == 595
    assert actions.count("remove") == 595
    configured = [each.action for each in planned(schema.load("changes"))]
    assert (configured.count("configure"), configured.count("configure_badly")) == (379, 1)


def test_the_same_seed_plans_the_same_events_and_another_seed_others():
    scenario = schema.load("ci")
    digests = [plan_digest(planned(scenario, seed)) for seed in (1, 1, 2)]
    assert digests[0] == digests[1] != digests[2]


def test_the_fleet_is_that_of_the_plan_in_uneven_services():
    scenario = schema.load("steady")
    made = MadeFleet(scenario, NETWORK, Random(1))
    services = [backend.type for backend in made.backends]
    sizes = sorted(services.count(each) for each in set(services))
    assert len(made.backends) == 2900
    assert len(sizes) == 49
    assert sizes[-1] > 10 * sizes[0] > 0
    assert len({backend.zone for backend in made.backends}) == 20
    assert len({backend.address for backend in made.backends}) == 2900
    assert len({zone.partition("-")[0] for zone in coordinator_zones(scenario)}) == 5
    assert scenario.coordinators.real + scenario.coordinators.hollow == 680


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ("real=0", "from 1 to 64"),
        ("seed", "no KEY=VALUE"),
        ("nothing=1", "no section has this key"),
        ("event.replace.kind=burn", "one of configure, "),
        ("coordinators.reel=3", "did you mean real?"),
    ],
)
def test_a_wrong_scenario_ends_in_a_sentence(change, words):
    with pytest.raises(InvalidInputError, match=words):
        schema.load("ci", [change])


def test_a_scenario_over_half_of_the_memory_or_too_many_processes_is_refused():
    with pytest.raises(InvalidInputError, match="half of the machine's memory"):
        check_size(schema.load("ci", ["memory_mb=65536", "real=64"]))
    with pytest.raises(InvalidInputError, match="no such scenario"):
        schema.load("no-such")


def test_settings_of_a_later_version_allow_one_proxy_more_and_are_what_serve_reads():
    scenario = schema.load("ci")
    told = {"name": "c", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
    read = [
        parse_configuration({**told, "settings": fleet.settings(scenario, "r0-z0", 0, version)})["settings"]
        for version in (0, 1)
    ]
    assert read[1].proxies_expected == read[0].proxies_expected + 1 == fleet.proxy_base(scenario) + 1
    assert read[0].drain_grace == fleet.limits(scenario).drain_grace == 4 * SECOND
    assert read[0].backlog_limit == fleet.limits(scenario).backlog_limit


# Stand-ins


def test_a_message_counts_its_lines_as_the_protocol_does():
    message = IncomingMessage()
    message.add({"type": "update", "whole": True, "lines": [["a", 1.0], ["b", 0]], "more": True}, 90)
    message.add({"type": "update", "level": 0.5, "retry": 1, "out": ["c"], "back": ["d"], "ticket": 7}, 70)
    assert message.entries == 1 + 2 + 1 + 1 + 1 + 1
    assert message.sizes == [90, 70]
    assert message.ticket == 7
    assert message.backends() == ["a", "b", "c", "d"]
    with pytest.raises(InvalidInputError):
        message.add({"type": "update", "lines": [["a"]]}, 30)
    with pytest.raises(InvalidInputError):
        message.add({"type": "update", "level": 1.0}, 30)


def test_a_channel_carries_its_pace_and_tells_what_waits():
    recorder = Recorder(lambda: 0)
    channel = ChannelQueue(recorder, "c", Channel(lines_per_s=1000.0, head_lines=4, delay_ms=30))
    assert channel.enter(0, 96) == 100 * MILLISECOND + 30 * MILLISECOND
    assert channel.enter(50 * MILLISECOND, 96) == 200 * MILLISECOND + 30 * MILLISECOND
    assert [event.entries for event in recorder.events] == pytest.approx([100, 150])
    assert all(isinstance(event, ChannelBacklog) for event in recorder.events)


def test_a_refusal_tells_whether_a_number_was_allowed():
    def answer(why, kind="refused"):
        return b"0000" + json.dumps({"type": kind, "why": why}).encode()

    assert not proxy_allowed(answer("a 'joined' names the unknown proxy 7"))
    assert proxy_allowed(answer("the field 'locality' of a 'joined' names the unknown '-'"))
    with pytest.raises(InvalidInputError):
        proxy_allowed(answer("", "pong"))


class Watched:
    """A real watch of the list before a stand-in of discovery, on one loop."""

    def __init__(self):
        self.failures, self.log, self.news = [], [], []
        self.loop = Loop(self.failures.append)
        self.recorder = Recorder(self.loop.clock)
        self.entries = [
            ListedBackend(name=f"s-{k}", address="127.0.0.1:9", zone="z", type="m", group=0) for k in range(4)
        ]
        self.list = BackendList(self.entries, self.loop.clock)
        address = Network(64 + os.getpid() % 190).agent(240)
        self.agent = Agent(self.loop, self.list, self.recorder, "c", address)
        known = {"index": 1, "snapshot": True, "endpoints": []}
        self.watch = Discovery(
            self.loop, self, self, {"discovery": address, "known": known}, Random(1).uniform
        )

    def report(self, now, update):
        self.news.append({entry.name: entry.phase for entry in update.entries})

    def event(self, name, **fields):
        self.log.append(name)

    rate_limited_event = event

    def run(self, seconds, until=lambda: False):
        """Turns the loop for so long, or until something holds."""
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
        return [(e.backend, e.phase) for e in self.recorder.events if isinstance(e, BackendListed)]


@pytest.fixture
def watched():
    made = Watched()
    assert made.run(3, lambda: made.agent.watches)
    yield made
    made.loop.close()
    assert not made.failures


def test_discovery_that_stalls_in_the_middle_of_a_line_is_asked_again_and_loses_nothing(watched):
    watched.agent.stall(watched.loop.clock() + 3 * SECOND)
    watched.change(0, "draining")
    assert not watched.run(2, lambda: watched.news)
    assert not watched.listed()
    assert watched.run(6, lambda: watched.news)
    assert "watch_ended" in watched.log
    assert watched.news[0] == {"s-0": "draining"}
    assert watched.listed() == [("s-0", "draining")]


def test_a_change_that_arrives_twice_is_told_once_more_and_is_the_same(watched):
    watched.agent.push([watched.change(1, "draining")])
    assert watched.run(2, lambda: len(watched.news) == 2)
    assert watched.news == [{"s-1": "draining"}] * 2 and "stale_endpoint_list" not in watched.log


def test_of_two_changes_out_of_order_the_later_one_stays(watched):
    first = watched.list.publish(
        [ListedBackend(name="s-2", address="127.0.0.1:9", zone="z", type="m", group=0, status="draining")],
        notify=False,
    )
    second = watched.list.publish(
        [ListedBackend(name="s-2", address="127.0.0.1:9", zone="z", type="m", group=0, status="gone")],
        notify=False,
    )
    watched.agent.known_index = watched.list.index
    watched.agent.push([second, first])
    assert watched.run(2, lambda: "stale_endpoint_list" in watched.log)
    assert watched.news == [{"s-2": "gone"}]
    assert watched.listed() == [("s-2", "gone")]


def test_an_agent_that_is_cut_off_is_silent_and_tells_all_of_it_once_healed(watched):
    watched.agent.set_cut(True)
    watched.change(0, "draining")
    watched.change(1, "draining")
    assert watched.run(4, lambda: "watch_ended" in watched.log)
    assert not watched.news
    watched.agent.set_cut(False)
    assert watched.run(3, lambda: len(watched.news) == 2)
    assert watched.listed() == [("s-0", "draining"), ("s-1", "draining")]


# Processes


def test_a_child_ends_with_its_parent_also_where_the_parent_is_killed():
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
    assert not outlived([child])


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL, signal.SIGINT])
def test_a_run_that_is_ended_leaves_no_process(number):
    command = [sys.executable, "-m", "granitespool", "scale", "run", "ci", "--set", "hollow=0"]
    with subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE) as run:
        assert b"c000 is ready" in run.stderr.readline()
        assert b"c001 is ready" in run.stderr.readline()
        children = [int(pid) for pid in Path(f"/proc/{run.pid}/task/{run.pid}/children").read_text().split()]
        assert len(children) >= 2
        run.send_signal(number)
        assert run.wait(20) != 0
    assert not outlived(children)


def outlived(children):
    """Those that still run some seconds after their parent's end; none of them does after the call."""
    until = time.monotonic() + 5
    while any(map(running, children)) and time.monotonic() < until:
        time.sleep(0.02)
    left = [pid for pid in children if running(pid)]
    for pid in left:
        os.kill(pid, signal.SIGKILL)
    return left


def running(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


def test_a_child_has_the_limits_it_was_given_and_one_that_ignores_the_end_is_killed():
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
    assert child.close(limit=0.2) == -signal.SIGKILL
    child.process.stdout.close()


def test_the_worst_second_is_of_one_process_and_after_the_begin():
    samples = [
        Sample(at=k * SECOND, processor=used, resident=1)
        for k, used in enumerate((0, SECOND, SECOND + SECOND // 2, 0, SECOND // 4))
    ]
    assert worst_second(samples, 0) == 1.0
    assert worst_second(samples, SECOND) == 0.5
    assert worst_second(samples, 2 * SECOND) == 0.25
    assert worst_second(samples, 4 * SECOND) is None


# The whole, small


class Played(Run):
    """A run that was played, with its report."""

    def __init__(self, *changes):
        super().__init__(schema.load("ci", changes), lambda _: None)
        self.result = runner.play_run(self)


@pytest.fixture(scope="module")
def played():
    return Played()


def test_the_small_scenario_passes_and_leaves_no_process(played):
    assert played.result.passed, (played.result.failures, played.result.violations[:3])
    assert played.result.planned == len(played.plan) > 20
    for coordinator in played.environment.coordinators:
        assert coordinator.child.ended
        assert coordinator.exit_codes[-1] == 0
    assert all(child.ended for child in played.hollow.children)


def test_every_real_coordinator_is_measured(played):
    assert 0 < played.result.backends_used <= len(played.environment.list.entries)
    assert played.result.load_largest >= 1
    for row in played.result.coordinators:
        assert 0 < row.idle_share < 1
        assert 0 < row.reports_share < 1
        assert row.worst_second_share > 0
        assert row.resident_mb > 5
        assert row.in_bytes_per_s > 0
        assert row.out_bytes_per_s > 0
        kinds = {"in joined", "in applied", "in heard", "in usage", "in discovery list", "out update"}
        assert kinds <= set(row.traffic)
        assert all(each.bytes > 0 for each in row.traffic.values())


def test_the_hollow_ones_serve_on_when_one_process_of_them_dies(played):
    hollow = played.result.hollow
    assert hollow.coordinators == 24
    assert hollow.connected == 12
    assert hollow.streams == 24
    assert played.hollow.processes[-1].child.process.returncode == -signal.SIGKILL
    assert hollow.traffic["out update"].messages > 24
    assert hollow.traffic["in list"].messages > 24


def test_stalls_and_changes_out_of_order_were_met_and_nothing_of_the_list_is_missing(played):
    newest = played.environment.list.index
    for coordinator in played.environment.coordinators:
        assert coordinator.log.fault_events["watch_ended"] >= 1
        assert coordinator.log.list_index == newest
        assert coordinator.log.fault_events["stale_endpoint_list"] == 1
    assert played.result.older_lists == 0
    assert played.result.list_to_last_proxy.unfinished == 0


def test_a_refused_configuration_changes_nothing_and_the_others_are_in_force(played):
    assert played.result.settings_refused == 3
    assert played.result.settings_refusal_kept
    assert played.result.settings_to_last.count == 6
    assert played.result.settings_to_last.unfinished == 0
    assert [each.in_force for each in played.environment.coordinators] == [6, 6, 6]


def test_who_was_cut_off_held_what_it_had_and_was_right_soon_after(played):
    assert len(played.result.cut) == 2
    for row in played.result.cut:
        assert row.list_held < row.list_newest
        assert row.settings_held == row.settings_newest - 1
        assert row.list_right_ms < 4000
        assert row.settings_right_ms < 4000
    assert played.result.list_to_last_proxy_cut.count == 4
    assert played.result.older_settings == 0


def test_a_restarted_coordinator_is_ready_and_has_its_proxies_again(played):
    first = played.environment.coordinators[0]
    assert len(first.ready_times) == 2
    assert played.result.ready.count == 1
    assert all(
        stream.endpoint is played.environment.homes[stream.number] for stream in played.environment.streams
    )
    assert all(stream.joined or stream.table.weights for stream in played.environment.streams)


def test_the_trace_holds_what_proxies_hold(played):
    last = {e.proxy: e for e in played.environment.recorder.events if isinstance(e, TableHeld)}
    for stream in played.environment.streams:
        assert last[stream.number].weights == stream.table.weighted()
        assert last[stream.number].excluded == stream.table.excluded
    times = [event.at for event in played.environment.recorder.events]
    assert times == sorted(times)


def test_the_report_is_a_table_and_json(played):
    lines = report.table(played.result)
    assert lines[-1] == "passed"
    assert any(line.startswith("c000") for line in lines)
    told = json.loads(report.as_json(played.result))
    assert told["passed"] is True
    assert len(told["coordinators"]) == 3
    assert report.of_json(report.as_json(played.result).encode()) == played.result


def test_reports_are_plotted_against_the_size_of_the_fleet(played, tmp_path, capsys):
    where, path = tmp_path / "report.json", tmp_path / "plot.png"
    where.write_text(report.as_json(played.result))
    code = main(["scale", "plot", str(path), str(where), str(where)])
    try:
        import matplotlib  # noqa: F401, PLC0415
    except ImportError:
        assert code == 1
        assert "extra `plot`" in capsys.readouterr().err
    else:
        assert code == 0
        assert path.stat().st_size > 1000
    where.write_text("{}")
    assert main(["scale", "plot", str(path), str(where)]) == 1
    assert "is not a report of a scale run" in capsys.readouterr().err


def test_a_channel_that_is_too_late_for_a_drain_is_found_and_fails_the_command(capsys, tmp_path):
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
    where = tmp_path / "report.json"
    assert main(["scale", "run", str(path), "--seed", "3", "--report", str(where)]) == 1
    out, err = capsys.readouterr()
    assert "rule drain broken" in out
    assert "NOT PASSED" in out
    assert "did not pass" in err
    told = json.loads(where.read_text())
    assert told["passed"] is False
    assert told["seed"] == 3
    assert {each["rule"] for each in told["violations"]} == {"drain"}
    assert list(told["broken"]) == ["drain"]
    assert told["broken"]["drain"] >= len(told["violations"]) > 0


def test_the_command_lists_the_scenarios(capsys):
    assert main(["scale", "list"]) == 0
    assert "steady" in capsys.readouterr().out
    assert main(["scale", "run", "no-such"]) == 1
