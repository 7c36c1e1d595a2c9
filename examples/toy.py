"""A toy deployment for one coordinator: discovery, three backends and one proxy, all on this machine.

    terminal 1:  make run      # the coordinator, with examples/config.json
    terminal 2:  make toy      # this file

The proxy joins, prints each table it is sent, and reports half of its tries to one backend as failed; then
discovery tells that another backend drains. It ends by itself after eight seconds. No load is made: what the
proxy reports is made up. The parts are coroutines on the project's own loop, as a program that embeds it
would have them."""

import json
import pathlib
import socket
import sys

from granitespool.net.buffers import Pool
from granitespool.net.client import dial, receive, send
from granitespool.net.config import address
from granitespool.net.frames import LARGEST, Reader, frame
from granitespool.net.loop import IN, SECOND, Loop

CONFIG = json.loads((pathlib.Path(__file__).parent / "config.json").read_text())
BACKENDS = CONFIG["known"]["endpoints"]
DRAINS, DRAIN_AT, END_AT = BACKENDS[1]["name"], 4 * SECOND, 8 * SECOND
FAILS = BACKENDS[2]["name"]
FOREVER = 3600 * SECOND


class Toy:
    def __init__(self):
        self.loop = Loop(self.failed)
        self.begun, self.table, self.seen, self.code = self.loop.now, {}, 0, 0
        self.loop.spawn(self.accept(address(CONFIG["discovery"]), self.discovery))
        for backend in BACKENDS:
            self.loop.spawn(self.accept(address(backend["address"]), self.backend))
        self.loop.spawn(self.proxy())

    def say(self, text):
        print(f"{(self.loop.now - self.begun) / SECOND:5.2f} s  {text}", flush=True)

    def failed(self, error):
        if isinstance(error, ConnectionRefusedError):
            error = "no coordinator listens on {}: start it with `make run`".format(CONFIG["listen"])
        print(f"toy: {error}", file=sys.stderr)
        self.code = 1
        self.loop.stop()

    def accept(self, where, serve):
        with socket.create_server(where) as listener:
            listener.setblocking(False)
            while True:
                yield listener.fileno(), IN, None
                sock, _ = listener.accept()
                sock.setblocking(False)
                self.loop.spawn(serve(sock))

    def discovery(self, sock):
        """A watch: an empty line each two seconds, and one change."""
        with sock:
            yield from receive(sock, self.loop.now + SECOND)
            yield from send(sock, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", None)
            told = False
            try:
                while True:
                    due = 2 * SECOND if told else max(SECOND // 10, self.begun + DRAIN_AT - self.loop.now)
                    yield None, 0, self.loop.now + min(due, 2 * SECOND)
                    line = b"\n"
                    if not told and self.loop.now - self.begun >= DRAIN_AT:
                        told = True
                        self.say(f"discovery tells that {DRAINS} drains")
                        entry = {**BACKENDS[1], "status": "draining"}
                        news = {"index": 2, "snapshot": False, "endpoints": [entry]}
                        line = json.dumps(news).encode() + b"\n"
                    yield from send(sock, b"%x\r\n%s\r\n" % (len(line), line), None)
            except OSError:
                return  # the coordinator has ended

    def backend(self, sock):
        with sock:
            yield from receive(sock, self.loop.now + SECOND)
            body = b"inflight=7,queue=2,util=0.61"
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            yield from send(sock, head + body, None)

    def proxy(self):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK) as sock:
            yield from dial(sock, address(CONFIG["listen"]), self.loop.now + SECOND)
            yield from send(
                sock, frame({"type": "joined", "node": 0, "locality": "north", "w": 20.0, "cold": True}), None
            )
            self.say("the proxy joined")
            reader, reported = Reader(Pool(64), LARGEST), self.loop.now
            while self.loop.now - self.begun < END_AT:
                if self.loop.now - reported >= SECOND:
                    reported = self.loop.now
                    yield from send(sock, b"".join(self.reports()), None)
                if (yield sock.fileno(), IN, reported + SECOND):
                    size = sock.recv_into(reader.room())
                    if not size:
                        raise OSError("the coordinator ended the stream")
                    reader.received(size)
                    for message in reader.messages():
                        yield from send(sock, self.apply(message), None)
            reader.close()
        self.say(
            "the end: {} tables came, {} is {}".format(
                self.seen, DRAINS, "still in the table" if DRAINS in self.table else "out of the table"
            )
        )
        self.code = 0 if self.seen and DRAINS not in self.table else 1
        self.loop.stop()

    def apply(self, message):
        if message.get("whole"):
            self.table = {}
        self.table.update(message.get("lines", ()))
        self.table = {backend: weight for backend, weight in self.table.items() if weight}
        if "lines" in message:
            self.seen += 1
            self.say("table: " + "  ".join(f"{b} {w:g}" for b, w in sorted(self.table.items())))
        if "level" in message:
            self.say(
                f"level {message['level']:g}, retry {message['retry']} for "
                + ", ".join(message.get("classes", ["all classes"]))
            )
        if "ticket" in message:
            return frame({"type": "applied", "node": 0, "nonce": message["ticket"], "latency": 1.0})
        return b""

    def reports(self):
        """What the proxy met in a second, made up: ten tries a backend, half of one's failed."""
        yield frame(
            {
                "type": "usage",
                "node": 0,
                "route": "pay",
                "total": 10 * len(self.table),
                "errors": 0,
                "interval": 1000.0,
            }
        )
        for backend in self.table:
            yield frame(
                {
                    "type": "heard",
                    "locality": "north",
                    "endpoint": backend,
                    "total": 10,
                    "errors": 5 if backend == FAILS else 0,
                    "rtt": 40.0,
                    "interval": 1000.0,
                    "metrics": {"util": 0.4},
                }
            )


if __name__ == "__main__":
    toy = Toy()
    toy.loop.run(lambda now: now + FOREVER)
    toy.loop.close()
    sys.exit(toy.code)
