"""The state of each backend, to find out whether an entry of the endpoint list changes it."""

import sys
from collections.abc import Iterator
from typing import NamedTuple


class EndpointState(NamedTuple):
    """The state of a backend that is not gone."""

    phase: str
    started: int  # ns of the backend's start; 0: long ago


class EndpointStates:
    """The state of each backend that is not gone, by name."""

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._shared: dict[
            EndpointState, EndpointState
        ] = {}  # one object per state, as most backends share it

    def __iter__(self) -> Iterator[str]:
        return iter(self._states)

    def update(self, backend: str, phase: str, started: int) -> bool:
        """Apply one entry of the endpoint list; return whether it changes the backend's state."""
        state = None if phase == "gone" else EndpointState(phase, started)
        if self._states.get(backend) == state:
            return False
        if state is None:
            del self._states[backend]
        else:
            self._states[sys.intern(backend)] = self._shared.setdefault(state, state)
        return True

    def ready(self) -> Iterator[str]:
        """Return the backends that may be in a table."""
        return (backend for backend, state in self._states.items() if state.phase == "ready")

    def any_ready(self) -> bool:
        """Return whether any backend may be in a table."""
        return any(state.phase == "ready" for state in self._states.values())
