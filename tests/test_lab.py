"""The laboratory: the same seed gives the same figures; a restart shows what it is for, at a small size."""

import json
import os
from random import Random

import pytest

from granitespool.cli import main
from granitespool.emulator import play, schema
from granitespool.emulator.world import BEGAN, ERROR, SECOND, Backend, World
from granitespool.units import MILLISECOND

SMALL = [
    "sizes=8x20",
    "seeds=1",
    "learn_s=15",
    "settle_s=8",
    "look_s=6",
    "service_ms=60",
    "workers=2",
    "slow_share=0.4",
    "failing_share=0",
]


@pytest.fixture(scope="module")
def result():
    return play.play(schema.load("restart", [*SMALL, "variants=without,state,old"]))


def row(result, variant):
    return next(each for each in result["rows"] if each["variant"] == variant)


def test_the_same_seed_gives_the_same_result(result):
    again = play.play(schema.load("restart", [*SMALL, "variants=without,state,old"]))
    assert play.as_json(again) == play.as_json(result)
    other = play.play(schema.load("restart", [*SMALL, "variants=without", "first_seed=2"]))
    assert row(other, "without") != row(result, "without")


def test_a_start_with_a_state_folder_stands_at_once_and_without_one_it_learns_anew(result):
    state, without = row(result, "state"), row(result, "without")
    assert state["held_s"] <= without["held_s"] / 5 and state["tables_s"] <= without["tables_s"] / 5
    assert state["far"][0][1] < without["far"][0][1] / 2
    for name, service in state["service"].items():
        assert service["in_time"] >= without["service"][name]["in_time"] - 0.01


def test_a_record_of_hours_ago_changes_nothing_at_all(result):
    assert {**row(result, "old"), "variant": ""} == {**row(result, "without"), "variant": ""}


def test_a_world_keeps_its_books(result):
    setup = schema.load("restart", SMALL)
    world = World(setup, 8, 20, 1)
    world.start()
    world.run(BEGAN + 10 * SECOND)
    for service in world.service(0, 9).values():
        assert service["asked"] > 100
        assert sum(service[what] for what in ("in_time", "late", "failed", "refused")) == pytest.approx(1)
    assert all(proxy.joined and proxy.table for proxy in world.proxies) and not world.faults
    assert sum(world.table("z0").values()) == pytest.approx(1)


def test_dead_backends_are_cut_and_cold_ones_slow():
    setup = schema.load("restart", [*SMALL, "dead_share=0.25", "slow_share=0"])
    world = World(setup, 8, 20, 1)
    world.start()
    world.run(BEGAN + 12 * SECOND)
    dead = [name for name, each in world.backends.items() if each.dead]
    assert len(dead) == 2 and sum(world.table("z0").get(name, 0) for name in dead) < 0.1


def test_a_cold_backend_takes_longer_a_dead_one_answers_nothing_and_a_full_one_refuses():
    fleet = schema.load("restart", [*SMALL, "cold_s=10", "cold_share=0.25"]).fleet
    backend, took = Backend("a", "z0", "m", 1, 60 * MILLISECOND), {}
    for started in (0, BEGAN + 1):
        backend.started, random, took[started] = started, Random(1), 0
        for _ in range(100):
            backend.free = [0]
            took[started] += backend.answer(BEGAN + SECOND, random, fleet)[0]
    assert took[BEGAN + 1] == pytest.approx(4 * took[0], rel=0.01)
    backend.free = [BEGAN + SECOND + (fleet.queue_ms + 1) * MILLISECOND]
    assert backend.answer(BEGAN + SECOND, random, fleet) == (ERROR, False)
    backend.dead = True
    assert backend.answer(BEGAN + SECOND, random, fleet) == (None, False)


def test_the_command_prints_a_table_json_or_a_sentence(capsys, tmp_path):
    words = ["emulate", "run", "restart"] + [
        word
        for change in [*SMALL, "variants=state", "learn_s=10", "settle_s=3"]
        for word in ("--set", change)
    ]
    assert main(words) == 0
    lines = capsys.readouterr().out.splitlines()
    assert "simulated servers" in lines[0] and lines[1].split()[:4] == ["size", "variant", "tables", "held"]
    assert lines[2].split()[:2] == ["8x20", "state"]
    plot = os.path.join(tmp_path, "plot.png")
    code = main([*words, "--json", "--plot", plot])
    out, err = capsys.readouterr()
    try:
        import matplotlib  # noqa: F401, PLC0415
    except ImportError:
        assert code == 1 and "extra `plot`" in err
    else:
        assert code == 0 and json.loads(out)["rows"][0]["variant"] == "state" and os.path.getsize(plot) > 1000
