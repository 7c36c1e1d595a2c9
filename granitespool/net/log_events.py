"""Log events that several modules write, each with its fields.

Every other event is written by the module in which it occurs. `docs/on-call.md` lists all events with their
fields and units. Peers can cause the events of this module any number of times. `Log.rate_limited_event`
therefore limits the number of log lines.
"""

from granitespool.net.log import Log


def log_rejected(log: Log, *, peer: str, reason: str) -> None:
    """Log that a connection was closed before its peer joined; `peer` is a host or "host:port"."""
    log.rate_limited_event("rejected", peer=peer, reason=reason)


def log_message_dropped(log: Log, *, peer: str, reason: str, proxy: int | None = None) -> None:
    """Log that an invalid message or datagram of `peer` ("host:port") was dropped.

    `proxy` is the proxy's number if the message was received on the stream of a proxy.
    """
    log.rate_limited_event("message_dropped", peer=peer, proxy=proxy, reason=reason)
