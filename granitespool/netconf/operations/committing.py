"""commit, cancel-commit and discard-changes (RFC 6241, 8.3 and 8.4)."""

from granitespool.management.authorization import require_write
from granitespool.management.confirmation import CommitOptions
from granitespool.management.edits import differing_names
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.settings_trees import CANDIDATE, RUNNING
from granitespool.netconf.context import OperationContext, Steps
from granitespool.netconf.namespaces import base_tag
from granitespool.netconf.xmltree import Element

DEFAULT_CONFIRM_TIMEOUT = 600  # s, from RFC 6241, 8.4


def commit(context: OperationContext, operation: Element, _reply: Element) -> Steps:
    """Make candidate the running settings, either permanently or until the confirm timeout."""
    datastores = context.service.datastores
    require_write(context.user, differing_names(datastores.tree(RUNNING), datastores.tree(CANDIDATE)))
    options = CommitOptions(
        timeout=_confirm_timeout(operation),
        persist=operation.findtext(base_tag("persist")),
        persist_id=operation.findtext(base_tag("persist-id")),
    )
    now = context.transport.now()
    yield from context.wait_for(
        lambda on_done: datastores.commit(context.owner, context.user.name, now, on_done, options)
    )


def _confirm_timeout(operation: Element) -> int | None:
    """Return the seconds within which the commit has to be confirmed, None if it needs no confirmation."""
    text = operation.findtext(base_tag("confirm-timeout"))
    if text is not None and not text.strip().isdigit():
        reason = f"confirm-timeout cannot be {text.strip()!r:.40}"
        raise ManagementError(ErrorTag.INVALID_VALUE, reason, element="confirm-timeout")
    if operation.find(base_tag("confirmed")) is None:
        return None
    return int(text) if text else DEFAULT_CONFIRM_TIMEOUT


def cancel_commit(context: OperationContext, operation: Element, _reply: Element) -> Steps:
    """Undo the commit that waits to be confirmed."""
    datastores = context.service.datastores
    persist_id = operation.findtext(base_tag("persist-id"))
    yield from context.wait_for(
        lambda on_done: datastores.cancel(context.owner, context.user.name, persist_id, on_done)
    )


def discard_changes(context: OperationContext, _operation: Element, _reply: Element) -> None:
    """Make candidate equal to running again."""
    context.service.datastores.discard(context.owner)
