"""The configuration of a coordinator: one JSON file, named by LB_CONFIG.

The one place that knows the file's keys. `load` checks them and gives a typed `Configuration`, in which all
values are within their limits; nothing else reads the file."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict

import orjson

from granitespool.errors import InvalidInputError
from granitespool.fields import required_field, required_number
from granitespool.net.buffers import BUFFER_SIZE
from granitespool.settings import Settings, settings_from_wire

if TYPE_CHECKING:
    from granitespool.operator_settings import OperatorSettings

DEFAULT_SOCKETS = 1024  # descriptors where no limit is told: the platform's largest
DEFAULT_MEMORY_MB = 192  # MB where no limit is told: the platform's largest
SOCKETS_MIN = 25  # descriptors under which nobody is served: the reserved ones, a check, some connections
RESERVED_SOCKETS = 16  # for standard streams, the loop, the listener, datagrams, the watch, a file, and a few
#                        pending connections where those who joined hold all places
SOCKETS_PER_HEALTH_CHECK = 8  # one descriptor in so many: a server each of the smallest limit's fleet
HEALTH_CHECKS_MAX = 64  # in flight at most: more tell nothing sooner
MEMORY_PER_BUFFERS = 4  # one byte in so many may be receive buffers: the program takes half of 32 MB
CONNECTIONS_MIN = 8
PORT_MAX = 65535
MIB = 1 << 20  # bytes
SETTINGS_TYPES: Mapping[str, type] = {  # of the settings' keys whose type is checked here
    "classes": list,
    "zones": list,
    "family_info": dict,
    "rules": dict,
    "permissions": dict,
}

Address = tuple[str, int]  # host and port


class Limits(TypedDict):
    """What the platform permits."""

    sockets: int  # descriptors
    memory_mb: int  # MB


class Quotas(TypedDict):
    """What the limits leave to each part."""

    sockets: int  # descriptors in all
    health_checks: int  # health checks in flight
    connections: int
    buffers: int  # receive buffers


class WatchConfiguration(TypedDict):
    """What the watch of the endpoint list needs."""

    discovery: Address
    known: dict[str, Any]  # a message of the endpoint list, in discovery's form


class Configuration(Quotas, WatchConfiguration):
    """What the service is told."""

    name: str
    listen: Address
    seed: int
    limits: Limits
    configured_limits: Limits  # as the file has them, whatever managers have changed since
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    settings: Settings
    operator: NotRequired[
        "OperatorSettings | None"
    ]  # the operator's settings, where the program was given some


def parse_address(text: object) -> Address:
    """(host, port) of `host:port`; raises InvalidInputError."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or int(port) > PORT_MAX:
        raise InvalidInputError(f"{text!r:.60} is not an address host:port")
    return host, int(port)


def format_address(host_and_port: Address) -> str:
    """`host:port` of an address."""
    host, port = host_and_port
    return f"{host}:{port}"


def compute_quotas(limits: Mapping[str, Any]) -> Quotas:
    """What the limits leave to each part; raises InvalidInputError where they leave no room to serve."""
    told = {"type": "limits", "sockets": DEFAULT_SOCKETS, "memory_mb": DEFAULT_MEMORY_MB, **limits}
    sockets: int = required_number(told, "sockets", int)
    memory_mb = required_number(told, "memory_mb")
    if sockets < SOCKETS_MIN or memory_mb < 1:
        raise InvalidInputError(
            f"the limits leave no room to serve: {SOCKETS_MIN} sockets and 1 MB are the least"
        )
    health_checks = min(HEALTH_CHECKS_MAX, sockets // SOCKETS_PER_HEALTH_CHECK)
    return {
        "sockets": sockets,
        "health_checks": max(1, health_checks),
        "connections": max(CONNECTIONS_MIN, sockets - RESERVED_SOCKETS - health_checks),
        "buffers": int(memory_mb) * MIB // MEMORY_PER_BUFFERS // BUFFER_SIZE,
    }


def with_quotas(config: Configuration, quota: Quotas) -> Configuration:
    """The configuration with other quotas."""
    replaced = config.copy()
    replaced["sockets"] = quota["sockets"]
    replaced["health_checks"] = quota["health_checks"]
    replaced["connections"] = quota["connections"]
    replaced["buffers"] = quota["buffers"]
    return replaced


def limits_with_defaults(limits: Mapping[str, Any]) -> Limits:
    """The limits as they are told, or the usual ones."""
    sockets = limits.get("sockets")
    memory_mb = limits.get("memory_mb")
    return {
        "sockets": int(DEFAULT_SOCKETS if sockets is None else sockets),
        "memory_mb": int(DEFAULT_MEMORY_MB if memory_mb is None else memory_mb),
    }


def load(path: str | None) -> Configuration:
    """The configuration of a file; raises InvalidInputError with one sentence."""
    if not path:
        raise InvalidInputError("no configuration: LB_CONFIG names no file")
    try:
        with open(path, "rb") as file:  # noqa: PTH123 pathlib costs a start some milliseconds
            told = orjson.loads(file.read())
    except OSError as error:
        raise InvalidInputError(f"the configuration {path} cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise InvalidInputError(f"the configuration {path} is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise InvalidInputError(f"the configuration {path} is not an object")
    try:
        return parse_configuration({"type": "configuration", **told})
    except (TypeError, AttributeError) as error:
        raise InvalidInputError(f"the configuration {path} has a field of another type: {error}") from None


def parse_configuration(told: Mapping[str, Any]) -> Configuration:
    """The configuration of the file's object; raises InvalidInputError, TypeError or AttributeError."""
    seed = _seed(told.get("seed") or 0)
    limits = told.get("limits") or {}
    wire_settings = required_field(told, "settings", dict)
    _check_settings_types(wire_settings)
    if not isinstance(limits, dict):
        raise InvalidInputError("the limits are not a JSON object")
    name = required_field(told, "name", str)
    listen = parse_address(required_field(told, "listen", str))
    discovery = parse_address(required_field(told, "discovery", str))
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
        "peer_listen": _optional_address(told.get("peer_listen")),
        "peers": [parse_address(peer) for peer in told.get("peers") or ()],
        "peers_all": _optional_address(told.get("peers_all")),
        "known": required_field({"known": {"index": 0, "endpoints": []}, **told}, "known", dict),
        "settings": settings_from_wire(wire_settings),
    }


def summary(config: Configuration) -> str:
    """One line for a person: what this configuration holds."""
    settings = config["settings"]
    return (
        f"{config['name']} listens on {format_address(config['listen'])}, "
        f"{len(settings.zones or ())} zones, {len(settings.classes)} classes, "
        f"{len(config['known'].get('endpoints') or ())} backends known, {len(config['peers'])} peers, "
        f"{config['sockets']} sockets"
    )


def _seed(told: object) -> int:
    text = str(told)
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidInputError(f"the seed {text!r:.40} is not in hex digits") from None


def _optional_address(told: object) -> Address | None:
    return parse_address(told) if told else None


def _check_settings_types(wire_settings: Mapping[str, Any]) -> None:
    for key, kind in SETTINGS_TYPES.items():
        if not isinstance(wire_settings.get(key) or kind(), kind):
            name = "array" if kind is list else "object"
            raise InvalidInputError(f"the settings' {key!r} are not a JSON {name}")
    if not all(isinstance(each, dict) for each in wire_settings.get("classes") or ()):
        raise InvalidInputError("the settings' 'classes' hold what is not an object")
