"""Case 6: a zone is lost for 5 s while 400 proxies join one coordinator."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st

ZONES = {"brisbane": 14, "toowoomba": 13, "gold-coast": 3}
PROXIES = 400
START_SPREAD = 1.0  # the proxies begin to dial within this time
LISTED_GONE_AFTER = 1.9  # after the death
DIAL_AFTER = 1.6  # after the death
LOST_FOR = 5.0
LISTED_READY_AFTER = 0.5  # after the return
WATCHED = 45.0  # after the return


async def case(folder: Path, record: st.Record) -> int:
    """Lose the backends of a small zone and bring them back, and judge the rule on proxies without a line."""
    settings = st.base_settings(list(ZONES), PROXIES)
    settings["balancers"] = 2
    scene = st.Scene(folder, record, settings)
    scene.add_backends(ZONES)
    for backend in scene.backends.values():
        await backend.start()
    discovery = st.Discovery(record, list(scene.backends.values()))
    await discovery.start()
    coordinator = st.Coordinator(scene, "n0")
    scene.coordinators.append(coordinator)
    scene.recorded = set(range(0, PROXIES, 20))
    lost = scene.in_zone("gold-coast")

    async def lose_the_zone() -> None:
        for backend in lost:
            await backend.die()
        record.line("the backends of gold-coast died", show=True)
        await asyncio.sleep(LISTED_GONE_AFTER)
        for backend in lost:
            backend.status = "gone"
        discovery.publish(*lost)
        await asyncio.sleep(LOST_FOR - LISTED_GONE_AFTER)
        for backend in lost:
            await backend.come_back()
        record.line("the backends of gold-coast are back", show=True)
        await asyncio.sleep(LISTED_READY_AFTER)
        for backend in lost:
            backend.status = "ready"
        discovery.publish(*lost)

    async def start_later(proxy: st.Proxy) -> None:
        await asyncio.sleep(scene.random.uniform(0, START_SPREAD))
        await proxy.run()

    try:
        coordinator.write_config(discovery.port, discovery.known(), settings)
        await coordinator.start()
        scene.add_proxies(PROXIES, 1.0, lambda: coordinator.port)
        if st.trouble():
            scene.start(lose_the_zone())
        await asyncio.sleep(DIAL_AFTER)
        limit = settings["family_info"]["empty_for_us"] / 1e6
        scene.start(scene.watch_for_bare_proxies(limit, coordinator))
        scene.start_platform(start_later)
        end = record.now() + LOST_FOR - DIAL_AFTER + WATCHED
        while record.now() < end:
            await asyncio.sleep(1.0)
            joined = sum(proxy.joined_at is not None for proxy in scene.proxies)
            with_table = sum(proxy.tables_applied > 0 for proxy in scene.proxies)
            bare = sum(not proxy.usable("status") for proxy in scene.proxies)
            record.line(
                f"{joined} joined, {with_table} have a table of the coordinator, {bare} have no line, "
                f"{scene.channel.waiting:.0f} lines wait in the channel",
                show=True,
            )
        scene.check_jobs()
        proxies = sorted({number for number, _ in scene.bare})
        record.line(f"proxies without a line for too long: {len(proxies)} {proxies}", show=True)
        return st.BROKEN if scene.bare else st.HELD
    finally:
        await scene.close()


if __name__ == "__main__":
    st.main(case, Path(__file__).resolve().parent)
