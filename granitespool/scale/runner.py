"""Plays a scenario: starts the processes, does what is planned, measures, ends all and makes the report."""

import hashlib
import os
import secrets
import signal
import tempfile
from collections import Counter
from collections.abc import Callable, Generator
from contextlib import contextmanager, suppress
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from granitespool.errors import InvalidInputError
from granitespool.net.loop import SECOND, Loop
from granitespool.scale import checker, fleet, report
from granitespool.scale.coordinators import RealCoordinator
from granitespool.scale.fleet import MS, MadeFleet, Network
from granitespool.scale.hollow_fleet import HollowFleet
from granitespool.scale.plan import Plan, Planned
from granitespool.scale.processes import MEGABYTE, Sample, close_all
from granitespool.scale.schema import Scenario
from granitespool.scale.world import World

NETWORKS = 64, 254  # numbers of loopback networks that a run draws its own from
PROCESSES_MOST = 200
MEMORY_PART = 0.5  # of the machine's memory that the processes may have together
RUNNER_MB = 2_048  # that the stand-ins are counted with
FORCE_LIMIT = 8 * SECOND  # ns that a new configuration may take to be in force before it is given up
SECOND_PART = 0.9  # part of a second that two samples have to be apart, to tell of one
LOOK = SECOND // 100  # ns between two looks
SPARE = 60 * SECOND  # ns beyond the planned time after which a run is given up

Wait = Generator[tuple[int | None, int, int | None], int, Any]


class Span(msgspec.Struct):
    """A phase of the run, in ns."""

    begin: int = 0
    end: int = 0


class Healing(msgspec.Struct):
    """A coordinator after a cut."""

    coordinator: RealCoordinator
    healed: int  # ns
    list_held: int
    list_newest: int
    settings_held: int
    settings_newest: int
    list_right: int | None = None  # ns after the end of the cut
    settings_right: int | None = None


