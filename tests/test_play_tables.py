"""The table of plays: what the bench's files say, a row a day."""

import json

import pytest

from bench.days import main


def play(name="roll+mass", seed=1, drain=0, fault=None, restarts=(0.3, 0.44)):
    return {
        "fault": fault,
        "real": {"seen": {"start_s": 0.28, "restart_s": list(restarts)}},
        "row": {
            "name": name,
            "seed": seed,
            "G": 0.8123,
            "served": 0.91,
            "served_least": 0.44,
            "rules": {"drain": drain},
            "by_class": [["a", 0.9, 0.45], ["b", 0.5, 0.4], ["c", 0.1, 0.0]],
        },
    }


def written(tmp_path, name, whole):
    (tmp_path / name).parent.mkdir(exist_ok=True)
    (tmp_path / name).write_text(json.dumps(whole))
    return str(tmp_path / name)


def test_a_row_tells_rules_floors_and_starts_beside_the_play_before(tmp_path, capsys):
    written(tmp_path, "before/roll-1.json", play(drain=745))
    assert main([f"--before={tmp_path}/before", written(tmp_path, "after/roll-1.json", play())]) == 0
    assert capsys.readouterr().out.splitlines()[-1] == (
        "| roll+mass 1 | 0.812, 0.910, drain 745 | 0.812, 0.910, kept | 0.440 | b 0.50 of 0.40 | 0.3, 0.4 |"
    )


@pytest.mark.parametrize(
    ("whole", "code", "words"),
    [
        (
            {"days": [play(), play("soak", 7, restarts=())]},
            0,
            "| soak 7 | 0.812, 0.910, kept | 0.440 | b 0.50 of 0.40 | 0.3 |",
        ),
        (play(drain=2), 1, "drain 2"),
        (play(fault="node n2 crashed"), 1, "ended: node n2 crashed | 0.440 |  |  |"),
    ],
)
def test_a_score_has_a_row_a_day_and_what_went_wrong_is_the_exit_code(tmp_path, capsys, whole, code, words):
    assert main([written(tmp_path, "one.json", whole)]) == code
    assert words in capsys.readouterr().out


@pytest.mark.parametrize("text", ["{", "[]", "{}", '{"row": {}}'])
def test_what_is_no_file_of_the_bench_is_one_sentence(tmp_path, text):
    (tmp_path / "odd.json").write_text(text)
    with pytest.raises(SystemExit, match="is no file of the bench"):
        main([str(tmp_path / "odd.json")])
