"""A pool of receive buffers of equal size.

The pool limits the number of buffers in use. A caller that acquires a buffer owns the buffer until the caller
releases it.
"""

# Bytes. A peer usually reports less than this in a second, so one read is enough.
BUFFER_SIZE = 16 * 1024
# Free buffers that are kept for reuse (512 KiB). More buffers are needed only during a burst.
FREE_MAX = 32


class BufferPool:
    """A pool of buffers; lowering `limit` does not take back buffers in use."""

    def __init__(self, limit: int, size: int = BUFFER_SIZE) -> None:
        """Create a pool of at most `limit` buffers of `size` bytes each."""
        self.size = size
        self.limit = limit
        self.in_use = 0
        self.free: list[bytearray] = []

    def acquire(self) -> bytearray | None:
        """Return a buffer, or None if `limit` buffers are in use; the caller has to release it."""
        if self.in_use >= self.limit:
            return None
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool."""
        self.in_use -= 1
        if len(self.free) < FREE_MAX:
            self.free.append(buffer)
