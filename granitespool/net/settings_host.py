"""What the managers' datastores act on: the service, its files and its state folder.

It makes a configuration of a tree of settings, has it checked, applied and saved. Whether a change is allowed
is for the datastores; which part takes what is for `reconfiguration`."""

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

SAVE_TIMEOUT = 5 * SECOND  # ns that a commit's answer waits for the state folder: a worse disk has failed
NOT_SAVED = "the state folder's disk does not take it"
NO_FOLDER = "without a state folder nothing outlasts a restart, so startup cannot differ from running"
NOT_APPLIED = "a part could not take its settings, and all have their former ones again"


@dataclass(frozen=True, slots=True)
class PendingSave:
    """A tree on its way to the disk."""

    ticket: int
    deadline: int  # ns
    answer: SaveCallback


class SettingsHost:
    """The datastores and what they act on: a management.changes.DatastoreHost."""

    def __init__(self, service: "Service", model: Model, notify: Notify) -> None:
        """Raises InvalidInputError where the settings do not fit the model."""
        self.service = service
        self.model = model
        self.notify = notify
        tree = mapping.tree_of(service.config)
        try:
            model.check(tree)
        except ManagementError as error:
            raise InvalidInputError(f"the settings do not fit the managers' model: {error.reason}") from None
        self.datastores = Datastores(model, self, tree)
        self.file_tree: Tree | None = service.file_tree  # of the files as they were last read
        self.reloaded: Configuration | None = None  # the configuration that a reload brings, meanwhile
        self.pending: list[PendingSave] = []

    # For the datastores

    def check(self, tree: Tree, _running: Tree) -> None:
        """Raises ManagementError where the service could not run on a tree, or it would do harm."""
        config = self._config(tree)
        coordinator = self.service.coordinator
        waiting = [] if self.reloaded else self.service.reconfiguration.restart_required_by(config)
        impact_check.check(
            config,
            self.service.config,
            coordinator.status().planner.joined,
            coordinator.joined_zones(),
            waiting,
        )

    def apply(self, tree: Tree, by: str) -> None:
        """Has the service run on a tree within the call, or raises ManagementError and changes nothing."""
        config = self._config(tree)
        try:
            restart_required = self.service.reconfiguration.apply(config)
        except Exception as error:
            self.service.loop.report_failure(error)
            raise ManagementError(ErrorTag.OPERATION_FAILED, NOT_APPLIED) from None
        version = self.datastores.version + 1
        self.service.log.event("settings_changed", by=by, version=version, restart_required=restart_required)
        self.notify("settings-changed", version=version, by=by)

    def save(self, tree: Tree, version: int, answer: SaveCallback) -> None:
        """Has a tree outlast the process where a state folder is on, and answers once it is safe."""
        if self.service.snapshotter is None:
            answer(None)
            return
        ticket = self.service.snapshotter.save_settings(tree, self.file_tree, version)
        self.pending.append(PendingSave(ticket, self.service.loop.now + SAVE_TIMEOUT, answer))
        self.service.loop.wake()

    def replace_saved(self, tree: Tree, version: int) -> None:
        """Has this tree outlast the process instead; nobody waits for it, and the newest one wins."""
        if self.service.snapshotter is not None:
            self.service.snapshotter.save_settings(tree, self.file_tree, version)

    def on_rejected(self, by: str, why: str) -> None:
        """Logs a change that was rejected, and notifies the subscribers."""
        self.service.log.event("change_rejected", by=by, reason=why)
        self.notify("change-refused", by=by, why=why)

    # For the sessions

    def save_startup(self, answer: CompletionCallback) -> None:
        """Has startup, as it is now, outlast the process, and answers once that is safe."""
        stores = self.datastores
        if self.service.snapshotter is None:
            stores.reset_startup()
            answer(ManagementError(ErrorTag.OPERATION_FAILED, NO_FOLDER))
            return

        def saved(reason: str | None) -> None:
            if reason is None:
                answer(None)
                return
            # It may come to the disk yet: a restart begins with what runs
            stores.reset_startup()
            self.replace_saved(stores.tree(STARTUP), stores.version)
            answer(ManagementError(ErrorTag.RESOURCE_DENIED, reason))

        self.save(stores.tree(STARTUP), stores.version, saved)

    def log_undone(self, error: ManagementError | None) -> None:
        """Logs where a change that was not confirmed could not be taken back."""
        if error:
            self.service.log.event("rollback_failed", reason=error.reason)

    # For the service

    def end_of_turn(self, now: int) -> None:
        """Answers what is safe by now or too late, and undoes a commit that was not confirmed; ns."""
        snapshotter = self.service.snapshotter
        waiting, self.pending = self.pending, []
        for save in waiting:
            is_safe = snapshotter is not None and snapshotter.is_durable(save.ticket)
            if is_safe or now >= save.deadline:
                save.answer(None if is_safe else NOT_SAVED)
            else:
                self.pending.append(save)
        self.datastores.tick(now, self.log_undone)

    def due(self) -> int | None:
        """When `end_of_turn` is to be called at the latest, ns; None for never."""
        deadlines = [self.datastores.next_deadline(), *(save.deadline for save in self.pending)]
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def reload(self, config: Configuration) -> list[str]:
        """Takes the files that were read anew; returns the names of what waits for a restart.

        Raises ManagementError, and nothing changes. Where the files hold what they held before, what managers
        have changed since stands."""
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

    def _config(self, tree: Tree) -> Configuration:
        """The configuration that a tree makes of the present one, or the one that a reload brings."""
        if self.reloaded:
            return self.reloaded
        config = cast(Configuration, mapping.config_of(tree, self.service.config))
        if config.get("limits") != self.service.config.get("limits"):
            config = without_management_sockets(with_quotas(config, compute_quotas(config["limits"])))
        return config
