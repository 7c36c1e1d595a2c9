"""Checks a tree of settings, saves it, and then applies it as the running settings; no I/O."""

from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeAlias

from granitespool.management.data_tree import Tree
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import Model
from granitespool.management.settings_trees import STARTUP, SettingsTrees

CompletionCallback: TypeAlias = Callable[[ManagementError | None], object]
"""Called once when a change is complete: with None on success, else with the error."""

SaveCallback: TypeAlias = Callable[[str | None], object]
"""Called once when a tree is saved: with None on success, else with the reason of the failure."""


class DatastoreHost(Protocol):
    """The service on which the datastores act."""

    def check(self, tree: Tree, running: Tree) -> None:
        """Raise ManagementError if the service cannot run with a tree, or if the change would do harm."""

    def save(self, tree: Tree, version: int, on_done: SaveCallback) -> object:
        """Save a tree so that it survives a restart, and call `on_done` once it is saved or has failed."""

    def replace_saved(self, tree: Tree, version: int) -> None:
        """Save this tree in place of the one that was saved last."""

    def apply(self, tree: Tree, changed_by: str) -> None:
        """Apply a tree to the service before returning, or raise ManagementError and change nothing."""

    def on_rejected(self, changed_by: str, reason: str) -> None:
        """Handle the rejection of a change."""


class _PendingChange(NamedTuple):
    """A tree that will replace the running one; `is_durable` is whether the tree survives a restart."""

    tree: Tree
    changed_by: str
    is_durable: bool
    on_done: CompletionCallback


class ChangeSequence:
    """Processes the changes of running, one at a time.

    `committing_session` is the session whose tree is being saved, None if none is being saved. `commits` and
    `rejected` count the changes since the start.
    """

    def __init__(self, model: Model, host: DatastoreHost, trees: SettingsTrees) -> None:
        self.model = model
        self.host = host
        self.trees = trees
        self.committing_session: object = None
        self.commits = 0
        self.rejected = 0

    def validate(self, tree: Tree) -> None:
        """Raise ManagementError unless a change to this tree would pass all checks."""
        self.model.check(tree)
        self.host.check(tree, self.trees.running)

    def reject(self, changed_by: str, error: ManagementError) -> ManagementError:
        """Count and report a rejected change, and return its error."""
        self.rejected += 1
        self.host.on_rejected(changed_by, error.reason)
        return error

    def start(
        self,
        session: object,
        changed_by: str,
        tree: Tree,
        on_done: CompletionCallback,
        *,
        is_durable: bool = True,
    ) -> None:
        """Check, save and apply a tree.

        A change that may still be undone must not survive a restart, so it is not durable.
        """
        self._start(session, _PendingChange(tree, changed_by, is_durable, on_done), self.validate)

    def restore(self, session: object, changed_by: str, tree: Tree, on_done: CompletionCallback) -> None:
        """Apply a tree that was running before.

        It is not checked again: the state that the checks depend on may have changed since.
        """
        self._start(session, _PendingChange(tree, changed_by, False, on_done), lambda _: None)

    def _start(self, session: object, change: _PendingChange, check: Callable[[Tree], None]) -> None:
        if self.committing_session is not None:
            error = ManagementError(
                ErrorTag.IN_USE, "another commit is being saved", session=self.committing_session
            )
            change.on_done(self.reject(change.changed_by, error))
            return
        try:
            check(change.tree)
        except ManagementError as error:
            change.on_done(self.reject(change.changed_by, error))
            return
        self.committing_session = session
        if change.is_durable:
            self.host.save(change.tree, self.trees.version + 1, lambda failure: self._finish(change, failure))
        else:
            self._finish(change, None)

    def _finish(self, change: _PendingChange, save_error: str | None) -> None:
        self.committing_session = None
        try:
            self._apply(change, save_error)
        except ManagementError as error:
            if change.is_durable:
                # The tree may be on the disk already or reach it later: a restart must not use it.
                self.host.replace_saved(self.trees.tree(STARTUP), self.trees.version)
            change.on_done(self.reject(change.changed_by, error))
            return
        self.trees.replace_running(change.tree, change.is_durable)
        self.commits += 1
        change.on_done(None)

    def _apply(self, change: _PendingChange, save_error: str | None) -> None:
        if save_error:
            reason = f"the settings could not be saved for a restart: {save_error}"
            raise ManagementError(ErrorTag.RESOURCE_DENIED, reason)
        self.host.apply(change.tree, change.changed_by)
