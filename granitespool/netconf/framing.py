"""The two framings of RFC 6242: an end mark for base:1.0, chunks for base:1.1; no I/O."""

END = b"]]>]]>"
CHUNK_MOST = 4_294_967_295  # bytes of a chunk by the RFC; a message's bound is the reader's own
HEAD_MOST = 13  # bytes of a chunk's head at most: "\n#", ten digits, "\n"


class Wrong(Exception):
    """Bytes that are no frame, or a message over the bound."""


def framed(data, chunked):
    """A message's bytes for the wire."""
    return b"\n#%d\n%s\n##\n" % (len(data), data) if chunked else data + END


class Reader:
    """What one peer has sent and is not a whole message yet."""

    def __init__(self, most):
        self.most, self.chunked, self.data = most, False, bytearray()
        self.message, self.left = bytearray(), 0  # of the chunks so far; bytes that the current one lacks

    def feed(self, data):
        self.data += data

    def messages(self):
        """Yields whole messages; `chunked` may be set between two of them. Ends in Wrong."""
        while (message := self._chunks() if self.chunked else self._marked()) is not None:
            yield message

    def _marked(self):
        at = self.data.find(END)
        if (at if at >= 0 else len(self.data) - len(END)) > self.most:
            raise Wrong(f"a message is over {self.most} bytes")
        if at < 0:
            return None
        message = bytes(self.data[:at])
        del self.data[: at + len(END)]
        return message

    def _chunks(self):
        while True:
            if self.left:
                piece = self.data[: self.left]
                self.message += piece
                del self.data[: len(piece)]
                self.left -= len(piece)
                if self.left:
                    return None
            head = bytes(self.data[:HEAD_MOST])
            if not b"\n##\n".startswith(head[:4]) and not head.startswith(b"\n#"[: len(head)]):
                raise Wrong("a chunk does not begin with its head")
            if head.startswith(b"\n##\n"):
                del self.data[:4]
                message, self.message = bytes(self.message), bytearray()
                return message
            end = head.find(b"\n", 1)
            if end < 0:
                if len(head) >= HEAD_MOST:
                    raise Wrong("a chunk's head has no end")
                return None
            digits = head[2:end]
            if not digits.isdigit() or digits.startswith(b"0") or int(digits) > CHUNK_MOST:
                raise Wrong(f"a chunk has the length {digits[:20]!r}")
            if len(self.message) + int(digits) > self.most:
                raise Wrong(f"a message is over {self.most} bytes")
            self.left = int(digits)
            del self.data[: end + 1]
