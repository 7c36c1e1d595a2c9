"""A process of many hollow coordinators: `python -m granitespool.scale.hollow.process SPEC`.

SPEC is a JSON file that the run writes (`Spec`). Each line on standard output is a `ProcessStatus`: the
first once all coordinators listen, then one each second, and a last one when SIGTERM ends the process.
"""

import os
import signal
import sys
from collections.abc import Generator, Iterator
from pathlib import Path

import msgspec

from granitespool.net.loop import Loop
from granitespool.scale.hollow.coordinator import HollowCoordinator
from granitespool.scale.hollow.counts import Traffic
from granitespool.scale.hollow.profile import Profile
from granitespool.units import SECOND

STATUS_INTERVAL = SECOND  # ns between status lines


class Spec(msgspec.Struct, frozen=True, kw_only=True):
    """The input of one process: its coordinators, their discovery agent and their profile."""

    names: list[str]
    discovery: tuple[str, int]
    profile: Profile


class ProcessStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The counts of all coordinators of the process so far."""

    addresses: list[tuple[str, int]]
    traffic: dict[str, Traffic]  # by direction and kind, such as "in joined"
    watches_ended: int
    listed: int  # coordinators that have an endpoint list
    failures: int  # coroutines that failed


class HollowProcess:
    """The coordinators of one process, on one loop."""

    def __init__(self, spec: Spec) -> None:
        self.loop = Loop(self._coroutine_failed)
        self.failures = 0
        self.coordinators = [
            HollowCoordinator(self.loop, name, spec.discovery, spec.profile) for name in spec.names
        ]
        self.loop.spawn(self._write_regularly())

    def run(self) -> None:
        """Run until SIGTERM."""
        signal.signal(signal.SIGTERM, lambda *_: self.loop.stop())
        try:
            self.loop.run(lambda _: None)
            self._write()
        finally:
            self.loop.close()

    def _coroutine_failed(self, error: Exception) -> None:
        self.failures += 1
        print(f"hollow: {error!r}", file=sys.stderr)

    def _write_regularly(self) -> Generator[tuple[None, int, int], int, None]:
        while True:
            self._write()
            yield None, 0, self.loop.now + STATUS_INTERVAL

    def _write(self) -> None:
        status = ProcessStatus(
            addresses=[coordinator.address for coordinator in self.coordinators],
            traffic=self._traffic(),
            watches_ended=sum(coordinator.counts.watches_ended for coordinator in self.coordinators),
            listed=sum(coordinator.states.any_ready() for coordinator in self.coordinators),
            failures=self.failures,
        )
        os.write(sys.stdout.fileno(), msgspec.json.encode(status) + b"\n")

    def _traffic(self) -> dict[str, Traffic]:
        totals: dict[str, Traffic] = {}
        for coordinator in self.coordinators:
            for kind, traffic in _by_direction(coordinator):
                totals.setdefault(kind, Traffic()).add_all(traffic)
        return totals


def _by_direction(coordinator: HollowCoordinator) -> Iterator[tuple[str, Traffic]]:
    """Return a coordinator's counts by direction and kind, such as "in joined"."""
    for received, traffic in coordinator.counts.received.items():
        yield f"in {received}", traffic
    for sent, traffic in coordinator.counts.sent.items():
        yield f"out {sent}", traffic


def main(arguments: list[str]) -> int:
    """Run the process of a spec; return the exit code, which is 1 if a coroutine failed."""
    spec = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=Spec)
    process = HollowProcess(spec)
    process.run()
    return 1 if process.failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
