"""The configuration: one JSON file, told by LB_CONFIG."""

import orjson

from granitespool.errors import InvalidInputError
from granitespool.fields import required_field, required_number
from granitespool.net.buffers import BUFFER_SIZE
from granitespool.settings import settings_from_wire

SOCKETS = 1024  # descriptors where no limit is told: the platform's largest
MEMORY_MB = 192  # MB where no limit is told: the platform's largest
SOCKETS_LEAST = 25  # descriptors under which nobody is served: the others, a probe and some connections
OTHERS = 16  # descriptors for standard streams, the loop, the listener, datagrams, the watch, a file,
#                    and a few strangers where those who joined hold all places
PROBES_PART = 8  # one descriptor in so many is for probes: a server each of the smallest limit's fleet
PROBES_MOST = 64  # probes in the air at most: more tell nothing sooner
BUFFERS_PART = 4  # one byte in so many of the memory may be receive buffers: the program takes half of 32 MB


def address(text):
    """(host, port) of `host:port`."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise InvalidInputError(f"{text!r:.60} is not an address host:port")
    return host, int(port)


def shares(limits):
    """What the limits leave to each part: connections, probes in the air, receive buffers."""
    limits = {"type": "limits", "sockets": SOCKETS, "memory_mb": MEMORY_MB, **limits}
    sockets = required_number(limits, "sockets", int)
    if sockets < SOCKETS_LEAST or required_number(limits, "memory_mb") < 1:
        raise InvalidInputError(
            f"the limits leave no room to serve: {SOCKETS_LEAST} sockets and 1 MB are the least"
        )
    probes = min(PROBES_MOST, sockets // PROBES_PART)
    return {
        "sockets": sockets,
        "probes": max(1, probes),
        "connections": max(8, sockets - OTHERS - probes),
        "buffers": int(required_number(limits, "memory_mb")) * (1 << 20) // BUFFERS_PART // BUFFER_SIZE,
    }


def told_limits(limits):
    """{sockets, memory_mb} as they are told, or the usual ones."""
    return {
        key: int(usual if limits.get(key) is None else limits[key])
        for key, usual in (("sockets", SOCKETS), ("memory_mb", MEMORY_MB))
    }


def load(path):
    """A plain map of what the service is told, or InvalidInputError with one sentence."""
    if not path:
        raise InvalidInputError("no configuration: LB_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
    except OSError as error:
        raise InvalidInputError(f"the configuration {path} cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise InvalidInputError(f"the configuration {path} is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise InvalidInputError(f"the configuration {path} is not an object")
    try:
        return checked({"type": "configuration", **told})
    except (TypeError, AttributeError) as error:
        raise InvalidInputError(f"the configuration {path} has a field of another type: {error}") from None


def checked(told):
    seed = str(told.get("seed") or 0)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise InvalidInputError(f"the seed {seed!r:.40} is not in hex digits") from None
    limits, wire = told.get("limits") or {}, required_field(told, "settings", dict)
    for key, kind in (
        ("classes", list),
        ("zones", list),
        ("family_info", dict),
        ("rules", dict),
        ("permissions", dict),
    ):
        if not isinstance(wire.get(key) or kind(), kind):
            raise InvalidInputError(
                f"the settings' {key!r} are not a JSON {'array' if kind is list else 'object'}"
            )
    if not all(isinstance(each, dict) for each in wire.get("classes") or ()):
        raise InvalidInputError("the settings' 'classes' hold what is not an object")
    if not isinstance(limits, dict):
        raise InvalidInputError("the limits are not a JSON object")
    return {
        "name": required_field(told, "name", str),
        "listen": address(required_field(told, "listen", str)),
        "discovery": address(required_field(told, "discovery", str)),
        "seed": seed,
        **shares({key: limit for key, limit in limits.items() if limit is not None}),
        "limits": told_limits(limits),
        "limits_told": told_limits(limits),
        "peer_listen": address(told["peer_listen"]) if told.get("peer_listen") else None,
        "peers": [address(peer) for peer in told.get("peers") or ()],
        "peers_all": address(told["peers_all"]) if told.get("peers_all") else None,
        "known": required_field({"known": {"index": 0, "endpoints": []}, **told}, "known", dict),
        "settings": settings_from_wire(wire),
    }


def summary(config):
    """One line for a person: what this configuration holds."""
    settings = config["settings"]
    return (
        f"{config['name']} listens on {config['listen'][0]}:{config['listen'][1]}, "
        f"{len(settings.zones or ())} zones, {len(settings.classes)} classes, "
        f"{len(config['known'].get('endpoints') or ())} backends known, {len(config['peers'])} peers, "
        f"{config['sockets']} sockets"
    )
