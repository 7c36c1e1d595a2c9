"""A commit that waits to be confirmed (RFC 6241, 8.4): who may confirm or cancel it; no I/O."""

from typing import NamedTuple

from granitespool.management.data_tree import Tree
from granitespool.management.errors import ErrorTag, ManagementError


class CommitOptions(NamedTuple):
    """How a commit is to be confirmed.

    `timeout`: s after which it is undone unless it is confirmed; None where it stands at once. `persist`: a
    word by which another session may confirm it. `persist_id`: the word of the commit that this one
    confirms."""

    timeout: int | None = None
    persist: str | None = None
    persist_id: str | None = None


PERMANENT_COMMIT = CommitOptions()


class PendingConfirmation(NamedTuple):
    """A commit that waits to be confirmed: until when (ns), and what is applied again without."""

    session: object
    persist: str | None
    deadline: int
    previous_tree: Tree

    def ends_with(self, session: object) -> bool:
        """Whether this session's end undoes the commit."""
        return self.session is session and self.persist is None


def check_can_confirm(waiting: PendingConfirmation | None, session: object, persist_id: str | None) -> None:
    """Raises ManagementError where a session may not confirm or cancel the commit that waits, if one does."""
    if persist_id is not None:
        if waiting is None or waiting.persist != persist_id:
            reason = "no commit with this persist-id waits to be confirmed"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason)
    elif waiting is not None and (waiting.persist is not None or waiting.session is not session):
        raise ManagementError(
            ErrorTag.IN_USE,
            "a commit waits to be confirmed, by its session or with its persist-id",
            session=waiting.session,
        )


def extend_confirmation(waiting: PendingConfirmation | None, new: PendingConfirmation) -> PendingConfirmation:
    """A new confirmed commit; where one waits already, what ran before both is applied again without."""
    if waiting is None:
        return new
    return new._replace(persist=new.persist or waiting.persist, previous_tree=waiting.previous_tree)
