"""Receivers of a service's log and gossip: a pipe, and sockets of other coordinators."""

import os
import select
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from support.service_harness import ServiceHarness


class ServiceLog:
    """The service's log: a pipe that is read in each turn while `is_read` is set."""

    def __init__(self, harness: "ServiceHarness") -> None:
        self._harness = harness
        self._reader, self.writer = os.pipe()
        os.set_blocking(self._reader, False)
        self.text, self.is_read = "", True

    def turn(self) -> None:
        """Read the available part of the log."""
        if self.is_read:
            with suppress(BlockingIOError):
                self.text += os.read(self._reader, 1 << 20).decode()

    def wait_for(self, text: str) -> None:
        """Wait until the log contains this text."""
        self._harness.wait_until(lambda: text in self.text, text)

    def wait_for_dropped_messages(self, number: int) -> None:
        """Wait until the log contains `number` events of dropped messages."""
        self._harness.wait_until(lambda: self.text.count('"message_dropped"') == number, number)

    def close(self) -> None:
        """Close the pipe."""
        os.close(self._reader)
        os.close(self.writer)


class PeerStandIns:
    """Sockets of a configured peer coordinator and of an unknown one."""

    def __init__(self, harness: "ServiceHarness") -> None:
        self._harness = harness
        self.peer, self.unknown = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for sock in (self.peer, self.unknown):
            sock.bind(("127.0.0.1", 0))

    def send(self, sender: socket.socket, data: bytes) -> None:
        """Send a datagram to the service's gossip listener."""
        gossip = self._harness.instance.gossip
        assert gossip is not None
        sender.sendto(data, gossip.sock.getsockname())
        self._harness.turn()

    def next_datagram(self) -> bytes:
        """Wait for the next datagram to the configured peer and return it."""
        self._harness.wait_until(lambda: select.select([self.peer], [], [], 0)[0], "a datagram")
        return self.peer.recv(512)

    def close(self) -> None:
        """Close both sockets."""
        self.peer.close()
        self.unknown.close()
