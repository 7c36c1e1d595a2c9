"""The table of the bench's results, with a row for each day."""

import json

import pytest

from bench.days import main


def day_result(name="roll+mass", seed=1, drain=0, fault=None, restarts=(0.3, 0.44)):
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


def write_result(tmp_path, name, document):
    (tmp_path / name).parent.mkdir(exist_ok=True)
    (tmp_path / name).write_text(json.dumps(document))
    return str(tmp_path / name)


def test_a_row_shows_rules_floors_and_starts_beside_the_earlier_result(tmp_path, capsys):
    write_result(tmp_path, "before/roll-1.json", day_result(drain=745))
    assert (
        main([f"--before={tmp_path}/before", write_result(tmp_path, "after/roll-1.json", day_result())]) == 0
    )
    assert capsys.readouterr().out.splitlines()[-1] == (
        "| roll+mass 1 | 0.812, 0.910, drain 745 | 0.812, 0.910, kept | 0.440 | b 0.50 of 0.40 | 0.3, 0.4 |"
    )


@pytest.mark.parametrize(
    ("document", "code", "message"),
    [
        (
            {"days": [day_result(), day_result("soak", 7, restarts=())]},
            0,
            "| soak 7 | 0.812, 0.910, kept | 0.440 | b 0.50 of 0.40 | 0.3 |",
        ),
        (day_result(drain=2), 1, "drain 2"),
        (day_result(fault="node n2 crashed"), 1, "ended: node n2 crashed | 0.440 |  |  |"),
    ],
)
def test_a_file_of_days_has_a_row_for_each_and_a_failed_day_sets_the_exit_code(
    tmp_path, capsys, document, code, message
):
    assert main([write_result(tmp_path, "one.json", document)]) == code
    assert message in capsys.readouterr().out


@pytest.mark.parametrize("text", ["{", "[]", "{}", '{"row": {}}'])
def test_a_malformed_file_is_one_sentence(tmp_path, text):
    (tmp_path / "odd.json").write_text(text)
    with pytest.raises(SystemExit, match="is not a --json file of the bench"):
        main([str(tmp_path / "odd.json")])
