"""Transactions: their arrivals, attempts, retries and outcomes.

Arrivals are a Poisson process over all proxies. The backend of an attempt is drawn by weight from the proxy's
table. An attempt takes the backend's latency and a round trip. It is retried if its class and admission level
allow it.
"""

from bisect import bisect
from collections.abc import Mapping, Sequence
from itertools import accumulate
from random import Random

import msgspec

from granitespool.emulator.backend import Backend
from granitespool.emulator.clock import EPOCH, VirtualClock
from granitespool.emulator.schema import ClassSettings, FleetSettings
from granitespool.simulation.proxy_table import ProxyTable
from granitespool.units import MILLISECOND, SECOND

SAME_ZONE_ROUND_TRIP_FACTOR = 0.1  # round trip within a zone / round trip between zones


class OutcomeCounts(msgspec.Struct):
    """Numbers of transactions of one class that began in one second, by outcome."""

    asked: int = 0  # all transactions
    in_time: int = 0  # answered within the latency objective
    late: int = 0  # answered after the latency objective
    failed: int = 0
    refused: int = 0  # not admitted


class OutcomeShares(msgspec.Struct, frozen=True):
    """Outcomes as shares of all transactions of one class. The fields are keys of the JSON report."""

    asked: float  # number of all transactions, not a share
    in_time: float
    late: float
    failed: float
    refused: float


class LinkCounts(msgspec.Struct):
    """Attempts of one zone's proxies at one backend that ended in one second."""

    attempts: int = 0
    failed: int = 0
    answered: int = 0
    total_latency: int = 0  # sum (ns) over the answered attempts

    @property
    def mean_latency(self) -> int:
        """Mean latency of the answered attempts in ns, or 0 if there are none."""
        return self.total_latency // self.answered if self.answered else 0


class Transaction(msgspec.Struct, frozen=True):
    """An admitted transaction."""

    proxy: ProxyTable
    class_name: str
    counts: OutcomeCounts  # counts of the second in which the transaction began
    started_at: int  # ns


