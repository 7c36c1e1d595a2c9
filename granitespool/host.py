"""What the planner may ask of the process it runs in, and the names of the settings it is handed.

The planner calls these methods while it handles an event; each takes effect at that event's time. Times are
whole nanoseconds, ids are what the events brought, `classes` is the sum of 2**k over positions in the
settings' `classes` (0: all).

Settings (a plain map; any may be absent), times in nanoseconds:
  classes        list of maps: name, effect (free, guarded, single_shot), repeat_scope (all, zone, cell),
                 repeat_window, promised_time, time_limit, benefit, late_share, own_zone_only, writes
  zones, zone, index, planners, subscribe, probes, peers, admission (fraction, per_second, none)
  lines_per_s, message_head, backlog_limit, messages_limit, messages_span, message_delay, message_delay_worst
  report_every, reports_per_s, try_factor, avoid_after (failures running after which a proxy shuns a server),
  standing_lines (most servers in the table a proxy starts with), usual_retry, connect_timeout, empty_limit,
  proxies_expected
  drain_grace, ask_within, cold_time, cold_share, fall_multiple, fall_time, drain_needs_entry
  slices, one_owner, lease, write_life, hold_time
"""

from typing import Protocol


class Host(Protocol):
    def weigh(self, table: int, backend: str, weight: float) -> None:
        """Set one line of a table; weight 0 removes it."""

    def reset_table(self, table: int) -> None:
        """Remove all lines and levels of a table."""

    def bind(self, proxy: int, table: int, classes: int) -> None:
        """Put a joined proxy on a table for some classes, from now until it leaves."""

    def withdraw(self, backend: str, out: bool) -> None:
        """Shut a backend out of everything joined proxies hold, or let it in again."""

    def reach(self, backend: str, out: bool, unbound: dict, known: int) -> dict:
        """Lines that `withdraw` would now cost, by proxy; parts of one where the channel leaves out who does
        not hold the backend. `unbound`: proxies on none of the tables -> (known ones it holds, since)."""

    def returns(self, proxies, table: int, backend: str | None = None) -> dict:
        """Lines, by proxy, that let back in what these may hold shut out, where they get this backend's line
        or the whole table."""

    def level(self, table: int, classes: int, share: float, retries: int) -> None:
        """Set how much of some classes is let in, and how proxies try again (0 to 3)."""

    def mark(self, serial: int, everyone: bool) -> None:
        """Have each proxy that gets a message at this time answer once it has applied it."""

    def probe(self, backend: str) -> None:
        """Send one health check."""

    def forget(self, backend: str) -> None:
        """Nothing will name this backend again, unless the list does: what is kept of it can go."""

    def observe(self, on: bool) -> None:
        """Ask for changes of the list from now on, or stop them."""

    def lookup(self) -> None:
        """Ask for the whole list once."""

    def wake(self, delay: int, cookie: str) -> None:
        """Call `timer` with this cookie after a delay."""

    def post(self, peer: int, contents: str) -> None:
        """Send at most 256 bytes (in hex) to a peer, or to all with -1."""

    def remark(self, text: str) -> None:
        """Add a line to the log."""
