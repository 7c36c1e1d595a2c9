"""A synthetic fleet before one real coordinator in virtual time, driven through the facade alone.

The fleet stands in for discovery, collectors, proxies and their channel. Processor time is counted around the
calls of the coordinator and of the codec; what the stand-ins themselves cost is not in it.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

import msgspec
import orjson

from granitespool.coordinator import GONE, PEERS, PROBES, REMARKS, Coordinator
from granitespool.endpoints import SOCKET_ENTRY, endpoint_from_wire
from granitespool.net.frames import HEAD, frame, parsed, updates
from granitespool.settings import settings_from_wire
from granitespool.units import MILLISECOND

SECOND = 1_000_000_000  # ns
TURNS = 10  # turns of the loop in a virtual second
TURN = SECOND // TURNS  # ns
BEGAN = 1_000_000 * SECOND  # ns: the virtual clock begins here
PACE = 4000  # lines a second of the channel (assumed: no page tells it for the plan)
BACKLOG = 20_000  # lines that the channel holds (assumed)
MESSAGE_HEAD = 3  # lines that a message's head counts as (assumed)
DRAIN_GRACE_MS = 7000  # ms within which a drained backend must be out of all tables (assumed)
RACK = 40  # backends of one rack (assumed)
KINDS = 4  # machine types
MEAN_MS = 40.0  # ms that a backend takes to answer
MEAN_NOISE = 0.1  # relative deviation of a mean that is reported
FAILED_PART = 0.002  # part of tries that fail
POISSON_MOST = 30.0  # mean above which a Poisson draw is taken as normal


class Sizes(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes that drive a coordinator's costs."""

    backends: int
    zones: int
    proxies: int  # of this coordinator
    classes: int  # routes, in the plan's words
    tenants: int
    requests: float  # a second, of the whole fleet
    planners: int  # coordinators of the fleet

    @property
    def links(self) -> int:
        """Pairs of a backend and a zone."""
        return self.backends * self.zones

    @property
    def heard_share(self) -> float:
        """Share of links that a second's requests reach at least once, where they fall by chance."""
        return 1 - math.exp(-self.requests / self.links)

    def variables(self) -> dict[str, float]:
        """The sizes as the fits name them."""
        return {
            "backends": float(self.backends),
            "zones": float(self.zones),
            "proxies": float(self.proxies),
            "classes": float(self.classes),
            "tenants": float(self.tenants),
            "heard_share": self.heard_share,
            "planners": float(self.planners),
        }


class Sent(msgspec.Struct):
    """What the coordinator wrote to proxies, counted."""

    messages: int = 0
    lines: int = 0  # as the protocol counts them, without heads
    bytes: int = 0


class Waiting(msgspec.Struct):
    """A message that is on its way to a proxy."""

    leaves_at: float  # ns
    proxy: int
    mark: int | None
    written_at: int  # ns


def backend_name(number: int) -> str:
    """The name of a backend, as long as the platform's."""
    return f"s-{number:08x}"


def row_of(number: int, zones: int, status: str = "ready", since_ms: int = 0) -> dict[str, object]:
    """A backend's entry in discovery's list."""
    return {
        "name": backend_name(number),
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8081",
        "zone": f"z{number % zones}",
        "type": f"m{number % KINDS}",
        "group": number // RACK,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def route_of(number: int) -> dict[str, object]:
    """A class of the settings, with every field that the settings may tell of one."""
    return {
        "name": f"route-{number:05d}",
        "semantics": ("free", "guarded", "single_shot")[number % 3],
        "key_scope": "all",
        "window_us": 60_000_000,
        "aim_us": 1_000_000,
        "give_up_us": 3_000_000,
        "worth": 1.0 + number % 5,
        "late_share": 0.2,
    }


def wire_settings(sizes: Sizes, index: int = 0) -> dict[str, object]:
    """The settings as the platform writes them, for the coordinator with this index among its peers."""
    return {
        "zones": [f"z{zone}" for zone in range(sizes.zones)],
        "balancers": sizes.planners,
        "index": index,
        "permissions": {"probes": True},
        "classes": [route_of(number) for number in range(sizes.classes)],
        "family_info": {
            "egress_per_s": PACE,
            "most_waiting": BACKLOG,
            "envelope": MESSAGE_HEAD,
            "proxy_count": sizes.planners * sizes.proxies,
            "admit": "fraction",
            "bootstrap": 5,
        },
        "rules": {
            "stop_sending_within_us": DRAIN_GRACE_MS * 1000,
            "cold_us": 10_000_000,
            "cold_from": 0.2,
            "fall_multiple": 4,
            "fall_us": 3_000_000,
        },
    }


def configuration(
    sizes: Sizes, listen: str = "127.0.0.1:0", discovery: str = "127.0.0.1:9"
) -> dict[str, object]:
    """The configuration file of one coordinator, as an object.

    Tenants have no field in the settings; they stand as a list that the program reads over, so that their
    cost in the file is measured and not assumed.
    """
    return {
        "name": "capacity",
        "listen": listen,
        "discovery": discovery,
        "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 256},
        "peers": [f"10.128.{n // 250}.{n % 250}:7946" for n in range(sizes.planners)],
        "tenants": [{"name": f"tenant-{n:06d}", "route": n % sizes.classes} for n in range(sizes.tenants)],
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [row_of(number, sizes.zones) for number in range(sizes.backends)],
        },
        "settings": wire_settings(sizes),
    }


