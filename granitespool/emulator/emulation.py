"""An emulated fleet: backends, proxies, their traffic and a coordinator, generated from a seed."""

from random import Random

from granitespool.coordinator import Coordinator
from granitespool.emulator.backend import Backend, assign_faults, swap_faults
from granitespool.emulator.channel import Channel
from granitespool.emulator.clock import VirtualClock
from granitespool.emulator.coordinator_host import CoordinatorHost, RestoreCallback
from granitespool.emulator.coordinator_settings import channel_entry_rate, coordinator_settings
from granitespool.emulator.distance import shares
from granitespool.emulator.load_reports import LoadReporter
from granitespool.emulator.request_traffic import OutcomeShares, RequestTraffic
from granitespool.emulator.schema import ExperimentSetup
from granitespool.simulation.proxy_table import ProxyTable
from granitespool.units import MILLISECOND


class Emulation:
    """Fleet in virtual time. All random numbers come from one generator."""

    def __init__(self, setup: ExperimentSetup, backends: int, proxies: int, seed: int) -> None:
        """Create a fleet with these numbers of backends and proxies, and without a running coordinator."""
        self.setup = setup
        self.seed = seed
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.zones = [f"z{number}" for number in range(setup.fleet.zones)]
        self.backends = self._make_backends(backends)
        assign_faults(self.backends.values(), setup.fleet, self.random)
        self.proxies = self._make_proxies(proxies)
        self.traffic = RequestTraffic(
            self.clock, self.random, setup.fleet, setup.classes, self.backends, self.proxies
        )
        self.host = CoordinatorHost(
            self.clock,
            self.random,
            self.backends,
            self.proxies,
            self._make_coordinator,
            self._make_channel,
            self.traffic.transaction_rate,
        )
        self.load_reporter = LoadReporter(self.clock, self.traffic, self.host, setup.channel.report_lag_ms)

    def _make_backends(self, count: int) -> dict[str, Backend]:
        fleet = self.setup.fleet
        backends = [
            Backend(f"s-{number:05d}", self._zone(number), fleet.workers, fleet.service_ms * MILLISECOND)
            for number in range(count)
        ]
        return {backend.name: backend for backend in backends}

    def _make_proxies(self, count: int) -> list[ProxyTable]:
        equal_weights = dict.fromkeys(self.backends, 1.0)
        return [ProxyTable(number, self._zone(number), equal_weights) for number in range(count)]

    def _zone(self, number: int) -> str:
        return self.zones[number % len(self.zones)]

    def _make_coordinator(self, incarnation: int, now: int) -> Coordinator:
        settings = coordinator_settings(self.setup, self.zones, len(self.backends), len(self.proxies))
        return Coordinator(settings, self.seed + incarnation, now)

    def _make_channel(self, now: int) -> Channel:
        entry_rate = channel_entry_rate(self.setup, len(self.backends), len(self.proxies))
        return Channel(self.setup.channel, entry_rate, now)

    @property
    def now(self) -> int:
        """The virtual time in ns."""
        return self.clock.now

    def run_until(self, until: int) -> None:
        """Advance virtual time to `until` (ns)."""
        self.clock.run_until(until)

    def start(self, restore: RestoreCallback | None = None, rejoin_s: float = 0.0) -> None:
        """Start a coordinator; `restore` may load the state of a former incarnation into it.

        The proxies join within `rejoin_s` seconds.
        """
        self.host.start(restore, rejoin_s)

    def kill(self) -> None:
        """End the coordinator immediately."""
        self.host.kill()

    def swap_faults(self) -> None:
        """Move the fault of each faulty backend to a random healthy backend."""
        swap_faults(self.backends.values(), self.random)

    def zone_shares(self, zone: str) -> dict[str, float]:
        """Return each endpoint's share of the total weight in the coordinator's tables for a zone.

        The dict is empty if there is no coordinator or no table.
        """
        return shares(self.host.zone_table(zone))

    def outcomes(self, first: int, last: int) -> dict[str, OutcomeShares]:
        """Return the outcomes, by class, of transactions that began in the seconds [first, last)."""
        return self.traffic.outcome_shares(first, last)
