"""Measure every cost of a coordinator at one point of sizes, in a separate process."""

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
from bench.capacity.wire import RACK_SIZE, configuration, endpoint_row
from granitespool.net import config
from granitespool.net.frames import frame
from granitespool.planner.events import ListForm
from granitespool.units import SECOND

MB = 1 << 20
NS_PER_MS = 1_000_000
JOINING_TURNS_MAX = 1200  # the joining ends after this number of turns, even if it is incomplete
SETTLE_SECONDS = 3  # idle, after the joining and before the first measurement
IDLE_SECONDS = 5  # measured without reports
BUSY_WARM_UP_SECONDS = 1  # under reports, before the measurement
BUSY_SECONDS = 3  # measured under reports
FILE_READINGS = 3  # number of readings of one configuration file; the median is used
CHANGED_ENTRIES = 3  # number of measured changes of an endpoint list entry
COMPARED_COORDINATORS = 4  # number of coordinators whose backends in tables are counted together
REFERENCE_OBJECTS = 20_000  # in the reference walk, which measures the machine's current speed
REFERENCE_MS = 0.45  # time of the reference walk to which all times are scaled
EVENT_TURNS_MAX = 300  # the updates of an event have to be acknowledged within this number of turns


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One point to be measured, as the child process receives it."""

    sizes: Sizes
    seed: int
    repeats: int = 1
    events: bool = False  # also measure the loss of a rack and a zone, and a healed region
    named_backends: bool = False  # also count the backends in the tables of several coordinators


def resident_mb() -> float:
    """Return the resident memory of this process in MiB."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB


def count_calls(action: Callable[[], object]) -> int:
    """Return the number of Python and C calls of an action, which does not depend on the machine's speed."""
    calls = [0]

    def count(_frame: object, event: str, _argument: object) -> None:
        calls[0] += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls[0]


class ReferenceObject:
    """An object of the reference walk with a float and a small map, as the planner's records have."""

    def __init__(self, number: int) -> None:
        self.number = float(number)
        self.lines = {number % 7: 1.0}


class Meter:
    """Processor time, scaled by a reference walk over objects that is timed just before and after.

    On a shared machine the same work takes up to twice the time while a neighbouring core is busy. The
    reference walk slows down equally. A scaled time is the time of the work if the walk takes `REFERENCE_MS`.
    """

    def __init__(self) -> None:
        self.objects = {f"thing-{number:08x}": ReferenceObject(number) for number in range(REFERENCE_OBJECTS)}
        self.references: list[float] = []

    def reference_ms(self) -> float:
        """Return the processor time of the walk, the shortest of three: the first runs with cold caches."""
        times = []
        for _ in range(3):
            started_at, total = time.process_time_ns(), 0.0
            for item in self.objects.values():
                if item.lines.get(3):
                    total += item.number
            times.append((time.process_time_ns() - started_at) / NS_PER_MS)
        self.references.append(min(times))
        return self.references[-1]

    def scaled_ms(self, processor_ns: Callable[[], int], action: Callable[[], object]) -> float:
        """Run an action; return the processor time in scaled ms that it adds to a counter in ns."""
        before_ms = self.reference_ms()
        before = processor_ns()
        action()
        processor_ms = (processor_ns() - before) / NS_PER_MS
        return processor_ms * REFERENCE_MS / ((before_ms + self.reference_ms()) / 2)


def measure(request: Request) -> dict[str, float]:
    """Return the costs by name: medians of the repeats, except memory and call counts of the first repeat."""
    meter = Meter()
    costs: dict[str, list[float]] = {}
    for repeat in range(request.repeats):
        for name, value in _measure_once(request, meter, repeat == 0).items():
            costs.setdefault(name, []).append(value)
    costs["reference_ms"] = meter.references
    return {name: statistics.median(values) for name, values in costs.items()}


def _measure_once(request: Request, meter: Meter, first: bool) -> dict[str, float]:
    gc.collect()
    before_mb = resident_mb()
    fleet = Fleet(request.sizes, request.seed)
    costs = _measure_first_list(fleet, meter)
    costs |= _measure_joining(fleet, meter)
    for _ in range(SETTLE_SECONDS):
        fleet.second()
    costs |= _measure_idle(fleet, meter, first)
    costs |= _measure_entries(fleet, meter, first)
    costs |= _measure_busy(fleet, meter)
    if first:
        costs["memory_mb"] = resident_mb() - before_mb
        costs["resident_mb"] = resident_mb()
    costs |= _measure_settings(fleet, meter)
    if request.named_backends and first:
        costs |= _count_named(request, meter, fleet)
    if request.events:
        costs |= _measure_events(fleet, meter)
    return costs


