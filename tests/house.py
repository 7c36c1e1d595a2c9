"""A whole service with managers' doors, in a thread and in real time, for clients that block."""

import json
import os
import secrets
import socket
import threading
import time
from contextlib import suppress

from support.records import told_settings

from granitespool.cli.keys import make
from granitespool.emulator.managers import Manager
from granitespool.net import config
from granitespool.net.service import Service
from granitespool.operator_settings import Netconf, Operator, State, Tls, User

SETTINGS = {
    "zones": ["n", "s"],
    "classes": [
        {"name": "pay", "semantics": "single_shot", "aim_us": 300_000, "give_up_us": 900_000, "worth": 5.0}
    ],
    "family_info": {"proxy_count": 16, "egress_per_s": 1000.0, "most_waiting": 2000.0, "envelope": 2},
    "rules": {"stop_sending_within_us": 3_000_000},
}
KNOWN = [
    {
        "name": f"s-{k}",
        "address": "127.0.0.1:9",
        "zone": "n",
        "type": "m",
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }
    for k in range(6)
]


def free_port():
    """A port from under the range that the system gives to whoever dials: nobody takes it meanwhile."""
    while True:
        port = 20_000 + secrets.randbelow(12_000)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


def keys(folder):
    """A set of keys; `operations` may write all, `reader` nothing, `pacer` the channel."""
    make(str(folder), ["127.0.0.1"], ["operations", "reader", "pacer", "stranger"], "5")
    return str(folder)


class House:
    """`with House(path, keys_folder) as house`; what is written to the log is in `lines`."""

    def __init__(self, path, keys_folder, state=False, known=KNOWN, limits=None, **netconf):
        self.path, self.keys, self.lines, self.known, self.limits = path, keys_folder, [], known, limits or {}
        self.file, self.reading = path / "config.json", dict(SETTINGS)
        self.where = "127.0.0.1", free_port()
        tls = Tls(
            certificate=f"{keys_folder}/server.pem",
            key=f"{keys_folder}/server.key",
            authorities=f"{keys_folder}/ca.pem",
        )
        self.operator = Operator(
            tls=tls,
            netconf=Netconf(listen="127.0.0.1:{}".format(self.where[1]), **netconf),
            state=State(folder=str(path / "state"), every_ms=200) if state else None,
            users={
                "operations": User(certificate="cn:operations", write="*"),
                "reader": User(certificate="cn:reader"),
                "pacer": User(certificate="cn:pacer", write="channel"),
            },
        )
        self.write()

    def write(self, **changes):
        """Writes the configuration's file, with other settings."""
        self.reading.update(changes)
        self.file.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:9",
                    "seed": "1f",
                    "limits": self.limits,
                    "known": {"index": 1, "endpoints": self.known},
                    "settings": self.reading,
                }
            )
        )

    def read(self):
        return {**config.load(str(self.file)), "operator": self.operator}

    def __enter__(self):
        self.pipe = os.pipe()
        self.service = Service(self.read(), self.pipe[1], reread=self.read)
        self.turns, real = [], self.service._end_of_turn
        self.thread = threading.Thread(target=self.service.run)
        self.log = threading.Thread(target=self._log)
        self.real = real
        self.log.start()
        self.thread.start()
        return self

    def _log(self):
        with os.fdopen(self.pipe[0], "rb") as file:
            for line in file:
                self.lines.append(json.loads(line))

    def __exit__(self, *_):
        self.service.stop()
        self.thread.join(10)
        os.close(self.pipe[1])
        self.log.join(10)
        assert not [line for line in self.lines if line["event"] in ("task_failed", "internal_error")], (
            self.lines
        )

    def logged(self, event, seconds=5.0, **fields):
        """Waits for a line of the log."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for line in list(self.lines):
                if line["event"] == event and all(
                    str(value) in str(line[key]) for key, value in fields.items()
                ):
                    return line
            time.sleep(0.01)
        raise AssertionError((event, fields, self.lines[-8:]))

    def reload(self, **changes):
        """SIGHUP with other settings; returns the line of the log that answers it."""
        before = len(self.lines)
        self.write(**changes)
        self.service.reload()
        end = time.monotonic() + 5
        while time.monotonic() < end:
            for line in self.lines[before:]:
                if line["event"] in ("reloaded", "reload_rejected"):
                    return line
            time.sleep(0.01)
        raise AssertionError(self.lines[-5:])

    def manager(self, user="operations", **more):
        return Manager(self.where, self.keys, user, **more)

    def settings(self):
        """The planner's settings, as they act."""
        return told_settings(self.service.coordinator.planner.settings)

    def proxy(self, number=1, zone="n"):
        """A joined proxy's plain socket, after its first table."""
        sock = socket.create_connection(self.service.streams.listener.getsockname(), timeout=5)
        body = json.dumps(
            {"type": "joined", "node": number, "locality": zone, "w": 5.0, "cold": True}
        ).encode()
        sock.sendall(len(body).to_bytes(4, "little") + body)
        assert b"lines" in sock.recv(1 << 16)
        return sock


def alive(sock):
    """A proxy's ping is answered on its stream."""
    sock.sendall(b'\x0f\0\0\0{"type":"ping"}')
    data = b""
    while b"pong" not in data:
        piece = sock.recv(1 << 16)
        assert piece, "the stream ended"
        data += piece
    return True