def lines_of(data: bytes) -> int:
    """Lines of one message as the protocol counts them, without its head."""
    lines = 0
    while data:
        size = int.from_bytes(data[:HEAD], "little")
        part, data = orjson.loads(data[HEAD : HEAD + size]), data[HEAD + size :]
        lines += sum(len(part.get(key, ())) for key in ("lines", "out", "back"))
        lines += sum(key in part for key in ("whole", "level", "ticket"))
    return lines


class Fleet:
    """Drives one coordinator; `planned_ns`, `written_ns` and `read_ns` are processor time of its parts."""

    def __init__(self, sizes: Sizes, seed: int, index: int = 0) -> None:
        self.sizes = sizes
        self.random = Random(seed)
        self.now = BEGAN
        self.planned_ns = 0  # decisions: report, tick, pick
        self.written_ns = 0  # orders to frames
        self.read_ns = 0  # bodies of frames to objects
        self.read_bytes = 0
        self.sent = Sent()
        self.named: set[str] = set()  # backends that orders to proxies have named with a weight
        self.waiting: deque[Waiting] = deque()
        self.last_applied_at = BEGAN  # ns when a proxy last answered that it had applied an order
        self.free_at = 0.0  # ns when the channel has written all that waits
        self.ready = list(range(sizes.backends))
        self.next_number = sizes.backends
        settings = settings_from_wire(wire_settings(sizes, index))
        self.settings = settings
        self.coordinator = self._timed(lambda: Coordinator(settings, seed, self.now))

    def _timed(self, call: Callable[[], object]) -> object:
        began = time.process_time_ns()
        result = call()
        self.planned_ns += time.process_time_ns() - began
        return result

    def tell(self, form: str, rows: Iterable[dict[str, object]]) -> None:
        """Discovery tells a list or changes of it."""
        entries = [endpoint_from_wire(row, SOCKET_ENTRY) for row in rows]
        self._timed(lambda: self.coordinator.report(self.now, "list_news", form=form, entries=entries))

    def tell_whole(self, form: str = "whole") -> None:
        """Discovery tells the list of all that are ready."""
        self.tell(form, [row_of(number, self.sizes.zones) for number in self.ready])

    def drain(self, numbers: list[int]) -> None:
        """These backends drain."""
        self.tell("changes", [row_of(number, self.sizes.zones, "draining") for number in numbers])
        leaving = set(numbers)
        self.ready = [number for number in self.ready if number not in leaving]

    def lose(self, numbers: list[int]) -> None:
        """These backends are gone."""
        self.tell("changes", [row_of(number, self.sizes.zones, "gone") for number in numbers])
        leaving = set(numbers)
        self.ready = [number for number in self.ready if number not in leaving]

    def start_backends(self, count: int, zone: int | None = None) -> None:
        """So many cold backends appear under new names, in one zone or spread over all."""
        rows = []
        while len(rows) < count:
            number = self.next_number
            self.next_number += 1
            if zone is None or number % self.sizes.zones == zone:
                rows.append(row_of(number, self.sizes.zones, since_ms=self.now // MILLISECOND))
                self.ready.append(number)
        self.tell("changes", rows)

    def join_all(self) -> None:
        """All proxies join in this turn."""
        rate = self.sizes.requests / self.sizes.planners / max(1, self.sizes.proxies)
        for proxy in range(self.sizes.proxies):
            joining = {
                "proxy": proxy,
                "zone": f"z{proxy % self.sizes.zones}",
                "standing": False,
                "rate": rate,
            }
            self._timed(lambda met=joining: self.coordinator.report(self.now, "joined", **met))

    def unbound(self) -> int:
        """Proxies that have joined and hold no table of this coordinator yet."""
        return self.coordinator.figures()["unbound"]

    def change_settings(self) -> None:
        """A configuration with another figure and the same classes comes into force."""
        grace = self.settings.drain_grace + MILLISECOND
        changed = msgspec.structs.replace(self.settings, drain_grace=grace)
        self._timed(lambda: self.coordinator.new_settings(self.now, changed))

    def heard_messages(self) -> list[bytes]:
        """Frames of one second's reports by the collectors and the proxies, drawn link by link."""
        rate = self.sizes.requests / self.sizes.links
        chance = self.random
        frames = []
        for number in self.ready:
            name = backend_name(number)
            for zone in range(self.sizes.zones):
                tries = self._poisson(rate)
                if not tries:
                    continue
                failed = sum(chance.random() < FAILED_PART for _ in range(min(tries, 100)))
                frames.append(
                    frame(
                        {
                            "type": "heard",
                            "locality": f"z{zone}",
                            "endpoint": name,
                            "total": tries,
                            "errors": failed,
                            "rtt": round(max(1.0, MEAN_MS * chance.gauss(1, MEAN_NOISE)), 1)
                            if failed < tries
                            else 0.0,
                            "interval": 1000.0,
                            "metrics": {"inflight": chance.randrange(10), "util": 0.61},
                        }
                    )
                )
        return frames

    def usage_messages(self) -> list[bytes]:
        """Frames of one second's usage: one class of each proxy."""
        rate = self.sizes.requests / self.sizes.planners / max(1, self.sizes.proxies)
        return [
            frame(
                {
                    "type": "usage",
                    "node": proxy,
                    "route": f"route-{self.random.randrange(self.sizes.classes):05d}",
                    "total": max(1, round(rate)),
                    "errors": 0,
                    "interval": 1000.0,
                }
            )
            for proxy in range(self.sizes.proxies)
        ]

    def _poisson(self, mean: float) -> int:
        if mean > POISSON_MOST:
            return max(0, round(self.random.gauss(mean, math.sqrt(mean))))
        limit, number, chance = math.exp(-mean), 0, self.random.random()
        while chance > limit:
            chance *= self.random.random()
            number += 1
        return number

    def bring(self, frames: list[bytes]) -> None:
        """Reads frames of reports and reports them, as the streams do."""
        began = time.process_time_ns()
        messages = [parsed(body[HEAD:]) for body in frames]
        self.read_ns += time.process_time_ns() - began
        self.read_bytes += sum(map(len, frames))
        met = [_met(message) for message in messages]
        report, now = self.coordinator.report, self.now
        began = time.process_time_ns()
        for what, words in met:
            report(now, what, **words)
        self.planned_ns += time.process_time_ns() - began

    def turn(self) -> None:
        """Ends a turn, writes what waits, and lets the channel and the clock run on."""
        coordinator = self.coordinator
        began = time.process_time_ns()
        coordinator.tick(self.now)
        proxies = [party for party in coordinator.parties() if isinstance(party, int)]
        orders = [(proxy, coordinator.pick(proxy)) for proxy in proxies]
        self.planned_ns += time.process_time_ns() - began
        for proxy, order in orders:
            self._write(proxy, order)
        probed = self._queues()
        self.now += TURN
        for backend in probed:
            self._timed(
                lambda name=backend: coordinator.report(
                    self.now, "probed", backend=name, status="ok", took=2 * MILLISECOND, load={}
                )
            )
        while self.waiting and self.waiting[0].leaves_at <= self.now:
            self._answer(self.waiting.popleft())

    def _write(self, proxy: int, order: dict) -> None:
        began = time.process_time_ns()
        data = updates(order)
        self.written_ns += time.process_time_ns() - began
        lines = lines_of(data)
        for _, _, table in order["tables"]:
            self.named.update(name for name, weight in table if weight)
        self.sent.messages += 1
        self.sent.lines += lines
        self.sent.bytes += len(data)
        self.free_at = max(self.free_at, self.now) + (lines + MESSAGE_HEAD) / PACE * SECOND
        self.waiting.append(Waiting(self.free_at, proxy, order["mark"], self.now))

    def _answer(self, done: Waiting) -> None:
        self.last_applied_at = self.now
        if done.mark is None:
            return
        took = self.now - done.written_at
        self._timed(
            lambda: self.coordinator.report(
                self.now, "applied", proxy=done.proxy, serial=done.mark, took=took
            )
        )

    def _queues(self) -> list[str]:
        """Empties the queues of what is for others than proxies; returns the backends to probe."""
        probed = []
        for queue in (PROBES, PEERS, REMARKS, GONE):
            while (item := self.coordinator.pick(queue)) is not None:
                if queue == REMARKS:
                    raise RuntimeError(f"the planner failed: {item}")
                if queue == PROBES:
                    probed.append(item)
        return probed

    def second(self, frames: list[bytes] | None = None) -> int:
        """One virtual second with these reports spread over its turns; processor time in ns of its parts."""
        before = self.spent_ns
        for part in range(TURNS):
            if frames:
                self.bring(frames[part::TURNS])
            self.turn()
        return self.spent_ns - before

    @property
    def spent_ns(self) -> int:
        """Processor time of decisions, of frames written and of frames read, in ns."""
        return self.planned_ns + self.written_ns + self.read_ns


def _met(message: dict) -> tuple[str, dict[str, object]]:
    """A report in the words of the facade."""
    if message["type"] == "usage":
        return "arrivals", {
            "proxy": message["node"],
            "grade": message["route"],
            "number": message["total"],
            "unanswered": message["errors"],
            "window": int(message["interval"] * MILLISECOND),
        }
    return "heard", {
        "zone": message["locality"],
        "backend": message["endpoint"],
        "tries": message["total"],
        "failed": message["errors"],
        "mean": int(message["rtt"] * MILLISECOND),
        "window": int(message["interval"] * MILLISECOND),
        "load": message["metrics"],
    }
