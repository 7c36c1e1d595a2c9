"""Admission control: decides the levels and publishes them to the tables as the channel has capacity."""

from itertools import chain

from granitespool.planner.admission_levels import (
    Admitted,
    OrderedLevels,
    admission_entries_max,
    admitted_shares,
)
from granitespool.planner.budget import MANDATORY_QUEUE_SHARE, PUBLICATION_LAG_MAX, ChannelBudget
from granitespool.planner.outbox import Outbox
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.tables import TableDirectory
from granitespool.settings import Admission, Settings

PER_SECOND_UNLIMITED = 1e6  # requests a second at a proxy that stand for admitting all
QUEUE_SHARE = 0.5  # share of the queue that must be free within `PUBLICATION_LAG_MAX` for levels to be sent
RETRIES = 1  # of what provably never ran, so that no effect happens twice
RETRIES_OVERLOADED = 0  # each retry would add to the overload


class AdmissionControl:
    """Decides the levels, and publishes them to the tables' subscribers as the channel has capacity."""

    def __init__(
        self,
        settings: Settings,
        overload: OverloadDetector,
        tables: TableDirectory,
        budget: ChannelBudget,
        outbox: Outbox,
    ) -> None:
        self.ordered = OrderedLevels()
        self._overload = overload
        self._tables = tables
        self._budget = budget
        self._outbox = outbox
        self._published_to: set[int] = set()  # tables that have the levels last decided
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Levels are decided anew by these settings."""
        self.settings = settings
        self.entries_max = admission_entries_max(len(settings.classes))
        self._decided: Admitted | None = None

    def decide(self) -> Admitted:
        """The levels for the present state of the fleet."""
        shares = [1.0] * len(self.settings.classes)
        if self._overload.admitted_share < 1 and self.settings.admission == Admission.FRACTION:
            shares = admitted_shares(
                self.settings.classes, self._overload.demand, self._overload.admitted_share
            )
        return Admitted(shares, RETRIES_OVERLOADED if self._overload.is_overloaded else RETRIES)

    def publish(self, now: int) -> None:
        """Decide, and publish to the tables that differ as far as the channel has capacity."""
        admitted = self.decide()
        if admitted != self._decided:
            self._decided = admitted
            self._published_to = set()
        for table in chain.from_iterable(self._tables.subsets.tables.values()):
            cost = len(self._tables.subscribers[table]) * (self.entries_max + self._budget.account.header)
            if table in self._published_to or not self._tables.subsets.proxies[table]:
                continue
            if self._budget.account.capacity_left(QUEUE_SHARE, PUBLICATION_LAG_MAX) <= 0:
                continue
            if cost <= self._budget.account.capacity_left(MANDATORY_QUEUE_SHARE):
                self._order(now, table, admitted)
                self._published_to.add(table)

    def publish_first(self, now: int, table: int) -> None:
        """Publish the levels last decided for a table that nobody uses yet: they come with the table."""
        if self._decided and not self._tables.subscribers[table]:
            self._order(now, table, self._decided)

    def _order(self, now: int, table: int, admitted: Admitted) -> None:
        for classes, level in self.ordered.order(table, admitted, self.settings.default_retries):
            is_per_second = self.settings.admission == Admission.PER_SECOND
            share = PER_SECOND_UNLIMITED if is_per_second else level.share
            self._outbox.set_admission(now, table, classes, share, level.retries)
