"""The state folder in a service: a writer on a failing or slow disk, real processes that are killed, two of
them on one folder, files of other days and versions."""

import errno
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import pytest
from support.faulty_folder import FaultyFolder
from support.records import settings_of
from test_state_store import V1

from granitespool.cli import main
from granitespool.errors import InvalidInputError
from granitespool.net.service import Service
from granitespool.operator_settings import OperatorSettings, StateSettings
from granitespool.planner.events import LoadReport
from granitespool.state import framing, record
from granitespool.state.disk import StateFolder
from granitespool.state.framing import FrameKind
from granitespool.state.record import Clocks
from granitespool.state.store import file_name, read_newest
from granitespool.state.writer import Writer

KILLS = int(os.environ.get("GRANITESPOOL_KILLS", "12"))  # `make crash` sets hundreds
MOST = 1 << 26
S = 10**9


def until(check, seconds=10.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.005)
    return False


def header(start):
    return record.Header(record.FORMAT_VERSION, "t", [], [], 1, 1, start, "test")


def writer_on(folder, **more):
    return Writer(folder, 1, header, lambda: None, lambda: Clocks(1, 1), **more)


def events(writer):
    return [event for event, _ in writer.drain()]


# The writer


@pytest.mark.parametrize("call", ["append", "sync", "rename", "sync_names"])
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO, errno.EROFS])
def test_a_disk_that_fails_is_told_once_tried_again_and_told_when_it_is_well(monkeypatch, call, code):
    monkeypatch.setattr("granitespool.state.writer.RETRY_DELAY_MIN", 0.01)
    monkeypatch.setattr("granitespool.state.writer.RETRY_DELAY_MAX", 0.02)
    disk = FaultyFolder()
    writer = writer_on(disk)
    writer.submit({b"a": b"1"})
    assert until(lambda: writer.batches_written)
    disk.fails = {call: code}
    writer.submit({b"a": b"2"})
    writer.submit({b"b": b"3"})
    if call in ("rename", "sync_names"):
        disk.fails["append"] = code  # an append alone needs no rename: have it begin anew
    assert until(lambda: disk.calls > 12)
    told = writer.drain()
    assert [(event, fields["reason"], fields["retry"]) for event, fields in told] == [
        ("state_write_failed", os.strerror(code), True)
    ]
    disk.fails = {}
    assert until(lambda: writer.synced_at and events(writer) == ["state_write_recovered"])
    assert writer.close(5)
    assert read_newest(disk, MOST).state.values == {b"a": b"2", b"b": b"3"}


def test_under_a_slow_disk_the_newest_state_wins_and_what_waits_is_one_value_a_key():
    disk, gate = FaultyFolder(), threading.Event()
    real = disk.sync
    disk.sync = lambda name: (gate.wait(10), real(name))
    writer = writer_on(disk)
    for number in range(5000):
        writer.submit({b"a": b"%d" % number, b"b%d" % (number % 3): b"x"})
    assert writer.pending_count() <= 4
    gate.set()
    assert writer.close(5) and writer.batches_written <= 3
    assert read_newest(disk, MOST).state.values[b"a"] == b"4999"


def test_a_close_does_not_wait_for_a_disk_that_hangs_and_wakes_no_loop_that_is_gone():
    disk, gate, woken = FaultyFolder(), threading.Event(), []
    disk.sync = lambda name: gate.wait(10)
    writer, begun = Writer(disk, 1, header, lambda: woken.append(1), lambda: Clocks(1, 1)), time.monotonic()
    writer.submit({b"a": b"1"})
    assert writer.close(0.1) is False and time.monotonic() - begun < 1
    disk.fails = {"rename": errno.EIO}
    gate.set()
    writer.join(5)
    assert events(writer) == ["state_write_failed"] and not woken


