"""The store: a map of keys to bytes, kept in one file a generation through a folder.

A file holds a header, a snapshot, the snapshot's end, then one frame for each batch of changes. A new
generation is written aside, synced, renamed, its folder synced; only then are the older ones removed. What is
read back is always a complete state: the newest file whose snapshot is complete, with the changes up to the
first torn frame. Whatever fails, the next write begins a new generation: nothing is ever built on what a
failed write or sync left.
"""

import errno
import re
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from typing import NamedTuple

from granitespool.state import framing, record
from granitespool.state.disk import Folder
from granitespool.state.errors import CorruptRecordError, TornWriteError, UnsupportedFormatError
from granitespool.state.framing import Frame, FrameKind
from granitespool.state.record import Changes, Clocks, Header

FILE_NAME = re.compile(r"state-([0-9a-f]{16})(\.new)?")  # a generation's file; `.new` until it is complete
ASIDE_SUFFIX = ".new"
SNAPSHOT_PART_SIZE = (
    256 * 1024
)  # bytes of a snapshot's frame, about: small pieces for the disk and the reader
COMPACT_MIN_SIZE = 256 * 1024  # bytes of changes under which no new generation is worth its syncs
COMPACT_GROWTH = 4  # times the snapshot that the changes after it may take: what a start has to read
VALUE_OVERHEAD = 16  # bytes that a key and value take in a frame beside their own, at most
FILE_OVERHEAD = 4096  # bytes of a file beside its values, at most: start, header, heads of frames


class FolderFiles(NamedTuple):
    """The files of a folder that are a store's."""

    complete: dict[int, str]  # generation -> name
    incomplete: list[str]  # written aside and never finished

    @property
    def highest_generation(self) -> int:
        """The highest generation that any name tells, 0 without any."""
        return max([0, *self.complete, *map(_generation_in, self.incomplete)])


def file_name(generation: int) -> str:
    """Return the name of a generation's file."""
    return f"state-{generation:016x}"


def _generation_in(name: str) -> int:
    match = FILE_NAME.fullmatch(name)
    assert match, name
    return int(match[1], 16)


def classify_names(names: Iterable[str]) -> FolderFiles:
    """Sort out a store's files; other names are not ours."""
    files = FolderFiles({}, [])
    for name in names:
        match = FILE_NAME.fullmatch(name)
        if match and match[2]:
            files.incomplete.append(name)
        elif match:
            files.complete[int(match[1], 16)] = name
    return files


class StoredState:
    """The state that a file holds, and who wrote it."""

    def __init__(self, name: str, generation: int, header: Header) -> None:
        self.name = name
        self.generation = generation
        self.header = header
        self.values: dict[bytes, bytes] = {}
        self.clocks = Clocks(0, 0)  # of the last frame
        self.frame_count = 0

    def apply(self, changes: Changes) -> None:
        """Set and remove values."""
        for key, value in changes.items():
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value


class FileReadResult(NamedTuple):
    """What was read of one file: its state, None where no snapshot is complete; what is wrong, or None."""

    state: StoredState | None
    problem: str | None


class FolderReadResult(NamedTuple):
    """The newest complete state of a folder, or None; and what was wrong on the way."""

    state: StoredState | None
    problems: list[str]


