"""Log events that several modules write, each with its fields.

All other events are written where they happen. `docs/on-call.md` lists every event, its fields and units.
Peers can cause these events any number of times, so their lines are limited (`Log.rate_limited_event`).
"""

from granitespool.net.log import Log


def log_rejected(log: Log, *, peer: str, reason: str) -> None:
    """Log that a connection was closed before its peer joined; `peer` is a host or "host:port"."""
    log.rate_limited_event("rejected", peer=peer, reason=reason)


def log_message_dropped(log: Log, *, peer: str, reason: str, proxy: int | None = None) -> None:
    """Log that an invalid message or datagram of `peer` ("host:port") was dropped.

    `proxy` is set if it was received on the stream of a proxy.
    """
    log.rate_limited_event("message_dropped", peer=peer, proxy=proxy, reason=reason)
