"""Creates the report of a finished run."""

import os
from collections import Counter
from collections.abc import Sequence
from typing import TypedDict

from granitespool.scale import checker, fleet
from granitespool.scale.checker import Violation
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.cut_recovery import Recovery
from granitespool.scale.environment import Environment
from granitespool.scale.processes import MEGABYTE
from granitespool.scale.recorder import TrafficKey
from granitespool.scale.report import (
    VIOLATIONS_MAX,
    CoordinatorRow,
    CutRow,
    KindTraffic,
    Machine,
    Report,
    times,
)
from granitespool.scale.run import Run
from granitespool.scale.samples import share_in, worst_second
from granitespool.scale.schema import Scenario
from granitespool.units import MILLISECOND, SECOND

INTERNAL_ERRORS_MAX = 3  # of each coordinator


class _Identity(TypedDict):
    """The fields of the report that identify the run."""

    scenario: str
    title: str
    seed: int
    sizes: dict[str, int]
    planned: int
    plan_digest: str


class _Work(TypedDict):
    """The fields of the report on the load of backends and on the simulated requests."""

    backends_used: int
    load_largest: float | None
    requests: int
    requests_unserved: int


def make_report(run: Run) -> Report:
    """Return the report of a finished run."""
    environment, events = run.environment, run.events
    propagation = environment.propagation
    violations = checker.check(environment.recorder.events, fleet.limits(run.scenario))
    return Report(
        **_identity(run),
        **_work(environment),
        machine=_machine(run.load_before),
        coordinators=[_coordinator_row(run, coordinator) for coordinator in environment.coordinators],
        hollow=run.hollow_row,
        list_to_last_proxy=times(propagation.durations, propagation.unfinished(during_cut=False)),
        list_to_last_proxy_cut=times(propagation.durations_cut, propagation.unfinished(during_cut=True)),
        list_to_last_watch=times(environment.list_to_watches()),
        settings_to_last=times(events.settings.apply_times, events.settings.unfinished),
        settings_refused=events.settings.rejected,
        settings_refusal_kept=events.settings.rejection_kept,
        ready=times(events.ready_times),
        cut=[_cut_row(recovery) for recovery in events.cuts.recoveries],
        older_settings=sum(coordinator.older_settings for coordinator in environment.coordinators),
        older_lists=sum(coordinator.log.older_lists for coordinator in environment.coordinators),
        stream_resets=sum(stream.resets for stream in environment.streams),
        trace_events=len(environment.recorder.events),
        broken=_count_by_rule(violations),
        violations=violations[:VIOLATIONS_MAX],
        failures=_failures(run),
    )


def _identity(run: Run) -> _Identity:
    return _Identity(
        scenario=run.scenario.name,
        title=run.scenario.scale.title,
        seed=run.scenario.scale.seed,
        sizes=sizes(run.scenario),
        planned=len(run.plan),
        plan_digest=run.digest,
    )


def _work(environment: Environment) -> _Work:
    rates = list(environment.traffic.load_by_backend().values())
    return _Work(
        backends_used=len(rates),
        load_largest=round(max(rates) * len(rates) / sum(rates), 2) if rates else None,
        requests=environment.traffic.requests,
        requests_unserved=environment.traffic.unserved,
    )


def sizes(scenario: Scenario) -> dict[str, int]:
    """Return the sizes of a scenario by their label in the report."""
    return {
        "backends": scenario.fleet.backends,
        "services": scenario.fleet.services,
        "zones": len(scenario.zones),
        "real": scenario.coordinators.real,
        "hollow": scenario.coordinators.hollow,
        "proxies a coordinator": scenario.proxies.per_coordinator,
    }


def _machine(load_before: float) -> Machine:
    return Machine(
        cores=os.cpu_count() or 1,
        load_before=round(load_before, 2),
        load_after=round(os.getloadavg()[0], 2),
    )


