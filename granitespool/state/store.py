"""Store of keys and values in a folder, with one file per generation.

A file contains a header, a snapshot, the end of the snapshot and a frame for each later batch of changes. A
new generation is written to a temporary file. The file is synced and renamed, and the folder is synced. Only
then are older generations removed. Reading always returns a complete state: the newest complete snapshot and
the changes after it, up to the first invalid frame. After any failure the next write begins a new generation,
so that no later write depends on the remains of a failed write or sync.
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

FILE_NAME = re.compile(r"state-([0-9a-f]{16})(\.new)?")
INCOMPLETE_SUFFIX = ".new"  # suffix of the name of a file that is not complete
# Approximate size in bytes of a frame of the snapshot, so that the disk and readers get small pieces.
SNAPSHOT_PART_SIZE = 256 * 1024
# Minimum size in bytes of the changes in a file before a new generation is worth its syncs.
COMPACT_MIN_SIZE = 256 * 1024
# Maximum size of the changes as a multiple of the snapshot. It limits the data that a start has to read.
COMPACT_GROWTH = 4
VALUE_OVERHEAD = 16  # maximum number of bytes that the encoding adds to a key and its value
FILE_OVERHEAD = 4096  # maximum number of bytes of a file start, a header and the heads of frames


class FolderFiles(NamedTuple):
    """Files of a folder that belong to the store."""

    complete: dict[int, str]  # file names by generation
    incomplete: list[str]  # names of temporary files that were never completed

    @property
    def highest_generation(self) -> int:
        """Highest generation of all files; 0 if there is no file."""
        return max([0, *self.complete, *map(_generation_in, self.incomplete)])


def file_name(generation: int) -> str:
    """Return the file name of a generation."""
    return f"state-{generation:016x}"


def _generation_in(name: str) -> int:
    match = FILE_NAME.fullmatch(name)
    assert match, name
    return int(match[1], 16)


def classify_names(names: Iterable[str]) -> FolderFiles:
    """Return the files of the store among `names`; other names are ignored."""
    files = FolderFiles({}, [])
    for name in names:
        match = FILE_NAME.fullmatch(name)
        if match and match[2]:
            files.incomplete.append(name)
        elif match:
            files.complete[int(match[1], 16)] = name
    return files


class StoredState:
    """Values and header that were read from a file."""

    def __init__(self, name: str, generation: int, header: Header) -> None:
        self.name = name
        self.generation = generation
        self.header = header
        self.values: dict[bytes, bytes] = {}
        self.clocks = Clocks(0, 0)  # clocks in the last frame
        self.frame_count = 0

    def apply(self, changes: Changes) -> None:
        """Apply changes to the values."""
        for key, value in changes.items():
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value


class FileReadResult(NamedTuple):
    """State of a file, None if its snapshot is incomplete; and the problem that was found, if any."""

    state: StoredState | None
    problem: str | None


class FolderReadResult(NamedTuple):
    """Newest complete state of a folder, if any; and the problems of the files that were read."""

    state: StoredState | None
    problems: list[str]


class _FileReader:
    """Applies the frames of a file in order; raises TornWriteError at the first unexpected frame."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.state: StoredState | None = None
        self.is_complete = False  # whether the snapshot is complete

    def read(self, data: bytes) -> None:
        generation = framing.decode_generation(data)
        if file_name(generation) != self.name:
            raise TornWriteError(0, f"the file has the generation {generation}, its name another one")
        for frame in framing.decode_frames(data):
            try:
                self._apply(generation, frame)
            except CorruptRecordError as error:
                raise TornWriteError(frame.offset, str(error)) from None
        if not self.is_complete:
            raise TornWriteError(len(data), "the file ends before its snapshot is complete")

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
            raise TornWriteError(frame.offset, "the first frame is not a header")
        version = record.decode_format_version(frame.body)
        if version > record.FORMAT_VERSION:
            raise UnsupportedFormatError(self.name, version, record.FORMAT_VERSION)
        return StoredState(self.name, generation, record.decode_header(frame.body))

    def _end_snapshot(self, state: StoredState, frame: Frame) -> None:
        end = record.decode_snapshot_end(frame.body)
        if end.count != len(state.values):
            raise TornWriteError(
                frame.offset, f"the snapshot contains {len(state.values)} of {end.count} values"
            )
        state.clocks = Clocks(end.wall, end.monotonic)
        self.is_complete = True


def read_file(name: str, data: bytes) -> FileReadResult:
    """Decode the bytes of a file; raise UnsupportedFormatError if its format is too new for this program."""
    reader = _FileReader(name)
    try:
        reader.read(data)
    except TornWriteError as error:
        return FileReadResult(reader.state if reader.is_complete else None, f"{name}: {error}")
    return FileReadResult(reader.state, None)


