"""One coordinator on sockets: makes the parts, ends each turn, and gives all back at the end."""

import time
import traceback
from random import Random

from granitespool.coordinator import GONE, PEERS, PROBES, REMARKS, Coordinator
from granitespool.errors import InvalidInputError
from granitespool.net.buffers import Pool
from granitespool.net.connection import LINGER_TIMEOUT
from granitespool.net.discovery import Discovery
from granitespool.net.gossip import Gossip
from granitespool.net.health_checks import Probes
from granitespool.net.log import Log
from granitespool.net.loop import Loop
from granitespool.net.streams import Streams

FIXED = "name", "listen", "peer_listen"  # what a new configuration cannot change while the service runs


class Service:
    """`run` serves until `stop` is called, which a signal handler may do. So may it call `reload`: then what
    `reread` returns replaces the configuration that serves, unless it raises InvalidInputError."""

    def __init__(self, config, log_fd, clock=None, reread=None, mono=time.monotonic_ns):
        self.reread, self.rereads, self.mono, self.stops = reread, False, mono, 0
        self.keeper = self.managing = None  # the state folder's, the managers', where they are on
        self.loop = Loop(self._failed, clock)
        self.log = Log(log_fd, self.loop.clock, name=config["name"])
        try:
            self._make(config)
        except Exception:
            self.close()
            raise

    def _make(self, config):
        self.fixed, self.operator = {name: config[name] for name in FIXED}, config.get("operator")
        self.file_tree = None
        if self.operator and self.operator.state:
            from granitespool.state.snapshotter import Keeper  # noqa: PLC0415 imported only where it is on

            self.keeper = Keeper(
                self.loop, self.log, self.operator.state, config["name"], config["settings"], self.mono
            )
            config = {**config, "known": self.keeper.first_list(config["known"])}
        if self.operator and self.operator.managed:
            config = self.with_room(self._as_managed(config))
        self.config = config
        uniform = Random(config["seed"]).uniform
        self.coordinator = Coordinator(config["settings"], config["seed"], self.loop.now)
        self.discovery = Discovery(self.loop, self.coordinator, self.log, config, uniform)
        self.probes = Probes(self.loop, self.coordinator, self.log, config, self.discovery.addresses)
        self.peers = None
        if self._has_peers(config):
            self.peers = Gossip(self.loop, self.coordinator, self.log, config)
        self.pool = Pool(config["buffers"])
        self.streams = Streams(
            self.loop, self.coordinator, self.log, self.pool, config, self.discovery.addresses
        )
        if self.keeper:
            self.keeper.start(self.coordinator, self.discovery)
        if self.operator and self.operator.managed:
            from granitespool.net.management_service import Managing  # noqa: PLC0415 imported only where it is on

            self.managing = Managing(self, self.loop, self.log)
        self.metrics = None
        if self.operator and self.operator.figures:
            from granitespool.net.metrics import Metrics  # noqa: PLC0415 imported only where it is on

            self.metrics = Metrics(
                self.loop, self.coordinator, self.log, self.operator.figures, self.discovery
            )
        self.log.event("serving", listen="{}:{}".format(*config["listen"]))

    def with_room(self, config):
        """The configuration with what managers' doors may hold taken from the streams' descriptors."""
        operator = config.get("operator")
        doors = [each for each in (operator.netconf, operator.gnmi) if each] if operator else ()
        held = sum(each.sessions + max(2, each.sessions // 2) + 1 for each in doors)
        return {**config, "connections": max(8, config["connections"] - held)} if held else config

    def _as_managed(self, config):
        """The configuration with what managers had changed in a former life, as long as the files are those
        that they changed it from."""
        from granitespool.management import mapping  # noqa: PLC0415 imported only where it is on

        self.file_tree = mapping.tree_of(config)
        managed = self.keeper.managed() if self.keeper else None
        if managed is None:
            return config
        base, tree = managed
        if base != self.file_tree:
            self.log.event(
                "settings_discarded", reason="the files have changed since managers changed the settings"
            )
            return config
        self.log.event("settings_restored")
        return mapping.config_of(tree, config)

    @staticmethod
    def _has_peers(config):
        return bool(config["settings"].gossip_allowed and config["peer_listen"])

    def _failed(self, error):
        self.log.event("task_failed", traceback="".join(traceback.format_exception(error)))

    def _new_config(self):
        """The whole file is read and checked before any part hears of it; then each takes what is its own."""
        self.rereads = False  # first: a call from here on asks for another reading
        try:
            config = self.with_room(self.reread())
            waits = self.managing.reread(config) if self.managing else self.take(config)
        except InvalidInputError as error:
            return self.log.event("reload_rejected", reason=str(error))
        except Exception as error:
            if not hasattr(error, "why"):
                raise
            return self.log.event("reload_rejected", reason=error.why)
        self.log.event("reloaded", discovery="{}:{}".format(*config["discovery"]), restart_required=waits)

    def waits(self, config):
        """Names of what differs in this configuration and would wait for a restart."""
        waits = [name for name in FIXED if config[name] != self.fixed[name]]
        if (self.peers is not None) != self._has_peers(config):
            waits.append("peers")
        operator = config.get("operator")
        if self.operator or operator:
            from granitespool.operator_settings import restart_names  # noqa: PLC0415

            waits += restart_names(self.operator, operator)
        return waits + self.coordinator.waits(config["settings"])

    def take(self, config):
        """Each part takes what is its own of a configuration that was checked; returns what waits for a
        restart. Where one fails, all have the former one again, and its exception is raised."""
        waits, former = self.waits(config), self.config
        try:
            self._give(config)
        except Exception:
            self._give(former)
            raise
        self.config, self.last_waits = config, waits
        return waits

    def _give(self, config):
        operator = config.get("operator")
        if self.keeper and operator and operator.state:
            self.keeper.new_options(operator.state)
        if self.metrics and operator and operator.figures:
            self.metrics.options = operator.figures
        self.coordinator.new_settings(self.loop.now, config["settings"])
        for part in (self.discovery, self.probes, self.streams, *([self.peers] if self.peers else ())):
            part.new_config(config)
        self.pool.most = config["buffers"]

    def _end_of_turn(self, now):
        if self.rereads:
            try:
                self._new_config()
            except Exception as error:  # a part that cannot take its own must not end the others' service
                self._failed(error)
        if self.managing:
            try:
                self.managing.end_of_turn(now)
            except Exception as error:  # a manager's trouble ends no proxy's service
                self._failed(error)
        due = self.coordinator.tick(now)
        if self.managing and (other := self.managing.due()) is not None:
            due = other if due is None else min(due, other)
        for party in self.coordinator.parties():
            try:
                self._write(party)
            except Exception as error:  # what cannot be written to one party ends no other's service
                self._failed(error)
        if self.metrics:
            self.metrics.turn_ended(now)
        self.log.flush()
        return due

    def _write(self, party):
        if party == PROBES:
            self.probes.start()
        elif party == PEERS:
            while (words := self.coordinator.pick(PEERS)) is not None:
                if self.peers:
                    self.peers.send(*words)
        elif party == GONE:
            while (backend := self.coordinator.pick(GONE)) is not None:
                self.discovery.forget(backend)
        elif party == REMARKS:
            while (text := self.coordinator.pick(REMARKS)) is not None:
                self.log.event("internal_error", detail=text)
        else:
            self.streams.send(party)

    def run(self):
        try:
            self.loop.run(self._end_of_turn)
            self._finish()
        finally:
            self.close()

    def _finish(self):
        """Everyone is told the end after what was ordered; who takes nothing is waited for a moment, and not
        past a second stop. No decision is taken any more."""
        until = self.loop.clock() + LINGER_TIMEOUT
        self.streams.finish()
        while self.streams.connections and self.stops < 2 and (left := until - self.loop.clock()) > 0:
            self.loop.turn(self._last_turn, left)

    def _last_turn(self, now):
        self.log.flush()

    def turn(self, wait):
        """One turn, for who has a loop of its own; `wait` in ns."""
        self.loop.turn(self._end_of_turn, wait)

    def close(self):
        for part in (self.managing, self.keeper):
            try:
                if part:
                    part.close()
            except Exception as error:  # what one part cannot give back must not keep the others from it
                self._failed(error)
        self.log.event("stopped")
        self.loop.close()
        self.log.close()

    def reload(self):
        """Reads the configuration anew in the next turn; may be called from a signal handler."""
        self.rereads = self.reread is not None
        self.loop.wake()

    def stop(self):
        """Ends `run`; may be called from a signal handler."""
        self.stops += 1
        self.loop.stop()
