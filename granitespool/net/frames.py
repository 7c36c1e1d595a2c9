"""Encode and decode frames: a little-endian length of four bytes, followed by one JSON object.

`frame` and `encode_update` encode messages, and `Reader` decodes received bytes. This module does no I/O. The
modules `messages` and `dispatch` interpret the messages.
"""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import orjson

from granitespool.errors import InvalidInputError
from granitespool.net.buffers import BufferPool
from granitespool.outgoing import LevelUpdate, ProxyUpdate, TableUpdate

MESSAGE_MAX = 1 << 20  # bytes of a message, limited by the protocol
# Bytes. A longer message takes noticeable time to parse, and none that peers have to send is as long.
LARGE_MESSAGE = 64 * 1024
PARTS_MAX = 64  # parts of a message, limited by the protocol
# Entries in one part of a message. If no entry exceeds 500 bytes, a part stays below `MESSAGE_MAX`.
ENTRIES_PER_PART = 2048
LENGTH_SIZE = 4  # bytes of the length prefix
UPDATE = "update"  # the type of an update, which is sent to a proxy
UNTYPED = ""  # the type of a message that is not an object or has no valid type

Message = dict[str, Any]


def frame(message: Message) -> bytes:
    """Encode one message as a frame."""
    body = orjson.dumps(message)
    return len(body).to_bytes(LENGTH_SIZE, "little") + body


PONG = frame({"type": "pong"})


def parse_body(body: bytes) -> Any:
    """Return the JSON value of a frame's body; raise InvalidInputError if the body is not JSON."""
    try:
        return orjson.loads(body)
    except ValueError as error:
        # Some JSON libraries write NaN or Infinity, which orjson rejects. The standard library parses such a
        # body, so that the check of the fields drops only this message. An invalid body is parsed twice.
        try:
            return json.loads(body)
        except (ValueError, RecursionError):
            raise InvalidInputError(f"a message is not JSON: {error}") from None


class Reader:
    """Decodes the messages of one peer; owns the receive buffers that are acquired for the peer."""

    def __init__(self, pool: BufferPool, message_max: int) -> None:
        """Create a reader for messages of at most `message_max` bytes; the limit may be raised later."""
        self.pool = pool
        self.message_max = message_max
        self.buffers: list[tuple[bytearray, int]] = []  # (buffer, number of received bytes in it)
        self.offset = 0  # position of the next unread byte in the first buffer
        self.available = 0  # number of unread bytes in all buffers

    def free_space(self) -> memoryview | None:
        """Return free space for received bytes, or None if the pool has no free buffer."""
        if not self.buffers or self.buffers[-1][1] == self.pool.size:
            buffer = self.pool.acquire()
            if buffer is None:
                return None
            self.buffers.append((buffer, 0))
        buffer, filled = self.buffers[-1]
        return memoryview(buffer)[filled:]

    def received(self, size: int) -> None:
        """Record that `size` bytes were received into the view returned by `free_space`."""
        buffer, filled = self.buffers[-1]
        self.buffers[-1] = (buffer, filled + size)
        self.available += size

    def messages(self, may_parse_large: Callable[[], bool] = lambda: True) -> Iterator[Message]:
        """Yield and remove the complete messages; raise InvalidInputError if a frame is invalid.

        `may_parse_large` is called for each message over `LARGE_MESSAGE`. If it returns False, the message
        and all that follow stay in the buffers.
        """
        while self.available >= LENGTH_SIZE:
            size = int.from_bytes(self._peek(LENGTH_SIZE), "little")
            if size > self.message_max:
                raise InvalidInputError(f"a message of {size} bytes is over the limit")
            if self.available < LENGTH_SIZE + size:
                return
            if size > LARGE_MESSAGE and not may_parse_large():
                return
            self._skip(LENGTH_SIZE)
            body = self._peek(size)
            self._skip(size)
            yield _with_type(parse_body(body))

    def close(self) -> None:
        """Release all buffers."""
        while self.buffers:
            self.pool.release(self.buffers.pop()[0])
        self.offset = 0
        self.available = 0

    def _peek(self, size: int) -> bytes:
        """Return the next `size` bytes without removing them."""
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
        """Remove the next `size` bytes and release the buffers that contained them."""
        self.offset += size
        self.available -= size
        while self.buffers and self.offset >= self.buffers[0][1]:
            buffer, filled = self.buffers.pop(0)
            self.offset -= filled
            self.pool.release(buffer)


def _with_type(value: object) -> Message:
    """Return the value as a message; the type of the message is `UNTYPED` if the value has no valid type."""
    message = value if isinstance(value, dict) else {}
    return message if isinstance(message.get("type"), str) else {**message, "type": UNTYPED}


def encode_update(update: ProxyUpdate) -> bytes:
    """Encode an update to a proxy as frames, one frame for each part of the message."""
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
        entries = list(table.entries.items())
        for start in range(0, len(entries) or 1, ENTRIES_PER_PART):
            part: Message = {"type": UPDATE, "lines": entries[start : start + ENTRIES_PER_PART]}
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
