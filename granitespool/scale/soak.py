"""The soak: runs of drawn scenarios, in which coordinators end and start again throughout a deploy.

A seed determines the scenario: its sizes, the limits of the channel, and its events. Sizes and limits stay
within the ranges of the users' deployments, and within what the channel of a coordinator can carry at all.
"""

from collections.abc import Callable, Iterable, Iterator
from random import Random

import msgspec

from granitespool.scale import runner, schema
from granitespool.scale.report import Report
from granitespool.scale.schema import Event, Scenario

EVENTS_TIME = 16.0  # s in which events are drawn
SETTLE_TIME = 8.0  # s after the events
BATCH_SHARE_MAX = 0.1  # of the backends, replaced at once
REPLACED_SHARE_MAX = 0.8  # of the backends, replaced in all
CROWD_INTERVAL = 3  # in each third seed all proxies come to one coordinator
# Entries of the channel for each proxy of a coordinator within the drain grace: a message header, a table of
# three entries and one change
ENTRIES_PER_PROXY = 12
READY_TIME_MAX = 30_000.0  # ms from a start to the first answer


class SoakResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one seed."""

    seed: int
    scenario: Scenario
    report: Report

    @property
    def passed(self) -> bool:
        """Whether all rules were kept and every restart was ready in time."""
        return self.report.passed and (self.report.ready.worst_ms or 0.0) <= READY_TIME_MAX


def draw(seed: int) -> Scenario:
    """Return the scenario of a seed."""
    random = Random(f"soak {seed}")
    is_crowd = seed % CROWD_INTERVAL == 0
    lines_per_s = random.choice((730.0, 900.0, 990.0, 1500.0, 2400.0, 3600.0))
    grace = round(random.uniform(3.0, 6.0), 1)
    real = random.randint(3, 5)
    proxies_max = int(lines_per_s * grace / ENTRIES_PER_PROXY)
    proxies = min(random.randint(150, 640), proxies_max if is_crowd else 3 * real * proxies_max // 4)
    backends = random.randint(30, 200)
    return Scenario(
        name=f"soak-{seed}",
        scale=schema.Scale(title=f"soak {seed}{', a crowd' * is_crowd}", seed=seed),
        fleet=schema.Fleet(backends=backends, services=2, regions=1, zones_per_region=random.randint(1, 3)),
        coordinators=schema.Coordinators(real=real, hollow=0, memory_mb=192, known="first"),
        proxies=schema.Proxies(
            per_coordinator=max(1, proxies // real), first_table_lines=5, redial_min_s=0.13, redial_max_s=2.5
        ),
        traffic=schema.Traffic(links_per_s=60, sampled_per_s=0.1),
        channel=schema.Channel(
            lines_per_s=lines_per_s,
            backlog_lines=round(lines_per_s * random.uniform(2.0, 4.9)),
            delay_ms=round(random.uniform(97, 250)),
        ),
        rules=schema.Rules(drain_grace_s=grace, empty_limit_s=4.9, cold_s=17.0, cold_share=0.17),
        times=schema.Times(
            warm_s=6 + 30 * proxies / real / lines_per_s, idle_s=0.5, reports_s=0.5, settle_s=SETTLE_TIME
        ),
        events=dict(_events(random, is_crowd, real, backends)),
    )


def _events(random: Random, is_crowd: bool, real: int, backends: int) -> Iterator[tuple[str, Event]]:
    yield from _deploy(random, backends)
    yield from _crowd(random, real) if is_crowd else _restarts(random, real)
    yield from _discovery_faults(random)
    for number in range(random.randint(0, 2)):
        at_s = round(random.uniform(0, EVENTS_TIME), 1)
        yield f"configure{number}", Event(kind="configure", at_s=at_s, refused=random.randint(0, 1))


def _deploy(random: Random, backends: int) -> Iterator[tuple[str, Event]]:
    """Yield the batches of a deploy, which replaces backends all the time."""
    batch = random.randint(1, max(1, int(BATCH_SHARE_MAX * backends)))
    interval = random.uniform(1.0, 3.0)
    count = min(int(EVENTS_TIME / interval), int(REPLACED_SHARE_MAX * backends / batch))
    for number in range(count):
        yield (
            f"batch{number:02}",
            Event(
                kind="replace",
                at_s=round(number * interval, 1),
                for_s=0.0,
                count=batch,
                drain_s=round(random.uniform(4.8, 5.8), 1),
                back_s=round(random.uniform(0.31, 2.4), 1),
            ),
        )


def _restarts(random: Random, real: int) -> Iterator[tuple[str, Event]]:
    """Yield restarts of one coordinator after the other, by one signal or the other."""
    at_s = random.uniform(1.0, 4.0)
    number = 0
    while at_s < EVENTS_TIME - 2:
        back_s = random.choice((0.3, 0.3, 1.5, 2.0))
        yield f"restart{number}", _restart(random, at_s, number % real, 1, back_s)
        at_s += back_s + random.uniform(2.0, 6.0)
        number += 1


def _crowd(random: Random, real: int) -> Iterator[tuple[str, Event]]:
    """Yield restarts by which all proxies come to the last coordinator, which is then restarted itself."""
    at_s = random.uniform(1.0, 3.0)
    yield "others", _restart(random, at_s, 0, real - 1, EVENTS_TIME)
    at_s += random.uniform(4.0, 7.0)
    yield "last", _restart(random, at_s, real - 1, 1, random.choice((0.3, 1.5)))


def _restart(random: Random, at_s: float, first: int, count: int, back_s: float) -> Event:
    return Event(
        kind="restart",
        at_s=round(at_s, 1),
        for_s=0.0,
        first=first,
        count=count,
        back_s=back_s,
        signal=random.choice(("kill", "terminate")),
    )


def _discovery_faults(random: Random) -> Iterator[tuple[str, Event]]:
    kinds: tuple[Callable[[float], Event], ...] = (
        lambda at_s: Event(kind="end_watches", at_s=at_s),
        lambda at_s: Event(kind="stall", at_s=at_s, for_s=2.0, drain_s=5.3),
        lambda at_s: Event(kind="duplicate", at_s=at_s, drain_s=5.3),
        lambda at_s: Event(kind="reorder", at_s=at_s),
        lambda at_s: Event(kind="fail", at_s=at_s, noticed_s=1.8, back_s=2.0),
    )
    for number, make in enumerate(random.sample(kinds, 2)):
        yield f"fault{number}", make(round(random.uniform(0, EVENTS_TIME - 3), 1))


def play(seeds: Iterable[int]) -> Iterator[SoakResult]:
    """Run the scenario of each seed, one after the other, and yield its result."""
    for seed in seeds:
        scenario = draw(seed)
        yield SoakResult(seed=seed, scenario=scenario, report=runner.play(scenario))


def describe(result: SoakResult) -> str:
    """Return a result as one line for a terminal."""
    scenario, report = result.scenario, result.report
    broken = ", ".join(f"{rule} {count} times" for rule, count in sorted(report.broken.items()))
    verdict = "held" if result.passed else f"BROKEN {broken or '; '.join(report.failures[:2])}"
    return (
        f"seed {result.seed}: {verdict} ({scenario.coordinators.real} coordinators, "
        f"{scenario.coordinators.real * scenario.proxies.per_coordinator} proxies, "
        f"{scenario.fleet.backends} backends, {scenario.channel.lines_per_s:g} entries a second, "
        f"grace {scenario.rules.drain_grace_s:g} s; ready {report.ready.worst_ms or 0:.0f} ms at worst)"
    )
