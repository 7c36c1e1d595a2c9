"""How another tree of settings becomes running: checked, kept, applied, in this order; no I/O."""

from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeAlias

from granitespool.management.data_tree import Tree
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import Model
from granitespool.management.settings_trees import STARTUP, SettingsTrees

CompletionCallback: TypeAlias = Callable[[ManagementError | None], object]
"""Is called once, with None for success."""

SaveCallback: TypeAlias = Callable[[str | None], object]
"""Is called once, with None or why the tree could not be kept."""


class DatastoreHost(Protocol):
    """What the datastores act on: the service."""

    def check(self, tree: Tree, running: Tree) -> None:
        """Raises ManagementError where the service could not run on a tree, or it would do harm."""

    def save(self, tree: Tree, version: int, answer: SaveCallback) -> object:
        """Has a tree outlast the process, and answers once that is safe or has failed."""

    def replace_saved(self, tree: Tree, version: int) -> None:
        """Has this tree outlast the process instead of the one that was kept last."""

    def apply(self, tree: Tree, by: str) -> None:
        """Has the service run on a tree within the call, or raises ManagementError and changes nothing."""

    def on_rejected(self, by: str, why: str) -> None:
        """Is called for each change that was rejected."""


class _Change(NamedTuple):
    """A tree on its way to running; `is_durable`: a restart is to begin with it."""

    tree: Tree
    by: str
    is_durable: bool
    answer: CompletionCallback


class ChangeSequence:
    """One change at a time: `busy` is the session whose tree is being kept.

    `commits` and `rejected` count changes since the start."""

    def __init__(self, model: Model, host: DatastoreHost, trees: SettingsTrees) -> None:
        self.model = model
        self.host = host
        self.trees = trees
        self.committing_session: object = None
        self.commits = 0
        self.rejected = 0

    def validate(self, tree: Tree) -> None:
        """Raises ManagementError unless a change to this tree would pass all checks."""
        self.model.check(tree)
        self.host.check(tree, self.trees.running)

    def reject(self, by: str, error: ManagementError) -> ManagementError:
        """Counts and tells a rejected change; gives its error back."""
        self.rejected += 1
        self.host.on_rejected(by, error.reason)
        return error

    def start(
        self, session: object, by: str, tree: Tree, answer: CompletionCallback, *, is_durable: bool = True
    ) -> None:
        """Checks, keeps and applies a tree; what may be undone must not outlast the process."""
        self._start(session, _Change(tree, by, is_durable, answer), self.validate)

    def restore(self, session: object, by: str, tree: Tree, answer: CompletionCallback) -> None:
        """Applies a tree that ran before, unchecked: what the checks go by may have changed meanwhile."""
        self._start(session, _Change(tree, by, False, answer), lambda _: None)

    def _start(self, session: object, change: _Change, check: Callable[[Tree], None]) -> None:
        if self.committing_session is not None:
            error = ManagementError(
                ErrorTag.IN_USE, "another commit is being kept", session=self.committing_session
            )
            change.answer(self.reject(change.by, error))
            return
        try:
            check(change.tree)
        except ManagementError as error:
            change.answer(self.reject(change.by, error))
            return
        self.committing_session = session
        if change.is_durable:
            self.host.save(change.tree, self.trees.version + 1, lambda why: self._finish(change, why))
        else:
            self._finish(change, None)

    def _finish(self, change: _Change, why_not_kept: str | None) -> None:
        self.committing_session = None
        try:
            self._apply(change, why_not_kept)
        except ManagementError as error:
            if change.is_durable:  # it may be on the disk, or come there yet: no restart may begin with it
                self.host.replace_saved(self.trees.tree(STARTUP), self.trees.version)
            change.answer(self.reject(change.by, error))
            return
        self.trees.replace_running(change.tree, change.is_durable)
        self.commits += 1
        change.answer(None)

    def _apply(self, change: _Change, why_not_kept: str | None) -> None:
        if why_not_kept:
            reason = f"the settings could not be made to outlast a restart: {why_not_kept}"
            raise ManagementError(ErrorTag.RESOURCE_DENIED, reason)
        self.host.apply(change.tree, change.by)
