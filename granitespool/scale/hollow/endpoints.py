"""What is known of the backends: enough to see what a message of the endpoint list changes."""

import sys
from collections.abc import Iterator
from typing import NamedTuple


class EndpointState(NamedTuple):
    """A backend that is not gone."""

    phase: str
    started: int  # ns; 0: long ago


class EndpointStates:
    """The state of each backend that is not gone, by name."""

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._shared: dict[EndpointState, EndpointState] = {}  # most backends are in the same state

    def __iter__(self) -> Iterator[str]:
        return iter(self._states)

    def update(self, backend: str, phase: str, started: int) -> bool:
        """Takes one entry of the list; True where it differs from what was known."""
        state = None if phase == "gone" else EndpointState(phase, started)
        if self._states.get(backend) == state:
            return False
        if state is None:
            del self._states[backend]
        else:
            self._states[sys.intern(backend)] = self._shared.setdefault(state, state)
        return True

    def ready(self) -> Iterator[str]:
        """The backends that may be in a table."""
        return (backend for backend, state in self._states.items() if state.phase == "ready")

    def any_ready(self) -> bool:
        """Whether any backend may be in a table."""
        return any(state.phase == "ready" for state in self._states.values())
