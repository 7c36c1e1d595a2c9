"""Edit operations on a tree of settings; no I/O.

An edit is a tree of changes with the operations of RFC 6241: merge, replace, create, delete, remove, none. A
change without an operation inherits that of its parent. `apply_changes` works on a copy, so an edit that is
rejected half-way has no effect.
"""

import copy
from collections.abc import Iterable
from typing import NamedTuple

from granitespool.management.data_tree import NodePath, PathElement, Tree, Value
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode

OPERATIONS = ("merge", "replace", "create", "delete", "remove", "none")
REMOVALS = ("delete", "remove")


class Placement(NamedTuple):
    """The position of an entry in a list that is ordered by the user: first, last, before or after another.

    `reference` identifies the other entry by its keys or its value.
    """

    position: str
    reference: Value = None


class Change(NamedTuple):
    """A change of the child node `name` of a container or list entry.

    `value` is the value of a leaf or leaf-list entry in the form of a tree. `children` are the changes within
    a container or list entry, including the keys of the entry.
    """

    name: str
    operation: str | None = None
    value: Value = None
    children: tuple["Change", ...] = ()
    placement: Placement | None = None


class _Edit(NamedTuple):
    """A change that is being applied, with its node, its effective operation and its path."""

    node: SchemaNode
    change: Change
    operation: str
    path: NodePath

    def at(self, keys: dict[str, Value] | None = None) -> "_Edit":
        """Return the edit with the path extended by the node itself."""
        element = PathElement(self.node.name, keys or {})
        return self._replace(path=(*self.path, element))

    @property
    def is_removal(self) -> bool:
        """Whether the operation removes the node."""
        return self.operation in REMOVALS


def apply_changes(
    node: SchemaNode, tree: Tree, changes: Iterable[Change], default_operation: str = "merge"
) -> Tree:
    """Return the tree of a container after these changes to its children.

    Raises:
        ManagementError: the tree or the module does not allow a change.
    """
    result = copy.deepcopy(tree)
    for change in changes:
        _apply(node.child(change.name), result, change, default_operation, node.path())
    prune(node, result)
    return result


def _apply(node: SchemaNode, parent: Tree, change: Change, inherited: str, path: NodePath) -> None:
    if not node.is_config:
        reason = f"{node.name} is state and cannot be set"
        raise ManagementError(ErrorTag.INVALID_VALUE, reason, (*path, PathElement(node.name)))
    operation = change.operation or inherited
    if operation not in OPERATIONS:
        raise _bad_attribute(node, f"there is no operation {operation!r:.40}", path, "operation")
    _APPLY_BY_KIND[node.kind](_Edit(node, change, operation, path), parent)


def _bad_attribute(node: SchemaNode, reason: str, path: NodePath, attribute: str) -> ManagementError:
    return ManagementError(ErrorTag.BAD_ATTRIBUTE, reason, path, attribute=attribute, element=node.name)


def _check_existence(edit: _Edit, exists: bool) -> None:
    """Reject the creation of a node that exists, and the removal of a node that does not."""
    name = edit.node.name
    if edit.operation == "create" and exists:
        raise ManagementError(ErrorTag.DATA_EXISTS, f"{name} is there already", edit.path)
    if edit.operation in ("delete", "none") and not exists:
        raise ManagementError(ErrorTag.DATA_MISSING, f"{name} is not there", edit.path)


def _apply_leaf(parent_edit: _Edit, parent: Tree) -> None:
    edit = parent_edit.at()
    name = edit.node.name
    if edit.operation == "none":
        return  # the leaf only identifies its parent
    _check_existence(edit, name in parent)
    if edit.is_removal:
        parent.pop(name, None)
        return
    if edit.change.value is None:
        raise ManagementError(ErrorTag.MISSING_ELEMENT, f"{name} has no value", edit.path, element=name)
    parent[name] = edit.change.value


def _apply_container(parent_edit: _Edit, parent: Tree) -> None:
    edit = parent_edit.at()
    name = edit.node.name
    if edit.node.has_presence or edit.operation in ("create", "delete"):
        # For all other operations a container without presence always exists.
        _check_existence(edit, name in parent)
    if edit.is_removal:
        parent.pop(name, None)
        return
    if edit.operation == "replace":
        parent[name] = {}
    _apply_children(edit, parent.setdefault(name, {}), edit.change.children)


def _apply_children(edit: _Edit, tree: Tree, children: Iterable[Change]) -> None:
    inherited = "merge" if edit.operation in ("replace", "create") else edit.operation
    for child in children:
        _apply(edit.node.child(child.name), tree, child, inherited, edit.path)


