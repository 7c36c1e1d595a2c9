"""rpc-reply and rpc-error (RFC 6241, 4.2 and 4.3); no I/O."""

from collections.abc import Callable

from lxml import etree

from granitespool.management import model
from granitespool.management.data_tree import PathElement
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.netconf.namespaces import BASE, XML, base
from granitespool.netconf.xmltree import Element

PROTOCOL_TAGS = frozenset(
    (
        ErrorTag.BAD_ATTRIBUTE,
        ErrorTag.MISSING_ATTRIBUTE,
        ErrorTag.UNKNOWN_ATTRIBUTE,
        ErrorTag.BAD_ELEMENT,
        ErrorTag.MALFORMED_MESSAGE,
        ErrorTag.UNKNOWN_NAMESPACE,
        ErrorTag.OPERATION_NOT_SUPPORTED,
        ErrorTag.MISSING_ELEMENT,
        ErrorTag.UNKNOWN_ELEMENT,
    )
)  # of an error without a path these are of the layer protocol, all others of application


def new_reply(rpc: Element) -> Element:
    """An empty rpc-reply with the attributes of its rpc."""
    return etree.Element(base("rpc-reply"), attrib=dict(rpc.attrib), nsmap={None: BASE})


def add_ok(reply: Element) -> None:
    """Says that an operation without data has succeeded."""
    etree.SubElement(reply, base("ok"))


def replace_by_error(reply: Element, error: ManagementError, session_number: Callable[[object], int]) -> None:
    """Has a reply hold this error alone; `session_number` gives the session-id of a session."""
    for child in list(reply):
        reply.remove(child)
    reply.append(error_element(error, session_number))


def error_element(error: ManagementError, session_number: Callable[[object], int]) -> Element:
    """The rpc-error of an error."""
    element = etree.Element(base("rpc-error"), nsmap={None: BASE})
    is_protocol = error.tag in PROTOCOL_TAGS and not error.path
    _add_text(element, "error-type", "protocol" if is_protocol else "application")
    _add_text(element, "error-tag", error.tag)
    _add_text(element, "error-severity", "error")
    if error.path:
        path = etree.SubElement(element, base("error-path"), nsmap={"gs": model.NAMESPACE})
        path.text = "".join(map(_path_step, error.path))
    message = etree.SubElement(element, base("error-message"), attrib={f"{{{XML}}}lang": "en"})
    message.text = error.reason
    if error.has_info:
        _add_info(etree.SubElement(element, base("error-info")), error, session_number)
    return element


def _add_text(parent: Element, name: str, text: str) -> None:
    etree.SubElement(parent, base(name)).text = str(text)


def _path_step(step: PathElement) -> str:
    predicates = (f"[{'.' if key == '.' else 'gs:' + key}='{value}']" for key, value in step.keys.items())
    return f"/gs:{step.name}{''.join(predicates)}"


def _add_info(info: Element, error: ManagementError, session_number: Callable[[object], int]) -> None:
    for name, value in (
        ("bad-attribute", error.attribute),
        ("bad-element", error.element),
        ("bad-namespace", error.namespace),
    ):
        if value:
            _add_text(info, name, value)
    if error.session is not None:
        _add_text(info, "session-id", str(session_number(error.session)))