class Run:
    """One run; `play` gives its report and leaves no process behind."""

    def __init__(self, scenario: Scenario, told: Callable[[str], None]) -> None:
        check_size(scenario)
        self.scenario, self.told = scenario, told
        self.failures: list[str] = []
        self.loop = Loop(self._failed)
        self.load_before = os.getloadavg()[0]
        network = Network(NETWORKS[0] + secrets.randbelow(NETWORKS[1] - NETWORKS[0]))
        made = MadeFleet(scenario, network, Random(scenario.scale.seed))
        plan = Plan(scenario, made, Random(scenario.scale.seed))
        self.plan = plan.planned
        self.digest = plan_digest(self.plan)
        self.made, self.network = made, network
        self.world: World
        self.hollow: HollowFleet | None = None
        self.version = 0  # newest settings
        self.idle, self.reported, self.measured = Span(), Span(), Span()
        self.bytes_before: Counter[tuple[str, str, str]] = Counter()  # before the measuring began
        self.forced: list[int] = []  # ns that configurations took to be in force at the last coordinator
        self.forced_late = self.refused = 0
        self.refusal_kept = True
        self.restarts: list[int] = []  # ns until ready
        self.healings: list[Healing] = []
        self.busy = 0  # starts and ends of coordinators that are under way
        self.done = False

    def play(self) -> report.Report:
        """Plays it to its end."""
        with tempfile.TemporaryDirectory(prefix="granitespool-scale-") as folder, ended_by_signals():
            try:
                self.world = World(self.scenario, self.made, self.network, self.loop, Path(folder))
                self.hollow = (
                    HollowFleet(self.world, Path(folder)) if self.scenario.coordinators.hollow else None
                )
                self.loop.spawn(self._timeline())
                self.loop.spawn(self._give_up())
                self.loop.run(lambda now: None)
                hollow = self.hollow.row() if self.hollow else None
            finally:
                self._close()
        return self._report(hollow)

    def _failed(self, error: Exception) -> None:
        self.failures.append(f"a stand-in failed: {error!r:.200}")
        if len(self.failures) > 50:
            self.loop.stop()

    def _close(self) -> None:
        children = (
            [each.child for each in self.world.coordinators if each.child] if hasattr(self, "world") else []
        )
        children += self.hollow.children if self.hollow else []
        close_all(children)
        if hasattr(self, "world"):
            for coordinator in self.world.coordinators:
                if coordinator.child:
                    code = coordinator.child.process.returncode
                    coordinator.exit_codes.append(code)
                    if code and not coordinator.place.ended:
                        self.failures.append(f"{coordinator.name} ended with {code}")
            self.world.close()
        if self.hollow:
            self.hollow.close()
        self.loop.close()

    # Phases

    def _give_up(self) -> Wait:
        times = self.scenario.times
        seconds = times.warm_s + times.idle_s + times.reports_s + times.events_s + times.settle_s
        starts = times.ready_s * (1 + self.scenario.coordinators.real / 4)
        last = self.plan[-1].at if self.plan else 0
        yield None, 0, self.loop.now + int((seconds + starts) * SECOND) + last + SPARE
        if not self.done:
            self.failures.append("the run's time ran out")
            self.loop.stop()

    def _timeline(self) -> Wait:
        try:
            yield from self._phases()
        except InvalidInputError as error:
            self.failures.append(str(error))
        finally:
            self.done = True
            self.loop.stop()

    def _phases(self) -> Wait:
        times = self.scenario.times
        yield from self._start_all()
        self.loop.spawn(self._samples())
        yield from self._sleep(times.warm_s)
        self.measured.begin = self.loop.clock()
        self.bytes_before = Counter(self.world.recorder.bytes)
        for coordinator in self.world.coordinators:
            coordinator.log_lines = 0
        self.told("idle")
        yield from self._span(self.idle, times.idle_s)
        self.world.reports(True)
        self.told("reports")
        if self.hollow:
            self.world.show_change(back=False)
        yield from self._span(self.reported, times.reports_s)
        if self.hollow:
            self.told("hollow coordinators")
            self.world.show_change(back=True)
            yield from self._sleep(1)
            yield from self.hollow.start(self.world.coordinators[0])
        self.told("events")
        self.loop.spawn(self._look_back())
        yield from self._events()
        yield from self._sleep(times.settle_s)
        yield from self._last_looks()
        if self.hollow:
            self.hollow.check()
        self.measured.end = self.loop.clock()

    def _sleep(self, seconds: float) -> Wait:
        until = self.loop.now + int(seconds * SECOND)
        while self.loop.now < until:
            yield None, 0, until

    def _span(self, span: Span, seconds: float) -> Wait:
        self._sample()
        span.begin = self.loop.clock()
        yield from self._sleep(seconds)
        self._sample()
        span.end = self.loop.clock()

    def _start_all(self) -> Wait:
        for coordinator in self.world.coordinators:
            entries = list(self.world.list.entries.values())
            if not (yield from coordinator.start(entries)):
                raise InvalidInputError(f"{coordinator.name} was not ready in time")
            self.told(f"{coordinator.name} is ready")
        for coordinator in self.world.coordinators:
            self.world.join_proxies(coordinator)

    def _samples(self) -> Wait:
        due = self.loop.now
        while True:
            self._sample()
            due += SECOND
            yield None, 0, due

    def _sample(self) -> None:
        for coordinator in self.world.coordinators:
            coordinator.take_sample()
            child = coordinator.child
            if child and child.ended and not coordinator.place.ended:
                self.failures.append(f"{coordinator.name} ended by itself with {child.process.returncode}")
                coordinator.place.ended = True
        if self.hollow:
            self.hollow.take_samples()

    def _look_back(self) -> Wait:
        """Looks each second whether a coordinator has older settings than it was seen to have."""
        while True:
            yield from self._sleep(1)
            for coordinator in self.world.coordinators:
                if coordinator.serves:
                    yield from coordinator.has_settings(coordinator.in_force)

    # Events

    def _events(self) -> Wait:
        begin = self.loop.now
        for planned in self.plan:
            yield from self._until(begin + planned.at)
            yield from self._perform(planned)
        yield from self._until(begin + int(self.scenario.times.events_s * SECOND))
        while self.busy:
            yield from self._sleep(0.1)

    def _until(self, at: int) -> Wait:
        while self.loop.now < at:
            yield None, 0, at

    def _perform(self, planned: Planned) -> Wait:
        if planned.action in ("configure", "configure_badly"):
            yield from self._configure(planned.action == "configure_badly")
        elif planned.action in ("kill", "terminate"):
            number = signal.SIGKILL if planned.action == "kill" else signal.SIGTERM
            for coordinator in self._named(planned):
                coordinator.end(number)
        elif planned.action == "start":
            for coordinator in self._named(planned):
                self.busy += 1
                self.loop.spawn(self._restart(coordinator))
        elif planned.action == "kill_hollow":
            if self.hollow:
                self.hollow.kill_one()
        elif planned.action == "heal":
            yield from self._heal(planned)
        else:
            self.world.perform(planned)

    def _named(self, planned: Planned) -> list[RealCoordinator]:
        return [each for each in self.world.coordinators if each.name in planned.names]

    def _restart(self, coordinator: RealCoordinator) -> Wait:
        try:
            yield from coordinator.ended()
            coordinator.version = self.version
            entries = list(self.world.list.entries.values())
            if (yield from coordinator.start(entries)):
                self.restarts.append(coordinator.ready_times[-1])
                self.world.rejoin(coordinator)
            else:
                self.failures.append(f"{coordinator.name} was not ready in time after its restart")
        finally:
            self.busy -= 1

    def _configure(self, bad: bool) -> Wait:
        """One change of the configuration, for every coordinator that can be reached."""
        self.version += not bad
        cut = self.world.cut_coordinators()
        reached = [each for each in self.world.coordinators if each.serves and each not in cut]
        sent = self.loop.clock()
        before = {each.name: len(each.reloads) for each in reached}
        for coordinator in reached:
            coordinator.write(self.version, bad)
            coordinator.hang_up()
        until = self.loop.now + FORCE_LIMIT
        while self.loop.now < until and any(len(each.reloads) == before[each.name] for each in reached):
            yield None, 0, self.loop.now + LOOK
        answered = [each for each in reached if len(each.reloads) > before[each.name]]
        if len(answered) < len(reached):
            self.forced_late += 1
        elif answered and not bad:
            self.forced.append(max(max(0, each.reloads[-1].at - sent) for each in answered))
        yield from self._check_settings(answered, bad)

    def _check_settings(self, answered: list[RealCoordinator], bad: bool) -> Wait:
        """That a refused change changed nothing, and any other is what is in force."""
        for coordinator in answered:
            if bad:
                self.refused += coordinator.reloads[-1].refused
                self.refusal_kept = self.refusal_kept and coordinator.reloads[-1].refused
            right = yield from coordinator.has_settings(self.version)
            if right is False:
                self.refusal_kept = self.refusal_kept and not bad
                self.failures.append(f"{coordinator.name} has not the settings {self.version}")

    def _heal(self, planned: Planned) -> Wait:
        cut, now = self.world.cut_coordinators(), self.loop.clock()
        for coordinator in cut:
            if (yield from coordinator.has_settings(coordinator.version + 1)) is True:
                self.failures.append(f"{coordinator.name} had settings that it could not have been told")
            self.healings.append(
                Healing(
                    coordinator,
                    now,
                    coordinator.list_index,
                    self.world.list.index,
                    coordinator.in_force,
                    self.version,
                )
            )
        self.world.perform(planned)
        for healing in self.healings[-len(cut) or len(self.healings) :]:
            healing.healed = self.loop.clock()
            healing.coordinator.write(self.version)
            healing.coordinator.hang_up()
            self.loop.spawn(self._healed(healing))

    def _healed(self, healing: Healing) -> Wait:
        """Looks when a coordinator is right again."""
        coordinator, until = healing.coordinator, healing.healed + int(60 * SECOND)
        while self.loop.now < until and (healing.list_right is None or healing.settings_right is None):
            if healing.settings_right is None and (
                yield from coordinator.has_settings(healing.settings_newest)
            ):
                healing.settings_right = self.loop.clock() - healing.healed
            if healing.list_right is None and coordinator.list_index >= healing.list_newest:
                healing.list_right = self.loop.clock() - healing.healed
            yield None, 0, self.loop.now + 5 * LOOK

    def _last_looks(self) -> Wait:
        """What every coordinator has at the end."""
        for coordinator in self.world.coordinators:
            if not coordinator.serves:
                continue
            if (yield from coordinator.has_settings(self.version)) is not True:
                self.failures.append(f"{coordinator.name} has not the newest settings at the end")
            if coordinator.list_index < self.world.list.index:
                self.failures.append(
                    f"{coordinator.name} has the list {coordinator.list_index} at the end, "
                    f"not {self.world.list.index}"
                )

    # The report

    def _report(self, hollow: report.HollowRow | None) -> report.Report:
        world, scenario = self.world, self.scenario
        violations = checker.check(world.recorder.events, fleet.limits(scenario))
        spreading = list(world.spreading.values())
        work = world.traffic.spread()
        hollow_failures = self.hollow.failures if self.hollow else ()
        failures = [
            *self.failures,
            *hollow_failures,
            *(fault for each in world.coordinators for fault in each.faults[:3]),
        ]
        return report.Report(
            scenario=scenario.name,
            title=scenario.scale.title,
            seed=scenario.scale.seed,
            sizes=sizes(scenario),
            planned=len(self.plan),
            plan_digest=self.digest,
            machine=report.Machine(
                cores=os.cpu_count() or 1,
                load_before=round(self.load_before, 2),
                load_after=round(os.getloadavg()[0], 2),
            ),
            coordinators=[self._row(each) for each in world.coordinators],
            hollow=hollow,
            list_to_last_proxy=report.times(world.spread, sum(not each.during_cut for each in spreading)),
            list_to_last_proxy_cut=report.times(world.spread_cut, sum(each.during_cut for each in spreading)),
            list_to_last_watch=report.times(world.list_to_watches()),
            settings_to_last=report.times(self.forced, self.forced_late),
            settings_refused=self.refused,
            settings_refusal_kept=self.refusal_kept,
            ready=report.times(self.restarts),
            cut=[cut_row(each) for each in self.healings],
            older_settings=sum(each.older_settings for each in world.coordinators),
            older_lists=sum(each.older_lists for each in world.coordinators),
            stream_resets=sum(stream.resets for stream in world.streams),
            backends_used=len(work),
            load_largest=round(max(work.values()) * len(work) / sum(work.values()), 2) if work else None,
            requests=world.traffic.requests,
            requests_unserved=world.traffic.unserved,
            trace_events=len(world.recorder.events),
            broken=dict(sorted(Counter(each.rule for each in violations).items())),
            violations=violations[: report.VIOLATIONS_KEPT],
            failures=failures,
        )

    def _row(self, coordinator: RealCoordinator) -> report.CoordinatorRow:
        recorder, backends = self.world.recorder, self.world.backends
        if backends.probes:  # a probe's connection does not tell who asks: means of all probes stand for it
            asked = coordinator.probes * backends.asked_bytes // backends.probes
            answered = coordinator.probes * backends.answered_bytes // backends.probes
            recorder.count(coordinator.name, "out", "probe", asked, coordinator.probes)
            recorder.count(coordinator.name, "in", "probe answer", answered, coordinator.probes)
        traffic = {
            f"{direction} {kind}": report.KindTraffic(
                messages=count,
                bytes=recorder.bytes[name, direction, kind],
                bytes_per_s=self._rate((name, direction, kind)),
            )
            for (name, direction, kind), count in sorted(recorder.messages.items())
            if name == coordinator.name
        }
        rates = {
            direction: round(
                sum(t.bytes_per_s for kind, t in traffic.items() if kind.split()[0] == direction), 1
            )
            for direction in ("in", "out")
        }
        samples = coordinator.samples
        return report.CoordinatorRow(
            name=coordinator.name,
            zone=coordinator.place.zone,
            idle_share=share_in(samples, self.idle),
            reports_share=share_in(samples, self.reported),
            worst_second_share=worst_second(samples, self.measured.begin),
            resident_mb=round(max((each.resident for each in samples), default=0) / MEGABYTE, 1),
            descriptors=max((each.descriptors for each in samples), default=0),
            log_lines_per_s=round(self._per_second(coordinator.log_lines), 2),
            in_bytes_per_s=rates["in"],
            out_bytes_per_s=rates["out"],
            traffic=traffic,
            ready_ms=[round(each / MS, 1) for each in coordinator.ready_times],
            exit_codes=coordinator.exit_codes,
            log_events=dict(sorted(coordinator.log_events.items())),
        )

    def _rate(self, key: tuple[str, str, str]) -> float:
        """Bytes a second of one kind of message of a coordinator while it was measured."""
        moved = self.world.recorder.bytes[key] - self.bytes_before[key]
        return round(self._per_second(moved), 1)

    def _per_second(self, number: float) -> float:
        span = self.measured.end - self.measured.begin
        return number * SECOND / span if span > 0 else 0.0


