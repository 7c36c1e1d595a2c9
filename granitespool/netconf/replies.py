"""rpc-reply and rpc-error (RFC 6241, 4.2 and 4.3); no I/O."""

from collections.abc import Callable

from lxml import etree

from granitespool.management import model
from granitespool.management.data_tree import PathElement
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.netconf.namespaces import BASE, XML, base_tag
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
)  # errors with these tags and without a path have the error-type protocol, all others application


def new_reply(rpc: Element) -> Element:
    """Return an empty rpc-reply with the attributes of its rpc."""
    return etree.Element(base_tag("rpc-reply"), attrib=dict(rpc.attrib), nsmap={None: BASE})


def add_ok(reply: Element) -> None:
    """Add the ok element, which reports success without data."""
    etree.SubElement(reply, base_tag("ok"))


def replace_by_error(reply: Element, error: ManagementError, session_number: Callable[[object], int]) -> None:
    """Replace the content of a reply by an error; `session_number` returns the session-id of a session."""
    for child in list(reply):
        reply.remove(child)
    reply.append(error_element(error, session_number))


def error_element(error: ManagementError, session_number: Callable[[object], int]) -> Element:
    """Return the rpc-error element of an error."""
    element = etree.Element(base_tag("rpc-error"), nsmap={None: BASE})
    is_protocol = error.tag in PROTOCOL_TAGS and not error.path
    _add_text(element, "error-type", "protocol" if is_protocol else "application")
    _add_text(element, "error-tag", error.tag)
    _add_text(element, "error-severity", "error")
    if error.path:
        path = etree.SubElement(element, base_tag("error-path"), nsmap={"gs": model.NAMESPACE})
        path.text = "".join(map(_path_step, error.path))
    message = etree.SubElement(element, base_tag("error-message"), attrib={f"{{{XML}}}lang": "en"})
    message.text = error.reason
    if error.has_info:
        _add_info(etree.SubElement(element, base_tag("error-info")), error, session_number)
    return element


def _add_text(parent: Element, name: str, text: str) -> None:
    etree.SubElement(parent, base_tag(name)).text = str(text)


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
