"""Framing of state files: encodes frames and decodes them with their checksums; no I/O.

docs/state-format.md specifies the format. A file begins with MAGIC and its generation. A frame consists of a
length, a checksum and a body. The first byte of the body is the kind of the frame. The checksum also covers
the offset of the frame and the generation of the file. A block that comes from another file or another
place, or that is filled with zeros, is therefore not a valid frame.
"""

import struct
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

import google_crc32c

from granitespool.state.errors import TornWriteError

# No text file begins with these bytes. A transfer as text changes the line end.
MAGIC = b"granites\x00\x01\r\n"
MAX_BODY_SIZE = 16 << 20  # bytes; a part of a snapshot takes at most a sixteenth of it

_GENERATION = struct.Struct("<QI")  # after MAGIC: generation, checksum of MAGIC and generation
_HEAD = struct.Struct("<II")  # length of the body, checksum
_POSITION = struct.Struct("<QQI")  # generation, offset, length; the checksum covers them and the body

FIRST_FRAME_OFFSET = len(MAGIC) + _GENERATION.size
HEAD_SIZE = _HEAD.size


class FrameKind(Enum):
    """Kind of a frame's contents, stored as the first byte of its body."""

    HEADER = b"h"  # the coordinator that wrote the file, and the time
    SNAPSHOT = b"s"  # part of the snapshot
    SNAPSHOT_END = b"w"  # the snapshot is complete
    CHANGES = b"c"  # a batch of changes that were made after the snapshot


class Frame(NamedTuple):
    """A frame with a valid checksum; `body` lacks its first byte, which is in `kind`."""

    offset: int
    kind: FrameKind
    body: bytes

    @property
    def end(self) -> int:
        """Offset of the first byte after the frame."""
        return self.offset + HEAD_SIZE + 1 + len(self.body)


def encode_file_start(generation: int) -> bytes:
    """Return the first bytes of a file of the given generation."""
    checksum = google_crc32c.value(MAGIC + generation.to_bytes(8, "little"))
    return MAGIC + _GENERATION.pack(generation, checksum)


def encode_frame(generation: int, offset: int, kind: FrameKind, body: bytes) -> bytes:
    """Return the bytes of a frame that will be written at `offset`."""
    return encode_payload(generation, offset, kind.value + body)


def encode_payload(generation: int, offset: int, payload: bytes) -> bytes:
    """Return the bytes of a frame at `offset`; `payload` begins with the byte of the kind."""
    position = _POSITION.pack(generation, offset, len(payload))
    return _HEAD.pack(len(payload), google_crc32c.value(position + payload)) + payload


def decode_generation(data: bytes) -> int:
    """Return the generation in the first bytes of a file; raise TornWriteError if they are invalid."""
    if data[: len(MAGIC)] != MAGIC:
        raise TornWriteError(0, "not a state file")
    if len(data) < FIRST_FRAME_OFFSET:
        raise TornWriteError(len(MAGIC), "the file ends before its first frame")
    generation: int
    generation, checksum = _GENERATION.unpack_from(data, len(MAGIC))
    if google_crc32c.value(data[: len(MAGIC) + 8]) != checksum:
        raise TornWriteError(len(MAGIC), "the checksum of the generation is wrong")
    return generation


def decode_frames(data: bytes) -> Iterator[Frame]:
    """Yield the frames of a file.

    Raises TornWriteError at the first frame that is invalid or incomplete.
    """
    generation = decode_generation(data)
    offset = FIRST_FRAME_OFFSET
    while offset < len(data):
        frame = _decode_frame(data, generation, offset)
        yield frame
        offset = frame.end


def _decode_frame(data: bytes, generation: int, offset: int) -> Frame:
    if len(data) - offset < HEAD_SIZE:
        raise TornWriteError(offset, "the file ends within the head of a frame")
    length, checksum = _HEAD.unpack_from(data, offset)
    if not 1 <= length <= MAX_BODY_SIZE:
        raise TornWriteError(offset, f"a frame has the invalid length {length}")
    payload = bytes(data[offset + HEAD_SIZE : offset + HEAD_SIZE + length])
    if len(payload) < length:
        raise TornWriteError(offset, "the file ends within the body of a frame")
    if google_crc32c.value(_POSITION.pack(generation, offset, length) + payload) != checksum:
        raise TornWriteError(offset, "the checksum of a frame is wrong")
    kind = payload[:1]
    try:
        return Frame(offset, FrameKind(kind), payload[1:])
    except ValueError:
        raise TornWriteError(offset, f"a frame has the unknown kind {kind!r}") from None
