"""What is believed of a record, and what of it is worth writing: plain facts in, verdicts out."""

import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.records import endpoint

from granitespool.coordinator import Coordinator
from granitespool.operator_settings import State
from granitespool.settings import RequestClass, Settings
from granitespool.state import record, restore_policy
from granitespool.state.change_filter import Ledger
from granitespool.state.recovery import Memory
from granitespool.state.restore_policy import Clocks, Identity

S = 10**9
W = 10**18  # ns: the wall clock when the record was last written
WHO = Identity("n0", ["pay"], ["n", "s"])
HEADER = record.Header(record.FORMAT, "n0", ["pay"], ["n", "s"], W - S, 0, 1, "test")
HALF, OLDEST = 30 * S, 300 * S


def link(at=W, **facts):
    usual = {
        "tries": 100.0,
        "failed": 10.0,
        "answered": 90.0,
        "time": 90 * 4e7,
        "low": (W - S, 3e7),
        "over": 0,
        "streak": 0.0,
        "cut_at": None,
        "ramp_from": None,
    }
    return record.Link(**{**usual, **facts}, at=at)


def backend(at=W, **facts):
    usual = {
        "phase": "ready",
        "zone": "n",
        "kind": "m",
        "listed": 1.0,
        "started": W - 1000 * S,
        "gone_at": None,
        "ramp_from": None,
        "proven": True,
        "missing": False,
        "address": "127.0.0.1:1",
    }
    return record.Backend(at=at, **{**usual, **facts})


def kept(fleet=None, **backends):
    return record.Kept(
        fleet,
        {
            name: each if isinstance(each, tuple) else (backend(), {"n": each})
            for name, each in backends.items()
        },
    )


def fleet(**facts):
    return record.Fleet(
        **{
            "at": W,
            "strained": True,
            "room": 0.5,
            "through": 0.8,
            "asked": {"pay": 10.0},
            "index": 41,
            **facts,
        }
    )


def believed(record_, age=2 * S, listed=None, own_list=False):
    now = Clocks(W + age, 5 * S + age)
    listed = listed or {name: (facts.phase, facts.started) for name, (facts, _) in record_.backends.items()}
    return restore_policy.believed(
        record_, Clocks(W, 5 * S), now, listed, frozenset(WHO.zones), own_list, HALF, OLDEST
    )


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
    assert restore_policy.age_of(then, Clocks(W + wall, 200 * S + mono)) == age


@pytest.mark.parametrize(
    "header, who, age, words",
    [
        (HEADER, WHO, 5 * S, None),
        (HEADER, WHO._replace(name="n1"), 5 * S, "written by 'n0', and this is 'n1'"),
        (HEADER, WHO._replace(classes=["pay", "look"]), 5 * S, "classes pay, and now they are pay, look"),
        (HEADER, WHO._replace(zones=["s", "n"]), 5 * S, "zones n, s, and now they are s, n"),
        (HEADER, WHO, 301 * S, "301 s old"),
        (HEADER, WHO, 9 * 24 * 3600 * S, "777600 s old"),
        (HEADER, WHO, -3600 * S, "clock went backward"),
    ],
)
def test_a_record_that_is_not_to_be_believed_says_so_in_one_sentence(header, who, age, words):
    why = restore_policy.doubt(header, Clocks(W, 5 * S), Clocks(W + age, 5 * S + abs(age)), who, OLDEST)
    assert why is None if words is None else words in why and "\n" not in why


@pytest.mark.parametrize("age, part", [(0, 1.0), (30 * S, 0.5), (60 * S, 0.25), (300 * S, 2**-10)])
def test_older_sums_count_for_less_by_the_half_life_and_means_stay(age, part):
    facts, links = believed(kept(a=link()), age).backends["a"]
    assert (links["n"]["tries"], links["n"]["failed"]) == pytest.approx((100 * part, 10 * part))
    assert links["n"]["time"] / links["n"]["answered"] == pytest.approx(4e7)


def test_a_link_that_was_not_written_since_is_as_old_as_it_is():
    belief = believed(
        kept(
            a=(backend(), {"n": link(), "s": link(at=W - 30 * S), "x": link()}),
            b=(backend(), {"n": link(at=W - 299 * S)}),
        )
    )
    links = belief.backends["a"][1]
    assert links["n"]["tries"] / links["s"]["tries"] == pytest.approx(2) and "x" not in links
    assert belief.backends["b"][1] == {} and belief.links == 2


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
    assert belief.left == ({reason: 1} if reason else {}) and ("a" in belief.backends) == (reason is None)
    assert "b" in belief.backends


@pytest.mark.parametrize("age, cut", [(2 * S, True), (30 * S, True), (31 * S, False)])
def test_cuts_running_failures_and_a_jam_hold_for_a_half_life(age, cut):
    belief = believed(kept(fleet(), a=link(cut_at=W - S, over=2, streak=9.0)), age)
    found = belief.backends["a"][1]["n"]
    assert (found["cut_at"] is not None, bool(found["over"]), bool(found["streak"])) == (cut, cut, cut)
    assert belief.cuts == cut and belief.fleet["strained"] == cut
    assert belief.fleet["room"] == (pytest.approx(1 - 0.5 * 0.5 ** (age / HALF)) if cut else 1.0)


