"""One coordinator on sockets: makes the parts, ends each turn, and gives all back at the end.

Owns the loop, the log and the parts; what each may take of a new configuration is for `reconfiguration`. It
takes no decision: it hands what the coordinator orders to the part that writes it."""

import time
import traceback
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, cast

from granitespool.coordinator import Coordinator
from granitespool.errors import InvalidInputError
from granitespool.management.errors import ManagementError
from granitespool.net.buffers import BufferPool
from granitespool.net.config import Configuration, format_address
from granitespool.net.connection import LINGER_TIMEOUT
from granitespool.net.discovery import Discovery
from granitespool.net.gossip import Gossip
from granitespool.net.health_checks import HealthChecks
from granitespool.net.log import Log
from granitespool.net.loop import Loop
from granitespool.net.reconfiguration import Reconfiguration, may_gossip, without_management_sockets
from granitespool.net.streams import Streams
from granitespool.outgoing import (
    GossipMessage,
    InternalError,
    OutgoingMessage,
    Queue,
    Recipient,
    RemovedBackend,
)

if TYPE_CHECKING:
    from granitespool.management.data_tree import Tree
    from granitespool.net.management_service import ManagementService
    from granitespool.net.metrics import Metrics
    from granitespool.operator_settings import StateSettings
    from granitespool.state.snapshotter import Snapshotter

Clock = Callable[[], int]  # ns


