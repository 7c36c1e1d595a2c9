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

from granitespool.coordinator import Coordinator
from granitespool.endpoints import Endpoint, Phase
from granitespool.net.loop import Loop
from granitespool.operator_settings import State
from granitespool.planner.events import EndpointListUpdate, ListForm, LoadReport
from granitespool.settings import RequestClass, Settings
from granitespool.state import record, restore_policy
from granitespool.state.disk import StateFolder
from granitespool.state.record import Clocks
from granitespool.state.recovery import Recovery
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


def settings(zones):
    return Settings(
        zones=[f"z{k}" for k in range(zones)], classes=[RequestClass(name="pay")], warm_up_time=10 * SECOND
    )


class Fleet:
    """Backends that report each second, a third of them slow, one in ten failing by a tenth, means with
    noise."""

    def __init__(self, backends, zones, seed=1):
        self.random, self.zones, self.made = random.Random(seed), [f"z{k}" for k in range(zones)], 0
        self.names, self.addresses, self.index = {}, {}, 0
        for _ in range(backends):
            self.add()

    def add(self):
        name = f"s-{self.made:08x}"
        self.names[name] = 40_000_000 * (3 if self.made % 3 == 0 else 1), self.made % 10 == 1
        self.addresses[name] = "127.0.0.1", 8081
        self.made += 1
        return name

    def entry(self, name, phase="ready"):
        return Endpoint(name, "z0", "m", 0, Phase(phase), 1.0, 0)

    def list(self, coordinator, now):
        coordinator.report(
            now, EndpointListUpdate(form=ListForm.RESTORED, entries=[self.entry(name) for name in self.names])
        )

    def report(self, coordinator, now, part=slice(None)):
        """One report of each zone about each backend."""
        for name, (mean, fails) in list(self.names.items())[part]:
            for zone in self.zones:
                tries = self.random.randint(5, 15)
                failed = sum(self.random.random() < 0.1 for _ in range(tries)) if fails else 0
                coordinator.report(
                    now,
                    LoadReport(
                        zone=zone,
                        backend=name,
                        attempts=tries,
                        failures=failed,
                        mean=int(mean * self.random.gauss(1, 0.1)),
                        window=SECOND,
                        load={},
                    ),
                )


def memory_mb():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / MB


def identity(zones):
    return restore_policy.Identity("n0", ["pay"], [f"z{k}" for k in range(zones)])


def header(zones, now):
    return lambda: record.Header(record.FORMAT_VERSION, *identity(zones), now, 0, 1, PROGRAM)