def read_newest(folder: Folder, max_size: int) -> FolderReadResult:
    """Return the newest complete state of a folder.

    Files of more than `max_size` bytes are reported as problems and skipped. Raises UnsupportedFormatError if
    the format of a file is too new for this program.
    """
    problems: list[str] = []
    files = classify_names(folder.names()).complete
    for generation in sorted(files, reverse=True):
        name = files[generation]
        data = folder.read(name, max_size + 1)
        if len(data) > max_size:
            problems.append(f"{name}: the file is larger than {max_size} bytes")
            continue
        state, problem = read_file(name, data)
        if problem:
            problems.append(problem)
        if state:
            return FolderReadResult(state, problems)
    return FolderReadResult(None, problems)


class Store:
    """Writes changes to a folder; `values` is the complete state, with changes that are not written yet."""

    def __init__(self, folder: Folder, max_size: int, make_header: Callable[[], Header]) -> None:
        """Create a store in `folder`, whose files take at most `max_size` bytes.

        `make_header` is called for each new file.
        """
        self.folder = folder
        self.max_size = max_size
        self.make_header = make_header
        self.values: dict[bytes, bytes] = {}
        self.generation = 0
        self.size = 0  # bytes of the current file
        self.bytes_written = 0  # since the start
        self._name: str | None = None  # name of the current file; if None, the next write begins a new file
        self._base_size = 0  # bytes of the current file up to the end of its snapshot
        self._snapshot_size = FILE_OVERHEAD  # maximum size in bytes of a snapshot of `values`

    def append(self, clocks: Clocks, changes: Changes) -> None:
        """Write changes and sync them.

        Raises OSError if the write or sync fails. The next call then writes the changes from `values`.
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
        """Return whether a frame may be appended to the current file."""
        new_size = self.size + len(data)
        if len(body) >= framing.MAX_BODY_SIZE:
            return False
        if new_size + self._snapshot_size > self.max_size:  # the next snapshot has to fit beside this file
            return False
        return new_size - self._base_size <= max(COMPACT_MIN_SIZE, COMPACT_GROWTH * self._base_size)

    def stage(self, changes: Changes) -> None:
        """Apply changes to `values` without writing them."""
        for key, value in changes.items():
            old = self.values.pop(key, None)
            if old is not None:
                self._snapshot_size -= len(key) + len(old) + VALUE_OVERHEAD
            if value is not None:
                self.values[key] = value
                self._snapshot_size += len(key) + len(value) + VALUE_OVERHEAD

    def _append_frame(self, name: str, data: bytes) -> None:
        self._name = None  # after a failure, the next write begins a new file
        self.folder.append(name, data)
        self.folder.sync(name)
        self._name = name
        self.size += len(data)
        self.bytes_written += len(data)

    def write_snapshot(self, clocks: Clocks) -> None:
        """Write all values as a new generation, and remove older generations once it is durable.

        Raises OSError if a write or sync fails. The next write then begins a new generation again.
        """
        if self._name is not None:
            self.folder.close_file(self._name)
        self._name = None
        files = classify_names(self.folder.names())
        for name in files.incomplete:  # left by an interrupted write
            self.folder.unlink(name)
        self._free_space(files)
        generation = max(self.generation, files.highest_generation) + 1
        name = file_name(generation)
        size = self._write_durably(name, generation, clocks)
        self._name = name
        self.generation = generation
        self.size = size
        self._base_size = size
        self.bytes_written += size
        self._remove_replaced(files.complete.values())

    def _free_space(self, files: FolderFiles) -> None:
        """Remove older files if a snapshot would not fit; raise OSError if it does not fit even then."""
        used = sum(self.folder.size(name) for name in files.complete.values())
        if used + self._snapshot_size > self.max_size and len(files.complete) > 1:
            older = sorted(files.complete)[:-1]
            used -= self._remove_replaced([files.complete[generation] for generation in older])
        if used + self._snapshot_size > self.max_size:
            raise OSError(errno.EFBIG, "the snapshot needs more than most_mb")

    def _write_durably(self, name: str, generation: int, clocks: Clocks) -> int:
        """Write a generation to a temporary file, sync and rename it; return its size."""
        temporary_name = name + INCOMPLETE_SUFFIX
        try:
            size = 0
            for piece in self._snapshot_pieces(generation, clocks):
                self.folder.append(temporary_name, piece)
                size += len(piece)
            self.folder.sync(temporary_name)
            self.folder.rename(temporary_name, name)
            self.folder.sync_names()
        except OSError:
            self.folder.close_file(temporary_name)
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

    def _remove_replaced(self, names: Iterable[str]) -> int:
        """Remove files that a newer file replaces, ignoring failures; return the number of freed bytes."""
        freed = 0
        for name in names:
            # Failures are harmless: readers use the newest file, and the next snapshot retries.
            with suppress(OSError):
                size = self.folder.size(name)
                self.folder.unlink(name)
                freed += size
        return freed
