"""A whole service on loopback, in the test's thread and on its clock, with stand-ins for its neighbours."""

import copy
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, cast

from granitespool.errors import InvalidInputError
from granitespool.net.config import Configuration, compute_quotas
from granitespool.net.service import Service
from granitespool.units import MILLISECOND
from support.backend_stand_ins import BackendStandIns
from support.discovery_stand_in import DiscoveryStandIn
from support.process_faults import ProcessFaults
from support.records import settings_of
from support.service_clients import ServiceClients
from support.service_outlets import PeerStandIns, ServiceLog
from support.service_state import ServiceState

START = 10**18  # ns: first time of the clock
TURN_LENGTH = 100 * MILLISECOND  # ns between two turns while the clock advances
MAX_TURNS = 400  # turns within which an expectation must be met
TURN_WAIT = 5 * MILLISECOND  # ns that one of these turns waits for events
INITIAL_LIST_VERSION = 7  # version of the endpoint list that the service starts with


class ServiceHarness:
    """A service that is created at its first use, with the settings of that time."""

    def __init__(self) -> None:
        self.now = START
        self.settings: dict[str, Any] = {
            "zones": ["n", "s"],
            "classes": [],
            "proxies_expected": 600,
            "health_checks_allowed": False,
        }
        self.limits: dict[str, int] = {}
        self.log, self.backends, self.clients = ServiceLog(self), BackendStandIns(), ServiceClients(self)
        self.discovery = DiscoveryStandIn(self, self.backends.addresses)
        self.peers = PeerStandIns(self)
        self._service: Service | None = None
        self._is_suspended = False
        self._configuration_error: str | None = None  # why reading the configuration fails
        self.faults, self.state = ProcessFaults(self), ServiceState(self)

    # Configuration

    def configure(self, **settings: Any) -> None:
        """Change settings; a running service applies them at the next `reload`."""
        self.settings.update(settings)

    def request_class(self, name: str, effect: str, *, latency_objective: int, priority_weight: int) -> None:
        """Add a request class; it times out at three times its objective (ns)."""
        self.settings["classes"].append(
            {
                "name": name,
                "effect": effect,
                "latency_objective": latency_objective,
                "timeout": 3 * latency_objective,
                "priority_weight": priority_weight,
            }
        )

    def configuration(self) -> Configuration:
        """Return the parsed configuration for the current settings."""
        values = {
            "name": "t",
            "listen": ("127.0.0.1", 0),
            "discovery": self.discovery.address,
            "seed": 1,
            **compute_quotas(self.limits),
            "peer_listen": ("127.0.0.1", 0),
            "peers": [self.peers.peer.getsockname()],
            "peers_all": self.peers.peer.getsockname(),
            "known": {"index": INITIAL_LIST_VERSION, "endpoints": self.backends.initial_endpoints},
            "settings": settings_of(copy.deepcopy(self.settings)),
        }
        return cast("Configuration", values)  # "limits" is missing: only managers read it

    def _read_configuration(self) -> Configuration:
        if self._configuration_error:
            raise InvalidInputError(self._configuration_error)
        return self.configuration()

    def reload(self, **settings: Any) -> None:
        """Reload the configuration with these settings changed."""
        self._configuration_error = None
        self.configure(**settings)
        self.instance.reload()
        self.turn()

    def reload_invalid(self, why: str) -> None:
        """Reload a configuration that fails to be read for the reason `why`."""
        self._configuration_error = why
        self.instance.reload()
        self.turn()

    # Running

    @property
    def instance(self) -> Service:
        """The service under test."""
        if self._service is None:
            self._service = Service(
                self.configuration(), self.log.writer, lambda: self.now, self._read_configuration
            )
        return self._service

    @property
    def actions(self) -> Any:
        """The coordinator with the planner's actions; their messages are sent in the next `turn`."""
        return self.instance.coordinator

    def turn(self, wait: int = 0) -> None:
        """Run one turn of the service, which waits at most `wait` ns for events, then of its neighbours."""
        if self._is_suspended:
            return
        self.instance.turn(wait)
        self.backends.turn()
        self.discovery.turn()
        self.clients.turn()
        self.log.turn()

    def wait(self) -> None:
        """Run one turn that waits up to `TURN_WAIT` for events."""
        self.turn(TURN_WAIT)

    def wait_until(self, check: Callable[[], object], what: object) -> None:
        """Run the service until the check holds, with its clock standing still."""
        for _ in range(MAX_TURNS):
            if check():
                return
            self.wait()
        assert check(), (what, self.log.text[-3000:], dict(self.clients.sent_to))

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Suspend turns within the block and run one after it."""
        was_suspended, self._is_suspended = self._is_suspended, True
        try:
            yield
        finally:
            self._is_suspended = was_suspended
        self.turn()

    def advance_to(self, time: int) -> None:
        """Advance the clock in turns to `time` ns after the start."""
        self.turn()
        while self.now < START + time:
            self.now = min(self.now + TURN_LENGTH, START + time)
            self.turn()

    def advance(self, duration: int) -> None:
        """Advance the clock in turns by `duration` ns."""
        self.advance_to(self.now - START + duration)

    def close(self) -> None:
        """Close the service and the stand-ins; fail if the service has kept resources."""
        self.faults.restore_descriptors()
        if self._service:
            self._service.close()
            coordinator, loop = self._service.coordinator, self._service.loop
            assert self._service.streams.pool.in_use == 0, "message buffers were not returned"
            assert loop.tasks == set(), "tasks still run"
            assert coordinator.updates.proxies == {}, "proxies are still joined"
        self.clients.close_all()
        for neighbour in (self.discovery, self.peers, self.backends, self.log):
            neighbour.close()
