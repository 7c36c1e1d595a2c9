"""Every cost of a coordinator at one point of sizes, measured in a process of its own."""

import gc
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Callable

import msgspec
import orjson

from bench.capacity.fleet import RACK, SECOND, Fleet, Sizes, configuration, row_of
from granitespool.net import config
from granitespool.net.frames import frame

MB = 1 << 20
NS_PER_MS = 1_000_000
BOUND_WITHIN = 1200  # turns after which the joining is given up, and told as that many
SETTLE = 3  # idle seconds after the joining, before anything is measured
IDLE = 3  # idle seconds measured
BUSY_WARM = 1  # seconds under reports before they are measured
BUSY = 3  # seconds under reports measured
READINGS = 3  # of one configuration file, of which the least counts
ENTRIES = 3  # changed list entries measured
TOGETHER = 4  # coordinators whose tables are compared for the backends that they name
REFERENCE_STEPS = 100_000  # steps of the loop that tells how fast the machine is just now
EVENT_TURNS = 300  # turns within which an event's orders have to be answered


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One point to be measured."""

    sizes: Sizes
    seed: int
    repeats: int = 1
    events: bool = False  # also a rack, a zone and a region


def resident_mb() -> float:
    """Resident memory of this process, in MiB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / MB


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


def reference_ms() -> float:
    """Processor time of a fixed loop: what the same text costs on this machine just now."""
    times = []
    for _ in range(5):
        began, total = time.process_time_ns(), 0
        for step in range(REFERENCE_STEPS):
            total += step
        times.append(time.process_time_ns() - began)
    return min(times) / NS_PER_MS


def measure(request: Request) -> dict[str, float]:
    """Costs by name; of repeats the least, since noise only adds. Memory is that of the first repeat."""
    found = {"reference_ms": reference_ms()}
    for repeat in range(request.repeats):
        for name, value in _once(request, repeat == 0).items():
            found[name] = min(value, found.get(name, value))
    return found


def _once(request: Request, first: bool) -> dict[str, float]:
    gc.collect()
    before_mb = resident_mb()
    fleet = Fleet(request.sizes, request.seed)
    found = {"make_ms": fleet.planned_ns / NS_PER_MS}
    found |= _first_list(fleet)
    found |= _joining(fleet)
    for _ in range(SETTLE):
        fleet.second()
    found |= _idle(fleet)
    found |= _entries(fleet)
    found |= _busy(fleet)
    if first:
        found["memory_mb"] = resident_mb() - before_mb
        found["resident_mb"] = resident_mb()
    found |= _settings(fleet)
    if request.events:
        found |= _named(request, fleet)
        found |= _events(fleet)
    return found


def _named(request: Request, first: Fleet) -> dict[str, float]:
    """How many backends the tables of one coordinator's proxies name, and those of several together."""
    together = set(first.named)
    for index in range(1, TOGETHER):
        fleet = Fleet(request.sizes, request.seed + index, index)
        _first_list(fleet)
        _joining(fleet)
        together |= fleet.named
    return {"named_by_one": len(first.named), "named_together": len(together)}


def main() -> None:
    """Measures the request on standard input and writes its costs to standard output."""
    request = msgspec.json.decode(sys.stdin.buffer.read(), type=Request)
    sys.stdout.buffer.write(msgspec.json.encode(measure(request)))


def _spent_ms(fleet: Fleet, action: Callable[[], object]) -> float:
    before = fleet.spent_ns
    action()
    return (fleet.spent_ns - before) / NS_PER_MS


def _first_list(fleet: Fleet) -> dict[str, float]:
    def told() -> None:
        fleet.tell_whole("restored")
        fleet.turn()

    return {"first_list_ms": _spent_ms(fleet, told)}


def _joining(fleet: Fleet) -> dict[str, float]:
    before, began, sent = fleet.spent_ns, fleet.now, msgspec.structs.replace(fleet.sent)
    fleet.join_all()
    fleet.turn()
    first = fleet.sizes.proxies - fleet.unbound()
    worst, turns = 0, 1
    while fleet.unbound() and turns < BOUND_WITHIN:
        turn_began = fleet.spent_ns
        fleet.turn()
        worst = max(worst, fleet.spent_ns - turn_began)
        turns += 1
    while fleet.waiting and turns < BOUND_WITHIN:
        fleet.turn()
        turns += 1
    return {
        "join_ms": (fleet.spent_ns - before) / NS_PER_MS,
        "join_bound_first_turn": first,
        "join_unbound": fleet.unbound(),
        "join_s": (fleet.last_applied_at - began) / SECOND,
        "join_lines": fleet.sent.lines - sent.lines,
        "join_bytes": fleet.sent.bytes - sent.bytes,
    }


def _idle(fleet: Fleet) -> dict[str, float]:
    seconds = [fleet.second() / NS_PER_MS for _ in range(IDLE)]
    return {
        "idle_ms": min(seconds),
        "idle_worst_ms": max(seconds),
        "idle_calls": calls_of(fleet.second),
    }


