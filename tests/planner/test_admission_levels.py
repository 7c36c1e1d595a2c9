"""Levels are ordered by groups of classes that are let in alike, whatever the number of classes."""

import time
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.proxy_fleet import ProxyFleet

from granitespool.planner.admission_levels import (
    LEVELS_MAX,
    SHARE_STEP,
    OrderedLevels,
    TargetLevels,
    admission_entries_max,
    admitted_shares,
)
from granitespool.planner.events import UsageReport
from granitespool.settings import RequestClass
from granitespool.units import SECOND


def classes_of(number, random):
    return [
        RequestClass(
            name=f"r{position}",
            latency_objective=random.choice((SECOND // 10, SECOND, 3 * SECOND)),
            priority_weight=random.uniform(0, 9),
        )
        for position in range(number)
    ]


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(1, 300), st.floats(0.2, 0.999))
def test_shares_come_to_a_few_levels_and_least_benefit_goes_first(seed, number, room):
    random = Random(seed)
    classes = classes_of(number, random)
    asked = {kind.name: random.choice((0, 1, 50)) for kind in classes if random.random() < 0.8}
    found = admitted_shares(classes, asked, room)
    assert len(set(found)) <= admission_entries_max(number) <= LEVELS_MAX
    assert all(0.09 <= share <= 1 for share in found)
    worth = [(kind.priority_weight / kind.latency_objective, share) for kind, share in zip(classes, found)]
    held = sorted(each for each, kind in zip(worth, classes) if asked.get(kind.name))
    assert all(low <= high + SHARE_STEP for (_, low), (_, high) in pairwise(held))


def test_classes_of_one_level_are_one_order_and_come_again_only_where_they_differ():
    levels = OrderedLevels()
    wanted = [1.0, 0.5, 0.5, 1.0, 0.09]
    assert list(levels.order(7, TargetLevels(wanted, 1), 1)) == [
        (0b110, (0.5, 1)),
        (0b10000, (0.09, 1)),
    ]  # 1.0 is usual
    assert list(levels.order(7, TargetLevels(wanted, 1), 1)) == [] and levels.entry_count(7) == 2
    assert list(levels.order(7, TargetLevels(wanted, 0), 1)) == [
        (0b1001, (1.0, 0)),
        (0b110, (0.5, 0)),
        (0b10000, (0.09, 0)),
    ]
    assert (
        list(levels.order(7, TargetLevels([1.0] * 5, 0), 1)) == [(0b10110, (1.0, 0))]
        and levels.entry_count(7) == 1
    )
    assert levels.entry_count(8) == 0 and list(levels.order(8, TargetLevels([1.0] * 5, 1), 1)) == []


def told(classes, usual_retry):
    return {"classes": classes_of(classes, Random(1)), "default_retries": usual_retry, "bootstrap_entries": 5}


@pytest.mark.parametrize("usual_retry", [0, 1])
@pytest.mark.parametrize("classes", [3, 300, 3100])
def test_joiners_are_bound_in_one_turn_whatever_the_number_of_classes(classes, usual_retry):
    # 70 joiners before 60 backends: with a line a class and proxy one turn bound 21, 8 and one of them
    storm = ProxyFleet(60, 3, entries_per_s=4000.0, backlog_limit=16000.0, **told(classes, usual_retry))
    for proxy in range(70):
        storm.join(proxy)
    storm.turn()
    assert not storm.coordinator.planner.assignment.unassigned
    assert storm.coordinator.planner.in_flight.total_entries <= 70 * (60 + 1 + LEVELS_MAX + 4)


def test_a_strain_of_three_thousand_classes_costs_a_few_lines_a_proxy():
    storm = ProxyFleet(60, 3, entries_per_s=4000.0, backlog_limit=16000.0, **told(3100, 1))
    for proxy in range(70):
        storm.join(proxy)
    storm.run(5)
    before = storm.coordinator.planner.in_flight.total_entries
    for _ in range(6):  # all is slow, and much is asked for
        storm.report_load(mean=9 * SECOND // 10, failed_share=0.3)
        for name in ("r1", "r2", "r3"):
            storm.coordinator.report(
                storm.now, UsageReport(proxy=0, request_class=name, requests=900, unanswered=0, window=SECOND)
            )
        storm.run(1)
    planner = storm.coordinator.planner
    assert planner.overload.is_overloaded and planner.overload.admitted_share < 1
    assert planner.admission.ordered_levels.entry_count(planner.assignment.proxies[0].table) <= LEVELS_MAX
    assert planner.in_flight.total_entries - before <= 6 * 70 * (60 + LEVELS_MAX + 8)


def test_three_thousand_classes_are_started_with_in_seconds():
    # 300 took 12 s of processor, going by their square
    began = time.process_time()
    storm = ProxyFleet(
        600,
        10,
        entries_per_s=4000.0,
        backlog_limit=20000.0,
        proxies_expected=47600,
        coordinators=680,
        **told(3100, 0),
    )
    for proxy in range(70):
        storm.join(proxy)
    storm.run(1)
    assert not storm.coordinator.planner.assignment.unassigned
    assert time.process_time() - began < 10
