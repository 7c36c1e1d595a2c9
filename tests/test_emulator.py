"""Test the emulator.

Results depend only on the seed. A coordinator that restores a snapshot recovers sooner after a restart.
"""

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

SMALL_EXPERIMENT = [
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
    return experiment.run(schema.load("restart", [*SMALL_EXPERIMENT, "variants=without,state,old"]))


def row_of_variant(result, variant):
    return next(row for row in result.rows if row.variant == variant)


def test_the_same_seed_gives_the_same_result(result):
    same_seed = experiment.run(schema.load("restart", [*SMALL_EXPERIMENT, "variants=without,state,old"]))
    assert report.as_json(same_seed) == report.as_json(result)
    other_seed = experiment.run(
        schema.load("restart", [*SMALL_EXPERIMENT, "variants=without", "first_seed=2"])
    )
    assert row_of_variant(other_seed, "without") != row_of_variant(result, "without")


def test_tables_settle_much_faster_after_a_restart_with_a_state_folder(result):
    state, without = row_of_variant(result, "state"), row_of_variant(result, "without")
    assert state.held_s <= without.held_s / 5
    assert state.tables_s <= without.tables_s / 5
    assert state.far[0][1] < without.far[0][1] / 2
    for name, shares in state.service.items():
        assert shares.in_time >= without.service[name].in_time - 0.01


def test_a_snapshot_that_is_hours_old_has_no_effect(result):
    old, without = row_of_variant(result, "old"), row_of_variant(result, "without")
    assert msgspec.structs.replace(old, variant="without") == without


def test_every_transaction_is_counted_once():
    setup = schema.load("restart", SMALL_EXPERIMENT)
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
    setup = schema.load("restart", [*SMALL_EXPERIMENT, "dead_share=0.25", "slow_share=0"])
    emulation = Emulation(setup, 8, 20, 1)
    emulation.start()
    emulation.run_until(EPOCH + 12 * SECOND)
    dead = [name for name, backend in emulation.backends.items() if backend.fault.dead]
    assert len(dead) == 2
    assert sum(emulation.zone_shares("z0").get(name, 0) for name in dead) < 0.1


def test_a_backend_is_slower_while_warming_up_rejects_with_a_full_queue_and_is_silent_when_dead():
    fleet = schema.load("restart", [*SMALL_EXPERIMENT, "cold_s=10", "cold_share=0.25"]).fleet
    backend, total_latency = Backend("a", "z0", 1, 60 * MILLISECOND), {}
    for started_at in (0, EPOCH + 1):
        backend.started_at, random, total_latency[started_at] = started_at, Random(1), 0
        for _ in range(100):
            backend.workers_free_at = [0]
            total_latency[started_at] += backend.serve(EPOCH + SECOND, random, fleet).latency
    assert total_latency[EPOCH + 1] == pytest.approx(4 * total_latency[0], rel=0.01)
    backend.workers_free_at = [EPOCH + SECOND + (fleet.queue_ms + 1) * MILLISECOND]
    assert backend.serve(EPOCH + SECOND, random, fleet) == (ERROR_LATENCY, False)
    backend.fault = Fault(dead=True)
    assert backend.serve(EPOCH + SECOND, random, fleet) == (None, False)


def test_the_command_prints_a_table_or_json_and_an_error_without_matplotlib(capsys, tmp_path):
    arguments = ["emulate", "run", "restart"] + [
        argument
        for override in [*SMALL_EXPERIMENT, "variants=state", "learn_s=10", "settle_s=3"]
        for argument in ("--set", override)
    ]
    assert main(arguments) == 0
    lines = capsys.readouterr().out.splitlines()
    assert "simulated servers" in lines[0]
    assert lines[1].split()[:4] == ["size", "variant", "tables", "held"]
    assert lines[2].split()[:2] == ["8x20", "state"]
    plot = tmp_path / "plot.png"
    exit_code = main([*arguments, "--json", "--plot", str(plot)])
    out, err = capsys.readouterr()
    try:
        import matplotlib  # noqa: F401, PLC0415
    except ImportError:
        assert exit_code == 1
        assert "extra `plot`" in err
    else:
        assert exit_code == 0
        assert json.loads(out)["rows"][0]["variant"] == "state"
        assert plot.stat().st_size > 1000
