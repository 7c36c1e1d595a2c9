"""How far two routing tables are from each other."""

import statistics
from collections.abc import Iterable, Mapping, Sequence

Shares = Mapping[str, float]  # endpoint -> its share of a table's weight, 1 in all


def shares(weights: Mapping[str, float]) -> dict[str, float]:
    """The shares of a table's weights; empty where there are none."""
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()} if total else {}


def distance(one: Shares, other: Shares) -> float:
    """Half the sum of the differences of two tables' shares: 0 for the same, 1 for nothing in common."""
    if not one or not other:
        return 1.0
    return 0.5 * sum(abs(one.get(name, 0) - other.get(name, 0)) for name in one.keys() | other.keys())


def mean_shares(tables: Sequence[Shares]) -> dict[str, float]:
    """The mean of some tables' shares."""
    names: set[str] = set().union(*tables)
    return {name: sum(table.get(name, 0) for table in tables) / len(tables) for name in names}


def mean_distance(pairs: Iterable[tuple[Shares, Shares]]) -> float:
    """The mean distance of pairs of tables."""
    return statistics.fmean(distance(one, other) for one, other in pairs)
