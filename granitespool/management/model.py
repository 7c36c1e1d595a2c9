"""The YANG module: its data nodes as plain objects, and the validation of a tree of settings by yangson."""

import importlib.resources
import json
from math import isfinite
from typing import Any

from yangson import DataModel
from yangson.enumerations import ContentType
from yangson.exceptions import RawDataError, RawMemberError, ValidationError, YangsonException, YangTypeError
from yangson.schemanode import ContainerNode, LeafListNode, LeafNode, ListNode
from yangson.schemanode import SchemaNode as YangNode

from granitespool.management.data_tree import NodePath, PathElement, Tree, Value, node_path
from granitespool.management.errors import ErrorTag, ManagementError

MODULE = "granitespool"
REVISION = "2026-12-01"
NAMESPACE = "urn:granitespool:coordinator"
TOP = "coordinator"
SETTINGS = "settings"
STATE = "state"
KINDS = ((ContainerNode, "container"), (ListNode, "list"), (LeafListNode, "leaf-list"), (LeafNode, "leaf"))
TAGS = {
    "missing-data": ErrorTag.MISSING_ELEMENT,
    "must-violation": ErrorTag.OPERATION_FAILED,
    "list-key": ErrorTag.MISSING_ELEMENT,
    "non-unique-key": ErrorTag.OPERATION_FAILED,
    "data-not-unique": ErrorTag.OPERATION_FAILED,
}  # tag of a yangson validation error -> error tag; any other tag maps to INVALID_VALUE


class SchemaNode:
    """A data node of the module.

    `kind` is container, list, leaf-list or leaf, `children` maps names to nodes. `is_leaf` is true for
    leaf-lists too.
    """

    __slots__ = (
        "children",
        "default",
        "has_presence",
        "is_config",
        "is_leaf",
        "is_user_ordered",
        "keys",
        "kind",
        "name",
        "parent",
        "type",
    )

    def __init__(self, schema: YangNode, parent: "SchemaNode | None") -> None:
        self.kind = next(kind for node_class, kind in KINDS if isinstance(schema, node_class))
        self.name: str = schema.name
        self.parent = parent
        self.is_config = schema.content_type() != ContentType.nonconfig
        self.is_leaf = self.kind in ("leaf", "leaf-list")
        self.type = _yang_type(schema, self.kind)
        self.keys = tuple(name for name, _ in schema.keys) if self.kind == "list" else ()
        self.is_user_ordered = bool(getattr(schema, "user_ordered", False))
        self.has_presence = bool(getattr(schema, "presence", False))
        default = getattr(schema, "default", None) if self.kind == "leaf" else None
        self.default = None if default is None else self.type.to_raw(default)
        children: list[YangNode] = getattr(schema, "data_children", list)()
        self.children = {child.name: SchemaNode(child, self) for child in children}

    def parse(self, text: str) -> Value:
        """Convert the text of a leaf or leaf-list entry, from XML or a path, to its value in a tree.

        Raises:
            ManagementError: the text is not a value of the node's type.
        """
        try:
            value = self.type.parse_value(text)
        except (YangTypeError, YangsonException, ValueError):
            value = None
        if value is None or value not in self.type:
            raise self._invalid(f"{text!r:.60}")
        return self.type.to_raw(value)

    def parse_json(self, value: Value) -> Value:
        """Convert a plain JSON value to the value in a tree.

        Raises:
            ManagementError: the JSON value is not a value of the node's type.
        """
        if isinstance(value, bool):
            return self.parse("true" if value else "false")
        is_finite_number = isinstance(value, float) and isfinite(value)
        if isinstance(value, (str, int)) or is_finite_number:
            return self.parse(str(value))
        raise self._invalid(f"{value!r:.60}")

    def _invalid(self, value_text: str) -> ManagementError:
        return ManagementError(ErrorTag.INVALID_VALUE, f"{self.name} cannot be {value_text}", self.path())

    def path(self) -> NodePath:
        """Return the path of the node from the top node, without keys."""
        parent_path = self.parent.path() if self.parent else ()
        return (*parent_path, PathElement(self.name))

    def child(self, name: str) -> "SchemaNode":
        """Return the child with a name.

        Raises:
            ManagementError: there is no such child.
        """
        if name not in self.children:
            reason = f"{self.name} has no {name!r:.60}"
            raise ManagementError(ErrorTag.UNKNOWN_ELEMENT, reason, self.path(), element=name)
        return self.children[name]


def _yang_type(schema: YangNode, kind: str) -> Any:  # noqa: ANN401 one of yangson's classes
    """Return the YANG type of a leaf or leaf-list, None for all other nodes."""
    return schema.type if kind.startswith("leaf") else None


def source() -> str:
    """Return the text of the YANG module."""
    return (importlib.resources.files("granitespool.management") / f"{MODULE}.yang").read_text()


class Model:
    """The YANG module: its data nodes, and the validation of trees."""

    def __init__(self) -> None:
        with importlib.resources.as_file(importlib.resources.files("granitespool.management")) as folder:
            self.data = DataModel(json.dumps(_yang_library()), (str(folder),))
        self.top = SchemaNode(self.data.get_data_node(f"/{MODULE}:{TOP}"), None)
        self.settings = self.top.children[SETTINGS]
        self.state = self.top.children[STATE]

    def check(self, settings: Tree) -> None:
        """Check a tree of settings.

        Raises:
            ManagementError: the tree is not valid by the module.
        """
        try:
            instance = self.data.from_raw({f"{MODULE}:{TOP}": {SETTINGS: settings}})
            instance.validate(ctype=ContentType.config)
        except ValidationError as error:
            pointer = error.instance.json_pointer()
            tag = TAGS.get(error.tag, ErrorTag.INVALID_VALUE)
            raise ManagementError(tag, _error_text(pointer, error), _pointer_path(pointer)) from None
        except RawDataError as error:
            is_unknown = isinstance(error, RawMemberError)
            tag = ErrorTag.UNKNOWN_ELEMENT if is_unknown else ErrorTag.INVALID_VALUE
            pointer = str(error.path)
            raise ManagementError(tag, _error_text(pointer, error), _pointer_path(pointer)) from None
        except YangsonException as error:
            reason = f"the settings are not valid by the YANG module: {error}"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason) from None


def _yang_library() -> dict[str, object]:
    """Return the YANG library (RFC 7895) for yangson, with this module alone."""
    module = {
        "name": MODULE,
        "revision": REVISION,
        "namespace": NAMESPACE,
        "conformance-type": "implement",
    }
    return {"ietf-yang-library:modules-state": {"module-set-id": REVISION, "module": [module]}}


def _error_text(pointer: str, error: YangsonException) -> str:
    where = pointer.replace(f"/{MODULE}:{TOP}/{SETTINGS}", "") or "/"
    return f"{where}: {getattr(error, 'message', None) or 'there is no such node'}"


def _pointer_path(pointer: str) -> NodePath:
    """Return the path of a JSON pointer, without positions in lists."""
    parts = [part for part in pointer.split("/") if part and not part.isdigit()]
    return node_path(*(part.rpartition(":")[2] for part in parts))


def settings_path(*names: str) -> NodePath:
    """Return the path of a node below the settings."""
    return node_path(TOP, SETTINGS, *names)