def test_a_folder_that_cannot_be_opened_is_used_once_it_can(monkeypatch):
    monkeypatch.setattr("granitespool.state.writer.RETRY_DELAY_MIN", 0.01)
    disk = FaultyFolder()
    disk.fails = {"create": errno.EACCES}
    writer = writer_on(disk)
    assert writer.wait_until_open(5).reason == "the folder cannot be used: Permission denied"
    writer.submit({b"a": b"1"})
    disk.fails = {}
    assert until(lambda: writer.batches_written) and events(writer) == [
        "state_write_failed",
        "state_write_recovered",
    ]
    assert writer.close(5) and read_newest(disk, MOST).state.values == {b"a": b"1"}


def test_a_start_does_not_wait_for_a_folder_that_is_slow_to_read():
    disk, gate = FaultyFolder(), threading.Event()
    disk.names = lambda: gate.wait(10) and []
    writer = writer_on(disk)
    assert writer.wait_until_open(0.05) is None
    gate.set()
    assert writer.close(5)


def test_a_newer_format_is_never_written_beside(tmp_path):
    StateFolder(str(tmp_path)).append(file_name(5), newer_file(5))
    before = (tmp_path / file_name(5)).read_bytes()
    writer = writer_on(StateFolder(str(tmp_path)))
    assert "left untouched" in writer.wait_until_open(5).reason
    writer.submit({b"a": b"1"})
    writer.close(5)
    assert sorted(os.listdir(tmp_path)) == ["lock", file_name(5)]
    assert (tmp_path / file_name(5)).read_bytes() == before


def newer_file(generation):
    """A file as the next version of the format might begin it."""
    begin = framing.encode_file_start(generation)
    body = record.encode_value([record.FORMAT_VERSION + 1, {"name": "t"}, "more"])
    return begin + framing.encode_frame(generation, len(begin), FrameKind.HEADER, body)


# A service on a clock of ours


