"""Stand-ins for proxies and collectors: connections to a service's proxy listener, by name."""

import socket
from collections import defaultdict
from typing import TYPE_CHECKING, Any

from support import sockets, wire_messages
from support.sockets import END, FullSocket
from support.wire_messages import HEARTBEAT, framed

if TYPE_CHECKING:
    from support.service_harness import ServiceHarness

MAX_TURNS = 20_000  # turns within which a message must be written
CHUNK_SIZE = 60_000  # bytes of a large message written in one turn


class ServiceClients:
    """Connections by name; `sent_to` collects the text that the service has sent to each."""

    def __init__(self, harness: "ServiceHarness") -> None:
        self._harness = harness
        self.sockets: dict[str, socket.socket] = {}
        self._blocked: dict[str, tuple[Any, Any]] = {}  # name -> connection of the service, its socket
        self.sent_to: defaultdict[str, str] = defaultdict(str)

    def turn(self) -> None:
        """Read the available data of each connection."""
        for name, sock in self.sockets.items():
            if not self.sent_to[name].endswith(END):
                self.sent_to[name] += sockets.received(sock)

    # Connecting

    def connect(self, name: str) -> None:
        """Open a connection."""
        self.sockets[name] = self._open_socket()
        self._harness.turn()

    def connect_many(self, prefix: str, number: int) -> None:
        """Open `number` connections, named PREFIX0, PREFIX1, ..."""
        for position in range(number):
            self.connect(f"{prefix}{position}")

    def join(self, name: str, proxy: int, zone: str = "n") -> None:
        """Open a connection and join on it as a proxy."""
        self.connect(name)
        self.send(name, wire_messages.joined(proxy, zone))

    def join_before_accept(self, name: str, proxy: int, zone: str = "n") -> None:
        """Join as in `join`, but send the message before the service accepts the connection."""
        sock = self._open_socket(framed(wire_messages.joined(proxy, zone)))
        self.sockets[name] = sock
        self._harness.turn()

    def join_many_at_once(self, prefix: str, number: int, zone: str = "n") -> None:
        """Join `number` proxies before the service runs again, named PREFIX0, PREFIX1, ..."""
        with self._harness.suspended():
            for proxy in range(number):
                self.join_before_accept(f"{prefix}{proxy}", proxy, zone)

    def _open_socket(self, first: bytes = b"") -> socket.socket:
        sock = socket.create_connection(self._harness.instance.streams.listener.getsockname())
        sock.sendall(first)
        sock.setblocking(False)
        return sock

    def close(self, name: str) -> None:
        """Close a connection."""
        self.sockets.pop(name).close()
        self._harness.turn()

    def shut_down_sending(self, name: str) -> None:
        """Shut down the sending side of a connection; it can still be read."""
        self.sockets[name].shutdown(socket.SHUT_WR)
        self._harness.turn()

    def close_all(self) -> None:
        """Close all sockets."""
        for sock in self.sockets.values():
            sock.close()

    # Sending

    def write(self, name: str, data: bytes) -> None:
        """Write all bytes; run turns of the service while its receive buffer is full."""
        view = memoryview(data)
        for _ in range(MAX_TURNS):
            try:
                view = view[self.sockets[name].send(view) :]
            except BlockingIOError:
                pass
            except ConnectionError:
                return
            if not view:
                return
            self._harness.wait()
        assert not view, f"{len(view)} bytes to {name!r} not written after {MAX_TURNS} turns"

    def send(self, name: str, message: str) -> None:
        """Send one message."""
        self.write(name, framed(message))
        self._harness.turn()

    def send_bytewise(self, name: str, message: str) -> None:
        """Send one message, one byte in each turn."""
        for byte in framed(message):
            self.send_bytes(name, bytes([byte]))

    def send_repeatedly(self, name: str, times: int, message: str) -> None:
        """Send the same message many times in one write."""
        self.write(name, framed(message) * times)

    def send_bytes(self, name: str, data: bytes) -> None:
        """Send bytes without framing."""
        self.write(name, data)
        self._harness.turn()

    def send_all_but_last_byte(self, name: str, size: int) -> None:
        """Send the length prefix of a message and its body without the last byte."""
        self.write(name, size.to_bytes(4, "little"))
        for start in range(0, size - 1, CHUNK_SIZE):
            self.send_bytes(name, b" " * min(CHUNK_SIZE, size - 1 - start))

    def send_at_once(self, name: str, message: str) -> None:
        """Send a message without running a turn of the service."""
        self.sockets[name].sendall(framed(message))

    def send_more_than_a_buffer(self, name: str) -> None:
        """Send heartbeats that fill a buffer, and the first bytes of a further message."""
        size = self._harness.instance.streams.pool.size
        heartbeats = framed(HEARTBEAT) * 1000
        self.sockets[name].sendall(heartbeats[:size] + b"x" * 100)
        self._harness.turn()

    # Receiving

    def wait_for(self, name: str, text: str) -> None:
        """Wait until the text sent to a connection contains `text`."""
        self._harness.wait_until(lambda: text in self.sent_to[name], (name, text))

    def wait_for_end(self, name: str) -> None:
        """Wait until the service has ended the connection."""
        self.wait_for(name, END)

    def wait_for_heartbeat(self, name: str) -> None:
        """Send a heartbeat and wait for its answer."""
        before = self.sent_to[name].count('"pong"')
        self.send(name, HEARTBEAT)
        self._harness.wait_until(lambda: self.sent_to[name].count('"pong"') > before, (name, "pong"))

    def received(self, name: str) -> str:
        """Return the text sent to a connection up to the answer to a heartbeat."""
        self.wait_for_heartbeat(name)
        return self.sent_to[name]

    def clear_received(self, name: str) -> None:
        """Discard the text that was sent to a connection so far."""
        self.sent_to[name] = ""

    def closed_without_reset(self, name: str) -> bool:
        """Return whether the connection was closed without a reset."""
        return self.sockets[name].recv(1) == b""

    def stop_reading(self, name: str) -> None:
        """Stop reading from a connection: the service's writes to it would block."""
        peer = "{}:{}".format(*self.sockets[name].getsockname())
        connections: Any = self._harness.instance.streams.connections
        connection = next(connection for connection in connections if connection.peer == peer)
        self._blocked[name] = connection, connection.sock
        connection.sock = FullSocket(connection.sock)

    def resume_reading(self, name: str) -> None:
        """Read from a connection again."""
        connection, sock = self._blocked.pop(name)
        connection.sock = sock
        self._harness.turn()

    def fail_writes(self, name: str, error: type[OSError], sent_before: str | None = None) -> None:
        """Let later writes to a connection fail with `error`; the client sends `sent_before` first."""
        if sent_before is not None:
            self.send_at_once(name, sent_before)
        connection, _ = self._blocked[name]
        connection.sock.error = error
        self._harness.turn()
