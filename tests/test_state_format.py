"""A state folder of format 2, written by the version that introduced it, is read and written as it was then.

`data/state-v2/` holds a snapshot, changes after it, settings that managers have changed, a cut link, backends
that drain, wait for their first answer or are gone, and an end that a crash has torn. `data/state-v2.json`
holds what was read from it: the values of its file as the format's page names them, what the commands print,
what a start takes over and what the first life on it leaves behind. Only plain values are compared."""

import json
import pathlib
import shutil
import struct

import google_crc32c
import msgspec
import pytest
from test_recorded_decisions import plain, status
from test_state_service import Bench, Party, free_port

from granitespool.cli import main

DATA = pathlib.Path(__file__).parent / "data"
FOLDER = DATA / "state-v2"
NAME = "state-0000000000000006"
READ = json.loads((DATA / "state-v2.json").read_text())
S = 10**9
WROTE = 10**18, 540 * S  # wall and monotonic clock, ns: half a second after the last batch
KINDS = [{"name": "pay", "latency_objective": S // 10}, {"name": "look", "latency_objective": S}]


def read_file(path):
    """(header, values by key) of a state file, read by the words of docs/state-format.md alone."""
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
def test_show_prints_what_it_printed(folder, capsys, monkeypatch, age_s):
    monkeypatch.setattr("time.time_ns", lambda: WROTE[0] + age_s * S)
    monkeypatch.setattr("time.monotonic_ns", lambda: WROTE[1] + abs(age_s) * S)
    assert main(["state", "show", str(folder)]) == 0
    assert shown(capsys, folder) == READ["show"][str(age_s)]


def test_verify_prints_what_it_printed(folder, capsys):
    assert main(["state", "verify", str(folder)]) == 1
    assert shown(capsys, folder) == READ["verify"]


def test_file_holds_what_the_format_page_says():
    assert list(read_file(FOLDER / NAME)) == READ["file"]


def test_compact_keeps_every_value_of_the_fleet(folder, capsys):
    assert main(["state", "compact", str(folder)]) == 0
    assert shown(capsys, folder) == READ["compact"]
    [path] = folder.glob("state-*")
    header, values = read_file(path)
    assert header[:7] == READ["file"][0][:7]
    learnt = {key: value for key, value in READ["file"][1].items() if key != "m"}
    assert {key: value for key, value in values.items() if key != "m"} == learnt


class Life(Bench):
    """The first start on a copy of the folder, one second after its last batch."""

    known = []

    def __init__(self, folder):
        zones = ["n", "s"]
        settings = {"zones": zones, "classes": KINDS, "admission": "fraction", "warm_up_time": 10 * S}
        wall, mono = WROTE[0] + S, WROTE[1] + S
        super().__init__(folder, wall, mono, health_checks_allowed=False, proxies_expected=4, **settings)
        self.port = free_port()

    def config(self, **state):
        return {**super().config(**state), "name": "n0", "listen": ("127.0.0.1", self.port)}

    def joined(self, proxy, zone):
        """What a proxy that joins is written first, up to its ticket."""
        joining = {"type": "joined", "node": proxy, "locality": zone, "w": 5.0, "cold": True}
        party = Party(("127.0.0.1", self.port), joining)
        party.sock.settimeout(0.01)
        data = b""
        for _ in range(200):
            self.turn(0)
            try:
                data += party.sock.recv(1 << 16)
            except TimeoutError:
                continue
            if b'"ticket"' in data:
                break
        party.close()
        return data.decode("latin-1")


LOG_FIELDS = {  # the recording's names of the log's fields -> today's
    "cuts": "ejected",
    "strained": "overloaded",
    "room": "admitted_share",
    "left_out": "skipped",
    "list": "own_list",
}


def recorded_log_line():
    """The recorded line of the log under today's names of the event and its fields."""
    line = {LOG_FIELDS.get(key, key): value for key, value in READ["start"]["log"].items()}
    assert line["event"] == "recalled"
    return {**line, "event": "snapshot_restored"}


def lived(folder):
    """(what a start takes over, what that life leaves in its file)."""
    with Life(folder) as life:
        life.turn()
        taken = {"status": plain(status(life.service.coordinator))}
        [line] = life.logged("snapshot_restored")
        taken["log"] = {key: value for key, value in line.items() if key not in ("at", "ts", "time")}
        taken["written"] = {zone: life.joined(number, zone) for number, zone in enumerate("ns", 1)}
        for means in ({"a": 45, "b": 150, "f": 40}, {"a": 46, "b": 90, "f": 41}, {"a": 45, "c": 40}):
            life.hear(**means)
            for _ in range(30):
                life.turn()
    [path] = folder.glob("state-*")
    header, values = read_file(path)
    return taken, [header[:7], values]


def test_start_takes_over_and_leaves_what_it_did(folder):
    taken, left = lived(folder)
    assert taken["written"] == READ["start"]["written"]
    assert taken["log"] == recorded_log_line()
    assert taken["status"] == READ["start"]["status"]
    assert json.dumps(taken["status"]) == json.dumps(READ["start"]["status"])  # in the same order, too
    assert left == READ["left"]
