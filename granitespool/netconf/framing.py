"""Message framing of RFC 6242: the end-of-message marker of base:1.0, the chunks of base:1.1; no I/O."""

from collections.abc import Iterator

from granitespool.netconf.errors import FramingError

END_OF_MESSAGE = b"]]>]]>"
END_OF_CHUNKS = b"\n##\n"
CHUNK_START = b"\n#"
MAX_CHUNK_BYTES = 4_294_967_295  # the limit of RFC 6242, 4.2; the reader also limits whole messages
MAX_CHUNK_HEADER_BYTES = 13  # "\n#", ten digits, "\n"


def frame(message: bytes, chunked: bool) -> bytes:
    """Return the framed bytes of a message."""
    if chunked:
        return b"\n#%d\n%s\n##\n" % (len(message), message)
    return message + END_OF_MESSAGE


class MessageReader:
    """Splits the bytes of one peer into messages.

    `chunked` selects the framing; it may change between two messages.
    """

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self.chunked = False
        self._received = bytearray()
        self._message = bytearray()  # the chunks of the current message so far
        self._chunk_bytes_left = 0  # bytes of the current chunk that have not arrived yet

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._received += data

    def messages(self) -> Iterator[bytes]:
        """Yield each message that has been received completely.

        Raises:
            FramingError: the framing is invalid, or a message exceeds the size limit.
        """
        while (message := self._next_message()) is not None:
            yield message

    def _next_message(self) -> bytes | None:
        return self._read_chunked() if self.chunked else self._read_delimited()

    def _read_delimited(self) -> bytes | None:
        end = self._received.find(END_OF_MESSAGE)
        size = end if end >= 0 else len(self._received) - len(END_OF_MESSAGE)
        self._check_size(size)
        if end < 0:
            return None
        message = bytes(self._received[:end])
        del self._received[: end + len(END_OF_MESSAGE)]
        return message

    def _check_size(self, size: int) -> None:
        if size > self.max_message_bytes:
            reason = f"a message exceeds the limit of {self.max_message_bytes} bytes"
            raise FramingError(reason)

    def _read_chunked(self) -> bytes | None:
        while True:
            self._take_chunk_data()
            if self._chunk_bytes_left:
                return None
            header = bytes(self._received[:MAX_CHUNK_HEADER_BYTES])
            self._check_header_start(header)
            if header.startswith(END_OF_CHUNKS):
                return self._finish_message()
            header_end = header.find(b"\n", 1)
            if header_end < 0:
                self._check_header_incomplete(header)
                return None
            self._chunk_bytes_left = self._chunk_size(header[len(CHUNK_START) : header_end])
            del self._received[: header_end + 1]

    def _take_chunk_data(self) -> None:
        data = self._received[: self._chunk_bytes_left]
        self._message += data
        del self._received[: len(data)]
        self._chunk_bytes_left -= len(data)

    @staticmethod
    def _check_header_start(header: bytes) -> None:
        may_be_end = END_OF_CHUNKS.startswith(header[: len(END_OF_CHUNKS)])
        may_be_chunk = header.startswith(CHUNK_START[: len(header)])
        if not may_be_end and not may_be_chunk:
            reason = "a chunk does not begin with a chunk header"
            raise FramingError(reason)

    @staticmethod
    def _check_header_incomplete(header: bytes) -> None:
        if len(header) >= MAX_CHUNK_HEADER_BYTES:
            reason = "a chunk header has no end"
            raise FramingError(reason)

    def _finish_message(self) -> bytes:
        del self._received[: len(END_OF_CHUNKS)]
        message = bytes(self._message)
        self._message.clear()
        return message

    def _chunk_size(self, digits: bytes) -> int:
        if not digits.isdigit() or digits.startswith(b"0") or int(digits) > MAX_CHUNK_BYTES:
            reason = f"a chunk has the length {digits[:20]!r}"
            raise FramingError(reason)
        self._check_size(len(self._message) + int(digits))
        return int(digits)
