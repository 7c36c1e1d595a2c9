"""Converts edit-config content to changes, and data trees to XML; no I/O."""

from collections.abc import Iterator

from lxml import etree

from granitespool.management import model
from granitespool.management.data_tree import Tree, Value
from granitespool.management.edits import REMOVALS, Change, Placement
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode
from granitespool.netconf.namespaces import YANG, base_tag, module_tag
from granitespool.netconf.xmltree import (
    Element,
    element_namespace,
    element_text,
    is_module_element,
    local_name,
)

EDIT_OPERATIONS = ("merge", "replace", "create", "delete", "remove")


def value_text(value: Value) -> str:
    """Return the XML text of a leaf's value."""
    if isinstance(value, str):
        return value
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def changes_from_element(node: SchemaNode, element: Element) -> tuple[Change, ...]:
    """Return the changes that the children of an element make to a container or list entry of the module.

    Raises:
        ManagementError: the module does not allow an element, attribute or value.
    """
    return tuple(_change(node.child(_data_name(node, child)), child) for child in element)


def _data_name(node: SchemaNode, element: Element) -> str:
    if not is_module_element(element):
        raise ManagementError(
            ErrorTag.UNKNOWN_NAMESPACE,
            f"{local_name(element)} is of the namespace {element_namespace(element)!r:.80}",
            node.path(),
            element=local_name(element),
            namespace=element_namespace(element),
        )
    return local_name(element)


def _change(node: SchemaNode, element: Element) -> Change:
    operation = _edit_operation(node, element)
    placement = _placement(node, element)
    if node.kind in ("container", "list"):
        return Change(node.name, operation, None, changes_from_element(node, element), placement)
    if len(element):
        reason = f"{node.name} is a leaf and holds elements"
        raise ManagementError(ErrorTag.BAD_ELEMENT, reason, node.path(), element=node.name)
    is_removed_leaf = operation in REMOVALS and node.kind == "leaf"
    value = None if is_removed_leaf else node.parse(element_text(element))
    return Change(node.name, operation, value, (), placement)


def _edit_operation(node: SchemaNode, element: Element) -> str | None:
    operation: str | None = element.get(base_tag("operation"))
    if operation is not None and operation not in EDIT_OPERATIONS:
        raise _bad_attribute(node, f"there is no operation {operation!r:.40}", "operation")
    return operation


def _bad_attribute(node: SchemaNode, reason: str, attribute: str) -> ManagementError:
    return ManagementError(
        ErrorTag.BAD_ATTRIBUTE, reason, node.path(), attribute=attribute, element=node.name
    )


def _placement(node: SchemaNode, element: Element) -> Placement | None:
    """Return the placement of an entry in a list that is ordered by the user (RFC 7950, 7.8.6)."""
    position = element.get(f"{{{YANG}}}insert")
    if position is None:
        return None
    if position not in ("first", "last", "before", "after"):
        raise _bad_attribute(node, f"there is no place {position!r:.40}", "insert")
    if position in ("first", "last"):
        return Placement(position, None)
    reference = element.get(f"{{{YANG}}}{'key' if node.kind == 'list' else 'value'}")
    if reference is None:
        raise ManagementError(
            ErrorTag.MISSING_ATTRIBUTE,
            f"{position} whom is not said",
            node.path(),
            attribute="key",
            element=node.name,
        )
    if node.kind == "list":
        return Placement(position, _key_values(node, reference))
    return Placement(position, node.parse(reference))


def _key_values(node: SchemaNode, predicate: str) -> dict[str, Value]:
    """Return the keys and values of a list predicate such as [gs:name='pay']."""
    values = {}
    for part in predicate.strip().strip("[]").split("]["):
        name, _, value = part.partition("=")
        values[name.strip().rpartition(":")[2]] = value.strip().strip("'\"")
    if set(values) != set(node.keys):
        raise _bad_attribute(node, f"{predicate!r:.60} names no entry of {node.name}", "key")
    return values


def append_tree(parent: Element, node: SchemaNode, tree: Tree) -> Iterator[None]:
    """Append the children of a container that a tree contains to its element; yield after each list entry."""
    for name, child in node.children.items():
        value = tree.get(name)
        if value is None:
            continue
        if child.kind == "leaf":
            etree.SubElement(parent, module_tag(name)).text = value_text(value)
        elif child.kind == "leaf-list":
            for entry_value in value:
                etree.SubElement(parent, module_tag(name)).text = value_text(entry_value)
        elif child.kind == "container":
            yield from append_tree(etree.SubElement(parent, module_tag(name)), child, value)
        else:
            for entry in value:
                yield from append_tree(etree.SubElement(parent, module_tag(name)), child, entry)
                yield


def top_element(parent: Element, name: str) -> Element:
    """Add a child element that declares the module's namespace as the default, and return it."""
    return etree.SubElement(parent, module_tag(name), nsmap={None: model.NAMESPACE})