def _count_named(request: Request, meter: Meter, first: Fleet) -> dict[str, float]:
    """Count the backends in the tables of one coordinator, and in those of several together."""
    together = set(first.named_backends)
    for index in range(1, COMPARED_COORDINATORS):
        fleet = Fleet(request.sizes, request.seed + index, index)
        _measure_first_list(fleet, meter)
        _measure_joining(fleet, meter)
        together |= fleet.named_backends
    return {"named_by_one": len(first.named_backends), "named_together": len(together)}


def main() -> None:
    """Measure the request on standard input and write its costs to standard output."""
    request = msgspec.json.decode(sys.stdin.buffer.read(), type=Request)
    sys.stdout.buffer.write(msgspec.json.encode(measure(request)))


def _scaled_ms(fleet: Fleet, meter: Meter, action: Callable[[], object]) -> float:
    return meter.scaled_ms(lambda: fleet.processor_ns, action)


def _measure_first_list(fleet: Fleet, meter: Meter) -> dict[str, float]:
    def send_list() -> None:
        fleet.send_complete_list(ListForm.RESTORED)
        fleet.turn()

    return {"first_list_ms": _scaled_ms(fleet, meter, send_list)}


def _measure_joining(fleet: Fleet, meter: Meter) -> dict[str, float]:
    started_at = fleet.now
    sent = msgspec.structs.replace(fleet.sent)
    bound: list[int] = []

    def join() -> None:
        fleet.join_all()
        fleet.turn()
        bound.append(fleet.sizes.proxies - fleet.unassigned())
        turns = 1
        while (fleet.unassigned() or fleet.channel) and turns < JOINING_TURNS_MAX:
            fleet.turn()
            turns += 1

    return {
        "join_ms": _scaled_ms(fleet, meter, join),
        "join_bound_first_turn": bound[0],
        "join_unbound": fleet.unassigned(),
        "join_s": (fleet.last_applied_at - started_at) / SECOND,
        "join_lines": fleet.sent.lines - sent.lines,
        "join_bytes": fleet.sent.bytes - sent.bytes,
    }


def _measure_idle(fleet: Fleet, meter: Meter, counted: bool) -> dict[str, float]:
    seconds = [_scaled_ms(fleet, meter, fleet.second) for _ in range(IDLE_SECONDS)]
    return {
        "idle_ms": statistics.median(seconds),
        "idle_worst_ms": max(seconds),
        **({"idle_calls": count_calls(fleet.second)} if counted else {}),
    }


def _measure_entries(fleet: Fleet, meter: Meter, counted: bool) -> dict[str, float]:
    processor_ms: list[float] = []
    lines: list[int] = []
    size: list[int] = []
    applied_s: list[float] = []
    for _ in range(CHANGED_ENTRIES):
        started_at = fleet.now
        sent = msgspec.structs.replace(fleet.sent)

        def change() -> None:
            fleet.drain([fleet.ready[0]])
            fleet.turn()

        processor_ms.append(_scaled_ms(fleet, meter, change))
        lines.append(fleet.sent.lines - sent.lines)
        size.append(fleet.sent.bytes - sent.bytes)
        fleet.second()
        applied_s.append(max(0, fleet.last_applied_at - started_at) / SECOND)
    return {
        "entry_ms": statistics.median(processor_ms),
        "entry_lines": statistics.median(lines),
        "entry_bytes": statistics.median(size),
        "entry_s": max(applied_s),
        **(_count_entry_calls(fleet) if counted else {}),
    }


def _count_entry_calls(fleet: Fleet) -> dict[str, float]:
    def change() -> None:
        fleet.drain([fleet.ready[0]])
        fleet.turn()

    calls = count_calls(change)
    fleet.second()
    return {"entry_calls": calls}


