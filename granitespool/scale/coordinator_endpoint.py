"""A coordinator as proxies and collectors see it, and the channel that carries its messages."""

from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Channel
from granitespool.scale.trace import ChannelBacklog
from granitespool.units import MILLISECOND, SECOND


class ChannelQueue:
    """The channel of one coordinator: a FIFO queue that carries a limited number of entries a second."""

    def __init__(self, recorder: Recorder, coordinator: str, settings: Channel) -> None:
        self.recorder = recorder
        self.coordinator = coordinator
        self.entries_per_s = settings.lines_per_s
        self.header_entries = settings.head_lines  # entries that the header of a message counts as
        self.delay = int(settings.delay_ms * MILLISECOND)  # ns
        self.free_at = 0  # ns when the channel has carried everything in its queue

    def enqueue(self, now: int, entries: int) -> int:
        """Queue a message of `entries` entries; return when (ns) the channel has delivered it."""
        self.free_at = max(now, self.free_at) + int(
            (entries + self.header_entries) / self.entries_per_s * SECOND
        )
        queued = (self.free_at - now) / SECOND * self.entries_per_s
        self.recorder.add(ChannelBacklog(at=now, coordinator=self.coordinator, entries=queued))
        return self.free_at + self.delay

    def clear(self, now: int) -> None:
        """Discard the queue at `now` (ns), as the end of the coordinator's process does."""
        self.free_at = now
        self.recorder.add(ChannelBacklog(at=now, coordinator=self.coordinator, entries=0))


class CoordinatorEndpoint:
    """One coordinator as its clients see it."""

    def __init__(
        self, recorder: Recorder, name: str, zone: str, address: tuple[str, int], channel: ChannelQueue
    ) -> None:
        """Create the endpoint; `recorder` counts the traffic with the coordinator."""
        self.recorder = recorder
        self.name = name
        self.zone = zone
        self.address = address
        self.channel = channel
        self.down = False  # stopped, killed or not reachable
        self.reports_enabled = False  # whether load reports are sent to the coordinator
        self.others: list[CoordinatorEndpoint] = []  # to which proxies connect after a stop
        self._next_other = 0

    @property
    def region(self) -> str:
        """The region of the coordinator's zone."""
        return region_of(self.zone)

    def successor(self) -> "CoordinatorEndpoint":
        """Return the next running coordinator, round-robin; the coordinator itself if no other runs."""
        serving = [endpoint for endpoint in self.others if not endpoint.down]
        self._next_other += 1
        return serving[self._next_other % len(serving)] if serving else self


def region_of(zone: str) -> str:
    """Return the region of a zone."""
    return zone.partition("-")[0]
