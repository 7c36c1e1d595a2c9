"""Time of a log line: structlog over orjson, as the service has it, against the same line by orjson alone.

    python -m bench.log [LINES]

Both run in turns within one process, so that noise of the machine hits both; the median of the rounds is
printed."""

import os
import statistics
import sys
import time
from collections.abc import Callable
from typing import Protocol

import orjson

from granitespool.net.log import UNREAD_MAX, VALUE_MAX, Log
from granitespool.units import MILLISECOND

ROUNDS = 9  # of each, in turns
LINES = 20_000  # of a round
FIELDS = {"backend": "s-5be2a07c", "status": "ok", "duration_ms": 12}  # the most frequent line's


class AnyLog(Protocol):
    """What both logs have in common."""

    unread: list[bytes]
    unread_size: int  # bytes
    dropped: int  # lines
    event: Callable[..., None]


class PlainLog:
    """The log's line as it was before structlog."""

    def __init__(self, clock: Callable[[], int], **common_fields: str) -> None:
        """`clock` gives ns; `common_fields` are in every line."""
        self.clock = clock
        self.common_fields = common_fields
        self.unread: list[bytes] = []
        self.unread_size = 0
        self.dropped = 0
        self.event: Callable[..., None] = self._event

    def _event(self, name: str, **fields: object) -> None:
        shortened = {
            key: value[-VALUE_MAX:] if isinstance(value, str) else value for key, value in fields.items()
        }
        line = orjson.dumps(
            {"at_ms": self.clock() // MILLISECOND, "event": name, **self.common_fields, **shortened},
            default=str,
            option=orjson.OPT_APPEND_NEWLINE,
        )
        if self.unread_size + len(line) > UNREAD_MAX:
            self.dropped += 1
        else:
            self.unread.append(line)
            self.unread_size += len(line)


def line_time(log: AnyLog, lines: int) -> float:
    """Microseconds of a line, the mean of so many."""
    begun = time.perf_counter()
    for _ in range(lines):
        log.event("health_check", **FIELDS)
    took = time.perf_counter() - begun
    log.unread = []
    log.unread_size = 0
    log.dropped = 0
    return took / lines * 1e6


def main(words: list[str]) -> None:
    """Measures and prints; `words` may hold the number of lines."""
    lines = int(words[0]) if words else LINES
    plain = PlainLog(time.time_ns, name="n0")
    service = Log(os.open(os.devnull, os.O_WRONLY), time.time_ns, name="n0")
    rounds = [(line_time(plain, lines), line_time(service, lines)) for _ in range(ROUNDS)]
    before, after = (statistics.median(column) for column in zip(*rounds))
    print(
        f"a line: orjson alone {before:.2f} us, structlog over orjson {after:.2f} us "
        f"({after / before:.2f} times)"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
