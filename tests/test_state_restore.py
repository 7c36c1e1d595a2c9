"""Tests of the selection of the values that a start restores and of the changes that are written.

Guards against restored values that are too old or inconsistent, or whose backend has restarted or left since.
"""

import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.records import endpoint

from granitespool.coordinator import Coordinator
from granitespool.coordinator_status import EndpointState
from granitespool.endpoints import Phase
from granitespool.operator_settings import StateSettings
from granitespool.outgoing import Queue
from granitespool.planner.events import EndpointListUpdate, ListForm, LoadReport, Restored
from granitespool.planner.records import MinimumRtt
from granitespool.settings import RequestClass, Settings
from granitespool.state import record, restore_policy
from granitespool.state.change_filter import ChangeFilter
from granitespool.state.record import Clocks, StoredBackend
from granitespool.state.recovery import Recovery
from granitespool.state.restore_policy import Identity, Policy, RestoreContext
from granitespool.units import SECOND

WRITTEN_AT = 10**18  # ns, wall clock when the record was last written
IDENTITY = Identity("n0", ["pay"], ["n", "s"])
HEADER = record.Header(record.FORMAT_VERSION, "n0", ["pay"], ["n", "s"], WRITTEN_AT - SECOND, 0, 1, "test")
HALF_LIFE, MAX_AGE = 30 * SECOND, 300 * SECOND


def link(at=WRITTEN_AT, **facts):
    defaults = {
        "attempts": 100.0,
        "failures": 10.0,
        "successes": 90.0,
        "response_time": 90 * 4e7,
        "minimum_rtt": MinimumRtt(WRITTEN_AT - SECOND, 3e7),
        "overloaded_reports": 0,
        "consecutive_failures": 0.0,
        "ejected_at": None,
        "slow_start_since": None,
    }
    return record.LinkRecord(**{**defaults, **facts}, taken_at=at)


def backend(at=WRITTEN_AT, **facts):
    defaults = {
        "phase": "ready",
        "zone": "n",
        "machine_type": "m",
        "configured_weight": 1.0,
        "started_at": WRITTEN_AT - 1000 * SECOND,
        "left_ready_at": None,
        "slow_start_since": None,
        "verified": True,
        "removal_unconfirmed": False,
        "address": "127.0.0.1:1",
    }
    return record.BackendRecord(taken_at=at, **{**defaults, **facts})


def record_with(fleet=None, **backends):
    return record.Record(
        fleet,
        {
            name: StoredBackend(*value)
            if isinstance(value, tuple)
            else StoredBackend(backend(), {"n": value})
            for name, value in backends.items()
        },
    )


def fleet(**facts):
    return record.FleetRecord(
        **{
            "taken_at": WRITTEN_AT,
            "is_overloaded": True,
            "admitted_share": 0.5,
            "success_ratio": 0.8,
            "demand": {"pay": 10.0},
            "list_index": 41,
            **facts,
        }
    )


def restore_record(stored, age=2 * SECOND, listed=None, uses_stored_list=False):
    now = Clocks(WRITTEN_AT + age, 5 * SECOND + age)
    listed = listed or {name: (facts.phase, facts.started_at) for name, (facts, _) in stored.backends.items()}
    endpoints = {name: EndpointState(Phase(phase), started) for name, (phase, started) in listed.items()}
    context = RestoreContext(
        Clocks(WRITTEN_AT, 5 * SECOND), now, endpoints, frozenset(IDENTITY.zones), uses_stored_list
    )
    return restore_policy.restore(stored, context, Policy(HALF_LIFE, MAX_AGE))


