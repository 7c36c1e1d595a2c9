"""What the stand-ins of a service's neighbours share: sockets that never block."""

import socket
from contextlib import suppress

END = "<end>"  # stands in what was received for the end of a connection
READ_SIZE = 1 << 20  # bytes


def accepted(listener: socket.socket) -> socket.socket | None:
    """The next connection that waits; None where nobody does or no descriptor is free."""
    with suppress(OSError):
        sock = listener.accept()[0]
        sock.setblocking(False)
        return sock
    return None


def received(sock: socket.socket) -> str:
    """What stands there to be read as text, `END` for the end of the connection."""
    try:
        return sock.recv(READ_SIZE).decode("latin1") or END
    except BlockingIOError:
        return ""
    except OSError:
        return END


class FullSocket:
    """A socket whose other side takes nothing; writes fail with `error`."""

    error: type[OSError] = BlockingIOError

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)

    def send(self, _data: bytes) -> int:
        """Fail."""
        raise self.error
