"""Log events that several modules write, each with its fields.

All other events are written where they happen. `docs/on-call.md` lists every event, its fields and units.
Peers can cause these events at will, so that their lines are limited (`Log.often`)."""

from granitespool.net.log import Log


def log_rejected(log: Log, *, peer: str, reason: str) -> None:
    """A connection was closed before its peer had joined; `peer` is its host or "host:port"."""
    log.rate_limited_event("rejected", peer=peer, reason=reason)


def log_message_dropped(log: Log, *, peer: str, reason: str, proxy: int | None = None) -> None:
    """One message or datagram of "host:port" was wrong; `proxy` where it came on a proxy's stream."""
    log.rate_limited_event("message_dropped", peer=peer, proxy=proxy, reason=reason)
