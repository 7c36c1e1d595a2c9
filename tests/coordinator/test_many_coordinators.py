"""Several coordinators over the same backends, without communication, and their combined effect."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.proxy_fleet import ProxyFleet

from granitespool.planner.events import HealthCheckOutcome, HealthCheckResult, LoadReport
from granitespool.units import SECOND

COORDINATORS, PROXIES, BACKENDS, RELEASE_STEP = 5, 24, 40, 12  # PROXIES: of each coordinator
LOAD = 0.7  # share of the warm fleet's capacity
OVERLOAD_MULTIPLE = 4.0  # of its present capacity: a load that a cold backend fails under
WARM_UP_TIME = 17 * SECOND
WARM_UP_START_SHARE = 0.17


class Fleet:
    def __init__(self, slowdown=1.0):
        settings = {
            "entries_per_s": 900.0,
            "backlog_limit": 11600.0,
            "drain_grace": 14 * SECOND,
            "warm_up_time": WARM_UP_TIME,
            "warm_up_start_share": WARM_UP_START_SHARE,
            "overload_multiple": OVERLOAD_MULTIPLE,
            "bootstrap_entries": 5,
            "proxies_expected": COORDINATORS * PROXIES,
        }
        self.proxy_fleets = [
            ProxyFleet(BACKENDS, 3, coordinators=COORDINATORS, slowdown=slowdown, **settings)
            for _ in range(COORDINATORS)
        ]
        self.since = dict.fromkeys(self.proxy_fleets[0].ready, 0)
        for proxy_fleet in self.proxy_fleets:
            for proxy in range(PROXIES):
                proxy_fleet.join(proxy)

    def capacity(self, name):
        age = min(1.0, (self.proxy_fleets[0].now - self.since[name]) / WARM_UP_TIME)
        return WARM_UP_START_SHARE + (1 - WARM_UP_START_SHARE) * age

    def load(self):
        """Return the load of each backend (1: its warm capacity), from the tables of all proxies."""
        loads = {}
        for proxy_fleet in self.proxy_fleets:
            for table, excluded in proxy_fleet.tables.values():
                usable = {name: weight for name, weight in table.items() if name not in excluded}
                assert usable, "a proxy without a backend"
                for name, weight in usable.items():
                    share = weight / sum(usable.values())
                    loads[name] = loads.get(name, 0.0) + LOAD * BACKENDS / COORDINATORS / PROXIES * share
        return loads

    def run_second(self, success_ratio=None):
        """Run all coordinators for a second; if `success_ratio` is None, it follows from the capacity."""
        loads = self.load()
        for proxy_fleet in self.proxy_fleets:
            for name, load in loads.items():
                if name not in proxy_fleet.ready:
                    continue
                succeeded = min(1.0, self.capacity(name) / load) if success_ratio is None else success_ratio
                for zone in ("z0", "z1", "z2"):
                    proxy_fleet.coordinator.report(
                        proxy_fleet.now,
                        LoadReport(
                            zone=zone,
                            backend=name,
                            attempts=20,
                            failures=int(20 * (1 - succeeded)),
                            mean=SECOND // 10,
                            window=SECOND,
                            load={},
                        ),
                    )
            proxy_fleet.run(1)
        return loads

    def release(self):
        for proxy_fleet in self.proxy_fleets:
            proxy_fleet.replace_backends(RELEASE_STEP)
            self.since.update({name: proxy_fleet.now for name in proxy_fleet.ready if name not in self.since})


@pytest.mark.parametrize("success_ratio", [None, 0.9, 0.35])
def test_replacing_six_in_ten_overloads_no_cold_backend_and_removes_the_old_ones(success_ratio):
    fleet = Fleet()
    for _ in range(8):
        fleet.run_second()
    old = set()
    for _ in range(2):
        old |= set(fleet.proxy_fleets[0].ready[:RELEASE_STEP])
        fleet.release()
        for _ in range(5):
            loads = fleet.run_second(success_ratio)
            for name, load in loads.items():  # failed attempts are retried
                assert (
                    load / (success_ratio or 1) <= OVERLOAD_MULTIPLE * fleet.capacity(name)
                    or fleet.capacity(name) == 1.0
                )
    for _ in range(12):
        loads = fleet.run_second(success_ratio)
    assert not old & set(loads)


def test_during_an_overload_new_backends_soon_carry_their_share():
    """In the runs join+vast 3, 5 and 8, a third to a half of the attempts succeeded.

    New backends therefore got only a third of their share, which prolonged the overload.
    """
    fleet = Fleet()
    for _ in range(8):
        fleet.run_second()
    fleet.release()
    for _ in range(12):
        loads = fleet.run_second(0.4)
    new = [name for name, since in fleet.since.items() if since]
    assert sum(loads[name] for name in new) > 0.6 * sum(fleet.capacity(name) for name in new) * LOAD


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("release"), st.integers(1, 8)),  # number of backends replaced, at all coordinators
        st.tuples(st.just("whole"), st.integers(0, 4)),  # coordinator that gets a complete list
        st.tuples(st.just("back"), st.integers(1, 6)),  # number of drained backends that return
        st.tuples(
            st.just("short"), st.integers(1, 10)
        ),  # a complete list without this many, at one coordinator
        st.tuples(st.just("dies"), st.integers(0, 4)),  # its proxies join the next coordinator
        st.tuples(st.just("reports"), st.integers(0, 20)),
    ),
    min_size=1,
    max_size=10,
)


def report_healthy(proxy_fleet, names):
    for name in names:
        proxy_fleet.coordinator.report(
            proxy_fleet.now,
            HealthCheckResult(backend=name, outcome=HealthCheckOutcome.OK, latency=10**6, load={}),
        )


@settings(max_examples=20, deadline=None, derandomize=True)
@given(STEPS, st.integers(2, 5), st.integers(2, 12), st.integers(6, 40))
def test_every_proxy_gets_a_current_table_for_any_order_of_failures_lists_and_reports(
    steps, coordinators, proxies, backends
):
    # Each turn checks that the backlog is reserved and within the limit, and that no planner raised an
    # exception
    proxy_fleets = [
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
    for number, proxy_fleet in enumerate(proxy_fleets):
        for proxy in range(proxies):
            proxy_fleet.join(number * proxies + proxy)
        proxy_fleet.run(1)
    gone = []
    for kind, number in steps:
        if kind == "release":
            count = min(number, len(proxy_fleets[0].ready) - 1)
            gone += proxy_fleets[0].ready[:count]
            for proxy_fleet in proxy_fleets:
                proxy_fleet.replace_backends(count)
                report_healthy(proxy_fleet, proxy_fleet.ready[-count:])
        elif kind == "back":
            for name in gone[-number:]:
                for proxy_fleet in proxy_fleets:
                    proxy_fleet.send_list("changes", [(name, "ready", proxy_fleet.now)])
                    report_healthy(proxy_fleet, [name])
                    proxy_fleet.ready.append(name)
            del gone[-number:]
        elif kind == "short":
            proxy_fleet = proxy_fleets[number % coordinators]
            proxy_fleet.send_list("complete", [(name, "ready", 0) for name in proxy_fleet.ready[number:]])
        elif kind == "whole":
            proxy_fleet = proxy_fleets[number % coordinators]
            proxy_fleet.send_list("complete", [(name, "ready", 0) for name in proxy_fleet.ready])
        elif kind == "dies":
            failed, successor = proxy_fleets[number % coordinators], proxy_fleets[(number + 1) % coordinators]
            for proxy in list(failed.joined):
                table = failed.tables.get(proxy)
                failed.leave(proxy)
                successor.join(proxy, bootstrap=False)
                if table:
                    successor.tables[proxy] = table
        else:
            for proxy_fleet in proxy_fleets:
                for name in proxy_fleet.ready[:number] + gone[:2]:
                    proxy_fleet.coordinator.report(
                        proxy_fleet.now,
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
        for proxy_fleet in proxy_fleets:
            proxy_fleet.run(1)
    for proxy_fleet in proxy_fleets:
        proxy_fleet.send_list("complete", [(name, "ready", 0) for name in proxy_fleet.ready])
        report_healthy(proxy_fleet, proxy_fleet.ready)
        proxy_fleet.run(30)
        assert not proxy_fleet.coordinator.planner.assignment.unassigned
        for proxy in proxy_fleet.joined:
            table, excluded = proxy_fleet.tables[proxy]
            assert set(table) - excluded, "a proxy without a backend"
            assert not set(table) - excluded - set(proxy_fleet.ready), "a drained backend in a table"


def test_summed_late_load_reports_give_the_same_weights_as_all_of_them_in_time():
    """A third of the backends is reported each second, with the sums of three seconds.

    The order of the reports and a delay of three seconds must not change the weights.
    """
    complete, partial = (ProxyFleet(30, 1, entries_per_s=1e6, backlog_limit=1e6) for _ in range(2))
    for proxy_fleet in (complete, partial):
        proxy_fleet.join(0)
    for second in range(45):
        for proxy_fleet in (complete, partial):
            for number, name in enumerate(proxy_fleet.ready):
                if proxy_fleet is partial and number % 3 != second % 3:
                    continue
                seconds = 3 if proxy_fleet is partial else 1
                proxy_fleet.coordinator.report(
                    proxy_fleet.now,
                    LoadReport(
                        zone="z0",
                        backend=name,
                        attempts=20 * seconds,
                        window=seconds * SECOND,
                        load={},
                        failures=(number % 5 == 0) * 2 * seconds,
                        mean=SECOND // 10 * (1 + number % 4),
                    ),
                )
            proxy_fleet.run(1)
    (weights, _), (expected, _) = partial.tables[0], complete.tables[0]
    assert set(weights) == set(expected) == set(complete.ready)
    for name, weight in expected.items():
        assert weights[name] == pytest.approx(weight, rel=0.15), name
    assert max(expected.values()) > 2.5 * min(expected.values())
