"""What is believed of a record, and what of it is worth writing: plain facts in, verdicts out."""

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

S = 10**9
W = 10**18  # ns: the wall clock when the record was last written
WHO = Identity("n0", ["pay"], ["n", "s"])
HEADER = record.Header(record.FORMAT_VERSION, "n0", ["pay"], ["n", "s"], W - S, 0, 1, "test")
HALF, OLDEST = 30 * S, 300 * S


def link(at=W, **facts):
    usual = {
        "attempts": 100.0,
        "failures": 10.0,
        "successes": 90.0,
        "response_time": 90 * 4e7,
        "minimum_rtt": MinimumRtt(W - S, 3e7),
        "overloaded_reports": 0,
        "consecutive_failures": 0.0,
        "ejected_at": None,
        "slow_start_since": None,
    }
    return record.LinkRecord(**{**usual, **facts}, taken_at=at)


def backend(at=W, **facts):
    usual = {
        "phase": "ready",
        "zone": "n",
        "machine_type": "m",
        "configured_weight": 1.0,
        "started_at": W - 1000 * S,
        "left_ready_at": None,
        "slow_start_since": None,
        "verified": True,
        "removal_unconfirmed": False,
        "address": "127.0.0.1:1",
    }
    return record.BackendRecord(taken_at=at, **{**usual, **facts})


def kept(fleet=None, **backends):
    return record.Record(
        fleet,
        {
            name: StoredBackend(*each) if isinstance(each, tuple) else StoredBackend(backend(), {"n": each})
            for name, each in backends.items()
        },
    )


def fleet(**facts):
    return record.FleetRecord(
        **{
            "taken_at": W,
            "is_overloaded": True,
            "admitted_share": 0.5,
            "success_ratio": 0.8,
            "demand": {"pay": 10.0},
            "list_index": 41,
            **facts,
        }
    )


def believed(record_, age=2 * S, listed=None, own_list=False):
    now = Clocks(W + age, 5 * S + age)
    listed = listed or {
        name: (facts.phase, facts.started_at) for name, (facts, _) in record_.backends.items()
    }
    endpoints = {name: EndpointState(Phase(phase), started) for name, (phase, started) in listed.items()}
    situation = RestoreContext(Clocks(W, 5 * S), now, endpoints, frozenset(WHO.zones), own_list)
    return restore_policy.restore(record_, situation, Policy(HALF, OLDEST))


