"""Levels: how much of each class is let in, and one order for all classes that are let in alike.

A deployment may have thousands of classes, and an order of its own for each would fill a channel for a
minute. What is shed goes by benefit, so that most classes are let in whole or at the floor: a few orders,
each for the classes of one level, bring them all. Counting and arithmetic alone, no I/O.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

LEVELS = 4  # levels that all classes are let in at, at most: whole, as good as whole, one in part, the floor


class Level(NamedTuple):
    """The part of a class that is let in, and how its tries are repeated (0 to 3)."""

    share: float
    retries: int


class LevelOrder(NamedTuple):
    """A level for some classes: the sum of 2**k over their positions in the settings."""

    classes: int
    level: Level


def lines_of(classes: int) -> int:
    """The lines that bring the levels of so many classes, at most."""
    return min(classes, LEVELS)


def shares(
    classes: list[dict], asked: dict[str, float], room: float, floor: float, step: float
) -> list[float]:
    """The share let in of each class: least benefit per work goes first, by promised time for work.

    `asked`: transactions by class of late; `room`: the part of all work that is let in; `floor`: the share of
    each class that is always let in; `step`: what shares are rounded to.
    """
    work = [asked.get(kind.get("name"), 0) * kind["promised_time"] for kind in classes]
    found, room = [1.0] * len(work), (room - floor) * sum(work)

    def benefit(position: int) -> tuple[float, int]:
        kind = classes[position]
        return -kind["benefit"] / (kind["promised_time"] or 1), position

    for position in sorted(range(len(classes)), key=benefit):
        given = max(0.0, min(room, (1 - floor) * work[position]))
        room -= given
        share = floor + given / work[position] if work[position] else 1.0
        found[position] = round(round(share / step) * step, 3) if share < 1 else 1.0
    return found


class OrderedLevels:
    """The levels that were ordered for each table."""

    def __init__(self) -> None:
        self._sent: defaultdict[int, dict[int, Level]] = defaultdict(dict)  # table -> {position: level}

    def lines(self, table: int) -> int:
        """The lines that bring a table's levels to a proxy that gets it whole."""
        return len(set(self._sent[table].values()))

    def order(self, table: int, wanted: list[float], retries: int, usual_retry: int) -> Iterator[LevelOrder]:
        """The orders that bring these shares where they are not as ordered before; they count as ordered.

        `usual_retry`: how a class that was never ordered of is repeated; it is let in whole.
        """
        sent, usual, groups = self._sent[table], Level(1.0, usual_retry), {}
        levels = {share: Level(share, retries) for share in wanted}
        for position, share in enumerate(wanted):
            if sent.get(position, usual) != levels[share]:
                sent[position] = levels[share]
                groups[share] = groups.get(share, 0) | 1 << position
        for share, classes in groups.items():
            yield LevelOrder(classes, levels[share])
