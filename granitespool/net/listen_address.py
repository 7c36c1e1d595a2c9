"""Bind an address, with retries while the former process still uses the address."""

import errno
import socket
import time

from granitespool.net.log import Log

# Seconds for which a starting process waits until the former process releases the address. In a planned
# restart the former process has 0.7 s from SIGTERM to SIGKILL. A start may take 30 s.
IN_USE_TIMEOUT = 5.0
RETRY_DELAY = 0.02  # s between two attempts to bind


def bind(sock: socket.socket, address: tuple[str, int], log: Log, timeout: float = IN_USE_TIMEOUT) -> None:
    """Bind the socket; raise OSError if the address is still in use after `timeout` seconds.

    A process may be started while the former process is still shutting down. An address in use is therefore
    not always a configuration error. If another program uses the address, the error is reported only after
    `timeout`.
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
