"""The host of the management datastores: gives them access to the service, its files and its state folder.

Converts a settings tree to a configuration, which is then checked, applied and saved. The datastores decide
whether a change is allowed, and `reconfiguration` applies the change to the parts of the service.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from granitespool.errors import InvalidInputError
from granitespool.management import impact_check, mapping
from granitespool.management.changes import CompletionCallback, SaveCallback
from granitespool.management.data_tree import Tree
from granitespool.management.datastores import Datastores
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import Model
from granitespool.management.settings_trees import RUNNING, STARTUP
from granitespool.net.config import Configuration, compute_quotas, with_quotas
from granitespool.net.fleet_notifier import Notify
from granitespool.net.loop import SECOND
from granitespool.net.reconfiguration import without_management_sockets

if TYPE_CHECKING:
    from granitespool.net.service import Service

# ns for which the answer to a commit waits for the state folder. A slower write is treated as failed.
SAVE_TIMEOUT = 5 * SECOND
NOT_SAVED = "the settings could not be saved in the state folder in time"
NO_FOLDER = "without a state folder no settings persist, so startup cannot differ from running"
NOT_APPLIED = "a part failed to apply its settings; all parts use their former settings again"


@dataclass(frozen=True, slots=True)
class PendingSave:
    """A settings tree that is not yet durable, and the callback that is called with the result."""

    ticket: int
    deadline: int  # ns
    answer: SaveCallback


class SettingsHost:
    """The datastores and their host; implements management.changes.DatastoreHost."""

    def __init__(self, service: "Service", model: Model, notify: Notify) -> None:
        """Create the datastores; raise InvalidInputError if the settings do not conform to the model."""
        self.service = service
        self.model = model
        self.notify = notify
        tree = mapping.tree_of(service.config)
        try:
            model.check(tree)
        except ManagementError as error:
            raise InvalidInputError(f"the settings do not match the YANG model: {error.reason}") from None
        self.datastores = Datastores(model, self, tree)
        self.file_tree: Tree | None = service.file_tree  # the settings in the files when they were last read
        self.reloaded: Configuration | None = None  # the new configuration during a reload, otherwise None
        self.pending: list[PendingSave] = []

    # Methods that the datastores call

    def check(self, tree: Tree, _running: Tree) -> None:
        """Raise ManagementError if a tree is not a valid configuration or would harm the running service."""
        config = self._configuration_of(tree)
        coordinator = self.service.coordinator
        restart_required = [] if self.reloaded else self.service.reconfiguration.restart_required_by(config)
        impact_check.check(
            config,
            self.service.config,
            coordinator.status().planner.joined,
            coordinator.joined_zones(),
            restart_required,
        )

    def apply(self, tree: Tree, by: str) -> None:
        """Apply a tree to the service at once.

        Raise ManagementError if a part fails; the former settings are then still in use.
        """
        config = self._configuration_of(tree)
        try:
            restart_required = self.service.reconfiguration.apply(config)
        except Exception as error:
            self.service.loop.report_failure(error)
            raise ManagementError(ErrorTag.OPERATION_FAILED, NOT_APPLIED) from None
        version = self.datastores.version + 1
        self.service.log.event("settings_changed", by=by, version=version, restart_required=restart_required)
        self.notify("settings-changed", version=version, by=by)

    def save(self, tree: Tree, version: int, answer: SaveCallback) -> None:
        """Save a tree if there is a state folder; call `answer` once it is durable or the save has failed."""
        if self.service.snapshotter is None:
            answer(None)
            return
        ticket = self.service.snapshotter.save_settings(tree, self.file_tree, version)
        self.pending.append(PendingSave(ticket, self.service.loop.now + SAVE_TIMEOUT, answer))
        self.service.loop.wake()

    def replace_saved(self, tree: Tree, version: int) -> None:
        """Replace the last saved tree with `tree`, without waiting until `tree` is durable."""
        if self.service.snapshotter is not None:
            self.service.snapshotter.save_settings(tree, self.file_tree, version)

    def on_rejected(self, by: str, why: str) -> None:
        """Log a change that was rejected and notify the subscribers."""
        self.service.log.event("change_rejected", by=by, reason=why)
        self.notify("change-refused", by=by, why=why)

    # Methods that the sessions call

    def save_startup(self, answer: CompletionCallback) -> None:
        """Save the startup datastore; call `answer` once it is durable or the save has failed."""
        stores = self.datastores
        if self.service.snapshotter is None:
            stores.reset_startup()
            answer(ManagementError(ErrorTag.OPERATION_FAILED, NO_FOLDER))
            return

        def saved(reason: str | None) -> None:
            if reason is None:
                answer(None)
                return
            # The tree may still reach the disk later. A save of the running settings replaces it, so that a
            # restart begins with the running settings
            stores.reset_startup()
            self.replace_saved(stores.tree(STARTUP), stores.version)
            answer(ManagementError(ErrorTag.RESOURCE_DENIED, reason))

        self.save(stores.tree(STARTUP), stores.version, saved)

    def log_rollback_failure(self, error: ManagementError | None) -> None:
        """Log that an unconfirmed change could not be rolled back."""
        if error:
            self.service.log.event("rollback_failed", reason=error.reason)

    # Methods that the service calls

    def end_of_turn(self, now: int) -> None:
        """Answer saves that are durable or past their deadline, and roll back an expired unconfirmed commit.

        `now` is in ns.
        """
        snapshotter = self.service.snapshotter
        pending, self.pending = self.pending, []
        for save in pending:
            is_durable = snapshotter is not None and snapshotter.is_durable(save.ticket)
            if is_durable or now >= save.deadline:
                save.answer(None if is_durable else NOT_SAVED)
            else:
                self.pending.append(save)
        self.datastores.tick(now, self.log_rollback_failure)

    def next_deadline(self) -> int | None:
        """Return the time (ns) by which `end_of_turn` has to be called again, or None if there is none."""
        deadlines = [self.datastores.next_deadline(), *(save.deadline for save in self.pending)]
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def reload(self, config: Configuration) -> list[str]:
        """Apply the reloaded files; return the names of the settings that require a restart.

        If the settings in the files are unchanged, the changes that management clients made stay in use.
        Raise ManagementError if the files cannot be applied; the former settings are then still in use.
        """
        reconfiguration = self.service.reconfiguration
        tree = mapping.tree_of(config)
        if tree == self.file_tree:
            running = mapping.config_of(self.datastores.tree(RUNNING), config)
            return reconfiguration.apply(cast(Configuration, running))
        self.model.check(tree)
        self.reloaded = config
        try:
            self.datastores.apply_file(tree)
        finally:
            self.reloaded = None
        self.file_tree = tree
        if self.service.snapshotter is not None:
            self.service.snapshotter.save_settings(None, None, self.datastores.version)
        return reconfiguration.restart_required

    def _configuration_of(self, tree: Tree) -> Configuration:
        """Return the current configuration with the settings of a tree.

        During a reload, return the reloaded configuration.
        """
        if self.reloaded:
            return self.reloaded
        config = cast(Configuration, mapping.config_of(tree, self.service.config))
        if config.get("limits") != self.service.config.get("limits"):
            config = without_management_sockets(with_quotas(config, compute_quotas(config["limits"])))
        return config
