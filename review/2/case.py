"""A coordinator with a state folder is killed during a rolling deploy, and trusts a record that is stale."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import TROUBLE, World  # noqa: E402

ZONES = ["garbutt", "aitkenvale"]
BACKENDS = 110
PROXIES = 12
RATE = 12.0  # requests a second at a proxy
LINES_PER_S = 5600.0  # the pages have 5600 to 7600
GRACE = 1.5  # s; the pages have 1.5 s or more
BATCH = 20  # 18 in 100 of the backends leave at a time; the pages have up to 19
BATCHES = 5  # 91 in 100 of the fleet in all; the pages have up to 95
STEP = 0.05  # s between two changes of the list: a batch is listed within 1 s
KILL_AFTER = (0.5, 1.0)  # s from a batch's first drain to the kill, drawn: it may come at any time
DRAIN_TIME = 5.8  # s from the drain of a backend to its end; the pages have 2.5 to 5.9
DOWN_TIME = 1.0  # s that the killed coordinator is away; the pages have 1 to 8
SETTLE = 5.0  # s before the first batch
PAUSE = 0.5  # s between two batches: the deploy takes some 35 s, the pages have 25 to 37


async def play(world: World) -> bool:
    """Play the case; return whether the rule was broken."""
    record, discovery = world.record, world.discovery
    world.envelope, world.default_retry = 6.0, 1
    world.transit, world.redial = (0.13, 0.34), (0.91, 2.2)
    fleet = [
        await world.add_backend(f"s-{number:03}", ZONES[number % 2])
        for number in range(BACKENDS + BATCH * BATCHES)
    ]
    for backend in fleet[:BACKENDS]:
        discovery.list_backend(backend)
    settings = standins.settings(
        world,
        ZONES,
        PROXIES,
        family_info={"egress_per_s": LINES_PER_S, "most_waiting": 2 * LINES_PER_S, "messages_most": 0},
        rules={"stop_sending_within_us": int(GRACE * 1e6), "cold_us": 16_000_000, "fall_us": 2_000_000},
    )
    settings["classes"][0].update(aim_us=2_000_000)
    settings["classes"][1].update(
        semantics="guarded",
        key_scope="cell",
        window_us=1_500_000,
        aim_us=750_000,
        give_up_us=2_500_000,
        worth=6.0,
    )
    config = {"known": discovery.snapshot(), "settings": settings}
    coordinator = standins.Coordinator(record, world.folder, "n1", discovery, config, rate=LINES_PER_S)
    world.coordinators.append(coordinator)
    operator = world.folder / "operator.ini"
    operator.write_text(f"[state]\nfolder = {world.folder / 'state'}\n")
    coordinator.environment["GRANITESPOOL_OPERATOR"] = str(operator)
    await coordinator.start()
    for zone in ZONES:
        world.add_collector(coordinator, zone)
    for number in range(PROXIES):
        world.add_proxy(number, ZONES[number % 2], [coordinator], RATE, bootstrap=5)
    check = standins.DrainCheck(world, GRACE)
    await asyncio.sleep(SETTLE)
    for batch in range(BATCHES):
        late_before = len(check.late)
        leaving = fleet[batch * BATCH : (batch + 1) * BATCH]
        coming = fleet[BACKENDS + batch * BATCH : BACKENDS + (batch + 1) * BATCH]
        record.say(f"batch {batch + 1}: {leaving[0].name} to {leaving[-1].name} drain")
        began = record.now()
        world.spawn(drain(world, leaving))
        if TROUBLE:
            await asyncio.sleep(random.uniform(*KILL_AFTER))
            coordinator.send_signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_TIME)
            await coordinator.start()
        else:
            await asyncio.sleep(BATCH * STEP)
        for backend in coming:
            backend.since_ms = int(1000 * (record.began + record.now()))
            discovery.list_backend(backend)
        await asyncio.sleep(DRAIN_TIME - (record.now() - began))
        for backend in leaving:
            backend.stop()
            discovery.list_backend(backend, "gone")
            await asyncio.sleep(STEP)
        record.say(f"they are gone; {len(check.late) - late_before} requests were sent too late")
        await asyncio.sleep(PAUSE)
    for line in check.late[:5]:
        record.say(f"sent too late: {line}")
    record.say(f"{len(check.late)} requests were sent later than {GRACE} + {standins.SLACK} s allow")
    return bool(check.late)


async def drain(world: World, leaving: list[standins.Backend]) -> None:
    """List backends as draining, one after another."""
    for backend in leaving:
        world.discovery.list_backend(backend, "draining")
        await asyncio.sleep(STEP)


standins.main(FOLDER, {"balance-check": 0.83, "redemption": 0.17}, play)