def _measure_settings(fleet: Fleet, meter: Meter) -> dict[str, float]:
    data = orjson.dumps(configuration(fleet.sizes))
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        file.write(data)
        file.flush()
        readings = [
            meter.scaled_ms(time.process_time_ns, lambda: config.load(file.name))
            for _ in range(FILE_READINGS)
        ]
    change_ms = _scaled_ms(fleet, meter, fleet.change_settings)
    row = endpoint_row(fleet.sizes.backends, fleet.sizes.zones)
    return {
        "file_bytes": len(data),
        "file_ms": statistics.median(readings),
        "change_ms": change_ms,
        "list_bytes": len(orjson.dumps(configuration(fleet.sizes)["known"])),
        "entry_row_bytes": len(orjson.dumps({"index": 43, "snapshot": False, "endpoints": [row]})) + 1,
    }


def _measure_busy(fleet: Fleet, meter: Meter) -> dict[str, float]:
    for _ in range(BUSY_WARM_UP_SECONDS):
        fleet.second(_reports(fleet))
    seconds: list[float] = []
    read: list[float] = []
    reports = 0
    in_bytes = 0
    sent = msgspec.structs.replace(fleet.sent)
    for _ in range(BUSY_SECONDS):
        frames = _reports(fleet)
        reports += len(frames)
        in_bytes += sum(map(len, frames))
        before = fleet.processor_ns
        read_before = fleet.read_ns
        seconds.append(_scaled_ms(fleet, meter, partial(fleet.second, frames)))
        read.append((fleet.read_ns - read_before) / (fleet.processor_ns - before) * seconds[-1])
    load_reports = fleet.load_reports()
    return {
        "busy_ms": statistics.median(seconds),
        "busy_worst_ms": max(seconds),
        "busy_read_ms": statistics.median(read),
        "busy_reports": reports / BUSY_SECONDS,
        "busy_in_bytes": in_bytes / BUSY_SECONDS,
        "heard_in_bytes": sum(map(len, load_reports)),
        "busy_messages": (fleet.sent.messages - sent.messages) / BUSY_SECONDS,
        "busy_lines": (fleet.sent.lines - sent.lines) / BUSY_SECONDS,
        "busy_out_bytes": (fleet.sent.bytes - sent.bytes) / BUSY_SECONDS,
        "applied_bytes": len(frame({"type": "applied", "node": 17, "nonce": 905, "latency": 310.4})),
    }


def _reports(fleet: Fleet) -> list[bytes]:
    return fleet.load_reports() + fleet.usage_reports()


def _measure_events(fleet: Fleet, meter: Meter) -> dict[str, float]:
    """Measure the loss of a rack, the loss and return of a zone, and a complete list after a network cut."""
    costs: dict[str, float] = {}
    settled = fleet.ready[:]
    rack = settled[: min(RACK_SIZE, len(settled) // 4)]
    costs |= _measure_event(fleet, meter, "rack", lambda: fleet.lose(rack))
    zone = [number for number in fleet.ready if number % fleet.sizes.zones == 0]
    if fleet.sizes.zones > 1:
        costs |= _measure_event(fleet, meter, "zone", lambda: fleet.lose(zone))
        costs |= _measure_event(fleet, meter, "zone_back", lambda: fleet.start_backends(len(zone), 0))
    costs |= _measure_event(fleet, meter, "heal", lambda: _send_list_after_cut(fleet))
    return costs


def _send_list_after_cut(fleet: Fleet) -> None:
    """Send the complete list after a network cut of some minutes, in which a few backends were replaced."""
    fleet.ready = fleet.ready[3:]
    fleet.send_complete_list()


def _measure_event(fleet: Fleet, meter: Meter, name: str, action: Callable[[], object]) -> dict[str, float]:
    """Measure an event: processor time of its turn and second, what is sent, and the time until applied."""
    started_at = fleet.now
    sent = msgspec.structs.replace(fleet.sent)

    def first_turn() -> None:
        action()
        fleet.turn()

    def rest_of_second() -> None:
        for _ in range(TURNS - 1):
            fleet.turn()

    turn_ms = _scaled_ms(fleet, meter, first_turn)
    second_ms = turn_ms + _scaled_ms(fleet, meter, rest_of_second)
    turns = TURNS
    while turns < EVENT_TURNS_MAX and fleet.channel:
        fleet.turn()
        turns += 1
    return {
        f"{name}_turn_ms": turn_ms,
        f"{name}_second_ms": second_ms,
        f"{name}_lines": fleet.sent.lines - sent.lines,
        f"{name}_bytes": fleet.sent.bytes - sent.bytes,
        f"{name}_s": max(0, fleet.last_applied_at - started_at) / SECOND,
    }
