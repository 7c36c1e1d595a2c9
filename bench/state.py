"""What the state folder costs, by a synthetic fleet that no network serves.

    python -m bench.state [open] [bytes] [stall] [close] [memory]      (all of them where none is named)

open    reading a folder of 1,000 backends x 10 zones until it is recalled; a start after SIGTERM
bytes   bytes written a second while every link is heard once a second
stall   the loop's longest turn while each sync takes 200 ms, without and with a store
close   the last snapshot at the end of the process
memory  resident memory over an hour of virtual time with new names each second"""

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
BEGAN = 10**18  # ns: the virtual clock begins here
SYNC = 0.2  # s that each sync takes in `stall`
STALL_FOR = 8  # s of each run of `stall`
BYTES_FOR = 40  # s of each run of `bytes`
PROGRAM = "bench"
MEAN = 40_000_000  # ns that an answer takes
SLOW_MEAN = 3 * MEAN  # ns
EVERYONE = slice(None)
PIECES = 50  # parts of a second that reports are spread over in `stall`
MEMORY_LOOKS = (300, 1200, 2400, 3599)  # s at which `memory` looks


def settings(zones: int) -> Settings:
    """The settings of every coordinator here."""
    return Settings(zones=zone_names(zones), classes=[RequestClass(name="pay")], warm_up_time=10 * SECOND)


def zone_names(zones: int) -> list[str]:
    """Names of so many zones."""
    return [f"z{number}" for number in range(zones)]


class Backend(NamedTuple):
    """How a backend answers."""

    mean: int  # ns
    fails: bool  # a tenth of the attempts


class Fleet:
    """Backends that report each second: a third slow, one in ten failing by a tenth, means with noise."""

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
        """Another backend under a new name."""
        name = f"s-{self.created:08x}"
        mean = SLOW_MEAN if self.created % 3 == 0 else MEAN
        self.backends[name] = Backend(mean, fails=self.created % 10 == 1)
        self.addresses[name] = "127.0.0.1", 8081
        self.created += 1
        return name

    def entry(self, name: str, phase: Phase = Phase.READY, started_at: int = 0) -> Endpoint:
        """A backend's entry of the endpoint list."""
        return Endpoint(name, "z0", "m", 0, phase, 1.0, started_at)

    def tell(self, coordinator: Coordinator, now: int) -> None:
        """Reports the whole list."""
        entries = [self.entry(name) for name in self.backends]
        coordinator.report(now, EndpointListUpdate(ListForm.RESTORED, entries))

    def replace_oldest(self, coordinator: Coordinator, now: int) -> None:
        """A backend is gone and another one comes."""
        new = self.add()
        old = next(iter(self.backends))
        del self.backends[old]
        entries = [self.entry(new, started_at=now), self.entry(old, Phase.GONE)]
        coordinator.report(now, EndpointListUpdate(ListForm.CHANGES, entries))

    def report(self, coordinator: Coordinator, now: int, part: slice = EVERYONE) -> None:
        """One report of each zone about each backend of this part of the fleet."""
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
    """Resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB


def folder_size(folder: str) -> int:
    """Bytes of a folder's files."""
    return sum(entry.stat().st_size for entry in Path(folder).iterdir())


def identity(zones: int) -> Identity:
    """Whose records these are."""
    return Identity("n0", ["pay"], zone_names(zones))


def header(zones: int, now: int) -> Callable[[], Header]:
    """What makes a new file's header."""
    return lambda: Header(record.FORMAT_VERSION, *identity(zones), now, 0, 1, PROGRAM)


class Played(NamedTuple):
    """What a play leaves."""

    coordinator: Coordinator
    fleet: Fleet
    store: Store


