"""create-subscription and notification messages (RFC 5277)."""

from collections.abc import Mapping

from lxml import etree

from granitespool.management import model
from granitespool.management.authorization import require_read
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.netconf.content import value_text
from granitespool.netconf.context import OperationContext
from granitespool.netconf.namespaces import NOTIFICATION, module_tag
from granitespool.netconf.xmltree import Element, local_name

STREAM = "NETCONF"


def create_subscription(context: OperationContext, operation: Element, _reply: Element) -> None:
    """Subscribe the session to notifications from now on."""
    require_read(context.user)
    stream = (operation.findtext(f"{{{NOTIFICATION}}}stream") or STREAM).strip()
    if stream != STREAM:
        reason = f"there is no stream {stream!r:.40}"
        raise ManagementError(ErrorTag.INVALID_VALUE, reason, element="stream")
    if operation.find(f"{{{NOTIFICATION}}}startTime") is not None:
        raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, "nothing of the past can be replayed")
    if context.notified_events is not None:
        raise ManagementError(ErrorTag.IN_USE, "this session has a subscription")
    filter_element = operation.find(f"{{{NOTIFICATION}}}filter")
    context.notified_events = (
        frozenset() if filter_element is None else frozenset(map(local_name, filter_element))
    )


def notification_element(name: str, fields: Mapping[str, object], event_time: str) -> Element:
    """Return the notification message of an event; `event_time` is in the format of RFC 3339."""
    message = etree.Element(f"{{{NOTIFICATION}}}notification", nsmap={None: NOTIFICATION})
    etree.SubElement(message, f"{{{NOTIFICATION}}}eventTime").text = event_time
    event = etree.SubElement(message, module_tag(name), nsmap={None: model.NAMESPACE})
    for field, value in fields.items():
        etree.SubElement(event, module_tag(field)).text = value_text(value)
    return message
