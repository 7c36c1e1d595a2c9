"""The outgoing messages of a coordinator, by recipient: a proxy, by its number, or a queue.

They are encoded elsewhere: those to proxies by net/frames.py.
"""

from enum import Enum
from typing import NamedTuple

from granitespool.planner.status import LateDrains


class Queue(Enum):
    """A queue of messages to recipients other than proxies."""

    HEALTH_CHECKS = "health_checks"  # to be sent
    GOSSIP = "gossip"  # to be sent to peers
    INTERNAL_ERRORS = "internal_errors"  # to be logged
    REMOVED_BACKENDS = "removed_backends"  # backends whose records were removed
    LATE_DRAINS = "late_drains"  # to be logged


class TableUpdate(NamedTuple):
    """Entries of a proxy's table for some request classes."""

    classes: list[str | None] | None  # None: all
    complete: bool  # the entries replace the whole table, and the proxy resets its levels
    entries: dict[str, float]  # backend -> weight, 0 removes it


class LevelUpdate(NamedTuple):
    """The admitted share of some request classes, and how proxies retry them (0 to 3)."""

    classes: list[str | None] | None  # None: all
    share: float
    retries: int


class ProxyUpdate(NamedTuple):
    """One message to a proxy."""

    tables: list[TableUpdate]
    levels: list[LevelUpdate]
    excluded: list[str]  # backends to exclude
    readmitted: list[str]  # backends to readmit
    barrier: int | None  # number to acknowledge when the whole update is applied


class HealthCheckRequest(NamedTuple):
    """A request to check the health of a backend."""

    backend: str


class GossipMessage(NamedTuple):
    """A datagram to a peer, given by its number, or to all peers (-1)."""

    peer: int
    payload: str  # hex


class InternalError(NamedTuple):
    """A caught exception or a message of the planner, for the log."""

    text: str


class RemovedBackend(NamedTuple):
    """A backend whose records were removed; only the endpoint list can add it again."""

    backend: str


OutgoingMessage = (
    ProxyUpdate | HealthCheckRequest | GossipMessage | InternalError | RemovedBackend | LateDrains
)
Recipient = int | Queue  # a proxy by its number, or a queue
