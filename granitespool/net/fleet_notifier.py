"""Notifications about the fleet: what management clients that subscribed are told of, once a period.

It only reads the coordinator, a few backends in a step, and only while somebody has subscribed."""

from collections.abc import Callable, Iterable
from typing import Protocol

from granitespool.coordinator import Coordinator
from granitespool.coordinator_status import ZoneStatus
from granitespool.management.mapping import decimal_text
from granitespool.net.loop import SECOND, Loop, Waits
from granitespool.planner.status import PlannerStatus

PERIOD = SECOND  # ns: the planner's period
BACKENDS_PER_STEP = 200

Link = tuple[str, str | None]  # a backend or a zone, and a zone or a request class


class Notify(Protocol):
    """Notifies the subscribers of an event; the names are the YANG module's."""

    def __call__(self, name: str, **fields: object) -> None:
        """Of the event `name` with these leaves."""


class FleetNotifier:
    """Compares the fleet with what it was a period ago."""

    def __init__(
        self, loop: Loop, coordinator: Coordinator, notify: Notify, has_subscribers: Callable[[], bool]
    ) -> None:
        """Runs as long as the loop does."""
        self.loop = loop
        self.coordinator = coordinator
        self.notify = notify
        self.has_subscribers = has_subscribers
        self.is_overloaded = False
        self.admitted_shares: dict[Link, float] = {}  # by zone and request class
        self.ejected: dict[Link, bool] = {}
        loop.spawn(self._run())

    def _run(self) -> Waits:
        while True:
            yield None, 0, self.loop.now + PERIOD
            if not self.has_subscribers():
                self.ejected = {}
                continue
            status = self.coordinator.status()
            self._compare_overload(status.planner)
            self._compare_admission(status.zones)
            yield from self._compare_ejections()

    def _compare_overload(self, status: PlannerStatus) -> None:
        if status.is_overloaded != self.is_overloaded:
            self.is_overloaded = status.is_overloaded
            self.notify("strain", strained=self.is_overloaded)

    def _compare_admission(self, zones: Iterable[ZoneStatus]) -> None:
        shares = {(zone.zone, name): level.share for zone in zones for name, level in zone.levels.items()}
        for (zone, name), share in shares.items():
            # A class without an order so far is admitted whole
            if self.admitted_shares.get((zone, name), max(share, 1.0)) != share:
                self.notify("levels-changed", zone=zone, share=decimal_text(share), **{"class": name})
        self.admitted_shares = shares

    def _compare_ejections(self) -> Waits:
        seen: dict[Link, bool] = {}
        for number, backend in enumerate(list(self.coordinator.listed()), 1):
            status = self.coordinator.backend_status(backend)
            entries = status.planner.entries if status else {}
            for zone, entry in entries.items():
                is_ejected = entry.is_ejected
                seen[backend, zone] = is_ejected
                if self.ejected.get((backend, zone), False) != is_ejected:
                    self.notify("backend-cut", backend=backend, zone=zone, cut=is_ejected)
            if number % BACKENDS_PER_STEP == 0:
                yield None, 0, self.loop.now
        self.ejected = seen
