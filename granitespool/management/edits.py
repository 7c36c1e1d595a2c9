"""What an edit does to a tree of settings; no I/O.

An edit is a tree of Changes whose operations are those of RFC 6241: merge, replace, create, delete, remove,
none. A change without an operation has that of the change above it. `edited` works on a copy, so a refusal
half way leaves nothing behind."""

import copy
from typing import NamedTuple

from granitespool.management.errors import Refused

OPERATIONS = "merge", "replace", "create", "delete", "remove", "none"


class Change(NamedTuple):
    """Of the node `name` within the one above; `value` of a leaf or leaf-list entry as a tree has it,
    `children` of a container or list entry; `place` of an entry whose order is the user's: (first, last,
    before or after, of whom: key values or a value)."""

    name: str
    operation: str | None = None
    value: object = None
    children: tuple = ()
    place: tuple | None = None


def edited(node, tree, changes, default="merge"):
    """The tree of a container after these changes to what is in it, or Refused."""
    result = copy.deepcopy(tree)
    for change in changes:
        _apply(node.child(change.name), result, change, default, node.path())
    prune(node, result)
    return result


def keys_of(node, change, path):
    """A list entry's key values by name; they are among its children."""
    keys = {child.name: child.value for child in change.children if child.name in node.keys}
    for name in node.keys:
        if keys.get(name) is None:
            raise Refused(
                "missing-element", f"an entry of {node.name} lacks its key {name}", path, element=name
            )
    return {name: keys[name] for name in node.keys}


def _apply(node, holder, change, inherited, path):
    if not node.config:
        raise Refused("invalid-value", f"{node.name} is state and cannot be set", (*path, (node.name, {})))
    operation = change.operation or inherited
    if operation not in OPERATIONS:
        raise Refused(
            "bad-attribute",
            f"there is no operation {operation!r:.40}",
            path,
            attribute="operation",
            element=node.name,
        )
    _BY_KIND[node.kind](node, holder, change, operation, path)


def _exists(there, operation, node, path):
    """Refused where the operation asks for the opposite."""
    if operation == "create" and there:
        raise Refused("data-exists", f"{node.name} is there already", path)
    if operation in ("delete", "none") and not there:
        raise Refused("data-missing", f"{node.name} is not there", path)


def _leaf(node, holder, change, operation, path):
    path = (*path, (node.name, {}))
    if operation == "none":
        return  # it only names a place
    _exists(node.name in holder, operation, node, path)
    if operation in ("delete", "remove"):
        holder.pop(node.name, None)
    else:
        if change.value is None:
            raise Refused("missing-element", f"{node.name} has no value", path, element=node.name)
        holder[node.name] = change.value


def _container(node, holder, change, operation, path):
    path = (*path, (node.name, {}))
    there = node.name in holder
    if node.presence or operation in ("create", "delete"):
        _exists(there, operation, node, path)  # without presence it is always there for all else
    if operation in ("delete", "remove"):
        holder.pop(node.name, None)
        return
    if operation == "replace":
        holder[node.name] = {}
    _inside(node, holder.setdefault(node.name, {}), change, operation, path)


def _inside(node, holder, change, operation, path):
    below = "merge" if operation in ("replace", "create") else operation
    for child in change.children:
        _apply(node.child(child.name), holder, child, below, path)


def _list(node, holder, change, operation, path):
    keys = keys_of(node, change, path)
    path = (*path, (node.name, keys))
    entries = holder.setdefault(node.name, [])
    at = next((k for k, entry in enumerate(entries) if all(entry.get(n) == v for n, v in keys.items())), None)
    _exists(at is not None, operation, node, path)
    if operation in ("delete", "remove"):
        if at is not None:
            del entries[at]
        return
    if at is None:
        entries.append(dict(keys))
        at = len(entries) - 1
    elif operation == "replace":
        entries[at] = dict(keys)
    entry = entries[at]
    rest = change._replace(children=tuple(child for child in change.children if child.name not in node.keys))
    _inside(node, entry, rest, operation, path)
    if change.place:
        _put(node, entries, entry, change.place, path)


def _leaf_list(node, holder, change, operation, path):
    path = (*path, (node.name, {".": change.value}))
    values = holder.setdefault(node.name, [])
    there = change.value in values
    if operation == "none":
        return
    _exists(there, operation, node, path)
    if operation in ("delete", "remove"):
        if there:
            values.remove(change.value)
        return
    if not there:
        values.append(change.value)
    if change.place:
        _put(node, values, change.value, change.place, path)


def _put(node, entries, entry, place, path):
    """Moves an entry to where the user wants it."""
    if not node.ordered:
        raise Refused(
            "bad-attribute",
            f"the order of {node.name} is not the user's",
            path,
            attribute="insert",
            element=node.name,
        )
    how, whom = place
    entries[:] = (
        [each for each in entries if each is not entry]
        if isinstance(entry, dict)
        else [each for each in entries if each != entry]
    )
    if how in ("first", "last"):
        entries.insert(0 if how == "first" else len(entries), entry)
        return
    at = next(
        (
            k
            for k, each in enumerate(entries)
            if each == whom or isinstance(whom, dict) and all(each.get(n) == v for n, v in whom.items())
        ),
        None,
    )
    if at is None:
        raise Refused(
            "bad-attribute",
            f"{node.name} has no {whom!r:.60} to be put {how}",
            path,
            attribute="insert",
            element=node.name,
        )
    entries.insert(at + (how == "after"), entry)


_BY_KIND = {"leaf": _leaf, "container": _container, "list": _list, "leaf-list": _leaf_list}


def prune(node, tree):
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


def with_defaults(node, tree):
    """A copy that also has the defaults of leaves that are not set; those of an absent presence container
    are not."""
    result = {}
    for name, child in node.children.items():
        value = tree.get(name)
        if child.kind == "container":
            if value is not None or not child.presence:
                value = with_defaults(child, value or {})
                if value or child.presence:
                    result[name] = value
        elif child.kind == "list":
            if value:
                result[name] = [with_defaults(child, entry) for entry in value]
        elif value is not None or child.default is not None:
            result[name] = child.default if value is None else value
    return result


def differing(old, new):
    """The names at the top of two trees that differ."""
    return sorted(name for name in old.keys() | new.keys() if old.get(name) != new.get(name))
