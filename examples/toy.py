"""Run a toy deployment around one coordinator: discovery, three backends and one proxy on this machine.

    terminal 1:  make run      # the coordinator, with examples/config.json
    terminal 2:  make toy      # this file

The proxy joins, prints each table it receives, and reports half of its attempts at one backend as failed;
then discovery reports that another backend drains. The program ends after eight seconds. No requests are
sent: the proxy's reports are made up. The parts are coroutines on the project's own loop, as in a program
that embeds it.
"""

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
WATCH_PERIOD = 2 * SECOND  # ns between two lines of the watch
WATCH_WAIT_MIN = SECOND // 10  # ns
REPORT_PERIOD = SECOND  # ns
WAIT_MAX = 3600 * SECOND  # ns, longer than the program runs
DRAINING_BACKEND = 1  # index in the endpoint list
FAILING_BACKEND = 2  # index in the endpoint list
ATTEMPTS = 10  # per second at each backend
FAILURES = 5  # per second, at the failing backend
BUFFERS = 64  # message buffers of the proxy
LOAD_REPORT = b"inflight=7,queue=2,util=0.61"


class Toy:
    """Discovery, backends and proxy of one coordinator; `exit_code` is 0 after a successful drain."""

    def __init__(self, config: Mapping[str, Any]) -> None:
        """Create the parts, which listen at once; raise OSError if an address is in use."""
        self.config = config
        self.backends: list[dict[str, Any]] = config["known"]["endpoints"]
        self.draining = self.backends[DRAINING_BACKEND]["name"]
        self.failing = self.backends[FAILING_BACKEND]["name"]
        self.loop = Loop(self.report_failure)
        self.started_at = self.loop.now
        self.table: dict[str, float] = {}  # backend -> weight, as the proxy applied it
        self.tables_received = 0
        self.exit_code = 0
        self.loop.spawn(self.accept(parse_address(config["discovery"]), self.serve_watch))
        for backend in self.backends:
            self.loop.spawn(self.accept(parse_address(backend["address"]), self.serve_load_report))
        self.loop.spawn(self.run_proxy())

    @property
    def elapsed(self) -> int:
        """Time since the start in ns."""
        return self.loop.now - self.started_at

    def run(self) -> int:
        """Run to the end and return the exit code."""
        self.loop.run(lambda now: now + WAIT_MAX)
        self.loop.close()
        return self.exit_code

    def print_line(self, text: str) -> None:
        """Print a line with the elapsed time."""
        print(f"{self.elapsed / SECOND:5.2f} s  {text}", flush=True)

    def report_failure(self, error: Exception) -> None:
        """Print the error of a failed part and end the program."""
        text = str(error)
        if isinstance(error, ConnectionRefusedError):
            text = f"no coordinator listens on {self.config['listen']}: start it with `make run`"
        print(f"toy: {text}", file=sys.stderr)
        self.exit_code = 1
        self.loop.stop()

    def accept(self, where: Address, serve: Callable[[socket.socket], Coroutine]) -> Coroutine:
        """Serve each connection at an address."""
        with socket.create_server(where) as listener:
            listener.setblocking(False)
            while True:
                yield listener.fileno(), IN, None
                sock, _ = listener.accept()
                sock.setblocking(False)
                self.loop.spawn(serve(sock))

    # Stand-ins of discovery and of the backends

    def serve_watch(self, sock: socket.socket) -> Coroutine:
        """Answer a watch of the endpoint list: an empty line every two seconds, and one change."""
        with sock:
            yield from receive(sock, self.loop.now + SECOND)
            yield from send(sock, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", None)
            try:
                yield from self.send_lines(sock)
            except OSError:
                return  # the coordinator closed the connection

    def send_lines(self, sock: socket.socket) -> Coroutine:
        """Send the lines of a watch until the connection ends."""
        has_sent_drain = False
        while True:
            wait = WATCH_PERIOD if has_sent_drain else max(WATCH_WAIT_MIN, DRAIN_AT - self.elapsed)
            yield None, 0, self.loop.now + min(wait, WATCH_PERIOD)
            line = b"\n"
            if not has_sent_drain and self.elapsed >= DRAIN_AT:
                has_sent_drain = True
                line = self.drain_line()
            yield from send(sock, b"%x\r\n%s\r\n" % (len(line), line), None)

    def drain_line(self) -> bytes:
        """Return the change of the endpoint list that drains a backend."""
        self.print_line(f"discovery reports that {self.draining} drains")
        entry = {**self.backends[DRAINING_BACKEND], "status": "draining"}
        return json.dumps({"index": 2, "snapshot": False, "endpoints": [entry]}).encode() + b"\n"

    def serve_load_report(self, sock: socket.socket) -> Coroutine:
        """Answer a health check with a load report."""
        with sock:
            yield from receive(sock, self.loop.now + SECOND)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LOAD_REPORT)
            yield from send(sock, head + LOAD_REPORT, None)

    # Stand-in of the proxy

    def run_proxy(self) -> Coroutine:
        """Join, apply updates and report each second until the end."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
            yield from dial(sock, parse_address(self.config["listen"]), self.loop.now + SECOND)
            join_message = {"type": "joined", "node": 0, "locality": "north", "w": 20.0, "cold": True}
            yield from send(sock, frame(join_message), None)
            self.print_line("the proxy joined")
            yield from self.exchange(sock)
        is_drained = self.draining not in self.table
        where = "out of the table" if is_drained else "still in the table"
        self.print_line(f"the end: {self.tables_received} tables received, {self.draining} is {where}")
        self.exit_code = 0 if self.tables_received and is_drained else 1
        self.loop.stop()

    def exchange(self, sock: socket.socket) -> Coroutine:
        """Read updates and send reports; raise OSError if the coordinator closes the stream."""
        reader = Reader(BufferPool(BUFFERS), MESSAGE_MAX)
        reported_at = self.loop.now
        while self.elapsed < END_AT:
            if self.loop.now - reported_at >= REPORT_PERIOD:
                reported_at = self.loop.now
                yield from send(sock, b"".join(self.reports()), None)
            if (yield sock.fileno(), IN, reported_at + REPORT_PERIOD):
                view = reader.free_space()
                assert view is not None, "the updates of a second fit into the buffers"
                size = sock.recv_into(view)
                if not size:
                    raise OSError("the coordinator closed the stream")
                reader.received(size)
                for message in reader.messages():
                    yield from send(sock, self.apply(message), None)
        reader.close()

    def apply(self, message: Message) -> bytes:
        """Apply an update; return the acknowledgement of its barrier, b"" if it has none."""
        if message.get("whole"):
            self.table = {}
        self.table.update(message.get("lines", ()))
        self.table = {backend: weight for backend, weight in self.table.items() if weight}
        if "lines" in message:
            self.tables_received += 1
            entries = (f"{backend} {weight:g}" for backend, weight in sorted(self.table.items()))
            self.print_line("table: " + "  ".join(entries))
        if "level" in message:
            classes = ", ".join(message.get("classes", ["all classes"]))
            self.print_line(f"level {message['level']:g}, retry {message['retry']} for {classes}")
        if "ticket" not in message:
            return b""
        return frame({"type": "applied", "node": 0, "nonce": message["ticket"], "latency": 1.0})

    def reports(self) -> Iterator[bytes]:
        """Yield the usage report and the made-up load reports of one second."""
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
