"""The log: one JSON line per event, rendered by structlog and orjson; writing never blocks the loop.

Sets the descriptor that it writes to non-blocking and restores its mode in `close`; it does not close the
descriptor. `docs/on-call.md` lists every event and its fields.
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

# Bytes that wait for the reader, about a thousand lines; further lines are dropped and counted.
UNREAD_MAX = 256 * 1024
# Lines of one rate-limited event in a second: enough to see which peers cause it and why.
LINES_PER_SECOND_MAX = 20
VALUE_MAX = 2000  # characters of a value that are kept: the end of a traceback
CLOSE_TIMEOUT = 0.1  # s that `close` waits for the reader of the last lines

# With the level NOTSET every event is written. The logger is stateless.
BoundLogger: Callable[..., Any] = structlog.make_filtering_bound_logger(logging.NOTSET)


class Log:
    """The log of one process: `event` renders a line, `flush` writes the rendered lines.

    structlog's global configuration is neither read nor changed.
    """

    def __init__(self, fd: int, clock: Callable[[], int], **common_fields: str) -> None:
        """Write to `fd`; `clock` returns Unix time in ns, and `common_fields` are in every line."""
        self.fd = fd
        self.clock = clock
        self.unread: list[bytes] = []
        self.unread_size = 0  # bytes
        self.dropped = 0  # lines dropped since the last `log_dropped`
        self.second = 0  # the clock's second that `lines_in_second` counts
        self.lines_in_second: dict[str, int] = {}  # lines by rate-limited event
        render = structlog.processors.JSONRenderer(
            orjson.dumps, default=str, option=orjson.OPT_APPEND_NEWLINE
        )
        self.event: Callable[..., None] = BoundLogger(self, [self._add_time, render], common_fields).info
        self.is_blocking = os.get_blocking(fd)
        os.set_blocking(fd, False)

    def _add_time(self, _logger: object, _method: str, fields: MutableMapping[str, Any]) -> dict[str, Any]:
        """Return the fields of a line, time and event first; only the end of a long text is kept."""
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

        At most `LINES_PER_SECOND_MAX` lines are written in a second; `suppressed` reports how many were not.
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
        except OSError:  # the reader has closed its end: the queued lines are lost, the service continues
            written = len(data)
        rest = data[written:]
        self.unread = [rest] if rest else []
        self.unread_size = len(rest)
        if self.dropped and not rest:
            dropped, self.dropped = self.dropped, 0
            self.event("log_dropped", lines=dropped)

    def close(self) -> None:
        """Write the last lines, waiting at most `CLOSE_TIMEOUT` for a slow reader."""
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        deadline = time.monotonic() + CLOSE_TIMEOUT
        self.flush()
        while self.unread and (remaining := deadline - time.monotonic()) > 0 and poll.poll(remaining * 1000):
            self.flush()
        os.set_blocking(self.fd, self.is_blocking)
