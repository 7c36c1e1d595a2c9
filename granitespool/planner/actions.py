"""What the planner may ask of the process that it runs in.

The planner calls these methods while it handles an event; each takes effect at that event's time. Times are
whole nanoseconds, names are those that the events brought, `classes` is the sum of 2**k over positions in the
settings' request classes (0: all).
"""

from collections.abc import Iterable, Mapping
from typing import Protocol

from granitespool.planner.records import UnassignedProxy


class PlannerActions(Protocol):
    """The side effects of decisions."""

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Set one entry of a table; weight 0 removes it."""

    def reset_table(self, table: int) -> None:
        """Remove all entries and admission levels of a table."""

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Put a joined proxy on a table for some classes, from now until it leaves."""

    def exclude(self, backend: str, excluded: bool) -> None:
        """Exclude a backend from everything that joined proxies hold, or readmit it."""

    def exclusion_cost(
        self, backend: str, excluded: bool, unassigned: Mapping[int, UnassignedProxy], backend_count: int
    ) -> Mapping[int, float]:
        """Table entries that `exclude` would cost now, by proxy.

        They may be parts of one, where the channel leaves out proxies that do not hold the backend. `known`:
        how many backends the planner knows.
        """

    def readmission_cost(
        self, proxies: Iterable[int], table: int, backend: str | None = None
    ) -> Mapping[int, int]:
        """Table entries, by proxy, that readmit what these may hold excluded.

        That is where they get this backend's entry, or the complete table.
        """

    def set_admission(self, table: int, classes: int, share: float, retries: int) -> None:
        """Set the admitted share of some classes, and how proxies retry them (0 to 3)."""

    def request_acknowledgement(self, sequence: int, all_proxies: bool) -> None:
        """Have each proxy that gets a message at this time acknowledge once it has applied it."""

    def check_health(self, backend: str) -> None:
        """Send one health check."""

    def remove_backend(self, backend: str) -> None:
        """Drop what is kept of a backend: nothing will name it again, unless the endpoint list does."""

    def subscribe(self, enabled: bool) -> None:
        """Ask for changes of the endpoint list from now on, or stop them."""

    def fetch_endpoints(self) -> None:
        """Ask for the complete endpoint list once."""

    def set_timer(self, delay: int, cookie: str) -> None:
        """Call the planner's `on_timer` with this cookie after a delay."""

    def send_gossip(self, peer: int, payload: str) -> None:
        """Send at most 256 bytes (in hex) to a peer, or to all with -1."""

    def log(self, text: str) -> None:
        """Add an entry to the log."""
