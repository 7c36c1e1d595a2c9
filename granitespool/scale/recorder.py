"""What the stand-ins observe: the trace for the checker, and bytes by kind for the report."""

from collections import Counter
from collections.abc import Callable
from typing import Literal, NamedTuple

from granitespool.scale.trace import AnyEvent, UpdateReceived

Direction = Literal["in", "out"]  # as the coordinator sees it


class TrafficKey(NamedTuple):
    """What messages and bytes are counted by."""

    coordinator: str
    direction: Direction
    kind: str


class Recorder:
    """Collects events in order of one clock, and the traffic of each coordinator."""

    def __init__(self, clock: Callable[[], int], traced: bool = True) -> None:
        """`clock` gives ns; `traced`: whether events are kept."""
        self.clock = clock
        self.traced = traced
        self.updates: dict[str, list[UpdateReceived]] = {}  # by coordinator, for its profile
        self.events: list[AnyEvent] = []
        self.messages: Counter[TrafficKey] = Counter()
        self.bytes: Counter[TrafficKey] = Counter()

    def add(self, event: AnyEvent) -> None:
        """Takes one event; its time is that of the clock."""
        if self.traced:
            self.events.append(event)

    def add_update(self, coordinator: str, event: UpdateReceived) -> None:
        """Takes a complete message that a proxy has received."""
        if self.traced:
            self.updates.setdefault(coordinator, []).append(event)

    def count(self, coordinator: str, direction: Direction, kind: str, size: int, messages: int = 1) -> None:
        """Counts messages of a kind that together have `size` bytes."""
        key = TrafficKey(coordinator, direction, kind)
        self.messages[key] += messages
        self.bytes[key] += size
