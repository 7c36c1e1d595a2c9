"""Between a tree of settings, as the module has it, and the configuration that the service runs on; no I/O.

This is the one place that knows both names of a setting. What a tree does not change keeps its exact value: a
commit writes only the settings whose part of the tree differs."""

from collections.abc import Mapping
from enum import Enum, auto
from typing import Any, NamedTuple, TypeAlias

import msgspec

from granitespool.management.data_tree import Tree, Value
from granitespool.operator_settings import OperatorSettings, StateSettings
from granitespool.settings import RequestClass, Settings
from granitespool.units import MICROSECOND

Configuration: TypeAlias = Mapping[str, Any]
"""As net.config reads it, with the operator's settings."""


class Representation(Enum):
    """How a setting's value stands in a tree."""

    DURATION = auto()  # microseconds as text; nanoseconds in the configuration
    DECIMAL = auto()  # text
    INTEGER = auto()
    UNCHANGED = auto()


class Setting(NamedTuple):
    """A setting of the configuration by its name there."""

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
}  # by (container, leaf)
CLASS_SETTINGS = {
    "name": Setting("name", Representation.UNCHANGED),
    "effect": Setting("effect", Representation.UNCHANGED),
    "promised-time": Setting("latency_objective", Representation.DURATION),
    "time-limit": Setting("timeout", Representation.DURATION),
    "benefit": Setting("priority_weight", Representation.DECIMAL),
    "late-share": Setting("late_share", Representation.DECIMAL),
}  # of a class, by leaf
LIMITS = {"descriptors": "sockets", "memory-mb": "memory_mb"}  # leaf: the configuration's name
DECIMAL_DIGITS = 6  # of the module's decimals, but for those of the operator's file
OPERATOR_DIGITS = 3
NO_SETTINGS = Settings()  # the values where nothing is set
OPERATOR_DECIMALS = ("half-life-s", "oldest-s")


def decimal_text(value: float, digits: int = DECIMAL_DIGITS) -> str:
    """A decimal64's canonical text."""
    text = f"{value:.{digits}f}".rstrip("0")
    return text + "0" if text.endswith(".") else text


def _decimal_value(text: str) -> float:
    """A decimal64's value; whole ones as int, as the settings have them."""
    value = float(text)
    return int(value) if value == int(value) else value


def _to_tree(value: Value, form: Representation) -> Value:
    if form is Representation.DURATION:
        return str(int(value) // MICROSECOND)
    if form is Representation.DECIMAL:
        return decimal_text(value)
    if form is Representation.INTEGER:
        return int(value)
    return value


def _from_tree(value: Value, form: Representation) -> Value:
    if form is Representation.DURATION:
        return int(value) * MICROSECOND
    if form is Representation.DECIMAL:
        return _decimal_value(value)
    return value


def tree_of(config: Configuration) -> Tree:
    """The tree of a configuration."""
    settings: Settings = config["settings"]
    tree: Tree = {}
    for (container, leaf), (name, form) in SETTINGS.items():
        value = getattr(settings, name)
        is_default = name == "removal_needs_drain" and value is False
        if value is not None and not is_default:
            tree.setdefault(container, {})[leaf] = _to_tree(value, form)
    classes = [_class_tree(each) for each in settings.classes]
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
        leaf: _to_tree(getattr(request_class, name), form)
        for leaf, (name, form) in CLASS_SETTINGS.items()
        if getattr(request_class, name) is not None
    }


def _state_tree(state: StateSettings) -> Tree:
    values = {key.replace("_", "-"): value for key, value in msgspec.structs.asdict(state).items()}
    for leaf in OPERATOR_DECIMALS:
        values[leaf] = decimal_text(values[leaf], OPERATOR_DIGITS)
    return values


def config_of(tree: Tree, config: Configuration) -> dict[str, Any]:
    """The configuration that a tree makes of a former one."""
    before = tree_of(config)
    result = {**config, "settings": _settings_of(tree, before, config["settings"])}
    if tree.get("limits") != before.get("limits"):
        limits = tree.get("limits", {})
        result["limits"] = {name: limits[leaf] for leaf, name in LIMITS.items() if leaf in limits}
        if not result["limits"]:
            result["limits"] = dict(config["configured_limits"])
    if tree.get("operator") != before.get("operator"):
        result["operator"] = _operator_of(tree.get("operator", {}), config.get("operator"))
    return result


def _settings_of(tree: Tree, before: Tree, former: Settings) -> Settings:
    changes: dict[str, Any] = {}
    for (container, leaf), (name, form) in SETTINGS.items():
        value = tree.get(container, {}).get(leaf)
        if value != before.get(container, {}).get(leaf):
            changes[name] = getattr(NO_SETTINGS, name) if value is None else _from_tree(value, form)
    if tree.get("class") != before.get("class"):
        by_name = {each.name: each for each in former.classes}
        changes["classes"] = [
            _class_of(entry, by_name.get(entry["name"], RequestClass())) for entry in tree.get("class", ())
        ]
    if tree.get("zone") != before.get("zone"):
        changes["zones"] = list(tree.get("zone", ()))
    return msgspec.structs.replace(former, **changes)


def _class_of(entry: Tree, former: RequestClass) -> RequestClass:
    before = _class_tree(former)
    changes: dict[str, Any] = {}
    for leaf, (name, form) in CLASS_SETTINGS.items():
        if entry.get(leaf) != before.get(leaf):
            changes[name] = _from_tree(entry[leaf], form) if leaf in entry else None
    return msgspec.structs.replace(former, **changes)


def _operator_of(tree: Tree, former: OperatorSettings | None) -> OperatorSettings:
    state = None
    if tree.get("state"):
        values = {leaf.replace("-", "_"): value for leaf, value in tree["state"].items()}
        for leaf in OPERATOR_DECIMALS:
            key = leaf.replace("-", "_")
            if key in values:
                values[key] = float(values[key])
        state = StateSettings(**values)
    return msgspec.structs.replace(former or OperatorSettings(), state=state)
