"""Converts between a tree of settings of the YANG module and the service's configuration; no I/O.

Only this module maps the names of the one to those of the other. A setting whose part of the tree is
unchanged keeps its exact value in the configuration: only those that differ are converted.
"""

from collections.abc import Mapping
from enum import Enum, auto
from typing import Any, NamedTuple, TypeAlias

import msgspec

from granitespool.management.data_tree import Tree, Value
from granitespool.operator_settings import OperatorSettings, StateSettings
from granitespool.settings import RequestClass, Settings
from granitespool.units import MICROSECOND

Configuration: TypeAlias = Mapping[str, Any]
"""A configuration as `net.config` reads it, with the operator's settings."""


class Representation(Enum):
    """The representation of a setting's value in a tree."""

    DURATION = auto()  # microseconds as a string; nanoseconds in the configuration
    DECIMAL = auto()  # a decimal64 as a string
    INTEGER = auto()
    UNCHANGED = auto()


class Setting(NamedTuple):
    """The name of a setting in the configuration, and its representation in a tree."""

    name: str
    representation: Representation


SETTINGS = {
    ("channel", "lines-per-second"): Setting("entries_per_s", Representation.DECIMAL),
    ("channel", "message-head"): Setting("message_header", Representation.DECIMAL),
    ("channel", "backlog-limit"): Setting("backlog_limit", Representation.DECIMAL),
    ("channel", "messages-limit"): Setting("messages_limit", Representation.INTEGER),
    ("channel", "messages-span"): Setting("messages_span", Representation.DURATION),
    ("channel", "admission"): Setting("admission", Representation.UNCHANGED),
    ("permissions", "probes"): Setting("health_checks_allowed", Representation.UNCHANGED),
    ("permissions", "connect-timeout"): Setting("connect_timeout", Representation.DURATION),
    ("drain", "grace"): Setting("drain_grace", Representation.DURATION),
    ("drain", "needs-entry"): Setting("removal_needs_drain", Representation.UNCHANGED),
    ("cold", "time"): Setting("warm_up_time", Representation.DURATION),
    ("cold", "share"): Setting("warm_up_start_share", Representation.DECIMAL),
}  # (container, leaf) -> setting
CLASS_SETTINGS = {
    "name": Setting("name", Representation.UNCHANGED),
    "effect": Setting("effect", Representation.UNCHANGED),
    "promised-time": Setting("latency_objective", Representation.DURATION),
    "time-limit": Setting("timeout", Representation.DURATION),
    "benefit": Setting("priority_weight", Representation.DECIMAL),
    "late-share": Setting("late_share", Representation.DECIMAL),
}  # leaf of a request class -> setting
LIMITS = {"descriptors": "sockets", "memory-mb": "memory_mb"}  # leaf -> name in the configuration
DECIMAL_DIGITS = 6  # fraction digits of the module's decimals, except those of the operator's file
OPERATOR_DIGITS = 3  # fraction digits of the decimals of the operator's file
NO_SETTINGS = Settings()  # the values of unset settings
OPERATOR_DECIMALS = ("half-life-s", "oldest-s")


def decimal_text(value: float, digits: int = DECIMAL_DIGITS) -> str:
    """Return the canonical text of a decimal64 value."""
    text = f"{value:.{digits}f}".rstrip("0")
    return text + "0" if text.endswith(".") else text


def _decimal_value(text: str) -> float:
    """Return the number of a decimal64 text; whole numbers are int, as in the settings."""
    value = float(text)
    return int(value) if value == int(value) else value


