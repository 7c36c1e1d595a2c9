"""Side effects of the planner, implemented by the process that it runs in.

The planner calls these methods while it handles an event; each takes effect at the time of that event. Times
are whole nanoseconds. Names are those that the events contain. `classes` is a bit mask: the sum of 2**k over
the positions k of request classes in the settings (0: all classes).
"""

from collections.abc import Iterable, Mapping
from typing import Protocol

from granitespool.planner.records import UnassignedProxy


class PlannerActions(Protocol):
    """The actions that a planner can take."""

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Set one entry of a table; weight 0 removes it."""

    def reset_table(self, table: int) -> None:
        """Remove all entries and admission levels of a table."""

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Put a joined proxy on a table for some request classes, until it leaves."""

    def exclude(self, backend: str, excluded: bool) -> None:
        """Exclude a backend from every table that joined proxies have, or readmit it."""

    def exclusion_cost(
        self, backend: str, excluded: bool, unassigned: Mapping[int, UnassignedProxy], backend_count: int
    ) -> Mapping[int, float]:
        """Return the table entries that `exclude` would cost now, by proxy.

        These are fractions where the channel leaves out proxies that do not have the backend.
        `backend_count` is the number of backends in the planner's fleet.
        """

    def readmission_cost(
        self, proxies: Iterable[int], table: int, backend: str | None = None
    ) -> Mapping[int, int]:
        """Return the table entries, by proxy, that readmit what these proxies may have excluded.

        They are needed when the proxies get the entry of this backend, or the complete table if it is None.
        """

    def set_admission(self, table: int, classes: int, share: float, retries: int) -> None:
        """Set the admitted share of some request classes, and how proxies retry them (0 to 3)."""

    def request_acknowledgement(self, sequence: int, all_proxies: bool) -> None:
        """Add an acknowledgement barrier to each message that is sent at this time.

        With `all_proxies` every joined proxy is sent one.
        """

    def check_health(self, backend: str) -> None:
        """Send a health check to a backend."""

    def remove_backend(self, backend: str) -> None:
        """Drop all state of a backend.

        The planner does not use its name again unless the endpoint list contains it.
        """

    def subscribe(self, enabled: bool) -> None:
        """Start or stop receiving changes of the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Request the complete endpoint list once."""

    def set_timer(self, delay: int, cookie: str) -> None:
        """Call the planner's `on_timer` with this cookie after a delay (ns)."""

    def send_gossip(self, peer: int, payload: str) -> None:
        """Send at most 256 bytes (in hex) to a peer; -1 sends to all peers."""

    def log(self, text: str) -> None:
        """Add an entry to the log."""
