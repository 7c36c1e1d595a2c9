"""The snapshotter: a coroutine of the loop that brings a coordinator's snapshots to the writer.

It sweeps all backends each half of `every_ms`, a few at a time, so that no turn is long and what was learnt
is on the disk within `every_ms` where the disk takes no longer than the other half. At a start it has the
coordinator restore the record of the former life.
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

OPEN_TIMEOUT = 0.4  # s that a start waits for the folder: a service without its record still serves
CLOSE_TIMEOUT = 0.25  # s for the last snapshot after SIGTERM: 0.7 s pass at least until SIGKILL
LINKS_PER_STEP = 200  # links taken out in one step: a millisecond
FIRST_LIST_POLL = SECOND // 20  # ns between looks whether any list has come
FOLDER_READ_TIMED_OUT = "the folder could not be read in time"


class EventLog(Protocol):
    """The log, as far as it is written here."""

    def event(self, event: str, **fields: Any) -> None:
        """Write one line."""


class EndpointSource(Protocol):
    """What discovery has told."""

    @property
    def has_listed_backends(self) -> bool:
        """Whether any list has named a backend."""

    @property
    def index(self) -> int:
        """Version of the endpoint list."""

    @property
    def addresses(self) -> Mapping[str, tuple[str, int] | None]:
        """The address of each backend, None where none was told."""


class ManagedSettingsTrees(NamedTuple):
    """Trees of settings as managers left them in a former life."""

    base: Tree  # of the files
    running: Tree


class StateMetrics(NamedTuple):
    """What the folder took since the start."""

    bytes_written: int
    batches_written: int
    is_failing: bool


class Snapshotter:
    """Owns the writer, and gives it up in `close`.

    It is made before the coordinator, since the list to start from may be the record's; `start` follows that.
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
        """Open the folder; raise InvalidInputError where another process owns it."""
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
        self._take_content(self.writer.wait_until_open(OPEN_TIMEOUT))

    def _take_content(self, content: FolderContent | None) -> None:
        if content is None:
            self.recovery.rejection = FOLDER_READ_TIMED_OUT
            return
        if content.lock_error:
            raise InvalidInputError(content.lock_error)
        for problem in content.problems:
            self.log.event("state_corrupt", reason=problem)
        carried = self.recovery.load(content.state, content.record, content.reason, self._clocks())
        managed = content.record.managed if content.record else None
        if managed is not None and content.state and content.state.header.name == self.identity.name:
            # Unlike what was learnt these do not age, but they are this coordinator's alone.
            self.managed_settings = ManagedSettingsTrees(managed.base, managed.tree)
            carried[records.MANAGED_SETTINGS_KEY] = records.encode_value(managed)
        if carried:
            self.writer.submit(dict(carried))

    def save_settings(self, tree: Tree | None, base: Tree | None, version: int) -> int:
        """Have settings outlast the process (None: those of the files hold).

        Returns a ticket for `is_durable`.
        """
        value = None
        if tree is not None and base is not None:
            value = records.encode_value(ManagedSettings(self.loop.now, version, base, tree))
        return self.writer.submit({records.MANAGED_SETTINGS_KEY: value})

    def is_durable(self, ticket: int) -> bool:
        """Whether what was saved with this ticket is on the disk."""
        return self.writer.durable_ticket >= ticket

    def metrics(self) -> StateMetrics:
        """Return what the folder took since the start."""
        writer = self.writer
        return StateMetrics(writer.bytes_written, writer.batches_written, writer.is_failing)

    def choose_endpoint_list(self, known: dict[str, Any]) -> dict[str, Any]:
        """Return the endpoint list to start from, in discovery's form."""
        return self.recovery.choose_endpoint_list(known)

    def start(self, coordinator: Coordinator, discovery: EndpointSource) -> None:
        """Begin to take snapshots of a coordinator that was told the first list, or will be."""
        self.coordinator = coordinator
        self.discovery = discovery
        self.loop.spawn(self._run(coordinator, discovery))

    def set_options(self, options: StateSettings) -> None:
        """Take what may change while the service runs: how often, how much, how long it counts."""
        self.options = options
        self.recovery.set_options(options)
        self.writer.set_max_mb(options.most_mb)

    def close(self) -> None:
        """Write a last snapshot, as far as the disk takes it in time."""
        if self.coordinator and self.discovery and self.discovery.has_listed_backends:
            names = list(self.coordinator.endpoint_states())
            self._submit_changes(self.coordinator, self.discovery, names, is_last=True)
        if not self.writer.close(CLOSE_TIMEOUT):
            self.log.event("snapshot_not_saved", reason="the last snapshot was not safe in time")
        self._log_reports()

    def _make_header(self, start_number: int) -> Header:
        return Header(records.FORMAT_VERSION, *self.identity, *self._clocks(), start_number, __version__)

    def _clocks(self) -> Clocks:
        return Clocks(self.loop.clock(), self.monotonic())

    def _run(self, coordinator: Coordinator, discovery: EndpointSource) -> Coroutine:
        while not discovery.has_listed_backends:  # the first list that names anyone is the one to start from
            yield None, 0, self.loop.now + FIRST_LIST_POLL
            self._log_reports()
        self._restore(coordinator)
        while True:
            steps = self._steps(list(coordinator.endpoint_states()))
            pause = self.options.every_ms * MILLISECOND // 2 // len(steps)
            for number, names in enumerate(steps, 1):
                self._submit_changes(coordinator, discovery, names, is_last=number == len(steps))
                yield None, 0, self.loop.now + pause
                self._log_reports()

    def _steps(self, names: list[str]) -> list[list[str]]:
        """Return the names in groups that take a short time each; one empty group without any."""
        size = max(1, LINKS_PER_STEP // max(1, len(self.identity.zones)))
        return [names[at : at + size] for at in range(0, len(names), size)] or [[]]

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
