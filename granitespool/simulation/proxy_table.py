"""The routing table of a plain proxy, independent of its connection.

A table contains weights, excluded endpoints and admission levels, applies updates, and picks endpoints by
weight. The proxy keeps its table when it changes streams. The table makes no decisions of its own: it only
applies updates.
"""

from bisect import bisect
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

import msgspec


class AdmissionLevel(NamedTuple):
    """Admitted share and retries of a request class."""

    share: float = 1.0  # share of the requests that are admitted
    retries: int = 0  # how often a failed request may be retried; 0 means never


class WeightUpdate(msgspec.Struct, frozen=True):
    """New weights of some endpoints."""

    complete: bool  # whether the update replaces all current weights
    weights: Iterable[tuple[str, float]]  # a weight of 0 removes an endpoint


class AdmissionUpdate(msgspec.Struct, frozen=True):
    """A new admission level for some classes."""

    classes: Sequence[str | None] | None  # None sets the default level of all classes
    level: AdmissionLevel


class TableUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """Update of a proxy's table by one message."""

    weights: Sequence[WeightUpdate] = ()
    admission: Sequence[AdmissionUpdate] = ()
    excluded: Iterable[str] = ()
    readmitted: Iterable[str] = ()


class ProxyTable:
    """Routing table of one proxy."""

    def __init__(self, number: int, zone: str, weights: Mapping[str, float]) -> None:
        self.number = number
        self.zone = zone
        self.weights = dict(weights)
        self.excluded: set[str] = set()
        self.admission: dict[str | None, AdmissionLevel] = {}
        self._choices: list[str] | None = None  # cached endpoints to pick from; None if outdated
        self._cumulative: list[float] = []  # cumulative weights of the choices

    def pick(self, random: Random) -> str | None:
        """Return a random endpoint, drawn by weight, or None if none is usable."""
        if self._choices is None:
            self._choices = [name for name in self.weights if name not in self.excluded]
            self._cumulative = list(accumulate(self.weights[name] for name in self._choices))
        if not self._choices:
            return None
        position = bisect(self._cumulative, random.random() * self._cumulative[-1])
        return self._choices[min(position, len(self._choices) - 1)]

    def apply(self, update: TableUpdate) -> None:
        """Apply an update: its weights in order, then admission levels and exclusions.

        A complete weight update also resets all admission levels.
        """
        for weight_update in update.weights:
            weights = {} if weight_update.complete else self.weights
            weights.update(weight_update.weights)
            self.weights = {name: weight for name, weight in weights.items() if weight}
        if any(weight_update.complete for weight_update in update.weights):
            self.admission = {}
        for admission in update.admission:
            classes = [None] if admission.classes is None else admission.classes
            self.admission.update(dict.fromkeys(classes, admission.level))
        self.excluded = (self.excluded | set(update.excluded)) - set(update.readmitted)
        self._choices = None

    def admission_level(self, request_class: str) -> AdmissionLevel:
        """Return the level of a class.

        A class without its own level has the default level. Without a default level, all requests are
        admitted and none is retried.
        """
        default = self.admission.get(None, AdmissionLevel())
        return self.admission.get(request_class, default)

    def positive_weights(self) -> dict[str, float]:
        """Return the weights above 0, including those of excluded endpoints."""
        return {name: weight for name, weight in self.weights.items() if weight > 0}

    def usable_weights(self) -> dict[str, float]:
        """Return the weights of the endpoints that requests may be sent to."""
        return {name: weight for name, weight in self.positive_weights().items() if name not in self.excluded}

    def is_usable(self, endpoint: str) -> bool:
        """Return whether requests may be sent to an endpoint."""
        return self.weights.get(endpoint, 0) > 0 and endpoint not in self.excluded
