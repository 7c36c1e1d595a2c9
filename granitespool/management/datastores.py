"""Running, candidate and startup: locks, edits, commits, confirmed commits; no I/O.

    state of a commit        what ends it
    none                     commit: checked, kept, applied, in this order
    confirmed, waiting       commit again: it stands. cancel, its time, or its session's end where it did not
                             persist: the settings before it are applied again

Times are whole nanoseconds. A session is any value that stands for itself; `by` is the name of its user, for
the log."""

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

MAX_CONFIRM_TIMEOUT = 24 * 3600  # s that a commit may wait to be confirmed: a day


class Datastores:
    """`tree` are the settings that the service runs on at first."""

    def __init__(self, model: Model, host: DatastoreHost, tree: Tree, version: int = 1) -> None:
        self.model = model
        self.trees = SettingsTrees(tree, version)
        self.changes = ChangeSequence(model, host, self.trees)
        self.locks = Locks()
        self.pending_confirmation: PendingConfirmation | None = None

    @property
    def version(self) -> int:
        """The number of the running settings."""
        return self.trees.version

    @property
    def commits(self) -> int:
        """How many changes of the settings act since the start."""
        return self.changes.commits

    @property
    def rejected(self) -> int:
        """How many changes of the settings were rejected since the start."""
        return self.changes.rejected

    def tree(self, store: str) -> Tree:
        """The settings of a datastore; of startup, those that a restart would begin with."""
        return self.trees.tree(store)

    # Locks

    def lock(self, session: object, store: str) -> None:
        """Has a datastore be changed by this session alone."""
        self.locks.check_not_held(store)
        editor = self.trees.candidate_editor
        if store == CANDIDATE and editor is not None:
            raise ManagementError(
                ErrorTag.LOCK_DENIED,
                "candidate has changes that were neither committed nor discarded",
                session=editor,
            )
        waiting = self.pending_confirmation
        if store == RUNNING and waiting and waiting.session is not session:
            reason = "a commit waits to be confirmed"
            raise ManagementError(ErrorTag.LOCK_DENIED, reason, session=waiting.session)
        self.locks.hold(store, session)

    def unlock(self, session: object, store: str) -> None:
        """Gives up a lock; of candidate, its changes as well."""
        self.locks.release(store, session)
        if store == CANDIDATE:
            self.trees.discard_candidate()

    # Edits of candidate and startup

    def edit(
        self,
        session: object,
        store: str,
        changes: Sequence[Change],
        default: str = "merge",
        test: str = "test-then-set",
    ) -> None:
        """Changes settings of candidate or startup; running is changed by commits alone."""
        self._check_editable(session, store)
        tree = apply_changes(self.model.settings, self.tree(store), changes, default)
        if test != "set":
            self.model.check(tree)
        if test != "test-only":
            self.trees.replace(session, store, tree)

    def copy(self, session: object, target: str, tree: Tree) -> None:
        """Replaces all settings of candidate or startup."""
        self._check_editable(session, target)
        copied = copy.deepcopy(tree)
        self.model.check(copied)
        self.trees.replace(session, target, copied)

    def _check_editable(self, session: object, store: str) -> None:
        self.locks.check_usable(store, session)
        if store == RUNNING:
            reason = "running is changed by a commit of candidate"
            raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, reason)

    def delete(self, session: object, store: str) -> None:
        """Has a restart begin with running again."""
        self.locks.check_usable(store, session)
        if store != STARTUP:
            raise ManagementError(ErrorTag.OPERATION_NOT_SUPPORTED, f"{store} cannot be deleted")
        self.reset_startup()

    def reset_startup(self) -> None:
        """What startup holds beside running is dropped."""
        self.trees.startup = None

    def discard(self, session: object) -> None:
        """Makes candidate the same as running."""
        self.locks.check_usable(CANDIDATE, session)
        self.trees.discard_candidate()

    def validate(self, tree: Tree) -> None:
        """Raises ManagementError unless a commit of this tree would pass all checks."""
        self.changes.validate(tree)

    # Commits

    def commit(
        self,
        session: object,
        by: str,
        now: int,
        answer: CompletionCallback,
        options: CommitOptions = PERMANENT_COMMIT,
    ) -> None:
        """Makes candidate running, and answers once that is sure: later, where it is kept on a disk."""
        try:
            self._check_commit(session, options)
        except ManagementError as error:
            answer(self.changes.reject(by, error))
            return
        tree = self.trees.candidate
        confirmation = self._next_confirmation(session, now, options)
        on_change = partial(self._finish_commit, confirmation, answer)
        is_unchanged = tree == self.trees.running
        if is_unchanged and (self.pending_confirmation is None or confirmation is not None):
            on_change(None)
        else:
            is_durable = confirmation is None
            self.changes.start(session, by, copy.deepcopy(tree), on_change, is_durable=is_durable)

    def _finish_commit(
        self,
        confirmation: PendingConfirmation | None,
        answer: CompletionCallback,
        error: ManagementError | None,
    ) -> None:
        if error is None:
            self.pending_confirmation = confirmation
            self.trees.discard_candidate()
        answer(error)

    def _next_confirmation(
        self, session: object, now: int, options: CommitOptions
    ) -> PendingConfirmation | None:
        """What a commit with these options leaves to be confirmed, if anything."""
        if options.timeout is None:
            return None
        due = now + options.timeout * SECOND
        new = PendingConfirmation(session, options.persist, due, self.trees.running)
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
        self, session: object, by: str, changed: Callable[[Tree], Tree], answer: CompletionCallback
    ) -> None:
        """Changes running in one commit of its own: `changed` gives the new tree of the running one.

        What was begun in candidate before is rejected at its commit then."""
        try:
            tree = self._transacted(session, changed)
        except ManagementError as error:
            answer(self.changes.reject(by, error))
            return
        if tree == self.trees.running:
            answer(None)
        else:
            self.changes.start(session, by, tree, answer)

    def _transacted(self, session: object, changed: Callable[[Tree], Tree]) -> Tree:
        self.locks.check_usable(RUNNING, session)
        if self.pending_confirmation is not None:
            reason = "a commit waits to be confirmed"
            raise ManagementError(ErrorTag.IN_USE, reason, session=self.pending_confirmation.session)
        return changed(self.trees.running)

    def cancel(self, session: object, by: str, persist_id: str | None, answer: CompletionCallback) -> None:
        """Undoes a commit that waits to be confirmed."""
        if self.pending_confirmation is None:
            answer(ManagementError(ErrorTag.OPERATION_FAILED, "no commit waits to be confirmed"))
            return
        try:
            check_can_confirm(self.pending_confirmation, session, persist_id)
        except ManagementError as error:
            answer(error)
            return
        self._undo(self.pending_confirmation, by, answer)

    def _undo(self, confirmation: PendingConfirmation, by: str, answer: CompletionCallback) -> None:
        self.pending_confirmation = None

        def on_change(error: ManagementError | None) -> None:
            if self.trees.candidate_editor is None:
                self.trees.discard_candidate()
            answer(error)

        self.changes.restore(self, by, confirmation.previous_tree, on_change)

    # Time, sessions that end, and the files

    def next_deadline(self) -> int | None:
        """When `tick` is to be called at the latest, None for never."""
        return self.pending_confirmation.deadline if self.pending_confirmation else None

    def tick(self, now: int, on_undone: CompletionCallback) -> None:
        """Undoes a commit that was not confirmed in time, and tells how that went."""
        confirmation = self.pending_confirmation
        if confirmation and now >= confirmation.deadline and self.changes.committing_session is None:
            self._undo(confirmation, "timeout", on_undone)

    def close_session(self, session: object, on_undone: CompletionCallback) -> None:
        """A session has ended, however: its locks and changes go, and its commit unless it persists."""
        released = self.locks.release_all(session)
        if self.trees.candidate_editor is session or CANDIDATE in released:
            self.trees.discard_candidate()
        confirmation = self.pending_confirmation
        if confirmation is None or not confirmation.ends_with(session):
            return
        if self.changes.committing_session is None:
            self._undo(confirmation, "session ended", on_undone)
        else:  # as soon as the other commit is through
            self.pending_confirmation = confirmation._replace(deadline=0)

    def apply_file(self, tree: Tree, by: str = "file") -> None:
        """Applies the settings of the operators' files, which were read anew.

        A client's candidate stays, but what was begun from the former version is rejected at its commit.

        Raises:
            ManagementError: the settings are wrong, or a client's change or lock is in the way.
        """
        self._check_file_may_change()
        answers: list[ManagementError | None] = []
        self.changes.start(self, by, tree, answers.append, is_durable=False)
        if answers[0] is not None:
            raise answers[0]
        self.reset_startup()

    def _check_file_may_change(self) -> None:
        if self.changes.committing_session is not None:
            raise ManagementError(ErrorTag.IN_USE, "a manager's commit is being kept")
        holder = self.locks.holder(RUNNING)
        if holder is not None:
            raise ManagementError(ErrorTag.IN_USE, "running is locked by a manager", session=holder)
        if self.pending_confirmation:
            raise ManagementError(ErrorTag.IN_USE, "a manager's commit waits to be confirmed")
