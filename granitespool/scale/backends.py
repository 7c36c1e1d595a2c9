"""Stand-ins of backends: one listener each, which answers `/alive` and `/metrics/load` while it runs."""

import socket
from collections.abc import Iterable

import msgspec

from granitespool.net.client import receive, send
from granitespool.net.config import parse_address
from granitespool.net.loop import IN, Loop, Task
from granitespool.scale.coroutines import Wait
from granitespool.scale.fleet import ListedBackend
from granitespool.units import SECOND

REQUEST_TIMEOUT = 2 * SECOND  # ns to receive a request, and to send its answer
BACKLOG = 64
BODY = b"inflight=7,queue=2,util=0.5"
ANSWER = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


class HealthCheckCounts(msgspec.Struct):
    """Number and size of the health checks that the backends have answered."""

    number: int = 0
    request_bytes: int = 0
    answer_bytes: int = 0


class Backends:
    """All running backends; a stopped one refuses connections."""

    def __init__(self, loop: Loop, entries: Iterable[ListedBackend]) -> None:
        """Start a backend for each of these entries, already warmed up."""
        self.loop = loop
        self.running: dict[str, Task] = {}
        self.started: dict[str, int] = {}  # backend -> ns of its start; 0: long ago
        self.health_checks = HealthCheckCounts()
        for entry in entries:
            self.start(entry)

    def start(self, entry: ListedBackend, started: int = 0) -> None:
        """Start a backend, which listens at its address; `started` is in ns of Unix time."""
        listener = socket.create_server(parse_address(entry.address), backlog=BACKLOG)
        listener.setblocking(False)
        self.running[entry.name] = self.loop.spawn(self._accept(listener))
        self.started[entry.name] = started

    def stop(self, name: str) -> None:
        """Stop a backend as a crash does: discovery is not notified."""
        task = self.running.pop(name, None)
        if task is not None:
            self.loop.end(task)

    def _accept(self, listener: socket.socket) -> Wait:
        with listener:
            while True:
                yield listener.fileno(), IN, None
                try:
                    sock, _ = listener.accept()
                except OSError:
                    continue  # no connection to accept, for instance because the client has closed it
                sock.setblocking(False)
                self.loop.spawn(self._answer(sock))

    def _answer(self, sock: socket.socket) -> Wait:
        with sock:
            request = b""
            try:
                while b"\r\n\r\n" not in request:
                    data = yield from receive(sock, self.loop.now + REQUEST_TIMEOUT)
                    if not data:
                        return
                    request += data
                yield from send(sock, ANSWER, self.loop.now + REQUEST_TIMEOUT)
            except OSError:
                return  # the connection failed, or a timeout expired
            self.health_checks.number += 1
            self.health_checks.request_bytes += len(request)
            self.health_checks.answer_bytes += len(ANSWER)
