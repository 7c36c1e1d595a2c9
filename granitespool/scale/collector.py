"""Stand-ins of collectors, which send the load reports of a zone to each coordinator."""

import socket
from collections.abc import Sequence
from contextlib import suppress
from random import Random

from granitespool.net.client import dial, send
from granitespool.net.frames import frame
from granitespool.net.loop import IN, Loop
from granitespool.scale.backends import Backends
from granitespool.scale.coordinator_endpoint import CoordinatorEndpoint, region_of
from granitespool.scale.coroutines import Wait
from granitespool.scale.proxy_stream import ProxyStream
from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Scenario
from granitespool.units import MILLISECOND, SECOND

REPORT_INTERVAL = SECOND  # ns between the reports of a collector
RECONNECT_DELAY = SECOND // 2  # ns from the end of a connection to the next attempt to connect
DIAL_TIMEOUT = SECOND  # ns for a connection to be established
READ_SIZE = 4096
ROUND_TRIP_MIN = 0.8  # lowest reported round trip, as a multiple of the mean service time
ROUND_TRIP_RANGE = 0.4  # width of the range of reported round trips, in the same unit


class Collector:
    """The collector of one zone; it reports the load of the zone's links to each coordinator."""

    def __init__(
        self,
        loop: Loop,
        recorder: Recorder,
        scenario: Scenario,
        zone: str,
        streams: Sequence[ProxyStream],
        backends: Backends,
        random: Random,
    ) -> None:
        """Create the collector of `zone`; the caller may add to `streams` later."""
        self.loop = loop
        self.recorder = recorder
        self.scenario = scenario
        self.zone = zone
        self.streams = streams
        self.backends = backends
        self.random = random
        self.unreachable: set[str] = set()  # coordinators on the other side of a network partition
        self.down = False

    @property
    def region(self) -> str:
        """The region of the collector's zone."""
        return region_of(self.zone)

    def report_to(self, endpoint: CoordinatorEndpoint) -> None:
        """Connect to a coordinator, and reconnect until the run ends."""
        self.loop.spawn(self._run(endpoint))

    def _run(self, endpoint: CoordinatorEndpoint) -> Wait:
        yield None, 0, self.loop.now + int(self.random.random() * RECONNECT_DELAY)
        while True:
            if not endpoint.down and not self.down:
                with (
                    suppress(OSError),  # the loop connects again
                    socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock,
                ):
                    yield from self._stream(sock, endpoint)
            yield None, 0, self.loop.now + RECONNECT_DELAY

    def _stream(self, sock: socket.socket, endpoint: CoordinatorEndpoint) -> Wait:
        yield from dial(sock, endpoint.address, self.loop.now + DIAL_TIMEOUT)
        hello = frame({"type": "collector", "locality": self.zone})
        yield from send(sock, hello, self.loop.now + DIAL_TIMEOUT)
        endpoint.recorder.count(endpoint.name, "in", "collector", len(hello))
        due = self.loop.now + int(self.random.random() * REPORT_INTERVAL)
        while not self.down:
            events = yield sock.fileno(), IN, due
            if events and not sock.recv(READ_SIZE):
                return
            if self.loop.now < due:
                continue
            due += REPORT_INTERVAL
            if endpoint.reports_enabled and endpoint.name not in self.unreachable:
                reports = self.load_reports()
                data = b"".join(reports)
                yield from send(sock, data, None)
                endpoint.recorder.count(endpoint.name, "in", "heard", len(data), len(reports))

    def load_reports(self) -> list[bytes]:
        """Return a second's load reports as frames, on links drawn from the tables of the zone's proxies."""
        expected = self.scenario.traffic.links_per_s / len(self.scenario.zones)
        count = int(expected) + (self.random.random() < expected % 1)
        zone_streams = [
            stream for stream in self.streams if stream.table.zone == self.zone and stream.table.weights
        ]
        if not zone_streams:
            return []
        names = {stream.table.pick(self.random) for stream in self.random.choices(zone_streams, k=count)}
        return [self._load_report(name) for name in sorted(name for name in names if name is not None)]

    def _load_report(self, backend: str) -> bytes:
        traffic = self.scenario.traffic
        mean_extra_attempts = traffic.tries_per_report - 1
        attempts = 1 + (round(self.random.expovariate(1 / mean_extra_attempts)) if mean_extra_attempts else 0)
        failing_share = traffic.failing_share if backend in self.backends.running else 1.0
        errors = sum(self.random.random() < failing_share for _ in range(attempts))
        round_trip = traffic.service_ms * (ROUND_TRIP_MIN + ROUND_TRIP_RANGE * self.random.random())
        return frame(
            {
                "type": "heard",
                "locality": self.zone,
                "endpoint": backend,
                "total": attempts,
                "errors": errors,
                "rtt": round_trip if errors < attempts else 0.0,
                "interval": REPORT_INTERVAL / MILLISECOND,
            }
        )
