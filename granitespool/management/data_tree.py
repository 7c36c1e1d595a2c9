"""Types of data trees of the YANG module and of paths within them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

Value: TypeAlias = Any
"""A leaf's scalar, a leaf-list's list of them, a list's list of trees, or a container's tree."""

Tree: TypeAlias = dict[str, Any]
"""The children of a container or list entry by name, as RFC 7951 has them, without prefixes."""

NO_KEYS: Mapping[str, Value] = MappingProxyType({})


class PathElement(NamedTuple):
    """One step of a path: a node's name, and the keys of a list entry ("." for that of a leaf-list)."""

    name: str
    keys: Mapping[str, Value] = NO_KEYS


NodePath: TypeAlias = tuple[PathElement, ...]
"""From the top of the module downward."""


def node_path(*names: str) -> NodePath:
    """A path of names alone."""
    return tuple(map(PathElement, names))