def played(
    folder: str,
    backends: int,
    zones: int,
    seconds: int,
    churn: int = 0,
    look: Callable[[int], None] | None = None,
) -> Played:
    """Plays so many virtual seconds with a sweep each half second.

    `churn`: backends replaced a second; `look` is called with each second's number after it.
    """
    fleet = Fleet(backends, zones)
    coordinator = Coordinator(settings(zones), 1, BEGAN)
    recovery = Recovery(StateSettings(folder="x"), identity(zones))
    store = Store(StateFolder(folder), 64 * MB, header(zones, BEGAN))
    fleet.tell(coordinator, BEGAN)
    for second in range(seconds):
        now = BEGAN + second * SECOND
        for _ in range(churn):
            fleet.replace_oldest(coordinator, now)
        fleet.report(coordinator, now)
        for half in (now, now + SECOND // 2):
            end_turn(coordinator, half)
            sweep(coordinator, recovery, fleet, store, half)
        if look:
            look(second)
    return Played(coordinator, fleet, store)


def end_turn(coordinator: Coordinator, now: int) -> None:
    """Ends a turn; what it orders goes to nobody."""
    coordinator.tick(now)
    for recipient in coordinator.recipients():
        while coordinator.next_message(recipient) is not None:
            pass


def sweep(coordinator: Coordinator, recovery: Recovery, fleet: Fleet, store: Store, now: int) -> None:
    """Writes what has changed enough."""
    names = list(coordinator.endpoint_states())
    changes = recovery.collect_changes(coordinator, fleet.addresses, fleet.index, now, names, is_last=True)
    if changes:
        store.append(Clocks(now, now), changes)


def measure_open() -> None:
    """Reading a folder until it is restored."""
    with tempfile.TemporaryDirectory() as folder:
        played(folder, 1000, 10, 15)
        _measure_open(folder)


def _measure_open(folder: str) -> None:
    size = folder_size(folder)
    coordinator = Coordinator(settings(10), 1, BEGAN + 16 * SECOND)
    now = BEGAN + 16 * SECOND
    recovery = Recovery(StateSettings(folder="x"), identity(10))
    began = time.perf_counter()
    content = read_folder(StateFolder(folder), 64 * MB)
    read = time.perf_counter()
    recovery.load(content.state, content.record, None, Clocks(now, now))
    carried = time.perf_counter()
    known = recovery.choose_endpoint_list({"index": -1})
    listed = time.perf_counter()
    entries = [
        Endpoint(each["name"], each["zone"], each["type"], 0, Phase.READY, 1.0, 0)
        for each in known["endpoints"]
    ]
    coordinator.report(now, EndpointListUpdate(ListForm.RESTORED, entries))
    told = time.perf_counter()
    restored = recovery.restore(coordinator, now, Clocks(now, now))
    done = time.perf_counter()
    assert content.state is not None
    assert restored is not None
    print(
        f"open: 1,000 backends x 10 zones, {size / 1e6:.2f} MB, {content.state.frame_count} frames: read "
        f"{1e3 * (read - began):.0f} ms, checked and carried {1e3 * (carried - read):.0f} ms, restored "
        f"{1e3 * (done - told):.0f} ms ({restored.link_count} links); "
        f"the list itself {1e3 * (told - listed):.0f} ms"
    )


def measure_bytes() -> None:
    """Bytes written while every link is heard once a second."""
    for backends, zones in ((30, 2), (120, 4), (1000, 10)):
        with tempfile.TemporaryDirectory() as folder:
            store = played(folder, backends, zones, BYTES_FOR).store
            print(
                f"bytes: {backends} backends x {zones} zones, "
                f"{store.bytes_written / BYTES_FOR / 1e3:.1f} KB a second, folder "
                f"{folder_size(folder) / 1e3:.0f} KB after {BYTES_FOR} s"
            )


class SlowFolder(StateFolder):
    """A disk whose every sync takes 200 ms."""

    def sync(self, name: str) -> None:
        """Syncs late."""
        time.sleep(SYNC)
        super().sync(name)

    def sync_names(self) -> None:
        """Syncs late."""
        time.sleep(SYNC)
        super().sync_names()


class NoLog:
    """Takes events and writes none: no log is measured here."""

    def event(self, *_: object, **__: object) -> None:
        """Nothing."""


class ListedFleet:
    """What a snapshotter reads of the discovery."""

    def __init__(self, fleet: Fleet) -> None:
        self.has_listed_backends = True
        self.addresses = fleet.addresses
        self.index = 1


def snapshotter_of(
    loop: Loop, coordinator: Coordinator, fleet: Fleet, folder: StateFolder, zones: int
) -> Snapshotter:
    """A snapshotter at work on a coordinator."""
    options = StateSettings(folder=folder.path, every_ms=1000)
    snapshotter = Snapshotter(loop, NoLog(), options, "n0", settings(zones), time.monotonic_ns, folder)
    snapshotter.start(coordinator, ListedFleet(fleet))
    return snapshotter


class Stalls(NamedTuple):
    """Turns of a loop in ms."""

    longest: float
    share_999: float  # 99.9 % of them take no longer
    mean: float


def stalls(backends: int, zones: int, folder: str | None) -> Stalls:
    """The turns of a loop in real time that hears every link once a second."""
    loop = Loop(print)
    fleet = Fleet(backends, zones)
    coordinator = Coordinator(settings(zones), 1, loop.now)
    fleet.tell(coordinator, loop.now)
    snapshotter = None
    if folder:
        snapshotter = snapshotter_of(loop, coordinator, fleet, SlowFolder(folder), zones)
    loop.spawn(_reports(loop, coordinator, fleet))
    times = _timed_turns(loop, coordinator)
    if snapshotter:
        snapshotter.close()
    loop.close()
    times.sort()
    return Stalls(times[-1], times[int(len(times) * 0.999)], sum(times) / len(times))


def _reports(loop: Loop, coordinator: Coordinator, fleet: Fleet) -> Coroutine:
    while True:
        for piece in range(PIECES):
            fleet.report(coordinator, loop.now, slice(piece, None, PIECES))
            yield None, 0, loop.now + SECOND // PIECES


def _timed_turns(loop: Loop, coordinator: Coordinator) -> list[float]:
    times = []
    end = loop.now + STALL_FOR * SECOND
    gc.collect()
    gc.disable()
    while loop.now < end:
        loop.turn(coordinator.tick, 0)
        began = time.perf_counter()
        loop.turn(coordinator.tick, 2_000_000)
        times.append(1e3 * (time.perf_counter() - began))
    gc.enable()
    return times


def measure_stall() -> None:
    """The loop's longest turn on a slow disk."""
    for backends, zones in ((120, 4), (500, 4)):
        without = stalls(backends, zones, None)
        with tempfile.TemporaryDirectory() as folder:
            with_store = stalls(backends, zones, folder)
        print(
            f"stall: {backends} backends x {zones} zones, each sync {SYNC * 1e3:.0f} ms: longest turn "
            f"{without.longest:.1f} ms without a store, {with_store.longest:.1f} ms with; 99.9 % "
            f"{without.share_999:.1f} and {with_store.share_999:.1f} ms; mean {without.mean:.2f} and "
            f"{with_store.mean:.2f} ms"
        )


def measure_close() -> None:
    """The last snapshot, all of it new."""
    loop = Loop(print)
    fleet = Fleet(1000, 10)
    coordinator = Coordinator(settings(10), 1, loop.now)
    fleet.tell(coordinator, loop.now)
    with tempfile.TemporaryDirectory() as folder:
        snapshotter = snapshotter_of(loop, coordinator, fleet, StateFolder(folder), 10)
        fleet.report(coordinator, loop.now)
        began = time.perf_counter()
        snapshotter.close()
        took = time.perf_counter() - began
        content = read_folder(StateFolder(folder), 64 * MB)
    loop.close()
    stored = content.record.backends.values() if content.record else ()
    links = sum(len(backend.links) for backend in stored)
    print(
        f"close: last snapshot of 1,000 backends x 10 zones, all of it new: {1e3 * took:.0f} ms, "
        f"{links} links"
    )


def measure_memory() -> None:
    """Resident memory over an hour with new names each second."""
    seen = {}

    def look(second: int) -> None:
        if second in MEMORY_LOOKS:
            gc.collect()
            seen[second] = memory_mb()

    with tempfile.TemporaryDirectory() as folder:
        played(folder, 30, 2, 3600, churn=1, look=look)
        size = folder_size(folder)
    print(
        "memory: 30 backends x 2 zones, a new name a second: "
        + ", ".join(f"{mb:.1f} MB at {second} s" for second, mb in seen.items())
        + f"; folder {size / 1e3:.0f} KB"
    )


MEASURES = {
    "open": measure_open,
    "bytes": measure_bytes,
    "stall": measure_stall,
    "close": measure_close,
    "memory": measure_memory,
}

if __name__ == "__main__":
    for what in sys.argv[1:] or MEASURES:
        MEASURES[what]()
