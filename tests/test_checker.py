"""Tests of the checker with constructed traces: violations are found, and a clean trace has none.

Limits are tested at their exact value and one nanosecond beyond it.
"""

import ast
from pathlib import Path

import msgspec
import pytest

import granitespool.errors
import granitespool.scale.checker
import granitespool.scale.trace
from granitespool.scale.checker import EventOrderError, UnknownEventError, check
from granitespool.scale.trace import (
    BackendListed,
    BackendLoad,
    ChannelBacklog,
    CoordinatorEnded,
    CoordinatorStarted,
    Limits,
    MessageWritten,
    ProxyJoined,
    ProxyLeft,
    RequestExecuted,
    TableHeld,
)

SECOND = 10**9
SLACK = 300_000_000
LIMITS = Limits(
    drain_grace=7 * SECOND,
    empty_limit=5 * SECOND,
    overload_multiple=4.0,
    overload_time=2 * SECOND,
    backlog_limit=1000.0,
    messages_limit=3,
    messages_span=10 * SECOND,
    warm_up_time=20 * SECOND,
)
BEGIN = 100 * SECOND  # ns of the coordinator's first answer; time limits begin one second later


def started(at=BEGIN, coordinator="c0"):
    return CoordinatorStarted(at=at, coordinator=coordinator)


def ended(at, coordinator="c0"):
    return CoordinatorEnded(at=at, coordinator=coordinator)


def listed(at, backend, phase="ready", coordinator="c0", start=0):
    return BackendListed(at=at, coordinator=coordinator, backend=backend, phase=phase, started=start)


def joined(at, proxy=1, coordinator="c0"):
    return ProxyJoined(at=at, proxy=proxy, coordinator=coordinator)


def left(at, proxy=1, coordinator="c0", by_coordinator=False):
    return ProxyLeft(at=at, proxy=proxy, coordinator=coordinator, by_coordinator=by_coordinator)


def held(at, *backends, proxy=1, excluded=()):
    weights = dict.fromkeys(backends, 1.0)
    return TableHeld(at=at, proxy=proxy, weights=weights, excluded=frozenset(excluded))


def executed(at, request, backend="s1", effect="single_shot"):
    return RequestExecuted(at=at, request=request, backend=backend, effect=effect)


def load(at, multiple, warming_up=True, backend="s1", informed_share=1.0):
    return BackendLoad(
        at=at, backend=backend, multiple=multiple, warming_up=warming_up, informed_share=informed_share
    )


def written(at, coordinator="c0", proxy=1, parts=1, largest_part=100):
    return MessageWritten(
        at=at, coordinator=coordinator, proxy=proxy, entries=3, parts=parts, largest_part=largest_part
    )


def waiting(at, entries, coordinator="c0"):
    return ChannelBacklog(at=at, coordinator=coordinator, entries=entries)


def until(at):
    """Return an event without any violation, so that the trace ends at `at`."""
    return waiting(at, 0, "clock")


def opening(coordinator="c0"):
    """Return the events of a coordinator with two listed backends, and of one proxy that may use both."""
    return [
        listed(BEGIN, "s1", coordinator=coordinator),
        listed(BEGIN, "s2", coordinator=coordinator),
        started(coordinator=coordinator),
        joined(BEGIN, coordinator=coordinator),
        held(BEGIN, "s1", "s2"),
    ]


def found(*events, limits=LIMITS):
    """Return the violations as tuples of rule, subject and time."""
    return [(violation.rule, violation.subject, violation.at) for violation in check(events, limits)]


NONE = []
GRACE = LIMITS.drain_grace + SLACK
EMPTY = LIMITS.empty_limit + SLACK
FALL = LIMITS.overload_time + SLACK
LATER = BEGIN + 60 * SECOND


