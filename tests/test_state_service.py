"""Tests of a service with a state folder: failing and slow disks, killed processes, old and newer formats.

Guards against a service that does not start, hangs or restores wrong values because of its state folder.
"""

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
from test_state_store import VERSION_1_FOLDER

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
from granitespool.units import SECOND

KILLS = int(os.environ.get("GRANITESPOOL_KILLS", "12"))  # `make crash` sets several hundred
MAX_FILE_SIZE = 1 << 26  # bytes


def wait_until(check, seconds=10.0):
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


# Tests of the writer


@pytest.mark.parametrize("call", ["append", "sync", "rename", "sync_names"])
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO, errno.EROFS])
def test_a_disk_failure_is_logged_once_and_retried_and_its_recovery_is_logged(monkeypatch, call, code):
    monkeypatch.setattr("granitespool.state.writer.RETRY_DELAY_MIN", 0.01)
    monkeypatch.setattr("granitespool.state.writer.RETRY_DELAY_MAX", 0.02)
    disk = FaultyFolder()
    writer = writer_on(disk)
    writer.submit({b"a": b"1"})
    assert wait_until(lambda: writer.batches_written)
    disk.fails = {call: code}
    writer.submit({b"a": b"2"})
    writer.submit({b"b": b"3"})
    if call in ("rename", "sync_names"):
        disk.fails["append"] = code  # a failed append forces a new file, which needs a rename
    assert wait_until(lambda: disk.calls > 12)
    reported = writer.drain()
    assert [(event, fields["reason"], fields["retry"]) for event, fields in reported] == [
        ("state_write_failed", os.strerror(code), True)
    ]
    disk.fails = {}
    assert wait_until(lambda: writer.synced_at and events(writer) == ["state_write_recovered"])
    assert writer.close(5)
    assert read_newest(disk, MAX_FILE_SIZE).state.values == {b"a": b"2", b"b": b"3"}


def test_a_slow_disk_gets_the_newest_values_and_at_most_one_value_per_key_is_pending():
    disk, gate = FaultyFolder(), threading.Event()
    real = disk.sync
    disk.sync = lambda name: (gate.wait(10), real(name))
    writer = writer_on(disk)
    for number in range(5000):
        writer.submit({b"a": b"%d" % number, b"b%d" % (number % 3): b"x"})
    assert writer.pending_count() <= 4
    gate.set()
    assert writer.close(5) and writer.batches_written <= 3
    assert read_newest(disk, MAX_FILE_SIZE).state.values[b"a"] == b"4999"


def test_close_does_not_wait_for_a_hanging_disk_and_the_thread_does_not_wake_a_closed_loop():
    disk, gate, woken = FaultyFolder(), threading.Event(), []
    disk.sync = lambda name: gate.wait(10)
    writer, begun = Writer(disk, 1, header, lambda: woken.append(1), lambda: Clocks(1, 1)), time.monotonic()
    writer.submit({b"a": b"1"})
    assert writer.close(0.1) is False and time.monotonic() - begun < 1
    disk.fails = {"rename": errno.EIO}
    gate.set()
    writer.join(5)
    assert events(writer) == ["state_write_failed"] and not woken


def test_a_folder_that_cannot_be_opened_is_used_once_it_can_be_opened(monkeypatch):
    monkeypatch.setattr("granitespool.state.writer.RETRY_DELAY_MIN", 0.01)
    disk = FaultyFolder()
    disk.fails = {"create": errno.EACCES}
    writer = writer_on(disk)
    assert writer.wait_until_open(5).reason == "the folder cannot be used: Permission denied"
    writer.submit({b"a": b"1"})
    disk.fails = {}
    assert wait_until(lambda: writer.batches_written) and events(writer) == [
        "state_write_failed",
        "state_write_recovered",
    ]
    assert writer.close(5) and read_newest(disk, MAX_FILE_SIZE).state.values == {b"a": b"1"}


def test_a_start_does_not_wait_for_a_folder_that_is_slow_to_read():
    disk, gate = FaultyFolder(), threading.Event()
    disk.names = lambda: gate.wait(10) and []
    writer = writer_on(disk)
    assert writer.wait_until_open(0.05) is None
    gate.set()
    assert writer.close(5)


def test_a_folder_of_a_newer_format_is_not_written(tmp_path):
    StateFolder(str(tmp_path)).append(file_name(5), file_of_newer_format(5))
    before = (tmp_path / file_name(5)).read_bytes()
    writer = writer_on(StateFolder(str(tmp_path)))
    assert "left untouched" in writer.wait_until_open(5).reason
    writer.submit({b"a": b"1"})
    writer.close(5)
    assert sorted(os.listdir(tmp_path)) == ["lock", file_name(5)]
    assert (tmp_path / file_name(5)).read_bytes() == before


