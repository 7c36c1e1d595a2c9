"""Gossip: datagrams between coordinators.

Owns the UDP socket. It hands what a known peer sends to the coordinator as it came, and sends what the
coordinator asks for; a datagram that is lost is not sent again."""

import socket
from contextlib import suppress

from granitespool.coordinator import Coordinator
from granitespool.net.config import Configuration
from granitespool.net.listen_address import bind
from granitespool.net.log import Log
from granitespool.net.log_events import log_message_dropped
from granitespool.net.loop import IN, Coroutine, Loop
from granitespool.planner.events import GossipReceived

DATAGRAM_MAX = 256  # bytes of a datagram at most: the protocol's
DATAGRAMS_PER_TURN = 64  # read in one turn: the others are served between
ALL_PEERS = -1  # in place of a peer's number


class Gossip:
    """Sends and receives datagrams as long as its coroutine runs; whoever ends `task` closes the socket."""

    def __init__(self, loop: Loop, coordinator: Coordinator, log: Log, config: Configuration) -> None:
        """Binds at once; raises OSError where the address cannot be bound."""
        self.loop = loop
        self.coordinator = coordinator
        self.log = log
        self.reconfigure(config)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        assert config["peer_listen"] is not None, "gossip is on where there is an address for it"
        bind(self.sock, config["peer_listen"], log)
        self.task = loop.spawn(self._run())

    def reconfigure(self, config: Configuration) -> None:
        """Takes the peers' addresses; the socket stays."""
        self.peers = config["peers"]
        self.all_peers = config["peers_all"]
        self.numbers = {address: number for number, address in enumerate(self.peers)}

    def send(self, peer: int, contents: str) -> None:
        """Sends hex digits' bytes to one peer by its number, or to `ALL_PEERS`.

        A datagram that is too long, has no address or is not taken is lost, as the protocol permits."""
        data = bytes.fromhex(contents)
        address = self._address(peer)
        if address is None or len(data) > DATAGRAM_MAX:
            return
        with suppress(OSError):  # lost on the way, like any datagram
            self.sock.sendto(data, address)

    def _address(self, peer: int) -> tuple[str, int] | None:
        if peer < 0:
            return self.all_peers
        return self.peers[peer] if peer < len(self.peers) else None

    def _run(self) -> Coroutine:
        with self.sock:
            while True:
                yield self.sock.fileno(), IN, None
                self._read_waiting()

    def _read_waiting(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, sender = self.sock.recvfrom(DATAGRAM_MAX + 1)
            except OSError:  # nothing more, or the system tells that an earlier datagram was refused
                return
            self._received(data, sender)

    def _received(self, data: bytes, sender: tuple[str, int]) -> None:
        if sender in self.numbers and len(data) <= DATAGRAM_MAX:
            received = GossipReceived(peer=self.numbers[sender], payload=data.hex())
            self.coordinator.report(self.loop.now, received)
            return
        host, port = sender
        log_message_dropped(self.log, peer=f"{host}:{port}", reason="a datagram of no peer, or too long")
