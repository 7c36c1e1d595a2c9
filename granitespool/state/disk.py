"""The state folder on disk; no other module of the package accesses the file system.

`Folder` declares only the operations that a store needs. Tests implement them with a fake folder that
fails or loses data that was not synced. Every operation may raise OSError.
"""

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

from granitespool.state.errors import FolderLockedError

LOCK_NAME = "lock"  # file that is locked by the process that owns the folder
FOLDER_MODE = 0o700
FILE_MODE = 0o600


class Folder(Protocol):
    """Operations of the store and the writer on a folder of plain files; file names contain no path."""

    def create(self) -> None:
        """Create the folder unless it exists; its parents must exist."""

    def acquire_lock(self) -> None:
        """Lock the folder until `close`; raise FolderLockedError if another process has locked it."""

    def ensure_lock(self) -> None:
        """Lock the folder again if it was replaced by a new folder.

        Raises FolderLockedError if another process has locked the new folder.
        """

    def names(self) -> list[str]:
        """Return the names of the files, sorted."""

    def read(self, name: str, max_size: int) -> bytes:
        """Return at most the first `max_size` bytes of a file."""

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if missing; not durable before `sync`."""

    def sync(self, name: str) -> None:
        """Make all appended data of a file durable, also the data appended under an earlier name."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file; not durable before `sync_names`."""

    def unlink(self, name: str) -> None:
        """Remove a file; it may reappear after a crash, which readers have to tolerate."""

    def sync_names(self) -> None:
        """Make created, renamed and removed names durable."""

    def close_file(self, name: str) -> None:
        """Close the descriptor of a file."""

    def close(self) -> None:
        """Close all descriptors, which also releases the lock."""


class StateFolder:
    """A folder on a real disk; `append` keeps the descriptor of a file open until `close_file`."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.lock_fd: int | None = None
        self._descriptors: dict[str, int] = {}

    def _path_of(self, name: str) -> Path:
        return Path(self.path) / name

    def create(self) -> None:
        """Create the folder unless it exists; its parents must exist."""
        with contextlib.suppress(FileExistsError):  # `acquire_lock` reports a plain file of that name
            Path(self.path).mkdir(mode=FOLDER_MODE)

    def acquire_lock(self) -> None:
        """Lock the folder until `close` or the end of the process.

        Raises FolderLockedError if another process has locked it.
        """
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
        """Lock the folder again if it was removed and created anew.

        Raises FolderLockedError if another process has locked the new folder.
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
        """Return the names of the files, sorted."""
        return sorted(entry.name for entry in Path(self.path).iterdir())

    def read(self, name: str, max_size: int) -> bytes:
        """Return at most the first `max_size` bytes of a file."""
        with self._path_of(name).open("rb") as file:
            return file.read(max_size)

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return self._path_of(name).stat().st_size

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if missing; not durable before `sync`."""
        fd = self._descriptors.get(name)
        if fd is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            fd = os.open(self._path_of(name), flags, FILE_MODE)
            self._descriptors[name] = fd
        elif os.fstat(fd).st_nlink == 0:
            # The file was removed with its folder. Data written to it would be lost when the process ends.
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]

    def sync(self, name: str) -> None:
        """Make all appended data of a file durable, also the data appended under an earlier name."""
        os.fsync(self._descriptors[name])

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file; not durable before `sync_names`."""
        self._path_of(name).rename(self._path_of(new_name))
        if name in self._descriptors:
            self._descriptors[new_name] = self._descriptors.pop(name)

    def unlink(self, name: str) -> None:
        """Remove a file; it may reappear after a crash, which readers have to tolerate."""
        self.close_file(name)
        self._path_of(name).unlink()

    def sync_names(self) -> None:
        """Make created, renamed and removed names durable."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close_file(self, name: str) -> None:
        """Close the descriptor of a file."""
        fd = self._descriptors.pop(name, None)
        if fd is not None:
            os.close(fd)

    def close(self) -> None:
        """Close all descriptors, which also releases the lock."""
        for name in list(self._descriptors):
            self.close_file(name)
        if self.lock_fd is not None:
            fd = self.lock_fd
            self.lock_fd = None
            os.close(fd)