@pytest.mark.parametrize(
    "wall, mono, age",
    [
        (3 * S, 3 * S, 3 * S),
        (0, 0, 0),
        (3 * S, -100 * S, 3 * S),  # the machine was started anew: its monotonic clock tells nothing
        (-1, 3 * S, None),  # set back behind the record
        (100 * S, 3700 * S, None),  # set back an hour, and still after it
        (3700 * S, 100 * S, 3700 * S),  # set forward: older than it is, which only costs belief
        (3 * S, 3 * S + S // 2, 3 * S),
    ],
)  # slewed
def test_the_age_of_a_record_is_unknown_once_a_clock_went_backward(wall, mono, age):
    then = Clocks(W, 200 * S)
    assert restore_policy.record_age(then, Clocks(W + wall, 200 * S + mono)) == age


@pytest.mark.parametrize(
    "header, who, age, words",
    [
        (HEADER, WHO, 5 * S, None),
        (HEADER, WHO._replace(name="n1"), 5 * S, "written by 'n0', and this is 'n1'"),
        (HEADER, WHO._replace(class_names=["pay", "look"]), 5 * S, "classes pay, and now they are pay, look"),
        (HEADER, WHO._replace(zones=["s", "n"]), 5 * S, "zones n, s, and now they are s, n"),
        (HEADER, WHO, 301 * S, "301 s old"),
        (HEADER, WHO, 9 * 24 * 3600 * S, "777600 s old"),
        (HEADER, WHO, -3600 * S, "clock went backward"),
    ],
)
def test_a_record_that_is_not_to_be_believed_says_so_in_one_sentence(header, who, age, words):
    why = restore_policy.rejection_reason(
        header, Clocks(W, 5 * S), Clocks(W + age, 5 * S + abs(age)), who, OLDEST
    )
    assert why is None if words is None else words in why and "\n" not in why


@pytest.mark.parametrize("age, part", [(0, 1.0), (30 * S, 0.5), (60 * S, 0.25), (300 * S, 2**-10)])
def test_older_sums_count_for_less_by_the_half_life_and_means_stay(age, part):
    links = believed(kept(a=link()), age).backends["a"].links
    assert (links["n"].attempts, links["n"].failures) == pytest.approx((100 * part, 10 * part))
    assert links["n"].response_time / links["n"].successes == pytest.approx(4e7)


def test_a_link_that_was_not_written_since_is_as_old_as_it_is():
    belief = believed(
        kept(
            a=(backend(), {"n": link(), "s": link(at=W - 30 * S), "x": link()}),
            b=(backend(), {"n": link(at=W - 299 * S)}),
        )
    )
    links = belief.backends["a"].links
    assert links["n"].attempts / links["s"].attempts == pytest.approx(2) and "x" not in links
    assert belief.backends["b"].links == {} and belief.link_count == 2


@pytest.mark.parametrize(
    "now, then, reason",
    [
        (("ready", W + S), backend(), "started again since"),
        (("draining", 0), backend(), "not ready now"),
        (("gone", 0), backend(), "not ready now"),
        (None, backend(), "not ready now"),
        (("ready", 0), backend(phase="draining"), "not ready then"),
        (("ready", 0), backend(phase="gone"), "not ready then"),
        (("ready", 0), backend(at=W - 299 * S), "too old"),
        (("ready", 0), backend(), None),
    ],
)
def test_who_started_again_drained_or_went_brings_nothing_back(now, then, reason):
    belief = believed(
        kept(a=(then, {"n": link()}), b=link()), listed={"b": ("ready", 0), **({"a": now} if now else {})}
    )
    assert belief.skipped == ({reason: 1} if reason else {}) and ("a" in belief.backends) == (reason is None)
    assert "b" in belief.backends


@pytest.mark.parametrize("age, cut", [(2 * S, True), (30 * S, True), (31 * S, False)])
def test_cuts_running_failures_and_a_jam_hold_for_a_half_life(age, cut):
    belief = believed(
        kept(fleet(), a=link(ejected_at=W - S, overloaded_reports=2, consecutive_failures=9.0)), age
    )
    found = belief.backends["a"].links["n"]
    assert (
        found.ejected_at is not None,
        bool(found.overloaded_reports),
        bool(found.consecutive_failures),
    ) == (cut, cut, cut)
    assert belief.ejected_count == cut and belief.fleet.is_overloaded == cut
    assert belief.fleet.admitted_share == (pytest.approx(1 - 0.5 * 0.5 ** (age / HALF)) if cut else 1.0)


def test_a_missing_backend_is_missing_only_by_the_list_that_dropped_it():
    record_ = kept(a=(backend(removal_unconfirmed=True), {}))
    assert believed(record_, own_list=True).backends["a"].removal_unconfirmed is True
    assert believed(record_, own_list=False).backends["a"].removal_unconfirmed is False


@pytest.mark.parametrize("index, newer", [(40, True), (41, False), (42, False)])
def test_the_list_to_start_from_is_the_newer_one(index, newer):
    found = restore_policy.newer_list(kept(fleet(), a=link()), index)
    assert (found is not None) == newer
    if newer:
        [entry] = found["endpoints"]
        assert (entry["name"], entry["address"], entry["status"], found["index"]) == (
            "a",
            "127.0.0.1:1",
            "ready",
            41,
        )


ODD = st.one_of(st.floats(), st.sampled_from([0.0, -1.0, 1e300, math.inf, math.nan, 5.0]))
TIMES = st.none() | st.integers(-(2**62), 2**62)


@given(
    st.lists(ODD, min_size=5, max_size=5),
    TIMES,
    TIMES,
    st.none() | st.tuples(st.integers(-(2**62), 2**62), ODD),
    st.integers(-3, 2**40),
    ODD,
    ODD,
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_whatever_a_record_holds_the_planner_takes_it_and_no_table_is_empty(
    sums, cut, ramp, low, over, room, through
):
    tries, failed, answered, time, streak = sums
    odd = link(
        attempts=tries,
        failures=failed,
        successes=answered,
        response_time=time,
        consecutive_failures=streak,
        minimum_rtt=MinimumRtt(*low) if low else None,
        overloaded_reports=over,
        ejected_at=cut,
        slow_start_since=ramp,
    )
    coordinator = Coordinator(
        Settings(zones=["n", "s"], classes=[RequestClass(name="pay")], health_checks_allowed=True), 1, W
    )
    coordinator.report(
        W,
        EndpointListUpdate(
            form=ListForm.RESTORED, entries=[endpoint(name, machine_type="m") for name in "abcd"]
        ),
    )
    record_ = kept(
        fleet(admitted_share=room, success_ratio=through),
        a=odd,
        b=odd,
        c=odd,
        d=(backend(slow_start_since=ramp), {"s": odd}),
    )
    belief = believed(record_)
    coordinator.report(W, Restored(belief.fleet, belief.backends))
    for second in range(1, 5):
        coordinator.report(
            W + second * S,
            LoadReport(zone="n", backend="a", attempts=9, failures=0, mean=4 * 10**7, window=S, load={}),
        )
        coordinator.tick(W + second * S)
    assert not coordinator.queues[Queue.INTERNAL_ERRORS], coordinator.queues[Queue.INTERNAL_ERRORS]
    for table in (0, 1):
        lines = coordinator.updates.tables[table]
        assert lines and all(math.isfinite(weight) and weight > 0 for weight in lines.values())
        assert len(lines) >= 3  # at most a third of four is one


def test_a_record_whose_answers_took_no_time_is_not_restored():
    odd = link(attempts=4.0, failures=0.0, successes=4.0, response_time=0.0, minimum_rtt=None)
    belief = believed(kept(a=odd, b=link()))
    assert belief.backends["a"].links == {} and belief.link_count == 1
    coordinator = Coordinator(Settings(zones=["n", "s"], classes=[RequestClass(name="pay")]), 1, W)
    entries = [endpoint(name, machine_type="m") for name in "abcd"]
    coordinator.report(W, EndpointListUpdate(ListForm.RESTORED, entries))
    coordinator.report(W, Restored(belief.fleet, belief.backends))
    assert not coordinator.queues[Queue.INTERNAL_ERRORS]


def test_what_is_written_again_is_what_would_change_a_start():
    ledger, first = ChangeFilter(HALF), link()
    group = lambda at=W, **facts: {"a": {b"l1": link(at, **facts)}}  # noqa: E731
    assert ledger.select(group()) == {b"l1": first} and ledger.select(group()) == {}
    assert (
        ledger.select(group(W + S, response_time=95 * 4e7, attempts=105.0, successes=95.0, failures=10.0))
        == {}
    )
    for facts in (
        {"response_time": 90 * 5e7},
        {"failures": 20.0, "response_time": 90 * 5e7},
        {"ejected_at": W},
        {"overloaded_reports": 1},
        {"consecutive_failures": 5.0},
        {"minimum_rtt": MinimumRtt(W, 2e7)},
        {"minimum_rtt": None},
        {"attempts": 500.0},
        {"slow_start_since": W},
        {"successes": 20.0},
    ):
        assert b"l1" in ledger.select(group(W + S, **facts)), facts
        ledger.select(group(W + S))
    assert b"l1" in ledger.select(group(W + S + HALF // 2))
    assert ledger.select({"a": {}}) == {b"l1": None} and ledger.remove_absent({}) == []
    ledger.select({"a": {b"l1": first}, "b": {b"l2": first}})
    assert ledger.remove_absent({"b": None}) == [b"l1"] and ledger.remove_absent({"b": None}) == []


def test_a_memory_round_trip_gives_back_the_tables_that_were():
    def life(now):
        coordinator = Coordinator(
            Settings(zones=["n", "s"], classes=[RequestClass(name="pay")], drain_grace=10 * S), 1, now
        )
        return coordinator

    def entries():
        return [endpoint(name, machine_type="m") for name in "abcdef"]

    first = life(W)
    first.report(W, EndpointListUpdate(form=ListForm.RESTORED, entries=entries()))
    for second in range(1, 20):
        for name in "abcdef":
            first.report(
                W + second * S,
                LoadReport(
                    zone="n",
                    backend=name,
                    attempts=20,
                    failures=20 if name == "f" else 0,
                    mean=(16 if name == "a" else 4) * 10**7 if name != "f" else 0,
                    window=S,
                    load={},
                ),
            )
        first.tick(W + second * S)
    now = W + 20 * S
    snapshot = first.snapshot(list(first.endpoint_states()))
    groups = {None: {record.FLEET_KEY: record.fleet_record(snapshot.fleet, 7, now)}}
    for name, each in snapshot.backends.items():
        groups[name] = record.backend_values(name, each, None, now)
    held = record.encode_values(groups)
    recovery = Recovery(StateSettings(folder="x"), WHO)

    class Found:
        header, clocks = HEADER, Clocks(now, now)

    carried = recovery.load(
        Found, record.decode_record(record.FORMAT_VERSION, held), None, Clocks(now + S, now + S)
    )
    assert record.decode_record(record.FORMAT_VERSION, carried) == record.decode_record(
        record.FORMAT_VERSION, held
    )
    second = life(now + S)
    second.report(now + S, EndpointListUpdate(form=ListForm.RESTORED, entries=entries()))
    belief = recovery.restore(second, now + S, Clocks(now + S, now + S))
    assert (
        belief.ejected_count == 1
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
