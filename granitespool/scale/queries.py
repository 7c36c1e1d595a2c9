"""Queries to a coordinator, each on a separate connection, and the evaluation of the answers."""

import orjson

from granitespool.errors import InvalidInputError
from granitespool.net.frames import LENGTH_SIZE, frame

NO_ZONE = "-"  # a zone that no coordinator is configured with


def ping() -> bytes:
    """Return the frame that checks whether a coordinator is ready."""
    return frame({"type": "ping"})


def settings_query(proxy: int) -> bytes:
    """Return a `joined` message that every coordinator rejects, so that it shows the active settings.

    It is rejected for the proxy's number if the active settings do not allow that, else for its zone.
    """
    return frame({"type": "joined", "node": proxy, "locality": NO_ZONE, "w": 0, "cold": True})


def proxy_allowed(answer: bytes) -> bool:
    """Return whether the rejection shows that the proxy's number was allowed.

    Raises:
        InvalidInputError: The answer is no rejection.

    """
    message = orjson.loads(answer[LENGTH_SIZE:])
    if message.get("type") != "refused":
        raise InvalidInputError(f"the answer to a settings query is no rejection: {message!r:.60}")
    return "unknown proxy" not in message["why"]
