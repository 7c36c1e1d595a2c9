"""Fixtures: a planner, a coordinator or a whole service, each with stand-ins for what surrounds it."""

from collections.abc import Iterator

import pytest
from support.backend_stand_ins import BackendStandIns
from support.coordinator_harness import CoordinatorHarness
from support.discovery_stand_in import DiscoveryStandIn
from support.planner_harness import PlannerHarness, RecordedActions
from support.service_clients import ServiceClients
from support.service_harness import ServiceHarness
from support.service_outlets import PeerStandIns, ServiceLog


@pytest.fixture
def fleet() -> PlannerHarness:
    """A planner that is told of a fleet."""
    return PlannerHarness()


@pytest.fixture
def actions(fleet: PlannerHarness) -> RecordedActions:
    """The actions that the planner asked for."""
    return fleet.actions


@pytest.fixture
def coordinator() -> Iterator[CoordinatorHarness]:
    """A coordinator; at the end nothing may have been logged."""
    harness = CoordinatorHarness()
    yield harness
    assert harness.logged_errors() == []


@pytest.fixture
def service() -> Iterator[ServiceHarness]:
    """A service on loopback; at the end it must have given everything back."""
    harness = ServiceHarness()
    yield harness
    harness.close()


@pytest.fixture
def clients(service: ServiceHarness) -> ServiceClients:
    """Connections of proxies, collectors and clients that have not joined to the service."""
    return service.clients


@pytest.fixture
def discovery(service: ServiceHarness) -> DiscoveryStandIn:
    """The discovery service that the service watches."""
    return service.discovery


@pytest.fixture
def backends(service: ServiceHarness) -> BackendStandIns:
    """The backends that the service checks."""
    return service.backends


@pytest.fixture
def peers(service: ServiceHarness) -> PeerStandIns:
    """A coordinator that the service knows, and one that it does not."""
    return service.peers


@pytest.fixture
def log(service: ServiceHarness) -> ServiceLog:
    """The service's log."""
    return service.log
