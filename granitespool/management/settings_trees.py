"""The settings of running, candidate and startup, and the version that candidate is based on; no I/O."""

import copy

from granitespool.management.data_tree import Tree
from granitespool.management.edits import differing_names
from granitespool.management.errors import ErrorTag, ManagementError

RUNNING = "running"
CANDIDATE = "candidate"
STARTUP = "startup"
DATASTORES = (RUNNING, CANDIDATE, STARTUP)


class SettingsTrees:
    """The trees of the three datastores.

    `version` is the number of the running tree and grows with each change. `startup` is None while a restart
    uses running. `candidate_version` is the version of running that candidate is based on, `candidate_editor`
    the session whose changes make candidate differ from running, None without changes.
    """

    def __init__(self, tree: Tree, version: int) -> None:
        self.running = tree
        self.candidate = copy.deepcopy(tree)
        self.startup: Tree | None = None
        self.version = version
        self.candidate_version = version
        self.candidate_editor: object = None

    def tree(self, datastore: str) -> Tree:
        """Return the settings of a datastore; for startup, the settings that a restart would use."""
        if datastore == CANDIDATE:
            return self.candidate
        if datastore == STARTUP and self.startup is not None:
            return self.startup
        return self.running

    def replace(self, session: object, datastore: str, tree: Tree) -> None:
        """Replace candidate or startup by a tree that a session has edited."""
        if datastore == STARTUP:
            self.startup = tree
            return
        self.candidate = tree
        if self.candidate_editor is None:
            self.candidate_version = self.version
        self.candidate_editor = session if differing_names(tree, self.running) else None

    def discard_candidate(self) -> None:
        """Make candidate equal to running."""
        self.candidate = copy.deepcopy(self.running)
        self.candidate_editor = None
        self.candidate_version = self.version

    def replace_running(self, tree: Tree, is_durable: bool) -> None:
        """Record that another tree is running; a restart uses it if `is_durable`."""
        self.running = tree
        self.version += 1
        if is_durable:
            self.startup = None
        if self.candidate_editor is None:
            self.discard_candidate()

    def check_candidate_is_current(self) -> None:
        """Raise ManagementError if candidate has changes that are based on an older version of running."""
        if self.candidate_editor is not None and self.candidate_version != self.version:
            raise ManagementError(
                ErrorTag.OPERATION_FAILED,
                f"candidate is based on version {self.candidate_version} of running, which is at "
                f"version {self.version} now: discard the changes of candidate and edit it again",
            )
