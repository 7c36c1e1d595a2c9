"""Cost of an attempt at a backend, by LiveNet's formula.

    W = (rho * 2 * RTT + (1 - rho) * RTT) * f(u)

rho is the failed share of the attempts. RTT is the mean round trip of the successes (ns). u is the
utilization in percent: the share of the round trip that exceeds the minimum round trip of a window. The
factor f(u) rises from 1 to 2 with the utilization.

A link with enough observations has its own cost: the result of the formula, averaged with the mean cost of
its machine type in its zone. All other links use that mean, so that only observed links need state. Costs are
in ns.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from granitespool.endpoints import Label
from granitespool.planner.records import READY, Backend, Link
from granitespool.units import SECOND

OVERLOAD_STEEPNESS = 0.5  # alpha of f(u) in LiveNet, per percent of utilization
# beta of f(u) in LiveNet, percent. f(u) has risen halfway at this utilization.
OVERLOADED_UTILIZATION = 80.0
SUCCESSES_MIN = 3.0  # with fewer successes, the mean round trip of a link is too noisy for a cost
# The own cost of a link is averaged with the mean of its machine type. In this average the mean counts as
# much as this number of successes.
PRIOR_SUCCESSES = 8.0
RTT_WINDOW = 60 * SECOND  # ns over which the minimum round trip is taken
UNKNOWN_COST = 0.0  # own cost of a link from its reset to the next evaluation


class ObservedCost(NamedTuple):
    """A link with enough observations for its own cost, its backend, and the cost (ns)."""

    backend: Backend
    link: Link
    cost: float


def utilization(link: Link, rtt: float) -> float:
    """Return the percentage of a round trip (ns) that exceeds the link's minimum round trip."""
    minimum = link.minimum_rtts[0].mean if link.minimum_rtts else rtt
    return 100 * max(0.0, rtt - minimum) / rtt


def link_cost(now: int, link: Link, is_overloaded: bool) -> float | None:
    """Return the cost W of a link (ns), or None if the link has too few observations.

    During an overload the minimum round trip is used instead of the current round trip. All backends then
    have queues, so costs that include the time in a queue would only move load between backends.
    """
    if link.successes < SUCCESSES_MIN:
        return None
    rtt = link.response_time / link.successes
    failed_share = link.failures / link.attempts
    link.observe_rtt(now, rtt, RTT_WINDOW)
    if is_overloaded:
        rtt = link.minimum_rtts[0].mean
    overload = 1 / (1 + math.exp(OVERLOAD_STEEPNESS * (OVERLOADED_UTILIZATION - utilization(link, rtt))))
    return (failed_share * 2 * rtt + (1 - failed_share) * rtt) * (1 + overload)


class CostTable:
    """Costs of all links, as calculated by the last evaluation.

    A link that is reset has no cost until the next evaluation.
    """

    def __init__(self) -> None:
        self.zone_means: dict[str, float | None] = {}  # zone -> mean of the observed costs
        self._type_means: dict[str, dict[Label, float]] = {}  # zone -> {machine type: mean}
        self._links_with_own_cost: list[Link] = []  # their costs are dropped at the next evaluation
        self._reset_backends: list[Backend] = []  # reset after the last evaluation

    @property
    def has_zone_mean(self) -> bool:
        """Whether any zone has a mean cost.

        As long as no zone has one, a backend without costs does not differ from the other backends.
        """
        return any(mean is not None for mean in self.zone_means.values())

    def reset_backend(self, backend: Backend) -> None:
        """Drop all links of a backend. The backend has no costs until the next evaluation."""
        backend.links.clear()
        backend.costs_evaluated = False
        self._reset_backends.append(backend)

    def reset_link(self, link: Link) -> None:
        """Mark the cost of a link as unknown until the next evaluation.

        The link is new and has replaced the previous link of the same backend and zone.
        """
        self._set_own_cost(link, UNKNOWN_COST)

    def begin_evaluation(self) -> None:
        """Drop the costs of single links, and let reset backends use the means from now on."""
        for link in self._links_with_own_cost:
            link.cost = None
        for backend in self._reset_backends:
            backend.costs_evaluated = True
        self._links_with_own_cost = []
        self._reset_backends = []

    def evaluate_zone(self, zone: str, observed: list[ObservedCost]) -> bool:
        """Calculate the means of a zone and the costs of the observed links. Return whether a mean changed.

        `observed` is in the order in which the backends were created, so that sums are repeatable. The means
        include only backends that are ready and not ejected.
        """
        costs_by_type: defaultdict[Label, list[float]] = defaultdict(list)
        for backend, link, cost in observed:
            if backend.phase == READY and link.ejected_at is None:
                costs_by_type[backend.machine_type].append(cost)
        costs = [cost for type_costs in costs_by_type.values() for cost in type_costs]
        zone_mean = sum(costs) / len(costs) if costs else None
        type_means = {
            machine_type: sum(type_costs) / len(type_costs)
            for machine_type, type_costs in costs_by_type.items()
        }
        for backend, link, cost in observed:
            self._set_own_cost(link, self._weighted_cost(link, cost, type_means.get(backend.machine_type)))
        changed = (zone_mean, type_means) != (self.zone_means.get(zone), self._type_means.get(zone))
        self.zone_means[zone] = zone_mean
        self._type_means[zone] = type_means
        return changed

    def attempt_cost(self, backend: Backend, zone: str) -> float | None:
        """Return the cost of an attempt at a backend (ns), or None if it is unknown.

        This is the own cost of the link. A link without one gets the mean of its machine type.
        """
        link = backend.links.get(zone)
        if link is not None and link.cost is not None:
            return link.cost or None
        if not backend.costs_evaluated:
            return None
        return self._type_means.get(zone, {}).get(backend.machine_type)

    def freeze(self, backend: Backend, zones: Iterable[str], period: int) -> None:
        """Keep the current costs of a backend in these zones until the next evaluation.

        A change of the backend's machine type then has no effect before that evaluation.
        """
        links = [(zone, backend.link(zone, period)) for zone in zones]
        for link, cost in [(link, self.attempt_cost(backend, zone)) for zone, link in links]:
            self._set_own_cost(link, cost or UNKNOWN_COST)

    def _set_own_cost(self, link: Link, cost: float) -> None:
        link.cost = cost
        self._links_with_own_cost.append(link)

    @staticmethod
    def _weighted_cost(link: Link, cost: float, type_mean: float | None) -> float:
        if type_mean is None:
            return cost
        weighted_sum = cost * link.successes + type_mean * PRIOR_SUCCESSES
        return weighted_sum / (link.successes + PRIOR_SUCCESSES)
