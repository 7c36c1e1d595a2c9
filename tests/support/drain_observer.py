"""A fleet of stand-in proxies that records which of them use a draining backend for too long."""

from collections import defaultdict, deque
from random import Random

from support.proxy_fleet import SEED, ProxyFleet


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
