"""Case 6: three backends die while 400 proxies join one coordinator, and return; later another drains."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st

ZONES = {"brisbane": 10, "toowoomba": 10, "gold-coast": 10}
DYING = 3
PROXIES = 400
START_SPREAD = 1.0  # the proxies begin to dial within this time
LISTED_GONE_AFTER = 1.9  # after the death
DIAL_AFTER = 1.6  # after the death
LOST_FOR = 5.0
LISTED_READY_AFTER = 0.5  # after the return
DRAIN_AFTER = 30.0  # after the proxies have begun to dial; with TROUBLE=0 too
WATCHED = 12.0  # after the drain


async def case(folder: Path, record: st.Record) -> int:
    """Let backends die and return, drain another one long after, and judge the rule on drains."""
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
    lost = scene.in_zone("gold-coast")[:DYING]
    drained = scene.in_zone("brisbane")[0]

    async def lose_backends() -> None:
        for backend in lost:
            await backend.die()
        record.line("three backends of gold-coast died", show=True)
        await asyncio.sleep(LISTED_GONE_AFTER)
        for backend in lost:
            backend.status = "gone"
        discovery.publish(*lost)
        await asyncio.sleep(LOST_FOR - LISTED_GONE_AFTER)
        for backend in lost:
            await backend.come_back()
        record.line("the three backends are back", show=True)
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
            scene.start(lose_backends())
        await asyncio.sleep(DIAL_AFTER)
        judge = st.DrainJudge(scene, discovery, coordinator)
        scene.start_platform(start_later)
        for second in range(int(DRAIN_AFTER + WATCHED)):
            await asyncio.sleep(1.0)
            if second == int(DRAIN_AFTER):
                scene.start(scene.replace(discovery, [drained]))
            joined = sum(proxy.joined_at is not None for proxy in scene.proxies)
            with_table = sum(proxy.tables_applied > 0 for proxy in scene.proxies)
            users = sum(drained.name in proxy.usable("status") for proxy in scene.proxies)
            record.line(
                f"{joined} joined, {with_table} have a table of the coordinator, {users} may send to "
                f"{drained.name} ({drained.status}), {scene.channel.waiting:.0f} lines wait in the channel",
                show=True,
            )
        return judge.verdict()
    finally:
        await scene.close()


if __name__ == "__main__":
    st.main(case, Path(__file__).resolve().parent)
