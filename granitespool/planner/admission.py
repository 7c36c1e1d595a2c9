"""Admission control: decides the admission levels and publishes them as the channel has capacity."""

from itertools import chain

from granitespool.planner.admission_levels import (
    OrderedLevels,
    TargetLevels,
    admission_entries_max,
    admitted_shares,
)
from granitespool.planner.budget import MANDATORY_QUEUE_SHARE, ChannelBudget
from granitespool.planner.outbox import Outbox
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.tables import TableDirectory
from granitespool.settings import Admission, Settings

PER_SECOND_UNLIMITED = 1e6  # requests a second at a proxy: admits everything
# Levels are sent only while less than this share of the queue is in flight, which at the observed rate leaves
# within the publication lag
QUEUE_SHARE = 0.5
# 1: only attempts that provably never ran are retried, so that no effect happens twice
RETRIES = 1
RETRIES_OVERLOADED = 0  # each retry would add to the overload


class AdmissionControl:
    """Decides the admission levels and publishes them to the subscribers of the tables."""

    def __init__(
        self,
        settings: Settings,
        overload: OverloadDetector,
        tables: TableDirectory,
        budget: ChannelBudget,
        outbox: Outbox,
    ) -> None:
        self.ordered_levels = OrderedLevels()
        self._overload = overload
        self._tables = tables
        self._budget = budget
        self._outbox = outbox
        self._published_to: set[int] = set()  # tables whose subscribers were sent the current levels
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; the levels are decided again at the next publication."""
        self.settings = settings
        self.entries_max = admission_entries_max(len(settings.classes))
        self._decided: TargetLevels | None = None

    def decide(self) -> TargetLevels:
        """Return the levels for the current state of the fleet."""
        shares = [1.0] * len(self.settings.classes)
        if self._overload.admitted_share < 1 and self.settings.admission == Admission.FRACTION:
            shares = admitted_shares(
                self.settings.classes, self._overload.demand, self._overload.admitted_share
            )
        return TargetLevels(shares, RETRIES_OVERLOADED if self._overload.is_overloaded else RETRIES)

    def publish(self, now: int) -> None:
        """Decide the levels and publish them where they changed, as the channel has capacity."""
        levels = self.decide()
        if levels != self._decided:
            self._decided = levels
            self._published_to = set()
        for table in chain.from_iterable(self._tables.subsets.tables.values()):
            cost = len(self._tables.subscribers[table]) * (self.entries_max + self._budget.account.header)
            if table in self._published_to or not self._tables.subsets.proxies[table]:
                continue
            if self._budget.account.capacity_left(QUEUE_SHARE, self._budget.publication_lag) <= 0:
                continue
            if cost <= self._budget.account.capacity_left(MANDATORY_QUEUE_SHARE):
                self._order(now, table, levels)
                self._published_to.add(table)

    def publish_initial_levels(self, now: int, table: int) -> None:
        """Publish the current levels for a table without subscribers, so that the first gets them."""
        if self._decided and not self._tables.subscribers[table]:
            self._order(now, table, self._decided)

    def _order(self, now: int, table: int, levels: TargetLevels) -> None:
        for classes, level in self.ordered_levels.order(table, levels, self.settings.default_retries):
            is_per_second = self.settings.admission == Admission.PER_SECOND
            share = PER_SECOND_UNLIMITED if is_per_second else level.share
            self._outbox.set_admission(now, table, classes, share, level.retries)
