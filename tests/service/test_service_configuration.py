"""The configuration file, as a separate process reads it."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from granitespool.cli import main

MISSING = "/nowhere/at/all"  # a file that does not exist
CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "1f",
    "settings": {"zones": ["n"]},
}


@pytest.mark.parametrize(
    ("configuration", "expected_text"),
    [
        (None, "LB_CONFIG is not set"),
        (MISSING, "cannot be read"),
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ("{}", "'settings'"),
        ({"listen": "x"}, "not an address"),
        ({"listen": "a:99999"}, "not an address"),
        ({"seed": "xyz"}, "not a hexadecimal number"),
        ({"settings": None}, "'settings'"),
        ({"settings": {"classes": {"a": 1}}}, "'classes'"),
        ({"settings": {"rules": {"cold_us": "long"}}}, "rules.cold_us"),
        ({"limits": 5}, "limits"),
        ({"settings": {"family_info": {"egress_per_s": "fast"}}}, "egress_per_s"),
        ({"known": 5}, "'known'"),
        ({"settings": {"family_info": {"egress_per_s": 0}}}, "a channel rate of 0"),
        ({"peers": 5}, "a field of the wrong type"),
        ({"limits": {"sockets": "many"}}, "'sockets'"),
        ({"settings": {"zones": 5}}, "'zones'"),
        ({"known": {"index": 1}}, "'endpoints'"),
        ("taken", "in use"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_sentence(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
    configuration: str | dict[str, Any] | None,
    expected_text: str,
) -> None:
    taken = socket.create_server(("127.0.0.1", 0))
    if configuration == "taken":
        configuration = {"listen": "{}:{}".format(*taken.getsockname())}
    file = MISSING if configuration == MISSING else ""
    if configuration and configuration != MISSING:
        path = tmp_path / "config.json"
        path.write_text(
            configuration if isinstance(configuration, str) else json.dumps({**CONFIG, **configuration})
        )
        file = str(path)
    monkeypatch.setenv("LB_CONFIG", file)
    with Path(os.devnull).open("w") as null_file:
        monkeypatch.setattr(sys, "stdout", null_file)
        code = main([])
    err = capsys.readouterr().err
    taken.close()
    assert code == 1
    assert expected_text in err
    assert err.count("\n") == 1


def test_a_process_reloads_on_sighup_and_serves_until_sigterm(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    with subprocess.Popen(
        [sys.executable, "-m", "granitespool", "serve", "--config", path],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        assert process.stdout is not None
        assert any('"serving"' in line for line in iter(process.stdout.readline, ""))
        for text, logged in (("{", "reload_rejected"), (json.dumps(CONFIG), "reloaded"), ("", "not JSON")):
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            assert any(logged in line for line in iter(process.stdout.readline, ""))
        for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
        out, err = process.communicate(timeout=30)
    assert process.returncode == 0
    assert err == ""
    assert '"stopped"' in out
