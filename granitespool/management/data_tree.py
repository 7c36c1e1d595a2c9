"""Types of data trees of the YANG module and of paths within them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

Value: TypeAlias = Any
"""A leaf's scalar, a leaf-list's list of scalars, a list's list of trees, or a container's tree."""

Tree: TypeAlias = dict[str, Any]
"""The children of a container or list entry by name, encoded as in RFC 7951, without module prefixes."""

NO_KEYS: Mapping[str, Value] = MappingProxyType({})


class PathElement(NamedTuple):
    """One element of a path: the name of a node, and the keys of a list entry.

    The key of an entry of a leaf-list is ".", its value.
    """

    name: str
    keys: Mapping[str, Value] = NO_KEYS


NodePath: TypeAlias = tuple[PathElement, ...]
"""A path from the top node of the module downwards."""


def node_path(*names: str) -> NodePath:
    """Return a path of names without keys."""
    return tuple(map(PathElement, names))
