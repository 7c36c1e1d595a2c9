"""Measure the cost of the state folder with a synthetic fleet and without a network.

    python -m bench.state [open] [bytes] [stall] [close] [memory]      (all if none is given)

open    time to read and restore a folder of 1,000 backends x 10 zones, as at a start after SIGTERM
bytes   bytes written a second while every link is reported once a second
stall   the loop's longest turn while each sync takes 200 ms, without and with a store
close   time of the last snapshot at the end of the process
memory  resident memory over an hour of virtual time with a new backend each second
"""

import gc
import os
import random
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from granitespool.coordinator import Coordinator
from granitespool.endpoints import Endpoint, Phase
from granitespool.net.loop import Coroutine, Loop
from granitespool.operator_settings import StateSettings
from granitespool.planner.events import EndpointListUpdate, ListForm, LoadReport
from granitespool.settings import RequestClass, Settings
from granitespool.state import record
from granitespool.state.disk import StateFolder
from granitespool.state.record import Clocks, Header
from granitespool.state.recovery import Recovery
from granitespool.state.restore_policy import Identity
from granitespool.state.snapshotter import Snapshotter
from granitespool.state.store import Store
from granitespool.state.writer import read_folder

SECOND = 1_000_000_000
MB = 1 << 20
START = 10**18  # ns, the virtual clock at the start
SYNC_TIME = 0.2  # s, duration of each sync in `stall`
STALL_SECONDS = 8  # duration of each run of `stall`
BYTES_SECONDS = 40  # duration of each run of `bytes`
PROGRAM = "bench"
MEAN = 40_000_000  # ns, mean answer time
SLOW_MEAN = 3 * MEAN  # ns, mean answer time of a slow backend
ALL_BACKENDS = slice(None)
REPORT_PARTS = 50  # `stall` spreads the reports of a second over this number of parts
MEMORY_SAMPLE_SECONDS = (300, 1200, 2400, 3599)  # virtual seconds at which `memory` takes a sample


def settings(zones: int) -> Settings:
    """Return the settings of the measured coordinators."""
    return Settings(zones=zone_names(zones), classes=[RequestClass(name="pay")], warm_up_time=10 * SECOND)


def zone_names(zones: int) -> list[str]:
    """Return the names of the zones."""
    return [f"z{number}" for number in range(zones)]


class Backend(NamedTuple):
    """How a synthetic backend answers."""

    mean: int  # ns
    fails: bool  # whether a tenth of its attempts fail


