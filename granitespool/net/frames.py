"""Frames of the streams: four bytes of length, least significant first, and one JSON object.

A codec without I/O: `frame` and `updates` make bytes of messages, `Reader` makes messages of bytes. What a
message means is for `messages` and `dispatch`."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import orjson

from granitespool.errors import InvalidInputError
from granitespool.net.buffers import BufferPool
from granitespool.outgoing import LevelUpdate, ProxyUpdate, TableUpdate

MESSAGE_MAX = 1 << 20  # bytes of a message at most: the protocol's
PARTS_MAX = 64  # parts of a message at most: the protocol's
ENTRIES_PER_PART = 2048  # entries in one part: 500 bytes an entry keep it under the largest message
LENGTH_SIZE = 4  # bytes of length
UPDATE = "update"  # type of a message to a proxy
UNTYPED = ""  # type of a message that is no object, or has no type that can be read

Message = dict[str, Any]


def frame(message: Message) -> bytes:
    """One message as bytes."""
    body = orjson.dumps(message)
    return len(body).to_bytes(LENGTH_SIZE, "little") + body


PONG = frame({"type": "pong"})


def parse_body(body: bytes) -> Any:
    """The JSON value of a frame's body; raises InvalidInputError."""
    try:
        return orjson.loads(body)
    except ValueError as error:
        # Some languages write NaN or Infinity: that can be read, and the checks of its fields lose that
        # message alone. The cost: a bad body is parsed twice.
        try:
            return json.loads(body)
        except (ValueError, RecursionError):
            raise InvalidInputError(f"a message is not JSON: {error}") from None


class Reader:
    """The bytes that one peer has sent and that are not read yet; owns the buffers it took from the pool."""

    def __init__(self, pool: BufferPool, message_max: int) -> None:
        """`message_max` is the bytes of a message at most, for now."""
        self.pool = pool
        self.message_max = message_max
        self.buffers: list[tuple[bytearray, int]] = []  # buffers, and how much of each is filled
        self.offset = 0  # offset in the first buffer
        self.available = 0  # bytes

    def free_space(self) -> memoryview | None:
        """Where to receive into, or None when the pool has no buffer left."""
        if not self.buffers or self.buffers[-1][1] == self.pool.size:
            buffer = self.pool.acquire()
            if buffer is None:
                return None
            self.buffers.append((buffer, 0))
        buffer, filled = self.buffers[-1]
        return memoryview(buffer)[filled:]

    def received(self, size: int) -> None:
        """Notes that so many bytes were received into the view of `free_space`."""
        buffer, filled = self.buffers[-1]
        self.buffers[-1] = (buffer, filled + size)
        self.available += size

    def messages(self) -> Iterator[Message]:
        """The messages that are complete; raises InvalidInputError for a frame that is not the protocol's."""
        while self.available >= LENGTH_SIZE:
            size = int.from_bytes(self._bytes(LENGTH_SIZE), "little")
            if size > self.message_max:
                raise InvalidInputError(f"a message of {size} bytes is over the limit")
            if self.available < LENGTH_SIZE + size:
                return
            self._skip(LENGTH_SIZE)
            body = self._bytes(size)
            self._skip(size)
            yield _typed(parse_body(body))

    def close(self) -> None:
        """Gives back all buffers."""
        while self.buffers:
            self.pool.release(self.buffers.pop()[0])
        self.offset = 0
        self.available = 0

    def _bytes(self, size: int) -> bytes:
        pieces = []
        first = self.offset
        for buffer, filled in self.buffers:
            piece = memoryview(buffer)[first : min(filled, first + size)]
            pieces.append(piece)
            size -= len(piece)
            first = 0
            if not size:
                break
        return b"".join(pieces)

    def _skip(self, size: int) -> None:
        self.offset += size
        self.available -= size
        while self.buffers and self.offset >= self.buffers[0][1]:
            buffer, filled = self.buffers.pop(0)
            self.offset -= filled
            self.pool.release(buffer)


def _typed(value: object) -> Message:
    """A message that has a type, `UNTYPED` where none can be read."""
    message = value if isinstance(value, dict) else {}
    return message if isinstance(message.get("type"), str) else {**message, "type": UNTYPED}


def encode_update(update: ProxyUpdate) -> bytes:
    """The frames of one message to a proxy."""
    parts: list[Message] = [*_table_parts(update.tables), *_level_parts(update.levels)]
    if not parts:
        parts.append({"type": UPDATE})
    assert len(parts) <= PARTS_MAX, len(parts)
    last = parts[-1]
    if update.excluded:
        last["out"] = update.excluded
    if update.readmitted:
        last["back"] = update.readmitted
    if update.barrier is not None:
        last["ticket"] = update.barrier
    for part in parts[:-1]:
        part["more"] = True
    return b"".join(map(frame, parts))


def _table_parts(tables: Iterable[TableUpdate]) -> Iterator[Message]:
    for table in tables:
        lines = list(table.entries.items())
        for start in range(0, len(lines) or 1, ENTRIES_PER_PART):
            part: Message = {"type": UPDATE, "lines": lines[start : start + ENTRIES_PER_PART]}
            if table.classes is not None:
                part["classes"] = table.classes
            if table.complete and start == 0:
                part["whole"] = True
            yield part


def _level_parts(levels: Iterable[LevelUpdate]) -> Iterator[Message]:
    for level in levels:
        part: Message = {"type": UPDATE, "level": level.share, "retry": level.retries}
        if level.classes is not None:
            part["classes"] = level.classes
        yield part
