"""Restarts a real coordinator under a storm, and prints how long each took to answer its first ping.

    python -m bench.ready [--restarts=N] [--proxies=N] [--strangers=N] [--backends=N]

All proxies dial at once and dial again whenever they are refused, beside strangers that say nothing; then the
process is ended by SIGTERM and started anew, again and again. Exit code 1 where fewer than nine in ten were
ready within the limit."""

import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import docopt

from granitespool.net.frames import frame

USAGE = """Usage: ready [--restarts=N] [--proxies=N] [--strangers=N] [--backends=N] [--limit=S]

Options:
  --restarts=N   starts that are measured        [default: 10]
  --proxies=N    proxies that dial at once       [default: 400]
  --strangers=N  connections that say nothing    [default: 200]
  --backends=N   backends in the list            [default: 200]
  --limit=S      seconds within which it counts as ready  [default: 10]"""
PART = 0.9  # of the starts have to be ready within the limit
GIVEN_UP = 60.0  # s after which a start is a failure
AGAIN = 0.01  # s between two diallings of one party


def configuration(listen, proxies, backends, sockets):
    return {
        "name": "ready",
        "listen": "{}:{}".format(*listen),
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"sockets": sockets, "memory_mb": 192},
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": f"s{n}",
                    "address": f"127.2.{n // 250}.{n % 250}:80",
                    "zone": f"z{n % 3}",
                    "type": "m",
                    "group": n // 8,
                    "status": "ready",
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for n in range(backends)
            ],
        },
        "settings": {
            "zones": ["z0", "z1", "z2"],
            "balancers": 5,
            "classes": [{"name": "a", "aim_us": 1000000}],
            "family_info": {
                "egress_per_s": 900.0,
                "most_waiting": 4400.0,
                "envelope": 3.0,
                "proxy_count": proxies,
                "admit": "fraction",
            },
            "rules": {"stop_sending_within_us": 6200000},
        },
    }


class Crowd(threading.Thread):
    """Parties that dial, say their first message and dial again when their connection ends, until the end."""

    def __init__(self, where, messages):
        super().__init__(daemon=True)
        self.where, self.messages, self.ended = where, messages, threading.Event()

    def run(self):
        poll, parties, due = select.poll(), {}, dict.fromkeys(range(len(self.messages)), 0.0)
        while not self.ended.is_set():
            now = time.monotonic()
            for number in [number for number, when in due.items() if when <= now]:
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.where)
                parties[sock.fileno()] = sock, number
                poll.register(sock, select.POLLOUT if self.messages[number] else select.POLLIN)
                del due[number]
            for fd, event in poll.poll(5):
                sock, number = parties[fd]
                try:
                    if event & select.POLLOUT:
                        sock.send(self.messages[number])
                        poll.modify(sock, select.POLLIN)
                        continue
                    if sock.recv(1 << 16):
                        continue
                except OSError:
                    pass
                poll.unregister(fd)
                parties.pop(fd)[0].close()
                due[number] = now + AGAIN
        for sock, _ in parties.values():
            sock.close()


def first_pong(where, process):
    """Seconds until a ping is answered, or None."""
    began = time.monotonic()
    while (left := began + GIVEN_UP - time.monotonic()) > 0 and process.poll() is None:
        try:
            with socket.create_connection(where, left) as sock:
                sock.settimeout(left)
                sock.sendall(frame({"type": "ping"}))
                if b"pong" in sock.recv(100):
                    return time.monotonic() - began
        except OSError:
            pass
        time.sleep(AGAIN)
    return None


def restarts(times, proxies, strangers, backends, tell=print):
    """The times that so many starts under a storm took, None for one that was not ready."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        where = free.getsockname()
    joinings = [
        frame({"type": "joined", "node": n, "locality": f"z{n % 3}", "w": 5.0, "cold": False})
        for n in range(proxies)
    ]
    crowd, took = Crowd(where, joinings + [b""] * strangers), []
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(configuration(where, proxies, backends, proxies + strangers // 2 + 100), file)
        crowd.start()
        try:
            for number in range(times):
                with subprocess.Popen(
                    [sys.executable, "-m", "granitespool", "serve", "--config", path],
                    stdout=subprocess.DEVNULL,
                ) as process:
                    took.append(first_pong(where, process))
                    time.sleep(AGAIN)
                    process.send_signal(signal.SIGTERM)
                    code = process.wait(GIVEN_UP)
                tell(
                    f"start {number + 1}: "
                    + ("not ready" if took[-1] is None else f"{took[-1]:.2f} s")
                    + ("" if code == 0 else f", ended with {code}")
                )
        finally:
            crowd.ended.set()
            crowd.join()
    return took


def main(words):
    told = docopt.docopt(USAGE, words)
    took = restarts(*(int(told[f"--{name}"]) for name in ("restarts", "proxies", "strangers", "backends")))
    limit = float(told["--limit"])
    ready = sum(each is not None and each <= limit for each in took)
    print(f"{ready} of {len(took)} ready within {limit:g} s")
    return 0 if ready >= PART * len(took) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
