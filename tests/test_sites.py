"""Variants of a site: differences that are merged, and files that are rejected with one sentence."""

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


def write_variant(site, tmp_path, text, *options):
    differences = tmp_path / "there.toml"
    differences.write_text(text)
    code = main([str(site), str(differences), "--into", str(tmp_path / "made"), *options])
    variant = tmp_path / "made" / "there" / "there.toml"
    return code, tomllib.loads(variant.read_text()) if variant.exists() else None


def test_differences_are_merged_into_the_site_key_by_key(site, tmp_path, capsys):
    code, variant = write_variant(
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
    assert variant == {
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
    ("text", "message"),
    [
        ("[goal]\nhole = 1", "there.toml: the site has no key 'goal.hole'"),
        ("tenant = []", "no key 'tenant'"),
        ("[[class]]\nname = 'x'\naim = 5", "no key 'class[0].aim'"),
        ("[goal]\nwhole = 'x'", "the key 'goal.whole' is str, but the site has a number"),
        ("[allow]\nprobes = 1", "the key 'allow.probes' is a number, but the site has bool"),
        ("goal = 5", "the key 'goal' is a number, but the site has a table"),
        ("class = 'x'", "the key 'class' is str, but the site has a list of tables"),
        ("[goal", "is not TOML"),
    ],
)
def test_differences_that_do_not_fit_the_site_are_one_sentence_and_write_nothing(
    site, tmp_path, capsys, text, message
):
    code, variant = write_variant(site, tmp_path, text)
    err = capsys.readouterr().err
    assert code == 1
    assert variant is None
    assert message in err
    assert err.count("\n") == 1


def test_a_site_without_a_file_that_the_bench_reads_is_an_error(site, tmp_path, capsys):
    (tmp_path / "wire.json").unlink()
    assert write_variant(site, tmp_path, "[goal]\nwhole = 1")[0] == 1
    assert "no wire.json" in capsys.readouterr().err


def test_a_rejection_by_the_bench_is_reported_with_its_reason(site, tmp_path, capsys):
    bench = tmp_path / "bench"
    bench.write_text(f"#!{sys.executable}\nimport sys\nsys.exit('it takes no ' + sys.argv[1])\n")
    bench.chmod(0o755)
    assert write_variant(site, tmp_path, "[goal]\nwhole = 1", "--bench", str(bench))[0] == 1
    assert "rejected by the bench: it takes no fit" in capsys.readouterr().err
