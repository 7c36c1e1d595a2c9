"""Confirmed commits (RFC 6241, 8.4): the pending commit, and which sessions may confirm it; no I/O."""

from typing import NamedTuple

from granitespool.management.data_tree import Tree
from granitespool.management.errors import ErrorTag, ManagementError


class CommitOptions(NamedTuple):
    """Parameters of a commit.

    `timeout` is the time in seconds after which the commit is undone unless it is confirmed, None for a
    commit that needs no confirmation. `persist` is an identifier with which another session may confirm the
    commit. `persist_id` is the identifier of the commit that this one confirms.
    """

    timeout: int | None = None
    persist: str | None = None
    persist_id: str | None = None


PERMANENT_COMMIT = CommitOptions()


class PendingConfirmation(NamedTuple):
    """A commit that waits to be confirmed.

    `deadline` is the time in ns at which it is undone; `previous_tree` is applied again then.
    """

    session: object
    persist: str | None
    deadline: int
    previous_tree: Tree

    def ends_with(self, session: object) -> bool:
        """Return whether the end of this session undoes the commit."""
        return self.session is session and self.persist is None


def check_can_confirm(pending: PendingConfirmation | None, session: object, persist_id: str | None) -> None:
    """Raise ManagementError if a session may not confirm or cancel the pending commit, if there is one."""
    if persist_id is not None:
        if pending is None or pending.persist != persist_id:
            reason = "no commit with this persist-id waits to be confirmed"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason)
    elif pending is not None and (pending.persist is not None or pending.session is not session):
        raise ManagementError(
            ErrorTag.IN_USE,
            "a commit waits to be confirmed, by its session or with its persist-id",
            session=pending.session,
        )


def extend_confirmation(pending: PendingConfirmation | None, new: PendingConfirmation) -> PendingConfirmation:
    """Return the pending confirmation after a new confirmed commit.

    If a commit is pending already, the settings that were running before both are kept for the undo.
    """
    if pending is None:
        return new
    return new._replace(persist=new.persist or pending.persist, previous_tree=pending.previous_tree)
