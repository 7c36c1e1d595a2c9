"""Restoration of the fleet at a start, from the snapshot of a former process.

`granitespool.state` decides which part of the snapshot is trusted. That part is applied before any proxy
joins. If the first load report of a link contradicts the restored observations of the link, the observations
are discarded. The cap on ejections also limits restored ejections, and health checks verify them. Cold
backends stay in slow start.
"""

from collections import deque
from collections.abc import Mapping

from granitespool.planner.cost import SUCCESSES_MIN
from granitespool.planner.dirty_set import DirtySet
from granitespool.planner.ejection import OutlierEjection
from granitespool.planner.events import Restored
from granitespool.planner.fleet import Fleet
from granitespool.planner.health import HealthVerification
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.records import Backend, Link
from granitespool.planner.status import BackendSnapshot, LinkSnapshot
from granitespool.settings import Settings

# A reported mean contradicts the restored mean if one of them is at least this many times the other. By
# chance an eighth of the means of three successes differ by more.
CONTRADICTION_FACTOR = 2.5
# A reported failed share contradicts the restored failed share if they differ by more than this. A smaller
# difference can be chance.
CONTRADICTION_SHARE = 0.35


class Restoration:
    """Applies a snapshot to the fleet."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        dirty: DirtySet,
        ejection: OutlierEjection,
        health: HealthVerification,
        overload: OverloadDetector,
    ) -> None:
        self.settings = settings
        self._fleet = fleet
        self._dirty = dirty
        self._ejection = ejection
        self._health = health
        self._overload = overload

    def apply(self, now: int, restored: Restored) -> None:
        """Restore the backends, their links and the load of the fleet."""
        for name, snapshot in restored.backends.items():
            backend = self._fleet.backends[name]
            self._restore_backend(now, backend, snapshot)
            self._restore_links(now, backend, snapshot.links)
        self._overload.restore(now, restored.fleet)

    def _restore_backend(self, now: int, backend: Backend, snapshot: BackendSnapshot) -> None:
        backend.slow_start_since = backend.slow_start_since or snapshot.slow_start_since
        backend.removal_unconfirmed = snapshot.removal_unconfirmed
        backend.verified = snapshot.verified or not self.settings.health_checks_allowed
        self._dirty.mark_changed(backend)
        if backend.removal_unconfirmed or not backend.verified:
            self._health.check(now, backend, at_once=True)

    def _restore_links(self, now: int, backend: Backend, links: Mapping[str, LinkSnapshot]) -> None:
        for zone, snapshot in links.items():
            link = backend.link(zone, self._fleet.period)
            if link.attempts:
                continue
            restore_link(link, self._fleet.period, snapshot)
            if link.successes >= SUCCESSES_MIN:
                self._dirty.mark_observed(backend, zone)
            if link.is_ejected:
                link.ejected_at = None
                self._ejection.eject(now, zone, backend)
                self._health.check(now, backend)


def restore_link(link: Link, period: int, snapshot: LinkSnapshot) -> None:
    """Restore the observations of a former process. Their sums decay from the given period on."""
    link.attempts = snapshot.attempts
    link.failures = snapshot.failures
    link.successes = snapshot.successes
    link.response_time = snapshot.response_time
    link.overloaded_reports = snapshot.overloaded_reports
    link.consecutive_failures = snapshot.consecutive_failures
    link.ejected_at = snapshot.ejected_at
    link.slow_start_since = snapshot.slow_start_since
    link.decayed_to = period
    link.minimum_rtts = deque([snapshot.minimum_rtt] if snapshot.minimum_rtt else ())
    link.restored = link.attempts > 0


def discard_contradicted(
    link: Link, attempts: float, failures: float, mean: float, has_successes: bool
) -> None:
    """Discard the restored observations of a link if the first load report of the link contradicts them."""
    link.restored = False
    share_moved = abs(failures / attempts - link.failures / link.attempts)
    ratio = 1.0
    if has_successes and link.response_time:
        ratio = mean * link.successes / link.response_time
    is_ratio_plausible = 1 / CONTRADICTION_FACTOR < ratio < CONTRADICTION_FACTOR
    if share_moved > CONTRADICTION_SHARE or not is_ratio_plausible:
        link.decay(0.0)
        link.minimum_rtts.clear()
