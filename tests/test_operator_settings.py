"""Tests that invalid settings, experiment files and command lines are reported in one sentence.

Guards against a traceback, or a message without the file, section or key, when an operator makes a mistake.
"""

from pathlib import Path

import pytest

from granitespool import ini, operator_settings
from granitespool.cli import main
from granitespool.emulator import schema
from granitespool.errors import InvalidInputError

EXAMPLE = Path(__file__).parent.parent / "deploy" / "granitespool.ini"
STATE = "[state]\nfolder = /var/x\n"


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("[stat]\n", "the section [stat] is unknown; did you mean state?"),
        ("[zzz]\n", "the section [zzz] is unknown; known names are state, tls, netconf, gnmi"),
        ("[DEFAULT]\nfolder = x\n", "[DEFAULT] is unknown"),
        ("[state]\n", "[state] the key folder is missing"),
        ("[state]\nfolder =\n", "[state] folder is ''"),
        (STATE + "every = 5\n", "[state] every is unknown; did you mean every_ms?"),
        (
            STATE + "every_ms = fast\n",
            "[state] every_ms is 'fast', expected a whole number from 100 to 600000",
        ),
        (STATE + "every_ms = 1.5\n", "a whole number"),
        (STATE + "every_ms = 99\n", "from 100"),
        (STATE + "most_mb = -1\n", "[state] most_mb is '-1'"),
        (STATE + "half_life_s = nan\n", "half_life_s is 'nan'"),
        (STATE + "half_life_s = inf\n", "half_life_s is 'inf'"),
        (STATE + "oldest_s = 1e9\n", "from 1 to 604800"),
        (STATE + "every_ms = 5000\noldest_s = 2\n", "every_ms is longer than oldest_s"),
        (STATE + "folder = y\n", "[state] folder is duplicated in line 3"),
        (STATE + STATE, "[state] is duplicated"),
        ("folder = x\n", "line 1 precedes the first [section]"),
        ("[state]\nfolder\n", "line 2 is not of the form 'key = value'"),
        ("[state\nfolder = x", "line 1"),
        ("[state]\nEvery_ms = 500\nfolder = x\n", "Every_ms is unknown"),
    ],
)
def test_an_invalid_file_is_reported_with_its_file_section_and_key(
    tmp_path, capsys, monkeypatch, text, words
):
    path = tmp_path / "operator.ini"
    path.write_text(text)
    with pytest.raises(InvalidInputError) as raised:
        operator_settings.load(str(path))
    assert words in str(raised.value)
    assert str(path) in str(raised.value)
    assert "\n" not in str(raised.value)
    monkeypatch.delenv("LB_CONFIG", raising=False)
    assert main(["check", "--operator", str(path)]) == 1
    assert capsys.readouterr().err == f"granitespool: {raised.value}\n"


@pytest.mark.parametrize(
    ("data", "words"), [(b"\xff\xfe[state]", "byte 0 is not UTF-8"), (b"x" * (1 << 20) + b"y", "larger than")]
)
def test_a_file_that_is_not_text_is_reported_in_one_sentence(tmp_path, data, words):
    path = tmp_path / "operator.ini"
    path.write_bytes(data)
    with pytest.raises(InvalidInputError, match=words):
        operator_settings.load(str(path))
    with pytest.raises(InvalidInputError, match="cannot be read: Is a directory"):
        operator_settings.load(str(tmp_path))


def test_an_empty_file_configures_nothing_and_relative_folders_are_resolved_against_the_file(tmp_path):
    path = tmp_path / "operator.ini"
    path.write_text("; nothing\n")
    assert operator_settings.load(str(path)) == operator_settings.OperatorSettings()
    assert "off" in operator_settings.summary(operator_settings.OperatorSettings())
    path.write_text("[state]\nfolder = memory\nevery_ms = 250\n")
    state = operator_settings.load(str(path)).state
    assert (state.folder, state.every_ms, state.half_life_s) == (str(tmp_path / "memory"), 250, 30.0)


