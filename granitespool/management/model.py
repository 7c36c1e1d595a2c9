"""The YANG module: its nodes as plain objects, and the check of a tree of settings by yangson."""

import importlib.resources
import json
from math import isfinite

from yangson import DataModel
from yangson.enumerations import ContentType
from yangson.exceptions import RawDataError, ValidationError, YangsonException, YangTypeError
from yangson.schemanode import ContainerNode, LeafListNode, LeafNode, ListNode

from granitespool.management.errors import Refused

MODULE, REVISION = "granitespool", "2026-12-01"
NAMESPACE = "urn:granitespool:coordinator"
TOP, SETTINGS, STATE = "coordinator", "settings", "state"
KINDS = ((ContainerNode, "container"), (ListNode, "list"), (LeafListNode, "leaf-list"), (LeafNode, "leaf"))
TAGS = {
    "missing-data": "missing-element",
    "must-violation": "operation-failed",
    "list-key": "missing-element",
    "non-unique-key": "operation-failed",
    "data-not-unique": "operation-failed",
}


class Node:
    """A data node: `kind` is container, list, leaf-list or leaf; children by name."""

    __slots__ = (
        "children",
        "config",
        "default",
        "keys",
        "kind",
        "name",
        "ordered",
        "parent",
        "presence",
        "type",
    )

    def __init__(self, schema, parent):
        self.kind = next(kind for of, kind in KINDS if isinstance(schema, of))
        self.name, self.parent = schema.name, parent
        self.config = schema.content_type() != ContentType.nonconfig
        self.type = schema.type if self.kind.startswith("leaf") else None
        self.keys = tuple(name for name, _ in schema.keys) if self.kind == "list" else ()
        self.ordered = bool(getattr(schema, "user_ordered", False))
        self.presence = bool(getattr(schema, "presence", False))
        default = getattr(schema, "default", None) if self.kind == "leaf" else None
        self.default = None if default is None else self.type.to_raw(default)
        self.children = {child.name: Node(child, self) for child in getattr(schema, "data_children", list)()}

    def parsed(self, text):
        """A leaf's or leaf-list entry's value of its text in XML or a path, as a tree has it; or Refused."""
        try:
            value = self.type.parse_value(text)
        except (YangTypeError, YangsonException, ValueError):
            value = None
        if value is None or value not in self.type:
            raise Refused("invalid-value", f"{self.name} cannot be {text!r:.60}", self.path())
        return self.type.to_raw(value)

    def accepted(self, value):
        """The value of plain JSON as a tree has it; or Refused."""
        if isinstance(value, bool):
            text = "true" if value else "false"
        elif isinstance(value, (str, int)) or isinstance(value, float) and isfinite(value):
            text = str(value)
        else:
            raise Refused("invalid-value", f"{self.name} cannot be {value!r:.60}", self.path())
        return self.parsed(text)

    def path(self):
        """((name, {}), ...) from the top."""
        above = self.parent.path() if self.parent else ()
        return (*above, (self.name, {}))

    def child(self, name):
        if name not in self.children:
            raise Refused("unknown-element", f"{self.name} has no {name!r:.60}", self.path(), element=name)
        return self.children[name]


def source():
    """The module's text."""
    return (importlib.resources.files("granitespool.management") / f"{MODULE}.yang").read_text()


class Model:
    def __init__(self):
        library = {
            "ietf-yang-library:modules-state": {
                "module-set-id": REVISION,
                "module": [
                    {
                        "name": MODULE,
                        "revision": REVISION,
                        "namespace": NAMESPACE,
                        "conformance-type": "implement",
                    }
                ],
            }
        }
        with importlib.resources.as_file(importlib.resources.files("granitespool.management")) as folder:
            self.data = DataModel(json.dumps(library), (str(folder),))
        self.top = Node(self.data.get_data_node(f"/{MODULE}:{TOP}"), None)
        self.settings, self.state = self.top.children[SETTINGS], self.top.children[STATE]

    def check(self, settings):
        """Refused unless this tree of settings is one that the module allows."""
        try:
            instance = self.data.from_raw({f"{MODULE}:{TOP}": {SETTINGS: settings}})
            instance.validate(ctype=ContentType.config)
        except ValidationError as error:
            raise Refused(
                TAGS.get(error.tag, "invalid-value"),
                self._sentence(error.instance.json_pointer(), error),
                pointer(error.instance.json_pointer()),
            ) from None
        except RawDataError as error:
            tag = "unknown-element" if type(error).__name__ == "RawMemberError" else "invalid-value"
            raise Refused(tag, self._sentence(str(error.path), error), pointer(str(error.path))) from None
        except YangsonException as error:
            raise Refused("invalid-value", f"the settings cannot be read: {error}") from None

    @staticmethod
    def _sentence(where, error):
        where = where.replace(f"/{MODULE}:{TOP}/{SETTINGS}", "") or "/"
        return f"{where}: {getattr(error, 'message', None) or 'there is no such node'}"


def pointer(text):
    """((name, {}), ...) of a JSON pointer; positions in lists are left out."""
    return tuple((part.rpartition(":")[2], {}) for part in text.split("/") if part and not part.isdigit())
