"""Matches gNMI paths with a tree of the module: names, keys, wildcards; no I/O.

"*" matches any one name or key, "..." any number of names. Keys in paths are strings.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.management import model
from granitespool.management.data_tree import NodePath, PathElement, Value
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode

ANY = "*"
ANY_DEPTH = "..."
MAX_ELEMENTS = 32  # the longest accepted path, in elements; the module has six levels
MODULE_PREFIX = f"{model.MODULE}:"


class RootNode:
    """The parent of the top node, so that the empty path matches the whole tree."""

    kind = "container"
    is_leaf = False
    keys = ()
    type = None

    def __init__(self, top: SchemaNode) -> None:
        self.top = top
        self.children = {top.name: top}


Node: TypeAlias = SchemaNode | RootNode


class Match(NamedTuple):
    """A value that a path matches, with its own path and its schema node."""

    path: NodePath
    node: Node
    value: Value


def parse_path(prefix: pb.Path, path: pb.Path) -> NodePath:
    """Return the path from the root of a prefix message and a path message.

    Raises:
        ManagementError: the origin or the form of a message is not supported, or the path is too long.
    """
    for message in (prefix, path):
        if message.origin not in ("", model.MODULE) or message.element:
            reason = f"paths have elem, and the origin is empty or {model.MODULE}"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason)
    elements = (*prefix.elem, *path.elem)
    if len(elements) > MAX_ELEMENTS:
        raise ManagementError(ErrorTag.INVALID_VALUE, f"a path is over {MAX_ELEMENTS} elements")
    return tuple(
        PathElement(element.name.removeprefix(MODULE_PREFIX), dict(element.key)) for element in elements
    )


def path_message(path: Iterable[PathElement]) -> pb.Path:
    """Return the message of a path."""
    return pb.Path(elem=[pb.PathElem(name=name, key=dict(keys)) for name, keys in path])


def path_text(path: Iterable[PathElement]) -> str:
    """Return the text of a path, for error messages and as a key."""
    return "/" + "/".join([name + _keys_text(keys) if keys else name for name, keys in path])


def _keys_text(keys: Mapping[str, Value]) -> str:
    return "".join([f"[{key}={value}]" for key, value in keys.items()])


def check_path(top: SchemaNode, path: NodePath) -> None:
    """Raise ManagementError if no node of the module can match a path; the empty path matches always."""
    if path and not any(True for _ in _matching_nodes([top], path)):
        raise ManagementError(ErrorTag.UNKNOWN_ELEMENT, f"there is no {path_text(path)}", path)


def _matching_nodes(candidates: Sequence[SchemaNode], path: NodePath) -> Iterator[SchemaNode]:
    if not path:
        yield from candidates
        return
    (name, keys), rest = path[0], path[1:]
    if name == ANY_DEPTH:
        yield from _matching_nodes(candidates, rest)
        for node in candidates:
            yield from _matching_nodes(list(node.children.values()), path)
        return
    for node in candidates:
        if name not in (ANY, node.name) or not set(keys) <= set(node.keys):
            continue
        if rest:
            yield from _matching_nodes(list(node.children.values()), rest)
        else:
            yield node


def matches(node: Node, value: Value, path: NodePath, parent_path: NodePath = ()) -> Iterator[Match]:
    """Yield everything that a path matches within the value of a node, with one match per list entry."""
    if not path:
        yield Match(parent_path, node, value)
        return
    (name, keys), rest = path[0], path[1:]
    if name == ANY_DEPTH:
        yield from matches(node, value, rest, parent_path)
        if rest:
            for child in _children(node, value, parent_path):
                yield from matches(child.node, child.value, path, child.path)
        return
    for child in _children(node, value, parent_path):
        element = child.path[-1]
        if name in (ANY, element.name) and _keys_match(keys.items(), element):
            yield from matches(child.node, child.value, rest, child.path)


def _keys_match(key_filters: Iterable[tuple[str, str]], element: PathElement) -> bool:
    return all(value == ANY or str(element.keys.get(key)) == value for key, value in key_filters)


def _children(node: Node, value: Value, parent_path: NodePath) -> Iterator[Match]:
    if node.is_leaf:
        return
    for name, child_value in value.items():
        child = node.children[name]
        if child.kind == "list":
            for entry in child_value:
                keys = {key: str(entry[key]) for key in child.keys}
                yield Match((*parent_path, PathElement(name, keys)), child, entry)
        else:
            yield Match((*parent_path, PathElement(name)), child, child_value)


def leaves(match: Match) -> Iterator[Match]:
    """Yield all leaves and leaf-lists within a match."""
    if match.node.is_leaf:
        yield match
        return
    for child in _children(match.node, match.value, match.path):
        if child.node.is_leaf:
            yield child
        else:
            yield from leaves(child)