class Bench:
    """A service whose clocks the test sets, with a state folder and a log that is read back."""

    def __init__(self, path, now=10**18, mono=10**12, **settings):
        self.path, self.now, self.mono, self.lines = path, now, mono, []
        self.settings = {"zones": ["n"], "classes": [{"name": "pay"}], **settings}

    def config(self, **state):
        return {
            "name": "t",
            "listen": ("127.0.0.1", 0),
            "discovery": ("127.0.0.1", 9),
            "seed": 1,
            "sockets": 64,
            "health_checks": 4,
            "connections": 32,
            "buffers": 64,
            "peer_listen": None,
            "peers": [],
            "peers_all": None,
            "known": {"index": 1, "endpoints": self.known},
            "settings": settings_of(self.settings),
            "operator": OperatorSettings(state=StateSettings(folder=str(self.path), **state)),
        }

    known = [
        {
            "name": name,
            "address": "127.0.0.1:9",
            "zone": "n",
            "type": "m",
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for name in "abcd"
    ]

    def __enter__(self):
        self.pipe = os.pipe()
        os.set_blocking(self.pipe[0], False)
        try:
            self.service = Service(
                self.config(),
                self.pipe[1],
                lambda: self.now,
                read_configuration=lambda: self.config(every_ms=300),
                monotonic_clock=lambda: self.mono,
            )
        except BaseException:
            self._shut()
            raise
        return self

    def turn(self, seconds=0.05):
        self.now += int(seconds * S)
        self.mono += int(seconds * S)
        self.service.turn(1_000_000)
        self.read()

    def read(self):
        try:
            self.lines += [json.loads(line) for line in os.read(self.pipe[0], 1 << 20).decode().splitlines()]
        except BlockingIOError:
            pass

    def logged(self, event):
        return [line for line in self.lines if line["event"] == event]

    def hear(self, **means):
        """One report a backend: its mean in ms, 0 for failures alone."""
        for backend, mean in means.items():
            self.service.coordinator.report(
                self.now,
                LoadReport(
                    zone="n",
                    backend=backend,
                    attempts=20,
                    failures=0 if mean else 20,
                    mean=mean * 10**6,
                    window=S,
                    load={},
                ),
            )

    def learn(self, **means):
        for second in range(15):  # who fails altogether does so for the last two: it is cut
            self.hear(**{name: mean or 40 * (second < 13) for name, mean in means.items()})
            for _ in range(20):
                self.turn()
        assert until(lambda: self.turn(0) or self.service.snapshotter.writer.batches_written >= 2)

    def table(self):
        return dict(self.service.coordinator.updates.tables[0])

    def _shut(self):
        for fd in self.pipe:
            os.close(fd)

    def __exit__(self, *_):
        self.service.close()
        self.read()
        self._shut()


def lived(path, **means):
    """A life of some seconds; returns its tables and the clocks at its end."""
    with Bench(path) as first:
        first.learn(**means)
        table = first.table()
    return table, first.now, first.mono


SICK = {"a": 40, "b": 160, "c": 40, "d": 0}


def test_a_restart_stands_where_the_former_life_stood(tmp_path):
    table, now, mono = lived(tmp_path / "state", **SICK)
    assert "d" not in table and table["b"] < table["a"] / 2
    with Bench(tmp_path / "state", now + S, mono + S) as second:
        second.turn()
        assert (
            second.table() == pytest.approx(table, rel=0.1) and len(second.logged("snapshot_restored")) == 1
        )
        assert second.logged("snapshot_restored")[0]["ejected"] == 1


@pytest.mark.parametrize(
    "wall, mono, settings, words",
    [
        (24 * 3600 * S, 24 * 3600 * S, {}, "86400 s old"),
        (-3600 * S, S, {}, "clock went backward"),
        (5 * S, 3605 * S, {}, "clock went backward"),
        (S, S, {"classes": [{"name": "pay"}, {"name": "look"}]}, "classes pay, and now they are pay, look"),
        (S, S, {"zones": ["n", "s"]}, "zones n, and now they are n, s"),
    ],
)
def test_a_record_that_is_not_believed_is_ignored_with_one_line(tmp_path, wall, mono, settings, words):
    _, now, then = lived(tmp_path / "state", **SICK)
    with Bench(tmp_path / "state", now + wall, then + mono, **settings) as second:
        second.turn()
        [line] = second.logged("snapshot_ignored")
        assert words in line["reason"] and not second.logged("snapshot_restored")
        assert second.table() == dict.fromkeys("abcd", 1.0)


def test_who_moved_on_in_the_list_brings_nothing_back(tmp_path, monkeypatch):
    _, now, mono = lived(tmp_path / "state", **SICK)
    started = (now - S // 2) // 10**6
    newer = [
        {
            **entry,
            **({"since_ms": started} if entry["name"] == "b" else {}),
            **({"status": "draining"} if entry["name"] == "c" else {}),
        }
        for entry in Bench.known
        if entry["name"] != "d"
    ] + [{**Bench.known[0], "name": "e"}]
    monkeypatch.setattr(Bench, "known", newer)
    with Bench(tmp_path / "state", now + S, mono + S) as second:
        second.turn()
        [line] = second.logged("snapshot_restored")
        assert line["skipped"] == {"started again since": 1, "not ready now": 2} and line["backends"] == 1
        assert set(second.table()) == {"a", "b", "e"} and second.table()["b"] == second.table()["e"]


def test_the_healthy_and_the_sick_changed_places_and_what_is_met_wins(tmp_path):
    _, now, mono = lived(tmp_path / "state", **SICK)
    with Bench(tmp_path / "state", now + S, mono + S) as second:
        second.turn()
        assert second.table()["b"] < second.table()["a"] / 2
        for _ in range(4):
            second.hear(a=160, b=40, c=40, d=40)
            for _ in range(20):
                second.turn()
        assert second.table()["b"] > second.table()["a"] * 1.5 and second.table()["d"] > 0
        second.learn(a=160, b=40, c=40, d=40)
    with Bench(tmp_path / "state", second.now + S, second.mono + S) as third:
        third.turn()
        assert third.table()["b"] > third.table()["a"] * 1.5


def test_the_list_to_start_from_is_the_records_where_it_is_newer(tmp_path, monkeypatch):
    with Bench(tmp_path / "state") as first:
        first.service.discovery.handle_message(
            {
                "index": 9,
                "snapshot": False,
                "endpoints": [
                    {**Bench.known[0], "status": "draining"},
                    {**Bench.known[0], "name": "new", "address": "127.0.0.1:5"},
                ],
            }
        )
        first.learn(**SICK)
    with Bench(tmp_path / "state", first.now + S, first.mono + S) as second:
        second.turn()
        assert (
            second.logged("endpoint_list")[0]["index"] == 9
            and second.logged("snapshot_restored")[0]["own_list"] is True
        )
        assert "a" not in second.table() and second.service.discovery.addresses["new"] == ("127.0.0.1", 5)
    monkeypatch.setattr(Bench, "known", [])
    with Bench(tmp_path / "state", second.now + S, second.mono + S) as third:
        third.turn()
        assert set(third.table()) <= {"b", "c", "d", "new"} and third.table()


def test_a_folder_of_the_first_format_is_read_and_written_as_the_newest(tmp_path):
    shutil.copytree(V1, tmp_path / "state")
    bench = Bench(
        tmp_path / "state",
        10**18 + 2 * S,
        7 * S,
        zones=["n", "s"],
        classes=[{"name": "pay"}, {"name": "look"}],
    )
    bench.config = lambda **_: {**Bench.config(bench), "name": "n0"}
    with bench as second:
        second.turn()
        [line] = second.logged("snapshot_restored")
        assert line["backends"] == 3 and line["ejected"] == 1 and line["own_list"] is True
        assert "c" not in second.table() and second.table()["b"] < second.table()["a"] / 2
        assert until(lambda: second.turn() or second.service.snapshotter.writer.batches_written)
    found, problems = read_newest(StateFolder(str(tmp_path / "state")), MOST)
    assert (
        found.header.format_version == record.FORMAT_VERSION
        and not problems
        and found.header.start_number == 4
    )


@pytest.mark.parametrize(
    "spoil",
    [
        lambda data: data[: len(data) // 2],
        lambda data: b"\x7fELF" + data,
        lambda data: data[:60] + b"?" + data[61:],
    ],
)
def test_a_torn_file_is_told_and_nothing_of_it_trusted(tmp_path, spoil):
    _, now, mono = lived(tmp_path / "state", **SICK)
    [name] = [name for name in os.listdir(tmp_path / "state") if name != "lock"]
    path = tmp_path / "state" / name
    path.write_bytes(spoil(path.read_bytes()))
    with Bench(tmp_path / "state", now + S, mono + S) as second:
        second.turn()
        assert name in second.logged("state_corrupt")[0]["reason"] and not second.logged("snapshot_restored")
        assert second.table() == dict.fromkeys("abcd", 1.0)


def test_two_services_on_one_folder_are_refused_and_the_first_goes_on(tmp_path):
    with Bench(tmp_path / "state") as first:
        with pytest.raises(InvalidInputError, match="in use by another process"), Bench(tmp_path / "state"):
            pass
        first.learn(**SICK)
    assert read_newest(StateFolder(str(tmp_path / "state")), MOST).state.values


def test_a_folder_that_is_a_file_or_has_no_parent_is_told_and_the_service_serves(tmp_path):
    (tmp_path / "file").write_text("x")
    for path in (tmp_path / "file", tmp_path / "no" / "parent"):
        with Bench(path) as bench:
            assert until(lambda: bench.turn() or bench.logged("state_write_failed"))
            assert bench.logged("snapshot_ignored") and bench.table() == dict.fromkeys("abcd", 1.0)
    assert (tmp_path / "file").read_text() == "x"


def test_the_folder_that_goes_away_is_made_again(tmp_path, monkeypatch):
    monkeypatch.setattr("granitespool.state.writer.RETRY_DELAY_MIN", 0.01)
    with Bench(tmp_path / "state") as bench:
        bench.learn(**SICK)
        shutil.rmtree(tmp_path / "state")
        bench.hear(a=400, b=40)
        assert until(lambda: bench.turn() or bench.logged("state_write_failed"))
        assert until(lambda: bench.service.snapshotter.writer.folder.lock_fd is None)
        (tmp_path / "state").mkdir()
        assert until(lambda: bench.turn() or bench.logged("state_write_recovered"))
    assert read_newest(StateFolder(str(tmp_path / "state")), MOST).state.values


def test_a_reload_takes_the_new_figures_and_names_what_waits(tmp_path):
    with Bench(tmp_path / "state") as bench:
        bench.service.reload()
        bench.turn()
        assert bench.logged("reloaded")[0]["restart_required"] == []
        assert bench.service.snapshotter.options.every_ms == 300
        bench.config = lambda **_: {**Bench.config(bench), "operator": None}
        bench.service.reload()
        bench.turn()
        assert bench.logged("reloaded")[1]["restart_required"] == ["state.folder"]


def test_names_that_went_are_forgotten_on_the_disk_too(tmp_path):
    with Bench(tmp_path / "state") as bench:
        bench.learn(**SICK)
        bench.service.discovery.handle_message(
            {"index": 2, "snapshot": False, "endpoints": [{**Bench.known[0], "status": "gone"}]}
        )
        for _ in range(60):
            bench.turn(0.5)
        recovery = bench.service.snapshotter.recovery
        assert set(recovery.change_filter.written) == {None, "b", "c", "d"}
    held = read_newest(StateFolder(str(tmp_path / "state")), MOST).state.values
    assert record.backend_key("a") not in held and record.link_key("a", "n") not in held
    assert record.backend_key("b") in held


# Real processes


class Party:
    """A proxy or collector over a plain socket, as far as these tests need one."""

    def __init__(self, where, *messages):
        self.sock = socket.create_connection(where, timeout=5)
        self.say(*messages)

    def say(self, *messages):
        data = b"".join(
            len(body).to_bytes(4, "little") + body
            for body in (json.dumps(message).encode() for message in messages)
        )
        self.sock.sendall(data)

    def close(self):
        self.sock.close()


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def started(config, operator):
    process = subprocess.Popen(
        [sys.executable, "-m", "granitespool", "serve", "--config", config, "--operator", operator],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    lines = []
    for line in iter(process.stdout.readline, ""):
        lines.append(json.loads(line))
        if lines[-1]["event"] == "serving":
            return process, lines
    raise AssertionError((process.wait(), process.stderr.read()))


@pytest.fixture
def world(tmp_path):
    port = free_port()
    config, operator = tmp_path / "config.json", tmp_path / "operator.ini"
    names = [f"s-{k}" for k in range(9)]
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:9",
                "seed": "1f",
                "known": {
                    "index": 1,
                    "endpoints": [
                        {
                            "name": name,
                            "address": "127.0.0.1:9",
                            "zone": "n",
                            "type": "m",
                            "status": "ready",
                            "weight": 1.0,
                            "since_ms": 0,
                        }
                        for name in names
                    ],
                },
                "settings": {"zones": ["n"], "classes": [{"name": "pay"}], "family_info": {"proxy_count": 8}},
            }
        )
    )
    operator.write_text("[state]\nfolder = state\nevery_ms = 100\n")
    return SimpleNamespace(
        where=("127.0.0.1", port),
        config=str(config),
        operator=str(operator),
        names=names,
        folder=str(tmp_path / "state"),
    )


def heard(name, mean, second):
    return {
        "type": "heard",
        "locality": "n",
        "endpoint": name,
        "total": 20,
        "errors": 0,
        "rtt": mean + second % 3,
        "interval": 1000.0,
    }


def test_sigkill_at_random_moments_leaves_a_folder_that_is_whole_and_a_start_within_a_second(world, capsys):
    rng, recalls = random.Random(11), 0
    for kill in range(KILLS):
        begun = time.monotonic()
        process, lines = started(world.config, world.operator)
        try:
            assert time.monotonic() - begun < (1.0 if os.environ.get("CI") is None else 3.0), "late"
            told = {line["event"]: line for line in lines}
            assert "state_corrupt" not in told, told
            if "snapshot_restored" in told:
                recalls += 1
                assert told["snapshot_restored"]["age_ms"] < 5000 and told["snapshot_restored"][
                    "backends"
                ] == len(world.names)
            proxy = Party(
                world.where, {"type": "joined", "node": 1, "locality": "n", "w": 5.0, "cold": kill == 0}
            )
            collector = Party(world.where, {"type": "collector", "locality": "n"})
            end = time.monotonic() + rng.uniform(0.2, 0.6)
            while time.monotonic() < end:
                # one is slow in even lives, the other in odd ones: news differ from what was kept
                collector.say(
                    *(heard(name, 200 if k == kill % 2 else 40, kill) for k, name in enumerate(world.names))
                )
                time.sleep(rng.uniform(0.0, 0.02))
        finally:
            process.send_signal(signal.SIGKILL)
            process.communicate()
        proxy.close()
        collector.close()
        assert main(["state", "verify", world.folder]) == 0, capsys.readouterr().out
        found, problems = read_newest(StateFolder(world.folder), MOST)
        assert not problems
        if kill:
            kept = record.decode_record(found.header.format_version, found.values)
            slow, other = (kept.backends[world.names[k]][1]["n"] for k in (kill % 2, 1 - kill % 2))
            if (
                slow.taken_at > found.header.wall
            ):  # written in this life: what it met stands over what was kept
                assert slow.response_time / slow.successes > 1.5 * other.response_time / other.successes
    assert recalls >= KILLS - 2


def test_sigterm_writes_a_last_snapshot_and_ends_in_time_and_the_commands_read_it(world, capsys):
    process, _ = started(world.config, world.operator)
    collector = Party(world.where, {"type": "collector", "locality": "n"})
    for second in range(5):
        collector.say(*(heard(name, 200 if name == "s-3" else 40, second) for name in world.names))
        time.sleep(0.25)
    begun = time.monotonic()
    process.send_signal(signal.SIGTERM)
    out, err = process.communicate(timeout=10)
    took = time.monotonic() - begun
    collector.close()
    assert process.returncode == 0 and err == "" and took < 0.7, took
    assert '"stopped"' in out and "snapshot_not_saved" not in out
    found, problems = read_newest(StateFolder(world.folder), MOST)
    assert not problems and found.clocks[0] > time.time_ns() - 5 * S
    assert main(["state", "show", world.folder]) == 0
    shown = capsys.readouterr().out
    assert "s-3 ready from n: 2" in shown and "9 backends, 9 links" in shown and "believed by 9" in shown
    assert main(["state", "verify", world.folder]) == 0 and "whole" in capsys.readouterr().out
    before = record.decode_record(record.FORMAT_VERSION, found.values)
    assert main(["state", "compact", world.folder]) == 0 and "bytes before" in capsys.readouterr().out
    assert (
        record.decode_record(record.FORMAT_VERSION, read_newest(StateFolder(world.folder), MOST).state.values)
        == before
    )
    [name] = [name for name in os.listdir(world.folder) if name != "lock"]
    data = open(os.path.join(world.folder, name), "rb").read()
    for cut, words in ((len(data) - 3, f"{name}: a frame ends within its body at byte"), (40, "at byte")):
        open(os.path.join(world.folder, name), "wb").write(data[:cut])
        assert main(["state", "verify", world.folder]) == 1 and words in capsys.readouterr().out


def test_the_commands_on_a_folder_that_is_none_or_in_use(tmp_path, capsys):
    for command in ("show", "verify", "compact"):
        assert main(["state", command, str(tmp_path / "none")]) == 1
        assert capsys.readouterr().err.count("\n") == 1
    folder = StateFolder(str(tmp_path))
    folder.acquire_lock()
    assert main(["state", "compact", str(tmp_path)]) == 1 and "in use" in capsys.readouterr().err
    folder.close()
    StateFolder(str(tmp_path)).append(file_name(2), newer_file(2))
    for command in ("show", "verify", "compact"):
        assert main(["state", command, str(tmp_path)]) == 1 and "format 3" in capsys.readouterr().err