def test_a_clean_trace_has_no_violation():
    trace = [
        *opening(),
        executed(BEGIN + 1, 1),
        executed(BEGIN + 1, 2, effect="guarded"),
        executed(BEGIN + 2, 2, "s2", effect="guarded"),
        executed(BEGIN + 3, 3, "s2"),
        written(BEGIN + 4, parts=64, largest_part=1 << 20),
        listed(LATER, "s1", "draining"),
        held(LATER + 3 * SECOND, "s2"),
        listed(LATER + 4 * SECOND, "s1", "gone"),
        load(LATER + 4 * SECOND, 3.9),
        listed(LATER + 5 * SECOND, "s1", start=LATER + 5 * SECOND),
        held(LATER + 6 * SECOND, "s1", "s2"),
        waiting(LATER + 7 * SECOND, 1000.0),
        ended(LATER + 8 * SECOND),
        until(LATER + 100 * SECOND),
    ]
    assert check(trace, LIMITS) == []


def test_an_empty_trace_has_no_violation():
    assert check([], LIMITS) == []


# The rule no_backend


@pytest.mark.parametrize("over", [0, 1])
def test_an_empty_table_is_a_violation_just_beyond_the_limit(over):
    trace = [*opening(), held(LATER), until(LATER + EMPTY + over)]
    assert found(*trace) == ([("no_backend", "proxy 1", LATER + EMPTY)] if over else NONE)


@pytest.mark.parametrize("over", [0, 1])
def test_a_table_that_gets_a_backend_within_the_limit_is_no_violation(over):
    trace = [*opening(), held(LATER), held(LATER + EMPTY + over, "s2"), until(LATER + 90 * SECOND)]
    assert found(*trace) == ([("no_backend", "proxy 1", LATER + EMPTY)] if over else NONE)


def test_a_table_whose_backends_are_all_excluded_or_without_weight_is_empty():
    all_excluded = [*opening(), held(LATER, "s1", "s2", excluded=("s1", "s2")), until(LATER + EMPTY + 1)]
    weightless = TableHeld(at=LATER, proxy=1, weights={"s1": 0.0})
    assert found(*all_excluded) == [("no_backend", "proxy 1", LATER + EMPTY)]
    assert found(*opening(), weightless, until(LATER + EMPTY + 1)) == found(*all_excluded)


def test_a_proxy_without_any_table_counts_as_empty_from_its_join():
    trace = [*opening(), joined(LATER, proxy=2), until(LATER + EMPTY + 1)]
    assert found(*trace) == [("no_backend", "proxy 2", LATER + EMPTY)]


def test_an_empty_table_is_reported_once_until_it_is_empty_again():
    again = LATER + 30 * SECOND
    trace = [*opening(), held(LATER), held(LATER + 9 * SECOND), held(again - 1, "s1"), held(again)]
    expected = [("no_backend", "proxy 1", LATER + EMPTY), ("no_backend", "proxy 1", again + EMPTY)]
    assert found(*trace, until(again + 2 * EMPTY)) == expected


def test_an_empty_table_is_no_violation_while_no_backend_is_listed_as_ready():
    none_ready = [listed(LATER, "s1", "gone"), listed(LATER, "s2", "draining"), held(LATER)]
    back = LATER + 30 * SECOND
    assert found(*opening(), *none_ready, until(LATER + 90 * SECOND)) == NONE
    listed_late = [*opening(), *none_ready, listed(back, "s1"), until(back + 1)]
    assert found(*listed_late) == [("no_backend", "proxy 1", back)]


def test_an_empty_table_is_no_violation_until_a_listed_backend_is_warmed_up():
    warming_up = [listed(LATER, "s2", "gone"), listed(LATER, "s1", start=LATER), held(LATER)]
    warm_at = LATER + LIMITS.warm_up_time
    assert found(*opening(), *warming_up, until(warm_at)) == NONE
    assert found(*opening(), *warming_up, until(warm_at + 1)) == [("no_backend", "proxy 1", warm_at)]


@pytest.mark.parametrize("over", [0, 1])
def test_the_limit_of_an_empty_table_begins_a_second_after_the_first_answer(over):
    trace = [listed(BEGIN, "s1"), started(), joined(BEGIN), until(BEGIN + SECOND + EMPTY + over)]
    assert found(*trace) == ([("no_backend", "proxy 1", BEGIN + SECOND + EMPTY)] if over else NONE)


