"""Stand-ins for backends: listeners on loopback that answer health checks as a test configures them."""

import select
import socket
from collections.abc import Iterator
from typing import Any

from support import sockets

HEALTHY = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil=0.25"


class BackendStandIns:
    """Listening backends by name; a service starts with `initial_endpoints` as its endpoint list."""

    def __init__(self) -> None:
        self.initial_endpoints: list[dict[str, Any]] = []
        self.addresses: dict[str, str] = {}
        self._listeners: dict[str, socket.socket] = {}
        self._answers: dict[str, str] = {}
        self.checks: list[tuple[socket.socket, str]] = []  # pending health checks: socket, backend

    def start(self, *names: str, zone: str = "n") -> None:
        """Start healthy backends and add them to the endpoint list of a service that starts later."""
        for name in names:
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            self._listeners[name], self._answers[name] = listener, HEALTHY
            self.addresses[name] = "{}:{}".format(*listener.getsockname())
            self.initial_endpoints.append(
                {
                    "name": name,
                    "address": self.addresses[name],
                    "zone": zone,
                    "type": "m",
                    "group": 0,
                    "status": "ready",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            )

    def stop(self, name: str) -> None:
        """Close the listener of a backend."""
        self._listeners.pop(name).close()
        del self._answers[name]

    def answer_health_checks(self, name: str, answer: str) -> None:
        """Set the answer to later health checks of a backend; an empty answer leaves them unanswered."""
        self._answers[name] = answer

    def turn(self) -> None:
        """Accept health checks and answer those whose request has arrived."""
        for name, listener in self._listeners.items():
            if sock := sockets.accepted(listener):
                self.checks.append((sock, name))
        for sock, name in list(self.checks):
            answer = self._answers.get(name)
            if answer and sockets.received(sock):
                sock.sendall(answer.encode())
                sock.close()
                self.checks.remove((sock, name))

    def has_pending_check(self, name: str) -> bool:
        """Return whether a health check of the backend has sent its request and waits for an answer."""
        return any(
            checked == name and bool(select.select([sock], [], [], 0)[0]) for sock, checked in self.checks
        )

    def send_answer(self, name: str, answer: str) -> None:
        """Answer the only pending health check of a backend."""
        [sock] = [sock for sock, checked in self.checks if checked == name]
        sock.sendall(answer.encode())

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._sockets():
            sock.close()

    def _sockets(self) -> Iterator[socket.socket]:
        yield from self._listeners.values()
        yield from (sock for sock, _ in self.checks)
