"""Read-only access to the state of a planner, by the records of `granitespool.planner.status`."""

from collections.abc import Iterable

from granitespool.planner.assignment import ProxyAssignment
from granitespool.planner.cost import CostTable
from granitespool.planner.exclusion import ExclusionControl
from granitespool.planner.fleet import Fleet
from granitespool.planner.in_flight import InFlightAccount
from granitespool.planner.load_reports import DECAY_FACTOR
from granitespool.planner.outbox import Outbox
from granitespool.planner.overload import OverloadDetector
from granitespool.planner.records import READY, Backend, Exclusion, Link
from granitespool.planner.slow_start import SlowStart
from granitespool.planner.status import (
    BackendSnapshot,
    BackendStatus,
    EntryStatus,
    FleetSnapshot,
    LinkSnapshot,
    Outlier,
    Outliers,
    PlannerMetrics,
    PlannerStatus,
    Snapshot,
)
from granitespool.planner.subsets import Subsets
from granitespool.units import SECOND

# Time after the beginning of its slow start for which a backend is shown as recovering, ns
RECOVERING_DURATION = 20 * SECOND
ATTEMPTS_SHOWN_MIN = 0.5  # recent attempts with which a backend that is not ready counts as used


class PlannerInspection:
    """Provides snapshots, operational state and metrics of a planner."""

    def __init__(
        self,
        fleet: Fleet,
        costs: CostTable,
        subsets: Subsets,
        account: InFlightAccount,
        assignment: ProxyAssignment,
        overload: OverloadDetector,
        slow_start: SlowStart,
        outbox: Outbox,
        exclusion: ExclusionControl,
    ) -> None:
        self.acknowledgement_latency = 0  # of the last acknowledgement, ns
        self._fleet = fleet
        self._costs = costs
        self._subsets = subsets
        self._account = account
        self._assignment = assignment
        self._overload = overload
        self._slow_start = slow_start
        self._outbox = outbox
        self._exclusion = exclusion

    def backend(self, name: str) -> Backend | None:
        """Return the record of a backend, or None if it is not in the fleet."""
        return self._fleet.backends.get(name)

    def backends(self) -> Iterable[Backend]:
        """Return the records of all backends, oldest first."""
        return self._fleet.backends.values()

    def tables(self) -> dict[str, list[int]]:
        """Return the tables by zone."""
        return self._subsets.tables

    def joined_zones(self) -> set[str]:
        """Return the zones of joined proxies."""
        return {self._subsets.zone_of(joined.table) for joined in self._assignment.proxies.values()}

    def snapshot(self, names: Iterable[str]) -> Snapshot:
        """Return a snapshot of the fleet and of these backends. Unknown names are ignored."""
        found = (self._fleet.backends.get(name) for name in names)
        return Snapshot(
            fleet=FleetSnapshot(
                is_overloaded=self._overload.is_overloaded,
                admitted_share=self._overload.admitted_share,
                success_ratio=self._overload.success_ratio,
                demand=self._overload.demand,
            ),
            backends={backend.name: self._backend_snapshot(backend) for backend in found if backend},
        )

    def _backend_snapshot(self, backend: Backend) -> BackendSnapshot:
        return BackendSnapshot(
            phase=backend.phase,
            zone=backend.zone,
            machine_type=backend.machine_type,
            configured_weight=backend.configured_weight,
            started_at=backend.started_at,
            left_ready_at=backend.left_ready_at,
            slow_start_since=backend.slow_start_since,
            verified=backend.verified,
            removal_unconfirmed=backend.removal_unconfirmed,
            links={
                zone: _link_snapshot(backend.link_as_of(zone, self._fleet.period, DECAY_FACTOR))
                for zone in self._subsets.tables
            },
        )

    def backend_status(self, name: str) -> BackendStatus | None:
        """Return the operational state of a backend, or None if it is not in the fleet."""
        backend = self._fleet.backends.get(name)
        if backend is None:
            return None
        return BackendStatus(
            phase=backend.phase,
            zone=backend.zone,
            machine_type=backend.machine_type,
            verified=backend.verified,
            entries={
                zone: self._entry_status(backend, zone, tables)
                for zone, tables in self._subsets.tables.items()
            },
        )

    def _entry_status(self, backend: Backend, zone: str, tables: list[int]) -> EntryStatus:
        link = backend.links.get(zone)
        return EntryStatus(
            weight=max(backend.published.get(table, 0.0) for table in tables),
            cost=self._costs.attempt_cost(backend, zone),
            is_ejected=link is not None and link.is_ejected,
        )

    def status(self) -> PlannerStatus:
        """Return the operational state of the planner."""
        return PlannerStatus(
            joined=len(self._assignment.proxies),
            unassigned=len(self._assignment.unassigned),
            in_flight=self._account.in_flight,
            acknowledgement_latency=self.acknowledgement_latency,
            is_overloaded=self._overload.is_overloaded,
            admitted_share=self._overload.admitted_share,
            success_ratio=self._overload.success_ratio,
        )

    def metrics(self, now: int) -> PlannerMetrics:
        """Return the metrics of the planner at `now` (ns)."""
        links = [link for backend in self._fleet.backends.values() for link in backend.links.values()]
        unassigned = self._assignment.unassigned.values()
        drains = self._exclusion.outstanding_drains()
        return PlannerMetrics(
            joined=len(self._assignment.proxies),
            unassigned=len(unassigned),
            longest_wait=now - min((waiting.since for waiting in unassigned), default=now),
            outstanding_drains=len(drains),
            longest_drain=now - min((backend.left_ready_at for backend in drains), default=now),
            in_flight=self._account.in_flight,
            in_flight_limit=self._account.limit,
            oldest_in_flight_age=self._account.oldest_age(now),
            configured_rate=self._account.rate,
            observed_rate=self._account.observed_rate,
            total_entries=self._account.total_entries,
            entries_by_kind={kind.value: entries for kind, entries in self._outbox.total_entries.items()},
            acknowledgement_latency=self.acknowledgement_latency,
            is_overloaded=self._overload.is_overloaded,
            admitted_share=self._overload.admitted_share,
            success_ratio=self._overload.success_ratio,
            subsets=self._subsets.count,
            ejected_links=sum(link.is_ejected and not link.last_resort for link in links),
            last_resort_links=sum(link.is_ejected and link.last_resort for link in links),
        )

    def outliers(self, now: int, limit: int) -> Outliers:
        """Return at most `limit` backends that get less than their ordinary share of the traffic.

        The backends with the most recent attempts come first.
        """
        found = {
            backend.name: Outlier(
                reason=reason,
                attempts=backend.recent_attempts,
                failures=backend.recent_failures,
                weight=sum(backend.published.values()),
            )
            for backend in self._fleet.backends.values()
            if (reason := self._reason(now, backend))
        }
        by_attempts = sorted(found, key=lambda name: -found[name].attempts)
        return Outliers(
            backends={name: found[name] for name in by_attempts[:limit]},
            omitted=max(0, len(by_attempts) - limit),
        )

    def _reason(self, now: int, backend: Backend) -> str | None:
        """Return why a backend gets less than its ordinary share of the traffic.

        The result is None if the backend gets its ordinary share, or if it is not ready and not used.
        """
        if backend.phase != READY:
            is_used = backend.recent_attempts >= ATTEMPTS_SHOWN_MIN or backend.is_in_tables
            return str(backend.phase) if is_used or backend.exclusion == Exclusion.EXCLUDED else None
        if backend.removal_unconfirmed:
            return "removal_unconfirmed"
        if not backend.verified:
            return "unverified"
        if backend.ejected_links:
            return "ejected"
        if not self._slow_start.is_warm(now, backend):
            return "warming_up"
        return "recovering" if self._is_recovering(now, backend) else None

    @staticmethod
    def _is_recovering(now: int, backend: Backend) -> bool:
        starts = [backend.slow_start_since, *(link.slow_start_since for link in backend.links.values())]
        begun = [start for start in starts if start is not None]
        return bool(begun) and now - max(begun) < RECOVERING_DURATION


def _link_snapshot(link: Link) -> LinkSnapshot:
    return LinkSnapshot(
        attempts=link.attempts,
        failures=link.failures,
        successes=link.successes,
        response_time=link.response_time,
        overloaded_reports=link.overloaded_reports,
        consecutive_failures=link.consecutive_failures,
        ejected_at=link.ejected_at,
        slow_start_since=link.slow_start_since,
        minimum_rtt=link.minimum_rtts[0] if link.minimum_rtts else None,
    )
