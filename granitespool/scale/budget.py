"""The budget of a coordinator and the rows that are held against it, without I/O.

A row is one cost of one role at several scales. Its factor tells how often the budget would be exceeded; rows
are ordered by it, so that the first is what has to be lowered first.
"""

import enum
from collections.abc import Iterable, Mapping

import msgspec

BYTES_PER_KB = 1024
DAY = 86_400  # s


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """What a coordinator may spend for control, as the plan tells it."""

    processor_ms_per_s: float = 29.0  # 2.9 % of a core
    memory_mb: float = 256.0
    bytes_per_s: float = 4.0 * BYTES_PER_KB
    configuration_s: float = 4.0  # a change of configuration, everywhere


class Day(msgspec.Struct, frozen=True, kw_only=True):
    """What happens on an ordinary day, as the plan tells it, and how many messages of the list it makes."""

    configurations: int = 380
    failed: int = 15
    replaced: int = 580
    entries_of_failed: int = 3  # gone; later ready under a new start
    entries_of_replaced: int = 3  # draining, gone, the successor ready
    control_machines: int = 7

    @property
    def list_entries(self) -> int:
        """Changed entries of the list in a day."""
        return self.failed * self.entries_of_failed + self.replaced * self.entries_of_replaced


class Origin(enum.Enum):
    """Where a figure comes from."""

    MEASURED = "measured"
    WORKED_OUT = "worked out"
    GIVEN = "told"


class LoweredBy(enum.Enum):
    """Who can lower a cost."""

    PROGRAM = "this program"
    PROTOCOL = "only the protocol"
    NONE = "-"


class Value(msgspec.Struct, frozen=True):
    """One figure with its origin; None where no form allows to work it out."""

    amount: float | None
    origin: Origin


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One cost of one role, by scale."""

    role: str
    cost: str
    unit: str
    values: Mapping[str, Value]
    source: str  # how the figure comes about: the measurement, or what it is worked out from
    module: str  # that carries the cost, or "missing" and where it would stand
    limit: float | None = None
    lowered_by: LoweredBy = LoweredBy.NONE

    def factor(self, scale: str) -> float | None:
        """How often the limit goes into the value at this scale, or None without a limit or a value."""
        value = self.values.get(scale)
        if value is None or value.amount is None or not self.limit:
            return None
        return value.amount / self.limit

    def worst_factor(self, scales: Iterable[str]) -> float | None:
        """The largest factor over these scales."""
        factors = [factor for scale in scales if (factor := self.factor(scale)) is not None]
        return max(factors, default=None)


def by_factor(rows: Iterable[Row], scales: Iterable[str]) -> list[Row]:
    """Rows with the largest factor first; those without a limit last, in the order given."""
    scales = list(scales)

    def sort_key(row: Row) -> float:
        worst = row.worst_factor(scales)
        return 1.0 if worst is None else -worst

    return sorted(rows, key=sort_key)
