"""Snapshotter: a coroutine of the event loop that passes snapshots of a coordinator to the writer.

It reads all backends within half of `every_ms`, in small groups to keep each turn of the loop short. Changes
are durable within `every_ms` if the disk takes at most the other half. At a start, the snapshotter restores
the record of the previous process.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

from granitespool import __version__
from granitespool.coordinator import Coordinator
from granitespool.errors import InvalidInputError
from granitespool.net.loop import Coroutine, Loop
from granitespool.operator_settings import StateSettings
from granitespool.settings import Settings
from granitespool.state import record as records
from granitespool.state.disk import Folder, StateFolder
from granitespool.state.record import Clocks, Header, ManagedSettings, Tree
from granitespool.state.recovery import NO_RECORD_REASON, Recovery
from granitespool.state.restore_policy import Identity
from granitespool.state.writer import FolderContent, Writer
from granitespool.units import MILLISECOND, SECOND

OPEN_TIMEOUT = 0.4  # s that a start waits for the folder; afterwards the service starts without a record
CLOSE_TIMEOUT = 0.25  # s for the last snapshot after SIGTERM; SIGKILL follows after at least 0.7 s
LINKS_PER_GROUP = 200  # number of links in a group; reading a group takes a millisecond
FIRST_LIST_POLL = SECOND // 20  # ns between checks whether an endpoint list has arrived
FOLDER_READ_TIMED_OUT = "the folder could not be read in time"


class EventLog(Protocol):
    """Log to which the snapshotter writes."""

    def event(self, event: str, **fields: Any) -> None:
        """Write an event."""


class EndpointSource(Protocol):
    """Source of the current endpoint list."""

    @property
    def has_listed_backends(self) -> bool:
        """Whether any endpoint list has contained a backend."""

    @property
    def index(self) -> int:
        """Version of the endpoint list."""

    @property
    def addresses(self) -> Mapping[str, tuple[str, int] | None]:
        """Address of each backend, None if unknown."""


class ManagedSettingsTrees(NamedTuple):
    """Settings that managers had changed before the restart, and the settings of the files at that time."""

    base: Tree  # settings read from the files
    running: Tree


class StateMetrics(NamedTuple):
    """Amounts written to the state folder since the start, and whether writes currently fail."""

    bytes_written: int
    batches_written: int
    is_failing: bool


class Snapshotter:
    """Takes snapshots of a coordinator; owns the writer until `close`.

    It is created before the coordinator, since the endpoint list to start from may come from the record;
    `start` is called afterwards.
    """

    def __init__(
        self,
        loop: Loop,
        log: EventLog,
        options: StateSettings,
        name: str,
        settings: Settings,
        monotonic: Callable[[], int],
        folder: Folder | None = None,
    ) -> None:
        """Open the folder; raise InvalidInputError if another process has locked it."""
        self.loop = loop
        self.log = log
        self.options = options
        self.monotonic = monotonic
        self.identity = Identity(name, settings.class_names, list(settings.zones or ()))
        self.recovery = Recovery(options, self.identity)
        self.coordinator: Coordinator | None = None
        self.discovery: EndpointSource | None = None
        self.managed_settings: ManagedSettingsTrees | None = None
        self.writer = Writer(
            folder or StateFolder(options.folder),
            options.most_mb,
            self._make_header,
            loop.wake,
            self._clocks,
        )
        self._load_content(self.writer.wait_until_open(OPEN_TIMEOUT))

    def _load_content(self, content: FolderContent | None) -> None:
        if content is None:
            self.recovery.rejection = FOLDER_READ_TIMED_OUT
            return
        if content.lock_error:
            raise InvalidInputError(content.lock_error)
        for problem in content.problems:
            self.log.event("state_corrupt", reason=problem)
        values = self.recovery.load(content.state, content.record, content.reason, self._clocks())
        managed = content.record.managed if content.record else None
        if managed is not None and content.state and content.state.header.name == self.identity.name:
            # Settings are restored at any age, but only by the coordinator that stored them.
            self.managed_settings = ManagedSettingsTrees(managed.base, managed.tree)
            values[records.MANAGED_SETTINGS_KEY] = records.encode_value(managed)
        if values:
            self.writer.submit(dict(values))

    def save_settings(self, tree: Tree | None, base: Tree | None, version: int) -> int:
        """Store settings for the next start.

        If `tree` or `base` is None, the stored settings are removed, and the next start uses those of the
        files. Returns a ticket for `is_durable`.
        """
        value = None
        if tree is not None and base is not None:
            value = records.encode_value(ManagedSettings(self.loop.now, version, base, tree))
        return self.writer.submit({records.MANAGED_SETTINGS_KEY: value})

    def is_durable(self, ticket: int) -> bool:
        """Return whether the changes for which `ticket` was returned are durable."""
        return self.writer.durable_ticket >= ticket

    def metrics(self) -> StateMetrics:
        """Return the metrics of the state folder."""
        writer = self.writer
        return StateMetrics(writer.bytes_written, writer.batches_written, writer.is_failing)

    def choose_endpoint_list(self, configured: dict[str, Any]) -> dict[str, Any]:
        """Return the endpoint list to start from, in discovery's format."""
        return self.recovery.choose_endpoint_list(configured)

    def start(self, coordinator: Coordinator, discovery: EndpointSource) -> None:
        """Start to take snapshots of a coordinator, which may still wait for its first endpoint list."""
        self.coordinator = coordinator
        self.discovery = discovery
        self.loop.spawn(self._run(coordinator, discovery))

    def set_options(self, options: StateSettings) -> None:
        """Set the options that may change at run time: interval, size of the folder and age limits."""
        self.options = options
        self.recovery.set_options(options)
        self.writer.set_max_mb(options.most_mb)

    def close(self) -> None:
        """Write a last snapshot and wait for it up to CLOSE_TIMEOUT."""
        if self.coordinator and self.discovery and self.discovery.has_listed_backends:
            names = list(self.coordinator.endpoint_states())
            self._submit_changes(self.coordinator, self.discovery, names, is_last=True)
        if not self.writer.close(CLOSE_TIMEOUT):
            self.log.event("snapshot_not_saved", reason="the last snapshot was not written in time")
        self._log_reports()

    def _make_header(self, start_number: int) -> Header:
        return Header(records.FORMAT_VERSION, *self.identity, *self._clocks(), start_number, __version__)

    def _clocks(self) -> Clocks:
        return Clocks(self.loop.clock(), self.monotonic())

    def _run(self, coordinator: Coordinator, discovery: EndpointSource) -> Coroutine:
        while not discovery.has_listed_backends:  # wait for the first list that contains a backend
            yield None, 0, self.loop.now + FIRST_LIST_POLL
            self._log_reports()
        self._restore(coordinator)
        while True:
            groups = self._groups(list(coordinator.endpoint_states()))
            pause = self.options.every_ms * MILLISECOND // 2 // len(groups)
            for number, names in enumerate(groups, 1):
                self._submit_changes(coordinator, discovery, names, is_last=number == len(groups))
                yield None, 0, self.loop.now + pause
                self._log_reports()

    def _groups(self, names: list[str]) -> list[list[str]]:
        """Split backend names into groups that are short to read; without names there is one empty group."""
        size = max(1, LINKS_PER_GROUP // max(1, len(self.identity.zones)))
        return [names[start : start + size] for start in range(0, len(names), size)] or [[]]

    def _restore(self, coordinator: Coordinator) -> None:
        restored = self.recovery.restore(coordinator, self.loop.now, self._clocks())
        written = self.recovery.written_at
        if restored and written:
            self.log.event(
                "snapshot_restored",
                age_ms=(self.loop.now - written.wall) // MILLISECOND,
                backends=len(restored.backends),
                links=restored.link_count,
                ejected=restored.ejected_count,
                overloaded=restored.fleet.is_overloaded,
                admitted_share=round(restored.fleet.admitted_share, 3),
                skipped=restored.skipped,
                own_list=self.recovery.uses_stored_list,
            )
        elif self.recovery.rejection != NO_RECORD_REASON:
            self.log.event("snapshot_ignored", reason=self.recovery.rejection)

    def _submit_changes(
        self, coordinator: Coordinator, discovery: EndpointSource, names: list[str], is_last: bool
    ) -> None:
        changes = self.recovery.collect_changes(
            coordinator, discovery.addresses, discovery.index, self.loop.now, names, is_last
        )
        if changes:
            self.writer.submit(changes)

    def _log_reports(self) -> None:
        for report in self.writer.drain():
            self.log.event(report.event, **report.fields)
