"""The endpoint list that each coordinator has received from discovery."""

import msgspec

from granitespool.scale.trace import BackendListed


class _Listing(msgspec.Struct, frozen=True):
    """The last entry of a backend that one coordinator has received."""

    ready: bool
    started: int  # ns of the backend's start; 0: long ago


class EndpointList:
    """The endpoint list that one process of a coordinator has received."""

    def __init__(self, only_draining_binds: bool) -> None:
        """Create an empty list; `only_draining_binds` is that of `Limits`."""
        self.only_draining_binds = only_draining_binds
        self.unready: dict[str, int] = {}  # backend to remove from tables -> ns when its removal was received
        self._listings: dict[str, _Listing] = {}

    def update(self, event: BackendListed) -> None:
        """Apply one entry."""
        ready = event.phase == "ready"
        self._listings[event.backend] = _Listing(ready, event.started)
        if ready:
            self.unready.pop(event.backend, None)
        elif event.phase == "draining" or not self.only_draining_binds:
            self.unready.setdefault(event.backend, event.at)

    def first_warm_at(self, warm_up_time: int) -> int | None:
        """Return when (ns) the first ready backend is or was warmed up; None if no backend is ready."""
        ready = (listing.started for listing in self._listings.values() if listing.ready)
        return min((started + warm_up_time if started else 0 for started in ready), default=None)


class CoordinatorView:
    """A coordinator as seen from outside: its first answer, its proxies and its endpoint list."""

    def __init__(self, only_draining_binds: bool) -> None:
        """Create a coordinator without proxies; `only_draining_binds` is that of `Limits`."""
        self.only_draining_binds = only_draining_binds
        self.answered_at: int | None = None  # ns of the first answer of its current process
        self.proxies: dict[int, None] = {}  # in order of joining
        self.listed = EndpointList(only_draining_binds)
        self._next_listed = self.listed  # the list of the next process

    def update(self, event: BackendListed) -> None:
        """Apply one entry of its endpoint list."""
        self.listed.update(event)
        if self._next_listed is not self.listed:
            self._next_listed.update(event)

    def end(self) -> None:
        """Collect further entries for a new process too; its first answer shows that there is one."""
        self._next_listed = EndpointList(self.only_draining_binds)

    def answer(self, now: int) -> None:
        """Switch to a new process, whose list has only the entries since the end of the former one."""
        self.answered_at = now
        self.listed = self._next_listed
