"""Questions to a coordinator on a connection of their own, and what their answers show."""

import orjson

from granitespool.errors import InvalidInputError
from granitespool.net.frames import LENGTH_SIZE, frame

NO_ZONE = "-"  # a zone that no coordinator knows


def ping() -> bytes:
    """The frame that asks a coordinator whether it is ready."""
    return frame({"type": "ping"})


def settings_query(proxy: int) -> bytes:
    """A joining that every coordinator rejects, which shows the settings in force and joins nobody.

    It is rejected for the proxy's number where the settings in force do not allow it, else for its zone."""
    return frame({"type": "joined", "node": proxy, "locality": NO_ZONE, "w": 0, "cold": True})


def proxy_allowed(answer: bytes) -> bool:
    """Whether the rejection shows that the proxy's number was allowed.

    Raises InvalidInputError where it is no rejection."""
    message = orjson.loads(answer[LENGTH_SIZE:])
    if message.get("type") != "refused":
        raise InvalidInputError(f"the answer to a settings question is {message!r:.60}")
    return "unknown proxy" not in message["why"]
