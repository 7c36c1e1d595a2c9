"""Admission levels are ordered once for all classes of a level, whatever the number of classes."""

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


def classes_of(count, random):
    return [
        RequestClass(
            name=f"r{position}",
            latency_objective=random.choice((SECOND // 10, SECOND, 3 * SECOND)),
            priority_weight=random.uniform(0, 9),
        )
        for position in range(count)
    ]


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(1, 300), st.floats(0.2, 0.999))
def test_shares_form_few_levels_and_the_least_priority_per_work_is_shed_first(
    seed, class_count, admitted_share
):
    random = Random(seed)
    classes = classes_of(class_count, random)
    demand = {
        request_class.name: random.choice((0, 1, 50)) for request_class in classes if random.random() < 0.8
    }
    shares = admitted_shares(classes, demand, admitted_share)
    assert len(set(shares)) <= admission_entries_max(class_count) <= LEVELS_MAX
    assert all(0.09 <= share <= 1 for share in shares)
    by_priority = [
        (request_class.priority_weight / request_class.latency_objective, share)
        for request_class, share in zip(classes, shares)
    ]
    requested = sorted(
        item for item, request_class in zip(by_priority, classes) if demand.get(request_class.name)
    )
    assert all(low <= high + SHARE_STEP for (_, low), (_, high) in pairwise(requested))


def test_classes_of_one_level_share_an_order_and_only_changed_levels_are_ordered_again():
    levels = OrderedLevels()
    wanted = [1.0, 0.5, 0.5, 1.0, 0.09]
    assert list(levels.order(7, TargetLevels(wanted, 1), 1)) == [
        (0b110, (0.5, 1)),
        (0b10000, (0.09, 1)),
    ]  # 1.0 is the default
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


def class_settings(class_count, default_retries):
    return {
        "classes": classes_of(class_count, Random(1)),
        "default_retries": default_retries,
        "bootstrap_entries": 5,
    }


@pytest.mark.parametrize("default_retries", [0, 1])
@pytest.mark.parametrize("class_count", [3, 300, 3100])
def test_joining_proxies_are_assigned_in_one_turn_whatever_the_number_of_classes(
    class_count, default_retries
):
    """With one entry for each class and proxy, a turn with 60 backends assigned 21, 8 and 1 of 70."""
    fleet = ProxyFleet(
        60, 3, entries_per_s=4000.0, backlog_limit=16000.0, **class_settings(class_count, default_retries)
    )
    for proxy in range(70):
        fleet.join(proxy)
    fleet.turn()
    assert not fleet.coordinator.planner.assignment.unassigned
    assert fleet.coordinator.planner.in_flight.total_entries <= 70 * (60 + 1 + LEVELS_MAX + 4)


def test_an_overload_with_three_thousand_classes_costs_a_few_entries_for_each_proxy():
    fleet = ProxyFleet(60, 3, entries_per_s=4000.0, backlog_limit=16000.0, **class_settings(3100, 1))
    for proxy in range(70):
        fleet.join(proxy)
    fleet.run(5)
    before = fleet.coordinator.planner.in_flight.total_entries
    for _ in range(6):  # slow answers and high demand
        fleet.report_load(mean=9 * SECOND // 10, failed_share=0.3)
        for name in ("r1", "r2", "r3"):
            fleet.coordinator.report(
                fleet.now, UsageReport(proxy=0, request_class=name, requests=900, unanswered=0, window=SECOND)
            )
        fleet.run(1)
    planner = fleet.coordinator.planner
    assert planner.overload.is_overloaded and planner.overload.admitted_share < 1
    assert planner.admission.ordered_levels.entry_count(planner.assignment.proxies[0].table) <= LEVELS_MAX
    assert planner.in_flight.total_entries - before <= 6 * 70 * (60 + LEVELS_MAX + 8)


def test_a_start_with_three_thousand_classes_takes_seconds():
    """With costs quadratic in the number of classes, 300 classes took 12 s of CPU time."""
    started = time.process_time()
    fleet = ProxyFleet(
        600,
        10,
        entries_per_s=4000.0,
        backlog_limit=20000.0,
        proxies_expected=47600,
        coordinators=680,
        **class_settings(3100, 0),
    )
    for proxy in range(70):
        fleet.join(proxy)
    fleet.run(1)
    assert not fleet.coordinator.planner.assignment.unassigned
    assert time.process_time() - started < 10
