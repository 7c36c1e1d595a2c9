"""Helpers for the non-blocking sockets of the stand-ins."""

import socket
from contextlib import suppress

END = "<end>"  # marks the end of a connection in received text
READ_SIZE = 1 << 20  # bytes of one read at most


def accepted(listener: socket.socket) -> socket.socket | None:
    """Return the next pending connection; None if there is none or no descriptor is free."""
    with suppress(OSError):
        sock = listener.accept()[0]
        sock.setblocking(False)
        return sock
    return None


def received(sock: socket.socket) -> str:
    """Return the available data as text, `END` at the end of the connection."""
    try:
        return sock.recv(READ_SIZE).decode("latin1") or END
    except BlockingIOError:
        return ""
    except OSError:
        return END


class FullSocket:
    """A socket with a full send buffer: writes fail with `error`."""

    error: type[OSError] = BlockingIOError

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)

    def send(self, _data: bytes) -> int:
        """Raise `error`."""
        raise self.error
