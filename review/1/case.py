"""Half of the proxies are cut off without a sign while backends are replaced: the others miss drains."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import TROUBLE, World  # noqa: E402

ZONES = ["brisbane", "toowoomba", "gold-coast"]
BACKENDS = 30
COORDINATORS = 2
PROXIES = 150
CUT = 72  # 48 in 100 of the proxies, half of them of each coordinator
CUT_BEFORE = 1.0  # s before the first backend drains
CUT_TIME = 15.0  # s; with the time to dial again under 16 s: the pages have 6.4 to 16
LINES_PER_S = 900.0  # the pages have 730 to 990
MOST_WAITING = 2700.0  # lines
GRACE = 4.2  # s
REPLACED = 18  # six in ten of the backends
STEP = 6.5 / REPLACED  # s between two of them: they are replaced, successors and all, within 7 s
DRAIN_TIME = 5.0  # s; the pages have 2 to 6
SUCCESSOR_AFTER = 0.5  # s from a drain until the successor is listed
SETTLE = 10.0  # s until all proxies have their tables
REST = 12.0  # s after the last one is gone
RATE = 2.0  # requests a second of a proxy
WORK, SPREAD = (
    0.17,
    0.5,
)  # s of a request, sigma of its logarithm; the pages have 100 to 230 ms, cv 0.44 to 0.89


async def play(world: World) -> bool:
    """Play the case; return whether the rule was broken."""
    record, discovery = world.record, world.discovery
    fleet = [
        await world.add_backend(f"s-{number:02}", ZONES[number % 3], WORK, SPREAD)
        for number in range(BACKENDS + REPLACED)
    ]
    for backend in fleet[:BACKENDS]:
        discovery.list_backend(backend)
    for index in range(COORDINATORS):
        settings = standins.settings(
            world,
            ZONES,
            PROXIES,
            balancers=COORDINATORS,
            index=index,
            family_info={
                "egress_per_s": LINES_PER_S,
                "most_waiting": MOST_WAITING,
                "empty_for_us": 7_200_000,
                "push_delay_us": 164_000,
                "worst_transit_us": 410_000,
            },
            rules={"stop_sending_within_us": int(GRACE * 1e6)},
        )
        config = {"known": discovery.snapshot(), "settings": settings}
        coordinator = standins.Coordinator(
            record, world.folder, f"n{index}", discovery, config, rate=LINES_PER_S
        )
        world.coordinators.append(coordinator)
    await asyncio.gather(*(coordinator.start() for coordinator in world.coordinators))
    for coordinator in world.coordinators:
        for zone in ZONES:
            world.add_collector(coordinator, zone)
    for number in range(PROXIES):
        place = number % COORDINATORS
        homes = world.coordinators[place:] + world.coordinators[:place]
        world.add_proxy(number, ZONES[number // COORDINATORS % 3], homes, RATE, bootstrap=5)
    check = standins.DrainCheck(world, GRACE)
    await asyncio.sleep(SETTLE)
    record.say(f"{sum(proxy.is_cold for proxy in world.proxies)} proxies have no table of a coordinator yet")
    if TROUBLE:
        world.spawn(cut(world))
    await asyncio.sleep(CUT_BEFORE)
    record.say(f"{REPLACED} of {BACKENDS} backends are replaced within {REPLACED * STEP:.0f} s")
    for number in range(REPLACED):
        world.spawn(replace(world, number))
    await asyncio.sleep(REPLACED * STEP + DRAIN_TIME + REST)
    for line in check.late[:5]:
        record.say(f"sent too late: {line}")
    record.say(f"{len(check.late)} requests were sent later than {GRACE} + {standins.SLACK} s allow")
    waiting = max(coordinator.most_waiting for coordinator in world.coordinators)
    record.say(f"most lines that waited in a channel: {waiting:.0f}")
    return bool(check.late)


async def replace(world: World, number: int) -> None:
    """Replace a backend: it drains and ends, and a successor starts."""
    fleet = list(world.backends.values())
    leaving, coming = fleet[number], fleet[BACKENDS + number]
    await asyncio.sleep(number * STEP)
    world.discovery.list_backend(leaving, "draining")
    await asyncio.sleep(SUCCESSOR_AFTER)
    coming.since_ms = int(1000 * (world.record.began + world.record.now()))
    world.discovery.list_backend(coming)
    await asyncio.sleep(DRAIN_TIME - SUCCESSOR_AFTER)
    leaving.stop()
    world.discovery.list_backend(leaving, "gone")


async def cut(world: World) -> None:
    """Cut proxies off from all coordinators for a while."""
    world.record.say(f"{CUT} of {PROXIES} proxies reach no coordinator, without a sign, and go on forwarding")
    for proxy in world.proxies[:CUT]:
        proxy.cut(True)
    await asyncio.sleep(CUT_TIME)
    world.record.say("they reach the coordinators again")
    for proxy in world.proxies[:CUT]:
        proxy.cut(False)


standins.main(FOLDER, {"status": 0.55, "config": 0.3, "purchase": 0.15}, play)
