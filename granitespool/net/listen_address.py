"""Bind an address that a process which is still ending may use for a moment."""

import errno
import socket
import time

from granitespool.net.log import Log

# s that a start waits for the former process to release the address: a planned restart leaves that process
# 0.7 s from SIGTERM to SIGKILL, and a start may take 30 s.
IN_USE_TIMEOUT = 5.0
RETRY_DELAY = 0.02  # s between two attempts to bind


def bind(sock: socket.socket, address: tuple[str, int], log: Log, timeout: float = IN_USE_TIMEOUT) -> None:
    """Bind the socket; raise OSError if the address is still in use after `timeout` seconds.

    A process may be started while the former one is still ending, so an address in use need not be a
    configuration error. The cost is that an address used by another program is reported seconds later.
    """
    deadline = time.monotonic() + timeout
    is_logged = False
    while True:
        try:
            sock.bind(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or time.monotonic() >= deadline:
                raise
        else:
            return
        if not is_logged:
            is_logged = True
            host, port = address
            log.event("address_in_use", address=f"{host}:{port}")
            log.flush()
        time.sleep(RETRY_DELAY)
