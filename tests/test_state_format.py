"""Compatibility with a state folder of format 2, written by the version that introduced the format.

Guards against changes that read or write such folders differently. `data/state-v2/` contains one file with
a snapshot, later changes, settings changed by managers, an ejected link, and backends that are draining, gone
or not verified yet. A crash interrupted the last write. `data/state-v2.json` contains the values in the file,
the output of the commands, the state that a start restores, and the file that this start leaves behind.
"""

import json
import pathlib
import shutil
import struct

import google_crc32c
import msgspec
import pytest
from test_recorded_decisions import plain, status
from test_state_service import ServiceOnClock, StreamClient, free_port

from granitespool.cli import main
from granitespool.units import SECOND

DATA = pathlib.Path(__file__).parent / "data"
FOLDER = DATA / "state-v2"
NAME = "state-0000000000000006"
RECORDED = json.loads((DATA / "state-v2.json").read_text())
WRITTEN = 10**18, 540 * SECOND  # wall and monotonic clock in ns, read half a second after the last batch
CLASSES = [{"name": "pay", "latency_objective": SECOND // 10}, {"name": "look", "latency_objective": SECOND}]


def read_file(path):
    """Return the header and the values by key of a state file, decoded as docs/state-format.md specifies."""
    data = path.read_bytes()
    assert data[:12] == b"granites\x00\x01\r\n"
    generation, check = struct.unpack_from("<QI", data, 12)
    assert check == google_crc32c.value(data[:20])
    assert path.name == f"state-{generation:016x}"
    at, header, values, snapshot_done = 24, None, {}, False
    while at < len(data):
        length, check = struct.unpack_from("<II", data, at)
        body = data[at + 8 : at + 8 + length]
        covered = struct.pack("<QQI", generation, at, length) + body
        if len(body) < length or google_crc32c.value(covered) != check:
            break
        kind, content = body[:1], msgspec.msgpack.decode(body[1:])
        if kind == b"h":
            header = content
        elif kind == b"w":
            assert content[2] == len(values)
            snapshot_done = True
        else:
            assert kind == (b"c" if snapshot_done else b"s")
            for key, value in content[2].items():
                values.pop(key, None)
                if value is not None:
                    values[key] = value
        at += 8 + length
    return header, {key_text(key): msgspec.msgpack.decode(value) for key, value in values.items()}


def key_text(key):
    rest = " ".join(msgspec.msgpack.decode(key[1:])) if key[:1] == b"l" else key[1:].decode()
    return f"{key[:1].decode()} {rest}".strip()


@pytest.fixture
def folder(tmp_path):
    copy = tmp_path / "state"
    shutil.copytree(FOLDER, copy)
    return copy


def shown(capsys, folder):
    out, err = capsys.readouterr()
    assert err == ""
    return out.replace(str(folder), "FOLDER").splitlines()


@pytest.mark.parametrize("age_s", [0, 25, 100, 400, -10])
def test_output_of_show_is_as_recorded(folder, capsys, monkeypatch, age_s):
    monkeypatch.setattr("time.time_ns", lambda: WRITTEN[0] + age_s * SECOND)
    monkeypatch.setattr("time.monotonic_ns", lambda: WRITTEN[1] + abs(age_s) * SECOND)
    assert main(["state", "show", str(folder)]) == 0
    assert shown(capsys, folder) == RECORDED["show"][str(age_s)]


def test_output_of_verify_is_as_recorded(folder, capsys):
    assert main(["state", "verify", str(folder)]) == 1
    assert shown(capsys, folder) == RECORDED["verify"]


def test_the_file_decodes_to_the_recorded_values():
    assert list(read_file(FOLDER / NAME)) == RECORDED["file"]


def test_compact_keeps_every_value_of_the_fleet_backends_and_links(folder, capsys):
    assert main(["state", "compact", str(folder)]) == 0
    assert shown(capsys, folder) == RECORDED["compact"]
    [path] = folder.glob("state-*")
    header, values = read_file(path)
    assert header[:7] == RECORDED["file"][0][:7]
    stored = {key: value for key, value in RECORDED["file"][1].items() if key != "m"}
    assert {key: value for key, value in values.items() if key != "m"} == stored


class FirstStart(ServiceOnClock):
    """Service that starts on a copy of the folder, at one second after WRITTEN."""

    known = []

    def __init__(self, folder):
        zones = ["n", "s"]
        settings = {"zones": zones, "classes": CLASSES, "admission": "fraction", "warm_up_time": 10 * SECOND}
        wall, monotonic = WRITTEN[0] + SECOND, WRITTEN[1] + SECOND
        super().__init__(folder, wall, monotonic, health_checks_allowed=False, proxies_expected=4, **settings)
        self.port = free_port()

    def config(self, **state):
        return {**super().config(**state), "name": "n0", "listen": ("127.0.0.1", self.port)}

    def joined(self, proxy, zone):
        """Connect a joining proxy and return the messages that it receives, up to its ticket."""
        joining = {"type": "joined", "node": proxy, "locality": zone, "w": 5.0, "cold": True}
        client = StreamClient(("127.0.0.1", self.port), joining)
        client.sock.settimeout(0.01)
        data = b""
        for _ in range(200):
            self.turn(0)
            try:
                data += client.sock.recv(1 << 16)
            except TimeoutError:
                continue
            if b'"ticket"' in data:
                break
        client.close()
        return data.decode("latin-1")


LOG_FIELDS = {  # current names of log fields by their names in the recording
    "cuts": "ejected",
    "strained": "overloaded",
    "room": "admitted_share",
    "left_out": "skipped",
    "list": "own_list",
}


def recorded_log_line():
    """Return the recorded log event with the current names of the event and its fields."""
    line = {LOG_FIELDS.get(key, key): value for key, value in RECORDED["start"]["log"].items()}
    assert line["event"] == "recalled"
    return {**line, "event": "snapshot_restored"}


def restart_on(folder):
    """Run a service on a folder; return the restored state, and the header and values of the final file."""
    with FirstStart(folder) as host:
        host.turn()
        observed = {"status": plain(status(host.service.coordinator))}
        [line] = host.logged("snapshot_restored")
        observed["log"] = {key: value for key, value in line.items() if key not in ("at", "ts", "time")}
        observed["written"] = {zone: host.joined(number, zone) for number, zone in enumerate("ns", 1)}
        for means in ({"a": 45, "b": 150, "f": 40}, {"a": 46, "b": 90, "f": 41}, {"a": 45, "c": 40}):
            host.report_means(**means)
            for _ in range(30):
                host.turn()
    [path] = folder.glob("state-*")
    header, values = read_file(path)
    return observed, [header[:7], values]


def test_restored_state_and_final_file_of_a_start_are_as_recorded(folder):
    observed, final_file = restart_on(folder)
    assert observed["written"] == RECORDED["start"]["written"]
    assert observed["log"] == recorded_log_line()
    assert observed["status"] == RECORDED["start"]["status"]
    assert json.dumps(observed["status"]) == json.dumps(RECORDED["start"]["status"])  # keys in the same order
    assert final_file == RECORDED["left"]
