"""Stand-in for the discovery service: takes a service's watches and sends what a test says."""

import socket
from collections.abc import Mapping
from contextlib import suppress
from typing import TYPE_CHECKING

from granitespool.units import SECOND
from support import sockets

if TYPE_CHECKING:
    from support.service_harness import ServiceHarness

DRIP_INTERVAL = SECOND // 2  # ns between two bytes that are dripped


class DiscoveryStandIn:
    """A listener for watches; the latest watch is the one that is written to."""

    def __init__(self, service: "ServiceHarness", addresses: Mapping[str, str]) -> None:
        self._service, self._addresses = service, addresses
        self.watches: list[socket.socket] = []
        self.requests = ""  # what was asked since `wait_for_request`
        self._listen()

    def _listen(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._listener.getsockname()
        return host, port

    def move(self) -> None:
        """Listen at a new address; the old one takes no more."""
        self._listener.close()
        self._listen()

    def turn(self) -> None:
        """Accept a watch and read requests."""
        if sock := sockets.accepted(self._listener):
            self.watches.append(sock)
        for sock in self.watches:
            self.requests += sockets.received(sock)

    def wait_for_request(self, text: str) -> None:
        """Wait until it was asked this, and forget the requests so far."""
        self._service.wait_until(lambda: text in self.requests, (text, self.requests))
        self.requests = ""

    def accept_watch(self) -> None:
        """Answer the latest watch with the head of its lines."""
        self.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send(self, text: str) -> None:
        """Send this as it stands."""
        self._service.wait_until(lambda: self.watches, "a watch")
        self.watches[-1].sendall(text.encode())
        self._service.turn()

    def send_line(self, text: str = "") -> None:
        """Send a line as a chunk; `@NAME` stands for a backend's address."""
        self.send_unread_line(text)
        self._service.turn()

    def send_unread_line(self, text: str) -> None:
        """Send a line that the service has no turn to read yet."""
        line = text + "\n"
        for name, address in self._addresses.items():
            line = line.replace(f"@{name}", address)
        self.watches[-1].sendall(f"{len(line):x}\r\n{line}\r\n".encode())

    def drip(self, duration: int, text: str) -> None:
        """Send a byte of this each half a second for so many ns, over and over, as chunks."""
        data = text.encode() * 100
        for byte in data[: duration // DRIP_INTERVAL]:
            with suppress(OSError):
                self.watches[-1].sendall(b"1\r\n%c\r\n" % byte)
            self._service.advance(DRIP_INTERVAL)

    def break_watch(self) -> None:
        """Reset the latest watch."""
        self.watches.pop().close()
        self._service.turn()

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self._listener, *self.watches):
            sock.close()
