"""The YANG module: its nodes as plain objects, and the check of a tree of settings by yangson."""

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
}  # of yangson's validation errors; all others are invalid values


class SchemaNode:
    """A data node of the module: `kind` is container, list, leaf-list or leaf; children by name.

    `is_leaf` is true of leaf-lists as well."""

    __slots__ = (
        "children",
        "config",
        "default",
        "is_leaf",
        "keys",
        "kind",
        "name",
        "ordered",
        "parent",
        "presence",
        "type",
    )

    def __init__(self, schema: YangNode, parent: "SchemaNode | None") -> None:
        self.kind = next(kind for node_class, kind in KINDS if isinstance(schema, node_class))
        self.name: str = schema.name
        self.parent = parent
        self.config = schema.content_type() != ContentType.nonconfig
        self.is_leaf = self.kind in ("leaf", "leaf-list")
        self.type = _type_of(schema, self.kind)
        self.keys = tuple(name for name, _ in schema.keys) if self.kind == "list" else ()
        self.ordered = bool(getattr(schema, "user_ordered", False))
        self.presence = bool(getattr(schema, "presence", False))
        default = getattr(schema, "default", None) if self.kind == "leaf" else None
        self.default = None if default is None else self.type.to_raw(default)
        children: list[YangNode] = getattr(schema, "data_children", list)()
        self.children = {child.name: SchemaNode(child, self) for child in children}

    def parse(self, text: str) -> Value:
        """A leaf's or leaf-list entry's value of its text in XML or a path, as a tree has it.

        Raises:
            ManagementError: the text is no value of the node's type.
        """
        try:
            value = self.type.parse_value(text)
        except (YangTypeError, YangsonException, ValueError):
            value = None
        if value is None or value not in self.type:
            raise self._invalid(f"{text!r:.60}")
        return self.type.to_raw(value)

    def parse_json(self, value: Value) -> Value:
        """The value of plain JSON as a tree has it.

        Raises:
            ManagementError: it is no value of the node's type.
        """
        if isinstance(value, bool):
            return self.parse("true" if value else "false")
        is_finite_number = isinstance(value, float) and isfinite(value)
        if isinstance(value, (str, int)) or is_finite_number:
            return self.parse(str(value))
        raise self._invalid(f"{value!r:.60}")

    def _invalid(self, shown: str) -> ManagementError:
        return ManagementError(ErrorTag.INVALID_VALUE, f"{self.name} cannot be {shown}", self.path())

    def path(self) -> NodePath:
        """The node's path from the top, without keys."""
        above = self.parent.path() if self.parent else ()
        return (*above, PathElement(self.name))

    def child(self, name: str) -> "SchemaNode":
        """The child of a name.

        Raises:
            ManagementError: there is none.
        """
        if name not in self.children:
            reason = f"{self.name} has no {name!r:.60}"
            raise ManagementError(ErrorTag.UNKNOWN_ELEMENT, reason, self.path(), element=name)
        return self.children[name]


def _type_of(schema: YangNode, kind: str) -> Any:  # noqa: ANN401 one of yangson's classes
    """The YANG type of a leaf or leaf-list, None of all other nodes."""
    return schema.type if kind.startswith("leaf") else None


def source() -> str:
    """The module's text."""
    return (importlib.resources.files("granitespool.management") / f"{MODULE}.yang").read_text()


class Model:
    """The module: its nodes, and the check of trees against it."""

    def __init__(self) -> None:
        with importlib.resources.as_file(importlib.resources.files("granitespool.management")) as folder:
            self.data = DataModel(json.dumps(_yang_library()), (str(folder),))
        self.top = SchemaNode(self.data.get_data_node(f"/{MODULE}:{TOP}"), None)
        self.settings = self.top.children[SETTINGS]
        self.state = self.top.children[STATE]

    def check(self, settings: Tree) -> None:
        """Checks a tree of settings.

        Raises:
            ManagementError: the module does not allow it.
        """
        try:
            instance = self.data.from_raw({f"{MODULE}:{TOP}": {SETTINGS: settings}})
            instance.validate(ctype=ContentType.config)
        except ValidationError as error:
            pointer = error.instance.json_pointer()
            tag = TAGS.get(error.tag, ErrorTag.INVALID_VALUE)
            raise ManagementError(tag, _sentence(pointer, error), _path_of_pointer(pointer)) from None
        except RawDataError as error:
            is_unknown = isinstance(error, RawMemberError)
            tag = ErrorTag.UNKNOWN_ELEMENT if is_unknown else ErrorTag.INVALID_VALUE
            pointer = str(error.path)
            raise ManagementError(tag, _sentence(pointer, error), _path_of_pointer(pointer)) from None
        except YangsonException as error:
            reason = f"the settings cannot be read: {error}"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason) from None


def _yang_library() -> dict[str, object]:
    """The YANG library (RFC 7895) that yangson loads: this one module."""
    module = {
        "name": MODULE,
        "revision": REVISION,
        "namespace": NAMESPACE,
        "conformance-type": "implement",
    }
    return {"ietf-yang-library:modules-state": {"module-set-id": REVISION, "module": [module]}}


def _sentence(pointer: str, error: YangsonException) -> str:
    where = pointer.replace(f"/{MODULE}:{TOP}/{SETTINGS}", "") or "/"
    return f"{where}: {getattr(error, 'message', None) or 'there is no such node'}"


def _path_of_pointer(pointer: str) -> NodePath:
    """The path of a JSON pointer; positions in lists are left out."""
    parts = [part for part in pointer.split("/") if part and not part.isdigit()]
    return node_path(*(part.rpartition(":")[2] for part in parts))


def settings_path(*names: str) -> NodePath:
    """A path below the settings."""
    return node_path(TOP, SETTINGS, *names)
