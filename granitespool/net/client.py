"""Client operations on a non-blocking socket: connect, send, send an HTTP GET, receive.

Each operation is a coroutine of the loop and is called with `yield from`. The caller owns the socket.
"""

import errno
import socket
from collections.abc import Generator

import h11

from granitespool.net.loop import IN, OUT, Wait

RECEIVE_SIZE = 16 * 1024  # bytes, the largest read


def dial(sock: socket.socket, address: tuple[str, int], deadline: int | None) -> Generator[Wait, int, None]:
    """Connect to `address`.

    Raise TimeoutError if the connection is not established by `deadline` (ns), and OSError if it fails.
    """
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
        if not (yield sock.fileno(), OUT, deadline):
            raise TimeoutError("the connection attempt timed out")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, errno.errorcode.get(code, str(code)))


def send(sock: socket.socket, data: bytes, deadline: int | None) -> Generator[Wait, int, None]:
    """Send all of `data`.

    Raise TimeoutError if it is not sent by `deadline` (ns), and OSError if the connection is broken.
    """
    while data:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            if not (yield sock.fileno(), OUT, deadline):
                raise TimeoutError("sending the request timed out") from None


def http_get(
    sock: socket.socket,
    address: tuple[str, int],
    target: str,
    deadline: int | None,
    *headers: tuple[str, str],
) -> Generator[Wait, int, h11.Connection]:
    """Send a GET request for `target` and return the h11 connection that parses the response.

    Raise TimeoutError if the request is not sent by `deadline` (ns), and OSError if the connection is broken.
    """
    host, port = address
    http = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target=target, headers=[("Host", f"{host}:{port}"), *headers])
    yield from send(sock, http.send(request) or b"", deadline)
    http.send(h11.EndOfMessage())
    return http


def receive(sock: socket.socket, deadline: int | None) -> Generator[Wait, int, bytes]:
    """Return the next received bytes, or b"" if the peer has closed the connection.

    Raise TimeoutError if no bytes are received by `deadline` (ns) or if the deadline passes while more bytes
    may wait, and OSError if the connection is broken.
    After a read of `RECEIVE_SIZE` bytes the caller is resumed only in the next turn. A peer that sends
    without a pause therefore does not starve the other peers.
    """
    while True:
        try:
            data = sock.recv(RECEIVE_SIZE)
        except BlockingIOError:
            if not (yield sock.fileno(), IN, deadline):
                raise TimeoutError("no data was received before the deadline") from None
            continue
        if len(data) == RECEIVE_SIZE and not (yield sock.fileno(), OUT, deadline):
            raise TimeoutError("the peer was still sending at the deadline")
        return data
