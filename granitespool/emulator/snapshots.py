"""Save an emulated coordinator's state to a state folder, and restore it into the next incarnation."""

from granitespool import __version__
from granitespool.coordinator import Coordinator
from granitespool.emulator.coordinator_host import RestoreCallback
from granitespool.emulator.emulation import Emulation
from granitespool.emulator.schema import RestartSettings
from granitespool.state import record, restore_policy
from granitespool.state.disk import Folder
from granitespool.state.record import Clocks
from granitespool.state.recovery import Recovery
from granitespool.state.store import Store
from granitespool.state.writer import read_folder
from granitespool.units import MILLISECOND, SECOND

MAX_FOLDER_BYTES = 64 << 20
HEADER_INCARNATION = 1  # number of the incarnation, written to the snapshot header


class SnapshotRecorder:
    """Recorder that periodically writes changed state to a folder while the first incarnation runs."""

    def __init__(self, emulation: Emulation, settings: RestartSettings, folder: Folder) -> None:
        self.emulation = emulation
        self.settings = settings
        self.folder = folder
        self.identity = restore_policy.Identity("lab", list(emulation.setup.classes), emulation.zones)
        self.recovery = Recovery(settings, self.identity)
        self.store = Store(folder, MAX_FOLDER_BYTES, self._header)

    def start(self) -> None:
        """Start recording the running incarnation."""
        self._schedule(self.emulation.now)

    def _header(self) -> record.Header:
        now = self.emulation.now
        return record.Header(record.FORMAT_VERSION, *self.identity, now, now, HEADER_INCARNATION, __version__)

    def _schedule(self, when: int) -> None:
        self.emulation.clock.call_at(when, self._write, self.emulation.host.incarnation)

    def _write(self, incarnation: int) -> None:
        now = self.emulation.now
        coordinator = self.emulation.host.running(incarnation)
        if coordinator is None:
            return
        self._schedule(now + self.settings.every_ms * MILLISECOND // 2)
        changes = self.recovery.collect_changes(
            coordinator, {}, 0, now, list(coordinator.endpoint_states()), is_last=True
        )
        if changes:
            self.store.append(Clocks(now, now), changes)

    def restore(self, age_s: float) -> RestoreCallback:
        """Read the snapshot in the folder; return a callback that restores a coordinator from it.

        The snapshot is treated as if it were older by `age_s` seconds.
        """
        now = self.emulation.now
        read_at = now + int(age_s * SECOND)
        clocks = Clocks(read_at, read_at)
        content = read_folder(self.folder, MAX_FOLDER_BYTES)
        recovery = Recovery(self.settings, self.identity)
        recovery.load(content.state, content.record, content.reason, clocks)

        def restore(coordinator: Coordinator) -> None:
            recovery.restore(coordinator, now, clocks)

        return restore
