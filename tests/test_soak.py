"""The soak: its drawn scenarios, and runs of two fixed seeds on real processes."""

import json
from random import Random

import pytest
from support import recordings

from granitespool import cli
from granitespool.scale import report, soak
from granitespool.scale.fleet import GeneratedFleet, Network
from granitespool.scale.plan import Plan
from granitespool.scale.size_check import check_size

SEEDS = range(1, 201)
CI_SEEDS = (6, 8)  # a crowd, and restarts of one coordinator after the other


def test_a_seed_gives_the_same_scenario_each_time_and_another_seed_another_one():
    assert soak.draw(7) == soak.draw(7) != soak.draw(8)


def test_drawn_sizes_and_limits_stay_within_the_ranges_of_the_users_deployments():
    for seed in SEEDS:
        scenario = soak.draw(seed)
        check_size(scenario)
        assert scenario.coordinators.real * scenario.proxies.per_coordinator <= 640
        assert 30 <= scenario.fleet.backends <= 200
        assert 730 <= scenario.channel.lines_per_s <= 3600
        assert scenario.channel.backlog_lines >= 2 * scenario.channel.lines_per_s - 1
        assert scenario.rules.drain_grace_s >= 3


def test_each_drawn_scenario_has_a_deploy_and_ends_a_coordinator_and_each_third_is_a_crowd():
    for seed in SEEDS:
        scenario = soak.draw(seed)
        kinds = [event.kind for event in scenario.events.values()]
        assert "replace" in kinds and "restart" in kinds
        fleet = GeneratedFleet(scenario, Network(77), Random(seed))
        actions = [planned.action for planned in Plan(scenario, fleet, Random(seed)).planned]
        assert {"kill", "terminate"} & set(actions)
        stopped = scenario.events["others"].count if "others" in scenario.events else 0
        assert (stopped == scenario.coordinators.real - 1) == (seed % 3 == 0)


@pytest.mark.parametrize("option", ["--seed=x", "--count=-1"])
def test_a_soak_with_an_invalid_number_is_refused_with_one_sentence(option, capsys):
    assert cli.main(["scale", "soak", option]) != 0
    assert "is not a whole number" in capsys.readouterr().err


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_all_rules_hold_in_a_soak_of_a_fixed_seed(seed):
    result = next(soak.play([seed]))
    assert result.report.failures == []
    assert result.report.broken == {}
    assert result.passed


def test_a_broken_rule_is_described_with_its_seed_and_sizes():
    result = soak.SoakResult(seed=5, scenario=soak.draw(5), report=_report_with_broken_drains())
    assert not result.passed
    assert soak.describe(result).startswith("seed 5: BROKEN drain 3 times (")


def _report_with_broken_drains():
    fields = {**recordings.read("scale/report"), "broken": {"drain": 3}}
    return report.of_json(json.dumps(fields).encode())
