"""Proxies that join a coordinator which was started again in the midst of a deploy, in virtual time."""

from granitespool.units import SECOND
from support.drain_observer import DrainObserver

FORMER_TABLE_ENTRIES = 16  # of the tables that the ended coordinator had assigned
READY_AFTER = 0.3  # s from the start of the process until it answers
START_GRACE = 1.0  # s after the first answer before which no time limit starts
REDIAL_DELAYS = (0.13, 2.5)  # s from the end of a stream to the next attempt to connect
TRANSIT_TIME = 0.3  # s from the channel to the proxy, at most


class RestartedFleet(DrainObserver):
    """A fleet whose proxies come with tables of the ended process, and are late by the rule on drains."""

    def __init__(
        self,
        proxies,
        entries_per_s,
        grace,
        missed,
        backends=200,
        coordinators=5,
        redial=REDIAL_DELAYS,
        full_queue_time=2.0,
    ):
        """Start with the list of the process's first start; `missed` backends have drained since.

        Half of those are gone. `grace` is the drain grace, `redial` the range of redial delays, in
        seconds; `full_queue_time` is how long (s) a full queue takes.
        """
        super().__init__(
            backends,
            3,
            coordinators=coordinators,
            entries_per_s=float(entries_per_s),
            backlog_limit=full_queue_time * entries_per_s,
            messages_limit=30,
            messages_span=10 * SECOND,
            drain_grace=int(grace * SECOND),
            proxies_expected=coordinators * proxies,
        )
        self.started_at = self.now
        former = list(self.ready)
        for proxy in range(proxies):
            entries = self.random.sample(former, min(FORMER_TABLE_ENTRIES, backends))
            self.weights[proxy] = dict.fromkeys(entries, 1.0)
        self.waiting = sorted((self._joining_time(redial), proxy) for proxy in range(proxies))
        self.turn()
        if missed:
            self.drain(missed)
            self.remove_backends(former[: missed // 2])

    def _joining_time(self, redial):
        return self.started_at + int((READY_AFTER + self.random.uniform(*redial)) * SECOND)

    def turn(self, *arguments):
        while self.waiting and self.waiting[0][0] <= self.now:
            _, proxy = self.waiting.pop(0)
            self.join(proxy, bootstrap=False)
            limits_begin_at = self.started_at + int((READY_AFTER + START_GRACE) * SECOND)
            self.joined_at[proxy] = max(self.now, limits_begin_at)
        super().turn(*arguments)

    def deploy(self, batch, interval, batches, seconds):
        """Replace `batch` backends each `interval` seconds, and run for `seconds` in all."""
        end = self.now + int(seconds * SECOND)
        for _ in range(batches):
            self.run(interval)
            self.drain(batch)
        self.run((end - self.now) / SECOND)
