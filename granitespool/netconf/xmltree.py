"""XML of NETCONF: parsing within bounds, edits to changes, trees to XML, subtree filters; no I/O."""

from lxml import etree

from granitespool.management import model
from granitespool.management.edits import Change
from granitespool.management.errors import Refused

BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"
YANG = "urn:ietf:params:xml:ns:yang:1"
DEPTH_MOST = 64  # elements within one another: a tree of ours takes nine
NODES_MOST = 50_000  # elements of a message: a class takes seven


class Malformed(Exception):
    """A message that is no XML we take; the text says why."""


def parsed(data):
    """The root of a message. No DTD, so no entities of its own; nothing is fetched; depth and number are
    bounded."""
    if b"<!DOCTYPE" in data or b"<!ENTITY" in data:
        raise Malformed("a message has a DTD")
    parser = etree.XMLParser(
        resolve_entities=False,
        no_network=True,
        load_dtd=False,
        dtd_validation=False,
        huge_tree=False,
        remove_comments=True,
        remove_pis=True,
    )
    try:
        root = etree.fromstring(data, parser)
    except (etree.XMLSyntaxError, ValueError) as error:
        raise Malformed(f"a message is not XML: {str(error).splitlines()[0][:200]}") from None
    if root.getroottree().docinfo.internalDTD is not None:
        raise Malformed("a message has a DTD")
    count, stack = 0, [(root, 1)]
    while stack:
        element, depth = stack.pop()
        count += 1
        if depth > DEPTH_MOST or count > NODES_MOST:
            raise Malformed(f"a message is over {DEPTH_MOST} deep or {NODES_MOST} elements")
        stack.extend((child, depth + 1) for child in element)
    return root


def name_of(element):
    return etree.QName(element).localname


def space_of(element):
    return etree.QName(element).namespace


def text_of(element):
    return (element.text or "").strip()


# Edits


def changes(node, element):
    """The Changes that the elements within one make to a container of the module."""
    return tuple(_change(node.child(_own(node, each)), each) for each in element)


def _own(node, element):
    if space_of(element) not in (model.NAMESPACE, None):
        raise Refused(
            "unknown-namespace",
            f"{name_of(element)} is of the namespace {space_of(element)!r:.80}",
            node.path(),
            element=name_of(element),
            namespace=space_of(element),
        )
    return name_of(element)


def _change(node, element):
    operation = element.get(f"{{{BASE}}}operation")
    if operation is not None and operation not in ("merge", "replace", "create", "delete", "remove"):
        raise Refused(
            "bad-attribute",
            f"there is no operation {operation!r:.40}",
            node.path(),
            attribute="operation",
            element=node.name,
        )
    place = _place(node, element)
    if node.kind in ("container", "list"):
        return Change(node.name, operation, None, changes(node, element), place)
    if len(element):
        raise Refused(
            "bad-element", f"{node.name} is a leaf and holds elements", node.path(), element=node.name
        )
    gone = operation in ("delete", "remove") and node.kind == "leaf"
    return Change(node.name, operation, None if gone else node.parsed(text_of(element)), (), place)


def _place(node, element):
    how = element.get(f"{{{YANG}}}insert")
    if how is None:
        return None
    if how not in ("first", "last", "before", "after"):
        raise Refused(
            "bad-attribute",
            f"there is no place {how!r:.40}",
            node.path(),
            attribute="insert",
            element=node.name,
        )
    if how in ("first", "last"):
        return how, None
    key = element.get(f"{{{YANG}}}{'key' if node.kind == 'list' else 'value'}")
    if key is None:
        raise Refused(
            "missing-attribute", f"{how} whom is not said", node.path(), attribute="key", element=node.name
        )
    return how, key_values(node, key) if node.kind == "list" else node.parsed(key)


def key_values(node, text):
    """{key: value} of a list's predicate such as [gs:name='pay']."""
    found = {}
    for part in text.strip().strip("[]").split("]["):
        name, _, value = part.partition("=")
        found[name.strip().rpartition(":")[2]] = value.strip().strip("'\"")
    if set(found) != set(node.keys):
        raise Refused(
            "bad-attribute",
            f"{text!r:.60} names no entry of {node.name}",
            node.path(),
            attribute="key",
            element=node.name,
        )
    return found


# Trees


def element_of(node, tree, top=False):
    """The element of a container and of what is in it."""
    element = etree.Element(
        f"{{{model.NAMESPACE}}}{node.name}", nsmap={None: model.NAMESPACE} if top else None
    )
    for step in filled(element, node, tree):
        pass
    return element


def filled(element, node, tree):
    """Puts a tree into an element, and yields now and then; for trees that take long."""
    for name, child in node.children.items():
        value = tree.get(name)
        if value is None:
            continue
        tag = f"{{{model.NAMESPACE}}}{name}"
        if child.kind == "container":
            yield from filled(etree.SubElement(element, tag), child, value)
        elif child.kind == "list":
            for entry in value:
                yield from filled(etree.SubElement(element, tag), child, entry)
                yield
        else:
            for each in value if child.kind == "leaf-list" else (value,):
                etree.SubElement(element, tag).text = (
                    ("true" if each else "false") if isinstance(each, bool) else str(each)
                )


# Subtree filters (RFC 6241, 6)


def selected(node, tree, wanted):
    """What the filter's element for this container leaves of its tree, or None for nothing."""
    children = list(wanted)
    if not children:
        return tree  # a selection node: all of it
    matches = [each for each in children if not len(each) and text_of(each)]
    others = [each for each in children if len(each) or not text_of(each)]
    for each in matches:
        child = node.children.get(name_of(each)) if _ours(each) else None
        if child is None or child.kind not in ("leaf", "leaf-list"):
            return None
        value, text = tree.get(child.name), text_of(each)
        values = value if child.kind == "leaf-list" else [value]
        if text not in [
            ("true" if v else "false") if isinstance(v, bool) else str(v)
            for v in values or ()
            if v is not None
        ]:
            return None
    if not others:
        return tree
    result = {name: tree[name] for name in (name_of(each) for each in matches)}
    for name in node.keys:  # an entry without its key would be nobody's
        result[name] = tree[name]
    found = bool(matches)
    for each in others:
        child = node.children.get(name_of(each)) if _ours(each) else None
        if child is None or child.name not in tree:
            continue
        part = _selected_in(child, tree[child.name], each)
        if part is not None:
            found = True
            result[child.name] = _united(child, result.get(child.name), part)
    return {name: result[name] for name in tree if name in result} if found else None


def _ours(element):
    return space_of(element) in (model.NAMESPACE, None)


def _selected_in(child, value, wanted):
    if child.kind == "container":
        return selected(child, value, wanted)
    if child.kind == "list":
        entries = [part for entry in value if (part := selected(child, entry, wanted)) is not None]
        return entries or None
    return value if not len(wanted) else None


def _united(node, one, other):
    """Of two parts of the same node, which two filters chose."""
    if one is None or node.kind in ("leaf", "leaf-list"):
        return other
    if node.kind == "container":
        return {
            name: _united(node.children[name], one.get(name), other.get(name, one.get(name)))
            for name in {**one, **other}
        }
    by_key = {tuple(entry.get(key) for key in node.keys): entry for entry in one}
    for entry in other:
        key = tuple(entry.get(name) for name in node.keys)
        by_key[key] = {**by_key.get(key, {}), **entry}
    return list(by_key.values())
