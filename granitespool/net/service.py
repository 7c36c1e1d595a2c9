"""The service of one coordinator: creates the parts, runs the end of each turn, and closes all parts.

Owns the loop, the log and the parts. The module `reconfiguration` applies a new configuration to the parts.
The service makes no decisions; it passes each outgoing message of the coordinator to the part that sends it.
"""

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
from granitespool.planner.status import LateDrains
from granitespool.units import MILLISECOND

if TYPE_CHECKING:
    from granitespool.management.data_tree import Tree
    from granitespool.net.management_service import ManagementService
    from granitespool.net.metrics import Metrics
    from granitespool.operator_settings import StateSettings
    from granitespool.state.snapshotter import Snapshotter

Clock = Callable[[], int]  # returns a time in ns


class Service:
    """A coordinator with its network connections.

    `run` serves until `stop` is called. `reload` applies the configuration that `read_configuration` returns;
    if `read_configuration` raises InvalidInputError, the current configuration stays. Signal handlers may
    call `stop` and `reload`.
    """

    def __init__(
        self,
        config: Configuration,
        log_fd: int,
        clock: Clock | None = None,
        read_configuration: Callable[[], Configuration] | None = None,
        monotonic_clock: Clock = time.monotonic_ns,
    ) -> None:
        """Start the service; raise InvalidInputError or OSError if it cannot start.

        `clock` is the loop's clock. `monotonic_clock` measures times of the state folder; changes of the
        system time must not affect it.
        """
        self.read_configuration = read_configuration
        self.monotonic_clock = monotonic_clock
        self.is_reload_requested = False
        self.stop_count = 0  # number of calls of `stop`
        self.snapshotter: Snapshotter | None = None  # None if no state folder is configured
        self.management: ManagementService | None = None  # None if no management listener is configured
        self.metrics: Metrics | None = None  # None if the settings have no section [figures]
        self.gossip: Gossip | None = None  # None if the settings do not permit gossip
        self.loop = Loop(self._report_failure, clock)
        self.log = Log(log_fd, self.loop.clock, name=config["name"])
        try:
            self._create_parts(config)
        except Exception:
            self.close()
            raise

    @property
    def config(self) -> Configuration:
        """The current configuration."""
        return self.reconfiguration.config

    def run(self) -> None:
        """Serve until `stop` is called, then close all parts."""
        try:
            self.loop.run(self._end_of_turn)
            self._finish()
        finally:
            self.close()

    def turn(self, wait: int) -> None:
        """Run one turn that waits at most `wait` ns; for callers that do not use `run`."""
        self.loop.turn(self._end_of_turn, wait)

    def reload(self) -> None:
        """Reload the configuration in the next turn; may be called from a signal handler."""
        self.is_reload_requested = self.read_configuration is not None
        self.loop.wake()

    def stop(self) -> None:
        """End `run`; may be called from a signal handler."""
        self.stop_count += 1
        self.loop.stop()

    def close(self) -> None:
        """Close all parts and release their resources."""
        for part in (self.management, self.snapshotter):
            if part:
                self._run_guarded(part.close)
        self.log.event("stopped")
        self.loop.close()
        self.log.close()

    # Creation of the parts

    def _create_parts(self, config: Configuration) -> None:
        operator = config.get("operator")
        self.operator = operator
        self.file_tree: Tree | None = (
            None  # the settings in the files, in the form that management clients see
        )
        if operator and operator.state:
            self.snapshotter = self._create_snapshotter(config, operator.state)
            config = config.copy()
            config["known"] = self.snapshotter.choose_endpoint_list(config["known"])
        if operator and operator.has_management_listener:
            config = without_management_sockets(self._with_managed_settings(config))
        self._create_network(config)
        self.reconfiguration = Reconfiguration(self, config)
        if self.snapshotter:
            self.snapshotter.start(self.coordinator, self.discovery)
        if operator and operator.has_management_listener:
            from granitespool.net.management_service import ManagementService  # noqa: PLC0415 only if enabled

            self.management = ManagementService(self, self.loop, self.log)
        if operator and operator.figures:
            from granitespool.net.metrics import Metrics  # noqa: PLC0415 only if enabled

            self.metrics = Metrics(self.loop, self.coordinator, self.log, operator.figures, self.discovery)
        self.log.event("serving", listen=format_address(config["listen"]))

    def _create_network(self, config: Configuration) -> None:
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

    def _create_snapshotter(self, config: Configuration, options: "StateSettings") -> "Snapshotter":
        from granitespool.state.snapshotter import Snapshotter  # noqa: PLC0415 only if enabled

        return Snapshotter(
            self.loop, self.log, options, config["name"], config["settings"], self.monotonic_clock
        )

    def _with_managed_settings(self, config: Configuration) -> Configuration:
        """Return the configuration with the changes that management clients made before the restart.

        If the files have changed since the clients changed the settings, the clients' changes are discarded.
        """
        from granitespool.management import mapping  # noqa: PLC0415 only if enabled

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
        has_large_messages = self.streams.parse_large_message()
        due: int | None = self.coordinator.tick(now)
        if has_large_messages:
            due = now
        if self.management and (management_due := self.management.next_deadline()) is not None:
            due = management_due if due is None else min(due, management_due)
        for recipient in self.coordinator.recipients():
            self._run_guarded(self._write, recipient)
        self.streams.update_log.end_turn()
        if self.metrics:
            self.metrics.turn_ended(now)
        self.log.flush()
        return due

    def _reload(self) -> None:
        """Read and check the whole configuration file, then apply the configuration to the parts."""
        # Reset the request first, so that a `reload` during this one causes another reload
        self.is_reload_requested = False
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
        """Pass the queued messages of a recipient to the part that sends them."""
        if isinstance(recipient, int):
            self.streams.send(recipient)
        elif recipient is Queue.HEALTH_CHECKS:
            self.health_checks.start()  # takes messages from the queue until its limit is reached
        else:
            while (message := self.coordinator.pick(recipient)) is not None:
                self._handle(message)

    def _handle(self, message: OutgoingMessage) -> None:
        """Handle one message of a queue."""
        if isinstance(message, GossipMessage):
            if self.gossip:
                self.gossip.send(message.peer, message.payload)
        elif isinstance(message, RemovedBackend):
            self.discovery.remove_address(message.backend)
        elif isinstance(message, InternalError):
            self.log.event("internal_error", detail=message.text)
        elif isinstance(message, LateDrains):
            self.log.rate_limited_event(
                "drains_late",
                proxies=message.proxies,
                entries=message.entries,
                late_ms=message.lateness // MILLISECOND,
            )

    def _finish(self) -> None:
        """Close all streams after their unsent bytes were written.

        The wait for proxies that do not read lasts at most `LINGER_TIMEOUT` and ends at a second `stop`. The
        coordinator makes no further decisions.
        """
        deadline = self.loop.clock() + LINGER_TIMEOUT
        self.streams.finish()
        while (
            self.streams.connections
            and self.stop_count < 2
            and (remaining := deadline - self.loop.clock()) > 0
        ):
            self.loop.turn(self._end_of_last_turn, remaining)

    def _end_of_last_turn(self, _now: int) -> None:
        self.log.flush()

    def _run_guarded(self, step: Callable[..., None], *arguments: object) -> None:
        """Run a step; log an exception that the step raises, because it must not stop the service."""
        try:
            step(*arguments)
        except Exception as error:  # any type
            self._report_failure(error)

    def _report_failure(self, error: Exception) -> None:
        self.log.event("task_failed", traceback="".join(traceback.format_exception(error)))
