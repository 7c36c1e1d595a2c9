"""The configuration of a coordinator: a JSON file whose path is in the environment variable LB_CONFIG.

Only this module reads the file and uses the file's keys. `load` checks the contents and returns a typed
`Configuration`, in which all values are within their limits.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict

import orjson

from granitespool.errors import InvalidInputError
from granitespool.fields import required_field, required_number
from granitespool.net.buffers import BUFFER_SIZE
from granitespool.settings import Settings, settings_from_wire

if TYPE_CHECKING:
    from granitespool.operator_settings import OperatorSettings

DEFAULT_SOCKETS = 1024  # descriptors if no limit is configured; the largest limit of the platform
DEFAULT_MEMORY_MB = 192  # MB if no limit is configured; the largest limit of the platform
# The smallest valid descriptor limit: the reserved descriptors, one health check and a few connections.
SOCKETS_MIN = 25
# Descriptors for the standard streams, the loop, the listener, gossip, the watch of the endpoint list, a
# file, and a few pending connections if the joined connections have reached their limit.
RESERVED_SOCKETS = 16
# One of 8 descriptors is for health checks. With the smallest limit this allows one health check for each
# backend of the fleet.
SOCKETS_PER_HEALTH_CHECK = 8
HEALTH_CHECKS_MAX = 64  # health checks in flight; more would not detect a change sooner
# A quarter of the memory limit is for receive buffers. Of a limit of 32 MB the program itself uses half.
MEMORY_PER_BUFFERS = 4
CONNECTIONS_MIN = 8
PORT_MAX = 65535
MIB = 1 << 20  # bytes
SETTINGS_TYPES: Mapping[str, type] = {  # type of the JSON value by settings key, for the keys checked here
    "classes": list,
    "zones": list,
    "family_info": dict,
    "rules": dict,
    "permissions": dict,
}

Address = tuple[str, int]  # host and port


class Limits(TypedDict):
    """The resource limits that the platform sets for this process."""

    sockets: int  # number of descriptors
    memory_mb: int  # MB


class Quotas(TypedDict):
    """The shares of the resource limits that the parts of the service may use."""

    sockets: int  # total number of descriptors
    health_checks: int  # number of health checks in flight
    connections: int  # number of joined connections
    buffers: int  # number of receive buffers


class WatchConfiguration(TypedDict):
    """The part of the configuration that the watch of the endpoint list uses."""

    discovery: Address
    known: dict[str, Any]  # the initial endpoint list, in the format of a message of discovery


class Configuration(Quotas, WatchConfiguration):
    """The checked configuration of a service."""

    name: str
    listen: Address
    seed: int
    limits: Limits
    configured_limits: Limits  # the limits in the file, without changes by management clients
    peer_listen: Address | None  # the address at which gossip is received
    peers: list[Address]
    peers_all: Address | None  # the address that reaches all peers
    settings: Settings
    operator: NotRequired["OperatorSettings | None"]  # unset if the program has no operator's settings


def parse_address(text: object) -> Address:
    """Return (host, port) of a text `host:port`; raise InvalidInputError if the text has another form."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or int(port) > PORT_MAX:
        raise InvalidInputError(f"{text!r:.60} is not an address host:port")
    return host, int(port)


def format_address(host_and_port: Address) -> str:
    """Return an address as the text `host:port`."""
    host, port = host_and_port
    return f"{host}:{port}"