def test_the_example_lists_every_key_and_configures_nothing_while_commented_out(tmp_path):
    lines = EXAMPLE.read_text().splitlines()
    assert operator_settings.load(str(EXAMPLE)) == operator_settings.OperatorSettings()
    on = "\n".join(
        line[1:] if line[:2] in ("#[",) or (line[:1] == "#" and "=" in line and line[1:2] != " ") else line
        for line in lines
    )
    path = tmp_path / "on.ini"
    path.write_text(on)
    read = operator_settings.load(str(path))
    for name, struct in [*operator_settings.SECTIONS.items(), ("users", operator_settings.UserSettings)]:
        assert getattr(read, name), name
        for field in struct.__struct_fields__:
            assert any(line.startswith(f"#{field} =") for line in lines), field


def test_changed_values_that_need_a_restart_are_listed():
    first, second = (
        operator_settings.OperatorSettings(state=operator_settings.StateSettings(folder=name, every_ms=500))
        for name in "ab"
    )
    same = operator_settings.OperatorSettings(state=operator_settings.StateSettings(folder="a"))
    assert (
        operator_settings.restart_names(first, second)
        == operator_settings.restart_names(first, None)
        == ["state.folder"]
    )
    assert operator_settings.restart_names(None, first) == ["state.folder"]
    assert operator_settings.restart_names(first, same) == []


@pytest.mark.parametrize(
    ("words", "sentence"),
    [
        (["serv"], "there is no command 'serv'"),
        (["--nope"], "there is no option '--nope'"),
        (["check", "--config"], "does not match the usage"),
        (["state", "show"], "does not match the usage"),
        (["state", "shred", "x"], "does not match the usage"),
        (["emulate", "run"], "does not match the usage"),
        (["version", "twice"], "does not match the usage"),
    ],
)
def test_an_invalid_call_prints_a_sentence_and_the_usage_and_returns_2(capsys, recwarn, words, sentence):
    assert main(words) == 2
    out, err = capsys.readouterr()
    first, empty, usage = err.split("\n")[:3]
    assert out == ""
    assert first.startswith("granitespool: ")
    assert sentence in first
    assert (empty, usage) == ("", "Usage:")
    assert not list(recwarn)


def test_help_and_version_return_0(capsys):
    assert main(["--help"]) == 0
    assert main(["version"]) == 0
    assert "GRANITESPOOL_OPERATOR" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ("load", "expected KEY=VALUE"),
        ("nope=1", "no section has this key"),
        ("load=x", "[fleet] load is 'x'"),
        ("seeds=0", "seeds is '0'"),
        ("sizes=30", "30x150"),
        ("variants=now", "variants contains 'now'"),
        ("fleet.nope=1", "nope is unknown"),
        ("kind=flood", "kind is 'flood', expected one of restart"),
    ],
)
def test_an_invalid_key_of_an_experiment_is_reported_in_one_sentence(change, words):
    with pytest.raises(InvalidInputError) as raised:
        schema.load("restart", [change])
    assert words in str(raised.value)
    assert "\n" not in str(raised.value)


def test_an_experiment_is_loaded_by_name_or_from_a_file_with_changes(tmp_path, capsys):
    assert "restart" in schema.experiment_names()
    assert schema.load("restart", ["load=0.9"]).fleet.load == 0.9
    path = tmp_path / "mine.ini"
    path.write_text("[experiment]\nkind = restart\ntitle = mine\n[class.pay]\nbenefit = 9\n")
    setup = schema.load(str(path), ["restart.down_s=3", "sizes=4x6"])
    assert (setup.restart.down_s, setup.classes["pay"].benefit, setup.experiment.size_pairs()) == (
        3,
        9,
        [(4, 6)],
    )
    assert main(["emulate", "run", "nothing"]) == 1
    assert "packaged ones are restart" in capsys.readouterr().err
    assert main(["emulate", "list"]) == 0
    assert "restart" in capsys.readouterr().out
    with pytest.raises(InvalidInputError, match=r"the section \[experiment\] is missing"):
        path.write_text("[fleet]\nload = 0.5\n")
        schema.load(str(path))


def test_an_invalid_boolean_is_reported_with_the_expected_values():
    with pytest.raises(InvalidInputError, match="again is 'perhaps', expected true or false"):
        ini.parse("x.ini", "[c]\nagain = perhaps\n", {"c": schema.ClassSettings})