def file_of_newer_format(generation):
    """Return the first bytes of a file in a format that is newer than FORMAT_VERSION."""
    begin = framing.encode_file_start(generation)
    body = record.encode_value([record.FORMAT_VERSION + 1, {"name": "t"}, "more"])
    return begin + framing.encode_frame(generation, len(begin), FrameKind.HEADER, body)


# Tests of a service in the test process


class ServiceOnClock:
    """Service with a state folder; the test sets its clocks, and its log events are in `lines`."""

    def __init__(self, path, now=10**18, monotonic=10**12, **settings):
        self.path, self.now, self.monotonic, self.lines = path, now, monotonic, []
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
                monotonic_clock=lambda: self.monotonic,
            )
        except BaseException:
            self._shut()
            raise
        return self

    def turn(self, seconds=0.05):
        self.now += int(seconds * SECOND)
        self.monotonic += int(seconds * SECOND)
        self.service.turn(1_000_000)
        self.read()

    def read(self):
        try:
            self.lines += [json.loads(line) for line in os.read(self.pipe[0], 1 << 20).decode().splitlines()]
        except BlockingIOError:
            pass

    def logged(self, event):
        return [line for line in self.lines if line["event"] == event]

    def report_means(self, **means):
        """Send a load report for each backend with its mean in ms; with a mean of 0, all attempts fail."""
        for backend, mean in means.items():
            self.service.coordinator.report(
                self.now,
                LoadReport(
                    zone="n",
                    backend=backend,
                    attempts=20,
                    failures=0 if mean else 20,
                    mean=mean * 10**6,
                    window=SECOND,
                    load={},
                ),
            )

    def report_means_repeatedly(self, **means):
        for second in range(15):  # a backend with mean 0 fails in the last two seconds and is ejected
            self.report_means(**{name: mean or 40 * (second < 13) for name, mean in means.items()})
            for _ in range(20):
                self.turn()
        assert wait_until(lambda: self.turn(0) or self.service.snapshotter.writer.batches_written >= 2)

    def table(self):
        return dict(self.service.coordinator.updates.tables[0])

    def _shut(self):
        for fd in self.pipe:
            os.close(fd)

    def __exit__(self, *_):
        self.service.close()
        self.read()
        self._shut()


def run_first_process(path, **means):
    """Run a service for some seconds; return its table, and its wall and monotonic clock at the end."""
    with ServiceOnClock(path) as first:
        first.report_means_repeatedly(**means)
        table = first.table()
    return table, first.now, first.monotonic


MEANS = {"a": 40, "b": 160, "c": 40, "d": 0}


def test_a_restarted_service_has_the_weights_and_ejections_of_the_previous_process(tmp_path):
    table, now, monotonic = run_first_process(tmp_path / "state", **MEANS)
    assert "d" not in table and table["b"] < table["a"] / 2
    with ServiceOnClock(tmp_path / "state", now + SECOND, monotonic + SECOND) as second:
        second.turn()
        assert (
            second.table() == pytest.approx(table, rel=0.1) and len(second.logged("snapshot_restored")) == 1
        )
        assert second.logged("snapshot_restored")[0]["ejected"] == 1


@pytest.mark.parametrize(
    "wall, monotonic, settings, words",
    [
        (24 * 3600 * SECOND, 24 * 3600 * SECOND, {}, "86400 s old"),
        (-3600 * SECOND, SECOND, {}, "clock went backward"),
        (5 * SECOND, 3605 * SECOND, {}, "clock went backward"),
        (
            SECOND,
            SECOND,
            {"classes": [{"name": "pay"}, {"name": "look"}]},
            "classes pay, but the settings contain pay, look",
        ),
        (SECOND, SECOND, {"zones": ["n", "s"]}, "zones n, but the settings contain n, s"),
    ],
)
def test_a_rejected_record_is_ignored_and_logged_once(tmp_path, wall, monotonic, settings, words):
    _, now, then = run_first_process(tmp_path / "state", **MEANS)
    with ServiceOnClock(tmp_path / "state", now + wall, then + monotonic, **settings) as second:
        second.turn()
        [line] = second.logged("snapshot_ignored")
        assert words in line["reason"] and not second.logged("snapshot_restored")
        assert second.table() == dict.fromkeys("abcd", 1.0)


