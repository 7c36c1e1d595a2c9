"""Draw random load and usage reports of one second, as frames and as the coordinator's events."""

import math
from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

from bench.capacity.sizes import Sizes
from bench.capacity.wire import backend_name
from granitespool.net.frames import frame
from granitespool.planner.events import Event, LoadReport, UsageReport
from granitespool.units import MILLISECOND

INTERVAL_MS = 1000.0  # time that a report covers
MEAN_MS = 40.0  # mean answer time of a backend
MEAN_NOISE = 0.1  # relative standard deviation of a reported mean
FAILED_SHARE = 0.002  # share of the attempts that fail
DRAWN_ATTEMPTS_MAX = 100  # in a report, failures are drawn for at most this number of attempts
POISSON_MEAN_MAX = 30.0  # for larger means the normal distribution replaces Poisson's


def load_reports(ready: Iterable[int], sizes: Sizes, random: Random) -> list[bytes]:
    """Return the frames of one second's load reports of collectors, drawn for each link."""
    rate = sizes.requests / sizes.links
    frames = []
    for number in ready:
        for zone in range(sizes.zones):
            attempts = _poisson(rate, random)
            if attempts:
                frames.append(_load_report(backend_name(number), zone, attempts, random))
    return frames


def _load_report(backend: str, zone: int, attempts: int, random: Random) -> bytes:
    failed = sum(random.random() < FAILED_SHARE for _ in range(min(attempts, DRAWN_ATTEMPTS_MAX)))
    mean_ms = round(max(1.0, MEAN_MS * random.gauss(1, MEAN_NOISE)), 1) if failed < attempts else 0.0
    fields = {
        "type": "heard",
        "locality": f"z{zone}",
        "endpoint": backend,
        "total": attempts,
        "errors": failed,
        "rtt": mean_ms,
        "interval": INTERVAL_MS,
        "metrics": {"inflight": random.randrange(10), "util": 0.61},
    }
    return bytes(frame(fields))


def usage_reports(sizes: Sizes, random: Random) -> list[bytes]:
    """Return the frames of one second's usage reports: one request class of each proxy."""
    rate = sizes.requests / sizes.planners / max(1, sizes.proxies)
    return [_usage_report(proxy, random.randrange(sizes.classes), rate) for proxy in range(sizes.proxies)]


def _usage_report(proxy: int, request_class: int, rate: float) -> bytes:
    fields = {
        "type": "usage",
        "node": proxy,
        "route": f"route-{request_class:05d}",
        "total": max(1, round(rate)),
        "errors": 0,
        "interval": INTERVAL_MS,
    }
    return bytes(frame(fields))


def _poisson(mean: float, random: Random) -> int:
    if mean > POISSON_MEAN_MAX:
        return max(0, round(random.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    number = 0
    product = random.random()
    while product > limit:
        product *= random.random()
        number += 1
    return number


def event_of(message: Mapping[str, Any]) -> Event:
    """Return the event of a decoded report."""
    window = int(message["interval"] * MILLISECOND)
    if message["type"] == "usage":
        return UsageReport(
            proxy=message["node"],
            request_class=message["route"],
            requests=message["total"],
            unanswered=message["errors"],
            window=window,
        )
    return LoadReport(
        zone=message["locality"],
        backend=message["endpoint"],
        attempts=message["total"],
        failures=message["errors"],
        mean=int(message["rtt"] * MILLISECOND),
        window=window,
        load=message["metrics"],
    )
