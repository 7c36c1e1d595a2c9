"""The log: one JSON line per event, rendered by structlog and orjson; writing never blocks the loop.

The log sets its descriptor to non-blocking mode. `close` restores the former mode and leaves the descriptor
open. `docs/on-call.md` lists every event and its fields.
"""

import logging
import os
import select
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import orjson
import structlog

from granitespool.units import MILLISECOND, SECOND

# Bytes that may wait for the log's reader: about a thousand lines. Further lines are dropped and counted.
UNREAD_MAX = 256 * 1024
# Log lines of one rate-limited event in a second: enough to see which peers cause the event, and why.
LINES_PER_SECOND_MAX = 20
# Characters of a value. Only the end of a longer value is kept, because a traceback ends with its error.
VALUE_MAX = 2000
CLOSE_TIMEOUT = 0.1  # s for which `close` waits for the log's reader

# The level NOTSET disables filtering, so every event is written. The logger is stateless.
BoundLogger: Callable[..., Any] = structlog.make_filtering_bound_logger(logging.NOTSET)


class Log:
    """The log of one process: `event` renders and queues a line, `flush` writes the queued lines.

    structlog's global configuration is neither read nor changed.
    """

    def __init__(self, fd: int, clock: Callable[[], int], **common_fields: str) -> None:
        """Create a log that writes to `fd`; `clock` returns Unix time in ns.

        `common_fields` are added to every line.
        """
        self.fd = fd
        self.clock = clock
        self.unread: list[bytes] = []
        self.unread_size = 0  # bytes
        self.dropped = 0  # lines dropped since the last `log_dropped`
        self.second = 0  # Unix time in s, the second to which `lines_in_second` applies
        self.lines_in_second: dict[str, int] = {}  # number of lines by name of a rate-limited event
        render = structlog.processors.JSONRenderer(
            orjson.dumps, default=str, option=orjson.OPT_APPEND_NEWLINE
        )
        self.event: Callable[..., None] = BoundLogger(self, [self._add_time, render], common_fields).info
        self.is_blocking = os.get_blocking(fd)
        os.set_blocking(fd, False)

    def _add_time(self, _logger: object, _method: str, fields: MutableMapping[str, Any]) -> dict[str, Any]:
        """Return the fields of a line in order: the time, the event, the rest; long strings are shortened."""
        line = {"at_ms": self.clock() // MILLISECOND, "event": fields.pop("event")}
        for key, value in fields.items():
            line[key] = value[-VALUE_MAX:] if isinstance(value, str) else value
        return line

    def info(self, line: bytes) -> None:
        """Queue a rendered line, or count it as dropped if `UNREAD_MAX` is reached; called by structlog."""
        if self.unread_size + len(line) > UNREAD_MAX:
            self.dropped += 1
        else:
            self.unread.append(line)
            self.unread_size += len(line)

    def rate_limited_event(self, name: str, /, **fields: object) -> None:
        """Write an event that peers can cause any number of times.

        At most `LINES_PER_SECOND_MAX` lines are written in a second. The event `suppressed` then reports the
        number of lines that were not written.
        """
        second = self.clock() // SECOND
        if second != self.second:
            self._begin_second(second)
        self.lines_in_second[name] = self.lines_in_second.get(name, 0) + 1
        if self.lines_in_second[name] <= LINES_PER_SECOND_MAX:
            self.event(name, **fields)

    def _begin_second(self, second: int) -> None:
        suppressed = {
            event: lines - LINES_PER_SECOND_MAX
            for event, lines in self.lines_in_second.items()
            if lines > LINES_PER_SECOND_MAX
        }
        self.second = second
        self.lines_in_second = {}
        if suppressed:
            self.event("suppressed", events=suppressed)

    def flush(self) -> None:
        """Write queued lines without blocking; called at the end of each turn."""
        if not self.unread:
            return
        data = b"".join(self.unread)
        try:
            written = os.write(self.fd, data)
        except BlockingIOError:
            written = 0
        except OSError:  # the reader has closed its end: drop the queued lines and continue
            written = len(data)
        rest = data[written:]
        self.unread = [rest] if rest else []
        self.unread_size = len(rest)
        if self.dropped and not rest:
            dropped, self.dropped = self.dropped, 0
            self.event("log_dropped", lines=dropped)

    def close(self) -> None:
        """Write the queued lines, and wait at most `CLOSE_TIMEOUT` for a slow reader."""
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        deadline = time.monotonic() + CLOSE_TIMEOUT
        self.flush()
        while self.unread and (remaining := deadline - time.monotonic()) > 0 and poll.poll(remaining * 1000):
            self.flush()
        os.set_blocking(self.fd, self.is_blocking)
