"""The operations delete, replace and update on a path, as changes of the settings; no I/O."""

from granitespool.gnmi.paths import MODULE_PREFIX, path_text
from granitespool.management import model
from granitespool.management.data_tree import NodePath, PathElement, Tree, Value
from granitespool.management.edits import REMOVALS, Change, apply_changes
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode

SETTINGS_PATH = (model.TOP, model.SETTINGS)


def check_settable(path: NodePath) -> None:
    """Raise ManagementError unless a path leads to the settings, into them, or to one of their ancestors."""
    for element, name in zip(path, SETTINGS_PATH):
        if element.name != name:
            reason = f"{path_text(path)} is nothing that can be set"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason)


def delete_path(node: SchemaNode, tree: Tree, path: NodePath) -> Tree:
    """Return the settings without the node at a path.

    Args:
        node: the schema node of the settings.
        tree: the settings.
        path: the path from the root.

    Raises:
        ManagementError: the path does not lead to settings, or the node at the path cannot be deleted.
    """
    check_settable(path)
    relative_path = path[len(SETTINGS_PATH) :]
    if not relative_path:
        return {}
    try:
        return apply_changes(node, tree, _changes_at(node, relative_path, "delete"), "none")
    except ManagementError as error:
        if error.tag == ErrorTag.DATA_MISSING:
            return tree  # by the gNMI specification, the path of a delete need not exist
        raise


def update_path(node: SchemaNode, tree: Tree, path: NodePath, operation: str, value: Value) -> Tree:
    """Return the settings after an operation with a plain value at a path.

    Args:
        node: the schema node of the settings.
        tree: the settings.
        path: the path from the root.
        operation: replace or merge.
        value: a plain JSON value.

    Raises:
        ManagementError: the path does not lead to settings, or the value does not fit it.
    """
    check_settable(path)
    relative_path = path[len(SETTINGS_PATH) :]
    if not relative_path:
        changes = _json_changes(node, _settings_within(path, value))[0].children
        return apply_changes(node, {} if operation == "replace" else tree, changes)
    first = relative_path[0].name
    if operation == "replace" and node.child(first).kind == "leaf-list":
        tree = {name: item for name, item in tree.items() if name != first}
    return apply_changes(node, tree, _changes_at(node, relative_path, operation, value))


def _settings_within(path: NodePath, value: Value) -> Value:
    """Return the settings within a value; `path` leads to an ancestor of the settings."""
    for name in SETTINGS_PATH[len(path) :]:
        children = value.items() if isinstance(value, dict) else ()
        values_by_name = {key.removeprefix(MODULE_PREFIX): item for key, item in children}
        unknown_names = sorted(set(values_by_name) - {name})
        if unknown_names:
            reason = f"there is no {', '.join(unknown_names)} to be set"
            raise ManagementError(ErrorTag.UNKNOWN_ELEMENT, reason)
        value = values_by_name.get(name, {})
    return value


def _changes_at(node: SchemaNode, path: NodePath, operation: str, value: Value = None) -> tuple[Change, ...]:
    """Return the changes within a container that do an operation at a path relative to it."""
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
    """Return the changes that set the keys of a list entry; the result is empty for other nodes."""
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
    """Return the changes of a node that set a JSON value."""
    if node.kind == "leaf":
        return (Change(node.name, None, node.parse_json(value)),)
    if node.kind == "leaf-list":
        if not isinstance(value, list):
            raise ManagementError(ErrorTag.INVALID_VALUE, f"{node.name} is an array", node.path())
        return tuple(Change(node.name, None, node.parse_json(item)) for item in value)
    if node.kind == "list" and isinstance(value, list):
        return tuple(change for item in value for change in _json_changes(node, item, operation))
    if not isinstance(value, dict):
        raise ManagementError(ErrorTag.INVALID_VALUE, f"{node.name} is an object", node.path())
    children: list[Change] = []
    for name, item in value.items():
        children += _json_changes(node.child(name.removeprefix(MODULE_PREFIX)), item)
    return (Change(node.name, operation, None, tuple(children)),)
