"""Steps that coroutines share on a non-blocking socket: connecting, sending, an HTTP GET, receiving.

Each is a coroutine of the loop, used by `yield from`. The caller owns the socket."""

import errno
import socket
from collections.abc import Generator

import h11

from granitespool.net.loop import IN, OUT, Wait

RECEIVE_SIZE = 16 * 1024  # bytes received at once


def dial(sock: socket.socket, address: tuple[str, int], deadline: int | None) -> Generator[Wait, int, None]:
    """Connects until `deadline` (ns).

    Raises TimeoutError past it, or the OSError that the network tells."""
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
        if not (yield sock.fileno(), OUT, deadline):
            raise TimeoutError("no connection in time")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, errno.errorcode.get(code, str(code)))


def send(sock: socket.socket, data: bytes, deadline: int | None) -> Generator[Wait, int, None]:
    """Sends all of `data`; raises TimeoutError where it is not taken until `deadline` (ns), or OSError."""
    while data:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            if not (yield sock.fileno(), OUT, deadline):
                raise TimeoutError("not taken in time") from None


def http_get(
    sock: socket.socket,
    address: tuple[str, int],
    target: str,
    deadline: int | None,
    *headers: tuple[str, str],
) -> Generator[Wait, int, h11.Connection]:
    """Sends a GET of `target` and returns the h11 connection that is to read the answer.

    Raises TimeoutError where it is not taken until `deadline` (ns), or OSError."""
    host, port = address
    http = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target=target, headers=[("Host", f"{host}:{port}"), *headers])
    yield from send(sock, http.send(request) or b"", deadline)
    http.send(h11.EndOfMessage())
    return http


def receive(sock: socket.socket, deadline: int | None) -> Generator[Wait, int, bytes]:
    """Some bytes, b"" at the end of the connection.

    Raises TimeoutError where none come until `deadline` (ns), or OSError. A peer that sends without end
    leaves the others their turns: after a full read the caller goes on in the next turn."""
    while True:
        try:
            data = sock.recv(RECEIVE_SIZE)
        except BlockingIOError:
            if not (yield sock.fileno(), IN, deadline):
                raise TimeoutError("silent") from None
            continue
        if len(data) == RECEIVE_SIZE:
            yield sock.fileno(), OUT, deadline
        return data
