"""The routing table of a plain proxy, without a connection.

A table holds weights, excluded endpoints and admission levels, applies updates to them, and draws endpoints
by weight. It outlives a change of streams. It takes no decision: it follows what it was told."""

from bisect import bisect
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

import msgspec


class AdmissionLevel(NamedTuple):
    """What a proxy may do with requests of one class."""

    share: float = 1.0  # of the requests, those that are admitted
    retries: int = 0  # the manner in which a failed request may be retried, 0 for none


class WeightUpdate(msgspec.Struct, frozen=True):
    """New weights of some endpoints."""

    complete: bool  # whether it replaces all weights held until now
    weights: Iterable[tuple[str, float]]  # a weight of 0 removes an endpoint


class AdmissionUpdate(msgspec.Struct, frozen=True):
    """A new level for some classes."""

    classes: Sequence[str | None] | None  # None: every class without a level of its own
    level: AdmissionLevel


class TableUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """One message to a proxy."""

    weights: Sequence[WeightUpdate] = ()
    admission: Sequence[AdmissionUpdate] = ()
    excluded: Iterable[str] = ()
    readmitted: Iterable[str] = ()


class ProxyTable:
    """What one proxy holds."""

    def __init__(self, number: int, zone: str, weights: Mapping[str, float]) -> None:
        self.number = number
        self.zone = zone
        self.weights = dict(weights)
        self.excluded: set[str] = set()
        self.admission: dict[str | None, AdmissionLevel] = {}
        self._choices: list[str] | None = None  # endpoints to draw from; None: to be worked out anew
        self._cumulative: list[float] = []

    def pick(self, random: Random) -> str | None:
        """An endpoint drawn by weight, or None where none may be used."""
        if self._choices is None:
            self._choices = [name for name in self.weights if name not in self.excluded]
            self._cumulative = list(accumulate(self.weights[name] for name in self._choices))
        if not self._choices:
            return None
        position = bisect(self._cumulative, random.random() * self._cumulative[-1])
        return self._choices[min(position, len(self._choices) - 1)]

    def apply(self, update: TableUpdate) -> None:
        """Applies one message: its weights in order, then admission levels and exclusions."""
        for change in update.weights:
            weights = {} if change.complete else self.weights
            weights.update(change.weights)
            self.weights = {name: weight for name, weight in weights.items() if weight}
        if any(change.complete for change in update.weights):
            self.admission = {}
        for admission in update.admission:
            classes = [None] if admission.classes is None else admission.classes
            self.admission.update(dict.fromkeys(classes, admission.level))
        self.excluded = (self.excluded | set(update.excluded)) - set(update.readmitted)
        self._choices = None

    def admission_level(self, request_class: str) -> AdmissionLevel:
        """The level of a class: its own, that of all classes, or to admit everything without retries."""
        default = self.admission.get(None, AdmissionLevel())
        return self.admission.get(request_class, default)

    def positive_weights(self) -> dict[str, float]:
        """The endpoints with a weight above 0, excluded ones with them."""
        return {name: weight for name, weight in self.weights.items() if weight > 0}

    def usable_weights(self) -> dict[str, float]:
        """The endpoints that requests may still be sent to, with their weights."""
        return {name: weight for name, weight in self.positive_weights().items() if name not in self.excluded}

    def is_usable(self, endpoint: str) -> bool:
        """Whether requests may still be sent to an endpoint."""
        return self.weights.get(endpoint, 0) > 0 and endpoint not in self.excluded
