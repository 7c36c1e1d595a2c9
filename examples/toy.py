"""A toy deployment for one coordinator: discovery, three backends and one proxy, all on this machine.

    terminal 1:  make run      # the coordinator, with examples/config.json
    terminal 2:  make toy      # this file

The proxy joins, prints each table it is sent, and reports half of its attempts at one backend as failed; then
discovery tells that another backend drains. It ends by itself after eight seconds. No load is made: what the
proxy reports is made up. The parts are coroutines on the project's own loop, as a program that embeds it
would have them."""

import json
import socket
import sys
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

from granitespool.net.buffers import BufferPool
from granitespool.net.client import dial, receive, send
from granitespool.net.config import Address, parse_address
from granitespool.net.frames import MESSAGE_MAX, Message, Reader, frame
from granitespool.net.loop import IN, SECOND, Coroutine, Loop

CONFIG_PATH = Path(__file__).parent / "config.json"
DRAIN_AT = 4 * SECOND  # ns after the start
END_AT = 8 * SECOND  # ns after the start
WATCH_PERIOD = 2 * SECOND  # ns between lines of the watch
WATCH_TICK = SECOND // 10  # ns that the watch waits at least
REPORT_PERIOD = SECOND  # ns
FOREVER = 3600 * SECOND  # ns
DRAINING_BACKEND = 1  # place in the list
FAILING_BACKEND = 2
ATTEMPTS = 10  # a second at each backend
FAILURES = 5  # of those at the failing backend
BUFFERS = 64  # of the proxy
LOAD_REPORT = b"inflight=7,queue=2,util=0.61"


