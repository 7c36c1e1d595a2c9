"""Datagrams between coordinators; owns the UDP socket."""

import socket

from granitespool.net.listen_address import bind
from granitespool.net.loop import IN

LONGEST = 256  # bytes of a datagram at most: the protocol's
AT_ONCE = 64  # datagrams read in one turn: the others are served between


class Peers:
    def __init__(self, loop, coordinator, log, config):
        self.loop, self.coordinator, self.log = loop, coordinator, log
        self.new_config(config)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        bind(self.sock, config["peer_listen"], log)
        loop.spawn(self._read())

    def new_config(self, config):
        self.peers, self.everyone = config["peers"], config["peers_all"]
        self.numbers = {peer: number for number, peer in enumerate(self.peers)}

    def _read(self):
        with self.sock:
            while True:
                yield self.sock.fileno(), IN, None
                for _ in range(AT_ONCE):
                    try:
                        data, sender = self.sock.recvfrom(LONGEST + 1)
                    except OSError:  # nothing more, or an earlier datagram was refused
                        break
                    if sender in self.numbers and len(data) <= LONGEST:
                        self.coordinator.report(
                            self.loop.now, "peer_said", sender=self.numbers[sender], contents=data.hex()
                        )
                    else:
                        self.log.often(
                            "dropped", peer="{}:{}".format(*sender), why="a datagram of no peer, or too long"
                        )

    def send(self, peer, contents):
        """To one peer by its number, or to all with -1."""
        data = bytes.fromhex(contents)
        where = self.everyone if peer < 0 else self.peers[peer] if peer < len(self.peers) else None
        try:
            if where and len(data) <= LONGEST:
                self.sock.sendto(data, where)
        except OSError:
            pass  # late or never, as the protocol says
