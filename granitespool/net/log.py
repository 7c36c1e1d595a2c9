"""The log: one JSON line an event, by structlog over orjson; it never blocks the loop.

Owns the descriptor it writes to only so far as its blocking mode, which `close` puts back. `docs/on-call.md`
lists every event and its fields."""

import logging
import os
import select
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import orjson
import structlog

from granitespool.units import MILLISECOND, SECOND

UNREAD_MAX = (
    256 * 1024
)  # bytes that wait for a reader: some thousand lines; later ones are counted and dropped
LINES_PER_SECOND_MAX = 20  # of one event that peers can cause at will: enough to see who and why
VALUE_MAX = 2000  # characters of a value that are kept: a traceback's end
CLOSE_TIMEOUT = 0.1  # s that the last lines wait for their reader

BoundLogger: Callable[..., Any] = structlog.make_filtering_bound_logger(
    logging.NOTSET
)  # every event is a line; it holds no state


class Log:
    """`event` renders a line, `flush` writes; structlog's own configuration is neither read nor set."""

    def __init__(self, fd: int, clock: Callable[[], int], **common_fields: str) -> None:
        """`clock` gives ns of Unix time; `common_fields` are in every line."""
        self.fd = fd
        self.clock = clock
        self.unread: list[bytes] = []
        self.unread_size = 0  # bytes
        self.dropped = 0  # lines, since the last that told of them
        self.second = 0  # of the clock
        self.lines_in_second: dict[str, int] = {}  # event -> how often it came in that second
        render = structlog.processors.JSONRenderer(
            orjson.dumps, default=str, option=orjson.OPT_APPEND_NEWLINE
        )
        self.event: Callable[..., None] = BoundLogger(self, [self._stamped, render], common_fields).info
        self.is_blocking = os.get_blocking(fd)
        os.set_blocking(fd, False)

    def _stamped(self, _logger: object, _method: str, fields: MutableMapping[str, Any]) -> dict[str, Any]:
        """When and what come first; a long text keeps its end."""
        line = {"at_ms": self.clock() // MILLISECOND, "event": fields.pop("event")}
        for key, value in fields.items():
            line[key] = value[-VALUE_MAX:] if isinstance(value, str) else value
        return line

    def info(self, line: bytes) -> None:
        """Takes a rendered line from structlog, as far as there is room for it."""
        if self.unread_size + len(line) > UNREAD_MAX:
            self.dropped += 1
        else:
            self.unread.append(line)
            self.unread_size += len(line)

    def rate_limited_event(self, name: str, /, **fields: object) -> None:
        """An event that peers can cause at will: some lines of it a second, then only their number."""
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
        """Writes what the reader takes at once; called at the end of each turn."""
        if not self.unread:
            return
        data = b"".join(self.unread)
        try:
            written = os.write(self.fd, data)
        except BlockingIOError:
            written = 0
        except OSError:  # nobody reads any more: what waits is lost, the service goes on
            written = len(data)
        rest = data[written:]
        self.unread = [rest] if rest else []
        self.unread_size = len(rest)
        if self.dropped and not rest:
            dropped, self.dropped = self.dropped, 0
            self.event("log_dropped", lines=dropped)

    def close(self) -> None:
        """Writes the last lines; a slow reader is waited for, `CLOSE_TIMEOUT` at most."""
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        give_up_at = time.monotonic() + CLOSE_TIMEOUT
        self.flush()
        while self.unread and (left := give_up_at - time.monotonic()) > 0 and poll.poll(left * 1000):
            self.flush()
        os.set_blocking(self.fd, self.is_blocking)
