"""Variants of a site: what is laid over it, and what is refused in one sentence."""

import sys
import tomllib

import pytest

from bench.sites import main

SITE = """name = "here"
wire = "wire.json"
[goal]
whole = 0.7
range = [1, 2]
[allow]
probes = true
[[class]]
name = "a"
worth = 2
effect = "safe"
[[class]]
name = "b"
worth = 5
write = true
"""


@pytest.fixture
def site(tmp_path):
    for name, text in (("here.toml", SITE), ("real.json", "{}"), ("wire.json", "[]"), ("unlock.txt", "x\n")):
        (tmp_path / name).write_text(text)
    return tmp_path / "here.toml"


def call(site, tmp_path, text, *more):
    other = tmp_path / "there.toml"
    other.write_text(text)
    code = main([str(site), str(other), "--into", str(tmp_path / "made"), *more])
    made = tmp_path / "made" / "there" / "there.toml"
    return code, tomllib.loads(made.read_text()) if made.exists() else None


def test_differences_are_laid_over_the_site_entry_by_entry(site, tmp_path, capsys):
    code, whole = call(
        site,
        tmp_path,
        """
[goal]
whole = [0.5, 1]
[[class]]
name = "x"
worth = 9
[[class]]
name = "y"
effect = "unsafe"
[[class]]
name = "z"
""",
    )
    assert code == 0
    assert capsys.readouterr().out.strip().endswith("made/there/there.toml")
    assert whole == {
        **tomllib.loads(SITE),
        "name": "there",
        "goal": {"whole": [0.5, 1], "range": [1, 2]},
        "class": [
            {"name": "x", "worth": 9, "effect": "safe"},
            {"name": "y", "worth": 5, "effect": "unsafe", "write": True},
            {"name": "z", "worth": 5, "write": True},
        ],
    }
    assert {
        path.name: path.read_text()
        for path in (tmp_path / "made" / "there").iterdir()
        if path.suffix != ".toml"
    } == {"real.json": "{}", "wire.json": "[]", "unlock.txt": "x\n"}


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("[goal]\nhole = 1", "there.toml: the site has no key 'goal.hole'"),
        ("tenant = []", "no key 'tenant'"),
        ("[[class]]\nname = 'x'\naim = 5", "no key 'class[0].aim'"),
        ("[goal]\nwhole = 'x'", "the key 'goal.whole' holds str, and the site has a figure there"),
        ("[allow]\nprobes = 1", "the key 'allow.probes' holds a figure, and the site has bool there"),
        ("goal = 5", "the key 'goal' holds a figure, and the site has a table there"),
        ("class = 'x'", "the key 'class' holds str, and the site has a list of tables there"),
        ("[goal", "is not TOML"),
    ],
)
def test_what_does_not_fit_the_site_is_one_sentence_and_writes_nothing(site, tmp_path, capsys, text, words):
    code, whole = call(site, tmp_path, text)
    err = capsys.readouterr().err
    assert code == 1
    assert whole is None
    assert words in err
    assert err.count("\n") == 1


def test_a_site_without_what_the_bench_reads_beside_it_is_told(site, tmp_path, capsys):
    (tmp_path / "wire.json").unlink()
    assert call(site, tmp_path, "[goal]\nwhole = 1")[0] == 1
    assert "no wire.json" in capsys.readouterr().err


def test_a_refusal_of_the_bench_is_told_with_its_reason(site, tmp_path, capsys):
    bench = tmp_path / "bench"
    bench.write_text(f"#!{sys.executable}\nimport sys\nsys.exit('it takes no ' + sys.argv[1])\n")
    bench.chmod(0o755)
    assert call(site, tmp_path, "[goal]\nwhole = 1", "--bench", str(bench))[0] == 1
    assert "refused by the bench: it takes no fit" in capsys.readouterr().err
