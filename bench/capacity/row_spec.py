"""Specify a row of docs/CAPACITY.md by a formula over the costs and sizes of each scale."""

from collections.abc import Callable, Mapping

import msgspec

from bench.capacity import sweep
from bench.capacity.scales import Costs, Scale
from bench.capacity.sizes import Sizes
from granitespool.scale.budget import Budget, Day, LoweredBy, Origin, Row, Value

BUDGET = Budget()
ORDINARY_DAY = Day()
PROCESS_PREFIX = "process_"  # prefix of the costs of a whole process, which are always measured

Formula = Callable[[Costs, Sizes], float]


class RowSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A row without figures; the other fields are those of `Row`."""

    role: str
    cost: str
    unit: str
    formula: Formula
    source: str
    module: str
    limit: float | None = None
    lowered_by: LoweredBy = LoweredBy.NONE
    origin: Origin = Origin.MEASURED

    def row(self, scales: Mapping[str, Scale]) -> Row:
        """Return the row with its figures; a scale that lacks a cost of the formula has no figure."""
        return Row(
            role=self.role,
            cost=self.cost,
            unit=self.unit,
            values={name: self._value(scale) for name, scale in scales.items()},
            source=self.source,
            module=self.module,
            limit=self.limit,
            lowered_by=self.lowered_by,
        )

    def _value(self, scale: Scale) -> Value:
        try:
            amount = self.formula(scale.costs, scale.sizes)
        except KeyError:
            amount = None
        derived = scale.worked_out and self.origin is Origin.MEASURED and PROCESS_PREFIX not in self.source
        return Value(amount, Origin.WORKED_OUT if derived else self.origin)


def cost(name: str) -> Formula:
    """Return the formula of one measured cost."""

    def formula(costs: Costs, _: Sizes) -> float:
        return costs[name]

    return formula


def of_costs(formula: Callable[[Costs], float]) -> Formula:
    """Return a formula over costs alone."""
    return lambda costs, _: formula(costs)


def of_sizes(formula: Callable[[Sizes], float]) -> Formula:
    """Return a formula over sizes alone."""
    return lambda _, sizes: formula(sizes)


def constant(value: float) -> Formula:
    """Return a formula with the same value at every scale."""
    return lambda *_: value


def list_entries(sizes: Sizes) -> float:
    """Return the changed endpoint list entries of an ordinary day, in proportion to the fleet."""
    return ORDINARY_DAY.list_entries * sizes.backends / sweep.PLAN.backends
