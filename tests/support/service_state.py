"""State of a running service: proxies, connections, counts and the sizes of its collections."""

from collections.abc import Sized
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from support.service_harness import ServiceHarness


class ServiceState:
    """Reads the state of the service that a harness runs."""

    def __init__(self, harness: "ServiceHarness") -> None:
        self._harness = harness

    def wait_for_joined(self, *proxies: int) -> None:
        """Wait until exactly these proxies are joined."""
        self._harness.wait_until(
            lambda: sorted(self._harness.instance.coordinator.updates.proxies) == list(proxies),
            ("joined", proxies),
        )

    def wait_for_no_connections(self) -> None:
        """Wait until no connection is open."""
        self._harness.wait_until(lambda: not self._harness.instance.streams.connections, "connections")

    def wait_for_attempts(self, backend: str, number: int) -> None:
        """Wait until `number` recent attempts are counted for a backend."""
        backends = self._harness.instance.coordinator.planner.fleet.backends
        self._harness.wait_until(lambda: backends[backend].recent_attempts == number, (backend, number))

    def wait_for_health_check(self, backend: str) -> None:
        """Wait until a health check of the backend has sent its request."""
        self._harness.wait_until(lambda: self._harness.backends.has_pending_check(backend), backend)

    def attempts(self, backend: str) -> tuple[float, list[float]]:
        """Return the recent attempts at a backend, in total and for each zone with attempts."""
        record = self._harness.instance.coordinator.planner.fleet.backends[backend]
        return record.recent_attempts, [link.attempts for link in record.links.values() if link.attempts]

    def address(self, backend: str) -> object:
        """Return the address of a backend's health checks."""
        return self._harness.instance.discovery.addresses[backend]

    @property
    def buffers_in_use(self) -> int:
        """The number of message buffers in use."""
        return int(self._harness.instance.streams.pool.in_use)

    def sizes_above(self, limit: int) -> dict[str, int]:
        """Return the collections with more than `limit` items, with their sizes."""
        sizes = {name: len(collection) for name, collection in self._collections().items()}
        return {name: size for name, size in sizes.items() if size > limit}

    def _collections(self) -> dict[str, Sized]:
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
                f"exclusions sent to proxy {proxy}": state.sent_exclusions
                for proxy, state in coordinator.updates.proxies.items()
            },
        }
