"""The store: a map of keys to bytes, kept in one file a generation through a Folder.

A file holds a header, a snapshot, the snapshot's end, then one frame for each batch of changes. A new
generation is written aside, synced, renamed, its folder synced; only then are the older ones removed. What
was read back is always a whole state: the newest file whose snapshot is whole, with the changes up to the
first frame that is torn. Whatever fails, the next write begins a new generation: what a failed write or sync
left is never built on."""

import errno
import re

from granitespool.state import framing, record
from granitespool.state.framing import CHANGED, HEADER, HELD, WHOLE, Torn
from granitespool.state.record import Spoilt

NAME = re.compile(r"state-([0-9a-f]{16})(\.new)?")  # a generation's file; `.new` until it is whole
ASIDE = ".new"
PART = 256 * 1024  # bytes of a snapshot's frame, about: small pieces for the disk and the reader
COMPACT_LEAST = 256 * 1024  # bytes of changes under which no new generation is worth its syncs
COMPACT_GROWTH = 4  # times the snapshot that the changes after it may take: what a start has to read
VALUE_HEAD = 16  # bytes that a key and value take in a frame beside their own, at most
FILE_HEAD = 4096  # bytes of a file beside its values, at most: begin, header, heads of frames


class Newer(Exception):
    """A file is of a newer format than this program knows; nothing may be written beside it."""


class Found:
    """What a folder held: the newest whole state, who wrote it, and what was wrong on the way."""

    def __init__(self, name, generation, header):
        self.name, self.generation, self.header = name, generation, header
        self.held, self.clocks, self.problems = {}, (0, 0), []  # clocks: wall and monotonic ns of the last
        self.frames = self.size = 0


def file_name(generation):
    return f"state-{generation:016x}"


def ours(names):
    """{generation: name} of whole files, and the names written aside that never became whole."""
    whole, aside = {}, []
    for name in names:
        if match := NAME.fullmatch(name):
            if match[2]:
                aside.append(name)
            else:
                whole[int(match[1], 16)] = name
    return whole, aside


def read_file(name, data):
    """(Found or None, what is wrong or None) of one file's bytes; Newer for a newer format's."""
    found = None
    snapshot = False  # whether its snapshot is whole
    try:
        generation = framing.generation_of(data)
        if file_name(generation) != name:
            raise Torn(0, f"it is of the generation {generation}, which its name is not")
        for offset, kind, body in framing.frames(data):
            try:
                if found is None:
                    found = _begun(name, generation, offset, kind, body)
                elif kind == HELD and not snapshot or kind == CHANGED and snapshot:
                    wall, mono, changes = record.batch(body)
                    _apply(found.held, changes)
                    found.clocks = wall, mono
                elif kind == WHOLE and not snapshot:
                    wall, mono, count = record.end(body)
                    if count != len(found.held):
                        raise Torn(offset, f"its snapshot holds {len(found.held)} of {count} values")
                    found.clocks, snapshot = (wall, mono), True
                else:
                    raise Torn(offset, f"a frame of the kind {kind!r} is out of place")
            except Spoilt as error:
                raise Torn(offset, str(error)) from None
            found.frames, found.size = found.frames + 1, offset + framing.HEAD.size + 1 + len(body)
        if not snapshot:
            raise Torn(len(data), "it ends before its snapshot is whole")
    except Torn as error:
        return (found if snapshot else None), f"{name}: {error}"
    return found, None


def _begun(name, generation, offset, kind, body):
    if kind != HEADER:
        raise Torn(offset, "its first frame is no header")
    version = record.header_format(body)
    if version > record.FORMAT:
        raise Newer(f"{name} is of format {version}, this program knows up to {record.FORMAT}")
    return Found(name, generation, record.header(body))


def _apply(held, changes):
    for key, value in changes.items():
        if value is None:
            held.pop(key, None)
        else:
            held[key] = value


def recover(folder, most):
    """The newest whole state in the folder as a Found, or None; and the list of what was wrong. Newer where
    any file is of a newer format. Files of more than `most` bytes are not ours and not read."""
    problems, whole = [], ours(folder.names())[0]
    for generation in sorted(whole, reverse=True):
        name = whole[generation]
        data = folder.read(name, most + 1)
        if len(data) > most:
            problems.append(f"{name}: it is over {most} bytes")
            continue
        found, problem = read_file(name, data)
        if problem:
            problems.append(problem)
        if found:
            return found, problems
    return None, problems


