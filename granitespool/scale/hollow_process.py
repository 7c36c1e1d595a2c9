"""A process of many hollow coordinators: `python -m granitespool.scale.hollow_process SPEC`.

SPEC is a JSON file that the runner writes (`Spec`). Each line on standard output is a `Told`: the first once
all listen, then one each second, and a last one when SIGTERM ends the process."""

import os
import signal
import sys
from collections.abc import Generator

import msgspec

from granitespool.net.loop import SECOND, Loop
from granitespool.scale.hollow import HollowCoordinator, Profile, Traffic

TELL_EVERY = SECOND  # ns between lines


class Spec(msgspec.Struct, frozen=True, kw_only=True):
    """What one process is to do."""

    names: list[str]
    discovery: tuple[str, int]
    profile: Profile


class Told(msgspec.Struct, frozen=True, kw_only=True):
    """What all coordinators of the process have done so far."""

    addresses: list[tuple[str, int]]
    traffic: dict[str, Traffic]  # "in joined" -> what came
    watches_ended: int
    listed: int  # coordinators that hold a list
    failures: int  # coroutines that failed


class HollowProcess:
    """The coordinators of one process, on one loop."""

    def __init__(self, spec: Spec) -> None:
        self.loop = Loop(self._failed)
        self.failures = 0
        self.coordinators = [
            HollowCoordinator(self.loop, name, spec.discovery, spec.profile) for name in spec.names
        ]
        self.loop.spawn(self._tell())

    def run(self) -> None:
        """Until SIGTERM."""
        signal.signal(signal.SIGTERM, lambda *_: self.loop.stop())
        try:
            self.loop.run(lambda now: None)
            self._write()
        finally:
            self.loop.close()

    def _failed(self, error: Exception) -> None:
        self.failures += 1
        print(f"hollow: {error!r}", file=sys.stderr)

    def _tell(self) -> Generator[tuple[None, int, int], int, None]:
        while True:
            self._write()
            yield None, 0, self.loop.now + TELL_EVERY

    def _write(self) -> None:
        told = Told(
            addresses=[each.address for each in self.coordinators],
            traffic=self._traffic(),
            watches_ended=sum(each.counts.watches_ended for each in self.coordinators),
            listed=sum(any(each.states.ready()) for each in self.coordinators),
            failures=self.failures,
        )
        os.write(sys.stdout.fileno(), msgspec.json.encode(told) + b"\n")

    def _traffic(self) -> dict[str, Traffic]:
        found: dict[str, Traffic] = {}
        for coordinator in self.coordinators:
            counts = coordinator.counts
            for direction, kinds in (("in", counts.received), ("out", counts.sent)):
                for kind, traffic in kinds.items():
                    both = found.setdefault(f"{direction} {kind}", Traffic())
                    both.messages += traffic.messages
                    both.bytes += traffic.bytes
        return found


def main(words: list[str]) -> int:
    """Reads the spec and runs; the exit code is 1 where a coroutine failed."""
    with open(words[0], "rb") as file:
        spec = msgspec.json.decode(file.read(), type=Spec)
    process = HollowProcess(spec)
    process.run()
    return 1 if process.failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