@pytest.mark.parametrize(
    "wall, monotonic, age",
    [
        (3 * SECOND, 3 * SECOND, 3 * SECOND),
        (0, 0, 0),
        (3 * SECOND, -100 * SECOND, 3 * SECOND),  # reboot: the monotonic clock has started again
        (-1, 3 * SECOND, None),  # wall clock was set back to a time before the record
        (100 * SECOND, 3700 * SECOND, None),  # wall clock was set back by an hour, to a time after the record
        # wall clock was set forward: the computed age is too high, which only lowers the confidence
        (3700 * SECOND, 100 * SECOND, 3700 * SECOND),
        (3 * SECOND, 3 * SECOND + SECOND // 2, 3 * SECOND),  # one of the clocks is slewed
    ],
)
def test_the_age_of_a_record_is_unknown_once_a_clock_went_backward(wall, monotonic, age):
    then = Clocks(WRITTEN_AT, 200 * SECOND)
    assert restore_policy.record_age(then, Clocks(WRITTEN_AT + wall, 200 * SECOND + monotonic)) == age


@pytest.mark.parametrize(
    "header, identity, age, words",
    [
        (HEADER, IDENTITY, 5 * SECOND, None),
        (HEADER, IDENTITY._replace(name="n1"), 5 * SECOND, "written by 'n0', but this coordinator is 'n1'"),
        (
            HEADER,
            IDENTITY._replace(class_names=["pay", "look"]),
            5 * SECOND,
            "classes pay, but the settings contain pay, look",
        ),
        (
            HEADER,
            IDENTITY._replace(zones=["s", "n"]),
            5 * SECOND,
            "zones n, s, but the settings contain s, n",
        ),
        (HEADER, IDENTITY, 301 * SECOND, "301 s old"),
        (HEADER, IDENTITY, 9 * 24 * 3600 * SECOND, "777600 s old"),
        (HEADER, IDENTITY, -3600 * SECOND, "clock went backward"),
    ],
)
def test_a_record_is_rejected_with_a_reason_in_one_sentence(header, identity, age, words):
    reason = restore_policy.rejection_reason(
        header,
        Clocks(WRITTEN_AT, 5 * SECOND),
        Clocks(WRITTEN_AT + age, 5 * SECOND + abs(age)),
        identity,
        MAX_AGE,
    )
    assert reason is None if words is None else words in reason and "\n" not in reason


@pytest.mark.parametrize(
    "age, weight", [(0, 1.0), (30 * SECOND, 0.5), (60 * SECOND, 0.25), (300 * SECOND, 2**-10)]
)
def test_sums_are_weighted_by_age_and_means_are_unchanged(age, weight):
    links = restore_record(record_with(a=link()), age).backends["a"].links
    assert (links["n"].attempts, links["n"].failures) == pytest.approx((100 * weight, 10 * weight))
    assert links["n"].response_time / links["n"].successes == pytest.approx(4e7)


def test_the_weight_of_a_link_depends_on_the_time_of_its_own_value():
    restored = restore_record(
        record_with(
            a=(backend(), {"n": link(), "s": link(at=WRITTEN_AT - 30 * SECOND), "x": link()}),
            b=(backend(), {"n": link(at=WRITTEN_AT - 299 * SECOND)}),
        )
    )
    links = restored.backends["a"].links
    assert links["n"].attempts / links["s"].attempts == pytest.approx(2) and "x" not in links
    assert restored.backends["b"].links == {} and restored.link_count == 2


@pytest.mark.parametrize(
    "listed, stored, reason",
    [
        (("ready", WRITTEN_AT + SECOND), backend(), "started again since"),
        (("draining", 0), backend(), "not ready now"),
        (("gone", 0), backend(), "not ready now"),
        (None, backend(), "not ready now"),
        (("ready", 0), backend(phase="draining"), "not ready then"),
        (("ready", 0), backend(phase="gone"), "not ready then"),
        (("ready", 0), backend(at=WRITTEN_AT - 299 * SECOND), "too old"),
        (("ready", 0), backend(), None),
    ],
)
def test_a_backend_that_is_not_ready_restarted_or_too_old_is_skipped(listed, stored, reason):
    restored = restore_record(
        record_with(a=(stored, {"n": link()}), b=link()),
        listed={"b": ("ready", 0), **({"a": listed} if listed else {})},
    )
    assert restored.skipped == ({reason: 1} if reason else {})
    assert ("a" in restored.backends) == (reason is None)
    assert "b" in restored.backends


@pytest.mark.parametrize("age, is_restored", [(2 * SECOND, True), (30 * SECOND, True), (31 * SECOND, False)])
def test_ejections_consecutive_failures_and_overload_are_restored_for_a_half_life(age, is_restored):
    outlier = link(ejected_at=WRITTEN_AT - SECOND, overloaded_reports=2, consecutive_failures=9.0)
    restored = restore_record(record_with(fleet(), a=outlier), age)
    found = restored.backends["a"].links["n"]
    assert (
        found.ejected_at is not None,
        bool(found.overloaded_reports),
        bool(found.consecutive_failures),
    ) == (is_restored, is_restored, is_restored)
    assert restored.ejected_count == is_restored and restored.fleet.is_overloaded == is_restored
    assert restored.fleet.admitted_share == (
        pytest.approx(1 - 0.5 * 0.5 ** (age / HALF_LIFE)) if is_restored else 1.0
    )


def test_an_unconfirmed_removal_is_only_restored_with_the_list_of_the_record():
    stored = record_with(a=(backend(removal_unconfirmed=True), {}))
    assert restore_record(stored, uses_stored_list=True).backends["a"].removal_unconfirmed is True
    assert restore_record(stored, uses_stored_list=False).backends["a"].removal_unconfirmed is False


@pytest.mark.parametrize("index, newer", [(40, True), (41, False), (42, False)])
def test_the_endpoint_list_of_the_record_is_used_if_it_is_newer(index, newer):
    found = restore_policy.newer_list(record_with(fleet(), a=link()), index)
    assert (found is not None) == newer
    if newer:
        [entry] = found["endpoints"]
        assert (entry["name"], entry["address"], entry["status"], found["index"]) == (
            "a",
            "127.0.0.1:1",
            "ready",
            41,
        )


NUMBERS = st.one_of(st.floats(), st.sampled_from([0.0, -1.0, 1e300, math.inf, math.nan, 5.0]))
TIMES = st.none() | st.integers(-(2**62), 2**62)


@given(
    st.lists(NUMBERS, min_size=5, max_size=5),
    TIMES,
    TIMES,
    st.none() | st.tuples(st.integers(-(2**62), 2**62), NUMBERS),
    st.integers(-3, 2**40),
    NUMBERS,
    NUMBERS,
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_restoring_any_record_raises_no_error_and_leaves_no_table_empty(
    sums, ejected_at, slow_start_since, minimum, overloaded_reports, admitted_share, success_ratio
):
    attempts, failures, successes, response_time, consecutive_failures = sums
    drawn = link(
        attempts=attempts,
        failures=failures,
        successes=successes,
        response_time=response_time,
        consecutive_failures=consecutive_failures,
        minimum_rtt=MinimumRtt(*minimum) if minimum else None,
        overloaded_reports=overloaded_reports,
        ejected_at=ejected_at,
        slow_start_since=slow_start_since,
    )
    coordinator = Coordinator(
        Settings(zones=["n", "s"], classes=[RequestClass(name="pay")], health_checks_allowed=True),
        1,
        WRITTEN_AT,
    )
    coordinator.report(
        WRITTEN_AT,
        EndpointListUpdate(
            form=ListForm.RESTORED, entries=[endpoint(name, machine_type="m") for name in "abcd"]
        ),
    )
    stored = record_with(
        fleet(admitted_share=admitted_share, success_ratio=success_ratio),
        a=drawn,
        b=drawn,
        c=drawn,
        d=(backend(slow_start_since=slow_start_since), {"s": drawn}),
    )
    restored = restore_record(stored)
    coordinator.report(WRITTEN_AT, Restored(restored.fleet, restored.backends))
    for second in range(1, 5):
        coordinator.report(
            WRITTEN_AT + second * SECOND,
            LoadReport(zone="n", backend="a", attempts=9, failures=0, mean=4 * 10**7, window=SECOND, load={}),
        )
        coordinator.tick(WRITTEN_AT + second * SECOND)
    assert not coordinator.queues[Queue.INTERNAL_ERRORS], coordinator.queues[Queue.INTERNAL_ERRORS]
    for table in (0, 1):
        entries = coordinator.updates.tables[table]
        assert entries and all(math.isfinite(weight) and weight > 0 for weight in entries.values())
        assert len(entries) >= 3  # at most a third of the links is ejected, so at most one of four


def test_a_link_with_successes_but_no_response_time_is_not_restored():
    inconsistent = link(attempts=4.0, failures=0.0, successes=4.0, response_time=0.0, minimum_rtt=None)
    restored = restore_record(record_with(a=inconsistent, b=link()))
    assert restored.backends["a"].links == {} and restored.link_count == 1
    coordinator = Coordinator(Settings(zones=["n", "s"], classes=[RequestClass(name="pay")]), 1, WRITTEN_AT)
    entries = [endpoint(name, machine_type="m") for name in "abcd"]
    coordinator.report(WRITTEN_AT, EndpointListUpdate(ListForm.RESTORED, entries))
    coordinator.report(WRITTEN_AT, Restored(restored.fleet, restored.backends))
    assert not coordinator.queues[Queue.INTERNAL_ERRORS]


def test_only_changes_that_a_start_would_restore_are_written():
    change_filter, first = ChangeFilter(HALF_LIFE), link()
    group = lambda at=WRITTEN_AT, **facts: {"a": {b"l1": link(at, **facts)}}  # noqa: E731
    assert change_filter.select(group()) == {b"l1": first} and change_filter.select(group()) == {}
    assert (
        change_filter.select(
            group(WRITTEN_AT + SECOND, response_time=95 * 4e7, attempts=105.0, successes=95.0, failures=10.0)
        )
        == {}
    )
    for facts in (
        {"response_time": 90 * 5e7},
        {"failures": 20.0, "response_time": 90 * 5e7},
        {"ejected_at": WRITTEN_AT},
        {"overloaded_reports": 1},
        {"consecutive_failures": 5.0},
        {"minimum_rtt": MinimumRtt(WRITTEN_AT, 2e7)},
        {"minimum_rtt": None},
        {"attempts": 500.0},
        {"slow_start_since": WRITTEN_AT},
        {"successes": 20.0},
    ):
        assert b"l1" in change_filter.select(group(WRITTEN_AT + SECOND, **facts)), facts
        change_filter.select(group(WRITTEN_AT + SECOND))
    assert b"l1" in change_filter.select(group(WRITTEN_AT + SECOND + HALF_LIFE // 2))
    assert change_filter.select({"a": {}}) == {b"l1": None} and change_filter.remove_absent({}) == []
    change_filter.select({"a": {b"l1": first}, "b": {b"l2": first}})
    assert (
        change_filter.remove_absent({"b": None}) == [b"l1"] and change_filter.remove_absent({"b": None}) == []
    )


def test_a_restored_coordinator_has_the_tables_of_the_previous_one():
    def start_coordinator(now):
        coordinator = Coordinator(
            Settings(zones=["n", "s"], classes=[RequestClass(name="pay")], drain_grace=10 * SECOND), 1, now
        )
        return coordinator

    def entries():
        return [endpoint(name, machine_type="m") for name in "abcdef"]

    first = start_coordinator(WRITTEN_AT)
    first.report(WRITTEN_AT, EndpointListUpdate(form=ListForm.RESTORED, entries=entries()))
    for second in range(1, 20):
        for name in "abcdef":
            first.report(
                WRITTEN_AT + second * SECOND,
                LoadReport(
                    zone="n",
                    backend=name,
                    attempts=20,
                    failures=20 if name == "f" else 0,
                    mean=(16 if name == "a" else 4) * 10**7 if name != "f" else 0,
                    window=SECOND,
                    load={},
                ),
            )
        first.tick(WRITTEN_AT + second * SECOND)
    now = WRITTEN_AT + 20 * SECOND
    snapshot = first.snapshot(list(first.endpoint_states()))
    groups = {None: {record.FLEET_KEY: record.fleet_record(snapshot.fleet, 7, now)}}
    for name, backend_snapshot in snapshot.backends.items():
        groups[name] = record.backend_values(name, backend_snapshot, None, now)
    encoded = record.encode_values(groups)
    recovery = Recovery(StateSettings(folder="x"), IDENTITY)

    class StoredHeader:
        header, clocks = HEADER, Clocks(now, now)

    loaded = recovery.load(
        StoredHeader,
        record.decode_record(record.FORMAT_VERSION, encoded),
        None,
        Clocks(now + SECOND, now + SECOND),
    )
    assert record.decode_record(record.FORMAT_VERSION, loaded) == record.decode_record(
        record.FORMAT_VERSION, encoded
    )
    second = start_coordinator(now + SECOND)
    second.report(now + SECOND, EndpointListUpdate(form=ListForm.RESTORED, entries=entries()))
    restored = recovery.restore(second, now + SECOND, Clocks(now + SECOND, now + SECOND))
    assert (
        restored.ejected_count == 1
        and "f" not in second.updates.tables[0]
        and "f" not in first.updates.tables[0]
    )
    for name, weight in first.updates.tables[0].items():
        assert second.updates.tables[0][name] == pytest.approx(weight, rel=0.12), (
            name,
            first.updates.tables,
            second.updates.tables,
        )
    assert msgspec.structs.asdict(recovery.change_filter.written[None][record.FLEET_KEY])["list_index"] == 7
