"""XML of NETCONF messages: parsing within bounds, names and texts of elements; no I/O."""

from typing import TypeAlias

from lxml import etree

from granitespool.management import model
from granitespool.netconf.errors import MalformedMessageError

Element: TypeAlias = etree._Element

MAX_DEPTH = 64  # elements within one another: a tree of the module takes nine
MAX_ELEMENTS = 50_000  # elements of a message: a class takes seven
MAX_REASON_CHARS = 200  # of the parser's own message


def parse_message(data: bytes) -> Element:
    """The root element of a message.

    A DTD is rejected, so a message declares no entities; nothing is fetched; depth and number of elements are
    limited.

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
    return MalformedMessageError("a message has a DTD")


def _check_size(root: Element) -> None:
    count = 0
    pending = [(root, 1)]
    while pending:
        element, depth = pending.pop()
        count += 1
        if depth > MAX_DEPTH or count > MAX_ELEMENTS:
            reason = f"a message is over {MAX_DEPTH} deep or {MAX_ELEMENTS} elements"
            raise MalformedMessageError(reason)
        pending.extend((child, depth + 1) for child in element)


def local_name(element: Element) -> str:
    """An element's name without its namespace."""
    return str(etree.QName(element).localname)


def namespace_of(element: Element) -> str | None:
    """An element's namespace, None where it has none."""
    namespace: str | None = etree.QName(element).namespace
    return namespace


def text_of(element: Element) -> str:
    """An element's text without surrounding whitespace."""
    return (element.text or "").strip()


def is_own(element: Element) -> bool:
    """Whether an element may name a data node of the module: clients may leave the namespace out."""
    return namespace_of(element) in (model.NAMESPACE, None)
