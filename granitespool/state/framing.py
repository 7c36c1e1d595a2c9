"""Frames of a state file: bytes in, checked frames out. The page docs/state-format.md tells the same in
words.

A file begins with MAGIC and the generation it was written for; a frame is a length, a checksum and a body
whose first byte is its kind. The checksum also covers where the frame stands and in which generation, so
that a block of another file, a moved block or a block of zeros is no frame."""

import struct

import google_crc32c

MAGIC = b"granites\x00\x01\r\n"  # no text file begins so; the line end tells of a transfer as text
START = struct.Struct("<QI")  # after MAGIC: generation, checksum of MAGIC and generation
HEAD = struct.Struct("<II")  # length of the body, checksum
PLACE = struct.Struct("<QQI")  # what a checksum covers before the body: generation, offset, length
BODY_MOST = 16 << 20  # bytes of a body: a snapshot's part takes a sixteenth of it at most
BEGIN = len(MAGIC) + START.size  # offset of the first frame

HEADER, HELD, WHOLE, CHANGED = b"h", b"s", b"w", b"c"  # kinds: who and when; snapshot; its end; changes after
KINDS = frozenset((HEADER, HELD, WHOLE, CHANGED))


class Torn(Exception):
    """From `offset` on a file holds what is no frame; `why` says what is wrong there, in a few words."""

    def __init__(self, offset, why):
        super().__init__(f"{why} at byte {offset}")
        self.offset, self.why = offset, why


def begin(generation):
    """The first bytes of a file."""
    return MAGIC + START.pack(generation, google_crc32c.value(MAGIC + generation.to_bytes(8, "little")))


def frame(generation, offset, kind, body):
    """The bytes of a frame that is to stand at `offset`."""
    body = kind + body
    place = PLACE.pack(generation, offset, len(body))
    return HEAD.pack(len(body), google_crc32c.value(place + body)) + body


def generation_of(data):
    """The generation that a file's first bytes tell, or Torn."""
    if data[: len(MAGIC)] != MAGIC:
        raise Torn(0, "it is no state file")
    if len(data) < BEGIN:
        raise Torn(len(MAGIC), "it ends before its first frame")
    generation, check = START.unpack_from(data, len(MAGIC))
    if google_crc32c.value(data[: len(MAGIC) + 8]) != check:
        raise Torn(len(MAGIC), "its generation is spoilt")
    return generation


def frames(data):
    """Yields (offset, kind, body) for each frame of a file's bytes; ends in Torn where one is no frame, also
    at the end of a file that ends within a frame."""
    generation, offset, end = generation_of(data), BEGIN, len(data)
    while offset < end:
        if end - offset < HEAD.size:
            raise Torn(offset, "a frame ends within its head")
        length, check = HEAD.unpack_from(data, offset)
        if not 1 <= length <= BODY_MOST:
            raise Torn(offset, f"a frame tells the length {length}")
        body = bytes(data[offset + HEAD.size : offset + HEAD.size + length])
        if len(body) < length:
            raise Torn(offset, "a frame ends within its body")
        if google_crc32c.value(PLACE.pack(generation, offset, length) + body) != check:
            raise Torn(offset, "a frame's checksum is wrong")
        kind = body[:1]
        if kind not in KINDS:
            raise Torn(offset, f"a frame has the unknown kind {kind!r}")
        yield offset, kind, body[1:]
        offset += HEAD.size + length
