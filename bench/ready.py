"""Restart a coordinator under a connection storm and print the time to each first answered ping.

    python -m bench.ready [--restarts=N] [--proxies=N] [--silent=N] [--backends=N] [--limit=S]

All proxies connect at once and reconnect whenever they are rejected, beside connections that send nothing,
while the process is ended by SIGTERM and started again. The exit code is 1 if fewer than nine in ten starts
were ready within the limit.
"""

import json
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import docopt

from granitespool.net.frames import frame

USAGE = """Usage: ready [--restarts=N] [--proxies=N] [--silent=N] [--backends=N] [--limit=S]

Options:
  --restarts=N   starts that are measured        [default: 10]
  --proxies=N    proxies that connect at once    [default: 400]
  --silent=N     connections that send nothing   [default: 200]
  --backends=N   backends in the list            [default: 200]
  --limit=S      seconds within which it counts as ready  [default: 10]"""
READY_SHARE_MIN = 0.9  # share of the starts that have to be ready within the limit
START_TIMEOUT = 60.0  # s; a start without an answer in this time has failed
RECONNECT_DELAY = 0.01  # s before a peer or a ping connects again
POLL_MS = 5  # ms, longest wait of the peers for events
READ_SIZE = 1 << 16  # bytes
SPARE_SOCKETS = 100  # descriptors beyond the proxies and half of the silent connections

Address = tuple[str, int]


class Sizes(NamedTuple):
    """Numbers of starts, connections and backends of a run."""

    restarts: int
    proxies: int
    silent: int  # connections that send nothing
    backends: int

    @property
    def sockets(self) -> int:
        """The coordinator's limit on open descriptors."""
        return self.proxies + self.silent // 2 + SPARE_SOCKETS


def configuration(listen: Address, sizes: Sizes) -> dict[str, Any]:
    """Return the coordinator's configuration."""
    host, port = listen
    return {
        "name": "ready",
        "listen": f"{host}:{port}",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"sockets": sizes.sockets, "memory_mb": 192},
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [_endpoint(number) for number in range(sizes.backends)],
        },
        "settings": {
            "zones": ["z0", "z1", "z2"],
            "balancers": 5,
            "classes": [{"name": "a", "aim_us": 1000000}],
            "family_info": {
                "egress_per_s": 900.0,
                "most_waiting": 4400.0,
                "envelope": 3.0,
                "proxy_count": sizes.proxies,
                "admit": "fraction",
            },
            "rules": {"stop_sending_within_us": 6200000},
        },
    }


def _endpoint(number: int) -> dict[str, Any]:
    return {
        "name": f"s{number}",
        "address": f"127.2.{number // 250}.{number % 250}:80",
        "zone": f"z{number % 3}",
        "type": "m",
        "group": number // 8,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }


class ReconnectingPeers(threading.Thread):
    """Thread of peers that connect, send a first message and reconnect when their connection ends."""

    def __init__(self, address: Address, messages: list[bytes]) -> None:
        """Create a peer for each first message; an empty message is a peer that sends nothing."""
        super().__init__(daemon=True)
        self.address = address
        self.messages = messages
        self.stop_requested = threading.Event()
        self.poll = select.poll()
        self.peers: dict[int, tuple[socket.socket, int]] = {}  # descriptor -> socket, peer's number
        self.connect_at = dict.fromkeys(range(len(messages)), 0.0)  # peer's number -> monotonic time, s

    def run(self) -> None:
        """Connect and read until `stop_requested` is set."""
        while not self.stop_requested.is_set():
            now = time.monotonic()
            for number in [number for number, at in self.connect_at.items() if at <= now]:
                self._connect(number)
            for fd, event in self.poll.poll(POLL_MS):
                if not self._is_open(fd, event):
                    self._close(fd, now)
        for sock, _ in self.peers.values():
            sock.close()

    def _connect(self, number: int) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        self.peers[sock.fileno()] = (sock, number)
        self.poll.register(sock, select.POLLOUT if self.messages[number] else select.POLLIN)
        del self.connect_at[number]

    def _is_open(self, fd: int, event: int) -> bool:
        """Send the first message or read; return False if the connection has ended."""
        sock, number = self.peers[fd]
        try:
            if event & select.POLLOUT:
                sock.send(self.messages[number])
                self.poll.modify(sock, select.POLLIN)
                return True
            return bool(sock.recv(READ_SIZE))
        except OSError:
            return False

    def _close(self, fd: int, now: float) -> None:
        self.poll.unregister(fd)
        sock, number = self.peers.pop(fd)
        sock.close()
        self.connect_at[number] = now + RECONNECT_DELAY


def time_to_pong(address: Address, process: "subprocess.Popen[bytes]") -> float | None:
    """Return the seconds until a ping is answered, or None after `START_TIMEOUT` or the process' end."""
    started_at = time.monotonic()
    while (remaining_s := started_at + START_TIMEOUT - time.monotonic()) > 0 and process.poll() is None:
        try:
            with socket.create_connection(address, remaining_s) as sock:
                sock.settimeout(remaining_s)
                sock.sendall(frame({"type": "ping"}))
                if b"pong" in sock.recv(100):
                    return time.monotonic() - started_at
        except OSError:
            pass  # not listening yet, or the connection was rejected
        time.sleep(RECONNECT_DELAY)
    return None


def start_once(address: Address, config_path: Path) -> tuple[float | None, int]:
    """Start and end a coordinator; return the seconds until it was ready, or None, and its exit code."""
    command = [sys.executable, "-m", "granitespool", "serve", "--config", str(config_path)]
    with subprocess.Popen(command, stdout=subprocess.DEVNULL) as process:
        ready_s = time_to_pong(address, process)
        time.sleep(RECONNECT_DELAY)
        process.send_signal(signal.SIGTERM)
        return ready_s, process.wait(START_TIMEOUT)


def restarts(sizes: Sizes, print_line: Callable[[str], None] = print) -> list[float | None]:
    """Return the seconds until each start was ready under the storm, None for a start that was not."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address: Address = listener.getsockname()
    join_messages = [
        frame({"type": "joined", "node": number, "locality": f"z{number % 3}", "w": 5.0, "cold": False})
        for number in range(sizes.proxies)
    ]
    peers = ReconnectingPeers(address, join_messages + [b""] * sizes.silent)
    times = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(address, sizes)), encoding="utf-8")
        peers.start()
        try:
            for number in range(sizes.restarts):
                ready_s, code = start_once(address, path)
                times.append(ready_s)
                outcome = "not ready" if ready_s is None else f"{ready_s:.2f} s"
                ending = "" if code == 0 else f", ended with {code}"
                print_line(f"start {number + 1}: {outcome}{ending}")
        finally:
            peers.stop_requested.set()
            peers.join()
    return times


def main(argv: list[str]) -> int:
    """Measure, print and return the exit code."""
    options = docopt.docopt(USAGE, argv)
    sizes = Sizes(*(int(options[f"--{name}"]) for name in Sizes._fields))
    times = restarts(sizes)
    limit = float(options["--limit"])
    ready = sum(seconds is not None and seconds <= limit for seconds in times)
    print(f"{ready} of {len(times)} ready within {limit:g} s")
    return 0 if ready >= READY_SHARE_MIN * len(times) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