class _FileReader:
    """Applies the frames of one file in their order; raises TornWriteError at the first that does not fit."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.state: StoredState | None = None
        self.is_complete = False  # whether the snapshot is

    def read(self, data: bytes) -> None:
        generation = framing.decode_generation(data)
        if file_name(generation) != self.name:
            raise TornWriteError(0, f"it is of the generation {generation}, which its name is not")
        for frame in framing.decode_frames(data):
            try:
                self._apply(generation, frame)
            except CorruptRecordError as error:
                raise TornWriteError(frame.offset, str(error)) from None
        if not self.is_complete:
            raise TornWriteError(len(data), "it ends before its snapshot is whole")

    def _apply(self, generation: int, frame: Frame) -> None:
        if self.state is None:
            self.state = self._begin(generation, frame)
        elif frame.kind is FrameKind.SNAPSHOT_END and not self.is_complete:
            self._end_snapshot(self.state, frame)
        elif frame.kind is self._expected_batch:
            batch = record.decode_batch(frame.body)
            self.state.apply(batch.changes)
            self.state.clocks = Clocks(batch.wall, batch.monotonic)
        else:
            raise TornWriteError(frame.offset, f"a frame of the kind {frame.kind.value!r} is out of place")
        self.state.frame_count += 1

    @property
    def _expected_batch(self) -> FrameKind:
        return FrameKind.CHANGES if self.is_complete else FrameKind.SNAPSHOT

    def _begin(self, generation: int, frame: Frame) -> StoredState:
        if frame.kind is not FrameKind.HEADER:
            raise TornWriteError(frame.offset, "its first frame is no header")
        version = record.decode_format_version(frame.body)
        if version > record.FORMAT_VERSION:
            raise UnsupportedFormatError(self.name, version, record.FORMAT_VERSION)
        return StoredState(self.name, generation, record.decode_header(frame.body))

    def _end_snapshot(self, state: StoredState, frame: Frame) -> None:
        end = record.decode_snapshot_end(frame.body)
        if end.count != len(state.values):
            raise TornWriteError(
                frame.offset, f"its snapshot holds {len(state.values)} of {end.count} values"
            )
        state.clocks = Clocks(end.wall, end.monotonic)
        self.is_complete = True


def read_file(name: str, data: bytes) -> FileReadResult:
    """Return what one file's bytes hold; raise UnsupportedFormatError for a newer format's."""
    reader = _FileReader(name)
    try:
        reader.read(data)
    except TornWriteError as error:
        return FileReadResult(reader.state if reader.is_complete else None, f"{name}: {error}")
    return FileReadResult(reader.state, None)


def read_newest(folder: Folder, max_size: int) -> FolderReadResult:
    """Return the newest complete state of a folder.

    Files of more than `max_size` bytes are not ours and not read. Raises UnsupportedFormatError where any
    file that is read has a newer format.
    """
    problems: list[str] = []
    files = classify_names(folder.names()).complete
    for generation in sorted(files, reverse=True):
        name = files[generation]
        data = folder.read(name, max_size + 1)
        if len(data) > max_size:
            problems.append(f"{name}: it is over {max_size} bytes")
            continue
        state, problem = read_file(name, data)
        if problem:
            problems.append(problem)
        if state:
            return FolderReadResult(state, problems)
    return FolderReadResult(None, problems)


class Store:
    """Writes what is handed to it; `values` is the complete state, also what no write has stored yet."""

    def __init__(self, folder: Folder, max_size: int, make_header: Callable[[], Header]) -> None:
        """Write through `folder`, which may hold `max_size` bytes; a new file begins with a new header."""
        self.folder = folder
        self.max_size = max_size
        self.make_header = make_header
        self.values: dict[bytes, bytes] = {}
        self.generation = 0
        self.size = 0  # bytes of the file that is appended to
        self.bytes_written = 0  # since the start
        self._name: str | None = (
            None  # of the file that is appended to; None: the next write begins a new one
        )
        self._base_size = 0  # bytes of that file when its snapshot was complete
        self._snapshot_size = FILE_OVERHEAD  # bytes that a snapshot of `values` takes, at most

    def append(self, clocks: Clocks, changes: Changes) -> None:
        """Store changes: they are synced afterwards.

        Raises OSError where that failed; then they wait in `values` for the next call.
        """
        self.stage(changes)
        if self._name is not None:
            body = record.encode_value(record.Batch(clocks.wall, clocks.monotonic, changes))
            data = framing.encode_frame(self.generation, self.size, FrameKind.CHANGES, body)
            if self._fits(body, data):
                self._append_frame(self._name, data)
                return
        self.write_snapshot(clocks)

    def _fits(self, body: bytes, data: bytes) -> bool:
        """Whether a frame may be appended to the present file."""
        new_size = self.size + len(data)
        if len(body) >= framing.MAX_BODY_SIZE:
            return False
        if new_size + self._snapshot_size > self.max_size:  # the next snapshot must fit beside it
            return False
        return new_size - self._base_size <= max(COMPACT_MIN_SIZE, COMPACT_GROWTH * self._base_size)

    def stage(self, changes: Changes) -> None:
        """Hold changes for the next write."""
        for key, value in changes.items():
            old = self.values.pop(key, None)
            if old is not None:
                self._snapshot_size -= len(key) + len(old) + VALUE_OVERHEAD
            if value is not None:
                self.values[key] = value
                self._snapshot_size += len(key) + len(value) + VALUE_OVERHEAD

    def _append_frame(self, name: str, data: bytes) -> None:
        self._name = None  # unless all of it goes well, nothing is built on this file
        self.folder.append(name, data)
        self.folder.sync(name)
        self._name = name
        self.size += len(data)
        self.bytes_written += len(data)

    def write_snapshot(self, clocks: Clocks) -> None:
        """Begin a new generation with all that is held; the older ones are removed once it is durable.

        Raises OSError where that failed; then the next write tries again.
        """
        if self._name is not None:
            self.folder.close_file(self._name)
        self._name = None
        files = classify_names(self.folder.names())
        for name in files.incomplete:  # a former write that was never finished
            self.folder.unlink(name)
        self._make_room(files)
        generation = max(self.generation, files.highest_generation) + 1
        name = file_name(generation)
        size = self._write_durably(name, generation, clocks)
        self._name = name
        self.generation = generation
        self.size = size
        self._base_size = size
        self.bytes_written += size
        self._drop(files.complete.values())

    def _make_room(self, files: FolderFiles) -> None:
        """Remove the older files where a snapshot would not fit; raise OSError where it still does not."""
        taken = sum(self.folder.size(name) for name in files.complete.values())
        if taken + self._snapshot_size > self.max_size and len(files.complete) > 1:
            older = sorted(files.complete)[:-1]
            taken -= self._drop([files.complete[generation] for generation in older])
        if taken + self._snapshot_size > self.max_size:
            raise OSError(errno.EFBIG, "what is kept needs more than most_mb")

    def _write_durably(self, name: str, generation: int, clocks: Clocks) -> int:
        """Write a generation aside, sync and rename it; return its size."""
        aside = name + ASIDE_SUFFIX
        try:
            size = 0
            for piece in self._snapshot_pieces(generation, clocks):
                self.folder.append(aside, piece)
                size += len(piece)
            self.folder.sync(aside)
            self.folder.rename(aside, name)
            self.folder.sync_names()
        except OSError:
            self.folder.close_file(aside)
            self.folder.close_file(name)
            raise
        return size

    def _snapshot_pieces(self, generation: int, clocks: Clocks) -> Iterator[bytes]:
        start = framing.encode_file_start(generation)
        yield start
        offset = len(start)
        for kind, body in self._snapshot_bodies(clocks):
            data = framing.encode_frame(generation, offset, kind, body)
            yield data
            offset += len(data)

    def _snapshot_bodies(self, clocks: Clocks) -> Iterator[tuple[FrameKind, bytes]]:
        yield FrameKind.HEADER, record.encode_value(self.make_header())
        for part in self._snapshot_parts():
            batch = record.Batch(clocks.wall, clocks.monotonic, part)
            yield FrameKind.SNAPSHOT, record.encode_value(batch)
        end = record.SnapshotEnd(clocks.wall, clocks.monotonic, len(self.values))
        yield FrameKind.SNAPSHOT_END, record.encode_value(end)

    def _snapshot_parts(self) -> Iterator[Changes]:
        part: Changes = {}
        size = 0
        for key, value in self.values.items():
            part[key] = value
            size += len(key) + len(value)
            if size >= SNAPSHOT_PART_SIZE:
                yield part
                part = {}
                size = 0
        if part:
            yield part

    def _drop(self, names: Iterable[str]) -> int:
        """Remove files that a newer one replaces, as far as that works now; return the bytes of those."""
        dropped = 0
        for name in names:
            with suppress(
                OSError
            ):  # it is older: a reader takes the newest, and the next generation tries again
                size = self.folder.size(name)
                self.folder.unlink(name)
                dropped += size
        return dropped
