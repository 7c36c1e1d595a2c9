"""commit, cancel-commit and discard-changes (RFC 6241, 8.3 and 8.4)."""

from granitespool.management.authorization import require_write
from granitespool.management.confirmation import CommitOptions
from granitespool.management.edits import differing_names
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.settings_trees import CANDIDATE, RUNNING
from granitespool.netconf.context import OperationContext, Steps
from granitespool.netconf.namespaces import base
from granitespool.netconf.xmltree import Element

DEFAULT_CONFIRM_TIMEOUT = 600  # s, the RFC's


def commit(context: OperationContext, operation: Element, _reply: Element) -> Steps:
    """Makes candidate the running settings, for good or until it is confirmed."""
    stores = context.service.datastores
    require_write(context.user, differing_names(stores.tree(RUNNING), stores.tree(CANDIDATE)))
    options = CommitOptions(
        timeout=_confirm_timeout(operation),
        persist=operation.findtext(base("persist")),
        persist_id=operation.findtext(base("persist-id")),
    )
    now = context.transport.now()
    yield from context.wait_for(
        lambda answer: stores.commit(context.owner, context.user.name, now, answer, options)
    )


def _confirm_timeout(operation: Element) -> int | None:
    """For how many seconds the commit waits to be confirmed; None where it stands at once."""
    text = operation.findtext(base("confirm-timeout"))
    if text is not None and not text.strip().isdigit():
        reason = f"confirm-timeout cannot be {text.strip()!r:.40}"
        raise ManagementError(ErrorTag.INVALID_VALUE, reason, element="confirm-timeout")
    if operation.find(base("confirmed")) is None:
        return None
    return int(text) if text else DEFAULT_CONFIRM_TIMEOUT


def cancel_commit(context: OperationContext, operation: Element, _reply: Element) -> Steps:
    """Undoes a commit that waits to be confirmed."""
    stores = context.service.datastores
    persist_id = operation.findtext(base("persist-id"))
    yield from context.wait_for(
        lambda answer: stores.cancel(context.owner, context.user.name, persist_id, answer)
    )


def discard_changes(context: OperationContext, _operation: Element, _reply: Element) -> None:
    """Makes candidate the same as running again."""
    context.service.datastores.discard(context.owner)
