"""The rate-limited channel from a coordinator to its proxies.

Messages are sent one after another at a fixed rate of table entries, and arrive after a fixed delay.
"""

from granitespool.emulator.schema import ChannelSettings
from granitespool.units import MILLISECOND, SECOND

# Interval in ns. All messages that arrive within one interval are processed together at its end.
BATCH_INTERVAL = 10 * MILLISECOND


def batch_end(arrival: int) -> int:
    """Return the time (ns) at which a message that arrives at `arrival` (ns) is processed."""
    return -(-arrival // BATCH_INTERVAL) * BATCH_INTERVAL


class Channel:
    """Channel that one incarnation of a coordinator uses until it ends."""

    def __init__(self, settings: ChannelSettings, entry_rate: float, now: int) -> None:
        self.entry_rate = entry_rate  # table entries per second
        self.delay = int(settings.delay_ms * MILLISECOND)  # ns
        self.free_at = now  # time (ns) at which the last message has been sent completely

    def send(self, now: int, entries: int) -> int:
        """Send a message of `entries` table entries; return the time (ns) at which the proxy processes it."""
        self.free_at = max(self.free_at, now) + int(SECOND * entries / self.entry_rate)
        return batch_end(self.free_at + self.delay)