def test_backends_that_restarted_drain_or_left_the_endpoint_list_are_not_restored(tmp_path, monkeypatch):
    _, now, monotonic = run_first_process(tmp_path / "state", **MEANS)
    started = (now - SECOND // 2) // 10**6
    newer = [
        {
            **entry,
            **({"since_ms": started} if entry["name"] == "b" else {}),
            **({"status": "draining"} if entry["name"] == "c" else {}),
        }
        for entry in ServiceOnClock.known
        if entry["name"] != "d"
    ] + [{**ServiceOnClock.known[0], "name": "e"}]
    monkeypatch.setattr(ServiceOnClock, "known", newer)
    with ServiceOnClock(tmp_path / "state", now + SECOND, monotonic + SECOND) as second:
        second.turn()
        [line] = second.logged("snapshot_restored")
        assert line["skipped"] == {"started again since": 1, "not ready now": 2} and line["backends"] == 1
        assert set(second.table()) == {"a", "b", "e"} and second.table()["b"] == second.table()["e"]


def test_load_reports_after_a_restart_override_restored_values(tmp_path):
    _, now, monotonic = run_first_process(tmp_path / "state", **MEANS)
    with ServiceOnClock(tmp_path / "state", now + SECOND, monotonic + SECOND) as second:
        second.turn()
        assert second.table()["b"] < second.table()["a"] / 2
        for _ in range(4):
            second.report_means(a=160, b=40, c=40, d=40)
            for _ in range(20):
                second.turn()
        assert second.table()["b"] > second.table()["a"] * 1.5 and second.table()["d"] > 0
        second.report_means_repeatedly(a=160, b=40, c=40, d=40)
    with ServiceOnClock(tmp_path / "state", second.now + SECOND, second.monotonic + SECOND) as third:
        third.turn()
        assert third.table()["b"] > third.table()["a"] * 1.5


def test_a_start_uses_the_endpoint_list_of_the_record_if_it_is_newer(tmp_path, monkeypatch):
    with ServiceOnClock(tmp_path / "state") as first:
        first.service.discovery.handle_message(
            {
                "index": 9,
                "snapshot": False,
                "endpoints": [
                    {**ServiceOnClock.known[0], "status": "draining"},
                    {**ServiceOnClock.known[0], "name": "new", "address": "127.0.0.1:5"},
                ],
            }
        )
        first.report_means_repeatedly(**MEANS)
    with ServiceOnClock(tmp_path / "state", first.now + SECOND, first.monotonic + SECOND) as second:
        second.turn()
        assert (
            second.logged("endpoint_list")[0]["index"] == 9
            and second.logged("snapshot_restored")[0]["own_list"] is True
        )
        assert "a" not in second.table() and second.service.discovery.addresses["new"] == ("127.0.0.1", 5)
    monkeypatch.setattr(ServiceOnClock, "known", [])
    with ServiceOnClock(tmp_path / "state", second.now + SECOND, second.monotonic + SECOND) as third:
        third.turn()
        assert set(third.table()) <= {"b", "c", "d", "new"} and third.table()


def test_a_folder_of_format_1_is_restored_and_written_in_the_newest_format(tmp_path):
    shutil.copytree(VERSION_1_FOLDER, tmp_path / "state")
    host = ServiceOnClock(
        tmp_path / "state",
        10**18 + 2 * SECOND,
        7 * SECOND,
        zones=["n", "s"],
        classes=[{"name": "pay"}, {"name": "look"}],
    )
    host.config = lambda **_: {**ServiceOnClock.config(host), "name": "n0"}
    with host as second:
        second.turn()
        [line] = second.logged("snapshot_restored")
        assert line["backends"] == 3 and line["ejected"] == 1 and line["own_list"] is True
        assert "c" not in second.table() and second.table()["b"] < second.table()["a"] / 2
        assert wait_until(lambda: second.turn() or second.service.snapshotter.writer.batches_written)
    found, problems = read_newest(StateFolder(str(tmp_path / "state")), MAX_FILE_SIZE)
    assert (
        found.header.format_version == record.FORMAT_VERSION
        and not problems
        and found.header.start_number == 4
    )


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda data: data[: len(data) // 2],
        lambda data: b"\x7fELF" + data,
        lambda data: data[:60] + b"?" + data[61:],
    ],
)
def test_a_corrupt_file_is_logged_and_not_restored(tmp_path, corrupt):
    _, now, monotonic = run_first_process(tmp_path / "state", **MEANS)
    [name] = [name for name in os.listdir(tmp_path / "state") if name != "lock"]
    path = tmp_path / "state" / name
    path.write_bytes(corrupt(path.read_bytes()))
    with ServiceOnClock(tmp_path / "state", now + SECOND, monotonic + SECOND) as second:
        second.turn()
        assert name in second.logged("state_corrupt")[0]["reason"] and not second.logged("snapshot_restored")
        assert second.table() == dict.fromkeys("abcd", 1.0)