def test_the_limit_of_an_empty_table_ends_when_the_proxy_leaves_and_starts_again_when_it_joins():
    there = [listed(BEGIN, "s1", coordinator="c1"), started(coordinator="c1")]
    away = [*there, *opening(), held(LATER), left(LATER + EMPTY)]
    assert found(*away, until(LATER + 90 * SECOND)) == NONE
    back = LATER + 20 * SECOND
    trace = [*away, joined(back, coordinator="c1"), until(back + EMPTY + 1)]
    assert found(*trace) == [("no_backend", "proxy 1", back + EMPTY)]


def test_a_proxy_whose_coordinator_closed_the_stream_still_counts_for_that_coordinator():
    closed = left(LATER + SECOND, by_coordinator=True)
    trace = [*opening(), held(LATER), closed, joined(LATER + 2 * SECOND), until(LATER + EMPTY + 1)]
    assert found(*trace) == [("no_backend", "proxy 1", LATER + EMPTY)]
    there = [listed(BEGIN, "s1", coordinator="c1"), started(coordinator="c1"), *opening()]
    elsewhere = [*there, held(LATER), closed, joined(LATER + 2 * SECOND, coordinator="c1")]
    assert found(*elsewhere, until(LATER + 2 * SECOND + EMPTY)) == NONE


# The rule double_effect: no request takes effect twice


def test_each_repeated_execution_of_a_single_shot_request_is_a_violation():
    trace = [executed(5, 1), executed(6, 2), executed(9, 1, "s2"), executed(11, 1, "s1")]
    expected = [("double_effect", "request 1", 9), ("double_effect", "request 1", 11)]
    assert found(*trace) == expected


def test_two_executions_at_the_same_backend_and_time_are_a_violation():
    assert found(executed(5, 1), executed(5, 1)) == [("double_effect", "request 1", 5)]


def test_requests_with_other_effects_may_be_executed_repeatedly():
    trace = [executed(at, 1, effect="free") for at in (1, 2)] + [
        executed(at, 2, effect="guarded") for at in (3, 4)
    ]
    assert found(*trace) == NONE


# The rule drain


@pytest.mark.parametrize("over", [0, 1])
@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_a_drained_backend_in_a_table_is_a_violation_just_beyond_the_grace(phase, over):
    trace = [*opening(), listed(LATER, "s1", phase), until(LATER + GRACE + over)]
    assert found(*trace) == ([("drain", "proxy 1, backend s1", LATER + GRACE)] if over else NONE)


@pytest.mark.parametrize("over", [0, 1])
@pytest.mark.parametrize("excluded", [(), ("s1",)])
def test_a_proxy_that_stops_using_a_drained_backend_within_the_grace_is_no_violation(excluded, over):
    removed = held(LATER + GRACE + over, *excluded, "s2", excluded=excluded)
    trace = [*opening(), listed(LATER, "s1", "draining"), removed, until(LATER + 90 * SECOND)]
    assert found(*trace) == ([("drain", "proxy 1, backend s1", LATER + GRACE)] if over else NONE)


def test_a_drain_is_reported_once_and_its_grace_begins_with_the_first_report():
    again = [listed(LATER + 5 * SECOND, "s1", "draining"), listed(LATER + 6 * SECOND, "s1", "gone")]
    trace = [*opening(), listed(LATER, "s1", "draining"), *again, held(LATER + 7 * SECOND, "s1", "s2")]
    assert found(*trace, until(LATER + 90 * SECOND)) == [("drain", "proxy 1, backend s1", LATER + GRACE)]


def test_a_drained_backend_that_returns_to_a_table_after_the_grace_is_a_violation_at_once():
    back = LATER + 30 * SECOND
    drain = [listed(LATER, "s1", "draining"), held(LATER + SECOND, "s2"), held(back, "s1", "s2")]
    assert found(*opening(), *drain) == [("drain", "proxy 1, backend s1", back)]
    readmitted = [
        listed(LATER, "s1", "draining"),
        held(LATER + SECOND, "s1", "s2", excluded=("s1",)),
        held(back, "s1", "s2"),
        held(back, "s2"),
    ]
    assert found(*opening(), *readmitted) == [("drain", "proxy 1, backend s1", back)]


