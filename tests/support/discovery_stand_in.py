"""Stand-in for the discovery service: accepts a service's watches and sends the lines of a test."""

import socket
from collections.abc import Mapping
from contextlib import suppress
from typing import TYPE_CHECKING

from granitespool.units import SECOND
from support import sockets

if TYPE_CHECKING:
    from support.service_harness import ServiceHarness

DRIP_INTERVAL = SECOND // 2  # ns between two single bytes of `drip`


class DiscoveryStandIn:
    """A listener for watches; lines are written to the latest watch."""

    def __init__(self, service: "ServiceHarness", addresses: Mapping[str, str]) -> None:
        self._service, self._addresses = service, addresses
        self.watches: list[socket.socket] = []
        self.requests = ""  # request text since the last `wait_for_request`
        self._listen()

    def _listen(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)

    @property
    def address(self) -> tuple[str, int]:
        """The address of the listener."""
        host, port = self._listener.getsockname()
        return host, port

    def move(self) -> None:
        """Listen at a new address and close the old listener."""
        self._listener.close()
        self._listen()

    def turn(self) -> None:
        """Accept a watch and read requests."""
        if sock := sockets.accepted(self._listener):
            self.watches.append(sock)
        for sock in self.watches:
            self.requests += sockets.received(sock)

    def wait_for_request(self, text: str) -> None:
        """Wait until a request contains this text, then clear the requests so far."""
        self._service.wait_until(lambda: text in self.requests, (text, self.requests))
        self.requests = ""

    def accept_watch(self) -> None:
        """Send the response head on the latest watch."""
        self.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send(self, text: str) -> None:
        """Send text unframed on the latest watch."""
        self._service.wait_until(lambda: self.watches, "a watch")
        self.watches[-1].sendall(text.encode())
        self._service.turn()

    def send_line(self, text: str = "") -> None:
        """Send a line as a chunk; `@NAME` stands for a backend's address."""
        self.send_unread_line(text)
        self._service.turn()

    def send_unread_line(self, text: str) -> None:
        """Send a line without running a turn of the service that would read it."""
        line = text + "\n"
        for name, address in self._addresses.items():
            line = line.replace(f"@{name}", address)
        self.watches[-1].sendall(f"{len(line):x}\r\n{line}\r\n".encode())

    def drip(self, duration: int, text: str) -> None:
        """Send a repeated text for `duration` ns, one byte each half second, each as a chunk."""
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
