"""What a running service holds: proxies, connections, counts, and the sizes of everything that it keeps."""

from collections.abc import Sized
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from support.service_harness import ServiceHarness


class ServiceState:
    """Reads the state of the service that a harness runs."""

    def __init__(self, harness: "ServiceHarness") -> None:
        self._harness = harness

    def wait_for_joined(self, *proxies: int) -> None:
        """Wait until just these proxies are joined."""
        self._harness.wait_until(
            lambda: sorted(self._harness.instance.coordinator.updates.proxies) == list(proxies),
            ("joined", proxies),
        )

    def wait_for_no_connections(self) -> None:
        """Wait until nobody is connected."""
        self._harness.wait_until(lambda: not self._harness.instance.streams.connections, "connections")

    def wait_for_attempts(self, backend: str, number: int) -> None:
        """Wait until so many attempts were counted of a backend."""
        backends = self._harness.instance.coordinator.planner.fleet.backends
        self._harness.wait_until(lambda: backends[backend].recent_attempts == number, (backend, number))

    def wait_for_health_check(self, backend: str) -> None:
        """Wait until a health check of the backend has asked."""
        self._harness.wait_until(lambda: self._harness.backends.has_been_asked(backend), backend)

    def attempts(self, backend: str) -> tuple[float, list[float]]:
        """Attempts that were counted of a backend lately, and those of each zone that has any."""
        record = self._harness.instance.coordinator.planner.fleet.backends[backend]
        return record.recent_attempts, [link.attempts for link in record.links.values() if link.attempts]

    def address(self, backend: str) -> object:
        """Where a backend's health checks go."""
        return self._harness.instance.discovery.addresses[backend]

    @property
    def buffers_out(self) -> int:
        """Message buffers that connections hold."""
        return int(self._harness.instance.streams.pool.in_use)

    def larger_than(self, limit: int) -> dict[str, int]:
        """The size of each thing kept by name, stream or time that exceeds a limit."""
        sizes = {name: len(kept) for name, kept in self._kept().items()}
        return {name: size for name, size in sizes.items() if size > limit}

    def _kept(self) -> dict[str, Sized]:
        service, coordinator = self._harness.instance, self._harness.instance.coordinator
        return {
            "addresses": service.discovery.addresses,
            "backends": coordinator.planner.fleet.backends,
            "possibly excluded": coordinator.updates.possibly_excluded,
            "unassigned": coordinator.updates.unassigned,
            "excluded": coordinator.updates.excluded,
            "timers": service.loop.timers,
            "tasks": service.loop.tasks,
            "watched tasks": service.loop.watching,
            "coordinator's timers": coordinator.timers,
            "connections": service.streams.connections,
            "pending": service.streams.pending,
            "batches": coordinator.planner.in_flight._batches,
            "batches by proxy": coordinator.planner.in_flight._batches_of,
            **{queue.value: waiting for queue, waiting in coordinator.queues.items()},
            **{f"table {table}": entries for table, entries in coordinator.updates.tables.items()},
            **{
                f"told to proxy {proxy}": held.sent_exclusions
                for proxy, held in coordinator.updates.proxies.items()
            },
        }
