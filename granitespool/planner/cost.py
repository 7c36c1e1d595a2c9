"""What an attempt at a backend costs: LiveNet's formula, and means of it for links that observed too little.

    W = (rho * 2 * RTT + (1 - rho) * RTT) * f(u)

with rho the failed share of attempts, RTT the mean round trip of successes (ns), and u the utilization in
percent, told by how far the round trip stands above its minimum over a window. A link that observed enough
has a cost of its own, mixed with the mean of its machine type in its zone; all others have that mean alone,
so that only what was observed is kept. Costs are in ns.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from granitespool.endpoints import Label
from granitespool.planner.records import READY, Backend, Link
from granitespool.units import SECOND

STEEPNESS = 0.5  # per percent: alpha of f(u), the paper's
OVERLOADED_UTILIZATION = 80.0  # percent: beta of f(u), where it is half way up; the paper's
SUCCESSES_MIN = 3.0  # successes below which a link's mean is chance
PRIOR_SUCCESSES = 8.0  # successes that the mean of a link's machine type stands for in its cost
RTT_WINDOW = 60 * SECOND  # ns that the minimum round trip is looked for in: the design page's minute
UNKNOWN = 0.0  # a link's own cost until the next evaluation, where it began after the last one


class ObservedCost(NamedTuple):
    """A link that observed enough for a cost of its own, and that cost (ns)."""

    backend: Backend
    link: Link
    cost: float


def utilization(link: Link, rtt: float) -> float:
    """Percent of a link's round trip (ns) that stands above the minimum of the window."""
    lowest = link.minimum_rtts[0].mean if link.minimum_rtts else rtt
    return 100 * max(0.0, rtt - lowest) / rtt


def link_cost(now: int, link: Link, is_overloaded: bool) -> float | None:
    """W of a link in ns, or None where it observed too little.

    While the fleet is overloaded the minimum round trip stands for the present one: queues are everywhere,
    and a cost by them would only move load around.
    """
    if link.successes < SUCCESSES_MIN:
        return None
    rtt = link.response_time / link.successes
    failed_share = link.failures / link.attempts
    link.observe_rtt(now, rtt, RTT_WINDOW)
    if is_overloaded:
        rtt = link.minimum_rtts[0].mean
    overload = 1 / (1 + math.exp(STEEPNESS * (OVERLOADED_UTILIZATION - utilization(link, rtt))))
    return (failed_share * 2 * rtt + (1 - failed_share) * rtt) * (1 + overload)


class CostTable:
    """Costs as of the last evaluation; what began after it has none until the next."""

    def __init__(self) -> None:
        self.zone_means: dict[str, float | None] = {}  # zone -> mean cost of its links with one of their own
        self._type_means: dict[str, dict[Label, float]] = {}  # zone -> {machine type: the same of its links}
        self._own: list[Link] = []  # links with a cost of their own until the next evaluation
        self._began: list[Backend] = []  # backends whose links began after the last evaluation

    @property
    def has_zone_mean(self) -> bool:
        """Whether any cost is known: until then what has just begun is like all others."""
        return any(mean is not None for mean in self.zone_means.values())

    def reset_backend(self, backend: Backend) -> None:
        """A backend's links begin anew."""
        backend.links.clear()
        backend.costs_evaluated = False
        self._began.append(backend)

    def reset_link(self, link: Link) -> None:
        """A link that takes the place of another has no cost until the next evaluation."""
        self._set_own(link, UNKNOWN)

    def begin_evaluation(self) -> None:
        """Forget the costs of single links."""
        for link in self._own:
            link.cost = None
        for backend in self._began:
            backend.costs_evaluated = True
        self._own = []
        self._began = []

    def evaluate_zone(self, zone: str, observed: list[ObservedCost]) -> bool:
        """Work out a zone's means and the costs of these links; whether any mean moved.

        `observed` is in creation sequence, so that sums come out the same. The means of machine types are of
        ready backends that are not ejected.
        """
        costs_by_type: defaultdict[Label, list[float]] = defaultdict(list)
        for backend, link, cost in observed:
            if backend.phase == READY and link.ejected_at is None:
                costs_by_type[backend.machine_type].append(cost)
        costs = [cost for same_type in costs_by_type.values() for cost in same_type]
        zone_mean = sum(costs) / len(costs) if costs else None
        type_means = {kind: sum(same_type) / len(same_type) for kind, same_type in costs_by_type.items()}
        for backend, link, cost in observed:
            self._set_own(link, self._mixed(link, cost, type_means.get(backend.machine_type)))
        moved = (zone_mean, type_means) != (self.zone_means.get(zone), self._type_means.get(zone))
        self.zone_means[zone] = zone_mean
        self._type_means[zone] = type_means
        return moved

    def attempt_cost(self, backend: Backend, zone: str) -> float | None:
        """What an attempt costs: by the link itself, else by its machine type; None where nothing tells."""
        link = backend.links.get(zone)
        if link is not None and link.cost is not None:
            return link.cost or None
        if not backend.costs_evaluated:
            return None
        return self._type_means.get(zone, {}).get(backend.machine_type)

    def freeze(self, backend: Backend, zones: Iterable[str], period: int) -> None:
        """Until the next evaluation a backend keeps its costs, whatever its machine type is by then."""
        links = [(zone, backend.link(zone, period)) for zone in zones]
        for link, cost in [(link, self.attempt_cost(backend, zone)) for zone, link in links]:
            self._set_own(link, cost or UNKNOWN)

    def _set_own(self, link: Link, cost: float) -> None:
        link.cost = cost
        self._own.append(link)

    @staticmethod
    def _mixed(link: Link, cost: float, type_mean: float | None) -> float:
        if type_mean is None:
            return cost
        mixed = cost * link.successes + type_mean * PRIOR_SUCCESSES
        return mixed / (link.successes + PRIOR_SUCCESSES)
