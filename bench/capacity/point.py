"""Every cost of a coordinator at one point of sizes, measured in a process of its own."""

import gc
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec
import orjson

from bench.capacity.fleet import TURNS, Fleet
from bench.capacity.sizes import Sizes
from bench.capacity.wire import RACK, configuration, row_of
from granitespool.net import config
from granitespool.net.frames import frame
from granitespool.planner.events import ListForm
from granitespool.units import SECOND

MB = 1 << 20
NS_PER_MS = 1_000_000
JOINING_LIMIT = 1200  # turns after which the joining is given up, and reported as that many
SETTLE = 3  # idle seconds after the joining, before anything is measured
IDLE = 5  # idle seconds measured
BUSY_WARM = 1  # seconds under reports before they are measured
BUSY = 3  # seconds under reports measured
READINGS = 3  # of one configuration file, of which the median counts
ENTRIES = 3  # changed list entries measured
TOGETHER = 4  # coordinators whose tables are compared for the backends that they name
REFERENCE_THINGS = 20_000  # objects of the walk that tells how fast the machine is just now
REFERENCE_MS = 0.45  # ms that the walk takes on a machine to which all times are scaled
EVENT_TURNS = 300  # turns within which an event's orders have to be answered


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One point to be measured."""

    sizes: Sizes
    seed: int
    repeats: int = 1
    events: bool = False  # also a rack, a zone and a region
    named: bool = False  # also the backends that several coordinators name together


def resident_mb() -> float:
    """Resident memory of this process, in MiB."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB


def calls_of(action: Callable[[], object]) -> int:
    """Python and C calls that an action makes: work that a noisy machine counts alike."""
    made = [0]

    def count(_frame: object, event: str, _argument: object) -> None:
        made[0] += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return made[0]


class Thing:
    """An object of the reference walk: an attribute and a small map, as the planner's records have."""

    def __init__(self, number: int) -> None:
        self.number = float(number)
        self.lines = {number % 7: 1.0}


class Meter:
    """Processor time, scaled by a walk over objects that is timed just before and after.

    On a machine that others use as well, the same work takes up to twice the time while a neighbouring core
    is busy; the walk does so too. A scaled time is what the work takes while the walk takes `REFERENCE_MS`.
    """

    def __init__(self) -> None:
        self.things = {f"thing-{number:08x}": Thing(number) for number in range(REFERENCE_THINGS)}
        self.references: list[float] = []

    def reference_ms(self) -> float:
        """Processor time of the walk just now, the least of three: the first finds cold caches."""
        times = []
        for _ in range(3):
            began, total = time.process_time_ns(), 0.0
            for thing in self.things.values():
                if thing.lines.get(3):
                    total += thing.number
            times.append((time.process_time_ns() - began) / NS_PER_MS)
        self.references.append(min(times))
        return self.references[-1]

    def scaled_ms(self, spent_ns: Callable[[], int], action: Callable[[], object]) -> float:
        """What an action adds to a counter of processor time in ns, in scaled ms."""
        before_ms = self.reference_ms()
        before = spent_ns()
        action()
        spent = (spent_ns() - before) / NS_PER_MS
        return spent * REFERENCE_MS / ((before_ms + self.reference_ms()) / 2)


def measure(request: Request) -> dict[str, float]:
    """Costs by name, of repeats the median. Memory and counted calls are those of the first repeat."""
    meter = Meter()
    found: dict[str, list[float]] = {}
    for repeat in range(request.repeats):
        for name, value in _once(request, meter, repeat == 0).items():
            found.setdefault(name, []).append(value)
    found["reference_ms"] = meter.references
    return {name: statistics.median(values) for name, values in found.items()}


def _once(request: Request, meter: Meter, first: bool) -> dict[str, float]:
    gc.collect()
    before_mb = resident_mb()
    fleet = Fleet(request.sizes, request.seed)
    found = _first_list(fleet, meter)
    found |= _joining(fleet, meter)
    for _ in range(SETTLE):
        fleet.second()
    found |= _idle(fleet, meter, first)
    found |= _entries(fleet, meter, first)
    found |= _busy(fleet, meter)
    if first:
        found["memory_mb"] = resident_mb() - before_mb
        found["resident_mb"] = resident_mb()
    found |= _settings(fleet, meter)
    if request.named and first:
        found |= _named(request, meter, fleet)
    if request.events:
        found |= _events(fleet, meter)
    return found