def test_a_second_service_on_the_same_folder_fails_and_the_first_keeps_running(tmp_path):
    with ServiceOnClock(tmp_path / "state") as first:
        with (
            pytest.raises(InvalidInputError, match="in use by another process"),
            ServiceOnClock(tmp_path / "state"),
        ):
            pass
        first.report_means_repeatedly(**MEANS)
    assert read_newest(StateFolder(str(tmp_path / "state")), MAX_FILE_SIZE).state.values


def test_a_folder_that_is_a_file_or_has_no_parent_is_logged_and_the_service_starts(tmp_path):
    (tmp_path / "file").write_text("x")
    for path in (tmp_path / "file", tmp_path / "no" / "parent"):
        with ServiceOnClock(path) as host:
            assert wait_until(lambda: host.turn() or host.logged("state_write_failed"))
            assert host.logged("snapshot_ignored") and host.table() == dict.fromkeys("abcd", 1.0)
    assert (tmp_path / "file").read_text() == "x"


def test_a_removed_folder_is_used_again_after_it_was_recreated(tmp_path, monkeypatch):
    monkeypatch.setattr("granitespool.state.writer.RETRY_DELAY_MIN", 0.01)
    with ServiceOnClock(tmp_path / "state") as host:
        host.report_means_repeatedly(**MEANS)
        shutil.rmtree(tmp_path / "state")
        host.report_means(a=400, b=40)
        assert wait_until(lambda: host.turn() or host.logged("state_write_failed"))
        assert wait_until(lambda: host.service.snapshotter.writer.folder.lock_fd is None)
        (tmp_path / "state").mkdir()
        assert wait_until(lambda: host.turn() or host.logged("state_write_recovered"))
    assert read_newest(StateFolder(str(tmp_path / "state")), MAX_FILE_SIZE).state.values


def test_a_reload_applies_new_options_and_logs_those_that_need_a_restart(tmp_path):
    with ServiceOnClock(tmp_path / "state") as host:
        host.service.reload()
        host.turn()
        assert host.logged("reloaded")[0]["restart_required"] == []
        assert host.service.snapshotter.options.every_ms == 300
        host.config = lambda **_: {**ServiceOnClock.config(host), "operator": None}
        host.service.reload()
        host.turn()
        assert host.logged("reloaded")[1]["restart_required"] == ["state.folder"]


def test_backends_that_are_gone_are_removed_from_the_folder(tmp_path):
    with ServiceOnClock(tmp_path / "state") as host:
        host.report_means_repeatedly(**MEANS)
        host.service.discovery.handle_message(
            {"index": 2, "snapshot": False, "endpoints": [{**ServiceOnClock.known[0], "status": "gone"}]}
        )
        for _ in range(60):
            host.turn(0.5)
        recovery = host.service.snapshotter.recovery
        assert set(recovery.change_filter.written) == {None, "b", "c", "d"}
    values = read_newest(StateFolder(str(tmp_path / "state")), MAX_FILE_SIZE).state.values
    assert record.backend_key("a") not in values and record.link_key("a", "n") not in values
    assert record.backend_key("b") in values


# Tests of a service in a separate process


class StreamClient:
    """Client that sends the messages of a proxy or collector over a plain socket."""

    def __init__(self, where, *messages):
        self.sock = socket.create_connection(where, timeout=5)
        self.send(*messages)

    def send(self, *messages):
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


def start_process(config, operator):
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
def deployment(tmp_path):
    port = free_port()
    config, operator = tmp_path / "config.json", tmp_path / "operator.ini"
    names = [f"s-{number}" for number in range(9)]
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


def load_report(name, mean, second):
    return {
        "type": "heard",
        "locality": "n",
        "endpoint": name,
        "total": 20,
        "errors": 0,
        "rtt": mean + second % 3,
        "interval": 1000.0,
    }


