"""A fleet of stand-in proxies that records which of them use a draining backend for too long."""

from collections import defaultdict, deque
from random import Random

from granitespool.units import SECOND
from support.proxy_fleet import SEED, ProxyFleet

DRAIN_TIME = 5.3  # s from the drain of a backend to its end


class DrainObserver(ProxyFleet):
    """A fleet whose proxies apply messages as they arrive, and keep their tables when their stream ends."""

    def __init__(self, *arguments, **settings):
        self.written = defaultdict(deque)  # proxy -> messages that have not arrived, oldest first
        self.weights = defaultdict(dict)  # proxy -> backend -> weight, as applied
        self.excluded = defaultdict(set)  # proxy -> backends, as applied
        self.joined_at = {}  # proxy -> start of its present stream, ns
        self.drained_at = {}  # backend -> ns
        self.late = set()  # (proxy, backend): used after the drain grace
        self.random = Random(SEED)
        super().__init__(*arguments, **settings)

    def join(self, proxy, bootstrap=True):
        super().join(proxy, bootstrap)
        self.joined_at[proxy] = self.now

    def leave(self, proxy):
        super().leave(proxy)
        self.written[proxy].clear()

    def set_bootstrap_table(self, proxy):
        """Give a proxy that is about to join for the first time some backends of its zone, or of any."""
        local = [name for name in self.ready if self.zone_of(name) == f"z{proxy % self.zones}"]
        drawn = self.random.sample(local, min(len(local), self.settings.bootstrap_entries))
        self.weights[proxy] = dict.fromkeys(drawn, 1.0)

    def on_written(self, proxy, message, size):
        self.written[proxy].append(message)

    def on_arrived(self, proxy):
        message = self.written[proxy].popleft()
        if proxy in self.silent:
            return
        for table in message.tables:
            if table.complete:
                self.weights[proxy].clear()
            self.weights[proxy].update(table.entries)
        self.excluded[proxy].update(message.excluded)
        self.excluded[proxy].difference_update(message.readmitted)

    def drain(self, count):
        """Replace the first `count` ready backends."""
        for backend in self.ready[:count]:
            self.drained_at[backend] = self.now
        self.replace_backends(count)

    def replace(self, count, seconds):
        """Replace `count` backends, which end after `DRAIN_TIME`, and run for `seconds` in all."""
        drained = self.ready[:count]
        self.drain(count)
        self.run(DRAIN_TIME)
        self.remove_backends(drained)
        self.run(seconds - DRAIN_TIME)

    def usable(self, proxy):
        """Return the backends that a proxy may send to."""
        return {name for name, weight in self.weights[proxy].items() if weight} - self.excluded[proxy]

    def turn(self, *arguments):
        super().turn(*arguments)
        for proxy in self.joined.keys() - self.silent:
            due = self.now - self.settings.drain_grace
            if self.joined_at[proxy] >= due:
                continue
            self.late |= {
                (proxy, name) for name in self.usable(proxy) if self.drained_at.get(name, due) < due
            }


def observed_fleet(proxies, entries_per_s, grace, full_queue_time=2, coordinators=2, backends=30):
    """Return a fleet without proxies; the drain grace and the time of a full queue are in seconds."""
    return DrainObserver(
        backends,
        3,
        coordinators=coordinators,
        entries_per_s=entries_per_s,
        backlog_limit=full_queue_time * entries_per_s,
        messages_limit=30,
        messages_span=10 * SECOND,
        drain_grace=int(grace * SECOND),
        proxies_expected=proxies,
    )


def assigned_fleet(proxies, entries_per_s, grace, full_queue_time=2):
    """Return a fleet whose proxies have joined and have their tables, and whose channel is empty."""
    fleet = observed_fleet(proxies, entries_per_s, grace, full_queue_time)
    for proxy in range(proxies):
        fleet.join(proxy)
    fleet.run(proxies * 45 / entries_per_s)
    assert not fleet.coordinator.planner.assignment.unassigned
    assert not fleet.channel
    return fleet
