"""Several coordinators over the same backends, none speaking to another: what all of them together do."""
import pytest
from storm import SECOND, Storm

COORDINATORS, PROXIES, BACKENDS, STEP = 5, 24, 40, 12  # proxies are each coordinator's
LOAD = 0.7       # of what the warm fleet can do
MULTIPLE = 4.0   # of its present work that pushes a cold backend over
WARM = 17 * SECOND
SHARE = 0.17


class Fleet:
    def __init__(self, slowed=1.0):
        settings = {"lines_per_s": 900.0, "backlog_limit": 11600.0, "drain_grace": 14 * SECOND,
                    "cold_time": WARM, "cold_share": SHARE, "fall_multiple": MULTIPLE, "standing_lines": 5,
                    "proxies_expected": COORDINATORS * PROXIES}
        self.storms = [Storm(BACKENDS, 3, planners=COORDINATORS, slowed=slowed, **settings)
                       for _ in range(COORDINATORS)]
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
            for table, out in storm.holds.values():
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
                        storm.now, "heard", zone=zone, backend=name, tries=20, failed=int(20 * (1 - done)),
                        mean=SECOND // 10, window=SECOND, load={})
            storm.run(1)
        return met

    def release(self):
        for storm in self.storms:
            storm.release(STEP)
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
