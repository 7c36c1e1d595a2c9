"""Records what the stand-ins observe: the trace for the checker, and bytes by kind for the report."""

from collections import Counter
from collections.abc import Callable
from typing import Literal, NamedTuple

from granitespool.scale.trace import AnyEvent, UpdateReceived

Direction = Literal["in", "out"]  # from the coordinator's point of view


class TrafficKey(NamedTuple):
    """The key by which messages and bytes are counted."""

    coordinator: str
    direction: Direction
    kind: str


class Recorder:
    """The events of a run in the order of a single clock, and the traffic of each coordinator."""

    def __init__(self, clock: Callable[[], int], traced: bool = True) -> None:
        """Create the recorder; `clock` returns ns, and events are kept only if `traced`."""
        self.clock = clock
        self.traced = traced
        self.updates: dict[str, list[UpdateReceived]] = {}  # by coordinator, to measure its profile
        self.events: list[AnyEvent] = []
        self.messages: Counter[TrafficKey] = Counter()
        self.bytes: Counter[TrafficKey] = Counter()

    def add(self, event: AnyEvent) -> None:
        """Record one event with the clock's current time."""
        if self.traced:
            self.events.append(event)

    def add_update(self, coordinator: str, event: UpdateReceived) -> None:
        """Record a complete message that a proxy has received."""
        if self.traced:
            self.updates.setdefault(coordinator, []).append(event)

    def count(self, coordinator: str, direction: Direction, kind: str, size: int, messages: int = 1) -> None:
        """Count messages of one kind, with `size` bytes in total."""
        key = TrafficKey(coordinator, direction, kind)
        self.messages[key] += messages
        self.bytes[key] += size
