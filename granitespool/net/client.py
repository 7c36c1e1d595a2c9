"""Steps that coroutines share: dialling a party, asking it by HTTP, taking what it sends."""

import errno
import socket

import h11

from granitespool.net.loop import IN, OUT

READ = 16 * 1024  # bytes taken from an HTTP party at once


def dial(sock, address, due):
    """Connects; ends in TimeoutError, or in the OSError that the network tells."""
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
        if not (yield sock.fileno(), OUT, due):
            raise TimeoutError("no connection in time")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, errno.errorcode.get(code, str(code)))


def send(sock, data, due):
    while data:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            if not (yield sock.fileno(), OUT, due):
                raise TimeoutError("not taken in time") from None


def ask(sock, where, target, due, *headers):
    """Sends a GET; returns the h11 connection that is to read the answer."""
    http = h11.Connection(h11.CLIENT)
    yield from send(
        sock,
        http.send(
            h11.Request(method="GET", target=target, headers=[("Host", "{}:{}".format(*where)), *headers])
        ),
        due,
    )
    http.send(h11.EndOfMessage())
    return http


def receive(sock, due):
    """Some bytes, b"" at the end of the connection. Who sends without end leaves the others their turns."""
    while True:
        try:
            data = sock.recv(READ)
        except BlockingIOError:
            if not (yield sock.fileno(), IN, due):
                raise TimeoutError("silent") from None
            continue
        if len(data) == READ:
            yield sock.fileno(), OUT, due
        return data
