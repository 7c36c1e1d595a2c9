"""What proxies and collectors know of one coordinator, and the channel that its messages pass."""

from granitespool.scale.recorder import Recorder
from granitespool.scale.schema import Channel
from granitespool.scale.trace import ChannelBacklog
from granitespool.units import MILLISECOND, SECOND


class ChannelQueue:
    """The platform's channel of one coordinator: messages wait in order, so many entries pass a second."""

    def __init__(self, recorder: Recorder, coordinator: str, settings: Channel) -> None:
        self.recorder = recorder
        self.coordinator = coordinator
        self.entries_per_s = settings.lines_per_s
        self.head = settings.head_lines  # entries that the head of a message counts as
        self.delay = int(settings.delay_ms * MILLISECOND)  # ns
        self.free_at = 0  # ns

    def enqueue(self, now: int, entries: int) -> int:
        """A message of so many entries enters; returns when (ns) it has passed."""
        self.free_at = max(now, self.free_at) + int((entries + self.head) / self.entries_per_s * SECOND)
        waiting = (self.free_at - now) / SECOND * self.entries_per_s
        self.recorder.add(ChannelBacklog(at=now, coordinator=self.coordinator, entries=waiting))
        return self.free_at + self.delay


class CoordinatorEndpoint:
    """One coordinator as seen from outside."""

    def __init__(
        self, recorder: Recorder, name: str, zone: str, address: tuple[str, int], channel: ChannelQueue
    ) -> None:
        """`recorder` takes the traffic with it."""
        self.recorder = recorder
        self.name = name
        self.zone = zone
        self.address = address
        self.channel = channel
        self.down = False  # it was asked to end, was killed or cannot be reached
        self.wants_reports = False  # whether load reports are sent to it
        self.others: list[CoordinatorEndpoint] = []  # where its proxies go when it ends
        self._next_other = 0

    @property
    def region(self) -> str:
        """The region that it stands in."""
        return region_of(self.zone)

    def successor(self) -> "CoordinatorEndpoint":
        """Another coordinator that serves, in turn; this one where there is none."""
        serving = [endpoint for endpoint in self.others if not endpoint.down]
        self._next_other += 1
        return serving[self._next_other % len(serving)] if serving else self


def region_of(zone: str) -> str:
    """The region of a zone."""
    return zone.partition("-")[0]
