"""Emulated backends: a queue before so many workers, and the faults that an experiment gives them."""

import heapq
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import msgspec

from granitespool.emulator.schema import FleetSettings
from granitespool.units import MILLISECOND, SECOND

ERROR_TIME = 5 * MILLISECOND  # ns until a request that fails at once is answered


class Response(NamedTuple):
    """What came of one attempt."""

    latency: int | None  # ns; None: no answer ever comes
    succeeded: bool


class Fault(msgspec.Struct, frozen=True):
    """What is wrong with a backend; nothing by default."""

    slowdown: float = 1.0  # factor on its service time
    failure_share: float = 0.0  # of its attempts, those that fail at once
    dead: bool = False  # it answers nothing

    @property
    def present(self) -> bool:
        """Whether anything is wrong."""
        return self.slowdown > 1 or self.failure_share > 0 or self.dead


HEALTHY = Fault()


class Backend:
    """Serves `workers` requests at once, first come first served."""

    def __init__(self, name: str, zone: str, workers: int, service_time: float) -> None:
        """`service_time`: mean in ns while it has no fault and is warm."""
        self.name = name
        self.zone = zone
        self.service_time = service_time
        self.workers_free_at = [0] * workers  # ns when each worker is free, a heap
        self.started_at = 0  # ns; 0: long ago
        self.fault = HEALTHY

    def serve(self, now: int, random: Random, fleet: FleetSettings) -> Response:
        """Takes one attempt that arrives now (ns)."""
        if self.fault.dead:
            return Response(None, False)
        if self.fault.failure_share and random.random() < self.fault.failure_share:
            return Response(ERROR_TIME, False)
        begin = max(now, self.workers_free_at[0])
        if begin - now > fleet.queue_ms * MILLISECOND:
            return Response(ERROR_TIME, False)
        warming_up = self.started_at and now - self.started_at < fleet.cold_s * SECOND
        speed = fleet.cold_share if warming_up else 1.0
        took = random.expovariate(1.0) * self.service_time * self.fault.slowdown / speed
        heapq.heapreplace(self.workers_free_at, begin + int(took))
        return Response(begin + int(took) - now, True)


def assign_faults(backends: Iterable[Backend], fleet: FleetSettings, random: Random) -> None:
    """Makes the fleet's shares of the backends slow, failing and dead by chance, all others healthy."""
    order = list(backends)
    random.shuffle(order)
    slow = round(len(order) * fleet.slow_share)
    failing = slow + round(len(order) * fleet.failing_share)
    dead = failing + round(len(order) * fleet.dead_share)
    for backend in order:
        backend.fault = HEALTHY
    for backend in order[:slow]:
        backend.fault = Fault(slowdown=fleet.slow_factor)
    for backend in order[slow:failing]:
        backend.fault = Fault(failure_share=fleet.failing_part)
    for backend in order[failing:dead]:
        backend.fault = Fault(dead=True)


def swap_faults(backends: Iterable[Backend], random: Random) -> None:
    """Heals every backend with a fault and gives its fault to a healthy one."""
    every = list(backends)
    faulty = [backend for backend in every if backend.fault.present]
    healthy = [backend for backend in every if not backend.fault.present]
    chosen = random.sample(healthy, min(len(faulty), len(healthy)))
    for one, other in zip(faulty, chosen, strict=False):
        one.fault, other.fault = other.fault, one.fault
