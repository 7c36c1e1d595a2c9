"""A whole service on loopback in the test's thread, on the test's clock, with stand-ins for all others."""

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

START = 10**18  # ns: where the clock begins
TURN_LENGTH = 100 * MILLISECOND  # that time passes between two turns while it advances
MOST_TURNS = 400  # that an expectation is waited for
MOST_WAIT = 5 * MILLISECOND  # that one of them takes
KNOWN_INDEX = 7  # version of the list that the service starts with


class ServiceHarness:
    """The service, made at the first use after the settings."""

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
        self._unreadable: str | None = None  # why the configuration cannot be read
        self.faults, self.state = ProcessFaults(self), ServiceState(self)

    # Configuration

    def configure(self, **settings: Any) -> None:
        """Change settings; a running service knows them after `reload`."""
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
        """What the configuration file would say now."""
        told = {
            "name": "t",
            "listen": ("127.0.0.1", 0),
            "discovery": self.discovery.address,
            "seed": 1,
            **compute_quotas(self.limits),
            "peer_listen": ("127.0.0.1", 0),
            "peers": [self.peers.peer.getsockname()],
            "peers_all": self.peers.peer.getsockname(),
            "known": {"index": KNOWN_INDEX, "endpoints": self.backends.known},
            "settings": settings_of(copy.deepcopy(self.settings)),
        }
        return cast("Configuration", told)  # without limits: no manager asks for them

    def _read_again(self) -> Configuration:
        if self._unreadable:
            raise InvalidInputError(self._unreadable)
        return self.configuration()

    def reload(self, **settings: Any) -> None:
        """Have the configuration read again, with these settings changed."""
        self._unreadable = None
        self.configure(**settings)
        self.instance.reload()
        self.turn()

    def reload_unreadable(self, why: str) -> None:
        """Have a configuration read again that is wrong."""
        self._unreadable = why
        self.instance.reload()
        self.turn()

    # Running

    @property
    def instance(self) -> Service:
        """The service under test."""
        if self._service is None:
            self._service = Service(self.configuration(), self.log.writer, lambda: self.now, self._read_again)
        return self._service

    @property
    def actions(self) -> Any:
        """The actions that the planner may ask for; what they order is sent in the next `turn`."""
        return self.instance.coordinator

    def turn(self, wait: int = 0) -> None:
        """Let the service, then its neighbours, run once; it waits for events at most so many ns."""
        if self._is_suspended:
            return
        self.instance.turn(wait)
        self.backends.turn()
        self.discovery.turn()
        self.clients.turn()
        self.log.turn()

    def wait(self) -> None:
        """Let the service run once; where it has nothing to do, wait a little."""
        self.turn(MOST_WAIT)

    def wait_until(self, check: Callable[[], object], what: object) -> None:
        """Let the service run until the check holds; its clock stands."""
        for _ in range(MOST_TURNS):
            if check():
                return
            self.wait()
        assert check(), (what, self.log.text[-3000:], dict(self.clients.sent_to))

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """What is done in this block is done before the service runs again."""
        was_suspended, self._is_suspended = self._is_suspended, True
        try:
            yield
        finally:
            self._is_suspended = was_suspended
        self.turn()

    def advance_to(self, time: int) -> None:
        """Let time pass until so many ns after the start."""
        self.turn()
        while self.now < START + time:
            self.now = min(self.now + TURN_LENGTH, START + time)
            self.turn()

    def advance(self, duration: int) -> None:
        """Let so many ns pass."""
        self.advance_to(self.now - START + duration)

    def close(self) -> None:
        """Give everything back, and check that the service did."""
        self.faults.restore_descriptors()
        if self._service:
            self._service.close()
            coordinator, loop = self._service.coordinator, self._service.loop
            assert self._service.streams.pool.in_use == 0, "buffers are out"
            assert loop.tasks == set(), "tasks still run"
            assert coordinator.updates.proxies == {}, "proxies are joined"
        self.clients.close_all()
        for neighbour in (self.discovery, self.peers, self.backends, self.log):
            neighbour.close()
