"""What an edit does to a tree of settings; no I/O.

An edit is a tree of changes whose operations are those of RFC 6241: merge, replace, create, delete, remove,
none. A change without an operation has that of the change above it. `edited` works on a copy, so an edit that
is rejected half way leaves nothing behind."""

import copy
from collections.abc import Iterable
from typing import NamedTuple

from granitespool.management.data_tree import NodePath, PathElement, Tree, Value
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode

OPERATIONS = ("merge", "replace", "create", "delete", "remove", "none")
REMOVALS = ("delete", "remove")


class Placement(NamedTuple):
    """Where an entry whose order is the user's is put: first, last, before or after another one.

    `reference` names that other one by its keys or its value."""

    where: str
    reference: Value = None


class Change(NamedTuple):
    """A change of the node `name` within the one above.

    `value` is that of a leaf or leaf-list entry as a tree has it, `children` are changes within a container
    or list entry; the keys of an entry are among them."""

    name: str
    operation: str | None = None
    value: Value = None
    children: tuple["Change", ...] = ()
    placement: Placement | None = None


class _Edit(NamedTuple):
    """One change on its way into the tree: its node, operation and path."""

    node: SchemaNode
    change: Change
    operation: str
    path: NodePath

    def at(self, keys: dict[str, Value] | None = None) -> "_Edit":
        """The same with the path of the node itself."""
        element = PathElement(self.node.name, keys or {})
        return self._replace(path=(*self.path, element))

    @property
    def removes(self) -> bool:
        """Whether the node is not to be there afterwards."""
        return self.operation in REMOVALS


def apply_changes(node: SchemaNode, tree: Tree, changes: Iterable[Change], default: str = "merge") -> Tree:
    """The tree of a container after these changes to its children.

    Raises:
        ManagementError: a change that the tree or the module does not allow.
    """
    result = copy.deepcopy(tree)
    for change in changes:
        _apply(node.child(change.name), result, change, default, node.path())
    prune(node, result)
    return result


def _apply(node: SchemaNode, parent: Tree, change: Change, inherited: str, path: NodePath) -> None:
    if not node.config:
        reason = f"{node.name} is state and cannot be set"
        raise ManagementError(ErrorTag.INVALID_VALUE, reason, (*path, PathElement(node.name)))
    operation = change.operation or inherited
    if operation not in OPERATIONS:
        raise _bad_attribute(node, f"there is no operation {operation!r:.40}", path, "operation")
    _APPLY_BY_KIND[node.kind](_Edit(node, change, operation, path), parent)


def _bad_attribute(node: SchemaNode, reason: str, path: NodePath, attribute: str) -> ManagementError:
    return ManagementError(ErrorTag.BAD_ATTRIBUTE, reason, path, attribute=attribute, element=node.name)


def _check_existence(edit: _Edit, exists: bool) -> None:
    """Rejects the creation of what is there, and the removal of what is not."""
    name = edit.node.name
    if edit.operation == "create" and exists:
        raise ManagementError(ErrorTag.DATA_EXISTS, f"{name} is there already", edit.path)
    if edit.operation in ("delete", "none") and not exists:
        raise ManagementError(ErrorTag.DATA_MISSING, f"{name} is not there", edit.path)


def _apply_leaf(parent_edit: _Edit, parent: Tree) -> None:
    edit = parent_edit.at()
    name = edit.node.name
    if edit.operation == "none":
        return  # it only says where something is
    _check_existence(edit, name in parent)
    if edit.removes:
        parent.pop(name, None)
        return
    if edit.change.value is None:
        raise ManagementError(ErrorTag.MISSING_ELEMENT, f"{name} has no value", edit.path, element=name)
    parent[name] = edit.change.value


def _apply_container(parent_edit: _Edit, parent: Tree) -> None:
    edit = parent_edit.at()
    name = edit.node.name
    if edit.node.presence or edit.operation in ("create", "delete"):
        # Without presence a container is there always for all other operations.
        _check_existence(edit, name in parent)
    if edit.removes:
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
    keys = _keys_of(parent_edit)
    edit = parent_edit.at(keys)
    entries = parent.setdefault(node.name, [])
    index = _index_of(entries, keys)
    _check_existence(edit, index is not None)
    if edit.removes:
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


def _keys_of(edit: _Edit) -> dict[str, Value]:
    """A list entry's key values by name; they are among its children."""
    node = edit.node
    given = {child.name: child.value for child in edit.change.children if child.name in node.keys}
    for name in node.keys:
        if given.get(name) is None:
            reason = f"an entry of {node.name} lacks its key {name}"
            raise ManagementError(ErrorTag.MISSING_ELEMENT, reason, edit.path, element=name)
    return {name: given[name] for name in node.keys}


def _index_of(entries: list[Value], reference: Value) -> int | None:
    """Where the entry with these keys, or of this value, stands."""
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
    if edit.removes:
        if exists:
            values.remove(value)
        return
    if not exists:
        values.append(value)
    if edit.change.placement:
        _place(edit, edit.change.placement, values, value)


def _place(edit: _Edit, placement: Placement, entries: list[Value], entry: Value) -> None:
    """Moves an entry of a list or leaf-list to where the user wants it."""
    where, reference = placement
    if not edit.node.ordered:
        reason = f"the order of {edit.node.name} is not the user's"
        raise _bad_attribute(edit.node, reason, edit.path, "insert")
    if isinstance(entry, dict):
        entries[:] = [each for each in entries if each is not entry]
    else:
        entries[:] = [each for each in entries if each != entry]
    if where == "first":
        entries.insert(0, entry)
    elif where == "last":
        entries.append(entry)
    else:
        index = _index_of(entries, reference)
        if index is None:
            reason = f"{edit.node.name} has no {reference!r:.60} to be put {where}"
            raise _bad_attribute(edit.node, reason, edit.path, "insert")
        entries.insert(index + (where == "after"), entry)


_APPLY_BY_KIND = {
    "leaf": _apply_leaf,
    "container": _apply_container,
    "list": _apply_list,
    "leaf-list": _apply_leaf_list,
}


def prune(node: SchemaNode, tree: Tree) -> None:
    """Takes out what holds nothing: containers without presence, lists without entries."""
    for name, value in list(tree.items()):
        child = node.children.get(name)
        if child is None or child.kind == "leaf":
            continue
        if child.kind == "container":
            prune(child, value)
        elif child.kind == "list":
            for entry in value:
                prune(child, entry)
        if not value and not child.presence:
            del tree[name]


def with_defaults(node: SchemaNode, tree: Tree) -> Tree:
    """A copy that also has the defaults of leaves that are not set.

    What an absent container with presence would hold stays absent."""
    result: Tree = {}
    for name, child in node.children.items():
        value = _value_with_defaults(child, tree.get(name))
        if value is not None:
            result[name] = value
    return result


def _value_with_defaults(node: SchemaNode, value: Value) -> Value:
    """A child's value with defaults, None where there is none."""
    if node.kind == "container":
        if value is None and node.presence:
            return None
        return with_defaults(node, value or {}) or ({} if node.presence else None)
    if node.kind == "list":
        return [with_defaults(node, entry) for entry in value] if value else None
    return node.default if value is None else value


def differing_names(old: Tree, new: Tree) -> list[str]:
    """The names at the top of two trees that differ."""
    return sorted(name for name in old.keys() | new.keys() if old.get(name) != new.get(name))
