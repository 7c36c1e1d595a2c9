"""Reading from a peer of the coordinator's own requests: discovery and backends that answer."""

import socket

import pytest

from granitespool.net.client import RECEIVE_SIZE, receive
from granitespool.net.loop import OUT, SECOND


# Guards against a backend whose answer has no end: its health check went on after the deadline, in one turn
def test_the_deadline_ends_a_read_from_a_peer_that_sends_without_a_pause():
    sock, peer = socket.socketpair()
    with sock, peer:
        sock.setblocking(False)
        peer.sendall(b"x" * 2 * RECEIVE_SIZE)
        reading = receive(sock, SECOND)
        assert next(reading) == (sock.fileno(), OUT, SECOND)
        with pytest.raises(TimeoutError):
            reading.send(0)