def test_sigkill_at_random_times_leaves_a_valid_folder_and_the_next_start_takes_under_a_second(
    deployment, capsys
):
    rng, restored_starts = random.Random(11), 0
    for kill in range(KILLS):
        begun = time.monotonic()
        process, lines = start_process(deployment.config, deployment.operator)
        try:
            assert time.monotonic() - begun < (1.0 if os.environ.get("CI") is None else 3.0), "late"
            reported = {line["event"]: line for line in lines}
            assert "state_corrupt" not in reported, reported
            if "snapshot_restored" in reported:
                restored_starts += 1
                assert reported["snapshot_restored"]["age_ms"] < 5000 and reported["snapshot_restored"][
                    "backends"
                ] == len(deployment.names)
            proxy = StreamClient(
                deployment.where, {"type": "joined", "node": 1, "locality": "n", "w": 5.0, "cold": kill == 0}
            )
            collector = StreamClient(deployment.where, {"type": "collector", "locality": "n"})
            end = time.monotonic() + rng.uniform(0.2, 0.6)
            while time.monotonic() < end:
                # The slow backend alternates between processes: reports differ from restored values.
                collector.send(
                    *(
                        load_report(name, 200 if k == kill % 2 else 40, kill)
                        for k, name in enumerate(deployment.names)
                    )
                )
                time.sleep(rng.uniform(0.0, 0.02))
        finally:
            process.send_signal(signal.SIGKILL)
            process.communicate()
        proxy.close()
        collector.close()
        assert main(["state", "verify", deployment.folder]) == 0, capsys.readouterr().out
        found, problems = read_newest(StateFolder(deployment.folder), MAX_FILE_SIZE)
        assert not problems
        if kill:
            kept = record.decode_record(found.header.format_version, found.values)
            slow, other = (kept.backends[deployment.names[k]][1]["n"] for k in (kill % 2, 1 - kill % 2))
            if (
                slow.taken_at > found.header.wall
            ):  # written by this process: its reports override restored values
                assert slow.response_time / slow.successes > 1.5 * other.response_time / other.successes
    assert restored_starts >= KILLS - 2


def test_sigterm_writes_a_last_snapshot_in_time_and_the_state_commands_read_it(deployment, capsys):
    process, _ = start_process(deployment.config, deployment.operator)
    collector = StreamClient(deployment.where, {"type": "collector", "locality": "n"})
    for second in range(5):
        collector.send(
            *(load_report(name, 200 if name == "s-3" else 40, second) for name in deployment.names)
        )
        time.sleep(0.25)
    begun = time.monotonic()
    process.send_signal(signal.SIGTERM)
    out, err = process.communicate(timeout=10)
    took = time.monotonic() - begun
    collector.close()
    assert process.returncode == 0 and err == "" and took < 0.7, took
    assert '"stopped"' in out and "snapshot_not_saved" not in out
    found, problems = read_newest(StateFolder(deployment.folder), MAX_FILE_SIZE)
    assert not problems and found.clocks[0] > time.time_ns() - 5 * SECOND
    assert main(["state", "show", deployment.folder]) == 0
    shown = capsys.readouterr().out
    assert "s-3 ready from n: 2" in shown and "9 backends, 9 links" in shown and "confidence 9" in shown
    assert main(["state", "verify", deployment.folder]) == 0 and ": valid, " in capsys.readouterr().out
    before = record.decode_record(record.FORMAT_VERSION, found.values)
    assert main(["state", "compact", deployment.folder]) == 0 and "bytes before" in capsys.readouterr().out
    assert (
        record.decode_record(
            record.FORMAT_VERSION, read_newest(StateFolder(deployment.folder), MAX_FILE_SIZE).state.values
        )
        == before
    )
    [name] = [name for name in os.listdir(deployment.folder) if name != "lock"]
    data = open(os.path.join(deployment.folder, name), "rb").read()
    for cut, words in (
        (len(data) - 3, f"{name}: the file ends within the body of a frame at byte"),
        (40, "at byte"),
    ):
        open(os.path.join(deployment.folder, name), "wb").write(data[:cut])
        assert main(["state", "verify", deployment.folder]) == 1 and words in capsys.readouterr().out


def test_the_state_commands_fail_on_a_folder_that_is_missing_in_use_or_of_a_newer_format(tmp_path, capsys):
    for command in ("show", "verify", "compact"):
        assert main(["state", command, str(tmp_path / "none")]) == 1
        assert capsys.readouterr().err.count("\n") == 1
    folder = StateFolder(str(tmp_path))
    folder.acquire_lock()
    assert main(["state", "compact", str(tmp_path)]) == 1 and "in use" in capsys.readouterr().err
    folder.close()
    StateFolder(str(tmp_path)).append(file_name(2), file_of_newer_format(2))
    for command in ("show", "verify", "compact"):
        assert main(["state", command, str(tmp_path)]) == 1 and "format 3" in capsys.readouterr().err
