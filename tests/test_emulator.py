"""The emulator: the same seed gives the same figures; a restart shows what it is for, at a small size."""

import json
from random import Random

import msgspec
import pytest

from granitespool.cli import main
from granitespool.emulator import experiment, report, schema
from granitespool.emulator.backend import ERROR_LATENCY, Backend, Fault
from granitespool.emulator.clock import EPOCH
from granitespool.emulator.emulation import Emulation
from granitespool.units import MILLISECOND, SECOND

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
    return experiment.run(schema.load("restart", [*SMALL, "variants=without,state,old"]))


def row(result, variant):
    return next(row for row in result.rows if row.variant == variant)


def test_the_same_seed_gives_the_same_result(result):
    again = experiment.run(schema.load("restart", [*SMALL, "variants=without,state,old"]))
    assert report.as_json(again) == report.as_json(result)
    other = experiment.run(schema.load("restart", [*SMALL, "variants=without", "first_seed=2"]))
    assert row(other, "without") != row(result, "without")


def test_a_start_with_a_state_folder_stands_at_once_and_without_one_it_learns_anew(result):
    state, without = row(result, "state"), row(result, "without")
    assert state.held_s <= without.held_s / 5
    assert state.tables_s <= without.tables_s / 5
    assert state.far[0][1] < without.far[0][1] / 2
    for name, shares in state.service.items():
        assert shares.in_time >= without.service[name].in_time - 0.01


def test_a_record_of_hours_ago_changes_nothing_at_all(result):
    assert msgspec.structs.replace(row(result, "old"), variant="without") == row(result, "without")


def test_every_transaction_is_counted_once():
    setup = schema.load("restart", SMALL)
    emulation = Emulation(setup, 8, 20, 1)
    emulation.start()
    emulation.run_until(EPOCH + 10 * SECOND)
    for shares in emulation.outcomes(0, 9).values():
        assert shares.asked > 100
        assert shares.in_time + shares.late + shares.failed + shares.refused == pytest.approx(1)
    assert emulation.host.joined_proxies == {proxy.number for proxy in emulation.proxies}
    assert all(proxy.weights for proxy in emulation.proxies)
    assert not emulation.host.internal_errors
    assert sum(emulation.zone_shares("z0").values()) == pytest.approx(1)


def test_dead_backends_are_ejected():
    setup = schema.load("restart", [*SMALL, "dead_share=0.25", "slow_share=0"])
    emulation = Emulation(setup, 8, 20, 1)
    emulation.start()
    emulation.run_until(EPOCH + 12 * SECOND)
    dead = [name for name, backend in emulation.backends.items() if backend.fault.dead]
    assert len(dead) == 2
    assert sum(emulation.zone_shares("z0").get(name, 0) for name in dead) < 0.1


def test_a_cold_backend_takes_longer_a_dead_one_answers_nothing_and_a_full_one_fails_at_once():
    fleet = schema.load("restart", [*SMALL, "cold_s=10", "cold_share=0.25"]).fleet
    backend, took = Backend("a", "z0", 1, 60 * MILLISECOND), {}
    for started in (0, EPOCH + 1):
        backend.started_at, random, took[started] = started, Random(1), 0
        for _ in range(100):
            backend.workers_free_at = [0]
            took[started] += backend.serve(EPOCH + SECOND, random, fleet).latency
    assert took[EPOCH + 1] == pytest.approx(4 * took[0], rel=0.01)
    backend.workers_free_at = [EPOCH + SECOND + (fleet.queue_ms + 1) * MILLISECOND]
    assert backend.serve(EPOCH + SECOND, random, fleet) == (ERROR_LATENCY, False)
    backend.fault = Fault(dead=True)
    assert backend.serve(EPOCH + SECOND, random, fleet) == (None, False)


def test_the_command_prints_a_table_json_or_a_sentence(capsys, tmp_path):
    words = ["emulate", "run", "restart"] + [
        word
        for change in [*SMALL, "variants=state", "learn_s=10", "settle_s=3"]
        for word in ("--set", change)
    ]
    assert main(words) == 0
    lines = capsys.readouterr().out.splitlines()
    assert "simulated servers" in lines[0]
    assert lines[1].split()[:4] == ["size", "variant", "tables", "held"]
    assert lines[2].split()[:2] == ["8x20", "state"]
    plot = tmp_path / "plot.png"
    code = main([*words, "--json", "--plot", str(plot)])
    out, err = capsys.readouterr()
    try:
        import matplotlib  # noqa: F401, PLC0415
    except ImportError:
        assert code == 1
        assert "extra `plot`" in err
    else:
        assert code == 0
        assert json.loads(out)["rows"][0]["variant"] == "state"
        assert plot.stat().st_size > 1000
