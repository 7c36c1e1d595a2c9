"""Distance between routing tables."""

import statistics
from collections.abc import Iterable, Mapping, Sequence

Shares = Mapping[str, float]  # endpoint -> share of the total weight; all shares sum to 1


def shares(weights: Mapping[str, float]) -> dict[str, float]:
    """Return each endpoint's share of a table's total weight, or an empty dict if the total is 0."""
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()} if total else {}


def distance(first: Shares, second: Shares) -> float:
    """Return the total variation distance: half the sum of the absolute differences of the shares.

    It is 0 for equal tables, and 1 for tables without a common endpoint or if one of the tables is empty.
    """
    if not first or not second:
        return 1.0
    return 0.5 * sum(abs(first.get(name, 0) - second.get(name, 0)) for name in first.keys() | second.keys())


def mean_shares(tables: Sequence[Shares]) -> dict[str, float]:
    """Return the mean share of each endpoint over the tables.

    An endpoint has share 0 in a table that does not contain it.
    """
    names: set[str] = set().union(*tables)
    return {name: sum(table.get(name, 0) for table in tables) / len(tables) for name in names}


def mean_distance(pairs: Iterable[tuple[Shares, Shares]]) -> float:
    """Return the mean of the distances between the two tables of each pair."""
    return statistics.fmean(distance(first, second) for first, second in pairs)
