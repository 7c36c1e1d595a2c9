"""close-session and kill-session (RFC 6241, 7.8 and 7.9)."""

from granitespool.management.authorization import require_write
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.netconf.context import OperationContext
from granitespool.netconf.namespaces import base_tag
from granitespool.netconf.xmltree import Element


def close_session(_context: OperationContext, _operation: Element, _reply: Element) -> None:
    """Do nothing: the session ends itself after the reply to this operation."""


def kill_session(context: OperationContext, operation: Element, _reply: Element) -> None:
    """End another session; the user must be authorized to write all settings."""
    number = (operation.findtext(base_tag("session-id")) or "").strip()
    other = context.service.find_session(number)
    if other is None or other is context.owner:
        reason = f"there is no other session {number!r:.20}"
        raise ManagementError(ErrorTag.INVALID_VALUE, reason, element="session-id")
    require_write(context.user, [*context.service.model.settings.children])
    other.transport.end(f"killed by {context.user.name}")
    other.transport.wake()
