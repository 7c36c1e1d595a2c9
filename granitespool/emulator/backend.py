"""Emulated backends: a queue in front of a fixed number of workers, and injected faults."""

import heapq
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import msgspec

from granitespool.emulator.schema import FleetSettings
from granitespool.units import MILLISECOND, SECOND

ERROR_LATENCY = 5 * MILLISECOND  # ns until the response to an attempt that fails immediately


class Response(NamedTuple):
    """Result of one attempt."""

    latency: int | None  # ns; None if the backend never responds
    succeeded: bool


class Fault(msgspec.Struct, frozen=True):
    """Fault of a backend. The default values stand for a healthy backend."""

    slowdown: float = 1.0  # the service time is multiplied by this factor
    failure_share: float = 0.0  # share of attempts that fail immediately
    dead: bool = False  # whether the backend never responds

    @property
    def present(self) -> bool:
        """Whether the backend is faulty."""
        return self.slowdown > 1 or self.failure_share > 0 or self.dead


HEALTHY = Fault()


class Backend:
    """A backend that executes up to `workers` requests concurrently, first come, first served."""

    def __init__(self, name: str, zone: str, workers: int, service_time: float) -> None:
        """Create a healthy backend.

        `service_time` is the mean service time (ns) of the backend after it has warmed up.
        """
        self.name = name
        self.zone = zone
        self.service_time = service_time
        self.workers_free_at = [0] * workers  # heap of the times (ns) at which workers become free
        self.started_at = 0  # ns; 0 means long ago: the backend has warmed up
        self.fault = HEALTHY

    def serve(self, now: int, random: Random, fleet: FleetSettings) -> Response:
        """Return the response to an attempt that arrives at `now` (ns).

        An attempt that would have to queue for longer than the setting `queue_ms` fails immediately.
        """
        if self.fault.dead:
            return Response(None, False)
        if self.fault.failure_share and random.random() < self.fault.failure_share:
            return Response(ERROR_LATENCY, False)
        begin = max(now, self.workers_free_at[0])
        if begin - now > fleet.queue_ms * MILLISECOND:
            return Response(ERROR_LATENCY, False)
        warming_up = self.started_at and now - self.started_at < fleet.cold_s * SECOND
        speed = fleet.cold_share if warming_up else 1.0
        duration = random.expovariate(1.0) * self.service_time * self.fault.slowdown / speed
        heapq.heapreplace(self.workers_free_at, begin + int(duration))
        return Response(begin + int(duration) - now, True)


def assign_faults(backends: Iterable[Backend], fleet: FleetSettings, random: Random) -> None:
    """Choose random backends to be slow, failing or dead, and make all others healthy.

    The settings contain the share of the backends for each fault.
    """
    shuffled = list(backends)
    random.shuffle(shuffled)
    slow_end = round(len(shuffled) * fleet.slow_share)
    failing_end = slow_end + round(len(shuffled) * fleet.failing_share)
    dead_end = failing_end + round(len(shuffled) * fleet.dead_share)
    for backend in shuffled:
        backend.fault = HEALTHY
    for backend in shuffled[:slow_end]:
        backend.fault = Fault(slowdown=fleet.slow_factor)
    for backend in shuffled[slow_end:failing_end]:
        backend.fault = Fault(failure_share=fleet.failing_part)
    for backend in shuffled[failing_end:dead_end]:
        backend.fault = Fault(dead=True)


def swap_faults(backends: Iterable[Backend], random: Random) -> None:
    """Move the fault of each faulty backend to a random healthy backend.

    If there are more faulty than healthy backends, the remaining faulty backends keep their faults.
    """
    all_backends = list(backends)
    faulty = [backend for backend in all_backends if backend.fault.present]
    healthy = [backend for backend in all_backends if not backend.fault.present]
    chosen = random.sample(healthy, min(len(faulty), len(healthy)))
    for faulty_backend, healthy_backend in zip(faulty, chosen, strict=False):
        faulty_backend.fault, healthy_backend.fault = healthy_backend.fault, faulty_backend.fault
