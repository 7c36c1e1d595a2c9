"""A coordinator with a state folder is killed during a rolling deploy, and trusts a record that is stale."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import TROUBLE, World  # noqa: E402

ZONES = ["brisbane", "toowoomba", "gold-coast"]
BACKENDS = 72
PROXIES = 9
RATE = 16.0  # requests a second at a proxy: about 150 in all
GRACE = 1.5  # s; the pages have 1.5 s or more
BATCH = 13  # 18 in 100 of the backends leave at a time; the pages have up to 19
BATCHES = 5  # 90 in 100 of the fleet in all; the pages have up to 95
STEP = 0.05  # s between two changes of the list
DRAIN_TIME = 6.0  # s from a batch's drain to its end; the pages have 2 to 6
DOWN_TIME = 1.0  # s that the killed coordinator is away; the pages have 1 to 8
SETTLE = 5.0  # s before the first batch
PAUSE = 2.0  # s between two batches


async def play(world: World) -> bool:
    """Play the case; return whether the rule was broken."""
    record, discovery = world.record, world.discovery
    fleet = [
        await world.add_backend(f"s-{number:03}", ZONES[number % 3])
        for number in range(BACKENDS + BATCH * BATCHES)
    ]
    for backend in fleet[:BACKENDS]:
        discovery.list_backend(backend)
    settings = standins.settings(world, ZONES, PROXIES, rules={"stop_sending_within_us": int(GRACE * 1e6)})
    config = {"known": discovery.snapshot(), "settings": settings}
    coordinator = standins.Coordinator(record, world.folder, "n1", discovery, config, rate=900.0)
    world.coordinators.append(coordinator)
    operator = world.folder / "operator.ini"
    operator.write_text(f"[state]\nfolder = {world.folder / 'state'}\n")
    coordinator.environment["GRANITESPOOL_OPERATOR"] = str(operator)
    await coordinator.start()
    for zone in ZONES:
        world.add_collector(coordinator, zone)
    for number in range(PROXIES):
        world.add_proxy(number, ZONES[number % 3], [coordinator], RATE, bootstrap=5)
    check = standins.DrainCheck(world, GRACE)
    await asyncio.sleep(SETTLE)
    for batch in range(BATCHES):
        late_before = len(check.late)
        leaving = fleet[batch * BATCH : (batch + 1) * BATCH]
        coming = fleet[BACKENDS + batch * BATCH : BACKENDS + (batch + 1) * BATCH]
        record.say(f"batch {batch + 1}: {leaving[0].name} to {leaving[-1].name} drain")
        began = record.now()
        for backend in leaving:
            discovery.list_backend(backend, "draining")
            await asyncio.sleep(STEP)
        if TROUBLE:
            coordinator.send_signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_TIME)
            await coordinator.start()
        for backend in coming:
            backend.since_ms = int(1000 * (record.began + record.now()))
            discovery.list_backend(backend)
        await asyncio.sleep(DRAIN_TIME - (record.now() - began))
        for backend in leaving:
            backend.stop()
            discovery.list_backend(backend, "gone")
        record.say(f"they are gone; {len(check.late) - late_before} requests were sent too late")
        await asyncio.sleep(PAUSE)
    for line in check.late[:5]:
        record.say(f"sent too late: {line}")
    record.say(f"{len(check.late)} requests were sent later than {GRACE} + {standins.SLACK} s allow")
    return bool(check.late)


standins.main(FOLDER, {"status": 0.55, "config": 0.3, "purchase": 0.15}, play)
