"""Health checks: one coroutine for each in flight, which owns its socket.

The coordinator decides which backend is checked and when; this module asks the backend for its load report
and hands back how that ended. It never concludes anything from it."""

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

ANSWER_TIMEOUT = SECOND // 2  # ns from the start to the answer: half the planner's period
DIAL_TIMEOUT = SECOND // 4  # ns for a connection to come up, where the settings name no time
BODY_MAX = 4096  # bytes of a load report that are kept
OUTCOMES = {200: HealthCheckOutcome.OK, 503: HealthCheckOutcome.REJECTED}  # by HTTP status; others: ERROR

Load = dict[str, int | float]  # a load report's metrics; times in ns


class HealthChecks:
    """Those in flight, and the limit on their number."""

    def __init__(
        self,
        loop: Loop,
        coordinator: Coordinator,
        log: Log,
        config: Configuration,
        addresses: Mapping[str, Address | None],
    ) -> None:
        """`addresses` has those of the backends that the list has named, now and later."""
        self.loop = loop
        self.coordinator = coordinator
        self.log = log
        self.addresses = addresses
        self.in_flight = 0
        self.reconfigure(config)

    def reconfigure(self, config: Configuration) -> None:
        """Takes the limit and the time for a connection; those in flight keep the time they began with."""
        self.dial_timeout = config["settings"].connect_timeout or DIAL_TIMEOUT
        self.limit = config["health_checks"]

    def start(self) -> None:
        """Starts those that the coordinator asks for, as many as the limit permits."""
        while self.in_flight < self.limit:
            request = self.coordinator.next_message(Queue.HEALTH_CHECKS)
            if request is None:
                return
            self.loop.spawn(self._check(request.backend))

    def _check(self, backend: str) -> Coroutine:
        started_at = self.loop.now
        self.in_flight += 1
        try:
            outcome, load = yield from self._outcome(backend)
        finally:
            self.in_flight -= 1
        # In a turn of its own: the coroutine that asked for this must not end before the result is reported
        yield None, 0, self.loop.now
        latency = self.loop.now - started_at
        self.log.event("health_check", backend=backend, status=outcome, duration_ms=latency // MILLISECOND)
        self.coordinator.report(
            self.loop.now, HealthCheckResult(backend=backend, outcome=outcome, latency=latency, load=load)
        )

    def _outcome(self, backend: str) -> Generator[Wait, int, tuple[HealthCheckOutcome, Load]]:
        """How it ends, and the load report where one came."""
        started_at = self.loop.now
        address = self.addresses.get(backend)
        # While nothing was sent, a failure such as no free descriptor says nothing about the backend
        outcome = HealthCheckOutcome.ERROR
        if address is None:
            return outcome, {}
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
                outcome = HealthCheckOutcome.UNREACHABLE
                yield from dial(sock, address, started_at + self.dial_timeout)
                outcome = HealthCheckOutcome.TIMED_OUT
                return (yield from _load_report(sock, address, started_at + ANSWER_TIMEOUT))
        except TimeoutError:
            pass  # unreachable before the connection was up, timed out after
        except (OSError, h11.ProtocolError):
            if outcome is HealthCheckOutcome.TIMED_OUT:
                outcome = HealthCheckOutcome.RESET
        return outcome, {}


def _load_report(
    sock: socket.socket, address: Address, deadline: int
) -> Generator[Wait, int, tuple[HealthCheckOutcome, Load]]:
    """Asks for the load report; raises TimeoutError, OSError or h11.ProtocolError."""
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
    return outcome, load_metrics(_pairs(body))


def _pairs(body: bytes) -> Iterator[tuple[str, float | None]]:
    """The metrics of `inflight=7,util=0.61`; None for a value that is no number."""
    for pair in body.decode("ascii", "replace").split(","):
        key, _, value = pair.partition("=")
        yield key.strip(), _number(value)


def _number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None
