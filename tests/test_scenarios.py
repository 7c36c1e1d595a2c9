"""One runner for all scenarios, and the adapter's plain words on bad input."""

import io
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

import pytest
from stage import Desk, Stage

from granitespool import simulator_adapter
from granitespool.cli import main

SCENARIOS = [
    (path.stem, *block.partition("\n")[::2])
    for path in sorted((pathlib.Path(__file__).parent / "scenarios").glob("*.txt"))
    for block in path.read_text().split("== ")[1:]
]


@pytest.mark.parametrize(
    "file, text", [pytest.param(file, text, id=f"{file}: {name}") for file, name, text in SCENARIOS]
)
def test_scenario(file, text):
    stage = {"facade": Desk}.get(file, Stage)()
    try:
        for line in text.splitlines():
            for step in line.split("; ") if line and not line.startswith("#") else ():
                stage.play(step)
    finally:
        stage.end()


@pytest.mark.parametrize(
    "told, words",
    [
        (None, "names no file"),
        ("/nowhere/at/all", "cannot be read"),
        ("{", "not JSON"),
        ("[]", "not an object"),
        ("{}", "'settings'"),
        ({"listen": "x"}, "not an address"),
        ({"listen": "a:99999"}, "not an address"),
        ({"seed": "xyz"}, "not in hex"),
        ({"settings": None}, "'settings'"),
        ({"settings": {"classes": {"a": 1}}}, "'classes'"),
        ({"settings": {"rules": {"cold_us": "long"}}}, "rules.cold_us"),
        ({"limits": 5}, "limits"),
        ({"settings": {"family_info": {"egress_per_s": "fast"}}}, "egress_per_s"),
        ({"known": 5}, "'known'"),
        ({"settings": {"family_info": {"egress_per_s": 0}}}, "no pace"),
        ({"peers": 5}, "another type"),
        ({"limits": {"sockets": "many"}}, "'sockets'"),
        ({"settings": {"zones": 5}}, "'zones'"),
        ({"known": {"index": 1}}, "'endpoints'"),
        ("taken", "in use"),
    ],
)
def test_a_wrong_configuration_is_one_sentence(monkeypatch, capsys, tmp_path, told, words):
    taken = socket.create_server(("127.0.0.1", 0))
    if told == "taken":
        told = {"listen": "{}:{}".format(*taken.getsockname())}
    if told and told != "/nowhere/at/all":
        path = tmp_path / "config.json"
        path.write_text(told if isinstance(told, str) else json.dumps({**CONFIG, **told}))
        told = str(path)
    monkeypatch.setenv("LB_CONFIG", told or "")
    monkeypatch.setattr(sys, "stdout", open(os.devnull, "w"))
    code = main([])
    err = capsys.readouterr().err
    assert code == 1 and words in err and err.count("\n") == 1


def test_a_process_serves_until_sigterm(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    with subprocess.Popen(
        [sys.executable, "-m", "granitespool", "serve", "--config", path],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        assert any('"serving"' in line for line in iter(process.stdout.readline, ""))
        for text, words in (("{", "reload_rejected"), (json.dumps(CONFIG), "reloaded"), ("", "not JSON")):
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            assert any(words in line for line in iter(process.stdout.readline, ""))
        for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
        out, err = process.communicate(timeout=30)
    assert process.returncode == 0 and err == "" and '"stopped"' in out


CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "1f",
    "settings": {"zones": ["n"]},
}
START = {"type": "start", "coordinator": 0, "entropy": 1, "settings": {"zones": ["n"], "unknown": 1}}
LIST = {
    "type": "backends_changed",
    "coordinator": 0,
    "form": "restored",
    "serial": 0,
    "new_key": 2,
    "rows_in": [{"backend": "a:1", "zone": "n", "phase": "live", "weight": None, "since_us": None}],
}
JOIN = {"type": "connected", "coordinator": 0, "agent": 3, "zone": "n", "flag": True, "weight": None}
LEFT = {"type": "left", "coordinator": 0, "agent": 3}
BROKEN = {"type": "tick_due", "coordinator": 0, "cookie": 5}


def run(monkeypatch, capsys, *lines):
    monkeypatch.setattr(sys, "stdin", io.StringIO("".join(line + "\n" for line in lines)))
    code = simulator_adapter.main()
    return code, *capsys.readouterr()


def batch(*items):
    return json.dumps({"t_us": 5, "items": items})


@pytest.mark.parametrize(
    "line, words",
    [
        ("hello", "not JSON"),
        ("[]", "not a batch"),
        ('{"t_us":1}', "not a batch"),
        ('{"items":[]}', "'t_us'"),
        (batch({"type": "left"}), "'coordinator'"),
        (batch(START, {"type": "left", "coordinator": 0}), "'agent'"),
        (batch(START, BROKEN), "'cookie'"),
        (batch({"type": "odd", "coordinator": 0}), "unknown type"),
        (batch(START, {**LIST, "rows_in": [{"zone": "n"}]}), "'backend'"),
        (batch(3), "not an object"),
    ],
)
def test_bad_input_is_one_sentence(monkeypatch, capsys, line, words):
    code, out, err = run(monkeypatch, capsys, line)
    assert code == 1 and out == "" and words in err and err.count("\n") == 1 and "Traceback" not in err


def test_wire_names_and_units(monkeypatch, capsys):
    code, out, err = run(
        monkeypatch,
        capsys,
        batch(),
        batch(START, LIST, JOIN),
        batch({"type": "shutdown", "coordinator": 0}, LEFT),
    )
    replies = [json.loads(line)["do"] for line in out.splitlines()]
    assert code == 0 and err == "" and replies[0] == replies[2] == []
    assert {"type": "bind", "coordinator": 0, "agent": 3, "tbl": 0, "for_classes": 0} in replies[1]
    assert {"type": "weigh", "coordinator": 0, "tbl": 0, "backend": "a:1", "weight": 1.0} in replies[1]
    assert any(a["type"] == "wake_at" and a["offset_us"] == 1_000_000 for a in replies[1])


def test_a_failure_is_told_for_its_instance(monkeypatch, capsys):
    monkeypatch.setattr(simulator_adapter.Planner, "_remove_proxy", lambda *_: 1 / 0)
    other = {**START, "coordinator": 1}
    code, out, err = run(monkeypatch, capsys, batch(START, other, LIST, LEFT))
    faults = [a for a in json.loads(out)["do"] if a["type"] == "fatal"]
    assert [a["coordinator"] for a in faults] == [0] and "ZeroDivisionError" in err and code == 0
