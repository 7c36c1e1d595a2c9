"""What stand-ins observe: the trace for the checker, and bytes by kind for the report."""

from collections import Counter
from collections.abc import Callable
from typing import Literal

from granitespool.scale.hollow import UpdateSeen
from granitespool.scale.trace import AnyEvent

Direction = Literal["in", "out"]  # as the coordinator sees it


class Recorder:
    """Collects events in order of one clock, and the traffic of each coordinator."""

    def __init__(self, clock: Callable[[], int], traced: bool = True) -> None:
        self.clock, self.traced = clock, traced  # ns; whether events are kept
        self.updates: dict[str, list[UpdateSeen]] = {}  # by coordinator, for its profile
        self.events: list[AnyEvent] = []
        self.messages: Counter[tuple[str, Direction, str]] = Counter()  # coordinator, direction, kind
        self.bytes: Counter[tuple[str, Direction, str]] = Counter()

    def add(self, event: AnyEvent) -> None:
        """Takes one event; its time is that of the clock."""
        if self.traced:
            self.events.append(event)

    def update_seen(self, coordinator: str, event: UpdateSeen) -> None:
        """Takes a whole message that a proxy has received."""
        if self.traced:
            self.updates.setdefault(coordinator, []).append(event)

    def count(self, coordinator: str, direction: Direction, kind: str, size: int, messages: int = 1) -> None:
        """Counts messages of a kind that together have `size` bytes."""
        self.messages[coordinator, direction, kind] += messages
        self.bytes[coordinator, direction, kind] += size
