"""Delete, replace and update of a path as changes of the settings; no I/O."""

from granitespool.gnmi.paths import MODULE_PREFIX, path_text
from granitespool.management import model
from granitespool.management.data_tree import NodePath, PathElement, Tree, Value
from granitespool.management.edits import REMOVALS, Change, apply_changes
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode

SETTINGS_PATH = (model.TOP, model.SETTINGS)


def check_settable(path: NodePath) -> None:
    """Raises ManagementError where a path leads to anything but the settings, or what is above them."""
    for element, name in zip(path, SETTINGS_PATH):
        if element.name != name:
            reason = f"{path_text(path)} is nothing that can be set"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason)


def deleted(node: SchemaNode, tree: Tree, path: NodePath) -> Tree:
    """The settings without what a path names; `node` is that of the settings."""
    check_settable(path)
    below = path[len(SETTINGS_PATH) :]
    if not below:
        return {}
    try:
        return apply_changes(node, tree, _changes_at(node, below, "delete"), "none")
    except ManagementError as error:
        if error.tag == ErrorTag.DATA_MISSING:
            return tree  # the specification: deleting what is not there is no error
        raise


def updated(node: SchemaNode, tree: Tree, path: NodePath, operation: str, value: Value) -> Tree:
    """The settings after `operation`, replace or merge, of a plain value at a path."""
    check_settable(path)
    below = path[len(SETTINGS_PATH) :]
    if not below:
        changes = _json_changes(node, _settings_within(path, value))[0].children
        return apply_changes(node, {} if operation == "replace" else tree, changes)
    first = below[0].name
    if operation == "replace" and node.child(first).kind == "leaf-list":
        tree = {name: each for name, each in tree.items() if name != first}
    return apply_changes(node, tree, _changes_at(node, below, operation, value))


def _settings_within(path: NodePath, value: Value) -> Value:
    """The settings within the value of a path above them."""
    for name in SETTINGS_PATH[len(path) :]:
        children = value.items() if isinstance(value, dict) else ()
        named = {key.removeprefix(MODULE_PREFIX): each for key, each in children}
        others = sorted(set(named) - {name})
        if others:
            reason = f"there is no {', '.join(others)} to be set"
            raise ManagementError(ErrorTag.UNKNOWN_ELEMENT, reason)
        value = named.get(name, {})
    return value


def _changes_at(node: SchemaNode, path: NodePath, operation: str, value: Value = None) -> tuple[Change, ...]:
    """The changes within a container that do an operation at a path below it."""
    element, rest = path[0], path[1:]
    child = node.child(element.name)
    removes = operation in REMOVALS
    if child.kind == "list" and removes and not element.keys and not rest:
        reason = f"the whole list {child.name} cannot be deleted, name an entry"
        raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, reason)
    keys = _key_changes(child, element)
    if rest:
        inner = _changes_at(child, rest, operation, value)
        return (Change(child.name, "none" if removes else None, None, (*keys, *inner)),)
    if not removes:
        return tuple(_with_keys(change, keys) for change in _json_changes(child, value, operation))
    if child.kind == "leaf-list":
        reason = f"the whole of {child.name} cannot be deleted, replace it"
        raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, reason)
    return (Change(child.name, "remove", None, keys),)


def _key_changes(node: SchemaNode, element: PathElement) -> tuple[Change, ...]:
    """The changes that name a list entry."""
    if node.kind != "list":
        if element.keys:
            raise ManagementError(ErrorTag.BAD_ATTRIBUTE, f"{node.name} has no keys", node.path())
        return ()
    if set(element.keys) != set(node.keys):
        reason = f"{node.name} needs its keys {', '.join(node.keys)}"
        raise ManagementError(ErrorTag.MISSING_ELEMENT, reason, node.path())
    return tuple(Change(key, None, node.children[key].parse(text)) for key, text in element.keys.items())


def _with_keys(change: Change, keys: tuple[Change, ...]) -> Change:
    names = {key.name for key in keys}
    others = (child for child in change.children if child.name not in names)
    return change._replace(children=(*keys, *others))


def _json_changes(node: SchemaNode, value: Value, operation: str | None = None) -> tuple[Change, ...]:
    """The changes that a JSON value makes of a node."""
    if node.kind == "leaf":
        return (Change(node.name, None, node.parse_json(value)),)
    if node.kind == "leaf-list":
        if not isinstance(value, list):
            raise ManagementError(ErrorTag.INVALID_VALUE, f"{node.name} is an array", node.path())
        return tuple(Change(node.name, None, node.parse_json(each)) for each in value)
    if node.kind == "list" and isinstance(value, list):
        return tuple(change for each in value for change in _json_changes(node, each, operation))
    if not isinstance(value, dict):
        raise ManagementError(ErrorTag.INVALID_VALUE, f"{node.name} is an object", node.path())
    children: list[Change] = []
    for name, each in value.items():
        children += _json_changes(node.child(name.removeprefix(MODULE_PREFIX)), each)
    return (Change(node.name, operation, None, tuple(children)),)
