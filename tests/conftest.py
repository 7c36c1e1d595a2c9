"""Fixtures: a planner, a coordinator or a whole service, each with stand-ins for its neighbours."""

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
    """Return a harness that reports events of a fleet to a planner."""
    return PlannerHarness()


@pytest.fixture
def actions(fleet: PlannerHarness) -> RecordedActions:
    """Return the actions that the planner has requested."""
    return fleet.actions


@pytest.fixture
def coordinator() -> Iterator[CoordinatorHarness]:
    """Yield a coordinator; fail if it has logged an error by the end of the test."""
    harness = CoordinatorHarness()
    yield harness
    assert harness.logged_errors() == []


@pytest.fixture
def service() -> Iterator[ServiceHarness]:
    """Yield a service on loopback; fail if it has not released its resources after the test."""
    harness = ServiceHarness()
    yield harness
    harness.close()


@pytest.fixture
def clients(service: ServiceHarness) -> ServiceClients:
    """Return the connections of proxies, collectors and unauthenticated clients to the service."""
    return service.clients


@pytest.fixture
def discovery(service: ServiceHarness) -> DiscoveryStandIn:
    """Return the stand-in for the discovery service that the service watches."""
    return service.discovery


@pytest.fixture
def backends(service: ServiceHarness) -> BackendStandIns:
    """Return the stand-ins for the backends that the service health-checks."""
    return service.backends


@pytest.fixture
def peers(service: ServiceHarness) -> PeerStandIns:
    """Return the stand-ins for a configured peer coordinator and for an unknown one."""
    return service.peers


@pytest.fixture
def log(service: ServiceHarness) -> ServiceLog:
    """Return the service's log."""
    return service.log
