"""Framing of a state file: bytes in, checked frames out; no I/O.

docs/state-format.md specifies the same in words. A file begins with MAGIC and the generation it was written
for. A frame is a length, a checksum and a body whose first byte is its kind. The checksum also covers the
frame's offset and generation, so that a block of another file, a moved block or a block of zeros is no frame.
"""

import struct
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

import google_crc32c

from granitespool.state.errors import TornWriteError

MAGIC = b"granites\x00\x01\r\n"  # no text file begins so; the line end reveals a transfer as text
MAX_BODY_SIZE = 16 << 20  # bytes; a part of a snapshot takes a sixteenth of it at most

_GENERATION = struct.Struct("<QI")  # after MAGIC: generation, checksum of MAGIC and generation
_HEAD = struct.Struct("<II")  # length of the body, checksum
_POSITION = struct.Struct("<QQI")  # what a checksum covers before the body: generation, offset, length

FIRST_FRAME_OFFSET = len(MAGIC) + _GENERATION.size
HEAD_SIZE = _HEAD.size


class FrameKind(Enum):
    """What a frame holds, by the first byte of its body."""

    HEADER = b"h"  # who wrote the file, and when
    SNAPSHOT = b"s"  # a part of the snapshot
    SNAPSHOT_END = b"w"  # the snapshot is complete
    CHANGES = b"c"  # a batch of changes after the snapshot


class Frame(NamedTuple):
    """A frame that passed its checksum; `body` is without the byte of its kind."""

    offset: int
    kind: FrameKind
    body: bytes

    @property
    def end(self) -> int:
        """Offset of the first byte after this frame."""
        return self.offset + HEAD_SIZE + 1 + len(self.body)


def encode_file_start(generation: int) -> bytes:
    """Return the first bytes of a file of this generation."""
    checksum = google_crc32c.value(MAGIC + generation.to_bytes(8, "little"))
    return MAGIC + _GENERATION.pack(generation, checksum)


def encode_frame(generation: int, offset: int, kind: FrameKind, body: bytes) -> bytes:
    """Return the bytes of a frame that is to stand at `offset`."""
    return encode_payload(generation, offset, kind.value + body)


def encode_payload(generation: int, offset: int, payload: bytes) -> bytes:
    """Return a frame at `offset` of a payload that already begins with the byte of its kind."""
    position = _POSITION.pack(generation, offset, len(payload))
    return _HEAD.pack(len(payload), google_crc32c.value(position + payload)) + payload


def decode_generation(data: bytes) -> int:
    """Return the generation that a file's first bytes give; raise TornWriteError where they are no start."""
    if data[: len(MAGIC)] != MAGIC:
        raise TornWriteError(0, "it is no state file")
    if len(data) < FIRST_FRAME_OFFSET:
        raise TornWriteError(len(MAGIC), "it ends before its first frame")
    generation: int
    generation, checksum = _GENERATION.unpack_from(data, len(MAGIC))
    if google_crc32c.value(data[: len(MAGIC) + 8]) != checksum:
        raise TornWriteError(len(MAGIC), "its generation is spoilt")
    return generation


def decode_frames(data: bytes) -> Iterator[Frame]:
    """Yield each frame of a file's bytes.

    Raises TornWriteError at the first bytes that are no frame, also where the file ends within one.
    """
    generation = decode_generation(data)
    offset = FIRST_FRAME_OFFSET
    while offset < len(data):
        frame = _decode_frame(data, generation, offset)
        yield frame
        offset = frame.end


def _decode_frame(data: bytes, generation: int, offset: int) -> Frame:
    if len(data) - offset < HEAD_SIZE:
        raise TornWriteError(offset, "a frame ends within its head")
    length, checksum = _HEAD.unpack_from(data, offset)
    if not 1 <= length <= MAX_BODY_SIZE:
        raise TornWriteError(offset, f"a frame tells the length {length}")
    payload = bytes(data[offset + HEAD_SIZE : offset + HEAD_SIZE + length])
    if len(payload) < length:
        raise TornWriteError(offset, "a frame ends within its body")
    if google_crc32c.value(_POSITION.pack(generation, offset, length) + payload) != checksum:
        raise TornWriteError(offset, "a frame's checksum is wrong")
    kind = payload[:1]
    try:
        return Frame(offset, FrameKind(kind), payload[1:])
    except ValueError:
        raise TornWriteError(offset, f"a frame has the unknown kind {kind!r}") from None