def _entries(fleet: Fleet) -> dict[str, float]:
    spent, lines, size, held_s = [], [], [], []
    for _ in range(ENTRIES):
        began = fleet.now
        sent = msgspec.structs.replace(fleet.sent)

        def changed() -> None:
            fleet.drain([fleet.ready[0]])
            fleet.turn()

        spent.append(_spent_ms(fleet, changed))
        lines.append(fleet.sent.lines - sent.lines)
        size.append(fleet.sent.bytes - sent.bytes)
        fleet.second()
        held_s.append(max(0, fleet.last_applied_at - began) / SECOND)
    calls = calls_of(lambda: (fleet.drain([fleet.ready[0]]), fleet.turn()))
    fleet.second()
    return {
        "entry_ms": min(spent),
        "entry_lines": statistics.median(lines),
        "entry_bytes": statistics.median(size),
        "entry_calls": calls,
        "entry_s": max(held_s),
    }


def _settings(fleet: Fleet) -> dict[str, float]:
    told = orjson.dumps(configuration(fleet.sizes))
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        file.write(told)
        file.flush()
        read_ns = min(_load_ns(file.name) for _ in range(READINGS))
    change_ms = _spent_ms(fleet, fleet.change_settings)
    row = row_of(fleet.sizes.backends, fleet.sizes.zones)
    return {
        "file_bytes": len(told),
        "file_ms": read_ns / NS_PER_MS,
        "change_ms": change_ms,
        "list_bytes": len(orjson.dumps(configuration(fleet.sizes)["known"])),
        "entry_row_bytes": len(orjson.dumps({"index": 43, "snapshot": False, "endpoints": [row]})) + 1,
    }


def _load_ns(path: str) -> int:
    began = time.process_time_ns()
    config.load(path)
    return time.process_time_ns() - began


def _busy(fleet: Fleet) -> dict[str, float]:
    for _ in range(BUSY_WARM):
        fleet.second(_reports(fleet))
    seconds, reports, in_bytes = [], 0, 0
    read, planned, sent = fleet.read_ns, fleet.planned_ns, msgspec.structs.replace(fleet.sent)
    for _ in range(BUSY):
        frames = _reports(fleet)
        reports += len(frames)
        in_bytes += sum(map(len, frames))
        seconds.append(fleet.second(frames) / NS_PER_MS)
    heard = fleet.heard_messages()
    return {
        "busy_ms": statistics.median(seconds),
        "busy_worst_ms": max(seconds),
        "busy_read_ms": (fleet.read_ns - read) / NS_PER_MS / BUSY,
        "busy_plan_ms": (fleet.planned_ns - planned) / NS_PER_MS / BUSY,
        "busy_reports": reports / BUSY,
        "busy_in_bytes": in_bytes / BUSY,
        "heard_in_bytes": sum(map(len, heard)),
        "busy_messages": (fleet.sent.messages - sent.messages) / BUSY,
        "busy_lines": (fleet.sent.lines - sent.lines) / BUSY,
        "busy_out_bytes": (fleet.sent.bytes - sent.bytes) / BUSY,
        "applied_bytes": len(frame({"type": "applied", "node": 17, "nonce": 905, "latency": 310.4})),
    }


def _reports(fleet: Fleet) -> list[bytes]:
    return fleet.heard_messages() + fleet.usage_messages()


def _events(fleet: Fleet) -> dict[str, float]:
    """A rack, a zone that returns cold, and a region whose list comes whole after a cut."""
    found = {}
    settled = fleet.ready[:]
    rack = settled[: min(RACK, len(settled) // 4)]
    found |= _event(fleet, "rack", lambda: fleet.lose(rack))
    zone = [number for number in fleet.ready if number % fleet.sizes.zones == 0]
    if fleet.sizes.zones > 1:
        found |= _event(fleet, "zone", lambda: fleet.lose(zone))
        found |= _event(fleet, "zone_back", lambda: fleet.start_backends(len(zone), 0))
    found |= _event(fleet, "heal", lambda: _healed(fleet))
    return found


def _healed(fleet: Fleet) -> None:
    """The whole list after some minutes of a cut: a few have been replaced meanwhile."""
    fleet.ready = fleet.ready[3:]
    fleet.tell_whole()


def _event(fleet: Fleet, name: str, action: Callable[[], object]) -> dict[str, float]:
    """Processor time of the turn and of the second after it, what is sent, and until when it is applied."""
    began, sent, worst = fleet.now, msgspec.structs.replace(fleet.sent), 0
    before = fleet.spent_ns
    action()
    fleet.turn()
    first_turn = fleet.spent_ns - before
    turns = 1
    while turns < EVENT_TURNS and (turns < 10 or fleet.waiting):
        fleet.turn()
        turns += 1
        if turns == 10:
            worst = fleet.spent_ns - before
    return {
        f"{name}_turn_ms": first_turn / NS_PER_MS,
        f"{name}_second_ms": worst / NS_PER_MS,
        f"{name}_lines": fleet.sent.lines - sent.lines,
        f"{name}_bytes": fleet.sent.bytes - sent.bytes,
        f"{name}_s": max(0, fleet.last_applied_at - began) / SECOND,
    }