class RequestTraffic:
    """Generator of the transactions of all proxies."""

    def __init__(
        self,
        clock: VirtualClock,
        random: Random,
        fleet: FleetSettings,
        classes: Mapping[str, ClassSettings],
        backends: Mapping[str, Backend],
        proxies: Sequence[ProxyTable],
    ) -> None:
        self.clock = clock
        self.random = random
        self.fleet = fleet
        self.classes = classes
        self.backends = backends
        self.proxies = proxies
        self.transaction_rate = fleet.load * self._capacity()  # transactions per second of all proxies
        self.class_names = list(classes)
        self.cumulative_shares = list(accumulate(settings.share for settings in classes.values()))
        self.outcomes: dict[tuple[int, str], OutcomeCounts] = {}  # (second, class) -> counts
        self._links: dict[int, dict[tuple[str, str], LinkCounts]] = {}  # second -> (zone, backend) -> counts
        self._demand: dict[tuple[int, str], int] = {}  # (proxy, class) -> transactions since the last report
        clock.call_at(self._next_arrival(), self._arrive)

    def _capacity(self) -> float:
        """Return the transactions per second that all backends together can execute."""
        return sum(
            self.fleet.workers / (self.fleet.service_ms / 1e3 * backend.fault.slowdown)
            for backend in self.backends.values()
            if not backend.fault.dead
        )

    def take_links(self, second: int) -> dict[tuple[str, str], LinkCounts]:
        """Remove and return the counts of a second by (zone, backend)."""
        return self._links.pop(second, {})

    def take_demand(self) -> dict[tuple[int, str], int]:
        """Return the number of transactions since the last call, by (proxy, class)."""
        demand, self._demand = self._demand, {}
        return demand

    def outcome_shares(self, first: int, last: int) -> dict[str, OutcomeShares]:
        """Return the outcomes, by class, of transactions that began in the seconds [first, last)."""
        return {name: self._class_shares(name, range(first, last)) for name in self.class_names}

    def _class_shares(self, name: str, seconds: range) -> OutcomeShares:
        all_counts = [counts for second in seconds if (counts := self.outcomes.get((second, name)))]
        asked = sum(counts.asked for counts in all_counts)

        def share(count: int) -> float:
            return count / asked if asked else 0.0

        return OutcomeShares(
            asked=asked,
            in_time=share(sum(counts.in_time for counts in all_counts)),
            late=share(sum(counts.late for counts in all_counts)),
            failed=share(sum(counts.failed for counts in all_counts)),
            refused=share(sum(counts.refused for counts in all_counts)),
        )

    def _next_arrival(self) -> int:
        return self.clock.now + int(self.random.expovariate(self.transaction_rate) * SECOND)

    def _arrive(self) -> None:
        """Start a transaction of a random class at a random proxy."""
        self.clock.call_at(self._next_arrival(), self._arrive)
        proxy = self.proxies[int(self.random.random() * len(self.proxies))]
        class_name = self._draw_class()
        second = (self.clock.now - EPOCH) // SECOND
        counts = self.outcomes.setdefault((second, class_name), OutcomeCounts())
        counts.asked += 1
        key = proxy.number, class_name
        self._demand[key] = self._demand.get(key, 0) + 1
        share = proxy.admission_level(class_name).share
        if share < 1 and self.random.random() >= share:
            counts.refused += 1
        else:
            self._attempt(Transaction(proxy, class_name, counts, self.clock.now), 0)

    def _draw_class(self) -> str:
        position = bisect(self.cumulative_shares, self.random.random() * self.cumulative_shares[-1])
        return self.class_names[min(position, len(self.class_names) - 1)]

    def _attempt(self, transaction: Transaction, retries: int) -> None:
        """Make an attempt of a transaction that was retried `retries` times before."""
        request_class = self.classes[transaction.class_name]
        endpoint = transaction.proxy.pick(self.random)
        time_left = transaction.started_at + int(request_class.limit_ms * MILLISECOND) - self.clock.now
        if endpoint is None or time_left <= 0:
            transaction.counts.failed += 1
            return
        latency, succeeded = self._send_attempt(transaction.proxy, self.backends[endpoint], time_left)
        end = self.clock.now + latency
        self._count_link(transaction.proxy.zone, endpoint, end, latency if succeeded else None)
        if succeeded:
            self._count_answer(transaction, end)
        elif (
            request_class.again
            and retries < transaction.proxy.admission_level(transaction.class_name).retries
        ):
            self.clock.call_at(end, self._attempt, transaction, retries + 1)
        else:
            transaction.counts.failed += 1

    def _send_attempt(self, proxy: ProxyTable, backend: Backend, time_left: int) -> tuple[int, bool]:
        """Return the time (ns) until the attempt is answered or times out, and whether it succeeded."""
        response = backend.serve(self.clock.now, self.random, self.fleet)
        round_trip = self.fleet.cross_zone_ms * MILLISECOND
        if backend.zone == proxy.zone:
            round_trip *= SAME_ZONE_ROUND_TRIP_FACTOR
        if response.latency is None:
            return time_left, False
        latency = min(time_left, response.latency + int(round_trip))
        return latency, response.succeeded and latency < time_left

    def _count_link(self, zone: str, backend: str, end: int, latency: int | None) -> None:
        """Count an attempt that ended at `end` (ns); `latency` is None if it failed."""
        links = self._links.setdefault((end - EPOCH) // SECOND, {})
        counts = links.setdefault((zone, backend), LinkCounts())
        counts.attempts += 1
        if latency is None:
            counts.failed += 1
        else:
            counts.answered += 1
            counts.total_latency += latency

    def _count_answer(self, transaction: Transaction, end: int) -> None:
        latency_objective = self.classes[transaction.class_name].promised_ms * MILLISECOND
        if end - transaction.started_at <= latency_objective:
            transaction.counts.in_time += 1
        else:
            transaction.counts.late += 1
