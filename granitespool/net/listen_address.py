"""Binding an address that a former process may still hold for a moment."""

import errno
import socket
import time

from granitespool.net.log import Log

IN_USE_TIMEOUT = 5.0  # s that a start waits for a former process to release the address: a planned restart
#                         gives it 0.7 s from SIGTERM to SIGKILL, and a start may take 30 s
RETRY_DELAY = 0.02  # s between two attempts


def bind(sock: socket.socket, address: tuple[str, int], log: Log, timeout: float = IN_USE_TIMEOUT) -> None:
    """Binds; raises the OSError where the address stays in use for `timeout` seconds.

    A successor may start while the former process still ends, so that an address in use is not yet a wrong
    configuration. The cost: an address that another program holds for good is told some seconds later."""
    give_up_at = time.monotonic() + timeout
    is_logged = False
    while True:
        try:
            sock.bind(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or time.monotonic() >= give_up_at:
                raise
        else:
            return
        if not is_logged:
            is_logged = True
            host, port = address
            log.event("address_in_use", address=f"{host}:{port}")
            log.flush()
        time.sleep(RETRY_DELAY)
