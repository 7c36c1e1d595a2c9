"""Log events about the updates that are written to proxies: whole tables, and the exclusions of a turn."""

from granitespool.net.log import Log
from granitespool.outgoing import ProxyUpdate
from granitespool.units import MILLISECOND


class UpdateLog:
    """Logs what proxies are sent, so that a late drain can be followed to its proxies."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self._excluded_counts: list[int] = []  # backends, by message of this turn without a table

    def add(self, proxy: int, update: ProxyUpdate, waited: int) -> None:
        """Log a whole table, or count exclusions; `waited` (ns) is the time since the stream began."""
        tables = [table for table in update.tables if table.complete]
        if tables:
            self.log.event(
                "table_sent",
                proxy=proxy,
                entries=sum(len(table.entries) for table in tables),
                excluded=len(update.excluded),
                waited_ms=waited // MILLISECOND,
            )
        elif update.excluded:
            self._excluded_counts.append(len(update.excluded))

    def end_turn(self) -> None:
        """Log the exclusions that were sent in this turn."""
        if self._excluded_counts:
            self.log.event(
                "exclusions_sent", proxies=len(self._excluded_counts), backends=max(self._excluded_counts)
            )
            self._excluded_counts = []
