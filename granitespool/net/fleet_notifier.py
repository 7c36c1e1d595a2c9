"""Notifications about the fleet for subscribed management clients, once per period.

The notifier only reads from the coordinator. It reads a limited number of backends at a time, and none while
no client is subscribed.
"""

from collections.abc import Callable
from typing import Protocol

from granitespool.coordinator import Coordinator
from granitespool.coordinator_status import CoordinatorStatus
from granitespool.management.mapping import decimal_text
from granitespool.net.loop import SECOND, Coroutine, Loop

PERIOD = SECOND  # ns, the planner's period
BACKENDS_PER_STEP = 200  # backends read before other coroutines run

Link = tuple[str, str]  # backend and zone
ZoneClass = tuple[str, str | None]  # zone and request class


class Notify(Protocol):
    """Sends a notification to the subscribers; the YANG module defines the names."""

    def __call__(self, name: str, **fields: object) -> None:
        """Send the notification `name` with the leaves `fields`."""


class FleetNotifier:
    """Compares the fleet with its state one period ago and sends a notification for each difference."""

    def __init__(
        self, loop: Loop, coordinator: Coordinator, notify: Notify, has_subscribers: Callable[[], bool]
    ) -> None:
        """Start the notifier, which runs until the loop is closed."""
        self.loop = loop
        self.coordinator = coordinator
        self.notify = notify
        self.has_subscribers = has_subscribers
        self.is_overloaded = False
        self.admitted_shares: dict[ZoneClass, float] = {}
        self.ejected: dict[Link, bool] = {}
        loop.spawn(self._run())

    def _run(self) -> Coroutine:
        while True:
            yield None, 0, self.loop.now + PERIOD
            if not self.has_subscribers():
                self.ejected = {}
                continue
            status = self.coordinator.status()
            self._compare_overload(status)
            self._compare_admission(status)
            yield from self._compare_ejections()

    def _compare_overload(self, status: CoordinatorStatus) -> None:
        if status.planner.is_overloaded != self.is_overloaded:
            self.is_overloaded = status.planner.is_overloaded
            self.notify("strain", strained=self.is_overloaded)

    def _compare_admission(self, status: CoordinatorStatus) -> None:
        shares = {
            (zone.zone, name): level.share for zone in status.zones for name, level in zone.levels.items()
        }
        for (zone, name), share in shares.items():
            # A class that had no admission level one period ago had an admitted share of 1
            if self.admitted_shares.get((zone, name), max(share, 1.0)) != share:
                self.notify("levels-changed", zone=zone, share=decimal_text(share), **{"class": name})
        self.admitted_shares = shares

    def _compare_ejections(self) -> Coroutine:
        ejected: dict[Link, bool] = {}
        for number, name in enumerate(list(self.coordinator.endpoint_states()), 1):
            backend = self.coordinator.backend_status(name)
            entries = backend.planner.entries if backend else {}
            for zone, entry in entries.items():
                ejected[name, zone] = entry.is_ejected
                if self.ejected.get((name, zone), False) != entry.is_ejected:
                    self.notify("backend-cut", backend=name, zone=zone, cut=entry.is_ejected)
            if number % BACKENDS_PER_STEP == 0:
                yield None, 0, self.loop.now
        self.ejected = ejected
