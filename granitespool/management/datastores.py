"""The datastores running, candidate and startup: locks, edits, commits, confirmed commits; no I/O.

A commit checks, saves and applies candidate, in this order. A confirmed commit is not saved: it waits to be
confirmed by another commit. If it is cancelled, if its timeout expires, or if its session ends and the commit
has no persist identifier, the settings before it are applied again.

Times are in whole nanoseconds. A session is any object; sessions are compared by identity. `changed_by` is
the name of the session's user, "file", "timeout" or "session ended", for the log.
"""

import copy
from collections.abc import Callable, Sequence
from functools import partial

from granitespool.management.changes import ChangeSequence, CompletionCallback, DatastoreHost
from granitespool.management.confirmation import (
    PERMANENT_COMMIT,
    CommitOptions,
    PendingConfirmation,
    check_can_confirm,
    extend_confirmation,
)
from granitespool.management.data_tree import Tree
from granitespool.management.edits import Change, apply_changes
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.locks import Locks
from granitespool.management.model import Model
from granitespool.management.settings_trees import CANDIDATE, RUNNING, STARTUP, SettingsTrees
from granitespool.units import SECOND

MAX_CONFIRM_TIMEOUT = 24 * 3600  # s


class Datastores:
    """The datastores of one coordinator; `tree` is the initial running one."""

    def __init__(self, model: Model, host: DatastoreHost, tree: Tree, version: int = 1) -> None:
        self.model = model
        self.trees = SettingsTrees(tree, version)
        self.changes = ChangeSequence(model, host, self.trees)
        self.locks = Locks()
        self.pending_confirmation: PendingConfirmation | None = None

    @property
    def version(self) -> int:
        """The version number of the running settings."""
        return self.trees.version

    @property
    def commits(self) -> int:
        """The number of changes of running since the start."""
        return self.changes.commits

    @property
    def rejected(self) -> int:
        """The number of rejected changes since the start."""
        return self.changes.rejected

    def tree(self, datastore: str) -> Tree:
        """Return the settings of a datastore; for startup, the settings that a restart would use."""
        return self.trees.tree(datastore)

    # Locks

    def lock(self, session: object, datastore: str) -> None:
        """Lock a datastore for a session, so that no other session may change it."""
        self.locks.check_not_held(datastore)
        editor = self.trees.candidate_editor
        if datastore == CANDIDATE and editor is not None:
            raise ManagementError(
                ErrorTag.LOCK_DENIED,
                "candidate has changes that were neither committed nor discarded",
                session=editor,
            )
        pending = self.pending_confirmation
        if datastore == RUNNING and pending and pending.session is not session:
            reason = "a commit waits to be confirmed"
            raise ManagementError(ErrorTag.LOCK_DENIED, reason, session=pending.session)
        self.locks.hold(datastore, session)

    def unlock(self, session: object, datastore: str) -> None:
        """Release a lock; releasing the lock of candidate discards its changes."""
        self.locks.release(datastore, session)
        if datastore == CANDIDATE:
            self.trees.discard_candidate()

    # Edits of candidate and startup

    def edit(
        self,
        session: object,
        datastore: str,
        changes: Sequence[Change],
        default_operation: str = "merge",
        test_option: str = "test-then-set",
    ) -> None:
        """Edit candidate or startup; running is changed only by commits."""
        self._check_editable(session, datastore)
        tree = apply_changes(self.model.settings, self.tree(datastore), changes, default_operation)
        if test_option != "set":
            self.model.check(tree)
        if test_option != "test-only":
            self.trees.replace(session, datastore, tree)

    def copy(self, session: object, target: str, tree: Tree) -> None:
        """Replace all settings of candidate or startup."""
        self._check_editable(session, target)
        copied = copy.deepcopy(tree)
        self.model.check(copied)
        self.trees.replace(session, target, copied)

    def _check_editable(self, session: object, datastore: str) -> None:
        self.locks.check_usable(datastore, session)
        if datastore == RUNNING:
            reason = "running is changed by a commit of candidate"
            raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, reason)

    def delete(self, session: object, datastore: str) -> None:
        """Delete startup, so that a restart uses running again."""
        self.locks.check_usable(datastore, session)
        if datastore != STARTUP:
            raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, f"{datastore} cannot be deleted")
        self.reset_startup()

    def reset_startup(self) -> None:
        """Make startup equal to running."""
        self.trees.startup = None

    def discard(self, session: object) -> None:
        """Make candidate equal to running."""
        self.locks.check_usable(CANDIDATE, session)
        self.trees.discard_candidate()

    def validate(self, tree: Tree) -> None:
        """Raise ManagementError unless a commit of this tree would pass all checks."""
        self.changes.validate(tree)

    # Commits

    def commit(
        self,
        session: object,
        changed_by: str,
        now: int,
        on_done: CompletionCallback,
        options: CommitOptions = PERMANENT_COMMIT,
    ) -> None:
        """Make candidate the running settings.

        `on_done` is called once the outcome is certain, which is later if the settings are saved to a disk.
        """
        try:
            self._check_commit(session, options)
        except ManagementError as error:
            on_done(self.changes.reject(changed_by, error))
            return
        tree = self.trees.candidate
        confirmation = self._next_confirmation(session, now, options)
        on_change = partial(self._finish_commit, confirmation, on_done)
        is_unchanged = tree == self.trees.running
        if is_unchanged and (self.pending_confirmation is None or confirmation is not None):
            on_change(None)
        else:
            is_durable = confirmation is None
            self.changes.start(session, changed_by, copy.deepcopy(tree), on_change, is_durable=is_durable)

    def _finish_commit(
        self,
        confirmation: PendingConfirmation | None,
        on_done: CompletionCallback,
        error: ManagementError | None,
    ) -> None:
        if error is None:
            self.pending_confirmation = confirmation
            self.trees.discard_candidate()
        on_done(error)

    def _next_confirmation(
        self, session: object, now: int, options: CommitOptions
    ) -> PendingConfirmation | None:
        """Return the pending confirmation after a commit with these options, None if none is needed."""
        if options.timeout is None:
            return None
        deadline = now + options.timeout * SECOND
        new = PendingConfirmation(session, options.persist, deadline, self.trees.running)
        return extend_confirmation(self.pending_confirmation, new)

    def _check_commit(self, session: object, options: CommitOptions) -> None:
        self.locks.check_usable(RUNNING, session)
        self.locks.check_usable(CANDIDATE, session)
        check_can_confirm(self.pending_confirmation, session, options.persist_id)
        if options.timeout is not None and not 0 < options.timeout <= MAX_CONFIRM_TIMEOUT:
            reason = f"a commit may wait 1 to {MAX_CONFIRM_TIMEOUT} s to be confirmed"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason)
        self.trees.check_candidate_is_current()

    def transact(
        self, session: object, changed_by: str, make_tree: Callable[[Tree], Tree], on_done: CompletionCallback
    ) -> None:
        """Change running in one commit that does not use candidate.

        Changes of candidate that were made before can no longer be committed afterwards.

        Args:
            session: the session that makes the change.
            changed_by: the name of its user.
            make_tree: returns the new tree for the running one.
            on_done: called once the outcome is certain.
        """
        try:
            tree = self._transaction_tree(session, make_tree)
        except ManagementError as error:
            on_done(self.changes.reject(changed_by, error))
            return
        if tree == self.trees.running:
            on_done(None)
        else:
            self.changes.start(session, changed_by, tree, on_done)

    def _transaction_tree(self, session: object, make_tree: Callable[[Tree], Tree]) -> Tree:
        self.locks.check_usable(RUNNING, session)
        if self.pending_confirmation is not None:
            reason = "a commit waits to be confirmed"
            raise ManagementError(ErrorTag.IN_USE, reason, session=self.pending_confirmation.session)
        return make_tree(self.trees.running)

    def cancel(
        self, session: object, changed_by: str, persist_id: str | None, on_done: CompletionCallback
    ) -> None:
        """Undo the commit that waits to be confirmed."""
        if self.pending_confirmation is None:
            on_done(ManagementError(ErrorTag.OPERATION_FAILED, "no commit waits to be confirmed"))
            return
        try:
            check_can_confirm(self.pending_confirmation, session, persist_id)
        except ManagementError as error:
            on_done(error)
            return
        self._undo(self.pending_confirmation, changed_by, on_done)

    def _undo(self, confirmation: PendingConfirmation, changed_by: str, on_done: CompletionCallback) -> None:
        self.pending_confirmation = None

        def on_change(error: ManagementError | None) -> None:
            if self.trees.candidate_editor is None:
                self.trees.discard_candidate()
            on_done(error)

        self.changes.restore(self, changed_by, confirmation.previous_tree, on_change)

    # Timeouts, closed sessions, reloaded files

    def next_deadline(self) -> int | None:
        """Return the time in ns by which `tick` must be called, None without a timer."""
        return self.pending_confirmation.deadline if self.pending_confirmation else None

    def tick(self, now: int, on_undone: CompletionCallback) -> None:
        """Undo a commit that was not confirmed in time; `on_undone` receives the outcome."""
        confirmation = self.pending_confirmation
        if confirmation and now >= confirmation.deadline and self.changes.committing_session is None:
            self._undo(confirmation, "timeout", on_undone)

    def close_session(self, session: object, on_undone: CompletionCallback) -> None:
        """Release the locks of a closed session, discard its changes, and undo its unconfirmed commit.

        A commit with a persist identifier is not undone.
        """
        released = self.locks.release_all(session)
        if self.trees.candidate_editor is session or CANDIDATE in released:
            self.trees.discard_candidate()
        confirmation = self.pending_confirmation
        if confirmation is None or not confirmation.ends_with(session):
            return
        if self.changes.committing_session is None:
            self._undo(confirmation, "session ended", on_undone)
        else:  # undone by `tick` as soon as the other commit is complete
            self.pending_confirmation = confirmation._replace(deadline=0)

    def apply_file(self, tree: Tree, changed_by: str = "file") -> None:
        """Apply the settings of the operators' files after a reload.

        Changes of candidate stay, but as they are based on the previous version they cannot be committed.

        Raises:
            ManagementError: the settings are invalid, or a session's commit or lock prevents the change.
        """
        self._check_file_can_be_applied()
        results: list[ManagementError | None] = []
        self.changes.start(self, changed_by, tree, results.append, is_durable=False)
        if results[0] is not None:
            raise results[0]
        self.reset_startup()

    def _check_file_can_be_applied(self) -> None:
        if self.changes.committing_session is not None:
            raise ManagementError(ErrorTag.IN_USE, "a manager's commit is being saved")
        holder = self.locks.holder(RUNNING)
        if holder is not None:
            raise ManagementError(ErrorTag.IN_USE, "running is locked by a manager", session=holder)
        if self.pending_confirmation:
            raise ManagementError(ErrorTag.IN_USE, "a manager's commit waits to be confirmed")
