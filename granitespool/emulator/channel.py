"""The channel from a coordinator to its proxies: messages one after the other at a pace, then a delay."""

from granitespool.emulator.schema import ChannelSettings
from granitespool.units import MILLISECOND, SECOND

BATCH_INTERVAL = 10 * MILLISECOND  # ns: what arrives within so long is taken in one turn


def batch_end(when: int) -> int:
    """The time (ns) at which something that arrives at `when` is taken."""
    return -(-when // BATCH_INTERVAL) * BATCH_INTERVAL


class Channel:
    """Carries the messages of one incarnation of a coordinator."""

    def __init__(self, settings: ChannelSettings, entries_per_s: float, now: int) -> None:
        self.entry_rate = entries_per_s
        self.delay = int(settings.delay_ms * MILLISECOND)  # ns
        self.free_at = now  # ns

    def send(self, now: int, entries: int) -> int:
        """Takes a message of so many table entries; the time (ns) at which its proxy has it."""
        self.free_at = max(self.free_at, now) + int(SECOND * entries / self.entry_rate)
        return batch_end(self.free_at + self.delay)
