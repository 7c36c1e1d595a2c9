"""The log: one JSON line an event, by structlog over orjson; it never blocks the loop.

Owns the descriptor it writes to only so far as its blocking mode, which `close` puts back."""

import logging
import os
import select
import time

import orjson
import structlog

MOST = 256 * 1024  # bytes that wait for a reader: some thousand lines; later ones are counted and dropped
OFTEN = 20  # lines a second of one event that others can cause at will: enough to see who and why
WORD = 2000  # characters of a value that are kept: a traceback's end
MS = 1_000_000  # ns in a millisecond
LAST = 0.1  # s that the last lines wait for their reader

Bound = structlog.make_filtering_bound_logger(logging.NOTSET)  # every event is a line; it holds no state


class Log:
    """`event` renders a line, `flush` writes; structlog's own configuration is neither read nor set."""

    def __init__(self, fd, clock, **always):
        self.fd, self.clock, self.waiting, self.size, self.dropped = fd, clock, [], 0, 0
        self.second, self.told = 0, {}  # of the clock; event -> how often it came in that second
        render = structlog.processors.JSONRenderer(
            orjson.dumps, default=str, option=orjson.OPT_APPEND_NEWLINE
        )
        self.event = Bound(self, [self._stamped, render], always).info
        self.blocking = os.get_blocking(fd)
        os.set_blocking(fd, False)

    def _stamped(self, _, __, fields):
        """When and what come first; a long word keeps its end."""
        line = {"at_ms": self.clock() // MS, "event": fields.pop("event")}
        for key, value in fields.items():
            line[key] = value[-WORD:] if isinstance(value, str) else value
        return line

    def info(self, line):
        """structlog's way out: takes a rendered line, as far as there is room for it."""
        if self.size + len(line) > MOST:
            self.dropped += 1
        else:
            self.waiting.append(line)
            self.size += len(line)

    def often(self, name, **fields):
        """An event that others can cause at will: some lines of it a second, then only their number."""
        second = self.clock() // 1_000_000_000
        if second != self.second:
            more = {event: times - OFTEN for event, times in self.told.items() if times > OFTEN}
            self.second, self.told = second, {}
            if more:
                self.event("suppressed", events=more)
        self.told[name] = self.told.get(name, 0) + 1
        if self.told[name] <= OFTEN:
            self.event(name, **fields)

    def flush(self):
        """Writes what the reader takes at once; called at the end of each turn."""
        if not self.waiting:
            return
        data = b"".join(self.waiting)
        try:
            written = os.write(self.fd, data)
        except BlockingIOError:
            written = 0
        except OSError:  # nobody reads any more: what waits is lost, the service goes on
            written = len(data)
        rest = data[written:]
        self.waiting, self.size = [rest] if rest else [], len(rest)
        if self.dropped and not rest:
            dropped, self.dropped = self.dropped, 0
            self.event("log_dropped", lines=dropped)

    def close(self):
        """Writes the last lines; who reads slowly is waited for a moment, and who reads nothing no longer."""
        poll, until = select.poll(), time.monotonic() + LAST
        poll.register(self.fd, select.POLLOUT)
        self.flush()
        while self.waiting and (left := until - time.monotonic()) > 0 and poll.poll(left * 1000):
            self.flush()
        os.set_blocking(self.fd, self.blocking)
