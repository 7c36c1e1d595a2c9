"""Restarts a real coordinator under a storm, and prints how long each took to answer its first ping.

    python -m bench.ready [--restarts=N] [--proxies=N] [--silent=N] [--backends=N] [--limit=S]

All proxies dial at once and dial again whenever they are rejected, beside connections that say nothing; then
the process is ended by SIGTERM and started anew, again and again. Exit code 1 where fewer than nine in ten
were ready within the limit."""

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
  --proxies=N    proxies that dial at once       [default: 400]
  --silent=N     connections that say nothing    [default: 200]
  --backends=N   backends in the list            [default: 200]
  --limit=S      seconds within which it counts as ready  [default: 10]"""
READY_SHARE_MIN = 0.9  # of the starts have to be ready within the limit
START_TIMEOUT = 60.0  # s after which a start is a failure
REDIAL_DELAY = 0.01  # s between two diallings of one peer
POLL_MS = 5  # ms that the crowd waits for events
READ_SIZE = 1 << 16  # bytes
SPARE_SOCKETS = 100  # descriptors beyond the proxies and half of those that say nothing

Address = tuple[str, int]


class Sizes(NamedTuple):
    """What a trial is made of."""

    restarts: int
    proxies: int
    silent: int  # connections that say nothing
    backends: int

    @property
    def sockets(self) -> int:
        """The coordinator's limit on descriptors."""
        return self.proxies + self.silent // 2 + SPARE_SOCKETS


def configuration(listen: Address, sizes: Sizes) -> dict[str, Any]:
    """The coordinator's configuration file."""
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


class Crowd(threading.Thread):
    """Peers that dial, say their first message and dial again when their connection ends, until the end."""

    def __init__(self, address: Address, messages: list[bytes]) -> None:
        """A peer for each first message; b"" for one that says nothing."""
        super().__init__(daemon=True)
        self.address = address
        self.messages = messages
        self.has_ended = threading.Event()
        self.poll = select.poll()
        self.peers: dict[int, tuple[socket.socket, int]] = {}  # descriptor -> its socket, its peer's number
        self.dial_at = dict.fromkeys(range(len(messages)), 0.0)  # number -> monotonic s

    def run(self) -> None:
        """Dials and reads until `has_ended` is set."""
        while not self.has_ended.is_set():
            now = time.monotonic()
            for number in [number for number, at in self.dial_at.items() if at <= now]:
                self._dial(number)
            for fd, event in self.poll.poll(POLL_MS):
                if not self._is_open(fd, event):
                    self._close(fd, now)
        for sock, _ in self.peers.values():
            sock.close()

    def _dial(self, number: int) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        self.peers[sock.fileno()] = (sock, number)
        self.poll.register(sock, select.POLLOUT if self.messages[number] else select.POLLIN)
        del self.dial_at[number]

    def _is_open(self, fd: int, event: int) -> bool:
        """Says the first message or reads; False where the connection has ended."""
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
        self.dial_at[number] = now + REDIAL_DELAY


def first_pong(address: Address, process: "subprocess.Popen[bytes]") -> float | None:
    """Seconds until a ping is answered, or None."""
    began = time.monotonic()
    while (left := began + START_TIMEOUT - time.monotonic()) > 0 and process.poll() is None:
        try:
            with socket.create_connection(address, left) as sock:
                sock.settimeout(left)
                sock.sendall(frame({"type": "ping"}))
                if b"pong" in sock.recv(100):
                    return time.monotonic() - began
        except OSError:
            pass  # it does not listen yet, or has no place
        time.sleep(REDIAL_DELAY)
    return None


def start_once(address: Address, config_path: Path) -> tuple[float | None, int]:
    """Starts and ends a coordinator; returns the seconds until it was ready, or None, and its exit code."""
    command = [sys.executable, "-m", "granitespool", "serve", "--config", str(config_path)]
    with subprocess.Popen(command, stdout=subprocess.DEVNULL) as process:
        ready_after = first_pong(address, process)
        time.sleep(REDIAL_DELAY)
        process.send_signal(signal.SIGTERM)
        return ready_after, process.wait(START_TIMEOUT)


def restarts(sizes: Sizes, tell: Callable[[str], None] = print) -> list[float | None]:
    """The seconds that each start under a storm took, None for one that was not ready."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address: Address = free.getsockname()
    joinings = [
        frame({"type": "joined", "node": number, "locality": f"z{number % 3}", "w": 5.0, "cold": False})
        for number in range(sizes.proxies)
    ]
    crowd = Crowd(address, joinings + [b""] * sizes.silent)
    times = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(address, sizes)), encoding="utf-8")
        crowd.start()
        try:
            for number in range(sizes.restarts):
                ready_after, code = start_once(address, path)
                times.append(ready_after)
                outcome = "not ready" if ready_after is None else f"{ready_after:.2f} s"
                ending = "" if code == 0 else f", ended with {code}"
                tell(f"start {number + 1}: {outcome}{ending}")
        finally:
            crowd.has_ended.set()
            crowd.join()
    return times


def main(words: list[str]) -> int:
    """Measures and prints; returns the exit code."""
    options = docopt.docopt(USAGE, words)
    sizes = Sizes(*(int(options[f"--{name}"]) for name in Sizes._fields))
    times = restarts(sizes)
    limit = float(options["--limit"])
    ready = sum(each is not None and each <= limit for each in times)
    print(f"{ready} of {len(times)} ready within {limit:g} s")
    return 0 if ready >= READY_SHARE_MIN * len(times) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
