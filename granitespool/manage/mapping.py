"""Between a tree of settings, as the module has it, and the configuration that the service runs on; no I/O.

What a tree does not change keeps its exact value: a commit writes only the keys whose part of the tree
differs."""

import msgspec

from granitespool.manage.model import SETTINGS
from granitespool.settings import US

SPAN, FIGURE, WHOLE, PLAIN = "span", "figure", "whole", "plain"  # ns; a number; an int; as it stands

# (container, leaf) -> (the settings' name, its form)
LEAVES = {
    ("channel", "lines-per-second"): ("lines_per_s", FIGURE),
    ("channel", "message-head"): ("message_head", FIGURE),
    ("channel", "backlog-limit"): ("backlog_limit", FIGURE),
    ("channel", "messages-limit"): ("messages_limit", WHOLE),
    ("channel", "messages-span"): ("messages_span", SPAN),
    ("channel", "admission"): ("admission", PLAIN),
    ("permissions", "probes"): ("probes", PLAIN),
    ("permissions", "connect-timeout"): ("connect_timeout", SPAN),
    ("drain", "grace"): ("drain_grace", SPAN),
    ("drain", "needs-entry"): ("drain_needs_entry", PLAIN),
    ("cold", "time"): ("cold_time", SPAN),
    ("cold", "share"): ("cold_share", FIGURE),
}
CLASS = {
    "name": ("name", PLAIN),
    "effect": ("effect", PLAIN),
    "promised-time": ("promised_time", SPAN),
    "time-limit": ("time_limit", SPAN),
    "benefit": ("benefit", FIGURE),
    "late-share": ("late_share", FIGURE),
}
LIMITS = {"descriptors": "sockets", "memory-mb": "memory_mb"}  # leaf -> the configuration's name
STATE_DECIMALS = "half-life-s", "oldest-s"


def decimal(value, digits=6):
    """A decimal64's canonical text."""
    text = f"{value:.{digits}f}".rstrip("0")
    return text + "0" if text.endswith(".") else text


def _out(value, form):
    return (
        str(int(value) // US)
        if form == SPAN
        else decimal(value)
        if form == FIGURE
        else int(value)
        if form == WHOLE
        else value
    )


def _in(value, form):
    return int(value) * US if form == SPAN else number(value) if form == FIGURE else value


def number(text):
    """A decimal64's value; whole ones as int, as the settings have them."""
    value = float(text)
    return int(value) if value == int(value) else value


def tree_of(config):
    """The tree of a configuration as `net.config` reads it, with its operator's settings."""
    settings, tree = config["settings"], {}
    for (group, leaf), (name, form) in LEAVES.items():
        value = settings.get(name)
        if value is not None and not (name == "drain_needs_entry" and value is False):
            tree.setdefault(group, {})[leaf] = _out(value, form)
    classes = [
        {leaf: _out(kind[name], form) for leaf, (name, form) in CLASS.items() if kind.get(name) is not None}
        for kind in settings.get("classes") or ()
    ]
    if classes:
        tree["class"] = classes
    if settings.get("zones"):
        tree["zone"] = list(settings["zones"])
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
    before, settings = tree_of(config), dict(config["settings"])
    for (group, leaf), (name, form) in LEAVES.items():
        new = tree.get(group, {}).get(leaf)
        if new != before.get(group, {}).get(leaf):
            settings.pop(name, None)
            if new is not None:
                settings[name] = _in(new, form)
    if tree.get("class") != before.get("class"):
        former = {kind.get("name"): kind for kind in settings.get("classes") or ()}
        settings["classes"] = [
            _class(entry, former.get(entry["name"], {}), CLASS) for entry in tree.get("class", ())
        ]
    if tree.get("zone") != before.get("zone"):
        settings["zones"] = list(tree.get("zone", ()))
    result = {**config, "settings": settings}
    if tree.get("limits") != before.get("limits"):
        new = tree.get("limits", {})
        result["limits"] = {name: new[leaf] for leaf, name in LIMITS.items() if leaf in new} or dict(
            config["limits_told"]
        )
    if tree.get("operator") != before.get("operator"):
        result["operator"] = _operator(tree.get("operator", {}), config.get("operator"))
    return result


def _class(entry, former, leaves):
    kind = dict(former)
    for leaf, (name, form) in leaves.items():
        old = None if former.get(name) is None else _out(former[name], form)
        if entry.get(leaf) != old:
            kind.pop(name, None)
            if leaf in entry:
                kind[name] = _in(entry[leaf], form)
    return kind


def _operator(tree, former):
    from granitespool.operator import Operator, State  # noqa: PLC0415 only where a manager sets it

    state = tree.get("state")
    values = state and {
        key.replace("-", "_"): float(value) if key in STATE_DECIMALS else value
        for key, value in state.items()
    }
    return msgspec.structs.replace(former or Operator(), state=State(**values) if values else None)


def settings_path(*names):
    """A path below the settings, for a refusal."""
    return (("coordinator", {}), (SETTINGS, {}), *((name, {}) for name in names))
