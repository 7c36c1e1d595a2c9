"""Several coordinators over the same backends, none speaking to another: what all of them together do."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.proxy_fleet import ProxyFleet

from granitespool.planner.events import HealthCheckOutcome, HealthCheckResult, LoadReport
from granitespool.units import SECOND

COORDINATORS, PROXIES, BACKENDS, STEP = 5, 24, 40, 12  # proxies are each coordinator's
LOAD = 0.7  # of what the warm fleet can do
MULTIPLE = 4.0  # of its present work that pushes a cold backend over
WARM = 17 * SECOND
SHARE = 0.17


class Fleet:
    def __init__(self, slowdown=1.0):
        settings = {
            "entries_per_s": 900.0,
            "backlog_limit": 11600.0,
            "drain_grace": 14 * SECOND,
            "warm_up_time": WARM,
            "warm_up_start_share": SHARE,
            "overload_multiple": MULTIPLE,
            "bootstrap_entries": 5,
            "proxies_expected": COORDINATORS * PROXIES,
        }
        self.storms = [
            ProxyFleet(BACKENDS, 3, coordinators=COORDINATORS, slowdown=slowdown, **settings)
            for _ in range(COORDINATORS)
        ]
        self.since = dict.fromkeys(self.storms[0].ready, 0)
        for storm in self.storms:
            for proxy in range(PROXIES):
                storm.join(proxy)

    def can(self, name):
        age = min(1.0, (self.storms[0].now - self.since[name]) / WARM)
        return SHARE + (1 - SHARE) * age

    def load(self):
        """{backend: its load, 1 for what it can do warm}, from the tables that all proxies hold."""
        met = {}
        for storm in self.storms:
            for table, out in storm.tables.values():
                open_ = {name: weight for name, weight in table.items() if name not in out}
                assert open_, "a proxy without a backend"
                for name, weight in open_.items():
                    part = weight / sum(open_.values())
                    met[name] = met.get(name, 0.0) + LOAD * BACKENDS / COORDINATORS / PROXIES * part
        return met

    def second(self, answers=None):
        """A second of all; `answers`: the part of tries answered in a storm, else what can be carried is."""
        met = self.load()
        for storm in self.storms:
            for name, load in met.items():
                if name not in storm.ready:
                    continue
                done = min(1.0, self.can(name) / load) if answers is None else answers
                for zone in ("z0", "z1", "z2"):
                    storm.coordinator.report(
                        storm.now,
                        LoadReport(
                            zone=zone,
                            backend=name,
                            attempts=20,
                            failures=int(20 * (1 - done)),
                            mean=SECOND // 10,
                            window=SECOND,
                            load={},
                        ),
                    )
            storm.run(1)
        return met

    def release(self):
        for storm in self.storms:
            storm.replace_backends(STEP)
            self.since.update({name: storm.now for name in storm.ready if name not in self.since})


@pytest.mark.parametrize("answers", [None, 0.9, 0.35])
def test_six_in_ten_replaced_push_over_no_cold_backend_and_leave_the_old(answers):
    fleet = Fleet()
    for _ in range(8):
        fleet.second()
    old = set()
    for _ in range(2):
        old |= set(fleet.storms[0].ready[:STEP])
        fleet.release()
        for _ in range(5):
            met = fleet.second(answers)
            for name, load in met.items():  # in a storm all that fails is tried anew
                assert load / (answers or 1) <= MULTIPLE * fleet.can(name) or fleet.can(name) == 1.0
    for _ in range(12):
        met = fleet.second(answers)
    assert not old & set(met)


def test_in_a_storm_the_new_half_carries_its_part_soon():
    # join+vast 3, 5, 8: a third to a half answered, so new backends had a third of their part, so it went on
    fleet = Fleet()
    for _ in range(8):
        fleet.second()
    fleet.release()
    for _ in range(12):
        met = fleet.second(0.4)
    new = [name for name, since in fleet.since.items() if since]
    assert sum(met[name] for name in new) > 0.6 * sum(fleet.can(name) for name in new) * LOAD


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("release"), st.integers(1, 8)),  # so many are replaced, told to all
        st.tuples(st.just("whole"), st.integers(0, 4)),  # this one gets a whole list
        st.tuples(st.just("back"), st.integers(1, 6)),  # those that drained last return under their names
        st.tuples(st.just("short"), st.integers(1, 10)),  # a whole list that leaves so many out, at one
        st.tuples(st.just("dies"), st.integers(0, 4)),  # its proxies join the next one with their tables
        st.tuples(st.just("reports"), st.integers(0, 20)),
    ),
    min_size=1,
    max_size=10,
)


def answered(storm, names):
    for name in names:
        storm.coordinator.report(
            storm.now, HealthCheckResult(backend=name, outcome=HealthCheckOutcome.OK, latency=10**6, load={})
        )


@settings(max_examples=20, deadline=None, derandomize=True)
@given(STEPS, st.integers(2, 5), st.integers(2, 12), st.integers(6, 40))
def test_whatever_order_losses_lists_and_late_reports_come_in(steps, coordinators, proxies, backends):
    # Each turn checks that what waits is booked and within the limit, and that no planner failed
    storms = [
        ProxyFleet(
            backends,
            3,
            coordinators=coordinators,
            entries_per_s=900.0,
            backlog_limit=6000.0,
            health_checks_allowed=True,
            proxies_expected=coordinators * proxies,
            drain_grace=6 * SECOND,
        )
        for _ in range(coordinators)
    ]
    for number, storm in enumerate(storms):
        for proxy in range(proxies):
            storm.join(number * proxies + proxy)
        storm.run(1)
    gone = []
    for kind, number in steps:
        if kind == "release":
            count = min(number, len(storms[0].ready) - 1)
            gone += storms[0].ready[:count]
            for storm in storms:
                storm.replace_backends(count)
                answered(storm, storm.ready[-count:])
        elif kind == "back":
            for name in gone[-number:]:
                for storm in storms:
                    storm.send_list("changes", [(name, "ready", storm.now)])
                    answered(storm, [name])
                    storm.ready.append(name)
            del gone[-number:]
        elif kind == "short":
            storm = storms[number % coordinators]
            storm.send_list("complete", [(name, "ready", 0) for name in storm.ready[number:]])
        elif kind == "whole":
            storm = storms[number % coordinators]
            storm.send_list("complete", [(name, "ready", 0) for name in storm.ready])
        elif kind == "dies":
            lost, heir = storms[number % coordinators], storms[(number + 1) % coordinators]
            for proxy in list(lost.joined):
                held = lost.tables.get(proxy)
                lost.leave(proxy)
                heir.join(proxy, bootstrap=False)
                if held:
                    heir.tables[proxy] = held
        else:
            for storm in storms:
                for name in storm.ready[:number] + gone[:2]:
                    storm.coordinator.report(
                        storm.now,
                        LoadReport(
                            zone="z0",
                            backend=name,
                            attempts=9,
                            failures=number % 10,
                            mean=SECOND // 5,
                            window=9 * SECOND,
                            load={},
                        ),
                    )
        for storm in storms:
            storm.run(1)
    for storm in storms:
        storm.send_list("complete", [(name, "ready", 0) for name in storm.ready])
        answered(storm, storm.ready)
        storm.run(30)
        assert not storm.coordinator.planner.assignment.unassigned
        for proxy in storm.joined:
            table, out = storm.tables[proxy]
            assert set(table) - out, "a proxy without a backend"
            assert not set(table) - out - set(storm.ready), "a drained backend is held"


def test_reports_past_the_intake_add_up_and_decide_as_all_of_them_would():
    # A third of the reports comes each second, the rest with what adds up meanwhile: nobody is judged by who
    # came first, and three seconds late is no change of weights
    whole, part = (ProxyFleet(30, 1, entries_per_s=1e6, backlog_limit=1e6) for _ in range(2))
    for storm in (whole, part):
        storm.join(0)
    for second in range(45):
        for storm in (whole, part):
            for number, name in enumerate(storm.ready):
                if storm is part and number % 3 != second % 3:
                    continue
                times = 3 if storm is part else 1
                storm.coordinator.report(
                    storm.now,
                    LoadReport(
                        zone="z0",
                        backend=name,
                        attempts=20 * times,
                        window=times * SECOND,
                        load={},
                        failures=(number % 5 == 0) * 2 * times,
                        mean=SECOND // 10 * (1 + number % 4),
                    ),
                )
            storm.run(1)
    (met, _), (expected, _) = part.tables[0], whole.tables[0]
    assert set(met) == set(expected) == set(whole.ready)
    for name, weight in expected.items():
        assert met[name] == pytest.approx(weight, rel=0.15), name
    assert max(expected.values()) > 2.5 * min(expected.values())
