"""The folder on the disk: the one file of the package that touches it.

`Folder` has just the calls that a store needs, so that tests can put another one in its place that fails or
forgets what was not synced. Every call may end in OSError."""

import errno
import fcntl
import os

LOCK = "lock"  # the file whose lock says which process owns the folder


class Owned(Exception):
    """Another process owns the folder."""


class Folder:
    """A folder of plain files; names are without a path. `append` keeps its descriptor until `close`."""

    def __init__(self, path):
        self.path, self.lock_fd, self.open = path, None, {}  # name -> descriptor that is appended to

    def _at(self, name):
        return os.path.join(self.path, name)

    def make(self):
        """The folder is there afterwards; its parents must be."""
        try:
            os.mkdir(self.path, 0o700)
        except FileExistsError:
            pass

    def lock(self):
        """Owns the folder until `close` or the process's end, or ends in Owned."""
        fd = os.open(self._at(LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise Owned(f"the state folder {self.path} is in use by another process") from None
            raise
        self.lock_fd = fd

    def keep_lock(self):
        """Owns the folder still, also where it was taken away and another came in its place; or Owned."""
        try:
            same = self.lock_fd is not None and os.path.samestat(
                os.fstat(self.lock_fd), os.stat(self._at(LOCK))
            )
        except FileNotFoundError:
            same = False
        if not same:
            self.close()
            self.lock()

    def names(self):
        return sorted(os.listdir(self.path))

    def read(self, name, most):
        """Its first `most` bytes at most."""
        with open(self._at(name), "rb") as file:
            return file.read(most)

    def size(self, name):
        return os.stat(self._at(name)).st_size

    def append(self, name, data):
        """Adds to a file, made where it is not there; not safe before `sync`."""
        fd = self.open.get(name)
        if fd is None:
            fd = os.open(self._at(name), os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            self.open[name] = fd
        elif not os.fstat(fd).st_nlink:
            # The folder was taken away: what is written to a file without a name is gone with the process.
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def sync(self, name):
        """What was appended to a file, also under its former name, is safe afterwards."""
        os.fsync(self.open[name])

    def rename(self, name, new):
        """Not safe before `sync_names`."""
        os.rename(self._at(name), self._at(new))
        if name in self.open:
            self.open[new] = self.open.pop(name)

    def unlink(self, name):
        """Safe or not: who reads must not mind a name that comes back."""
        self.shut(name)
        os.unlink(self._at(name))

    def sync_names(self):
        """Names that were made, moved or removed stay so."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def shut(self, name):
        """Gives the descriptor of a file back."""
        fd = self.open.pop(name, None)
        if fd is not None:
            os.close(fd)

    def close(self):
        for name in list(self.open):
            self.shut(name)
        if self.lock_fd is not None:
            fd, self.lock_fd = self.lock_fd, None
            os.close(fd)  # the lock goes with it