def test_a_missing_backend_is_missing_only_by_the_list_that_dropped_it():
    record_ = kept(a=(backend(missing=True), {}))
    assert believed(record_, own_list=True).backends["a"][0]["missing"] is True
    assert believed(record_, own_list=False).backends["a"][0]["missing"] is False


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
        tries=tries,
        failed=failed,
        answered=answered,
        time=time,
        streak=streak,
        low=low,
        over=over,
        cut_at=cut,
        ramp_from=ramp,
    )
    coordinator = Coordinator(
        Settings(zones=["n", "s"], classes=[RequestClass(name="pay")], health_checks_allowed=True), 1, W
    )
    coordinator.report(
        W,
        "list_news",
        form="restored",
        entries=[endpoint(name, machine_type="m") for name in "abcd"],
    )
    record_ = kept(
        fleet(room=room, through=through), a=odd, b=odd, c=odd, d=(backend(ramp_from=ramp), {"s": odd})
    )
    belief = believed(record_)
    coordinator.report(W, "recalled", fleet=belief.fleet, backends=belief.backends)
    for second in range(1, 5):
        coordinator.report(
            W + second * S,
            "heard",
            zone="n",
            backend="a",
            tries=9,
            failed=0,
            mean=4 * 10**7,
            window=S,
            load={},
        )
        coordinator.tick(W + second * S)
    assert not coordinator.queues["remarks"], coordinator.queues["remarks"]
    for table in (0, 1):
        lines = coordinator.tables[table]
        assert lines and all(math.isfinite(weight) and weight > 0 for weight in lines.values())
        assert len(lines) >= 3  # at most a third of four is one


def test_what_is_written_again_is_what_would_change_a_start():
    ledger, first = Ledger(HALF), link()
    group = lambda at=W, **facts: {"a": {b"l1": link(at, **facts)}}  # noqa: E731
    assert ledger.due(group()) == {b"l1": first} and ledger.due(group()) == {}
    assert ledger.due(group(W + S, time=95 * 4e7, tries=105.0, answered=95.0, failed=10.0)) == {}
    for facts in (
        {"time": 90 * 5e7},
        {"failed": 20.0, "time": 90 * 5e7},
        {"cut_at": W},
        {"over": 1},
        {"streak": 5.0},
        {"low": (W, 2e7)},
        {"low": None},
        {"tries": 500.0},
        {"ramp_from": W},
        {"answered": 20.0},
    ):
        assert b"l1" in ledger.due(group(W + S, **facts)), facts
        ledger.due(group(W + S))
    assert b"l1" in ledger.due(group(W + S + HALF // 2))
    assert ledger.due({"a": {}}) == {b"l1": None} and ledger.gone({}) == []
    ledger.due({"a": {b"l1": first}, "b": {b"l2": first}})
    assert ledger.gone({"b": None}) == [b"l1"] and ledger.gone({"b": None}) == []


def test_a_memory_round_trip_gives_back_the_tables_that_were():
    def life(now):
        coordinator = Coordinator(
            Settings(zones=["n", "s"], classes=[RequestClass(name="pay")], drain_grace=10 * S), 1, now
        )
        return coordinator

    def entries():
        return [endpoint(name, machine_type="m") for name in "abcdef"]

    first = life(W)
    first.report(W, "list_news", form="restored", entries=entries())
    for second in range(1, 20):
        for name in "abcdef":
            first.report(
                W + second * S,
                "heard",
                zone="n",
                backend=name,
                tries=20,
                failed=20 if name == "f" else 0,
                mean=(16 if name == "a" else 4) * 10**7 if name != "f" else 0,
                window=S,
                load={},
            )
        first.tick(W + second * S)
    now = W + 20 * S
    fleet_, backends = first.learnt(list(first.listed()))
    groups = record.values(fleet_, backends, {}, 7, now)
    held = {key: record.value_bytes(value) for values in groups.values() for key, value in values.items()}
    memory = Memory(State(folder="x"), WHO)

    class Found:
        header, clocks = HEADER, (now, now)

    carried = memory.opened(Found, record.kept(record.FORMAT, held), None, Clocks(now + S, now + S))
    assert record.kept(record.FORMAT, carried) == record.kept(record.FORMAT, held)
    second = life(now + S)
    second.report(now + S, "list_news", form="restored", entries=entries())
    belief = memory.recall(second, now + S, Clocks(now + S, now + S))
    assert belief.cuts == 1 and "f" not in second.tables[0] and "f" not in first.tables[0]
    for name, weight in first.tables[0].items():
        assert second.tables[0][name] == pytest.approx(weight, rel=0.12), (name, first.tables, second.tables)
    assert msgspec.structs.asdict(memory.ledger.written[None][record.FLEET])["index"] == 7
