"""Buffers of one size, taken from a pool and given back to it."""

SIZE = 16 * 1024  # bytes of a buffer: a usual second of one party's reports in one read
KEPT = 32  # free buffers kept for use again, 512 KiB: more only stand by after a burst


class Pool:
    def __init__(self, most, size=SIZE):
        self.size, self.most, self.out, self.free = size, most, 0, []

    def take(self):
        """A buffer, or None when too many are out; whoever takes one gives it back."""
        if self.out >= self.most:
            return None
        self.out += 1
        return self.free.pop() if self.free else bytearray(self.size)

    def give(self, buffer):
        self.out -= 1
        if len(self.free) < KEPT:
            self.free.append(buffer)
