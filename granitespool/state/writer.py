"""Writer: a thread that owns the state folder and its store.

A sync may take any time, so the event loop submits changes to the thread and does not wait for the disk. Only
the newest value of each key is queued. A failure of the disk is logged once, writes are retried with backoff,
and the recovery is logged once. change_filter and restore_policy select the values to write and restore.
"""

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from granitespool.state import record as records
from granitespool.state.disk import Folder
from granitespool.state.errors import CorruptRecordError, FolderLockedError, UnsupportedFormatError
from granitespool.state.record import Changes, Clocks, Header, Record
from granitespool.state.store import Store, StoredState, read_newest

MB = 1 << 20
RETRY_DELAY_MIN = 0.5  # s before the first retry of a failed write
RETRY_DELAY_MAX = 30.0  # s between later retries; short, so that a repaired disk is soon used again
MAX_REPORTS = 64  # maximum number of log reports that wait for the loop; a failure or recovery adds one


class LogReport(NamedTuple):
    """Event of the thread that the event loop writes to the log."""

    event: str
    fields: dict[str, Any]


@dataclass
class FolderContent:
    """Contents of the folder when it was opened, and the problems that were found."""

    state: StoredState | None = None
    record: Record | None = None
    problems: list[str] = field(default_factory=list)
    reason: str | None = None  # one sentence on why nothing was read; None if the folder was read
    lock_error: str | None = None  # error message if another process has locked the folder
    is_writable: bool = True  # False if the format is too new; the folder is then left untouched


def read_folder(folder: Folder, max_size: int) -> FolderContent:
    """Read a folder without changing it; files of more than `max_size` bytes are skipped."""
    try:
        state, problems = read_newest(folder, max_size)
    except UnsupportedFormatError as error:
        return FolderContent(reason=f"{error}, so it is left untouched", is_writable=False)
    if state is None:
        return FolderContent(problems=problems)
    try:
        record = records.decode_record(state.header.format_version, state.values)
    except CorruptRecordError as error:
        return FolderContent(state, problems=[*problems, f"{state.name}: {error}"])
    return FolderContent(state, record, problems)


class Backoff:
    """Exponential backoff between operations on a failing disk; times are in s."""

    def __init__(self) -> None:
        self.delay = RETRY_DELAY_MIN

    def next_delay(self) -> float:
        """Return the next delay; it doubles with each call up to RETRY_DELAY_MAX."""
        delay = self.delay
        self.delay = min(RETRY_DELAY_MAX, delay * 2)
        return delay


