"""Drawn interleavings: up to five real coordinators in virtual time, judged by the checker of the rules.

Joinings, losses, restarts, drains and lists of different age come in any order; the five rules must hold over
all coordinators together. What is drawn is the same in each run."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.interleavings import BUSY_DAY, make_fleet, run_steps
from support.traced_coordinator import TracedCoordinator
from support.traced_fleet import SETTINGS, ChannelSettings, TracedFleet

from granitespool.coordinator import Coordinator
from granitespool.planner.candidates import CandidateSelection
from granitespool.planner.exclusion import ExclusionControl
from granitespool.planner.weights import EntryWeights
from granitespool.scale.checker import check
from granitespool.scale.trace import (
    BackendListed,
    BackendLoad,
    CoordinatorEnded,
    CoordinatorStarted,
    MessageWritten,
    ProxyLeft,
    RequestExecuted,
    TableHeld,
)

COORDINATOR = st.integers(0, 4)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("release"), st.integers(1, 8)),  # so many backends are replaced by cold ones
        st.tuples(st.just("restart"), st.integers(1, 6)),  # so many drain, end, and come back cold
        st.tuples(st.just("crash"), st.integers(1, 3)),  # so many end at once, and come back cold
        st.tuples(
            st.just("stop_coordinator"), COORDINATOR
        ),  # its proxies go to the others; it is back after 6 s
        st.tuples(st.just("replace_coordinator"), COORDINATOR),  # the same, back after one second
        st.tuples(st.just("lose_streams"), st.integers(1, 10)),  # so many proxies lose their streams
        st.tuples(st.just("return_home"), st.just(0)),  # who is elsewhere goes back
        st.tuples(st.just("complete_list"), COORDINATOR),  # a complete list, which skips what was not told
        st.tuples(st.just("repeat_change"), COORDINATOR),  # the last change is told twice
        st.tuples(
            st.just("delay_list"), st.tuples(COORDINATOR, st.integers(0, 5))
        ),  # its list is so many s old
        st.tuples(st.just("wait"), st.integers(1, 8)),
    ),
    min_size=1,
    max_size=8,
)


def broken(fleet):
    return [(each.rule, each.text) for each in check(fleet.events(), fleet.limits())]


def rules_broken(fleet):
    return {rule for rule, _ in broken(fleet)}


@settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    steps=STEPS,
    coordinators=st.integers(1, 5),
    proxies=st.integers(2, 10),  # of each coordinator
    backends=st.integers(6, 30),
    intake=st.sampled_from((5, 50, 1000)),  # reports a second; what is more adds up and comes late
    slowdown=st.sampled_from((1, 1, 3)),  # times that the channels are slower than told
    table_time=st.sampled_from((0.04, 0.15, 0.3)),  # s that a channel takes for one whole table
)
def test_the_five_rules_hold_over_all_coordinators_in_any_order(steps, **drawn):
    assert not broken(run_steps(steps, make_fleet(**drawn)))


def test_a_drain_has_its_time_where_a_full_queue_takes_longer_than_the_grace():
    # Found by drawing channels whose queue takes 10 s, three times the drains' grace: twenty joiners' tables
    # fill a third of it, all of the grace, before a drain that needs half of the grace for a line to each.
    channel = ChannelSettings(entries_per_s=60.0, backlog_limit=600.0, drain_grace=3_300_000_000)
    assert not broken(run_steps([("release", 1)], TracedFleet(channel, 1, 20, 12)))


# What the interleavings are made of is there, and a program that breaks a rule is found


def test_a_busy_day_holds_all_that_the_rules_are_about():
    fleet = run_steps(BUSY_DAY, make_fleet(3, 6, 18))
    trace = fleet.events()
    assert not broken(fleet)

    def some(kind, **fields):
        return [
            each
            for each in trace
            if isinstance(each, kind) and all(getattr(each, key) == told for key, told in fields.items())
        ]

    assert len(some(BackendListed, phase="draining")) >= 9
    assert len(some(BackendListed, phase="gone")) >= 9
    assert len(some(ProxyLeft)) >= 11
    assert len(some(CoordinatorEnded)) == 1
    assert len(some(CoordinatorStarted)) == 4
    assert max(each.multiple for each in some(BackendLoad, warming_up=True)) > 0.5
    assert {coordinator.name for coordinator in fleet.coordinators} == {
        each.coordinator for each in some(MessageWritten)
    }
    held = {name for each in some(TableHeld) for name in each.weights}
    assert {f"s{number}" for number in range(1, 24)} <= held  # the first ones and those that came later
    assert len(some(RequestExecuted)) > 1000


def test_one_that_keeps_what_drains_is_found(monkeypatch):
    select = CandidateSelection.select

    def keeps(self, now, only):
        return [each for each in select(self, now, only) if each.weight]  # no entry is taken out of a table

    monkeypatch.setattr(CandidateSelection, "select", keeps)
    monkeypatch.setattr(ExclusionControl, "publish", lambda *_: None)
    assert rules_broken(run_steps([("release", 4)], make_fleet(2, 4, 12))) == {"drain"}


def test_one_whose_messages_come_too_late_is_found(monkeypatch):
    monkeypatch.setattr(TracedCoordinator, "deliver", lambda _: None)
    assert rules_broken(run_steps([("release", 4)], make_fleet(2, 4, 12))) == {"drain"}


def test_one_that_has_uncertain_attempts_retried_is_found(monkeypatch):
    level = Coordinator.set_admission

    def repeats(self, table, classes, share, _):
        level(self, table, classes, share, 2)

    monkeypatch.setattr(Coordinator, "set_admission", repeats)
    assert rules_broken(run_steps([("wait", 8)], make_fleet(2, 4, 12))) == {"double_effect"}


def test_one_that_gives_a_cold_backend_the_work_of_many_is_found(monkeypatch):
    wanted = EntryWeights.target_weight

    def pushes(self, now, rec, zone):
        weight = wanted(self, now, rec, zone)
        return 1000.0 if weight and rec.started_at else weight

    monkeypatch.setattr(EntryWeights, "target_weight", pushes)
    assert rules_broken(run_steps([("release", 1)], make_fleet(2, 4, 24))) == {"cold_overload"}


def test_one_that_excludes_every_backend_is_found():
    fleet = make_fleet(2, 4, 12)
    fleet.run(3)
    coordinator = fleet.coordinators[1].coordinator
    for proxy in fleet.coordinators[1].joined:
        coordinator.planner.outbox.reserve(fleet.now, proxy, len(fleet.backends.by_name))
    for name in fleet.backends.by_name:
        coordinator.exclude(name, True)
    fleet.run(8)
    found = check(fleet.events(), fleet.limits())
    assert {each.rule for each in found} == {"no_backend"}
    assert {each.subject for each in found} == {f"proxy {number}" for number in (1, 3, 5, 7)}


def test_one_that_writes_more_messages_than_may_be_is_found():
    fleet = make_fleet(2, 2, 8)
    fleet.run(3)
    traced = fleet.coordinators[0]
    for _ in range(SETTINGS["messages_limit"] + 1):
        planner = traced.coordinator.planner
        for proxy in traced.joined:
            planner.in_flight.reserve(fleet.now, proxy, 0)
        traced.coordinator.request_acknowledgement(planner.in_flight.sequence, True)
        fleet.turn()
    assert rules_broken(fleet) == {"channel"}
