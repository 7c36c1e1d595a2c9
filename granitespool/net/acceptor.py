"""Listening at the coordinator's address and taking connections.

Owns the listening socket. It never reads from a connection and never decides which is evicted: it asks
`admission` for room and hands each socket on."""

import errno
import socket
from collections.abc import Callable

from granitespool.net.admission import Admission
from granitespool.net.listen_address import bind
from granitespool.net.log import Log
from granitespool.net.log_events import log_rejected
from granitespool.net.loop import IN, SECOND, Coroutine, Loop

BACKLOG = 4096  # connections the system holds for us: all proxies at once after a restart
ACCEPTS_PER_TURN = 64  # connections taken in one turn: the others are served between
ACCEPT_RETRY_DELAY = SECOND // 50  # ns between accepts while there is no room

OUT_OF_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Acceptor:
    """Accepts as long as its coroutine runs; whoever ends `task` closes the listener with it."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        admission: Admission,
        address: tuple[str, int],
        on_accepted: Callable[[socket.socket, str], None],
    ) -> None:
        """Listens at once; raises OSError where the address cannot be bound.

        `on_accepted` is called with each socket and its peer's "host:port"; where it raises OSError the
        socket is closed here."""
        self.loop, self.log, self.admission, self.on_accepted = loop, log, admission, on_accepted
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bind(self.listener, address, log)
        self.listener.listen(BACKLOG)
        self.task = loop.spawn(self._run())

    def _run(self) -> Coroutine:
        with self.listener:
            while True:
                yield self.listener.fileno(), IN, None
                if not self._accept_waiting():
                    yield None, 0, self.loop.now + ACCEPT_RETRY_DELAY

    def _accept_waiting(self) -> bool:
        """Takes those who wait, as many as a turn may.

        Returns False where there is no room for one: then a moment must pass before the next is taken."""
        for attempt in range(ACCEPTS_PER_TURN):
            if self.admission.is_full() and not self.admission.end_pending():
                return False
            try:
                sock, (host, port) = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno not in OUT_OF_RESOURCES:
                    continue  # gone before it was taken
                # The system says so before it looks whether anyone waits: only the first time in a turn does
                # somebody surely wait, and room must be made.
                return attempt > 0 or self.admission.end_pending() or self.admission.end_collector()
            try:
                self.on_accepted(sock, f"{host}:{port}")
            except OSError as error:  # reset already: it must not end the accepting
                sock.close()
                log_rejected(self.log, peer=host, reason=str(error))
        return True
