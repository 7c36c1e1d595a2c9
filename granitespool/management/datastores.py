"""Running, candidate and startup; locks, commits, confirmed commits; no I/O.

    state of a commit        what ends it
    none                     commit: checked, kept, applied, in this order, in one call
    confirmed, waiting       commit again: it stands. cancel, its time, or its session's end where it did not
                             persist: the settings before it are applied again

The host is a small interface: `check(tree)` refuses what the service could not run on or what would do harm,
`keep(tree, version, answer)` makes it outlast the process and then calls answer(None or why not),
`apply(tree, by)` has the service run on it within the call or leaves everything as it was and raises
Refused, `unkeep(tree, version)` has this one outlast the process instead of what was kept last, `refused(by,
why)` hears of each change that was refused. Times are whole nanoseconds. A session is any value that stands
for itself; `by` is the name of its user, for the log."""

import copy
from typing import NamedTuple

from granitespool.management.edits import differing, edited
from granitespool.management.errors import Refused

RUNNING, CANDIDATE, STARTUP = "running", "candidate", "startup"
STORES = RUNNING, CANDIDATE, STARTUP
CONFIRM_MOST = 24 * 3600  # s that a commit may wait to be confirmed: a day


class Confirm(NamedTuple):
    """A commit that waits to be confirmed."""

    session: object
    persist: str | None
    due: int
    before: dict  # the tree to go back to


