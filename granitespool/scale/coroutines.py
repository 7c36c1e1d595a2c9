"""The type of coroutines that run on the event loop."""

from collections.abc import Generator
from typing import Any

# Yields (descriptor, events, deadline in ns) and is resumed with the events that occurred; may return a value
Wait = Generator[tuple[int | None, int, int | None], int, Any]
