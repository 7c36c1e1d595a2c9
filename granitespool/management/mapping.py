"""Between a tree of settings, as the module has it, and the configuration that the service runs on; no I/O.

What a tree does not change keeps its exact value: a commit writes only the keys whose part of the tree
differs."""

import msgspec

from granitespool.management.model import SETTINGS
from granitespool.settings import RequestClass, Settings
from granitespool.units import MICROSECOND

SPAN, FIGURE, WHOLE, PLAIN = "span", "figure", "whole", "plain"  # ns; a number; an int; as it stands

# (container, leaf) -> (the settings' name, its form)
LEAVES = {
    ("channel", "lines-per-second"): ("entries_per_s", FIGURE),
    ("channel", "message-head"): ("message_header", FIGURE),
    ("channel", "backlog-limit"): ("backlog_limit", FIGURE),
    ("channel", "messages-limit"): ("messages_limit", WHOLE),
    ("channel", "messages-span"): ("messages_span", SPAN),
    ("channel", "admission"): ("admission", PLAIN),
    ("permissions", "probes"): ("health_checks_allowed", PLAIN),
    ("permissions", "connect-timeout"): ("connect_timeout", SPAN),
    ("drain", "grace"): ("drain_grace", SPAN),
    ("drain", "needs-entry"): ("removal_needs_drain", PLAIN),
    ("cold", "time"): ("warm_up_time", SPAN),
    ("cold", "share"): ("warm_up_start_share", FIGURE),
}
CLASS = {
    "name": ("name", PLAIN),
    "effect": ("effect", PLAIN),
    "promised-time": ("latency_objective", SPAN),
    "time-limit": ("timeout", SPAN),
    "benefit": ("priority_weight", FIGURE),
    "late-share": ("late_share", FIGURE),
}
NO_SETTINGS = Settings()  # what stands where nothing is told
LIMITS = {"descriptors": "sockets", "memory-mb": "memory_mb"}  # leaf -> the configuration's name
STATE_DECIMALS = "half-life-s", "oldest-s"


def decimal(value, digits=6):
    """A decimal64's canonical text."""
    text = f"{value:.{digits}f}".rstrip("0")
    return text + "0" if text.endswith(".") else text


def _out(value, form):
    return (
        str(int(value) // MICROSECOND)
        if form == SPAN
        else decimal(value)
        if form == FIGURE
        else int(value)
        if form == WHOLE
        else value
    )


def _in(value, form):
    return int(value) * MICROSECOND if form == SPAN else number(value) if form == FIGURE else value


def number(text):
    """A decimal64's value; whole ones as int, as the settings have them."""
    value = float(text)
    return int(value) if value == int(value) else value


def tree_of(config):
    """The tree of a configuration as `net.config` reads it, with its operator's settings."""
    settings, tree = config["settings"], {}
    for (group, leaf), (name, form) in LEAVES.items():
        value = getattr(settings, name)
        if value is not None and not (name == "removal_needs_drain" and value is False):
            tree.setdefault(group, {})[leaf] = _out(value, form)
    classes = [
        {
            leaf: _out(getattr(kind, name), form)
            for leaf, (name, form) in CLASS.items()
            if getattr(kind, name) is not None
        }
        for kind in settings.classes
    ]
    if classes:
        tree["class"] = classes
    if settings.zones:
        tree["zone"] = list(settings.zones)
    limits = config.get("limits") or {}
    if limits:
        tree["limits"] = {leaf: int(limits[name]) for leaf, name in LIMITS.items() if name in limits}
    operator = config.get("operator")
    if operator and operator.state:
        state = {
            key.replace("_", "-"): value for key, value in msgspec.structs.asdict(operator.state).items()
        }
        tree["operator"] = {
            "state": {
                key: decimal(value, 3) if key in STATE_DECIMALS else value for key, value in state.items()
            }
        }
    return tree


def config_of(tree, config):
    """The configuration that this tree makes of a former one."""
    before, settings = tree_of(config), config["settings"]
    changes = {}
    for (group, leaf), (name, form) in LEAVES.items():
        new = tree.get(group, {}).get(leaf)
        if new != before.get(group, {}).get(leaf):
            changes[name] = getattr(NO_SETTINGS, name) if new is None else _in(new, form)
    if tree.get("class") != before.get("class"):
        former = {kind.name: kind for kind in settings.classes}
        changes["classes"] = [
            _class(entry, former.get(entry["name"], RequestClass())) for entry in tree.get("class", ())
        ]
    if tree.get("zone") != before.get("zone"):
        changes["zones"] = list(tree.get("zone", ()))
    result = {**config, "settings": msgspec.structs.replace(settings, **changes)}
    if tree.get("limits") != before.get("limits"):
        new = tree.get("limits", {})
        result["limits"] = {name: new[leaf] for leaf, name in LIMITS.items() if leaf in new} or dict(
            config["limits_told"]
        )
    if tree.get("operator") != before.get("operator"):
        result["operator"] = _operator(tree.get("operator", {}), config.get("operator"))
    return result


def _class(entry, former):
    changes = {}
    for leaf, (name, form) in CLASS.items():
        value = getattr(former, name)
        old = None if value is None else _out(value, form)
        if entry.get(leaf) != old:
            changes[name] = _in(entry[leaf], form) if leaf in entry else None
    return msgspec.structs.replace(former, **changes)


def _operator(tree, former):
    from granitespool.operator_settings import Operator, State  # noqa: PLC0415 only where a manager sets it

    state = tree.get("state")
    values = state and {
        key.replace("-", "_"): float(value) if key in STATE_DECIMALS else value
        for key, value in state.items()
    }
    return msgspec.structs.replace(former or Operator(), state=State(**values) if values else None)


def settings_path(*names):
    """A path below the settings, for a refusal."""
    return (("coordinator", {}), (SETTINGS, {}), *((name, {}) for name in names))
