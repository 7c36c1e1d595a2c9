"""One coordinator on sockets: makes the parts, ends each turn, and gives all back at the end."""
import traceback
from random import Random

from granitespool.facade import PEERS, PROBES, REMARKS, Coordinator
from granitespool.net.buffers import Pool
from granitespool.net.discovery import Discovery
from granitespool.net.log import Log
from granitespool.net.loop import Loop
from granitespool.net.peers import Peers
from granitespool.net.probes import Probes
from granitespool.net.streams import Streams


class Service:
    """`run` serves until `stop` is called, which a signal handler may do."""

    def __init__(self, config, log_fd, clock=None):
        self.loop = Loop(self._failed, clock)
        self.log = Log(log_fd, self.loop.clock, name=config["name"])
        try:
            self._make(config)
        except Exception:
            self.close()
            raise

    def _make(self, config):
        uniform = Random(config["seed"]).uniform
        self.coordinator = Coordinator(config["settings"], config["seed"], self.loop.now)
        self.discovery = Discovery(self.loop, self.coordinator, self.log, config, uniform)
        self.probes = Probes(self.loop, self.coordinator, self.log, config, self.discovery.addresses)
        self.peers = None
        if config["settings"].get("peers") and config["peer_listen"]:
            self.peers = Peers(self.loop, self.coordinator, self.log, config)
        self.streams = Streams(self.loop, self.coordinator, self.log, Pool(), config,
                               self.discovery.addresses)
        self.log.event("serving", listen="{}:{}".format(*config["listen"]))

    def _failed(self, error):
        self.log.event("failed", why="".join(traceback.format_exception(error)))

    def _end_of_turn(self, now):
        due = self.coordinator.tick(now)
        for party in self.coordinator.parties():
            try:
                self._write(party)
            except Exception as error:  # what cannot be written to one party ends no other's service
                self._failed(error)
        self.log.flush()
        return due

    def _write(self, party):
        if party == PROBES:
            self.probes.start()
        elif party == PEERS:
            while (words := self.coordinator.pick(PEERS)) is not None:
                if self.peers:
                    self.peers.send(*words)
        elif party == REMARKS:
            while (text := self.coordinator.pick(REMARKS)) is not None:
                self.log.event("remark", text=text)
        else:
            self.streams.send(party)

    def run(self):
        try:
            self.loop.run(self._end_of_turn)
        finally:
            self.close()

    def turn(self, wait):
        """One turn, for who has a loop of its own; `wait` in ns."""
        self.loop.turn(self._end_of_turn, wait)

    def close(self):
        self.log.event("stopped")
        self.loop.close()
        self.log.close()

    def stop(self):
        self.loop.stop()