def compute_quotas(limits: Mapping[str, Any]) -> Quotas:
    """Divide the resource limits among the parts; raise InvalidInputError if they are too low."""
    document = {"type": "limits", "sockets": DEFAULT_SOCKETS, "memory_mb": DEFAULT_MEMORY_MB, **limits}
    sockets: int = required_number(document, "sockets", int)
    memory_mb = required_number(document, "memory_mb")
    if sockets < SOCKETS_MIN or memory_mb < 1:
        raise InvalidInputError(
            f"the limits are too low: at least {SOCKETS_MIN} sockets and 1 MB are required"
        )
    health_checks = min(HEALTH_CHECKS_MAX, sockets // SOCKETS_PER_HEALTH_CHECK)
    return {
        "sockets": sockets,
        "health_checks": max(1, health_checks),
        "connections": max(CONNECTIONS_MIN, sockets - RESERVED_SOCKETS - health_checks),
        "buffers": int(memory_mb) * MIB // MEMORY_PER_BUFFERS // BUFFER_SIZE,
    }


def with_quotas(config: Configuration, quota: Quotas) -> Configuration:
    """Return a copy of the configuration with the given quotas."""
    updated = config.copy()
    updated["sockets"] = quota["sockets"]
    updated["health_checks"] = quota["health_checks"]
    updated["connections"] = quota["connections"]
    updated["buffers"] = quota["buffers"]
    return updated


def limits_with_defaults(limits: Mapping[str, Any]) -> Limits:
    """Return the limits; each unset limit has its default."""
    sockets = limits.get("sockets")
    memory_mb = limits.get("memory_mb")
    return {
        "sockets": int(DEFAULT_SOCKETS if sockets is None else sockets),
        "memory_mb": int(DEFAULT_MEMORY_MB if memory_mb is None else memory_mb),
    }


def load(path: str | None) -> Configuration:
    """Read and check a configuration file.

    Raise InvalidInputError, with one sentence as the reason, if the file cannot be used.
    """
    if not path:
        raise InvalidInputError("no configuration: LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:  # noqa: PTH123 importing pathlib adds milliseconds to a start
            document = orjson.loads(file.read())
    except OSError as error:
        raise InvalidInputError(f"the configuration {path} cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise InvalidInputError(f"the configuration {path} is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise InvalidInputError(f"the configuration {path} is not a JSON object")
    try:
        return parse_configuration({"type": "configuration", **document})
    except (TypeError, AttributeError) as error:
        raise InvalidInputError(f"the configuration {path} has a field of the wrong type: {error}") from None


def parse_configuration(document: Mapping[str, Any]) -> Configuration:
    """Check the JSON object of the file and return the configuration.

    Raise InvalidInputError, TypeError or AttributeError if the object is invalid.
    """
    seed = _parse_seed(document.get("seed") or 0)
    limits = document.get("limits") or {}
    wire_settings = required_field(document, "settings", dict)
    _check_settings_types(wire_settings)
    if not isinstance(limits, dict):
        raise InvalidInputError("the limits are not a JSON object")
    name = required_field(document, "name", str)
    listen = parse_address(required_field(document, "listen", str))
    discovery = parse_address(required_field(document, "discovery", str))
    quota = compute_quotas({key: limit for key, limit in limits.items() if limit is not None})
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": seed,
        "sockets": quota["sockets"],
        "health_checks": quota["health_checks"],
        "connections": quota["connections"],
        "buffers": quota["buffers"],
        "limits": limits_with_defaults(limits),
        "configured_limits": limits_with_defaults(limits),
        "peer_listen": _parse_optional_address(document.get("peer_listen")),
        "peers": [parse_address(peer) for peer in document.get("peers") or ()],
        "peers_all": _parse_optional_address(document.get("peers_all")),
        "known": required_field({"known": {"index": 0, "endpoints": []}, **document}, "known", dict),
        "settings": settings_from_wire(wire_settings),
    }


def summary(config: Configuration) -> str:
    """Return one line that describes the configuration to an operator."""
    settings = config["settings"]
    return (
        f"{config['name']} listens on {format_address(config['listen'])}, "
        f"{len(settings.zones or ())} zones, {len(settings.classes)} classes, "
        f"{len(config['known'].get('endpoints') or ())} backends known, {len(config['peers'])} peers, "
        f"{config['sockets']} sockets"
    )


def _parse_seed(value: object) -> int:
    text = str(value)
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidInputError(f"the seed {text!r:.40} is not a hexadecimal number") from None


def _parse_optional_address(value: object) -> Address | None:
    return parse_address(value) if value else None


def _check_settings_types(wire_settings: Mapping[str, Any]) -> None:
    for key, kind in SETTINGS_TYPES.items():
        if not isinstance(wire_settings.get(key) or kind(), kind):
            name = "array" if kind is list else "object"
            raise InvalidInputError(f"the settings' {key!r} are not a JSON {name}")
    if not all(isinstance(entry, dict) for entry in wire_settings.get("classes") or ()):
        raise InvalidInputError("the settings' 'classes' contain an item that is not a JSON object")
