"""Gossip: datagrams between coordinators.

Owns the UDP socket. Datagrams from configured peers are passed to the coordinator uninterpreted, and the
coordinator's datagrams are sent. A lost datagram is not sent again.
"""

import socket
from contextlib import suppress

from granitespool.coordinator import Coordinator
from granitespool.net.config import Configuration
from granitespool.net.listen_address import bind
from granitespool.net.log import Log
from granitespool.net.log_events import log_message_dropped
from granitespool.net.loop import IN, Coroutine, Loop
from granitespool.planner.events import GossipReceived

DATAGRAM_MAX = 256  # bytes of a datagram, limited by the protocol
# Datagrams read in one turn. The limit lets open connections be served between two batches.
DATAGRAMS_PER_TURN = 64
ALL_PEERS = -1  # stands for all peers where a peer number is expected


class Gossip:
    """Sends and receives datagrams; the end of `task` closes the socket."""

    def __init__(self, loop: Loop, coordinator: Coordinator, log: Log, config: Configuration) -> None:
        """Bind the socket and start to receive; raise OSError if the address cannot be bound."""
        self.loop = loop
        self.coordinator = coordinator
        self.log = log
        self.reconfigure(config)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        assert config["peer_listen"] is not None, "gossip is only enabled if peer_listen is set"
        bind(self.sock, config["peer_listen"], log)
        self.task = loop.spawn(self._run())

    def reconfigure(self, config: Configuration) -> None:
        """Use the configuration's peer addresses; the bound address does not change."""
        self.peers = config["peers"]
        self.all_peers = config["peers_all"]
        self.numbers = {address: number for number, address in enumerate(self.peers)}

    def send(self, peer: int, contents: str) -> None:
        """Send the bytes of a hex string to the peer with the number `peer`, or to `ALL_PEERS`.

        A datagram is dropped if it is too long, if no address is configured for `peer` or if it cannot be
        sent. The protocol permits the loss of any datagram.
        """
        data = bytes.fromhex(contents)
        address = self._address(peer)
        if address is None or len(data) > DATAGRAM_MAX:
            return
        with suppress(OSError):  # the protocol permits the loss of any datagram
            self.sock.sendto(data, address)

    def _address(self, peer: int) -> tuple[str, int] | None:
        if peer < 0:
            return self.all_peers
        return self.peers[peer] if peer < len(self.peers) else None

    def _run(self) -> Coroutine:
        with self.sock:
            while True:
                yield self.sock.fileno(), IN, None
                self._read_datagrams()

    def _read_datagrams(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, sender = self.sock.recvfrom(DATAGRAM_MAX + 1)
            except OSError:  # no datagram is left, or the kernel reports that a sent datagram was rejected
                return
            self._handle_datagram(data, sender)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        if sender in self.numbers and len(data) <= DATAGRAM_MAX:
            received = GossipReceived(peer=self.numbers[sender], payload=data.hex())
            self.coordinator.report(self.loop.now, received)
            return
        host, port = sender
        log_message_dropped(
            self.log, peer=f"{host}:{port}", reason="a datagram of no configured peer, or too long"
        )