def test_a_backend_that_is_ready_again_may_be_used_and_its_next_drain_has_a_new_grace():
    ready = LATER + GRACE
    trace = [
        *opening(),
        listed(LATER, "s1", "draining"),
        listed(ready, "s1"),
        listed(ready + SECOND, "s1", "gone"),
    ]
    assert found(*trace, until(ready + SECOND + GRACE)) == NONE
    expected = [("drain", "proxy 1, backend s1", ready + SECOND + GRACE)]
    assert found(*trace, until(ready + SECOND + GRACE + 1)) == expected


@pytest.mark.parametrize("over", [0, 1])
def test_a_proxy_that_joins_after_a_drain_began_has_the_grace_from_its_join(over):
    late = LATER + 50 * SECOND
    drain = [*opening(), listed(LATER, "s1", "draining"), held(LATER + SECOND, "s2")]
    trace = [*drain, held(late, "s1", proxy=2), joined(late, proxy=2), until(late + GRACE + over)]
    assert found(*trace) == ([("drain", "proxy 2, backend s1", late + GRACE)] if over else NONE)


@pytest.mark.parametrize("over", [0, 1])
def test_the_grace_of_a_drain_begins_a_second_after_the_first_answer(over):
    first = [listed(BEGIN, "s1", "draining"), listed(BEGIN, "s2"), started()]
    trace = [*first, joined(BEGIN), held(BEGIN, "s1"), until(BEGIN + SECOND + GRACE + over)]
    assert found(*trace) == ([("drain", "proxy 1, backend s1", BEGIN + SECOND + GRACE)] if over else NONE)


def test_a_drain_applies_only_to_proxies_of_a_coordinator_that_received_it():
    other = [listed(BEGIN, "s1", coordinator="c1"), started(coordinator="c1"), joined(BEGIN, 2, "c1")]
    trace = [*other, held(BEGIN, "s1", "s2", proxy=2), *opening(), listed(LATER, "s1", "draining")]
    assert found(*trace, until(LATER + 90 * SECOND)) == [("drain", "proxy 1, backend s1", LATER + GRACE)]
    late = LATER + 20 * SECOND
    both_received = [*trace, held(LATER + 1, "s2"), listed(late, "s1", "gone", "c1"), until(late + GRACE + 1)]
    assert found(*both_received) == [("drain", "proxy 2, backend s1", late + GRACE)]


def test_a_lost_stream_counts_as_a_leave():
    drain = [*opening(), listed(LATER, "s1", "draining"), left(LATER + GRACE)]
    assert found(*drain, until(LATER + 90 * SECOND)) == NONE


def test_a_restarted_coordinator_has_no_proxies_and_only_newly_received_entries():
    down = [*opening(), listed(LATER, "s1", "draining"), ended(LATER + SECOND)]
    assert found(*down, until(LATER + 90 * SECOND)) == NONE
    up = LATER + 3 * SECOND
    unaware = [*down, listed(up, "s2"), started(up), joined(up)]
    assert found(*unaware, until(up + 90 * SECOND)) == NONE
    aware = [*down, listed(up, "s2"), listed(up, "s1", "draining"), started(up), joined(up)]
    expected = [("drain", "proxy 1, backend s1", up + SECOND + GRACE)]
    assert found(*aware, until(up + SECOND + GRACE + 1)) == expected


def test_a_coordinator_that_was_only_cut_off_keeps_its_endpoint_list():
    back = LATER + 30 * SECOND
    trace = [*opening(), listed(LATER, "s1", "draining"), ended(LATER + SECOND), joined(back)]
    assert found(*trace, until(back + GRACE + 1)) == [("drain", "proxy 1, backend s1", back + GRACE)]


def test_the_late_end_of_a_former_stream_is_no_leave():
    there = [listed(BEGIN, "s1", "draining", "c1"), started(coordinator="c1"), *opening()]
    trace = [*there, joined(LATER, coordinator="c1"), left(LATER + SECOND), until(LATER + GRACE + 1)]
    assert found(*trace) == [("drain", "proxy 1, backend s1", LATER + GRACE)]


