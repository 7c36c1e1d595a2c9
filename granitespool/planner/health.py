"""Verification of backends by health checks at a limited rate."""

from granitespool.planner.actions import PlannerActions
from granitespool.planner.fleet import RECOMPUTATION_PERIOD
from granitespool.planner.records import Backend
from granitespool.settings import Settings


class HealthVerification:
    """Sends health checks if the settings permit health checks. The rate is limited for each backend."""

    def __init__(self, actions: PlannerActions, settings: Settings) -> None:
        self.settings = settings
        self._actions = actions

    def check(self, now: int, backend: Backend, at_once: bool = False) -> None:
        """Send a health check to a backend, at most once per recomputation period.

        With `at_once` the health check is sent even if the last one is less than a period ago.
        """
        if not self.settings.health_checks_allowed:
            return
        if at_once or now - backend.health_checked_at >= RECOMPUTATION_PERIOD:
            backend.health_checked_at = now
            self._actions.check_health(backend.name)
