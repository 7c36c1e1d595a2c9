"""Reports events that are built from plain values to a planner or a coordinator."""

from typing import Any

import msgspec

from granitespool.endpoints import Endpoint, Phase
from granitespool.planner import events
from granitespool.planner.records import MinimumRtt
from granitespool.planner.status import BackendSnapshot, FleetSnapshot, LinkSnapshot
from granitespool.units import SECOND
from support.records import endpoint

USUAL_RATE = 5.0  # requests a second that a joining proxy reports


class RestoredLink(msgspec.Struct, frozen=True):
    """The restored statistics of one link: the observations of a zone at a backend."""

    zone: str
    backend: str
    attempts: int
    failures: int = 0
    mean: int = 0  # ns
    ejected: bool = False

    def snapshot(self, now: int) -> LinkSnapshot:
        """Return the record that a state folder would restore; an ejection is one second old."""
        successes = self.attempts - self.failures
        return LinkSnapshot(
            attempts=float(self.attempts),
            failures=float(self.failures),
            successes=float(successes),
            response_time=float(successes * self.mean),
            minimum_rtt=MinimumRtt(now, self.mean) if self.mean else None,
            overloaded_reports=0,
            consecutive_failures=0,
            ejected_at=now - SECOND if self.ejected else None,
            slow_start_since=None,
        )


class RestoredUnverified(msgspec.Struct, frozen=True):
    """A restored backend without a successful attempt or health check."""

    backend: str


class RestoredOverload(msgspec.Struct, frozen=True):
    """A restored overload, with the demand of each class."""

    admitted_share: float
    demand: dict[str | None, float]


Restored = RestoredLink | RestoredUnverified | RestoredOverload


def load_report(
    zone: str, backend: str, attempts: int, failures: int = 0, mean: int = 0, window: int = SECOND
) -> events.LoadReport:
    """Return a load report of a zone for a backend; `mean` and `window` in ns."""
    return events.LoadReport(zone, backend, attempts, failures, mean, window, {})


class EventReporter:
    """One method for each event, and the settings that apply from the first event on."""

    def __init__(self) -> None:
        self.now = 0
        self.settings: dict[str, Any] = {"zones": ["n", "s"], "classes": []}

    def report(self, event: events.Event) -> None:
        """Report one event at the current time."""
        raise NotImplementedError

    def configure(self, **settings: Any) -> None:
        """Change settings, before the first event."""
        self.settings.update(settings)

    def request_class(self, name: str, effect: str, *, latency_objective: int, priority_weight: int) -> None:
        """Add a request class, before the first event; it times out at three times its objective (ns)."""
        self.settings["classes"].append(
            {
                "name": name,
                "effect": effect,
                "latency_objective": latency_objective,
                "timeout": 3 * latency_objective,
                "priority_weight": priority_weight,
            }
        )

    def _list(self, form: events.ListForm, entries: tuple[Endpoint | str, ...]) -> None:
        endpoints = [entry if isinstance(entry, Endpoint) else endpoint(entry) for entry in entries]
        self.report(events.EndpointListUpdate(form, endpoints))

    def list_restored(self, *entries: Endpoint | str) -> None:
        """Report the list of a new watch; a bare name is a ready endpoint of zone `n`."""
        self._list(events.ListForm.RESTORED, entries)

    def list_complete(self, *entries: Endpoint | str) -> None:
        """Report the complete list: backends that it does not contain are gone."""
        self._list(events.ListForm.COMPLETE, entries)

    def list_changes(self, *entries: Endpoint | str) -> None:
        """Report the entries of the list that changed."""
        self._list(events.ListForm.CHANGES, entries)

    def list_failed(self) -> None:
        """Report that the list could not be read."""
        self._list(events.ListForm.FAILED, ())

    def restore(self, *records: Restored) -> None:
        """Report the state that was restored from a snapshot."""
        fleet = FleetSnapshot(is_overloaded=False, admitted_share=1.0, success_ratio=1.0, demand={})
        links: dict[str, dict[str, LinkSnapshot]] = {}
        unverified = set()
        for record in records:
            if isinstance(record, RestoredOverload):
                fleet = FleetSnapshot(
                    is_overloaded=True,
                    admitted_share=record.admitted_share,
                    success_ratio=1.0,
                    demand=record.demand,
                )
            elif isinstance(record, RestoredUnverified):
                links.setdefault(record.backend, {})
                unverified.add(record.backend)
            else:
                links.setdefault(record.backend, {})[record.zone] = record.snapshot(self.now)
        backends = {
            name: _backend_snapshot(name not in unverified, by_zone) for name, by_zone in links.items()
        }
        self.report(events.Restored(fleet, backends))

    def join(self, proxy: int, zone: str = "n", rate: float = USUAL_RATE) -> None:
        """Report that a proxy has joined with the bootstrap table."""
        self.report(events.ProxyJoined(proxy, zone, True, rate))

    def join_many(self, number: int, zone: str = "n") -> None:
        """Report that `number` proxies have joined, numbered from 0."""
        for proxy in range(number):
            self.join(proxy, zone)

    def leave(self, proxy: int) -> None:
        """Report that a proxy's stream has ended."""
        self.report(events.ProxyLeft(proxy))

    def load_report(
        self, zone: str, backend: str, attempts: int, failures: int = 0, mean: int = 0, window: int = SECOND
    ) -> None:
        """Report the load of a zone at a backend; `mean` and `window` in ns."""
        self.report(load_report(zone, backend, attempts, failures, mean, window))

    def usage_report(
        self, proxy: int, request_class: str, requests: int, unanswered: int = 0, window: int = SECOND
    ) -> None:
        """Report the requests of a class that reached a proxy."""
        self.report(events.UsageReport(proxy, request_class, requests, unanswered, window))

    def acknowledged(self, proxy: int, sequence: int, latency: int) -> None:
        """Report that a proxy acknowledged a barrier, with the latency in ns."""
        self.report(events.Acknowledged(proxy, sequence, latency))

    def health_check(self, backend: str, outcome: str, latency: int) -> None:
        """Report the outcome of a health check, with the latency in ns."""
        self.report(events.HealthCheckResult(backend, events.HealthCheckOutcome(outcome), latency, {}))

    def gossip(self, peer: int, payload: str) -> None:
        """Report a datagram of another coordinator, as hexadecimal text."""
        self.report(events.GossipReceived(peer, payload))

    def slice_assigned(self, table: int, owned: bool) -> None:
        """Report that a slice's table was assigned to the coordinator or withdrawn from it."""
        self.report(events.SliceAssigned(table, owned))

    def slice_entry(self, table: int, backend: str, weight: float) -> None:
        """Report an entry of a slice from the store."""
        self.report(events.SliceEntry(table, backend, weight))

    def slice_load(self, table: int, request_class: str, requests: int, unanswered: int, window: int) -> None:
        """Report the requests of a class in a slice."""
        self.report(events.SliceLoad(table, request_class, requests, unanswered, window))


def _backend_snapshot(verified: bool, links: dict[str, LinkSnapshot]) -> BackendSnapshot:
    return BackendSnapshot(
        phase=Phase.READY,
        zone=None,
        machine_type=None,
        configured_weight=1.0,
        started_at=0,
        left_ready_at=0,
        slow_start_since=None,
        verified=verified,
        removal_unconfirmed=False,
        links=links,
    )
