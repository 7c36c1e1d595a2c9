"""The folder on the disk: the only module of the package that touches it.

`StateFolder` has just the calls that a store needs, so that tests can put another one in its place that fails
or loses what was not synced. Every call may raise OSError.
"""

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

from granitespool.state.errors import FolderLockedError

LOCK_NAME = "lock"  # the file whose lock says which process owns the folder
FOLDER_MODE = 0o700
FILE_MODE = 0o600


class Folder(Protocol):
    """A folder of plain files as the store and the writer use it; names are without a path."""

    def create(self) -> None:
        """Make sure that the folder is there; its parents must be."""

    def acquire_lock(self) -> None:
        """Own the folder until `close`, or raise FolderLockedError."""

    def ensure_lock(self) -> None:
        """Own the folder still, also where another came in its place; or raise FolderLockedError."""

    def names(self) -> list[str]:
        """Return the names of its files in order."""

    def read(self, name: str, max_size: int) -> bytes:
        """Return at most the first `max_size` bytes of a file."""

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""

    def append(self, name: str, data: bytes) -> None:
        """Add to a file, created where it is not there; not durable before `sync`."""

    def sync(self, name: str) -> None:
        """Make durable what was appended to a file, also under its former name."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file; not durable before `sync_names`."""

    def unlink(self, name: str) -> None:
        """Remove a file; a reader must not mind one that comes back after a crash."""

    def sync_names(self) -> None:
        """Make durable which names were created, renamed and removed."""

    def close_file(self, name: str) -> None:
        """Release the descriptor of a file."""

    def close(self) -> None:
        """Release all descriptors, and the lock with them."""


class StateFolder:
    """A folder on a real disk; `append` keeps a file's descriptor open until `close_file`."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.lock_fd: int | None = None
        self._descriptors: dict[str, int] = {}

    def _path_of(self, name: str) -> Path:
        return Path(self.path) / name

    def create(self) -> None:
        """Make sure that the folder is there; its parents must be."""
        with contextlib.suppress(FileExistsError):  # a file in its place is reported by `acquire_lock`
            Path(self.path).mkdir(mode=FOLDER_MODE)

    def acquire_lock(self) -> None:
        """Own the folder until `close` or the process's end, or raise FolderLockedError."""
        fd = os.open(self._path_of(LOCK_NAME), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise FolderLockedError(self.path) from None
            raise
        self.lock_fd = fd

    def ensure_lock(self) -> None:
        """Own the folder still, also where it was removed and another came in its place.

        Raises FolderLockedError where another process owns the one that is there now.
        """
        if not self._holds_lock_file():
            self.close()
            self.acquire_lock()

    def _holds_lock_file(self) -> bool:
        if self.lock_fd is None:
            return False
        try:
            return os.path.samestat(os.fstat(self.lock_fd), self._path_of(LOCK_NAME).stat())
        except FileNotFoundError:
            return False

    def names(self) -> list[str]:
        """Return the names of its files in order."""
        return sorted(entry.name for entry in Path(self.path).iterdir())

    def read(self, name: str, max_size: int) -> bytes:
        """Return at most the first `max_size` bytes of a file."""
        with self._path_of(name).open("rb") as file:
            return file.read(max_size)

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return self._path_of(name).stat().st_size

    def append(self, name: str, data: bytes) -> None:
        """Add to a file, created where it is not there; not durable before `sync`."""
        fd = self._descriptors.get(name)
        if fd is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            fd = os.open(self._path_of(name), flags, FILE_MODE)
            self._descriptors[name] = fd
        elif os.fstat(fd).st_nlink == 0:
            # The folder was removed: what is written to a file without a name is lost with the process.
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]

    def sync(self, name: str) -> None:
        """Make durable what was appended to a file, also under its former name."""
        os.fsync(self._descriptors[name])

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file; not durable before `sync_names`."""
        self._path_of(name).rename(self._path_of(new_name))
        if name in self._descriptors:
            self._descriptors[new_name] = self._descriptors.pop(name)

    def unlink(self, name: str) -> None:
        """Remove a file; a reader must not mind one that comes back after a crash."""
        self.close_file(name)
        self._path_of(name).unlink()

    def sync_names(self) -> None:
        """Make durable which names were created, renamed and removed."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close_file(self, name: str) -> None:
        """Release the descriptor of a file."""
        fd = self._descriptors.pop(name, None)
        if fd is not None:
            os.close(fd)

    def close(self) -> None:
        """Release all descriptors, and the lock with them."""
        for name in list(self._descriptors):
            self.close_file(name)
        if self.lock_fd is not None:
            fd = self.lock_fd
            self.lock_fd = None
            os.close(fd)
