"""XML of NETCONF messages: parsing with limits, names and texts of elements; no I/O."""

from typing import TypeAlias

from lxml import etree

from granitespool.management import model
from granitespool.netconf.errors import MalformedMessageError

Element: TypeAlias = etree._Element

MAX_DEPTH = 64  # nesting depth of elements; a tree of the module has nine levels
MAX_ELEMENTS = 50_000  # elements of a message; a request class has seven
MAX_REASON_CHARS = 200  # length of the parser's error message


def parse_message(data: bytes) -> Element:
    """Parse a message, and return its root element.

    A DTD is rejected, so that a message cannot declare entities. Nothing is fetched. The depth and the number
    of elements are limited.

    Raises:
        MalformedMessageError: the message is not XML within these limits.
    """
    if b"<!DOCTYPE" in data or b"<!ENTITY" in data:
        raise _dtd_error()
    try:
        root = etree.fromstring(data, _parser())
    except (etree.XMLSyntaxError, ValueError) as error:
        reason = f"a message is not XML: {str(error).splitlines()[0][:MAX_REASON_CHARS]}"
        raise MalformedMessageError(reason) from None
    if root.getroottree().docinfo.internalDTD is not None:
        raise _dtd_error()
    _check_size(root)
    return root


def _parser() -> etree.XMLParser:
    return etree.XMLParser(
        resolve_entities=False,
        no_network=True,
        load_dtd=False,
        dtd_validation=False,
        huge_tree=False,
        remove_comments=True,
        remove_pis=True,
    )


def _dtd_error() -> MalformedMessageError:
    return MalformedMessageError("a message contains a DTD")


def _check_size(root: Element) -> None:
    count = 0
    pending = [(root, 1)]
    while pending:
        element, depth = pending.pop()
        count += 1
        if depth > MAX_DEPTH or count > MAX_ELEMENTS:
            reason = f"a message exceeds the limit of {MAX_DEPTH} levels or {MAX_ELEMENTS} elements"
            raise MalformedMessageError(reason)
        pending.extend((child, depth + 1) for child in element)


def local_name(element: Element) -> str:
    """Return the name of an element without its namespace."""
    return str(etree.QName(element).localname)


def element_namespace(element: Element) -> str | None:
    """Return the namespace of an element, None if it has none."""
    namespace: str | None = etree.QName(element).namespace
    return namespace


def element_text(element: Element) -> str:
    """Return the text of an element without surrounding whitespace."""
    return (element.text or "").strip()


def is_module_element(element: Element) -> bool:
    """Return whether an element may name a data node of the module; clients may omit the namespace."""
    return element_namespace(element) in (model.NAMESPACE, None)