class Datastores:
    """`tree`: the settings the service runs on at first."""

    def __init__(self, model, host, tree, version=1):
        self.model, self.host = model, host
        self.trees, self.version = {RUNNING: tree, CANDIDATE: copy.deepcopy(tree), STARTUP: None}, version
        self.base = version  # the version that the candidate was begun from
        self.edited_by = None  # the session that changed the candidate, while it differs for that
        self.locks = {}  # store -> session
        self.confirm = None
        self.busy = None  # the session whose commit is being kept
        self.commits = self.refused = 0

    # Reading

    def tree(self, store):
        """Of startup: what a restart would begin with, which is running where nothing else was kept."""
        tree = self.trees[store]
        return self.trees[RUNNING] if tree is None else tree

    # Locks

    def lock(self, session, store):
        holder = self.locks.get(store)
        if holder is not None:
            raise Refused("lock-denied", f"{store} is locked", session=holder)
        if store == CANDIDATE and self.edited_by is not None:
            raise Refused(
                "lock-denied",
                "candidate has changes that were neither committed nor discarded",
                session=self.edited_by,
            )
        if store == RUNNING and self.confirm and self.confirm.session is not session:
            raise Refused("lock-denied", "a commit waits to be confirmed", session=self.confirm.session)
        self.locks[store] = session

    def unlock(self, session, store):
        if self.locks.get(store) is not session:
            raise Refused("operation-failed", f"{store} is not locked by this session")
        del self.locks[store]
        if store == CANDIDATE:
            self._discard()

    def _free(self, session, store):
        holder = self.locks.get(store)
        if holder is not None and holder is not session:
            raise Refused("in-use", f"{store} is locked by another session", session=holder)

    # Edits

    def edit(self, session, store, changes, default="merge", test="test-then-set"):
        """Changes what is in a store's settings. Only candidate and startup are edited so; running takes
        commits."""
        self._free(session, store)
        if store == RUNNING:
            raise Refused("operation-not-supported", "running is changed by a commit of candidate")
        tree = edited(self.model.settings, self.tree(store), changes, default)
        if test != "set":
            self.model.check(tree)
        if test != "test-only":
            self._set(session, store, tree)

    def _set(self, session, store, tree):
        self.trees[store] = tree
        if store == CANDIDATE:
            if self.edited_by is None:
                self.base = self.version
            self.edited_by = session if differing(tree, self.trees[RUNNING]) else None

    def copy(self, session, target, tree, store=None):
        """The whole of a store from another's (`store`) or from a tree that was sent."""
        self._free(session, target)
        if target == RUNNING:
            raise Refused("operation-not-supported", "running is changed by a commit of candidate")
        tree = copy.deepcopy(self.tree(store) if store else tree)
        self.model.check(tree)
        self._set(session, target, tree)

    def delete(self, session, store):
        self._free(session, store)
        if store != STARTUP:
            raise Refused("operation-not-supported", f"{store} cannot be deleted")
        self.trees[STARTUP] = None

    def discard(self, session):
        self._free(session, CANDIDATE)
        self._discard()

    def _discard(self):
        self.trees[CANDIDATE], self.edited_by = copy.deepcopy(self.trees[RUNNING]), None
        self.base = self.version

    def validate(self, tree):
        """Refused unless a commit of this tree would pass all checks."""
        self.model.check(tree)
        self.host.check(tree, self.trees[RUNNING])

    # Commits

    def commit(self, session, by, now, answer, timeout=None, persist=None, persist_id=None):
        """Makes candidate running, and calls answer(None or a Refused) once that is sure; the answer may come
        later, when the settings outlast the process. `timeout` in s: unless confirmed by then it is
        undone."""
        try:
            self._free(session, RUNNING)
            self._free(session, CANDIDATE)
            self._may_confirm(session, persist_id)
            if timeout is not None and not 0 < timeout <= CONFIRM_MOST:
                raise Refused("invalid-value", f"a commit may wait 1 to {CONFIRM_MOST} s to be confirmed")
            tree = self.trees[CANDIDATE]
            if self.edited_by is not None and self.base != self.version:
                raise Refused(
                    "operation-failed",
                    f"candidate was begun from version {self.base}, and running is "
                    f"version {self.version} now: discard it and look anew",
                )
        except Refused as error:
            return answer(self._refuse(by, error))
        before, first = self.trees[RUNNING], self.confirm.before if self.confirm else self.trees[RUNNING]

        def done(error):
            if error is None:
                if timeout is None:
                    self.confirm = None
                else:
                    held = self.confirm
                    self.confirm = Confirm(
                        session, persist or (held.persist if held else None), now + int(timeout * 1e9), first
                    )
                self._discard()
            answer(error)

        if tree == before and (self.confirm is None or timeout is not None):
            return done(None)
        return self._change(session, by, copy.deepcopy(tree), done, keep=timeout is None)

    def transact(self, session, by, changed, answer):
        """Edits running in one commit of its own: `changed(tree)` gives the new tree of a former one. A
        candidate that was begun before is refused at its commit then."""
        try:
            self._free(session, RUNNING)
            if self.confirm is not None:
                raise Refused("in-use", "a commit waits to be confirmed", session=self.confirm.session)
            tree = changed(self.trees[RUNNING])
        except Refused as error:
            return answer(self._refuse(by, error))
        if tree == self.trees[RUNNING]:
            return answer(None)
        return self._change(session, by, tree, answer)

    def _refuse(self, by, error):
        self.refused += 1
        self.host.refused(by, error.why)
        return error

    def _may_confirm(self, session, persist_id):
        waits = self.confirm
        if persist_id is not None and (waits is None or waits.persist != persist_id):
            raise Refused("invalid-value", "no commit with this persist-id waits to be confirmed")
        if (
            waits is not None
            and persist_id is None
            and (waits.persist is not None or waits.session is not session)
        ):
            raise Refused(
                "in-use",
                "a commit waits to be confirmed, by its session or with its persist-id",
                session=waits.session,
            )

    def _change(self, session, by, tree, answer, keep=True, back=False):
        """Checks, keeps and applies a tree; one at a time. `back`: what ran before may run again."""
        if self.busy is not None:
            return answer(
                self._refuse(by, Refused("in-use", "another commit is being kept", session=self.busy))
            )
        try:
            if not back:
                self.validate(tree)
        except Refused as error:
            return answer(self._refuse(by, error))
        self.busy = session

        def kept(why):
            self.busy = None
            try:
                if why:
                    raise Refused(
                        "resource-denied", f"the settings could not be made to outlast a restart: {why}"
                    )
                self.host.apply(tree, by)
            except Refused as error:
                if keep:  # it may be on the disk, or come there yet: no restart may begin with it
                    self.host.unkeep(self.tree(STARTUP), self.version)
                return answer(self._refuse(by, error))
            self.trees[RUNNING], self.version, self.commits = tree, self.version + 1, self.commits + 1
            if keep:
                self.trees[STARTUP] = None
            if self.edited_by is None:
                self._discard()
            return answer(None)

        if not keep:  # what may be undone in a minute must not be what a restart begins with
            return kept(None)
        return self.host.keep(tree, self.version + 1, kept)

    def cancel(self, session, by, persist_id, answer):
        """Undoes a commit that waits to be confirmed."""
        try:
            if self.confirm is None:
                raise Refused("operation-failed", "no commit waits to be confirmed")
            self._may_confirm(session, persist_id)
        except Refused as error:
            return answer(error)
        return self._undo(by, answer)

    def _undo(self, by, answer):
        before, self.confirm = self.confirm.before, None

        def done(error):
            if self.edited_by is None:
                self._discard()
            answer(error)

        return self._change(self, by, before, done, keep=False, back=True)

    def due(self):
        """When `tick` is to be called at the latest, or None."""
        return self.confirm.due if self.confirm else None

    def tick(self, now, told):
        """Undoes a commit that was not confirmed in time; told(None or a Refused) once it is."""
        if self.confirm and now >= self.confirm.due and self.busy is None:
            self._undo("timeout", told)

    def closed(self, session, told):
        """A session has ended, however: its locks are freed, its changes discarded, its commit undone unless
        it was to persist."""
        held = [store for store, holder in self.locks.items() if holder is session]
        for store in held:
            del self.locks[store]
        if self.edited_by is session or CANDIDATE in held:
            self._discard()
        if self.confirm and self.confirm.session is session and self.confirm.persist is None:
            if self.busy is None:
                self._undo("session ended", told)
            else:  # as soon as the other commit is through
                self.confirm = self.confirm._replace(due=0)

    # The file

    def file(self, tree, by="file"):
        """The operators' files were read anew: the same checks, and applied in this call, or Refused. A
        manager's candidate stays, but what was begun from the former version is refused at its commit."""
        if self.busy is not None:
            raise Refused("in-use", "a manager's commit is being kept")
        holder = self.locks.get(RUNNING)
        if holder is not None:
            raise Refused("in-use", "running is locked by a manager", session=holder)
        if self.confirm:
            raise Refused("in-use", "a manager's commit waits to be confirmed")
        result = []
        self._change(self, by, tree, result.append, keep=False)
        if result[0]:
            raise result[0]
        self.trees[STARTUP] = None