class Toy:
    """Everything around the coordinator; `exit_code` is 0 once the drain was seen to work."""

    def __init__(self, config: Mapping[str, Any]) -> None:
        """Listens at once; raises OSError where an address is taken."""
        self.config = config
        self.backends: list[dict[str, Any]] = config["known"]["endpoints"]
        self.draining = self.backends[DRAINING_BACKEND]["name"]
        self.failing = self.backends[FAILING_BACKEND]["name"]
        self.loop = Loop(self.report_failure)
        self.begun_at = self.loop.now
        self.table: dict[str, float] = {}  # the proxy's: backend -> weight
        self.tables_seen = 0
        self.exit_code = 0
        self.loop.spawn(self.accept(parse_address(config["discovery"]), self.serve_watch))
        for backend in self.backends:
            self.loop.spawn(self.accept(parse_address(backend["address"]), self.serve_load_report))
        self.loop.spawn(self.run_proxy())

    @property
    def elapsed(self) -> int:
        """Time since the start, ns."""
        return self.loop.now - self.begun_at

    def run(self) -> int:
        """Runs to the end; returns the exit code."""
        self.loop.run(lambda now: now + FOREVER)
        self.loop.close()
        return self.exit_code

    def say(self, text: str) -> None:
        """Prints a line with the time."""
        print(f"{self.elapsed / SECOND:5.2f} s  {text}", flush=True)

    def report_failure(self, error: Exception) -> None:
        """Prints why a part failed, and ends."""
        text = str(error)
        if isinstance(error, ConnectionRefusedError):
            text = f"no coordinator listens on {self.config['listen']}: start it with `make run`"
        print(f"toy: {text}", file=sys.stderr)
        self.exit_code = 1
        self.loop.stop()

    def accept(self, where: Address, serve: Callable[[socket.socket], Coroutine]) -> Coroutine:
        """Serves each connection at an address."""
        with socket.create_server(where) as listener:
            listener.setblocking(False)
            while True:
                yield listener.fileno(), IN, None
                sock, _ = listener.accept()
                sock.setblocking(False)
                self.loop.spawn(serve(sock))

    # Discovery and backends

    def serve_watch(self, sock: socket.socket) -> Coroutine:
        """A watch: an empty line each two seconds, and one change."""
        with sock:
            yield from receive(sock, self.loop.now + SECOND)
            yield from send(sock, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", None)
            try:
                yield from self.send_lines(sock)
            except OSError:
                return  # the coordinator has ended

    def send_lines(self, sock: socket.socket) -> Coroutine:
        """The lines of a watch, for ever."""
        has_told = False
        while True:
            wait = WATCH_PERIOD if has_told else max(WATCH_TICK, DRAIN_AT - self.elapsed)
            yield None, 0, self.loop.now + min(wait, WATCH_PERIOD)
            line = b"\n"
            if not has_told and self.elapsed >= DRAIN_AT:
                has_told = True
                line = self.drain_line()
            yield from send(sock, b"%x\r\n%s\r\n" % (len(line), line), None)

    def drain_line(self) -> bytes:
        """The change of the list that has a backend drain."""
        self.say(f"discovery tells that {self.draining} drains")
        entry = {**self.backends[DRAINING_BACKEND], "status": "draining"}
        return json.dumps({"index": 2, "snapshot": False, "endpoints": [entry]}).encode() + b"\n"

    def serve_load_report(self, sock: socket.socket) -> Coroutine:
        """A backend's answer to a health check."""
        with sock:
            yield from receive(sock, self.loop.now + SECOND)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LOAD_REPORT)
            yield from send(sock, head + LOAD_REPORT, None)

    # The proxy

    def run_proxy(self) -> Coroutine:
        """Joins, applies what is ordered and reports each second, until the end."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
            yield from dial(sock, parse_address(self.config["listen"]), self.loop.now + SECOND)
            joining = {"type": "joined", "node": 0, "locality": "north", "w": 20.0, "cold": True}
            yield from send(sock, frame(joining), None)
            self.say("the proxy joined")
            yield from self.exchange(sock)
        is_drained = self.draining not in self.table
        where = "out of the table" if is_drained else "still in the table"
        self.say(f"the end: {self.tables_seen} tables came, {self.draining} is {where}")
        self.exit_code = 0 if self.tables_seen and is_drained else 1
        self.loop.stop()

    def exchange(self, sock: socket.socket) -> Coroutine:
        """Reads orders and writes reports; raises OSError where the coordinator ends the stream."""
        reader = Reader(BufferPool(BUFFERS), MESSAGE_MAX)
        reported_at = self.loop.now
        while self.elapsed < END_AT:
            if self.loop.now - reported_at >= REPORT_PERIOD:
                reported_at = self.loop.now
                yield from send(sock, b"".join(self.reports()), None)
            if (yield sock.fileno(), IN, reported_at + REPORT_PERIOD):
                view = reader.free_space()
                assert view is not None, "a second's orders fit into the buffers"
                size = sock.recv_into(view)
                if not size:
                    raise OSError("the coordinator ended the stream")
                reader.received(size)
                for message in reader.messages():
                    yield from send(sock, self.apply(message), None)
        reader.close()

    def apply(self, message: Message) -> bytes:
        """Applies an order; returns the answer to its mark, b"" where it has none."""
        if message.get("whole"):
            self.table = {}
        self.table.update(message.get("lines", ()))
        self.table = {backend: weight for backend, weight in self.table.items() if weight}
        if "lines" in message:
            self.tables_seen += 1
            entries = (f"{backend} {weight:g}" for backend, weight in sorted(self.table.items()))
            self.say("table: " + "  ".join(entries))
        if "level" in message:
            classes = ", ".join(message.get("classes", ["all classes"]))
            self.say(f"level {message['level']:g}, retry {message['retry']} for {classes}")
        if "ticket" not in message:
            return b""
        return frame({"type": "applied", "node": 0, "nonce": message["ticket"], "latency": 1.0})

    def reports(self) -> Iterator[bytes]:
        """What the proxy observed in a second, made up."""
        requests = ATTEMPTS * len(self.table)
        usage = {"node": 0, "route": "pay", "total": requests, "errors": 0, "interval": 1000.0}
        yield frame({"type": "usage", **usage})
        for backend in self.table:
            yield frame(
                {
                    "type": "heard",
                    "locality": "north",
                    "endpoint": backend,
                    "total": ATTEMPTS,
                    "errors": FAILURES if backend == self.failing else 0,
                    "rtt": 40.0,
                    "interval": 1000.0,
                    "metrics": {"util": 0.4},
                }
            )


if __name__ == "__main__":
    sys.exit(Toy(json.loads(CONFIG_PATH.read_text())).run())
