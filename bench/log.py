"""Time of a log line: structlog over orjson, as the service has it, against the same line by orjson alone.

    python -m bench.log [LINES]

Both run in turns within one process, so that noise of the machine hits both; the median of the rounds is
told."""

import os
import statistics
import sys
import time

import orjson

from granitespool.net.log import MOST, MS, WORD, Log

ROUNDS = 9  # of each, in turns
LINES = 20_000  # of a round
FIELDS = {
    "backend": "s-5be2a07c",
    "status": "ok",
    "duration_ms": 12,
}  # the service's most frequent line, a probe's


class Plain:
    """The log's line as it was before structlog."""

    def __init__(self, clock, **always):
        self.clock, self.always, self.waiting, self.size, self.dropped = clock, always, [], 0, 0

    def event(self, name, **fields):
        fields = {key: value[-WORD:] if isinstance(value, str) else value for key, value in fields.items()}
        line = orjson.dumps(
            {"at_ms": self.clock() // MS, "event": name, **self.always, **fields},
            default=str,
            option=orjson.OPT_APPEND_NEWLINE,
        )
        if self.size + len(line) > MOST:
            self.dropped += 1
        else:
            self.waiting.append(line)
            self.size += len(line)


def timed(log, lines):
    begun = time.perf_counter()
    for _ in range(lines):
        log.event("health_check", **FIELDS)
    took = time.perf_counter() - begun
    log.waiting, log.size, log.dropped = [], 0, 0
    return took / lines * 1e6


def main(words):
    lines = int(words[0]) if words else LINES
    plain = Plain(time.time_ns, name="n0")
    now = Log(os.open(os.devnull, os.O_WRONLY), time.time_ns, name="n0")
    rounds = [(timed(plain, lines), timed(now, lines)) for _ in range(ROUNDS)]
    before, after = (statistics.median(column) for column in zip(*rounds))
    print(
        f"a line: orjson alone {before:.2f} us, structlog over orjson {after:.2f} us "
        f"({after / before:.2f} times)"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
