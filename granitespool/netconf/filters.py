"""Filters of get and get-config: subtree (RFC 6241, 6) and XPath (RFC 6241, 8.9); no I/O."""

from lxml import etree

from granitespool.management.data_tree import Tree, Value
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode
from granitespool.netconf.content import value_text
from granitespool.netconf.namespaces import base_tag
from granitespool.netconf.xmltree import Element, element_text, is_module_element, local_name

SUBTREE = "subtree"
XPATH = "xpath"


class Filter:
    """The filter of a request; a request without a filter selects everything."""

    def __init__(self, request: Element) -> None:
        self.element = request.find(base_tag("filter"))
        self.kind = SUBTREE
        if self.element is not None:
            self.kind = self.element.get("type") or SUBTREE
        if self.kind not in (SUBTREE, XPATH):
            raise ManagementError(
                ErrorTag.BAD_ATTRIBUTE,
                f"there is no filter of the type {self.kind!r:.40}",
                attribute="type",
                element="filter",
            )

    def select_tree(self, top: SchemaNode, tree: Tree) -> Tree | None:
        """Return the part of the tree that a subtree filter selects, None if it selects nothing.

        An XPath filter is applied by `select_elements` instead.
        """
        if self.element is None or self.kind == XPATH:
            return tree
        selected: Tree | None = None
        for child in self.element:
            if local_name(child) == top.name and is_module_element(child):
                part = select_subtree(top, tree, child)
                selected = part if selected is None else {**selected, **(part or {})}
        return selected

    def select_elements(self, data: Element) -> None:
        """Remove all elements of the reply except those selected by an XPath filter and their ancestors."""
        if self.element is None or self.kind != XPATH:
            return
        root = etree.Element("root")
        root.extend(list(data))
        selected = self._evaluate(root)
        keep: set[Element] = set()
        for element in selected:
            keep.update(element.iterancestors())
        _remove_others(root, keep, selected)
        data.extend(list(root))

    def _evaluate(self, root: Element) -> set[Element]:
        """Return the elements below the root that the expression selects."""
        select = self.element.get("select")
        if select is None:
            raise ManagementError(
                ErrorTag.MISSING_ATTRIBUTE,
                "an xpath filter needs select",
                attribute="select",
                element="filter",
            )
        prefixes = {prefix: uri for prefix, uri in self.element.nsmap.items() if prefix}
        expression = f"/root{select}" if select.startswith("/") and not select.startswith("//") else select
        try:
            found = etree.ElementTree(root).xpath(expression, namespaces=prefixes, smart_strings=False)
        except etree.XPathError as error:
            reason = f"select cannot be used: {error}"
            raise _invalid_select(reason) from None
        if not isinstance(found, list):
            reason = "select chooses no nodes"
            raise _invalid_select(reason)
        return {node for node in found if etree.iselement(node)}


def _invalid_select(reason: str) -> ManagementError:
    return ManagementError(ErrorTag.INVALID_VALUE, reason, element="filter")


def _remove_others(element: Element, keep: set[Element], keep_whole: set[Element]) -> None:
    for child in list(element):
        if child in keep_whole:
            continue
        if child in keep:
            _remove_others(child, keep, keep_whole)
        else:
            element.remove(child)


def select_subtree(node: SchemaNode, tree: Tree, filter_element: Element) -> Tree | None:
    """Return the part of a container's tree that a filter element selects, None if it selects nothing."""
    children = list(filter_element)
    if not children:
        return tree  # a selection node
    content_matches = [child for child in children if _is_content_match(child)]
    if not all(_content_matches(node, tree, child) for child in content_matches):
        return None
    others = [child for child in children if not _is_content_match(child)]
    if not others:
        return tree
    result = {name: tree[name] for name in map(local_name, content_matches)}
    result.update({name: tree[name] for name in node.keys})  # a selected list entry always includes its keys
    found = bool(content_matches)
    for child in others:
        found |= _select_child(node, tree, child, result)
    return {name: result[name] for name in tree if name in result} if found else None


def _is_content_match(element: Element) -> bool:
    return not len(element) and bool(element_text(element))


def _child_node(node: SchemaNode, element: Element) -> SchemaNode | None:
    return node.children.get(local_name(element)) if is_module_element(element) else None


def _content_matches(node: SchemaNode, tree: Tree, element: Element) -> bool:
    child = _child_node(node, element)
    if child is None or child.kind not in ("leaf", "leaf-list"):
        return False
    value = tree.get(child.name)
    values = value if child.kind == "leaf-list" else [value]
    return element_text(element) in [
        value_text(leaf_value) for leaf_value in values or () if leaf_value is not None
    ]


def _select_child(node: SchemaNode, tree: Tree, element: Element, result: Tree) -> bool:
    """Add what a filter element selects to the result, and return whether the element selects anything."""
    child = _child_node(node, element)
    if child is None or child.name not in tree:
        return False
    part = _select_value(child, tree[child.name], element)
    if part is None:
        return False
    result[child.name] = _merged(child, result.get(child.name), part)
    return True


def _select_value(node: SchemaNode, value: Value, filter_element: Element) -> Value:
    if node.kind == "container":
        return select_subtree(node, value, filter_element)
    if node.kind == "list":
        parts = (select_subtree(node, entry, filter_element) for entry in value)
        return [part for part in parts if part is not None] or None
    return None if len(filter_element) else value


def _merged(node: SchemaNode, first: Value, second: Value) -> Value:
    """Merge two selected parts of the same node; two elements of a filter may select different parts.

    List entries with the same keys are merged at their top level only: a child that both entries have is
    taken from `second`.
    """
    if first is None or node.kind in ("leaf", "leaf-list"):
        return second
    if node.kind == "container":
        return {
            name: _merged(node.children[name], first.get(name), second.get(name, first.get(name)))
            for name in {**first, **second}
        }
    entries = {_entry_key(node, entry): entry for entry in first}
    for entry in second:
        key = _entry_key(node, entry)
        entries[key] = {**entries.get(key, {}), **entry}
    return list(entries.values())


def _entry_key(node: SchemaNode, entry: Tree) -> tuple[Value, ...]:
    return tuple(entry.get(key) for key in node.keys)