def share_in(samples: list[Sample], span: Span) -> float | None:
    """The share of a core that a process used in a phase."""
    inside = [each for each in samples if span.begin - SECOND // 10 <= each.at <= span.end + SECOND // 10]
    if len(inside) < 2:
        return None
    return report.share_between(inside[0].at, inside[-1].at, inside[-1].processor - inside[0].processor)


def worst_second(samples: list[Sample], begin: int) -> float | None:
    """The largest share of a core of one process in a second, or the shortest span of samples over one."""
    worst = None
    for place, first in enumerate(samples):
        last = next((each for each in samples[place:] if each.at - first.at >= SECOND * SECOND_PART), None)
        if first.at < begin or last is None or last.processor < first.processor:
            continue  # before the measuring, at its end, or of two processes
        share = report.share_between(first.at, last.at, last.processor - first.processor)
        worst = max(worst or 0.0, share)
    return worst


def cut_row(healing: Healing) -> report.CutRow:
    """A coordinator after a cut, as the report has it."""
    list_right, settings_right = (
        None if each is None else round(each / MS, 1) for each in (healing.list_right, healing.settings_right)
    )
    return report.CutRow(
        coordinator=healing.coordinator.name,
        list_held=healing.list_held,
        list_newest=healing.list_newest,
        settings_held=healing.settings_held,
        settings_newest=healing.settings_newest,
        list_right_ms=list_right,
        settings_right_ms=settings_right,
    )


def sizes(scenario: Scenario) -> dict[str, int]:
    """How large the scenario is, for the report."""
    return {
        "backends": scenario.fleet.backends,
        "services": scenario.fleet.services,
        "zones": len(scenario.zones),
        "real": scenario.coordinators.real,
        "hollow": scenario.coordinators.hollow,
        "proxies a coordinator": scenario.proxies.per_coordinator,
    }


def plan_digest(plan: list[Planned]) -> str:
    """A short text that is the same for the same planned events, whatever the run's addresses are."""
    without = [
        msgspec.structs.replace(
            each, entries=tuple(msgspec.structs.replace(entry, address="") for entry in each.entries)
        )
        for each in plan
    ]
    return hashlib.sha256(msgspec.json.encode(without)).hexdigest()[:16]


def check_size(scenario: Scenario) -> None:
    """Ends in InvalidInputError where the scenario would take more of the machine than it may."""
    coordinators = scenario.coordinators
    processes = coordinators.real + coordinators.hollow_processes + 1
    if processes > PROCESSES_MOST:
        raise InvalidInputError(f"the scenario asks for {processes} processes, of {PROCESSES_MOST} at most")
    wanted = coordinators.real * coordinators.memory_mb + RUNNER_MB
    most = MEMORY_PART * os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / MEGABYTE
    if wanted > most:
        raise InvalidInputError(
            f"the scenario may take {wanted} MB, of {most:.0f} MB: half of the machine's memory"
        )


@contextmanager
def ended_by_signals() -> Generator[None, None, None]:
    """Within it SIGTERM and SIGHUP end the program in good order, as Ctrl-C does."""

    def end(number: int, _: object) -> None:
        raise SystemExit(128 + number)

    former = {}
    with suppress(ValueError):  # not in the main thread
        former = {number: signal.signal(number, end) for number in (signal.SIGTERM, signal.SIGHUP)}
    try:
        yield
    finally:
        for number, handler in former.items():
            signal.signal(number, handler)


def play(scenario: Scenario, told: Callable[[str], None] = lambda words: None) -> report.Report:
    """Plays a scenario; `told` hears what it does."""
    return Run(scenario, told).play()
