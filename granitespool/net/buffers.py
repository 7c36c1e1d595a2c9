"""Receive buffers of one size, taken from a pool and given back to it.

The pool owns the limit on buffers that are out; whoever takes a buffer owns it until it is given back."""

BUFFER_SIZE = 16 * 1024  # bytes: a usual second of one peer's reports in one read
FREE_MAX = 32  # free buffers kept for use again, 512 KiB: more are only needed after a burst


class BufferPool:
    """A pool of buffers; `limit` may change, and a lower one takes no buffer back."""

    def __init__(self, limit: int, size: int = BUFFER_SIZE) -> None:
        """`limit` is a number of buffers, `size` the bytes of each."""
        self.size = size
        self.limit = limit
        self.in_use = 0
        self.free: list[bytearray] = []

    def acquire(self) -> bytearray | None:
        """A buffer, or None when too many are out; whoever takes one gives it back."""
        if self.in_use >= self.limit:
            return None
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Takes a buffer back."""
        self.in_use -= 1
        if len(self.free) < FREE_MAX:
            self.free.append(buffer)
