"""What discovery has told each coordinator of the backends."""

import msgspec

from granitespool.scale.trace import BackendListed


class _Listing(msgspec.Struct, frozen=True):
    """A backend as one coordinator was told of it last."""

    ready: bool
    started: int  # ns; 0: long ago


class EndpointList:
    """What one incarnation of a coordinator was told."""

    def __init__(self, only_draining_binds: bool) -> None:
        """`only_draining_binds` as in Limits."""
        self.only_draining_binds = only_draining_binds
        self.unready: dict[str, int] = {}  # backend that no proxy may hold open for long -> told when, ns
        self._listings: dict[str, _Listing] = {}

    def update(self, event: BackendListed) -> None:
        """Takes one entry."""
        ready = event.phase == "ready"
        self._listings[event.backend] = _Listing(ready, event.started)
        if ready:
            self.unready.pop(event.backend, None)
        elif event.phase == "draining" or not self.only_draining_binds:
            self.unready.setdefault(event.backend, event.at)

    def first_warm_at(self, warm_up_time: int) -> int | None:
        """When (ns) the first of the ready backends is or was warm; None where none is ready."""
        ready = (listing.started for listing in self._listings.values() if listing.ready)
        return min((started + warm_up_time if started else 0 for started in ready), default=None)


class CoordinatorView:
    """One coordinator from outside: its first answer, its proxies and its list."""

    def __init__(self, only_draining_binds: bool) -> None:
        """`only_draining_binds` as in Limits."""
        self.only_draining_binds = only_draining_binds
        self.answered_at: int | None = None  # ns of the first answer of its present incarnation
        self.proxies: dict[int, None] = {}  # in order of joining
        self.listed = EndpointList(only_draining_binds)
        self._next_listed = self.listed  # what the next incarnation knows

    def update(self, event: BackendListed) -> None:
        """Takes one entry of its list."""
        self.listed.update(event)
        if self._next_listed is not self.listed:
            self._next_listed.update(event)

    def end(self) -> None:
        """What is told from now on may be known to a new incarnation only; that shows at its answer."""
        self._next_listed = EndpointList(self.only_draining_binds)

    def answer(self, now: int) -> None:
        """A new incarnation answers for the first time: it knows only what was told since the end."""
        self.answered_at = now
        self.listed = self._next_listed
