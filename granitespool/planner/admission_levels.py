"""Admission levels: the share of each request class that is admitted, and how proxies retry it.

What is shed goes by priority: the classes with the least priority weight per work go first. A deployment may
have thousands of classes, and an order of its own for each would fill a channel for a minute; but most are
admitted in full or at the floor, so that a few orders, each for the classes of one level, bring them all.
Counting and arithmetic alone.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from granitespool.settings import RequestClass

LEVELS_MAX = 4  # levels that all classes are admitted at, at most: full, as good as full, one in part, floor
SHARE_FLOOR = 0.1  # share of each class admitted however low its priority: the lowest class counts too
SHARE_STEP = 0.03  # step of a share that is worth a message


class AdmissionLevel(NamedTuple):
    """The share of a class that is admitted, and how its attempts are retried (0 to 3)."""

    share: float
    retries: int


class AdmissionOrder(NamedTuple):
    """A level for some classes: the sum of 2**k over their positions in the settings."""

    classes: int
    level: AdmissionLevel


class Admitted(NamedTuple):
    """The admitted share of each class, by position in the settings, and the retries of all."""

    shares: list[float]
    retries: int


def admission_entries_max(classes: int) -> int:
    """The table entries that bring the levels of so many classes, at most."""
    return min(classes, LEVELS_MAX)


def admitted_shares(
    classes: Sequence[RequestClass], demand: Mapping[str | None, float], admitted_share: float
) -> list[float]:
    """The share admitted of each class: least priority per work goes first, by its latency objective.

    `demand`: recent requests by class; `admitted_share`: of all work.
    """
    work = [demand.get(each.name, 0) * each.effective_latency_objective for each in classes]
    shares = [1.0] * len(work)
    left = (admitted_share - SHARE_FLOOR) * sum(work)

    def by_priority(position: int) -> tuple[float, int]:
        request_class = classes[position]
        return -request_class.effective_priority_weight / (
            request_class.effective_latency_objective or 1
        ), position

    for position in sorted(range(len(classes)), key=by_priority):
        given = max(0.0, min(left, (1 - SHARE_FLOOR) * work[position]))
        left -= given
        share = SHARE_FLOOR + given / work[position] if work[position] else 1.0
        shares[position] = round(round(share / SHARE_STEP) * SHARE_STEP, 3) if share < 1 else 1.0
    return shares


class OrderedLevels:
    """The levels that were ordered for each table."""

    def __init__(self) -> None:
        self._ordered: defaultdict[int, dict[int, AdmissionLevel]] = defaultdict(dict)  # by table, position

    def entries(self, table: int) -> int:
        """The table entries that bring a table's levels to a proxy that gets it complete."""
        return len(set(self._ordered[table].values()))

    def order(self, table: int, admitted: Admitted, default_retries: int) -> Iterator[AdmissionOrder]:
        """The orders that bring these levels where they differ from those ordered before.

        They count as ordered from now on. `default_retries`: how a class that was never ordered of is
        retried; it is admitted in full.
        """
        ordered = self._ordered[table]
        default = AdmissionLevel(1.0, default_retries)
        groups: dict[float, int] = {}
        levels = {share: AdmissionLevel(share, admitted.retries) for share in admitted.shares}
        for position, share in enumerate(admitted.shares):
            if ordered.get(position, default) != levels[share]:
                ordered[position] = levels[share]
                groups[share] = groups.get(share, 0) | 1 << position
        for share, classes in groups.items():
            yield AdmissionOrder(classes, levels[share])
