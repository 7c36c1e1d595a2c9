"""Taking an address that a former process may still hold for a moment."""

import errno
import time

TAKEN = 5.0  # s that a start waits for a former process to give the address up: a planned restart gives it
#                0.7 s from SIGTERM to SIGKILL, and a start may take 30 s
AGAIN = 0.02  # s between two looks


def bind(sock, address, log, most=TAKEN):
    """Binds; ends in the OSError where the address stays taken.
    Against a successor that starts while the former process still ends: that is no wrong configuration. Harm:
    an address that another program holds for good is told some seconds later."""
    until, told = time.monotonic() + most, False
    while True:
        try:
            return sock.bind(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or time.monotonic() >= until:
                raise
        if not told:
            told = True
            log.event("address_in_use", address="{}:{}".format(*address))
            log.flush()
        time.sleep(AGAIN)
