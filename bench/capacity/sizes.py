"""The sizes that drive a coordinator's costs."""

import math

import msgspec


class Sizes(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes that drive a coordinator's costs."""

    backends: int
    zones: int
    proxies: int  # of this coordinator
    classes: int  # routes, in the plan's words
    tenants: int
    requests: float  # a second, of the whole fleet
    planners: int  # coordinators of the fleet

    @property
    def links(self) -> int:
        """Pairs of a backend and a zone."""
        return self.backends * self.zones

    @property
    def heard_share(self) -> float:
        """Share of links that a second's requests reach at least once, where they fall by chance."""
        return 1 - math.exp(-self.requests / self.links)

    def variables(self) -> dict[str, float]:
        """The sizes as the fits name them."""
        return {
            "backends": float(self.backends),
            "zones": float(self.zones),
            "proxies": float(self.proxies),
            "classes": float(self.classes),
            "tenants": float(self.tenants),
            "heard_share": self.heard_share,
            "planners": float(self.planners),
        }