def _named(request: Request, meter: Meter, first: Fleet) -> dict[str, float]:
    """How many backends the tables of one coordinator's proxies name, and those of several together."""
    together = set(first.named)
    for index in range(1, TOGETHER):
        fleet = Fleet(request.sizes, request.seed + index, index)
        _first_list(fleet, meter)
        _joining(fleet, meter)
        together |= fleet.named
    return {"named_by_one": len(first.named), "named_together": len(together)}


def main() -> None:
    """Measures the request on standard input and writes its costs to standard output."""
    request = msgspec.json.decode(sys.stdin.buffer.read(), type=Request)
    sys.stdout.buffer.write(msgspec.json.encode(measure(request)))


def _spent_ms(fleet: Fleet, meter: Meter, action: Callable[[], object]) -> float:
    return meter.scaled_ms(lambda: fleet.spent_ns, action)


def _first_list(fleet: Fleet, meter: Meter) -> dict[str, float]:
    def told() -> None:
        fleet.send_complete_list(ListForm.RESTORED)
        fleet.turn()

    return {"first_list_ms": _spent_ms(fleet, meter, told)}


def _joining(fleet: Fleet, meter: Meter) -> dict[str, float]:
    began = fleet.now
    sent = msgspec.structs.replace(fleet.sent)
    bound: list[int] = []

    def joined() -> None:
        fleet.join_all()
        fleet.turn()
        bound.append(fleet.sizes.proxies - fleet.unassigned())
        turns = 1
        while (fleet.unassigned() or fleet.channel) and turns < JOINING_LIMIT:
            fleet.turn()
            turns += 1

    return {
        "join_ms": _spent_ms(fleet, meter, joined),
        "join_bound_first_turn": bound[0],
        "join_unbound": fleet.unassigned(),
        "join_s": (fleet.last_applied_at - began) / SECOND,
        "join_lines": fleet.sent.lines - sent.lines,
        "join_bytes": fleet.sent.bytes - sent.bytes,
    }


def _idle(fleet: Fleet, meter: Meter, counted: bool) -> dict[str, float]:
    seconds = [_spent_ms(fleet, meter, fleet.second) for _ in range(IDLE)]
    return {
        "idle_ms": statistics.median(seconds),
        "idle_worst_ms": max(seconds),
        **({"idle_calls": calls_of(fleet.second)} if counted else {}),
    }


def _entries(fleet: Fleet, meter: Meter, counted: bool) -> dict[str, float]:
    spent: list[float] = []
    lines: list[int] = []
    size: list[int] = []
    held_s: list[float] = []
    for _ in range(ENTRIES):
        began = fleet.now
        sent = msgspec.structs.replace(fleet.sent)

        def changed() -> None:
            fleet.drain([fleet.ready[0]])
            fleet.turn()

        spent.append(_spent_ms(fleet, meter, changed))
        lines.append(fleet.sent.lines - sent.lines)
        size.append(fleet.sent.bytes - sent.bytes)
        fleet.second()
        held_s.append(max(0, fleet.last_applied_at - began) / SECOND)
    return {
        "entry_ms": statistics.median(spent),
        "entry_lines": statistics.median(lines),
        "entry_bytes": statistics.median(size),
        "entry_s": max(held_s),
        **(_counted_entry(fleet) if counted else {}),
    }


def _counted_entry(fleet: Fleet) -> dict[str, float]:
    def change() -> None:
        fleet.drain([fleet.ready[0]])
        fleet.turn()

    calls = calls_of(change)
    fleet.second()
    return {"entry_calls": calls}


