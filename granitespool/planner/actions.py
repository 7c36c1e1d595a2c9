"""Side effects of the planner, implemented by the process that runs the planner.

The planner calls these methods while it handles an event. Each call takes effect at the time of that event.
Times are whole nanoseconds. Backends, proxies and tables have the same names and numbers as in the events.
`classes` is a bit mask of request classes: bit k stands for the class at position k in the settings, counted
from 0. The mask 0 stands for all classes.
"""

from collections.abc import Iterable, Mapping
from typing import Protocol

from granitespool.planner.records import UnassignedProxy
from granitespool.planner.status import LateDrains


class ProxyActions(Protocol):
    """Actions that concern one proxy; only a channel with a stream for each proxy has them."""

    def assign_part(self, proxy: int, table: int, backends: Iterable[str]) -> None:
        """Put a joined proxy on a table for all request classes, with the entries of these backends only.

        The proxy is sent changes of these entries alone until `complete_table` is called.
        """

    def extend_part(self, proxy: int, table: int, backends: Iterable[str]) -> None:
        """Send a proxy that has a part of its table the entries of further backends, and their changes."""

    def complete_table(self, proxy: int, table: int) -> None:
        """Send a proxy that has a part of its table the rest of the entries."""

    def exclude_for(self, proxy: int, backends: Iterable[str]) -> None:
        """Exclude backends at one unassigned proxy."""

    def missing_exclusions(self, proxy: int, backends: Iterable[str]) -> list[str]:
        """Return which of these backends an unassigned proxy was not sent an exclusion of."""

    def report_late_drains(self, late: LateDrains) -> None:
        """Report that the channel cannot serve all proxies that are due in time."""

    def end_exclusion(self, backend: str) -> None:
        """Readmit a backend, at each proxy together with the first table entry of the backend."""


class PlannerActions(Protocol):
    """Actions that the planner calls for."""

    @property
    def proxy_actions(self) -> ProxyActions | None:
        """The actions that concern one proxy, or None if the channel has none."""

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Set one entry of a table; weight 0 removes it."""

    def reset_table(self, table: int) -> None:
        """Remove all entries and admission levels of a table."""

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Put a joined proxy on a table for some request classes, until the proxy leaves."""

    def exclude(self, backend: str, excluded: bool) -> None:
        """Exclude a backend from all tables of the joined proxies, or readmit the backend."""

    def exclusion_cost(
        self, backend: str, excluded: bool, unassigned: Mapping[int, UnassignedProxy], backend_count: int
    ) -> Mapping[int, float]:
        """Return, by proxy, the number of table entries that calling `exclude` now would send.

        If the channel skips proxies that do not have the backend, the numbers are estimates and can be
        fractions. `backend_count` is the number of backends in the planner's fleet.
        """

    def readmission_cost(
        self, proxies: Iterable[int], table: int, backend: str | None = None
    ) -> Mapping[int, int]:
        """Return, by proxy, the number of entries that readmit or exclude backends of a table.

        A backend has to be readmitted if the proxy may have it excluded and is about to get its entry in the
        table, and to be excluded if it is excluded now and the proxy was not sent that. Only the given
        backend is considered, or all backends of the table if `backend` is None.
        """

    def set_admission(self, table: int, classes: int, share: float, retries: int) -> None:
        """Set the admitted share and the retry mode of some request classes.

        The retry mode `retries` is 0 to 3. 0 allows no retry, 1 only retries of attempts that certainly never
        ran, and higher modes allow more.
        """

    def request_acknowledgement(self, sequence: int, all_proxies: bool) -> None:
        """Add an acknowledgement barrier to each message that is sent at the time of this event.

        With `all_proxies`, a message with the barrier is sent to every joined proxy.
        """

    def check_health(self, backend: str) -> None:
        """Send a health check to a backend."""

    def remove_backend(self, backend: str) -> None:
        """Drop all state of a backend.

        The planner does not use the backend's name again, unless a later endpoint list contains it.
        """

    def subscribe(self, enabled: bool) -> None:
        """Start or stop receiving changes of the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Request the complete endpoint list once."""

    def set_timer(self, delay: int, cookie: str) -> None:
        """Call the planner's `on_timer` with this cookie after a delay (ns)."""

    def send_gossip(self, peer: int, payload: str) -> None:
        """Send a datagram of at most 256 bytes to a peer. `payload` is in hex; peer -1 means all peers."""

    def log(self, text: str) -> None:
        """Add an entry to the log."""