class Store:
    """Writes what is handed to it; `held` is the whole state, also what no write has brought to the disk
    yet."""

    def __init__(self, folder, most, header):
        """`header()` gives a Header for a new file; `most` bytes that the folder may hold."""
        self.folder, self.most, self.header, self.held = folder, most, header, {}
        self.name = None  # the file that is appended to; None: the next write begins a new one
        self.generation = self.size = self.base = self.written = 0
        self.live = FILE_HEAD  # bytes that a snapshot of `held` takes, at most

    def append(self, wall, mono, changes):
        """Changes are on the disk and synced afterwards, or an OSError tells why not; then they wait in
        `held` for the next call."""
        self.take(changes)
        if self.name is not None:
            body = record.batch_bytes(wall, mono, changes)
            data = framing.frame(self.generation, self.size, CHANGED, body)
            changed = self.size + len(data) - self.base
            room = self.size + len(data) + self.live <= self.most  # the next snapshot must fit beside it
            if (
                len(body) < framing.BODY_MOST
                and room
                and changed <= max(COMPACT_LEAST, COMPACT_GROWTH * self.base)
            ):
                return self._add(data)
        return self.begin(wall, mono)

    def take(self, changes):
        """Holds changes for the next write."""
        for key, value in changes.items():
            old = self.held.pop(key, None)
            if old is not None:
                self.live -= len(key) + len(old) + VALUE_HEAD
            if value is not None:
                self.held[key] = value
                self.live += len(key) + len(value) + VALUE_HEAD

    def _add(self, data):
        name, self.name = self.name, None  # unless all of it goes well, nothing is built on this file
        self.folder.append(name, data)
        self.folder.sync(name)
        self.name, self.size, self.written = name, self.size + len(data), self.written + len(data)

    def begin(self, wall, mono):
        """A new generation with a snapshot of all that is held; the older ones go once it is safe."""
        if self.name is not None:
            self.folder.shut(self.name)
        self.name, names = None, self.folder.names()
        whole, aside = ours(names)
        for name in aside:  # a former write that never became whole
            self.folder.unlink(name)
        taken = sum(self.folder.size(name) for name in whole.values())
        if taken + self.live > self.most and len(whole) > 1:
            taken -= self._drop([whole[g] for g in sorted(whole)[:-1]])
        if taken + self.live > self.most:
            raise OSError(errno.EFBIG, "what is kept needs more than most_mb")
        generation = max([self.generation, *whole, *(int(NAME.fullmatch(n)[1], 16) for n in aside)]) + 1
        name = file_name(generation)
        try:
            size = self._write_aside(name + ASIDE, generation, wall, mono)
            self.folder.sync(name + ASIDE)
            self.folder.rename(name + ASIDE, name)
            self.folder.sync_names()
        except OSError:
            self.folder.shut(name + ASIDE)
            self.folder.shut(name)
            raise
        self.name, self.generation, self.size, self.base = name, generation, size, size
        self.written += size
        self._drop(list(whole.values()))

    def _write_aside(self, name, generation, wall, mono):
        size = len(framing.begin(generation))
        self.folder.append(name, framing.begin(generation))

        def add(kind, body):
            nonlocal size
            data = framing.frame(generation, size, kind, body)
            self.folder.append(name, data)
            size += len(data)

        add(HEADER, record.value_bytes(self.header()))
        part, length = {}, 0
        for key, value in self.held.items():
            part[key], length = value, length + len(key) + len(value)
            if length >= PART:
                add(HELD, record.batch_bytes(wall, mono, part))
                part, length = {}, 0
        if part:
            add(HELD, record.batch_bytes(wall, mono, part))
        add(WHOLE, record.end_bytes(wall, mono, len(self.held)))
        return size

    def _drop(self, names):
        """Removes files that a newer one stands for; what cannot go now goes with the next generation."""
        dropped = 0
        for name in names:
            try:
                size = self.folder.size(name)
                self.folder.unlink(name)
                dropped += size
            except OSError:
                pass  # it is older: who reads takes the newest
        return dropped