def test_a_proxy_whose_coordinator_closed_the_stream_has_no_new_grace_there():
    closed = left(LATER + SECOND, by_coordinator=True)
    trace = [*opening(), listed(LATER, "s1", "draining"), closed, joined(LATER + 2 * SECOND)]
    assert found(*trace, until(LATER + GRACE + 1)) == [("drain", "proxy 1, backend s1", LATER + GRACE)]
    lost = [*opening(), listed(LATER, "s1", "draining"), left(LATER + SECOND), joined(LATER + 2 * SECOND)]
    assert found(*lost, until(LATER + 2 * SECOND + GRACE)) == NONE


def test_with_only_draining_binds_a_backend_that_is_gone_without_a_drain_may_be_used():
    limits = msgspec.structs.replace(LIMITS, only_draining_binds=True)
    gone = [*opening(), listed(LATER, "s1", "gone")]
    assert found(*gone, until(LATER + 90 * SECOND), limits=limits) == NONE
    drained = [*gone, listed(LATER + SECOND, "s1", "draining"), listed(LATER + 2 * SECOND, "s1", "gone")]
    expected = [("drain", "proxy 1, backend s1", LATER + SECOND + GRACE)]
    assert found(*drained, until(LATER + 90 * SECOND), limits=limits) == expected


# The rule cold_overload


@pytest.mark.parametrize("over", [0, 1])
def test_an_overloaded_warming_up_backend_is_a_violation_just_beyond_the_limit(over):
    trace = [*opening(), load(LATER, 4.1), load(LATER + SECOND, 9.0), until(LATER + FALL + over)]
    assert found(*trace) == ([("cold_overload", "backend s1", LATER + FALL)] if over else NONE)


@pytest.mark.parametrize("relief", [load(LATER + FALL, 4.0), load(LATER + FALL, 9.0, warming_up=False)])
def test_an_overload_that_ends_within_the_limit_is_no_violation(relief):
    assert found(*opening(), load(LATER, 4.1), relief, until(LATER + 90 * SECOND)) == NONE


def test_a_load_at_the_multiple_of_a_warm_backend_or_of_uninformed_proxies_is_no_violation():
    for harmless in (
        load(LATER, 4.0),
        load(LATER, 40.0, warming_up=False),
        load(LATER, 40.0, informed_share=0.66),
    ):
        assert found(*opening(), harmless, until(LATER + 90 * SECOND)) == NONE


def test_each_overload_of_each_warming_up_backend_is_reported():
    second = LATER + 20 * SECOND
    trace = [*opening(), load(LATER, 5.0), load(LATER, 5.0, backend="s2"), load(second - SECOND, 1.0)]
    expected = [
        ("cold_overload", "backend s1", LATER + FALL),
        ("cold_overload", "backend s2", LATER + FALL),
        ("cold_overload", "backend s1", second + FALL),
    ]
    assert found(*trace, load(second, 5.0), until(second + 20 * SECOND)) == expected


@pytest.mark.parametrize("over", [0, 1])
def test_the_limit_of_an_overload_begins_a_second_after_the_first_answer(over):
    trace = [started(), load(BEGIN, 5.0), until(BEGIN + SECOND + FALL + over)]
    assert found(*trace) == ([("cold_overload", "backend s1", BEGIN + SECOND + FALL)] if over else NONE)


def test_an_overload_is_no_violation_while_no_coordinator_runs():
    down = [started(), load(LATER, 5.0), ended(LATER + FALL)]
    assert found(*down, until(LATER + 90 * SECOND)) == NONE
    up = LATER + 20 * SECOND
    expected = [("cold_overload", "backend s1", up + SECOND + FALL)]
    assert found(*down, started(up), until(up + SECOND + FALL + 1)) == expected


def test_the_restart_of_one_of_two_coordinators_does_not_extend_the_limit():
    trace = [started(), started(coordinator="c1"), load(LATER, 5.0), ended(LATER + 1), started(LATER + 2)]
    assert found(*trace, until(LATER + FALL + 1)) == [("cold_overload", "backend s1", LATER + FALL)]


