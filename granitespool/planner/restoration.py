"""Restoration of the fleet from the snapshot of a former process, at a start.

The trusted part of the snapshot (`granitespool.state`) is applied before any proxy joins. The first load
report of a link replaces observations that it contradicts. Restored ejections are limited by the cap on
ejections and verified by health checks; cold backends stay in slow start.
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

# Ratio of a reported to a restored mean (or its inverse) that is no longer chance: an eighth of the means of
# three successes are beyond it
CONTRADICTION_FACTOR = 2.5
# Difference between a reported and a restored failed share that is no longer chance
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
    """Restore the observations of a former process; their sums start to decay at this period."""
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
    """Discard the restored observations of a link that its first load report contradicts."""
    link.restored = False
    share_moved = abs(failures / attempts - link.failures / link.attempts)
    ratio = 1.0
    if has_successes and link.response_time:
        ratio = mean * link.successes / link.response_time
    is_ratio_plausible = 1 / CONTRADICTION_FACTOR < ratio < CONTRADICTION_FACTOR
    if share_moved > CONTRADICTION_SHARE or not is_ratio_plausible:
        link.decay(0.0)
        link.minimum_rtts.clear()
