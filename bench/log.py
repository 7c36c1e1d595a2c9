"""Measure the time of a log line: structlog over orjson, as in the service, against orjson alone.

    python -m bench.log [LINES]

Rounds of the two logs alternate in one process, so that the machine's noise affects both. Prints the medians.
"""

import os
import statistics
import sys
import time
from collections.abc import Callable
from typing import Protocol

import orjson

from granitespool.net.log import UNREAD_MAX, VALUE_MAX, Log
from granitespool.units import MILLISECOND

ROUNDS = 9  # rounds of each log
LINES = 20_000  # default number of lines per round
FIELDS = {"backend": "s-5be2a07c", "status": "ok", "duration_ms": 12}  # of the most frequent event


class AnyLog(Protocol):
    """Attributes that both measured logs have."""

    unread: list[bytes]
    unread_size: int  # bytes
    dropped: int  # lines
    event: Callable[..., None]


class PlainLog:
    """Reference log that writes the same lines by orjson alone."""

    def __init__(self, clock: Callable[[], int], **common_fields: str) -> None:
        """Create an empty log; `clock` returns ns, `common_fields` are added to every line."""
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
    """Return the mean time of a line in microseconds."""
    started_at = time.perf_counter()
    for _ in range(lines):
        log.event("health_check", **FIELDS)
    elapsed_s = time.perf_counter() - started_at
    log.unread = []
    log.unread_size = 0
    log.dropped = 0
    return elapsed_s / lines * 1e6


def main(argv: list[str]) -> None:
    """Measure both logs and print their times; `argv` may contain the number of lines per round."""
    lines = int(argv[0]) if argv else LINES
    plain_log = PlainLog(time.time_ns, name="n0")
    service_log = Log(os.open(os.devnull, os.O_WRONLY), time.time_ns, name="n0")
    rounds = [(line_time(plain_log, lines), line_time(service_log, lines)) for _ in range(ROUNDS)]
    plain_us, service_us = (statistics.median(column) for column in zip(*rounds))
    print(
        f"a line: orjson alone {plain_us:.2f} us, structlog over orjson {service_us:.2f} us "
        f"({service_us / plain_us:.2f} times)"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
