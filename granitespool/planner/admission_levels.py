"""Admission levels: the share of each request class that is admitted, and how proxies retry it.

Load is shed by priority: classes with the least priority weight per unit of work are shed first. A deployment
may have thousands of classes, and one order per class would fill the channel for a minute. Most classes are
admitted in full or at the floor, so a few orders, each for all classes of one level, cover them. This module
does no I/O.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from granitespool.settings import RequestClass

LEVELS_MAX = 4  # distinct levels of all classes: full, nearly full, partial (one class), floor
SHARE_FLOOR = 0.1  # minimum admitted share, so that no class is rejected entirely
SHARE_STEP = 0.03  # shares are rounded to this step: a smaller change is not worth a message


class AdmissionLevel(NamedTuple):
    """The admitted share of a request class, and how its attempts are retried (0 to 3)."""

    share: float
    retries: int


class AdmissionOrder(NamedTuple):
    """A level for a set of classes, given as the sum of 2**k over their positions in the settings."""

    classes: int
    level: AdmissionLevel


class TargetLevels(NamedTuple):
    """The admitted share of each class, by position in the settings, and the retries of all classes."""

    shares: list[float]
    retries: int


def admission_entries_max(class_count: int) -> int:
    """Return the maximum number of table entries that the levels of `class_count` classes cost."""
    return min(class_count, LEVELS_MAX)


def admitted_shares(
    classes: Sequence[RequestClass], demand: Mapping[str | None, float], admitted_share: float
) -> list[float]:
    """Return the admitted share of each class; those with the least priority per work are shed first.

    The work of a request is estimated by the latency objective of its class. `demand` contains the recent
    requests by class, `admitted_share` is the admitted share of all work.
    """
    work = [
        demand.get(request_class.name, 0) * request_class.effective_latency_objective
        for request_class in classes
    ]
    shares = [1.0] * len(work)
    remaining = (admitted_share - SHARE_FLOOR) * sum(work)

    def by_priority(position: int) -> tuple[float, int]:
        request_class = classes[position]
        return -request_class.effective_priority_weight / (
            request_class.effective_latency_objective or 1
        ), position

    for position in sorted(range(len(classes)), key=by_priority):
        admitted_work = max(0.0, min(remaining, (1 - SHARE_FLOOR) * work[position]))
        remaining -= admitted_work
        share = SHARE_FLOOR + admitted_work / work[position] if work[position] else 1.0
        shares[position] = round(round(share / SHARE_STEP) * SHARE_STEP, 3) if share < 1 else 1.0
    return shares


class OrderedLevels:
    """The levels last ordered for each table."""

    def __init__(self) -> None:
        self._ordered: defaultdict[int, dict[int, AdmissionLevel]] = defaultdict(
            dict
        )  # table -> class position -> level

    def entry_count(self, table: int) -> int:
        """Return the entries that a table's levels cost for a proxy that gets the complete table."""
        return len(set(self._ordered[table].values()))

    def order(self, table: int, target: TargetLevels, default_retries: int) -> Iterator[AdmissionOrder]:
        """Yield an order for each level that differs from the one last ordered, and record it as ordered.

        A class that had no order yet is admitted in full, with `default_retries`.
        """
        ordered = self._ordered[table]
        default = AdmissionLevel(1.0, default_retries)
        groups: dict[float, int] = {}
        levels = {share: AdmissionLevel(share, target.retries) for share in target.shares}
        for position, share in enumerate(target.shares):
            if ordered.get(position, default) != levels[share]:
                ordered[position] = levels[share]
                groups[share] = groups.get(share, 0) | 1 << position
        for share, classes in groups.items():
            yield AdmissionOrder(classes, levels[share])
