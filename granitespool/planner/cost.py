"""Cost of an attempt at a backend: LiveNet's formula, and means of it for links with too few observations.

    W = (rho * 2 * RTT + (1 - rho) * RTT) * f(u)

with rho the failed share of attempts, RTT the mean round trip of successes (ns), and u the utilization in
percent: how far the round trip stands above its minimum over a window. A link with enough observations has
its own cost, weighted with the mean of its machine type in its zone. All other links use that mean, so that
state is stored for observed links only. Costs are in ns.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from granitespool.endpoints import Label
from granitespool.planner.records import READY, Backend, Link
from granitespool.units import SECOND

OVERLOAD_STEEPNESS = 0.5  # alpha of f(u) in LiveNet, per percent
OVERLOADED_UTILIZATION = 80.0  # beta of f(u) in LiveNet: the percentage at which f(u) has risen half way
SUCCESSES_MIN = 3.0  # with fewer successes the mean round trip of a link is chance
PRIOR_SUCCESSES = 8.0  # successes that the mean of the machine type counts for in the cost of a link
RTT_WINDOW = 60 * SECOND  # window of the minimum round trip, ns
UNKNOWN_COST = 0.0  # own cost of a link that was reset after the last evaluation, until the next one


class ObservedCost(NamedTuple):
    """A link with enough observations for its own cost, and that cost (ns)."""

    backend: Backend
    link: Link
    cost: float


def utilization(link: Link, rtt: float) -> float:
    """Return the percentage of a round trip (ns) that stands above the link's minimum of the window."""
    minimum = link.minimum_rtts[0].mean if link.minimum_rtts else rtt
    return 100 * max(0.0, rtt - minimum) / rtt


def link_cost(now: int, link: Link, is_overloaded: bool) -> float | None:
    """Return W of a link in ns, or None if it has too few observations.

    In an overload the minimum round trip is used instead of the current one: all backends have queues, and
    costs that include the queueing would only move load around.
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
    """Costs as of the last evaluation. Links that were reset since have none until the next."""

    def __init__(self) -> None:
        self.zone_means: dict[str, float | None] = {}  # zone -> mean of its links' own costs
        self._type_means: dict[str, dict[Label, float]] = {}  # zone -> {machine type: mean}
        self._links_with_own_cost: list[Link] = []  # links with their own cost until the next evaluation
        self._reset_backends: list[Backend] = []  # backends whose links were reset since the last evaluation

    @property
    def has_zone_mean(self) -> bool:
        """Whether any zone has a mean cost. Before, a backend without costs is like all others."""
        return any(mean is not None for mean in self.zone_means.values())

    def reset_backend(self, backend: Backend) -> None:
        """Drop all links of a backend, and its costs until the next evaluation."""
        backend.links.clear()
        backend.costs_evaluated = False
        self._reset_backends.append(backend)

    def reset_link(self, link: Link) -> None:
        """Leave a link that replaces another without a cost until the next evaluation."""
        self._set_own_cost(link, UNKNOWN_COST)

    def begin_evaluation(self) -> None:
        """Drop the costs of single links; from now on reset backends use the means."""
        for link in self._links_with_own_cost:
            link.cost = None
        for backend in self._reset_backends:
            backend.costs_evaluated = True
        self._links_with_own_cost = []
        self._reset_backends = []

    def evaluate_zone(self, zone: str, observed: list[ObservedCost]) -> bool:
        """Evaluate the means of a zone and the costs of these links; return whether any mean changed.

        `observed` is in creation sequence, so that sums are repeatable. The means include ready backends that
        are not ejected.
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
        """Return the cost of an attempt, by the link or else by the machine type; None if unknown."""
        link = backend.links.get(zone)
        if link is not None and link.cost is not None:
            return link.cost or None
        if not backend.costs_evaluated:
            return None
        return self._type_means.get(zone, {}).get(backend.machine_type)

    def freeze(self, backend: Backend, zones: Iterable[str], period: int) -> None:
        """Keep the costs of a backend until the next evaluation, even if its machine type changes."""
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