def _settings(fleet: Fleet, meter: Meter) -> dict[str, float]:
    data = orjson.dumps(configuration(fleet.sizes))
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        file.write(data)
        file.flush()
        readings = [
            meter.scaled_ms(time.process_time_ns, lambda: config.load(file.name)) for _ in range(READINGS)
        ]
    change_ms = _spent_ms(fleet, meter, fleet.change_settings)
    row = row_of(fleet.sizes.backends, fleet.sizes.zones)
    return {
        "file_bytes": len(data),
        "file_ms": statistics.median(readings),
        "change_ms": change_ms,
        "list_bytes": len(orjson.dumps(configuration(fleet.sizes)["known"])),
        "entry_row_bytes": len(orjson.dumps({"index": 43, "snapshot": False, "endpoints": [row]})) + 1,
    }


def _busy(fleet: Fleet, meter: Meter) -> dict[str, float]:
    for _ in range(BUSY_WARM):
        fleet.second(_reports(fleet))
    seconds: list[float] = []
    read: list[float] = []
    reports = 0
    in_bytes = 0
    sent = msgspec.structs.replace(fleet.sent)
    for _ in range(BUSY):
        frames = _reports(fleet)
        reports += len(frames)
        in_bytes += sum(map(len, frames))
        before = fleet.spent_ns
        read_before = fleet.read_ns
        seconds.append(_spent_ms(fleet, meter, partial(fleet.second, frames)))
        read.append((fleet.read_ns - read_before) / (fleet.spent_ns - before) * seconds[-1])
    heard = fleet.load_reports()
    return {
        "busy_ms": statistics.median(seconds),
        "busy_worst_ms": max(seconds),
        "busy_read_ms": statistics.median(read),
        "busy_reports": reports / BUSY,
        "busy_in_bytes": in_bytes / BUSY,
        "heard_in_bytes": sum(map(len, heard)),
        "busy_messages": (fleet.sent.messages - sent.messages) / BUSY,
        "busy_lines": (fleet.sent.lines - sent.lines) / BUSY,
        "busy_out_bytes": (fleet.sent.bytes - sent.bytes) / BUSY,
        "applied_bytes": len(frame({"type": "applied", "node": 17, "nonce": 905, "latency": 310.4})),
    }


def _reports(fleet: Fleet) -> list[bytes]:
    return fleet.load_reports() + fleet.usage_reports()


def _events(fleet: Fleet, meter: Meter) -> dict[str, float]:
    """A rack, a zone that returns cold, and a region whose list comes whole after a cut."""
    found: dict[str, float] = {}
    settled = fleet.ready[:]
    rack = settled[: min(RACK, len(settled) // 4)]
    found |= _event(fleet, meter, "rack", lambda: fleet.lose(rack))
    zone = [number for number in fleet.ready if number % fleet.sizes.zones == 0]
    if fleet.sizes.zones > 1:
        found |= _event(fleet, meter, "zone", lambda: fleet.lose(zone))
        found |= _event(fleet, meter, "zone_back", lambda: fleet.start_backends(len(zone), 0))
    found |= _event(fleet, meter, "heal", lambda: _healed(fleet))
    return found


def _healed(fleet: Fleet) -> None:
    """The whole list after some minutes of a cut: a few have been replaced meanwhile."""
    fleet.ready = fleet.ready[3:]
    fleet.send_complete_list()


def _event(fleet: Fleet, meter: Meter, name: str, action: Callable[[], object]) -> dict[str, float]:
    """Processor time of the turn and of the second after it, what is sent, and until when it is applied."""
    began = fleet.now
    sent = msgspec.structs.replace(fleet.sent)

    def first_turn() -> None:
        action()
        fleet.turn()

    def rest_of_second() -> None:
        for _ in range(TURNS - 1):
            fleet.turn()

    turn_ms = _spent_ms(fleet, meter, first_turn)
    second_ms = turn_ms + _spent_ms(fleet, meter, rest_of_second)
    turns = TURNS
    while turns < EVENT_TURNS and fleet.channel:
        fleet.turn()
        turns += 1
    return {
        f"{name}_turn_ms": turn_ms,
        f"{name}_second_ms": second_ms,
        f"{name}_lines": fleet.sent.lines - sent.lines,
        f"{name}_bytes": fleet.sent.bytes - sent.bytes,
        f"{name}_s": max(0, fleet.last_applied_at - began) / SECOND,
    }
