"""An in-memory folder with faults: a crash may lose, tear or reorder changes that were not synced.

It has the calls of granitespool.state.disk.Folder. An inode has synced and current data; names are durable
only after `sync_names`. The call with the number `crash_at` is interrupted half way by Crash; calls in
`fails` raise OSError.
"""

import errno
import os


class Crash(Exception):
    """The machine has crashed."""


class Inode:
    """A file with its synced and its current data."""

    def __init__(self, data=b""):
        self.safe, self.data = data, data


class FaultyFolder:
    """A stand-in for `Folder` whose calls can fail or be interrupted by a crash."""

    def __init__(self, files=None):
        self.safe_names = {name: Inode(data) for name, data in (files or {}).items()}
        self.present, self.pending = (
            dict(self.safe_names),
            [],
        )  # current names; unsynced changes of names
        self.calls, self.crash_at, self.fails, self.open = 0, None, {}, {}
        self.log = []  # number, call and name of each call so far

    def _call(self, call, name=""):
        """Record a call and return whether the machine crashes in it."""
        self.calls += 1
        self.log.append((self.calls, call, name))
        code = self.fails.get(call)
        if code:
            raise OSError(code, os.strerror(code))
        return self.calls == self.crash_at

    def _there(self, name):
        if name not in self.present:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        return self.present[name]

    def create(self):
        if "create" in self.fails:
            raise OSError(self.fails["create"], os.strerror(self.fails["create"]))

    acquire_lock = ensure_lock = create

    def close(self):
        self.open = {}

    def names(self):
        return sorted(self.present)

    def read(self, name, max_size):
        return self._there(name).data[:max_size]

    def size(self, name):
        return len(self._there(name).data)

    def append(self, name, data):
        if self.fails.get("append"):  # a full disk writes a part of the data
            data = data[: len(data) // 2]
        if name not in self.present:
            self.present[name] = Inode()
            self.pending.append(("make", name, self.present[name]))
        inode = self.present[name]
        self.open[name] = inode
        inode.data += bytes(data)
        if self._call("append", name):
            raise Crash

    def sync(self, name):
        inode = self.open[name]
        if self.fails.get("sync"):  # the system drops the data and reports the error once
            inode.data = inode.safe + bytes(len(inode.data) - len(inode.safe))
        if self._call("sync", name):
            raise Crash
        self.open[name].safe = self.open[name].data

    def rename(self, name, new):
        stops = self._call("rename", name)
        self.present[new] = self.present.pop(name)
        if name in self.open:
            self.open[new] = self.open.pop(name)
        self.pending.append(("rename", name, new))
        if stops:
            raise Crash

    def unlink(self, name):
        stops = self._call("unlink", name)
        self._there(name)
        self.close_file(name)
        del self.present[name]
        self.pending.append(("unlink", name, None))
        if stops:
            raise Crash

    def sync_names(self):
        stops = self._call("sync_names")
        if stops:
            raise Crash
        self.safe_names, self.pending = dict(self.present), []

    def close_file(self, name):
        self.open.pop(name, None)

    def after_crash(self, keep, tear):
        """Return the files after a crash.

        `keep(number)` decides whether an unsynced change of names survives, `tear(data)` returns the
        surviving form of unsynced bytes.
        """
        names = dict(self.safe_names)
        for number, (kind, name, more) in enumerate(self.pending):
            if not keep(number):
                continue
            if kind == "make":
                names[name] = more
            elif kind == "rename" and name in names:
                names[more] = names.pop(name)
            elif kind == "unlink":
                names.pop(name, None)
        return {name: inode.safe + tear(inode.data[len(inode.safe) :]) for name, inode in names.items()}


def tears(size):
    """Return functions that damage unsynced bytes: truncated at some lengths, zeroed, with holes."""
    some = {0, 1, 3, 4, 7, 8, 9, size // 2, size - 9, size - 1, size}
    lengths = range(size + 1) if size < 40 else sorted(some)
    found = [lambda data, n=n: data[:n] for n in lengths]
    found.append(lambda data: bytes(len(data)))
    found.append(lambda data: bytes(len(data) // 2) + data[len(data) // 2 :])
    found.append(lambda data: data[: len(data) // 2] + bytes(len(data) - len(data) // 2))
    return found