def _count_by_rule(violations: Sequence[Violation]) -> dict[str, int]:
    counts: Counter[str] = Counter(violation.rule for violation in violations)
    return dict(sorted(counts.items()))


def _failures(run: Run) -> list[str]:
    """Return the failures of the run itself."""
    hollow = run.hollow.failures if run.hollow else []
    internal_errors = [
        error
        for coordinator in run.environment.coordinators
        for error in coordinator.log.internal_errors[:INTERNAL_ERRORS_MAX]
    ]
    return [*run.failures, *hollow, *internal_errors]


def _coordinator_row(run: Run, coordinator: RealCoordinator) -> CoordinatorRow:
    _count_health_checks(run, coordinator)
    traffic = _traffic(run, coordinator.name)
    samples = coordinator.samples
    return CoordinatorRow(
        name=coordinator.name,
        zone=coordinator.endpoint.zone,
        idle_share=share_in(samples, run.idle_span),
        reports_share=share_in(samples, run.reports_span),
        worst_second_share=worst_second(samples, run.measured_span.begin),
        resident_mb=round(max((sample.resident for sample in samples), default=0) / MEGABYTE, 1),
        descriptors=max((sample.descriptors for sample in samples), default=0),
        log_lines_per_s=round(_per_second(run, coordinator.log.lines), 2),
        in_bytes_per_s=_rate(traffic, "in"),
        out_bytes_per_s=_rate(traffic, "out"),
        traffic=traffic,
        ready_ms=[round(duration / MILLISECOND, 1) for duration in coordinator.ready_times],
        exit_codes=coordinator.exit_codes,
        log_events=dict(sorted(coordinator.log.fault_events.items())),
    )


def _count_health_checks(run: Run, coordinator: RealCoordinator) -> None:
    """Count a coordinator's health checks, with the mean bytes of all health checks.

    A health check does not identify the coordinator that sent it, so their number is taken from the log.
    """
    counts, number = run.environment.backends.health_checks, coordinator.log.health_checks
    if counts.number:
        recorder, name = run.environment.recorder, coordinator.name
        recorder.count(name, "out", "probe", number * counts.request_bytes // counts.number, number)
        recorder.count(name, "in", "probe answer", number * counts.answer_bytes // counts.number, number)


def _traffic(run: Run, name: str) -> dict[str, KindTraffic]:
    """Return a coordinator's messages and bytes, by direction and kind."""
    recorder = run.environment.recorder
    return {
        f"{key.direction} {key.kind}": KindTraffic(
            messages=count, bytes=recorder.bytes[key], bytes_per_s=_bytes_per_s(run, key)
        )
        for key, count in sorted(recorder.messages.items())
        if key.coordinator == name
    }


def _bytes_per_s(run: Run, key: TrafficKey) -> float:
    """Return the bytes a second of one kind of message during the measurement."""
    moved = run.environment.recorder.bytes[key] - run.bytes_before[key]
    return round(_per_second(run, moved), 1)


def _rate(traffic: dict[str, KindTraffic], direction: str) -> float:
    """Return the bytes a second of all kinds in one direction."""
    rates = [row.bytes_per_s for kind, row in traffic.items() if kind.split()[0] == direction]
    return round(sum(rates), 1)


def _per_second(run: Run, number: float) -> float:
    span = run.measured_span.end - run.measured_span.begin
    return number * SECOND / span if span > 0 else 0.0


def _cut_row(recovery: Recovery) -> CutRow:
    return CutRow(
        coordinator=recovery.coordinator.name,
        list_held=recovery.list_held,
        list_newest=recovery.list_newest,
        settings_held=recovery.settings_held,
        settings_newest=recovery.settings_newest,
        list_right_ms=_as_ms(recovery.list_recovered_after),
        settings_right_ms=_as_ms(recovery.settings_recovered_after),
    )


def _as_ms(time: int | None) -> float | None:
    return None if time is None else round(time / MILLISECOND, 1)