class Fleet:
    """Backends with noisy reports; a third are slow, and one in ten fails a tenth of its attempts."""

    def __init__(self, backends: int, zones: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.zones = zone_names(zones)
        self.created = 0
        self.backends: dict[str, Backend] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.index = 0
        for _ in range(backends):
            self.add()

    def add(self) -> str:
        """Add a backend under a new name and return the name."""
        name = f"s-{self.created:08x}"
        mean = SLOW_MEAN if self.created % 3 == 0 else MEAN
        self.backends[name] = Backend(mean, fails=self.created % 10 == 1)
        self.addresses[name] = "127.0.0.1", 8081
        self.created += 1
        return name

    def entry(self, name: str, phase: Phase = Phase.READY, started_at: int = 0) -> Endpoint:
        """Return a backend's endpoint list entry."""
        return Endpoint(name, "z0", "m", 0, phase, 1.0, started_at)

    def report_list(self, coordinator: Coordinator, now: int) -> None:
        """Report the complete endpoint list."""
        entries = [self.entry(name) for name in self.backends]
        coordinator.report(now, EndpointListUpdate(ListForm.RESTORED, entries))

    def replace_oldest(self, coordinator: Coordinator, now: int) -> None:
        """Remove the oldest backend and add a new one."""
        new = self.add()
        old = next(iter(self.backends))
        del self.backends[old]
        entries = [self.entry(new, started_at=now), self.entry(old, Phase.GONE)]
        coordinator.report(now, EndpointListUpdate(ListForm.CHANGES, entries))

    def report(self, coordinator: Coordinator, now: int, part: slice = ALL_BACKENDS) -> None:
        """Report one load report from each zone for every backend in this part of the fleet."""
        for name in list(self.backends)[part]:
            for zone in self.zones:
                coordinator.report(now, self._load_report(name, zone))

    def _load_report(self, name: str, zone: str) -> LoadReport:
        backend = self.backends[name]
        attempts = self.random.randint(5, 15)
        failures = sum(self.random.random() < 0.1 for _ in range(attempts)) if backend.fails else 0
        mean = int(backend.mean * self.random.gauss(1, 0.1))
        return LoadReport(zone, name, attempts, failures, mean, SECOND, {})


def memory_mb() -> float:
    """Return the resident memory of this process in MiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB


def folder_size(folder: str) -> int:
    """Return the size of a folder's files in bytes."""
    return sum(entry.stat().st_size for entry in Path(folder).iterdir())


def identity(zones: int) -> Identity:
    """Return the identity of the coordinator that writes the records."""
    return Identity("n0", ["pay"], zone_names(zones))


def header(zones: int, now: int) -> Callable[[], Header]:
    """Return the function that creates a new file's header."""
    return lambda: Header(record.FORMAT_VERSION, *identity(zones), now, 0, 1, PROGRAM)


class Simulation(NamedTuple):
    """The coordinator, the fleet and the store after a simulation."""

    coordinator: Coordinator
    fleet: Fleet
    store: Store


def simulate(
    folder: str,
    backends: int,
    zones: int,
    seconds: int,
    churn: int = 0,
    after_second: Callable[[int], None] | None = None,
) -> Simulation:
    """Simulate virtual seconds with a snapshot sweep each half second.

    `churn` backends are replaced each second; `after_second` is called with the number of each second.
    """
    fleet = Fleet(backends, zones)
    coordinator = Coordinator(settings(zones), 1, START)
    recovery = Recovery(StateSettings(folder="x"), identity(zones))
    store = Store(StateFolder(folder), 64 * MB, header(zones, START))
    fleet.report_list(coordinator, START)
    for second in range(seconds):
        now = START + second * SECOND
        for _ in range(churn):
            fleet.replace_oldest(coordinator, now)
        fleet.report(coordinator, now)
        for half in (now, now + SECOND // 2):
            end_turn(coordinator, half)
            sweep(coordinator, recovery, fleet, store, half)
        if after_second:
            after_second(second)
    return Simulation(coordinator, fleet, store)


def end_turn(coordinator: Coordinator, now: int) -> None:
    """End a turn and discard its messages."""
    coordinator.tick(now)
    for recipient in coordinator.recipients():
        while coordinator.pick(recipient) is not None:
            pass


def sweep(coordinator: Coordinator, recovery: Recovery, fleet: Fleet, store: Store, now: int) -> None:
    """Write the records whose values have changed enough to be stored."""
    names = list(coordinator.endpoint_states())
    changes = recovery.collect_changes(coordinator, fleet.addresses, fleet.index, now, names, is_last=True)
    if changes:
        store.append(Clocks(now, now), changes)


def measure_open() -> None:
    """Measure the time from opening a folder until it is restored."""
    with tempfile.TemporaryDirectory() as folder:
        simulate(folder, 1000, 10, 15)
        _measure_open(folder)


def _measure_open(folder: str) -> None:
    size = folder_size(folder)
    coordinator = Coordinator(settings(10), 1, START + 16 * SECOND)
    now = START + 16 * SECOND
    recovery = Recovery(StateSettings(folder="x"), identity(10))
    started_at = time.perf_counter()
    content = read_folder(StateFolder(folder), 64 * MB)
    read = time.perf_counter()
    recovery.load(content.state, content.record, None, Clocks(now, now))
    loaded = time.perf_counter()
    endpoint_list = recovery.choose_endpoint_list({"index": -1})
    list_chosen = time.perf_counter()
    entries = [
        Endpoint(item["name"], item["zone"], item["type"], 0, Phase.READY, 1.0, 0)
        for item in endpoint_list["endpoints"]
    ]
    coordinator.report(now, EndpointListUpdate(ListForm.RESTORED, entries))
    reported = time.perf_counter()
    restored = recovery.restore(coordinator, now, Clocks(now, now))
    done = time.perf_counter()
    assert content.state is not None
    assert restored is not None
    print(
        f"open: 1,000 backends x 10 zones, {size / 1e6:.2f} MB, {content.state.frame_count} frames: read "
        f"{1e3 * (read - started_at):.0f} ms, checked and loaded {1e3 * (loaded - read):.0f} ms, restored "
        f"{1e3 * (done - reported):.0f} ms ({restored.link_count} links); "
        f"the list itself {1e3 * (reported - list_chosen):.0f} ms"
    )


def measure_bytes() -> None:
    """Measure the bytes written while every link is reported once a second."""
    for backends, zones in ((30, 2), (120, 4), (1000, 10)):
        with tempfile.TemporaryDirectory() as folder:
            store = simulate(folder, backends, zones, BYTES_SECONDS).store
            print(
                f"bytes: {backends} backends x {zones} zones, "
                f"{store.bytes_written / BYTES_SECONDS / 1e3:.1f} KB a second, folder "
                f"{folder_size(folder) / 1e3:.0f} KB after {BYTES_SECONDS} s"
            )


class SlowFolder(StateFolder):
    """A folder on a slow disk: every sync takes at least 200 ms."""

    def sync(self, name: str) -> None:
        """Sync a file after a delay."""
        time.sleep(SYNC_TIME)
        super().sync(name)

    def sync_names(self) -> None:
        """Sync the folder after a delay."""
        time.sleep(SYNC_TIME)
        super().sync_names()


class NoLog:
    """Log that discards its events, so that the time of logging is not measured."""

    def event(self, *_: object, **__: object) -> None:
        """Discard an event."""


class ListedFleet:
    """Stand-in of discovery with the attributes that a snapshotter reads."""

    def __init__(self, fleet: Fleet) -> None:
        self.has_listed_backends = True
        self.addresses = fleet.addresses
        self.index = 1


def snapshotter_of(
    loop: Loop, coordinator: Coordinator, fleet: Fleet, folder: StateFolder, zones: int
) -> Snapshotter:
    """Return a started snapshotter of a coordinator."""
    options = StateSettings(folder=folder.path, every_ms=1000)
    snapshotter = Snapshotter(loop, NoLog(), options, "n0", settings(zones), time.monotonic_ns, folder)
    snapshotter.start(coordinator, ListedFleet(fleet))
    return snapshotter


class TurnTimes(NamedTuple):
    """Times of a loop's turns in ms."""

    longest: float
    p999: float  # 99.9th percentile
    mean: float


def measure_turns(backends: int, zones: int, folder: str | None) -> TurnTimes:
    """Measure the turns of a loop in real time while every link is reported once a second."""
    loop = Loop(print)
    fleet = Fleet(backends, zones)
    coordinator = Coordinator(settings(zones), 1, loop.now)
    fleet.report_list(coordinator, loop.now)
    snapshotter = None
    if folder:
        snapshotter = snapshotter_of(loop, coordinator, fleet, SlowFolder(folder), zones)
    loop.spawn(_reports(loop, coordinator, fleet))
    times = _timed_turns(loop, coordinator)
    if snapshotter:
        snapshotter.close()
    loop.close()
    times.sort()
    return TurnTimes(times[-1], times[int(len(times) * 0.999)], sum(times) / len(times))


def _reports(loop: Loop, coordinator: Coordinator, fleet: Fleet) -> Coroutine:
    while True:
        for part in range(REPORT_PARTS):
            fleet.report(coordinator, loop.now, slice(part, None, REPORT_PARTS))
            yield None, 0, loop.now + SECOND // REPORT_PARTS


def _timed_turns(loop: Loop, coordinator: Coordinator) -> list[float]:
    times = []
    end = loop.now + STALL_SECONDS * SECOND
    gc.collect()
    gc.disable()
    while loop.now < end:
        loop.turn(coordinator.tick, 0)
        started_at = time.perf_counter()
        loop.turn(coordinator.tick, 2_000_000)
        times.append(1e3 * (time.perf_counter() - started_at))
    gc.enable()
    return times


def measure_stall() -> None:
    """Measure the loop's longest turn on a slow disk."""
    for backends, zones in ((120, 4), (500, 4)):
        without = measure_turns(backends, zones, None)
        with tempfile.TemporaryDirectory() as folder:
            with_store = measure_turns(backends, zones, folder)
        print(
            f"stall: {backends} backends x {zones} zones, each sync {SYNC_TIME * 1e3:.0f} ms: longest turn "
            f"{without.longest:.1f} ms without a store, {with_store.longest:.1f} ms with; 99.9 % "
            f"{without.p999:.1f} and {with_store.p999:.1f} ms; mean {without.mean:.2f} and "
            f"{with_store.mean:.2f} ms"
        )


def measure_close() -> None:
    """Measure the last snapshot when all records are new."""
    loop = Loop(print)
    fleet = Fleet(1000, 10)
    coordinator = Coordinator(settings(10), 1, loop.now)
    fleet.report_list(coordinator, loop.now)
    with tempfile.TemporaryDirectory() as folder:
        snapshotter = snapshotter_of(loop, coordinator, fleet, StateFolder(folder), 10)
        fleet.report(coordinator, loop.now)
        started_at = time.perf_counter()
        snapshotter.close()
        elapsed_s = time.perf_counter() - started_at
        content = read_folder(StateFolder(folder), 64 * MB)
    loop.close()
    stored = content.record.backends.values() if content.record else ()
    links = sum(len(backend.links) for backend in stored)
    print(
        f"close: last snapshot of 1,000 backends x 10 zones, all of it new: {1e3 * elapsed_s:.0f} ms, "
        f"{links} links"
    )


def measure_memory() -> None:
    """Measure resident memory over a virtual hour with a new backend each second."""
    samples = {}

    def after_second(second: int) -> None:
        if second in MEMORY_SAMPLE_SECONDS:
            gc.collect()
            samples[second] = memory_mb()

    with tempfile.TemporaryDirectory() as folder:
        simulate(folder, 30, 2, 3600, churn=1, after_second=after_second)
        size = folder_size(folder)
    print(
        "memory: 30 backends x 2 zones, a new name a second: "
        + ", ".join(f"{mb:.1f} MB at {second} s" for second, mb in samples.items())
        + f"; folder {size / 1e3:.0f} KB"
    )


BENCHMARKS = {
    "open": measure_open,
    "bytes": measure_bytes,
    "stall": measure_stall,
    "close": measure_close,
    "memory": measure_memory,
}

if __name__ == "__main__":
    for benchmark in sys.argv[1:] or BENCHMARKS:
        BENCHMARKS[benchmark]()
