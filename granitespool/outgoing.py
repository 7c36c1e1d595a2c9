"""What a coordinator hands out: typed messages, encoded elsewhere (proxies' by net/frames.py).

A proxy is picked by its number, everything else by its queue.
"""

from enum import Enum
from typing import NamedTuple


class Queue(Enum):
    """What waits for others than proxies."""

    HEALTH_CHECKS = "health_checks"  # to be sent
    GOSSIP = "gossip"  # to be sent to peers
    INTERNAL_ERRORS = "internal_errors"  # to be logged
    FORGOTTEN = "forgotten"  # backends that nothing will name any more


class TableUpdate(NamedTuple):
    """Entries of a proxy's table for some request classes."""

    classes: list[str | None] | None  # None: all of them
    complete: bool  # whether the entries are the whole table; then levels are forgotten
    entries: dict[str, float]  # backend -> weight, 0 removes it


class LevelUpdate(NamedTuple):
    """How much of some request classes is admitted, and how proxies retry them (0 to 3)."""

    classes: list[str | None] | None  # None: all of them
    share: float
    retries: int


class ProxyUpdate(NamedTuple):
    """One message to a proxy."""

    tables: list[TableUpdate]
    levels: list[LevelUpdate]
    excluded: list[str]  # backends that it is to exclude
    readmitted: list[str]  # backends that it is to readmit
    barrier: int | None  # sequence number that it is to acknowledge once it has applied all of it


class HealthCheckRequest(NamedTuple):
    """A health check to be sent."""

    backend: str


class GossipMessage(NamedTuple):
    """A datagram to a peer by its number, or to all with -1."""

    peer: int
    payload: str  # hex


class InternalError(NamedTuple):
    """A fault that was contained, or a remark of the planner, for the log."""

    text: str


class ForgottenBackend(NamedTuple):
    """A backend that nothing will name again, unless the list does."""

    backend: str


OutgoingMessage = ProxyUpdate | HealthCheckRequest | GossipMessage | InternalError | ForgottenBackend
Recipient = int | Queue  # a proxy by its number, or a queue