def _to_tree(value: Value, representation: Representation) -> Value:
    if representation is Representation.DURATION:
        return str(int(value) // MICROSECOND)
    if representation is Representation.DECIMAL:
        return decimal_text(value)
    if representation is Representation.INTEGER:
        return int(value)
    return value


def _from_tree(value: Value, representation: Representation) -> Value:
    if representation is Representation.DURATION:
        return int(value) * MICROSECOND
    if representation is Representation.DECIMAL:
        return _decimal_value(value)
    return value


def tree_of(config: Configuration) -> Tree:
    """Return the tree of settings of a configuration."""
    settings: Settings = config["settings"]
    tree: Tree = {}
    for (container, leaf), (name, representation) in SETTINGS.items():
        value = getattr(settings, name)
        is_default = name == "removal_needs_drain" and value is False
        if value is not None and not is_default:
            tree.setdefault(container, {})[leaf] = _to_tree(value, representation)
    classes = [_class_tree(request_class) for request_class in settings.classes]
    if classes:
        tree["class"] = classes
    if settings.zones:
        tree["zone"] = list(settings.zones)
    limits = config.get("limits")
    if limits:
        tree["limits"] = {leaf: int(limits[name]) for leaf, name in LIMITS.items() if name in limits}
    operator = config.get("operator")
    if operator and operator.state:
        tree["operator"] = {"state": _state_tree(operator.state)}
    return tree


def _class_tree(request_class: RequestClass) -> Tree:
    return {
        leaf: _to_tree(getattr(request_class, name), representation)
        for leaf, (name, representation) in CLASS_SETTINGS.items()
        if getattr(request_class, name) is not None
    }


def _state_tree(state: StateSettings) -> Tree:
    values = {key.replace("_", "-"): value for key, value in msgspec.structs.asdict(state).items()}
    for leaf in OPERATOR_DECIMALS:
        values[leaf] = decimal_text(values[leaf], OPERATOR_DIGITS)
    return values


def config_of(tree: Tree, config: Configuration) -> dict[str, Any]:
    """Return a configuration changed to match a tree of settings."""
    previous_tree = tree_of(config)
    result = {**config, "settings": _changed_settings(tree, previous_tree, config["settings"])}
    if tree.get("limits") != previous_tree.get("limits"):
        limits = tree.get("limits", {})
        result["limits"] = {name: limits[leaf] for leaf, name in LIMITS.items() if leaf in limits}
        if not result["limits"]:
            result["limits"] = dict(config["configured_limits"])
    if tree.get("operator") != previous_tree.get("operator"):
        result["operator"] = _changed_operator(tree.get("operator", {}), config.get("operator"))
    return result


def _changed_settings(tree: Tree, previous_tree: Tree, previous: Settings) -> Settings:
    changes: dict[str, Any] = {}
    for (container, leaf), (name, representation) in SETTINGS.items():
        value = tree.get(container, {}).get(leaf)
        if value != previous_tree.get(container, {}).get(leaf):
            changes[name] = getattr(NO_SETTINGS, name) if value is None else _from_tree(value, representation)
    if tree.get("class") != previous_tree.get("class"):
        by_name = {request_class.name: request_class for request_class in previous.classes}
        changes["classes"] = [
            _changed_class(entry, by_name.get(entry["name"], RequestClass()))
            for entry in tree.get("class", ())
        ]
    if tree.get("zone") != previous_tree.get("zone"):
        changes["zones"] = list(tree.get("zone", ()))
    return msgspec.structs.replace(previous, **changes)


def _changed_class(entry: Tree, previous: RequestClass) -> RequestClass:
    previous_tree = _class_tree(previous)
    changes: dict[str, Any] = {}
    for leaf, (name, representation) in CLASS_SETTINGS.items():
        if entry.get(leaf) != previous_tree.get(leaf):
            changes[name] = _from_tree(entry[leaf], representation) if leaf in entry else None
    return msgspec.structs.replace(previous, **changes)


def _changed_operator(tree: Tree, previous: OperatorSettings | None) -> OperatorSettings:
    state = None
    if tree.get("state"):
        values = {leaf.replace("-", "_"): value for leaf, value in tree["state"].items()}
        for leaf in OPERATOR_DECIMALS:
            key = leaf.replace("-", "_")
            if key in values:
                values[key] = float(values[key])
        state = StateSettings(**values)
    return msgspec.structs.replace(previous or OperatorSettings(), state=state)
