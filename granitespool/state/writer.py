"""The writer: one thread that owns the folder and its store, since a sync takes as long as the disk likes.

The loop hands over changes and never waits; what waits for the disk is one value a key, the newest. A disk
that fails is reported once, tried again with growing pauses, and reported once more when it works again. No
decision is taken here: what is worth a write and what is restored stand in change_filter and restore_policy.
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
RETRY_DELAY_MIN = 0.5  # s before a failed write is tried again
RETRY_DELAY_MAX = 30.0  # s between attempts at most: a repaired disk is used again soon
MAX_REPORTS = 64  # reports for the loop that wait at most: each is made once a change of state


class LogReport(NamedTuple):
    """A line for the log, which the loop writes."""

    event: str
    fields: dict[str, Any]


@dataclass
class FolderContent:
    """What the folder held when it was opened, and what was wrong with it."""

    state: StoredState | None = None
    record: Record | None = None
    problems: list[str] = field(default_factory=list)
    reason: str | None = None  # one sentence where nothing was read
    lock_error: str | None = None  # one sentence where another process owns the folder
    is_writable: bool = True  # False: it is of a newer format and left untouched


def read_folder(folder: Folder, max_size: int) -> FolderContent:
    """Return what a folder holds, and change nothing in it; files over `max_size` bytes are not ours."""
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
    """The pauses between attempts at a disk that fails; times in s."""

    def __init__(self) -> None:
        self.delay = RETRY_DELAY_MIN

    def next_delay(self) -> float:
        """Return the pause before the next attempt, which doubles each time up to the longest."""
        delay = self.delay
        self.delay = min(RETRY_DELAY_MAX, delay * 2)
        return delay


class Writer:
    """`submit`, `drain` and `close` are the loop's side; all else runs in the thread."""

    def __init__(
        self,
        folder: Folder,
        max_mb: int,
        make_header: Callable[[int], Header],
        wake: Callable[[], None],
        clocks: Callable[[], Clocks],
    ) -> None:
        """Start the thread; `make_header` gets the number of the start, `wake` has the loop call `drain`."""
        self.folder = folder
        self.max_size = max_mb * MB
        self.make_header = make_header
        self.wake = wake
        self.clocks = clocks
        self.synced_at = 0  # ns, wall clock of the newest batch that is durable
        self.bytes_written = 0
        self.batches_written = 0
        self.is_failing = False  # whether the last report about the disk was a bad one
        self.durable_ticket = 0  # the last ticket whose changes are durable
        self._condition = threading.Condition()  # guards the next five
        self._pending: Changes = {}
        self._is_closing = False
        self._reports: deque[LogReport] = deque(maxlen=MAX_REPORTS)
        self._tickets = 0  # of what was submitted
        self._is_awaited = False  # whether the loop is to look as soon as it is durable
        self._content: FolderContent | None = None
        self._is_opened = threading.Event()
        self._thread = threading.Thread(target=self._run, name="granitespool-state", daemon=True)
        self._thread.start()

    # The loop's side

    def wait_until_open(self, timeout: float) -> FolderContent | None:
        """Return what the folder held, or None where it could not be read within `timeout` s.

        What it held is not restored then.
        """
        in_time = self._is_opened.wait(timeout)
        content = self._content
        self._content = None
        return content if in_time else None

    def submit(self, changes: Changes) -> int:
        """Have changes written; a newer value takes the place of one that still waits.

        Returns a ticket: the changes are on the disk once `durable_ticket` has reached it.
        """
        with self._condition:
            self._pending.update(changes)
            self._tickets += 1
            self._is_awaited = self._is_awaited or records.MANAGED_SETTINGS_KEY in changes
            self._condition.notify()
            return self._tickets

    def set_max_mb(self, max_mb: int) -> None:
        """Set how much the folder may hold."""
        self.max_size = max_mb * MB

    def pending_count(self) -> int:
        """Return how many values wait for the disk."""
        with self._condition:
            return len(self._pending)

    def drain(self) -> list[LogReport]:
        """Return what the thread has reported since the last call."""
        with self._condition:
            reports = list(self._reports)
            self._reports.clear()
        return reports

    def close(self, timeout: float) -> bool:
        """Have a last snapshot written; True when it is durable within `timeout` s.

        The folder is released by the thread when it ends, at the latest with the process.
        """
        with self._condition:
            self._is_closing = True
            self._condition.notify()
        return self.join(timeout)

    def join(self, timeout: float) -> bool:
        """Wait for the thread's end; True where it has ended within `timeout` s."""
        self._thread.join(timeout)
        return not self._thread.is_alive()

    # The thread

    def _report(self, event: str, **fields: Any) -> None:
        self.is_failing = event != "state_write_recovered"
        with self._condition:
            self._reports.append(LogReport(event, fields))
            if not self._is_closing:  # the loop may be gone by then, and its descriptor another's
                self.wake()

    def _run(self) -> None:
        try:
            store = self._open()
            if store:
                self._serve(store)
        except Exception as error:
            self._report("state_write_failed", reason=f"{type(error).__name__}: {error}", retry=False)
        finally:
            self._is_opened.set()
            self.folder.close()

    def _open(self) -> Store | None:
        """Return the store, or None where this folder is not to be written."""
        content = self._open_with_retries()
        if content is None:
            return None
        if not self._is_opened.is_set():
            self._content = content
        if not content.is_writable:
            return None
        start_number = content.state.header.start_number + 1 if content.state else 1
        store = Store(self.folder, self.max_size, lambda: self.make_header(start_number))
        if content.state:
            store.generation = content.state.generation
        self._is_opened.set()
        return store

    def _open_with_retries(self) -> FolderContent | None:
        """Return what the folder holds, or None where it is locked or the end came first."""
        backoff = Backoff()
        has_failed = False
        while True:
            try:
                self.folder.create()
                self.folder.acquire_lock()
                content = read_folder(self.folder, self.max_size)
            except FolderLockedError as error:
                self._content = FolderContent(reason=str(error), lock_error=str(error))
                if self._is_opened.is_set():
                    self._report("state_write_failed", reason=str(error), retry=False)
                return None
            except OSError as error:
                self.folder.close()
                self._report_failure(error, has_failed)
                has_failed = True
                if self._content is None:
                    self._content = FolderContent(reason=f"the folder cannot be used: {error.strerror}")
                self._is_opened.set()  # a start does not wait for a broken disk
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
        """Wait; True where the end came meanwhile."""
        with self._condition:
            return self._condition.wait_for(lambda: self._is_closing, seconds)

    def _serve(self, store: Store) -> None:
        """Write what is submitted until the end."""
        while not self._write_next(store):
            pass

    def _write_next(self, store: Store) -> bool:
        """Write the next batch, however often that takes; True where nothing is to follow."""
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
            except OSError as error:  # the store holds what it was handed, and writes it next time
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
                self._note_written(store, clocks, ticket)
                return is_closing

    def _take_pending(self, at_once: bool) -> tuple[Changes, int, bool]:
        """Return the changes that wait, the last ticket among them and whether they are the last."""
        with self._condition:
            self._condition.wait_for(lambda: self._pending or self._is_closing or at_once)
            changes = self._pending
            self._pending = {}
            return changes, self._tickets, self._is_closing

    @staticmethod
    def _write(store: Store, clocks: Clocks, changes: Changes, is_last: bool) -> None:
        if is_last:  # one snapshot with all that is held, so that the next start reads no changes after it
            store.stage(changes)
            store.write_snapshot(clocks)
        else:
            store.append(clocks, changes)

    def _note_written(self, store: Store, clocks: Clocks, ticket: int) -> None:
        self.synced_at = clocks.wall
        self.bytes_written = store.bytes_written
        self.batches_written += 1
        with self._condition:
            self.durable_ticket = ticket
            if self._is_awaited and not self._is_closing:
                self.wake()  # a manager waits for it
            self._is_awaited = False