# The rule channel


def test_each_overrun_of_the_queued_entries_is_reported_once():
    trace = [waiting(1, 1000.0), waiting(2, 1000.5), waiting(3, 1200.0), waiting(4, 1000.0), waiting(5, 1001)]
    expected = [("channel", "coordinator c0", 2), ("channel", "coordinator c0", 5)]
    assert found(*trace) == expected


def test_each_coordinator_has_a_channel_of_its_own():
    assert found(waiting(1, 900.0), waiting(2, 900.0, "c1"), waiting(3, 1001, "c1")) == [
        ("channel", "coordinator c1", 3)
    ]


def test_too_many_messages_to_one_proxy_within_the_span_are_a_violation():
    span = LIMITS.messages_span
    three = [joined(0), written(0), written(1), written(2)]
    assert found(*three, written(span), written(span + 1)) == NONE
    assert found(*three, written(span - 1)) == [("channel", "coordinator c0, proxy 1", span - 1)]


def test_messages_to_other_proxies_of_other_coordinators_or_before_a_join_are_not_counted():
    three = [joined(0), written(0), written(1), written(2)]
    assert found(*three, written(3, proxy=2), written(3, coordinator="c1")) == NONE
    assert found(*three, left(3), joined(4), written(5)) == NONE


def test_messages_before_the_coordinator_ended_the_stream_are_counted():
    three = [joined(0), written(0), written(1), written(2), left(3, by_coordinator=True), joined(4)]
    assert found(*three, written(5)) == [("channel", "coordinator c0, proxy 1", 5)]


def test_messages_are_not_counted_without_a_limit():
    unlimited = msgspec.structs.replace(LIMITS, messages_limit=0)
    assert found(*[written(5)] * 99, limits=unlimited) == NONE


def test_too_many_parts_or_too_large_a_part_are_a_violation():
    assert found(written(1, parts=64), written(2, largest_part=1 << 20)) == NONE
    assert found(written(1, parts=65)) == [("channel", "coordinator c0, proxy 1", 1)]
    assert found(written(1, largest_part=(1 << 20) + 1)) == [("channel", "coordinator c0, proxy 1", 1)]


# Invalid traces, order and text of violations


def test_an_event_out_of_order_raises_an_error_with_its_index_and_times():
    with pytest.raises(EventOrderError) as caught:
        check([waiting(5, 1), waiting(5, 1), waiting(4, 1)], LIMITS)
    assert (caught.value.index, caught.value.at, caught.value.previous) == (2, 4, 5)


def test_an_item_that_is_no_event_raises_an_error():
    with pytest.raises(UnknownEventError):
        check([waiting(5, 1), "an event"], LIMITS)


def test_violations_are_in_order_of_time_and_have_a_sentence_with_figures():
    trace = [
        *opening(),
        listed(LATER, "s1", "draining"),
        held(LATER + SECOND, "s1", excluded=("s1",)),
        executed(LATER + SECOND, 7),
    ]
    violations = check([*trace, executed(LATER + 9 * SECOND, 7), until(LATER + 90 * SECOND)], LIMITS)
    assert [violation.rule for violation in violations] == ["no_backend", "double_effect"]
    assert violations[0].text == (
        "Proxy 1 of c0 has no backend to pick for over 5.300 s from 161.000 s on,"
        " while its coordinator's list shows a warm one."
    )


def imported_by(path):
    """Return the modules of granitespool that a file imports."""
    return {
        module
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Import | ast.ImportFrom)
        for module in [getattr(node, "module", None) or node.names[0].name]
        if module.startswith("granitespool")
    }


def test_the_checker_shares_no_code_with_the_planner():
    package = Path(granitespool.scale.checker.__file__).parent
    modules = sorted(package.glob("*.py"))
    imported = set().union(*map(imported_by, modules))
    own = {f"granitespool.scale.checker.{path.stem}" for path in modules}
    assert imported - own == {"granitespool.scale.trace", "granitespool.errors"}
    for outside in (granitespool.scale.trace, granitespool.errors):
        assert not imported_by(Path(outside.__file__)), outside
