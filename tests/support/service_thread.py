"""A whole service with its management listeners, in a thread and in real time, for blocking clients."""

import json
import os
import secrets
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from granitespool.cli.keys import make
from granitespool.net import config
from granitespool.net.service import Service
from granitespool.operator_settings import (
    NetconfSettings,
    OperatorSettings,
    StateSettings,
    TlsSettings,
    UserSettings,
)
from granitespool.simulation.netconf_client import NetconfClient
from support.records import configured_settings

LOOPBACK = "127.0.0.1"
PORTS = range(20_000, 32_000)  # below the system's range of ephemeral ports
STATE_INTERVAL_MS = 200
JOIN_TIMEOUT = 10  # s within which a thread must end
RELOAD_TIMEOUT = 5  # s within which the log must contain the result of a reload
POLL_INTERVAL = 0.01  # s
INTERNAL_ERRORS = ("task_failed", "internal_error")  # log events that fail a test
RELOADED = ("reloaded", "reload_rejected")  # log events with the result of a SIGHUP
LINES_SHOWN = 8  # last lines of the log in the error if an expected line is missing
SETTINGS = {
    "zones": ["n", "s"],
    "classes": [
        {"name": "pay", "semantics": "single_shot", "aim_us": 300_000, "give_up_us": 900_000, "worth": 5.0}
    ],
    "family_info": {"proxy_count": 16, "egress_per_s": 1000.0, "most_waiting": 2000.0, "envelope": 2},
    "rules": {"stop_sending_within_us": 3_000_000},
}
INITIAL_ENDPOINTS = [
    {
        "name": f"s-{number}",
        "address": "127.0.0.1:9",
        "zone": "n",
        "type": "m",
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }
    for number in range(6)
]


def free_port() -> int:
    """Return a free port outside the ephemeral range, so that no outgoing connection takes it meanwhile."""
    while True:
        port = PORTS.start + secrets.randbelow(len(PORTS))
        with suppress(OSError), socket.create_server((LOOPBACK, port)):
            return port


def make_keys(folder: Path) -> str:
    """Create a set of keys; `operations` may write all, `reader` nothing, `pacer` the channel."""
    make(str(folder), [LOOPBACK], ["operations", "reader", "pacer", "stranger"], "5")
    return str(folder)


class ServiceThread:
    """A running service as a context manager: `with ServiceThread(path, keys_folder) as service`.

    `lines` contains the parsed lines of its log.
    """

    def __init__(
        self,
        path: Path,
        keys_folder: str,
        state: bool = False,
        endpoints: list[dict[str, Any]] = INITIAL_ENDPOINTS,
        limits: dict[str, int] | None = None,
        **netconf: Any,
    ) -> None:
        """Write the configuration.

        `state`: whether to keep a state folder; `netconf`: keys of the operator's section.
        """
        self.path = path
        self.keys = keys_folder
        self.lines: list[dict[str, Any]] = []
        self.endpoints = endpoints
        self.limits = limits or {}
        self.file = path / "config.json"
        self.file_settings: dict[str, Any] = dict(SETTINGS)  # the settings in the configuration file
        self.netconf_address = LOOPBACK, free_port()
        self.operator = self._operator(state, netconf)
        self.write()

    def _operator(self, state: bool, netconf: dict[str, Any]) -> OperatorSettings:
        _, port = self.netconf_address
        tls = TlsSettings(
            certificate=f"{self.keys}/server.pem",
            key=f"{self.keys}/server.key",
            authorities=f"{self.keys}/ca.pem",
        )
        return OperatorSettings(
            tls=tls,
            netconf=NetconfSettings(listen=f"{LOOPBACK}:{port}", **netconf),
            state=StateSettings(folder=str(self.path / "state"), every_ms=STATE_INTERVAL_MS)
            if state
            else None,
            users={
                "operations": UserSettings(certificate="cn:operations", write="*"),
                "reader": UserSettings(certificate="cn:reader"),
                "pacer": UserSettings(certificate="cn:pacer", write="channel"),
            },
        )

    def write(self, **changes: Any) -> None:
        """Write the configuration file with changed settings."""
        self.file_settings.update(changes)
        configuration = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "seed": "1f",
            "limits": self.limits,
            "known": {"index": 1, "endpoints": self.endpoints},
            "settings": self.file_settings,
        }
        self.file.write_text(json.dumps(configuration))

    def read(self) -> dict[str, Any]:
        """Return the configuration as the service reads it."""
        return {**config.load(str(self.file)), "operator": self.operator}

    def __enter__(self) -> "ServiceThread":
        read_end, self.log_end = os.pipe()
        self.service = Service(self.read(), self.log_end, read_configuration=self.read)
        self.thread = threading.Thread(target=self.service.run)
        self.log_reader = threading.Thread(target=self._read_log, args=(read_end,))
        self.log_reader.start()
        self.thread.start()
        return self

    def _read_log(self, descriptor: int) -> None:
        with os.fdopen(descriptor, "rb") as file:
            for line in file:
                self.lines.append(json.loads(line))

    def __exit__(self, *_: object) -> None:
        self.service.stop()
        self.thread.join(JOIN_TIMEOUT)
        os.close(self.log_end)
        self.log_reader.join(JOIN_TIMEOUT)
        assert not [line for line in self.lines if line["event"] in INTERNAL_ERRORS], self.lines

    def wait_for_log(self, event: str, seconds: float = 5.0, **fields: Any) -> dict[str, Any]:
        """Wait for a line of the log whose fields contain these texts and return it."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for line in list(self.lines):
                if line["event"] == event and all(
                    str(value) in str(line[key]) for key, value in fields.items()
                ):
                    return line
            time.sleep(POLL_INTERVAL)
        raise AssertionError((event, fields, self.lines[-LINES_SHOWN:]))

    def reload(self, **changes: Any) -> dict[str, Any]:
        """Reload with changed settings and return the line of the log with the result."""
        before = len(self.lines)
        self.write(**changes)
        self.service.reload()
        end = time.monotonic() + RELOAD_TIMEOUT
        while time.monotonic() < end:
            for line in self.lines[before:]:
                if line["event"] in RELOADED:
                    return line
            time.sleep(POLL_INTERVAL)
        raise AssertionError(self.lines[-LINES_SHOWN:])

    def manager(self, user: str = "operations", **more: Any) -> NetconfClient:
        """Open a NETCONF session of a user."""
        return NetconfClient(self.netconf_address, self.keys, user, **more)

    def settings(self) -> dict[str, Any]:
        """Return the current settings of the planner."""
        return configured_settings(self.service.coordinator.planner.settings)

    def proxy(self, number: int = 1, zone: str = "n") -> socket.socket:
        """Return the socket of a proxy that has joined and received its first table."""
        sock = socket.create_connection(self.service.streams.listener.getsockname(), timeout=5)
        message = {"type": "joined", "node": number, "locality": zone, "w": 5.0, "cold": True}
        body = json.dumps(message).encode()
        sock.sendall(len(body).to_bytes(4, "little") + body)
        assert b"lines" in sock.recv(1 << 16)
        return sock


def answers_ping(sock: socket.socket) -> bool:
    """Return whether a ping on a proxy's stream is answered."""
    sock.sendall(b'\x0f\0\0\0{"type":"ping"}')
    data = b""
    while b"pong" not in data:
        chunk = sock.recv(1 << 16)
        assert chunk, "the stream ended before the pong"
        data += chunk
    return True
