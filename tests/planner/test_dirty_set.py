"""The planner looks only at what changed, and decides as its plain reference that walks everything."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.planner_comparison import SECOND, PlannerComparison

from granitespool.planner.cost import CostTable, ObservedCost
from granitespool.planner.events import LoadReport, ProxyJoined, Restored, SliceAssigned, SliceEntry
from granitespool.planner.in_flight import InFlightAccount
from granitespool.planner.load_reports import DECAY_FACTOR
from granitespool.planner.records import EXACT_PERIODS_MAX, Backend, Link
from granitespool.planner.settled_entries import SettledEntries
from granitespool.planner.subsets import Subsets
from granitespool.planner.weights import EntryWeights
from granitespool.settings import Settings

PACES = 200.0, 2000.0, 100_000.0  # lines a second: from a channel that is always behind to one never
SEEDS = st.integers(0, 10**6)


def played(comparison, events):
    for _ in range(events):
        comparison.random_event()
        comparison.run(comparison.random.choice((1, 3, 12)))
    return comparison


@settings(max_examples=120, deadline=None, derandomize=True)
@given(SEEDS, st.integers(3, 40), st.integers(1, 6), st.integers(1, 20), st.sampled_from(PACES))
def test_small_drawn_fleets_are_decided_on_as_by_the_reference(seed, backends, zones, proxies, pace):
    assert played(PlannerComparison(seed, backends, zones, proxies, pace), 25).action_count


@settings(max_examples=10, deadline=None, derandomize=True)
@given(SEEDS, st.integers(100, 200), st.integers(8, 50), st.sampled_from(PACES))
def test_large_drawn_fleets_are_decided_on_as_by_the_reference(seed, backends, zones, pace):
    assert played(PlannerComparison(seed, backends, zones, 20, pace), 8).action_count


@settings(max_examples=60, deadline=None, derandomize=True)
@given(SEEDS, st.integers(45, 80), st.sampled_from((300.0, 2000.0)))
def test_drawn_fleets_in_subsets_are_decided_on_as_by_the_reference(seed, backends, pace):
    comparison = PlannerComparison(seed, backends, 3, 40, pace, drain_grace=SECOND)
    comparison.run(40)
    assert comparison.coordinator.planner.subsets.count > 1
    for _ in range(8):
        comparison.random_event()
        subset = comparison.random.randrange(comparison.coordinator.planner.subsets.count)
        fleet = comparison.coordinator.planner.fleet.backends.values()
        held = [rec.name for rec in fleet if rec.subset == subset and rec.name in comparison.entries]
        if len(held) < len(comparison.entries) - 10:  # a subset is lost, and the others make it up
            comparison.remove_backends(held[: comparison.random.randrange(len(held) + 1)])
        comparison.run(60)
    assert comparison.action_count


@pytest.mark.parametrize("seed", range(4))
def test_a_backend_past_its_ramp_and_not_yet_warm_is_decided_on_as_by_the_reference(seed):
    comparison = PlannerComparison(seed, 10, 2, 6, 1e6, warm_up_time=25 * SECOND)
    comparison.run(20)
    comparison.restart("s3")
    for _ in range(30):
        comparison.run(10)
        comparison.report_loads(0.8, failed=0.3 * (seed % 2), excluding="s3", zones=comparison.zones[:1])
    assert comparison.action_count


@pytest.mark.parametrize("seed", range(4))
def test_a_backend_without_a_ramp_that_starts_anew_is_decided_on_as_by_the_reference(seed):
    comparison = PlannerComparison(seed, 10, 2, 6, 1e6, warm_up_time=0)
    for _ in range(6):
        comparison.report_loads(1.0)
        comparison.run(5)
    for name in list(comparison.entries)[:4]:
        comparison.restart(name)
        comparison.run(1 + seed * 2)
    comparison.run(40)
    assert comparison.action_count


@pytest.mark.parametrize("seed", range(3))
def test_what_was_heard_long_ago_counts_as_by_the_reference(seed):
    # Links are not faded while nobody reports of them: half of the periods here are past those multiplied out
    comparison = played(PlannerComparison(seed, 12, 3, 6, 2000.0), 10)
    for quiet in (EXACT_PERIODS_MAX - 5, EXACT_PERIODS_MAX + 30, 5):
        comparison.run(10 * quiet)
        comparison.report_loads(0.7)
        comparison.run(15)
    assert comparison.action_count


@pytest.mark.parametrize("seed", range(4))
def test_a_recalled_life_is_decided_on_as_by_the_reference(seed):
    former = played(PlannerComparison(seed, 20, 3, 8, 2000.0), 15)
    former.report_loads(1.0)
    snapshot = former.coordinator.snapshot(list(former.entries))
    later = PlannerComparison(seed + 1, 20, 3, 8, 2000.0)
    backends = {name: each for name, each in snapshot.backends.items() if name in later.entries}
    later.report(Restored(snapshot.fleet, backends))
    later.run(5)
    assert played(later, 10).action_count


@pytest.mark.parametrize("seed", range(2))
def test_slices_are_kept_as_by_the_reference(seed):
    comparison = PlannerComparison(seed, 10, 2, 5, 2000.0, slices=4, single_owner=bool(seed))
    for table in range(3):
        comparison.report(SliceAssigned(table=table, owned=True))
        comparison.report(SliceEntry(table=table, backend=f"s{table + 1}", weight=1.0))
    assert played(comparison, 12).action_count


def quiet_fleet(backends, zones, proxies=5):
    """A fleet whose lines are all at rest."""
    comparison = PlannerComparison(
        4, backends, zones, proxies, 1e9, coordinators=1, proxies_expected=proxies, warm_up_time=SECOND
    )
    comparison.run(80)
    return comparison


def looked_at(comparison, monkeypatch, act):
    """How many weights the planner works out while this is done."""
    counted, wanted = Counter(), EntryWeights.target_weight

    def counting(weights, *words):
        counted[weights] += 1
        return wanted(weights, *words)

    with monkeypatch.context() as patched:
        patched.setattr(EntryWeights, "target_weight", counting)
        act()
    return counted[comparison.coordinator.planner.weights]


@pytest.mark.parametrize("backends, zones", [(50, 4), (300, 4), (300, 16)])
def test_nothing_is_looked_at_in_an_idle_second(backends, zones, monkeypatch):
    comparison = quiet_fleet(backends, zones)
    assert looked_at(comparison, monkeypatch, lambda: comparison.run(30)) == 0


def test_the_work_for_a_changed_entry_does_not_grow_with_the_fleet(monkeypatch):
    work = []
    for backends in (50, 400):
        comparison = quiet_fleet(backends, 6)
        name = next(iter(comparison.entries))

        def change(comparison=comparison, name=name):
            entry = {**comparison.entries[name], "weight": 5.0}
            comparison.send_list("changes", [entry])
            comparison.run(3)

        work.append(looked_at(comparison, monkeypatch, change))
    assert 6 <= work[0] == work[1] <= 60


def test_one_link_heard_is_looked_at_alone(monkeypatch):
    comparison = quiet_fleet(200, 8)

    def hear():
        comparison.report(
            LoadReport(zone="z1", backend="s7", attempts=9, failures=0, mean=10**7, window=SECOND, load={})
        )
        comparison.run(12)  # a round is among them

    assert 1 <= looked_at(comparison, monkeypatch, hear) <= 20


def test_a_zones_first_joiner_has_that_zones_lines_looked_at_alone(monkeypatch):
    # Its tables are new. All lines of all zones were looked at: 3.4 s for joiners of 20 zones, 0.5 s now
    told = {
        "coordinators": 3,
        "proxies_expected": 240,
        "drain_grace": SECOND,
        "warm_up_time": SECOND,
        "health_checks_allowed": False,
    }
    comparison = PlannerComparison(4, 60, 12, 3, 2000.0, **told)
    comparison.run(60)
    assert comparison.coordinator.planner.subsets.count > 1
    unused = next(zone for zone in comparison.zones if zone not in comparison.proxies.values())

    def join():
        comparison.report(ProxyJoined(proxy=9, zone=unused, bootstrap=True, rate=1.0))
        comparison.run(30)

    assert 60 <= looked_at(comparison, monkeypatch, join) <= 3 * 60


def test_links_are_made_where_something_is_met():
    comparison = quiet_fleet(100, 8)
    comparison.report_loads(0.02)
    links = sum(len(rec.links) for rec in comparison.coordinator.planner.fleet.backends.values())
    assert 1 <= links <= 50


def test_fading_at_once_is_fading_each_period_to_the_last_digit():
    one, other = Link(), Link()
    for link in (one, other):
        link.observe(7, 2, 5, 5 * 41_234_567.0)
    for period in range(1, EXACT_PERIODS_MAX + 1):
        other.decay_to(period, DECAY_FACTOR)
    one.decay_to(EXACT_PERIODS_MAX, DECAY_FACTOR)
    assert [getattr(one, name) for name in ("attempts", "failures", "successes", "response_time")] == [
        getattr(other, name) for name in ("attempts", "failures", "successes", "response_time")
    ]
    one.decay_to(10**9, DECAY_FACTOR)  # a link that was unheard for years costs one step
    assert one.attempts == 0


def record(order, zone="z0", kind="m"):
    rec = Backend(f"s{order}", 0, order, 0)
    rec.zone, rec.machine_type, rec.phase = zone, kind, "ready"
    return rec


def test_a_group_is_judged_once_for_all_and_again_only_with_a_cause():
    lines, records, judged = SettledEntries(), [record(number) for number in range(9)], []

    def weight_of(backend, zone):
        judged.append(backend)
        return 1.0

    def differs(want, sent):
        return want != sent

    for rec in records:
        lines.settle(rec, "z0", (1.0,))
    assert list(lines.moving(weight_of, differs)) == [] and len(judged) == 1
    assert list(lines.moving(weight_of, differs)) == [] and len(judged) == 1
    lines.invalidate_zone("z1")
    assert list(lines.moving(weight_of, differs)) == [] and len(judged) == 1
    lines.invalidate_zone("z0")
    assert list(lines.moving(weight_of, differs)) == [] and len(judged) == 2
    lines.remove(records[3], "z0")
    lines.settle(records[3], "z0", (2.0,))
    for _ in range(2):  # as long as it differs
        assert list(lines.moving(weight_of, differs)) == [(records[3], "z0")]
    lines.remove_all(records[3])
    assert list(lines.moving(weight_of, differs)) == []


def test_costs_of_what_began_after_the_last_look_are_unknown_until_the_next():
    costs, rec, other = CostTable(), record(1), record(2)
    for each in (rec, other):
        costs.reset_backend(each)
    costs.begin_evaluation()
    observed = [ObservedCost(rec, rec.link("z0", 0), 50.0)]
    assert costs.evaluate_zone("z0", observed) and costs.attempt_cost(other, "z0") == 50.0
    later = record(3)
    costs.reset_backend(later)
    assert costs.attempt_cost(later, "z0") is None
    costs.freeze(other, ["z0"], 0)
    other.machine_type = "else"
    assert costs.attempt_cost(other, "z0") == 50.0  # as of the last look, whatever it is by now
    costs.begin_evaluation()
    assert not costs.evaluate_zone("z0", observed)
    assert costs.attempt_cost(later, "z0") == 50.0 and costs.attempt_cost(other, "z0") is None


SLOW = Settings(entries_per_s=800.0, drain_grace=36 * SECOND, proxies_expected=1500, coordinators=5)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(SEEDS)
def test_subsets_of_what_changed_are_those_of_the_whole_fleet(seed):
    random, channel, pairs = Random(seed), InFlightAccount(SLOW), []
    texts = Subsets(["z0"]), Subsets(["z0"])
    for order in range(random.randint(20, 300)):
        pairs.append((record(order), record(order)))
    changed = dict.fromkeys(range(len(pairs)))
    for _ in range(12):
        if random.random() < 0.4:  # one subset loses most of its members
            subset = random.randrange(texts[0].count)
            for number in [k for k, (rec, _) in enumerate(pairs) if rec.subset == subset][1:]:
                changed[number] = None
                for rec in pairs[number]:
                    rec.phase = "gone"
        for _ in range(random.choice((0, 1, 5, 60))):
            number = random.randrange(len(pairs))
            what, value = random.choice(
                (
                    ("phase", random.choice(("ready", "draining", "gone"))),
                    ("verified", random.random() < 0.8),
                    ("zone", f"z{random.randrange(3)}"),
                    ("machine_type", f"m{random.randrange(3)}"),
                )
            )
            changed[number] = None
            for rec in pairs[number]:
                setattr(rec, what, value)
        mine, theirs = [[pair[k] for pair in pairs] for k in (0, 1)]
        split_size = texts[1].split_size
        moved = texts[0].assign(SLOW, channel, mine, [mine[number] for number in sorted(changed)])
        before = [rec.subset for rec in theirs]
        texts[1].assign(SLOW, channel, theirs)
        assert [rec.subset for rec in mine] == [rec.subset for rec in theirs]
        others = [rec for rec, subset in zip(theirs, before) if rec.subset != subset]
        anew = theirs if texts[1].split_size != split_size else others  # another count gives other tables
        assert {rec.sequence for rec in moved} == {rec.sequence for rec in anew}
        changed.clear()