class Service:
    """One coordinator on sockets.

    `run` serves until `stop` is called, which a signal handler may do. So may it call `reload`: then what
    `read_configuration` returns replaces the configuration in force, unless it raises InvalidInputError.
    """

    def __init__(
        self,
        config: Configuration,
        log_fd: int,
        clock: Clock | None = None,
        read_configuration: Callable[[], Configuration] | None = None,
        monotonic_clock: Clock = time.monotonic_ns,
    ) -> None:
        """`clock` is the loop's; `monotonic_clock` is not moved by a setting of the time (state folder).

        Raises InvalidInputError or OSError where the service cannot start."""
        self.read_configuration = read_configuration
        self.monotonic_clock = monotonic_clock
        self.is_reload_requested = False
        self.stop_count = 0  # how often `stop` was called
        self.snapshotter: Snapshotter | None = None  # of the state folder, where it is on
        self.management: ManagementService | None = None  # where a management listener is on
        self.metrics: Metrics | None = None  # where its section is on
        self.gossip: Gossip | None = None  # where the settings permit it
        self.loop = Loop(self._report_failure, clock)
        self.log = Log(log_fd, self.loop.clock, name=config["name"])
        try:
            self._make(config)
        except Exception:
            self.close()
            raise

    @property
    def config(self) -> Configuration:
        """The configuration in force."""
        return self.reconfiguration.config

    def run(self) -> None:
        """Serves until `stop` is called, then gives all back."""
        try:
            self.loop.run(self._end_of_turn)
            self._finish()
        finally:
            self.close()

    def turn(self, wait: int) -> None:
        """One turn, for a caller with a loop of its own; `wait` in ns."""
        self.loop.turn(self._end_of_turn, wait)

    def reload(self) -> None:
        """Reads the configuration anew in the next turn; may be called from a signal handler."""
        self.is_reload_requested = self.read_configuration is not None
        self.loop.wake()

    def stop(self) -> None:
        """Ends `run`; may be called from a signal handler."""
        self.stop_count += 1
        self.loop.stop()

    def close(self) -> None:
        """Gives back what all parts own."""
        for part in (self.management, self.snapshotter):
            if part:
                self._run_guarded(part.close)
        self.log.event("stopped")
        self.loop.close()
        self.log.close()

    # Making the parts

    def _make(self, config: Configuration) -> None:
        operator = config.get("operator")
        self.operator = operator
        self.file_tree: Tree | None = None  # of the files, as managers see them
        if operator and operator.state:
            self.snapshotter = self._make_snapshotter(config, operator.state)
            config = config.copy()
            config["known"] = self.snapshotter.choose_endpoint_list(config["known"])
        if operator and operator.has_management_listener:
            config = without_management_sockets(self._with_managed_settings(config))
        self._make_network(config)
        self.reconfiguration = Reconfiguration(self, config)
        if self.snapshotter:
            self.snapshotter.start(self.coordinator, self.discovery)
        if operator and operator.has_management_listener:
            from granitespool.net.management_service import ManagementService  # noqa: PLC0415 only where it is on

            self.management = ManagementService(self, self.loop, self.log)
        if operator and operator.figures:
            from granitespool.net.metrics import Metrics  # noqa: PLC0415 only where it is on

            self.metrics = Metrics(self.loop, self.coordinator, self.log, operator.figures, self.discovery)
        self.log.event("serving", listen=format_address(config["listen"]))

    def _make_network(self, config: Configuration) -> None:
        loop, log = self.loop, self.log
        uniform = Random(config["seed"]).uniform
        self.coordinator = Coordinator(config["settings"], config["seed"], loop.now)
        self.discovery = Discovery(loop, self.coordinator, log, config, uniform)
        addresses = self.discovery.addresses
        self.health_checks = HealthChecks(loop, self.coordinator, log, config, addresses)
        if may_gossip(config):
            self.gossip = Gossip(loop, self.coordinator, log, config)
        self.pool = BufferPool(config["buffers"])
        self.streams = Streams(loop, self.coordinator, log, self.pool, config, addresses)

    def _make_snapshotter(self, config: Configuration, options: "StateSettings") -> "Snapshotter":
        from granitespool.state.snapshotter import Snapshotter  # noqa: PLC0415 only where it is on

        return Snapshotter(
            self.loop, self.log, options, config["name"], config["settings"], self.monotonic_clock
        )

    def _with_managed_settings(self, config: Configuration) -> Configuration:
        """The configuration with what managers changed before the restart.

        That holds as long as the files are those that they changed it from."""
        from granitespool.management import mapping  # noqa: PLC0415 only where it is on

        self.file_tree = mapping.tree_of(config)
        managed = self.snapshotter.managed_settings if self.snapshotter else None
        if managed is None:
            return config
        base, tree = managed
        if base != self.file_tree:
            self.log.event(
                "settings_discarded", reason="the files have changed since managers changed the settings"
            )
            return config
        self.log.event("settings_restored")
        return cast(Configuration, mapping.config_of(tree, config))

    # Turns

    def _end_of_turn(self, now: int) -> int | None:
        if self.is_reload_requested:
            self._run_guarded(self._reload)
        if self.management:
            self._run_guarded(self.management.end_of_turn, now)
        due: int | None = self.coordinator.tick(now)
        if self.management and (other := self.management.due()) is not None:
            due = other if due is None else min(due, other)
        for recipient in self.coordinator.recipients():
            self._run_guarded(self._write, recipient)
        if self.metrics:
            self.metrics.turn_ended(now)
        self.log.flush()
        return due

    def _reload(self) -> None:
        """Reads and checks the whole file before any part hears of it; then each takes what is its own."""
        self.is_reload_requested = False  # first: a call from here on asks for another reading
        assert self.read_configuration is not None
        try:
            config = without_management_sockets(self.read_configuration())
            if self.management:
                restart_required = self.management.reload(config)
            else:
                restart_required = self.reconfiguration.apply(config)
        except (InvalidInputError, ManagementError) as error:
            self.log.event("reload_rejected", reason=str(error))
            return
        self.log.event(
            "reloaded", discovery=format_address(config["discovery"]), restart_required=restart_required
        )

    def _write(self, recipient: Recipient) -> None:
        """Hands what waits for a recipient to the part that writes it."""
        if isinstance(recipient, int):
            self.streams.send(recipient)
        elif recipient is Queue.HEALTH_CHECKS:
            self.health_checks.start()  # which takes as many as its limit permits
        else:
            while (message := self.coordinator.next_message(recipient)) is not None:
                self._handle(message)

    def _handle(self, message: OutgoingMessage) -> None:
        """Does what one message of a queue asks for."""
        if isinstance(message, GossipMessage):
            if self.gossip:
                self.gossip.send(message.peer, message.payload)
        elif isinstance(message, RemovedBackend):
            self.discovery.forget(message.backend)
        elif isinstance(message, InternalError):
            self.log.event("internal_error", detail=message.text)

    def _finish(self) -> None:
        """Ends all streams after what was ordered.

        A proxy that takes nothing is waited for, `LINGER_TIMEOUT` at most and not past a second stop. No
        decision is taken any more."""
        until = self.loop.clock() + LINGER_TIMEOUT
        self.streams.finish()
        while self.streams.connections and self.stop_count < 2 and (left := until - self.loop.clock()) > 0:
            self.loop.turn(self._end_of_last_turn, left)

    def _end_of_last_turn(self, _now: int) -> None:
        self.log.flush()

    def _run_guarded(self, step: Callable[..., None], *arguments: object) -> None:
        """Runs a step; its failure is logged and must not end what is served to others."""
        try:
            step(*arguments)
        except Exception as error:  # whatever it is
            self._report_failure(error)

    def _report_failure(self, error: Exception) -> None:
        self.log.event("task_failed", traceback="".join(traceback.format_exception(error)))
