"""Simulated requests: the load that the tables give each backend, and single requests with retries.

No request is sent on a socket. The load of a backend is computed from the tables of the proxies; a sample of
each proxy's requests is simulated one by one, with their retries. All random numbers come from one seed.
"""

from collections.abc import Sequence, Set
from random import Random

from granitespool.net.loop import Loop
from granitespool.scale.backends import Backends
from granitespool.scale.coroutines import Wait
from granitespool.scale.fleet import EFFECTS
from granitespool.scale.proxy_stream import ProxyStream
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Scenario
from granitespool.scale.trace import BackendLoad, Effect, RequestExecuted
from granitespool.units import SECOND

TICK = SECOND // 4  # ns between computations of the load of backends
# Retry policy that allows a retry only if the attempt was certainly not executed; higher values allow more
RETRY_IF_NOT_EXECUTED = 1
ANSWER_LOST_SHARE = 0.05  # share of the executed attempts whose answer is lost


class Traffic:
    """The simulated requests of all proxies."""

    def __init__(
        self,
        loop: Loop,
        recorder: Recorder,
        scenario: Scenario,
        streams: Sequence[ProxyStream],
        backends: Backends,
        random: Random,
    ) -> None:
        """Start the simulation; the caller may add to `streams` later."""
        self.loop = loop
        self.recorder = recorder
        self.scenario = scenario
        self.streams = streams
        self.backends = backends
        self.random = random
        self.requests = 0  # number of requests simulated one by one
        self.unserved = 0  # simulated requests without an answer
        self.warming_up: set[str] = set()  # backends that were warming up at the last tick
        loop.spawn(self._run())

    def _run(self) -> Wait:
        tick = self.loop.now
        while True:
            tick += TICK
            yield None, 0, tick
            self._record_loads()
            self._simulate_requests()

    # Load of backends that warm up

    def _record_loads(self) -> None:
        now = self.loop.clock()
        warming_up = {name for name in self.backends.running if self._is_warming_up(name, now)}
        if warming_up:
            rates, informed_rates = self._requests_by_backend(warming_up)
            capacity = self._capacity()
            for name in sorted(warming_up):
                load = BackendLoad(
                    at=self.loop.clock(),
                    backend=name,
                    multiple=rates[name] / (capacity * self._capacity_share(name, now)),
                    warming_up=True,
                    informed_share=informed_rates[name] / rates[name] if rates[name] else 1.0,
                )
                self.recorder.add(load)
        for name in sorted(self.warming_up - warming_up):
            load = BackendLoad(at=self.loop.clock(), backend=name, multiple=0.0, warming_up=False)
            self.recorder.add(load)
        self.warming_up = warming_up

    @property
    def _warm_up_time(self) -> int:
        """Time from a backend's start until it is warmed up, in ns."""
        return int(self.scenario.rules.cold_s * SECOND)

    def _is_warming_up(self, name: str, now: int) -> bool:
        started = self.backends.started[name]
        return started > 0 and now - started < self._warm_up_time

    def _capacity_share(self, name: str, now: int) -> float:
        """Return the share of its full capacity that a warming-up backend has at `now` (ns)."""
        share = self.scenario.rules.cold_share
        age = (now - self.backends.started[name]) / self._warm_up_time
        return share + (1 - share) * age

    def _capacity(self) -> float:
        """Return the requests a second that a warmed-up backend can execute."""
        rate = sum(stream.rate for stream in self.streams)
        return rate / self.scenario.traffic.load / max(1, len(self.backends.running))

    def _requests_by_backend(self, backends: Set[str]) -> tuple[dict[str, float], dict[str, float]]:
        """Return the requests a second by backend.

        The second result counts only proxies that have received a weight of the backend since its start.
        """
        rates: dict[str, float] = dict.fromkeys(backends, 0.0)
        informed_rates: dict[str, float] = dict.fromkeys(backends, 0.0)
        for stream in self.streams:
            table = stream.table
            used_backends = (backends & table.weights.keys()) - table.excluded
            if not used_backends:
                continue
            total = sum(weight for name, weight in table.weights.items() if name not in table.excluded)
            for name in used_backends:
                rate = stream.rate * table.weights[name] / total if total else 0.0
                rates[name] += rate
                if stream.weighted_at.get(name, 0) >= self.backends.started[name]:
                    informed_rates[name] += rate
        return rates, informed_rates

    def load_by_backend(self) -> dict[str, float]:
        """Return the requests a second of each backend that the tables contain."""
        rates: dict[str, float] = {}
        for stream in self.streams:
            weights = stream.table.usable_weights()
            total = sum(weights.values())
            for name, weight in weights.items():
                rates[name] = rates.get(name, 0.0) + stream.rate * weight / total
        return rates

    # Requests simulated one by one

    def _simulate_requests(self) -> None:
        share = self.scenario.traffic.sampled_per_s * TICK / SECOND
        for stream in self.streams:
            if stream.joined and self.random.random() < share:
                self._simulate_request(stream)

    def _simulate_request(self, stream: ProxyStream) -> None:
        """Simulate one request with its retries, all at the same time."""
        number = self.random.randrange(self.scenario.traffic.classes)
        level = stream.table.admission_level(f"class{number}")
        if self.random.random() >= level.share:
            return
        self.requests += 1
        if not self._attempt(stream, EFFECTS[number % len(EFFECTS)], level.retries):
            self.unserved += 1

    def _attempt(self, stream: ProxyStream, effect: Effect, retries: int) -> bool:
        """Attempt a request, with a retry if `retries` allows it; return whether an answer was received."""
        for _ in range(2 if retries else 1):
            name = stream.table.pick(self.random)
            if name is None or name not in self.backends.running:
                continue  # certainly not executed, so every policy with retries allows a retry
            executed = RequestExecuted(
                at=self.loop.clock(), request=self.requests, backend=name, effect=effect
            )
            self.recorder.add(executed)
            if self.random.random() >= ANSWER_LOST_SHARE:
                return True
            if retries <= RETRY_IF_NOT_EXECUTED:
                return False
        return False
