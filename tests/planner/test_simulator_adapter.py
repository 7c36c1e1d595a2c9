"""Tests of the adapter to the simulator.

Guards against messages with other names or units than the protocol, and against invalid input that ends in a
traceback.
"""

import io
import json
import sys

import pytest

from granitespool import simulator_adapter

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
INVALID_TIMER = {"type": "tick_due", "coordinator": 0, "cookie": 5}


def run(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], *lines: str
) -> tuple[int, str, str]:
    """Run the adapter on input lines; return its exit code, standard output and standard error."""
    monkeypatch.setattr(sys, "stdin", io.StringIO("".join(line + "\n" for line in lines)))
    code = simulator_adapter.main()
    out, err = capsys.readouterr()
    return code, out, err


def batch(*items: object) -> str:
    """Return an input line with a batch of items, which is sent 5 us after the start of the simulation."""
    return json.dumps({"t_us": 5, "items": items})


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("hello", "not JSON"),
        ("[]", "not a batch"),
        ('{"t_us":1}', "not a batch"),
        ('{"items":[]}', "'t_us'"),
        (batch({"type": "left"}), "'coordinator'"),
        (batch(START, {"type": "left", "coordinator": 0}), "'agent'"),
        (batch(START, INVALID_TIMER), "'cookie'"),
        (batch({"type": "odd", "coordinator": 0}), "unknown type"),
        (batch(START, {**LIST, "rows_in": [{"zone": "n"}]}), "'backend'"),
        (batch(3), "not an object"),
    ],
)
def test_invalid_input_ends_the_adapter_with_one_sentence(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], line: str, words: str
) -> None:
    code, out, err = run(monkeypatch, capsys, line)
    assert code == 1
    assert out == ""
    assert words in err
    assert err.count("\n") == 1
    assert "Traceback" not in err


def test_actions_have_the_names_and_units_of_the_protocol(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    code, out, err = run(
        monkeypatch,
        capsys,
        batch(),
        batch(START, LIST, JOIN),
        batch({"type": "shutdown", "coordinator": 0}, LEFT),
    )
    replies = [json.loads(line)["do"] for line in out.splitlines()]
    assert code == 0
    assert err == ""
    assert replies[0] == replies[2] == []
    assert {"type": "bind", "coordinator": 0, "agent": 3, "tbl": 0, "for_classes": 0} in replies[1]
    assert {"type": "weigh", "coordinator": 0, "tbl": 0, "backend": "a:1", "weight": 1.0} in replies[1]
    assert any(action["type"] == "wake_at" and action["offset_us"] == 1_000_000 for action in replies[1])


def test_an_exception_of_a_planner_is_reported_only_for_its_coordinator(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(simulator_adapter.Planner, "_on_proxy_left", lambda *_: 1 / 0)
    other = {**START, "coordinator": 1}
    code, out, err = run(monkeypatch, capsys, batch(START, other, LIST, LEFT))
    errors = [action for action in json.loads(out)["do"] if action["type"] == "fatal"]
    assert [action["coordinator"] for action in errors] == [0]
    assert "ZeroDivisionError" in err
    assert code == 0
