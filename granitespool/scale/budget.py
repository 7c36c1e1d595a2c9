"""The budget of a coordinator and the costs that are compared with it, without I/O.

A row is one cost of one role at several scales. Its factor is the cost divided by the budget; rows are
sorted by it, so that the first row is the cost to lower first.
"""

import enum
from collections.abc import Iterable, Mapping

import msgspec

BYTES_PER_KB = 1024
DAY = 86_400  # s


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """The resources that the plan allows a coordinator for control."""

    processor_ms_per_s: float = 29.0  # 2.9 % of a core
    memory_mb: float = 256.0
    bytes_per_s: float = 4.0 * BYTES_PER_KB
    configuration_s: float = 4.0  # until a configuration change has taken effect at all coordinators


class Day(msgspec.Struct, frozen=True, kw_only=True):
    """The changes of an ordinary day according to the plan, and the endpoint list entries that they cause."""

    configurations: int = 380
    failed: int = 15
    replaced: int = 580
    entries_of_failed: int = 3  # gone, and later ready with a new start time
    entries_of_replaced: int = 3  # draining, gone, and the successor ready
    control_machines: int = 7

    @property
    def list_entries(self) -> int:
        """Changed entries of the endpoint list in a day."""
        return self.failed * self.entries_of_failed + self.replaced * self.entries_of_replaced


class Origin(enum.Enum):
    """The source of a figure."""

    MEASURED = "measured"
    WORKED_OUT = "worked out"
    GIVEN = "told"


class LoweredBy(enum.Enum):
    """Who can lower a cost."""

    PROGRAM = "this program"
    PROTOCOL = "only the protocol"
    NONE = "-"


class Value(msgspec.Struct, frozen=True):
    """One figure with its origin; `amount` is None if no fitted form allows to compute it."""

    amount: float | None
    origin: Origin


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One cost of one role at each scale."""

    role: str
    cost: str
    unit: str
    values: Mapping[str, Value]
    source: str  # the measurement, or the figures that the value is computed from
    module: str  # the module that causes the cost, or "missing" and where it would belong
    limit: float | None = None
    lowered_by: LoweredBy = LoweredBy.NONE

    def factor(self, scale: str) -> float | None:
        """Return the value at this scale divided by the limit; None without a limit or a value."""
        value = self.values.get(scale)
        if value is None or value.amount is None or not self.limit:
            return None
        return value.amount / self.limit

    def worst_factor(self, scales: Iterable[str]) -> float | None:
        """Return the largest factor over these scales."""
        factors = [factor for scale in scales if (factor := self.factor(scale)) is not None]
        return max(factors, default=None)


def by_factor(rows: Iterable[Row], scales: Iterable[str]) -> list[Row]:
    """Sort rows by descending factor; rows without a limit come last, in the given order."""
    scales = list(scales)

    def sort_key(row: Row) -> float:
        worst = row.worst_factor(scales)
        return 1.0 if worst is None else -worst

    return sorted(rows, key=sort_key)
