"""Fixtures of all tests."""

from collections.abc import Iterator

import pytest
from support.service_harness import ServiceHarness


@pytest.fixture
def harness() -> Iterator[ServiceHarness]:
    """A service on loopback, which must have given all back at the end."""
    made = ServiceHarness()
    yield made
    made.close()