def _apply_list(parent_edit: _Edit, parent: Tree) -> None:
    node = parent_edit.node
    keys = _entry_keys(parent_edit)
    edit = parent_edit.at(keys)
    entries = parent.setdefault(node.name, [])
    index = _find_index(entries, keys)
    _check_existence(edit, index is not None)
    if edit.is_removal:
        if index is not None:
            del entries[index]
        return
    if index is None:
        entries.append(dict(keys))
        index = len(entries) - 1
    elif edit.operation == "replace":
        entries[index] = dict(keys)
    entry = entries[index]
    _apply_children(edit, entry, [child for child in edit.change.children if child.name not in node.keys])
    if edit.change.placement:
        _place(edit, edit.change.placement, entries, entry)


def _entry_keys(edit: _Edit) -> dict[str, Value]:
    """Return the key values of a list entry by name, taken from the children of its change."""
    node = edit.node
    key_values = {child.name: child.value for child in edit.change.children if child.name in node.keys}
    for name in node.keys:
        if key_values.get(name) is None:
            reason = f"an entry of {node.name} lacks its key {name}"
            raise ManagementError(ErrorTag.MISSING_ELEMENT, reason, edit.path, element=name)
    return {name: key_values[name] for name in node.keys}


def _find_index(entries: list[Value], reference: Value) -> int | None:
    """Return the index of the entry with these keys or this value, None if no entry matches."""
    for index, entry in enumerate(entries):
        if entry == reference or (isinstance(reference, dict) and _has_keys(entry, reference)):
            return index
    return None


def _has_keys(entry: Tree, keys: dict[str, Value]) -> bool:
    return all(entry.get(name) == value for name, value in keys.items())


def _apply_leaf_list(parent_edit: _Edit, parent: Tree) -> None:
    value = parent_edit.change.value
    edit = parent_edit.at({".": value})
    values = parent.setdefault(edit.node.name, [])
    exists = value in values
    if edit.operation == "none":
        return
    _check_existence(edit, exists)
    if edit.is_removal:
        if exists:
            values.remove(value)
        return
    if not exists:
        values.append(value)
    if edit.change.placement:
        _place(edit, edit.change.placement, values, value)


def _place(edit: _Edit, placement: Placement, entries: list[Value], entry: Value) -> None:
    """Move an entry of a list or leaf-list to its placement."""
    position, reference = placement
    if not edit.node.is_user_ordered:
        reason = f"the entries of {edit.node.name} are not ordered by the user"
        raise _bad_attribute(edit.node, reason, edit.path, "insert")
    if isinstance(entry, dict):
        entries[:] = [other for other in entries if other is not entry]
    else:
        entries[:] = [other for other in entries if other != entry]
    if position == "first":
        entries.insert(0, entry)
    elif position == "last":
        entries.append(entry)
    else:
        index = _find_index(entries, reference)
        if index is None:
            reason = f"{edit.node.name} has no {reference!r:.60} to be put {position}"
            raise _bad_attribute(edit.node, reason, edit.path, "insert")
        entries.insert(index + (position == "after"), entry)


_APPLY_BY_KIND = {
    "leaf": _apply_leaf,
    "container": _apply_container,
    "list": _apply_list,
    "leaf-list": _apply_leaf_list,
}


def prune(node: SchemaNode, tree: Tree) -> None:
    """Remove empty nodes from a tree: containers without presence, and lists without entries."""
    for name, value in list(tree.items()):
        child = node.children.get(name)
        if child is None or child.kind == "leaf":
            continue
        if child.kind == "container":
            prune(child, value)
        elif child.kind == "list":
            for entry in value:
                prune(child, entry)
        if not value and not child.has_presence:
            del tree[name]


def with_defaults(node: SchemaNode, tree: Tree) -> Tree:
    """Return a copy of a tree with the defaults of unset leaves.

    An absent container with presence stays absent, and so do the defaults within it.
    """
    result: Tree = {}
    for name, child in node.children.items():
        value = _value_with_defaults(child, tree.get(name))
        if value is not None:
            result[name] = value
    return result


def _value_with_defaults(node: SchemaNode, value: Value) -> Value:
    """Return the value of a child with defaults, None if the child has neither a value nor a default."""
    if node.kind == "container":
        if value is None and node.has_presence:
            return None
        return with_defaults(node, value or {}) or ({} if node.has_presence else None)
    if node.kind == "list":
        return [with_defaults(node, entry) for entry in value] if value else None
    return node.default if value is None else value


def differing_names(old: Tree, new: Tree) -> list[str]:
    """Return the top-level names whose values differ between two trees."""
    return sorted(name for name in old.keys() | new.keys() if old.get(name) != new.get(name))