def played(folder, backends, zones, seconds, churn=0, look=None):
    """Plays so many virtual seconds with a sweep each half second; returns (coordinator, fleet, store)."""
    fleet, coordinator = Fleet(backends, zones), Coordinator(settings(zones), 1, BEGAN)
    recovery = Recovery(State(folder="x"), identity(zones))
    store = Store(StateFolder(folder), 64 * MB, header(zones, BEGAN))
    fleet.list(coordinator, BEGAN)
    for second in range(seconds):
        now = BEGAN + second * SECOND
        for _ in range(churn):
            new, old = fleet.add(), next(iter(fleet.names))
            del fleet.names[old]
            coordinator.report(
                now,
                EndpointListUpdate(
                    form=ListForm.CHANGES,
                    entries=[{**fleet.entry(new), "started": now}, fleet.entry(old, "gone")],
                ),
            )
        fleet.report(coordinator, now)
        for half in (now, now + SECOND // 2):
            coordinator.tick(half)
            for party in coordinator.parties():
                while coordinator.pick(party) is not None:
                    pass
            names = list(coordinator.listed())
            changes = recovery.collect_changes(
                coordinator, fleet.addresses, fleet.index, half, names, is_last=True
            )
            if changes:
                store.append(Clocks(half, half), changes)
        if look:
            look(second)
    return coordinator, fleet, store


def measure_open():
    with tempfile.TemporaryDirectory() as folder:
        played(folder, 1000, 10, 15)
        size, gap = sum(os.stat(entry).st_size for entry in os.scandir(folder)), SECOND
        coordinator, now = Coordinator(settings(10), 1, BEGAN + 16 * SECOND), BEGAN + 15 * SECOND + gap
        begun = time.perf_counter()
        content = read_folder(StateFolder(folder), 64 * MB)
        read = time.perf_counter()
        recovery = Recovery(State(folder="x"), identity(10))
        recovery.load(content.state, content.record, None, Clocks(now, now))
        carried = time.perf_counter()
        known = recovery.choose_list({"index": -1})
        listed = time.perf_counter()
        coordinator.report(
            now,
            EndpointListUpdate(
                form=ListForm.RESTORED,
                entries=[
                    Endpoint(each["name"], each["zone"], each["type"], 0, Phase.READY, 1.0, 0)
                    for each in known["endpoints"]
                ],
            ),
        )
        told = time.perf_counter()
        restored = recovery.restore(coordinator, now, Clocks(now, now))
        done = time.perf_counter()
    print(
        f"open: 1,000 backends x 10 zones, {size / 1e6:.2f} MB, {content.state.frame_count} frames: read "
        f"{1e3 * (read - begun):.0f} ms, checked and carried {1e3 * (carried - read):.0f} ms, recalled "
        f"{1e3 * (done - told):.0f} ms ({restored.link_count} links); "
        f"the list itself {1e3 * (told - listed):.0f} ms"
    )


def measure_bytes():
    for backends, zones in ((30, 2), (120, 4), (1000, 10)):
        with tempfile.TemporaryDirectory() as folder:
            *_, store = played(folder, backends, zones, BYTES_FOR)
            size = sum(os.stat(entry).st_size for entry in os.scandir(folder))
            print(
                f"bytes: {backends} backends x {zones} zones, {store.bytes_written / BYTES_FOR / 1e3:.1f} KB "
                f"a second, folder {size / 1e3:.0f} KB after {BYTES_FOR} s"
            )


class SlowFolder(StateFolder):
    """A disk whose every sync takes 200 ms."""

    def sync(self, name):
        time.sleep(SYNC)
        super().sync(name)

    def sync_names(self):
        time.sleep(SYNC)
        super().sync_names()


class Quiet:
    def event(self, *_, **__):
        """No log is measured here."""


class Listed:
    def __init__(self, fleet):
        self.named, self.addresses, self.index = True, fleet.addresses, 1


def stalls(backends, zones, folder):
    """(longest, 99.9 % and mean turn in ms, turns) of a loop in real time that hears every link once a
    second."""
    loop, fleet = Loop(print), Fleet(backends, zones)
    coordinator = Coordinator(settings(zones), 1, loop.now)
    fleet.list(coordinator, loop.now)
    snapshotter = None
    if folder:
        snapshotter = Snapshotter(
            loop,
            Quiet(),
            State(folder=folder, every_ms=1000),
            "n0",
            settings(zones),
            time.monotonic_ns,
            SlowFolder(folder),
        )
        snapshotter.start(coordinator, Listed(fleet))
    pieces, times, end = 50, [], loop.now + STALL_FOR * SECOND

    def reports():
        while True:
            for k in range(pieces):
                fleet.report(coordinator, loop.now, slice(k, None, pieces))
                yield None, 0, loop.now + SECOND // pieces

    loop.spawn(reports())
    gc.collect()
    gc.disable()
    while loop.now < end:
        loop.turn(coordinator.tick, 0)
        begun = time.perf_counter()
        loop.turn(coordinator.tick, 2_000_000)
        times.append(1e3 * (time.perf_counter() - begun))
    gc.enable()
    if snapshotter:
        snapshotter.close()
    loop.close()
    times.sort()
    return times[-1], times[int(len(times) * 0.999)], sum(times) / len(times), len(times)


def measure_stall():
    for backends, zones in ((120, 4), (500, 4)):
        without = stalls(backends, zones, None)
        with tempfile.TemporaryDirectory() as folder:
            with_store = stalls(backends, zones, folder)
        print(
            f"stall: {backends} backends x {zones} zones, each sync {SYNC * 1e3:.0f} ms: longest turn "
            f"{without[0]:.1f} ms without a store, {with_store[0]:.1f} ms with; 99.9 % "
            f"{without[1]:.1f} and {with_store[1]:.1f} ms; mean {without[2]:.2f} and "
            f"{with_store[2]:.2f} ms"
        )


def measure_close():
    loop, fleet = Loop(print), Fleet(1000, 10)
    coordinator = Coordinator(settings(10), 1, loop.now)
    fleet.list(coordinator, loop.now)
    with tempfile.TemporaryDirectory() as folder:
        snapshotter = Snapshotter(loop, Quiet(), State(folder=folder), "n0", settings(10), time.monotonic_ns)
        snapshotter.start(coordinator, Listed(fleet))
        fleet.report(coordinator, loop.now)
        begun = time.perf_counter()
        snapshotter.close()
        took = time.perf_counter() - begun
        content = read_folder(StateFolder(folder), 64 * MB)
    loop.close()
    stored = content.record.backends.values() if content.record else ()
    links = sum(len(backend.links) for backend in stored)
    print(
        f"close: last snapshot of 1,000 backends x 10 zones, all of it new: {1e3 * took:.0f} ms, "
        f"{links} links"
    )


def measure_memory():
    seen = {}

    def look(second):
        if second in (300, 1200, 2400, 3599):
            gc.collect()
            seen[second] = memory_mb()

    with tempfile.TemporaryDirectory() as folder:
        played(folder, 30, 2, 3600, churn=1, look=look)
        size = sum(os.stat(entry).st_size for entry in os.scandir(folder))
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
