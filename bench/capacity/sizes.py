"""Sizes of a fleet that determine a coordinator's costs."""

import math

import msgspec


class Sizes(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of a fleet that determine a coordinator's costs."""

    backends: int
    zones: int
    proxies: int  # proxies of this coordinator
    classes: int  # request classes, called routes in the plan
    tenants: int
    requests: float  # requests per second of the whole fleet
    planners: int  # number of coordinators in the fleet

    @property
    def links(self) -> int:
        """Pairs of a backend and a zone."""
        return self.backends * self.zones

    @property
    def heard_share(self) -> float:
        """Expected share of links with at least one request a second, if requests are spread at random."""
        return 1 - math.exp(-self.requests / self.links)

    def variables(self) -> dict[str, float]:
        """Return the sizes by the names that the fits use for them."""
        return {
            "backends": float(self.backends),
            "zones": float(self.zones),
            "proxies": float(self.proxies),
            "classes": float(self.classes),
            "tenants": float(self.tenants),
            "heard_share": self.heard_share,
            "planners": float(self.planners),
        }
