"""Makes rows of the capacity page from formulas over each scale's costs and sizes."""

from collections.abc import Callable

from bench.capacity import sweep
from bench.capacity.fleet import Sizes
from bench.capacity.scales import Costs, Scale
from granitespool.scale.budget import Budget, Day, LoweredBy, Origin, Row, Value

BUDGET = Budget()
ORDINARY_DAY = Day()

Formula = Callable[[Costs, Sizes], float]


class Maker:
    """Makes rows of formulas over the costs and sizes of all scales."""

    def __init__(self, scales: dict[str, Scale]) -> None:
        self.scales = scales
        self.rows: list[Row] = []

    def add(  # noqa: PLR0913 one parameter for each column
        self,
        role: str,
        cost: str,
        unit: str,
        formula: Formula,
        source: str,
        module: str,
        limit: float | None = None,
        lowered_by: LoweredBy = LoweredBy.NOBODY,
        origin: Origin = Origin.MEASURED,
    ) -> None:
        """One row; a scale that lacks a cost of the formula has no value."""
        values = {}
        whole_process = "process_" in source
        for name, scale in self.scales.items():
            try:
                amount = formula(scale.costs, scale.sizes)
            except KeyError:
                amount = None
            worked_out = scale.worked_out and origin is Origin.MEASURED and not whole_process
            values[name] = Value(amount, Origin.WORKED_OUT if worked_out else origin)
        self.rows.append(
            Row(
                role=role,
                cost=cost,
                unit=unit,
                values=values,
                source=source,
                module=module,
                limit=limit,
                lowered_by=lowered_by,
            )
        )


def list_entries(sizes: Sizes) -> float:
    """Changed entries of the list on an ordinary day, in proportion to the fleet."""
    return ORDINARY_DAY.list_entries * sizes.backends / sweep.PLAN.backends
