"""Listen on the coordinator's address and accept connections.

Owns the listening socket. This module never reads from a connection and does not choose the connection to
evict. It calls `admission` to check whether a connection can be accepted, and passes each accepted socket to
a callback.
"""

import errno
import socket
from collections.abc import Callable

from granitespool.net.admission import Admission
from granitespool.net.listen_address import bind
from granitespool.net.log import Log
from granitespool.net.log_events import log_rejected
from granitespool.net.loop import IN, SECOND, Coroutine, Loop

# Connections that the kernel queues. After a restart of the coordinator all proxies connect at once.
BACKLOG = 4096
# Connections accepted in one turn. The limit lets open connections be served between two batches.
ACCEPTS_PER_TURN = 64
ACCEPT_RETRY_DELAY = SECOND // 50  # ns until the next attempt if no connection can be accepted

# Error numbers of `accept` that mean the process or the machine is short of descriptors or memory.
OUT_OF_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Acceptor:
    """The listener for incoming connections; the end of `task` closes the listening socket."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        admission: Admission,
        address: tuple[str, int],
        on_accepted: Callable[[socket.socket, str], None],
    ) -> None:
        """Start to listen; raise OSError if the address cannot be bound.

        `on_accepted` is called with each accepted socket and the "host:port" of the peer. If `on_accepted`
        raises OSError, the acceptor closes the socket.
        """
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
                if not self._accept_queued():
                    yield None, 0, self.loop.now + ACCEPT_RETRY_DELAY

    def _accept_queued(self) -> bool:
        """Accept at most `ACCEPTS_PER_TURN` queued connections.

        Return False if no further connection can be accepted now. The caller then waits for
        `ACCEPT_RETRY_DELAY`.
        """
        for attempt in range(ACCEPTS_PER_TURN):
            if self.admission.is_full() and not self.admission.evict_pending():
                return False
            try:
                sock, (host, port) = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno not in OUT_OF_RESOURCES:
                    continue  # the peer closed the connection before it was accepted
                # `accept` reports a lack of resources even if no connection is queued. The first `accept` of
                # a turn follows an event, so a connection is queued and another one has to be evicted.
                return attempt > 0 or self.admission.evict_pending() or self.admission.evict_collector()
            try:
                self.on_accepted(sock, f"{host}:{port}")
            except OSError as error:  # the peer has already reset the connection; continue to accept
                sock.close()
                log_rejected(self.log, peer=host, reason=str(error))
        return True
