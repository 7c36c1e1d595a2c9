"""Random interleavings of up to five coordinators in virtual time, checked against the five rules.

Joins, failures, restarts, drains and endpoint lists of different age come in any order, and the rules must
hold over all coordinators together. The examples are the same in each run.
"""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.interleavings import BUSY_DAY, make_fleet, run_steps
from support.traced_coordinator import TracedCoordinator
from support.traced_fleet import SETTINGS, ChannelSettings, TracedFleet

from granitespool.coordinator import Coordinator
from granitespool.planner.candidates import CandidateSelection
from granitespool.planner.exclusion import ExclusionControl
from granitespool.planner.outbox import EntryKind
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
        st.tuples(st.just("release"), st.integers(1, 8)),  # number of backends replaced by cold ones
        st.tuples(st.just("restart"), st.integers(1, 6)),  # number that drain, end and return cold
        st.tuples(st.just("crash"), st.integers(1, 3)),  # number that end at once and return cold
        st.tuples(
            st.just("stop_coordinator"), COORDINATOR
        ),  # its proxies join the others; it returns after 6 s
        st.tuples(st.just("replace_coordinator"), COORDINATOR),  # the same, but it returns after one second
        st.tuples(st.just("lose_streams"), st.integers(1, 10)),  # number of proxies that lose their streams
        st.tuples(st.just("return_home"), st.just(0)),  # proxies return to their own coordinator
        st.tuples(st.just("complete_list"), COORDINATOR),  # a complete list instead of missed changes
        st.tuples(st.just("repeat_change"), COORDINATOR),  # the last change is sent twice
        st.tuples(
            st.just("delay_list"), st.tuples(COORDINATOR, st.integers(0, 5))
        ),  # coordinator, age of its list in s
        st.tuples(st.just("wait"), st.integers(1, 8)),
    ),
    min_size=1,
    max_size=8,
)


def violations(fleet):
    return [(violation.rule, violation.text) for violation in check(fleet.events(), fleet.limits())]


def violated_rules(fleet):
    return {rule for rule, _ in violations(fleet)}


@settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    steps=STEPS,
    coordinators=st.integers(1, 5),
    proxies=st.integers(2, 10),  # of each coordinator
    backends=st.integers(6, 30),
    intake=st.sampled_from((5, 50, 1000)),  # reports a second; further ones are summed and sent late
    slowdown=st.sampled_from((1, 1, 3)),  # factor by which the channels are slower than configured
    table_time=st.sampled_from((0.04, 0.15, 0.3)),  # s that a channel takes for a complete table
)
def test_the_five_rules_hold_over_all_coordinators_for_any_order_of_events(steps, **drawn):
    assert not violations(run_steps(steps, make_fleet(**drawn)))


def test_a_drain_is_in_time_if_a_full_queue_takes_longer_than_the_drain_grace():
    """A full queue takes 10 s, three times the drain grace.

    The tables of twenty joining proxies fill a third of it, the whole grace, before a drain that needs half
    of the grace for one entry to each.
    """
    channel = ChannelSettings(entries_per_s=60.0, backlog_limit=600.0, drain_grace=3_300_000_000)
    assert not violations(run_steps([("release", 1)], TracedFleet(channel, 1, 20, 12)))


# Checks of the test itself: the events that the rules are about occur, and each violation is found


def test_the_busy_scenario_contains_all_events_that_the_rules_are_about():
    fleet = run_steps(BUSY_DAY, make_fleet(3, 6, 18))
    trace = fleet.events()
    assert not violations(fleet)

    def events_of(kind, **fields):
        return [
            event
            for event in trace
            if isinstance(event, kind) and all(getattr(event, key) == value for key, value in fields.items())
        ]

    assert len(events_of(BackendListed, phase="draining")) >= 9
    assert len(events_of(BackendListed, phase="gone")) >= 9
    assert len(events_of(ProxyLeft)) >= 11
    assert len(events_of(CoordinatorEnded)) == 1
    assert len(events_of(CoordinatorStarted)) == 4
    assert max(event.multiple for event in events_of(BackendLoad, warming_up=True)) > 0.5
    assert {coordinator.name for coordinator in fleet.coordinators} == {
        event.coordinator for event in events_of(MessageWritten)
    }
    names = {name for event in events_of(TableHeld) for name in event.weights}
    assert {f"s{number}" for number in range(1, 24)} <= names  # the initial ones and those added later
    assert len(events_of(RequestExecuted)) > 1000


def test_a_coordinator_that_keeps_draining_backends_is_found(monkeypatch):
    select = CandidateSelection.select

    def select_without_removals(self, now, only):
        return [candidate for candidate in select(self, now, only) if candidate.weight]

    monkeypatch.setattr(CandidateSelection, "select", select_without_removals)
    monkeypatch.setattr(ExclusionControl, "publish", lambda *_: None)
    assert violated_rules(run_steps([("release", 4)], make_fleet(2, 4, 12))) == {"drain"}


def test_a_coordinator_whose_messages_are_never_delivered_is_found(monkeypatch):
    monkeypatch.setattr(TracedCoordinator, "deliver", lambda _: None)
    assert violated_rules(run_steps([("release", 4)], make_fleet(2, 4, 12))) == {"drain"}


def test_a_coordinator_that_has_uncertain_attempts_retried_is_found(monkeypatch):
    set_admission = Coordinator.set_admission

    def set_admission_with_retries(self, table, classes, share, _):
        set_admission(self, table, classes, share, 2)

    monkeypatch.setattr(Coordinator, "set_admission", set_admission_with_retries)
    assert violated_rules(run_steps([("wait", 8)], make_fleet(2, 4, 12))) == {"double_effect"}


def test_a_coordinator_that_overloads_a_cold_backend_is_found(monkeypatch):
    wanted = EntryWeights.target_weight

    def excessive_weight(self, now, backend, zone):
        weight = wanted(self, now, backend, zone)
        return 1000.0 if weight and backend.started_at else weight

    monkeypatch.setattr(EntryWeights, "target_weight", excessive_weight)
    assert violated_rules(run_steps([("release", 1)], make_fleet(2, 4, 24))) == {"cold_overload"}


def test_a_coordinator_that_excludes_every_backend_is_found():
    fleet = make_fleet(2, 4, 12)
    fleet.run(3)
    coordinator = fleet.coordinators[1].coordinator
    for proxy in fleet.coordinators[1].joined:
        entries = len(fleet.backends.by_name)
        coordinator.planner.outbox.reserve(fleet.now, proxy, entries, EntryKind.EXCLUSION)
    for name in fleet.backends.by_name:
        coordinator.exclude(name, True)
    fleet.run(8)
    found = check(fleet.events(), fleet.limits())
    assert {violation.rule for violation in found} == {"no_backend"}
    assert {violation.subject for violation in found} == {f"proxy {number}" for number in (1, 3, 5, 7)}


def test_a_coordinator_that_exceeds_the_message_limit_is_found():
    fleet = make_fleet(2, 2, 8)
    fleet.run(3)
    traced = fleet.coordinators[0]
    for _ in range(SETTINGS["messages_limit"] + 1):
        planner = traced.coordinator.planner
        for proxy in traced.joined:
            planner.in_flight.reserve(fleet.now, proxy, 0)
        traced.coordinator.request_acknowledgement(planner.in_flight.sequence, True)
        fleet.turn()
    assert violated_rules(fleet) == {"channel"}
