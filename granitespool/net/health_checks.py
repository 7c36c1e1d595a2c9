"""Health checks: a coroutine for each health check in flight, which owns the socket of the check.

The coordinator decides when a backend is checked. This module requests the backend's load report and reports
the outcome to the coordinator, which interprets it.
"""

import socket
from collections.abc import Generator, Iterator, Mapping

import h11

from granitespool.coordinator import Coordinator
from granitespool.endpoints import load_metrics
from granitespool.net.client import dial, http_get, receive
from granitespool.net.config import Address, Configuration
from granitespool.net.log import Log
from granitespool.net.loop import SECOND, Coroutine, Loop, Wait
from granitespool.outgoing import Queue
from granitespool.planner.events import HealthCheckOutcome, HealthCheckResult
from granitespool.units import MILLISECOND

ANSWER_TIMEOUT = SECOND // 2  # ns from the start of a check to the answer: half of the planner's period
DEFAULT_CONNECT_TIMEOUT = SECOND // 4  # ns to establish the connection if connect_timeout is unset
BODY_MAX = 4096  # bytes of a response body that are kept
# Outcome by HTTP status; the outcome of any other status is ERROR.
OUTCOMES = {200: HealthCheckOutcome.OK, 503: HealthCheckOutcome.REJECTED}

Load = dict[str, int | float]  # metrics of a load report by name; times in ns


class HealthChecks:
    """Runs the health checks that the coordinator requests; the number in flight is limited."""

    def __init__(
        self,
        loop: Loop,
        coordinator: Coordinator,
        log: Log,
        config: Configuration,
        addresses: Mapping[str, Address | None],
    ) -> None:
        """Create the runner; the caller updates `addresses` from the endpoint list."""
        self.loop = loop
        self.coordinator = coordinator
        self.log = log
        self.addresses = addresses
        self.in_flight = 0
        self.reconfigure(config)

    def reconfigure(self, config: Configuration) -> None:
        """Apply the limit and the connect timeout; health checks in flight keep the former timeout."""
        self.connect_timeout = config["settings"].connect_timeout or DEFAULT_CONNECT_TIMEOUT
        self.limit = config["health_checks"]

    def start(self) -> None:
        """Start requested health checks until the limit on health checks in flight is reached."""
        while self.in_flight < self.limit:
            request = self.coordinator.pick(Queue.HEALTH_CHECKS)
            if request is None:
                return
            self.loop.spawn(self._check(request.backend))

    def _check(self, backend: str) -> Coroutine:
        started_at = self.loop.now
        self.in_flight += 1
        try:
            outcome, load = yield from self._request(backend)
        finally:
            self.in_flight -= 1
        # Report the result in a later resume of this coroutine: the caller that requested the check must not
        # end before the result is reported
        yield None, 0, self.loop.now
        latency = self.loop.now - started_at
        self.log.event("health_check", backend=backend, status=outcome, duration_ms=latency // MILLISECOND)
        self.coordinator.report(
            self.loop.now, HealthCheckResult(backend=backend, outcome=outcome, latency=latency, load=load)
        )

    def _request(self, backend: str) -> Generator[Wait, int, tuple[HealthCheckOutcome, Load]]:
        """Return the outcome of a health check and the metrics of the load report, which may be empty."""
        started_at = self.loop.now
        address = self.addresses.get(backend)
        # A failure before the connection attempt, such as a lack of descriptors, is no evidence about the
        # backend
        outcome = HealthCheckOutcome.ERROR
        if address is None:
            return outcome, {}
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
                outcome = HealthCheckOutcome.UNREACHABLE
                yield from dial(sock, address, started_at + self.connect_timeout)
                outcome = HealthCheckOutcome.TIMED_OUT
                return (yield from _load_report(sock, address, started_at + ANSWER_TIMEOUT))
        except TimeoutError:
            pass  # `outcome` is UNREACHABLE until the connection is established, and then TIMED_OUT
        except (OSError, h11.ProtocolError):
            if outcome is HealthCheckOutcome.TIMED_OUT:
                outcome = HealthCheckOutcome.RESET
        return outcome, {}


def _load_report(
    sock: socket.socket, address: Address, deadline: int
) -> Generator[Wait, int, tuple[HealthCheckOutcome, Load]]:
    """Request the load report and return the outcome and the report's metrics.

    Raise TimeoutError, OSError or h11.ProtocolError if the request fails.
    """
    status, body = None, b""
    http = yield from http_get(sock, address, "/metrics/load", deadline, ("Connection", "close"))
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data((yield from receive(sock, deadline)))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body = (body + event.data)[:BODY_MAX]
        else:
            break
    outcome = HealthCheckOutcome.ERROR if status is None else OUTCOMES.get(status, HealthCheckOutcome.ERROR)
    return outcome, load_metrics(_parse_metrics(body))


def _parse_metrics(body: bytes) -> Iterator[tuple[str, float | None]]:
    """Yield the (name, value) pairs of a body such as `inflight=7,util=0.61`.

    A value that is not a number is yielded as None.
    """
    for pair in body.decode("ascii", "replace").split(","):
        key, _, value = pair.partition("=")
        yield key.strip(), _parse_number(value)


def _parse_number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None