class Writer:
    """Thread that writes changes to a folder; its public methods are called by the event loop."""

    def __init__(
        self,
        folder: Folder,
        max_mb: int,
        make_header: Callable[[int], Header],
        wake: Callable[[], None],
        clocks: Callable[[], Clocks],
    ) -> None:
        """Start the thread.

        `make_header` is called with the number of this start of the coordinator. `wake` makes the event
        loop call `drain`.
        """
        self.folder = folder
        self.max_size = max_mb * MB
        self.make_header = make_header
        self.wake = wake
        self.clocks = clocks
        self.synced_at = 0  # wall clock in ns at which the newest durable batch was taken
        self.bytes_written = 0
        self.batches_written = 0
        self.is_failing = False  # whether the last report was a failure
        self.durable_ticket = 0  # highest ticket whose changes are durable
        self._condition = threading.Condition()  # lock for the next five attributes
        self._pending: Changes = {}
        self._is_closing = False
        self._reports: deque[LogReport] = deque(maxlen=MAX_REPORTS)
        self._tickets = 0  # number of submitted batches; the number of a batch is its ticket
        self._is_awaited = False  # whether to wake the loop once pending changes are durable
        self._content: FolderContent | None = None
        self._is_open = threading.Event()
        self._thread = threading.Thread(target=self._run, name="granitespool-state", daemon=True)
        self._thread.start()

    # Called by the event loop

    def wait_until_open(self, timeout: float) -> FolderContent | None:
        """Return the contents of the folder, or None if reading takes longer than `timeout` (s).

        If it returns None, nothing is restored.
        """
        is_open = self._is_open.wait(timeout)
        content = self._content
        self._content = None
        return content if is_open else None

    def submit(self, changes: Changes) -> int:
        """Queue changes for writing; a newer value replaces one that is still pending.

        Returns a ticket: the changes are durable once `durable_ticket` has reached it.
        """
        with self._condition:
            self._pending.update(changes)
            self._tickets += 1
            self._is_awaited = self._is_awaited or records.MANAGED_SETTINGS_KEY in changes
            self._condition.notify()
            return self._tickets

    def set_max_mb(self, max_mb: int) -> None:
        """Set the maximum size of the folder in MiB."""
        self.max_size = max_mb * MB

    def pending_count(self) -> int:
        """Return the number of values that wait for the disk."""
        with self._condition:
            return len(self._pending)

    def drain(self) -> list[LogReport]:
        """Return the log reports of the thread since the last call."""
        with self._condition:
            reports = list(self._reports)
            self._reports.clear()
        return reports

    def close(self, timeout: float) -> bool:
        """Request a last snapshot and return whether the thread has ended within `timeout` (s).

        The folder is unlocked when the thread or the process ends.
        """
        with self._condition:
            self._is_closing = True
            self._condition.notify()
        return self.join(timeout)

    def join(self, timeout: float) -> bool:
        """Wait up to `timeout` (s) for the thread to end, and return whether it has ended."""
        self._thread.join(timeout)
        return not self._thread.is_alive()

    # Runs in the thread

    def _report(self, event: str, **fields: Any) -> None:
        self.is_failing = event != "state_write_recovered"
        with self._condition:
            self._reports.append(LogReport(event, fields))
            if not self._is_closing:  # a loop that has ended may have freed the descriptor for other uses
                self.wake()

    def _run(self) -> None:
        try:
            store = self._open()
            if store:
                self._write_until_closed(store)
        except Exception as error:
            self._report("state_write_failed", reason=f"{type(error).__name__}: {error}", retry=False)
        finally:
            self._is_open.set()
            self.folder.close()

    def _open(self) -> Store | None:
        """Return the store, or None if the folder must not be written."""
        content = self._open_with_retries()
        if content is None:
            return None
        if not self._is_open.is_set():
            self._content = content
        if not content.is_writable:
            return None
        start_number = content.state.header.start_number + 1 if content.state else 1
        store = Store(self.folder, self.max_size, lambda: self.make_header(start_number))
        if content.state:
            store.generation = content.state.generation
        self._is_open.set()
        return store

    def _open_with_retries(self) -> FolderContent | None:
        """Return the contents of the folder, or None if it is locked or the writer is closing."""
        backoff = Backoff()
        has_failed = False
        while True:
            try:
                self.folder.create()
                self.folder.acquire_lock()
                content = read_folder(self.folder, self.max_size)
            except FolderLockedError as error:
                self._content = FolderContent(reason=str(error), lock_error=str(error))
                if self._is_open.is_set():
                    self._report("state_write_failed", reason=str(error), retry=False)
                return None
            except OSError as error:
                self.folder.close()
                self._report_failure(error, has_failed)
                has_failed = True
                if self._content is None:
                    self._content = FolderContent(reason=f"the folder cannot be used: {error.strerror}")
                self._is_open.set()  # let the service start despite the failing disk
                if self._pause(backoff.next_delay()):
                    return None
            else:
                if has_failed:
                    self._report("state_write_recovered")
                return content

    def _report_failure(self, error: OSError, is_reported: bool) -> None:
        if not is_reported:
            self._report("state_write_failed", reason=error.strerror or str(error), retry=True)

    def _pause(self, seconds: float) -> bool:
        """Wait for `seconds` or until the writer is closing; return whether it is closing."""
        with self._condition:
            return self._condition.wait_for(lambda: self._is_closing, seconds)

    def _write_until_closed(self, store: Store) -> None:
        """Write submitted changes until the writer is closed."""
        while not self._write_next(store):
            pass

    def _write_next(self, store: Store) -> bool:
        """Write the next batch, with retries; return whether it was the last one."""
        backoff = Backoff()
        has_failed = False
        while True:
            changes, ticket, is_closing = self._take_pending(at_once=has_failed)
            clocks = self.clocks()
            try:
                store.max_size = self.max_size
                if has_failed:
                    self.folder.ensure_lock()
                self._write(store, clocks, changes, is_last=is_closing)
            except OSError as error:  # the store keeps the changes for the next attempt
                self._report_failure(error, has_failed)
                has_failed = True
                if is_closing or self._pause(backoff.next_delay()):
                    return True
            except FolderLockedError as error:
                self._report("state_write_failed", reason=str(error), retry=False)
                return True
            else:
                if has_failed:
                    self._report("state_write_recovered")
                self._record_written(store, clocks, ticket)
                return is_closing

    def _take_pending(self, at_once: bool) -> tuple[Changes, int, bool]:
        """Return the pending changes, their last ticket and whether the writer is closing.

        Waits until there are changes or the writer is closing, unless `at_once` is set.
        """
        with self._condition:
            self._condition.wait_for(lambda: self._pending or self._is_closing or at_once)
            changes = self._pending
            self._pending = {}
            return changes, self._tickets, self._is_closing

    @staticmethod
    def _write(store: Store, clocks: Clocks, changes: Changes, is_last: bool) -> None:
        if is_last:  # write a snapshot of all values, so that the next start reads no changes
            store.stage(changes)
            store.write_snapshot(clocks)
        else:
            store.append(clocks, changes)

    def _record_written(self, store: Store, clocks: Clocks, ticket: int) -> None:
        self.synced_at = clocks.wall
        self.bytes_written = store.bytes_written
        self.batches_written += 1
        with self._condition:
            self.durable_ticket = ticket
            if self._is_awaited and not self._is_closing:
                self.wake()  # a manager waits until its settings are durable
            self._is_awaited = False
