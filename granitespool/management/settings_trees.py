"""The settings of running, candidate and startup, and what candidate was begun from; no I/O."""

import copy

from granitespool.management.data_tree import Tree
from granitespool.management.edits import differing_names
from granitespool.management.errors import ErrorTag, ManagementError

RUNNING = "running"
CANDIDATE = "candidate"
STARTUP = "startup"
DATASTORES = (RUNNING, CANDIDATE, STARTUP)


class SettingsTrees:
    """`version` counts the trees that were running.

    `startup` is None where a restart begins with running. `candidate_version` is the version that candidate
    was begun from, `candidate_editor` the session that changed it, while it differs for that."""

    def __init__(self, tree: Tree, version: int) -> None:
        self.running = tree
        self.candidate = copy.deepcopy(tree)
        self.startup: Tree | None = None
        self.version = version
        self.candidate_version = version
        self.candidate_editor: object = None

    def tree(self, store: str) -> Tree:
        """The settings of a datastore; of startup, those that a restart would begin with."""
        if store == CANDIDATE:
            return self.candidate
        if store == STARTUP and self.startup is not None:
            return self.startup
        return self.running

    def replace(self, session: object, store: str, tree: Tree) -> None:
        """Replaces candidate or startup by what a session has made of it."""
        if store == STARTUP:
            self.startup = tree
            return
        self.candidate = tree
        if self.candidate_editor is None:
            self.candidate_version = self.version
        self.candidate_editor = session if differing_names(tree, self.running) else None

    def discard_candidate(self) -> None:
        """Makes candidate the same as running."""
        self.candidate = copy.deepcopy(self.running)
        self.candidate_editor = None
        self.candidate_version = self.version

    def replace_running(self, tree: Tree, is_durable: bool) -> None:
        """Another tree runs; `is_durable`: a restart begins with it."""
        self.running = tree
        self.version += 1
        if is_durable:
            self.startup = None
        if self.candidate_editor is None:
            self.discard_candidate()

    def check_candidate_is_current(self) -> None:
        """Raises ManagementError where candidate was changed from settings that do not run any more."""
        if self.candidate_editor is not None and self.candidate_version != self.version:
            raise ManagementError(
                ErrorTag.OPERATION_FAILED,
                f"candidate was begun from version {self.candidate_version}, and running is "
                f"version {self.version} now: discard it and look anew",
            )
