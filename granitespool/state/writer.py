"""The writer: one thread that owns the folder and its store, since a sync blocks for as long as the disk
likes.

The loop hands over changes and never waits; what waits for the disk is one value a key, the newest. A disk
that fails is told once, tried again with growing pauses, and told once more when it is well. No decision is
taken here: what is worth writing and what is believed stand in ledger and trust."""

import threading
from collections import deque

from granitespool.state import record
from granitespool.state.disk import Owned
from granitespool.state.record import Spoilt
from granitespool.state.store import Newer, Store, recover

MB = 1 << 20
PAUSE_FIRST = 0.5  # s before a failed write is tried again
PAUSE_MOST = 30.0  # s between tries at most: a disk that was mended is used again within half a minute
TOLD_MOST = 64  # words for the loop that wait at most: each is told once a change of state


class Opened:
    """What the folder held when it was opened: a Found and its Kept, or None for both; and what was wrong."""

    def __init__(self, found=None, kept=None, problems=(), why=None):
        self.found, self.kept, self.problems, self.why = found, kept, problems, why
        self.owned = None  # one sentence where another process owns the folder


def read_back(folder, most):
    """Opened of a folder, without changing anything in it."""
    try:
        found, problems = recover(folder, most)
    except Newer as error:
        return Opened(why=f"{error}, so it is left untouched"), True
    if found is None:
        return Opened(problems=problems), False
    try:
        return Opened(found, record.kept(found.header.format, found.held), problems), False
    except Spoilt as error:
        return Opened(problems=[*problems, f"{found.name}: {error}"]), False


class Writer:
    """`submit` and `drain` are the loop's side, all else runs in the thread."""

    def __init__(self, folder, most_mb, header, wake, clocks):
        """`header(start)` gives a Header; `wake()` has the loop look at `drain`; `clocks()` gives (wall,
        mono)."""
        self.folder, self.most, self.wake, self.clocks = folder, most_mb * MB, wake, clocks
        self.header = header
        self.changed = threading.Condition()  # guards all below up to the thread
        self.pending, self.closing, self.told = {}, False, deque(maxlen=TOLD_MOST)
        self.synced, self.written, self.writes = 0, 0, 0  # wall ns of the newest batch; bytes; batches
        self.failing = False  # whether the last word about the disk was a bad one
        self.awaited = False  # whether the loop is to look as soon as it is safe
        self.tickets = self.safe = 0  # of what was submitted; the last that is on the disk
        self.opened, self.ready = None, threading.Event()
        self.thread = threading.Thread(target=self._run, name="granitespool-state", daemon=True)
        self.thread.start()

    # The loop's side

    def wait_opened(self, seconds):
        """Opened, or None where the folder could not be read in time; then what it held is not recalled."""
        in_time = self.ready.wait(seconds)
        opened, self.opened = self.opened, None
        return opened if in_time else None

    def submit(self, changes):
        """{key: bytes, or None where it goes}; a newer value takes the place of one that still waits.
        Returns a ticket: the changes are on the disk once `safe` has reached it."""
        with self.changed:
            self.pending.update(changes)
            self.tickets += 1
            self.awaited = self.awaited or record.MANAGED in changes
            self.changed.notify()
            return self.tickets

    def limit(self, most_mb):
        self.most = most_mb * MB

    def drain(self):
        """What the thread has to tell since, as (event, fields)."""
        with self.changed:
            told = list(self.told)
            self.told.clear()
        return told

    def close(self, seconds):
        """Has a last snapshot written; True when it is safe within so many seconds. The folder is given up by
        the thread when it ends, at the latest with the process."""
        with self.changed:
            self.closing = True
            self.changed.notify()
        self.thread.join(seconds)
        return not self.thread.is_alive()

    # The thread

    def _tell(self, event, **fields):
        self.failing = event != "state_write_recovered"
        with self.changed:
            self.told.append((event, fields))
            if not self.closing:  # the loop may be gone by then, and its descriptor another's
                self.wake()

    def _run(self):
        try:
            store = self._open()
            if store:
                self._serve(store)
        except Exception as error:  # a fault of ours: the service goes on without a memory
            self._tell("state_write_failed", reason=f"{type(error).__name__}: {error}", retry=False)
        finally:
            self.ready.set()
            self.folder.close()

    def _open(self):
        """The Store, or None where this folder is not to be written."""
        pause, failed = PAUSE_FIRST, False
        while True:
            try:
                self.folder.make()
                self.folder.lock()
                opened, untouched = read_back(self.folder, self.most)
                break
            except Owned as error:
                self.opened = Opened(why=str(error))
                self.opened.owned = str(error)
                if self.ready.is_set():
                    self._tell("state_write_failed", reason=str(error), retry=False)
                return None
            except OSError as error:
                self.folder.close()
                failed = self._failed(error, failed)
                self.opened = self.opened or Opened(why=f"the folder cannot be used: {error.strerror}")
                self.ready.set()  # a start does not wait for a broken disk
                if self._rest(pause):
                    return None
                pause = min(PAUSE_MOST, pause * 2)
        if failed:
            self._tell("state_write_recovered")
        if not self.ready.is_set():
            self.opened = opened
        if untouched:
            return None
        start = opened.found.header.start + 1 if opened.found else 1
        store = Store(self.folder, self.most, lambda: self.header(start))
        if opened.found:
            store.generation = opened.found.generation
        self.ready.set()
        return store

    def _failed(self, error, told):
        if not told:
            self._tell("state_write_failed", reason=error.strerror or str(error), retry=True)
        return True

    def _rest(self, seconds):
        """True where the end came meanwhile."""
        with self.changed:
            return self.changed.wait_for(lambda: self.closing, seconds)

    def _serve(self, store):
        failed, again, pause = False, False, PAUSE_FIRST  # again: something that failed is to be written
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.pending or self.closing or again)  # noqa: B023
                changes, self.pending, closing = self.pending, {}, self.closing
                ticket = self.tickets
            wall, mono = self.clocks()
            try:
                store.most = self.most
                if again:
                    self.folder.keep_lock()
                if closing:
                    self._last(store, wall, mono, changes)
                else:
                    store.append(wall, mono, changes)
            except OSError as error:  # the store holds what it was handed, and writes it next time
                failed = self._failed(error, failed)
                if closing or self._rest(pause):
                    return
                pause, again = min(PAUSE_MOST, pause * 2), True
                continue
            except Owned as error:
                return self._tell("state_write_failed", reason=str(error), retry=False)
            if failed:
                self._tell("state_write_recovered")
            failed, again, pause = False, False, PAUSE_FIRST
            self.synced, self.written, self.writes = wall, store.written, self.writes + 1
            with self.changed:
                self.safe = ticket
                if self.awaited and not self.closing:
                    self.wake()  # a manager waits for it
                self.awaited = False
            if closing:
                return

    @staticmethod
    def _last(store, wall, mono, changes):
        """One snapshot with all that is held, so that the next start reads no changes after it."""
        store.take(changes)
        store.begin(wall, mono)
