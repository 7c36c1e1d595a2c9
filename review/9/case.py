"""Case 9: 48% of 400 proxies reach no coordinator for 16 s, and two backends drain meanwhile."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st

ZONES = {"brisbane": 10, "toowoomba": 10, "gold-coast": 10}
PROXIES = 400
CUT_SHARE = 0.48
CUT_LASTS = 16.0
CUT_AT = 20.0  # all proxies have their tables by then
DRAIN_AFTER = 1.0  # after the beginning of the cut; with TROUBLE=0 too
WATCHED = 13.0  # after the end of the cut


async def case(folder: Path, record: st.Record) -> int:
    """Cut proxies off and judge the rule on drains."""
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
    try:
        coordinator.write_config(discovery.port, discovery.known(), settings)
        await coordinator.start()
        scene.add_proxies(PROXIES, 1.5, lambda: coordinator.port)
        judge = st.DrainJudge(scene, discovery, coordinator)
        scene.start_platform()
        await asyncio.sleep(CUT_AT)
        with_table = sum(proxy.tables_applied > 0 for proxy in scene.proxies)
        record.line(f"{with_table} of {PROXIES} have a table of the coordinator", show=True)
        cut = scene.random.sample(scene.proxies, int(CUT_SHARE * PROXIES)) if st.trouble() else []
        for proxy in cut:
            proxy.cut_off()
        scene.recorded = {proxy.number for proxy in cut[:40]}
        record.line(f"{len(cut)} proxies are cut off", show=True)
        await asyncio.sleep(DRAIN_AFTER)
        drained = [scene.in_zone(zone)[0] for zone in list(ZONES)[:2]]
        scene.start(scene.replace(discovery, drained))
        await asyncio.sleep(CUT_LASTS - DRAIN_AFTER)
        for proxy in cut:
            proxy.connect_again()
        record.line("the cut is over", show=True)
        names = {backend.name for backend in drained}
        end = record.now() + WATCHED
        while record.now() < end:
            await asyncio.sleep(1.0)
            joined = [proxy for proxy in scene.proxies if proxy.joined_at is not None]
            users = sum(not names.isdisjoint(proxy.usable("status")) for proxy in joined)
            record.line(
                f"{len(joined)} joined, {users} of them may send to {' '.join(sorted(names))}, "
                f"{scene.channel.waiting:.0f} lines wait in the channel",
                show=True,
            )
        return judge.verdict()
    finally:
        await scene.close()


if __name__ == "__main__":
    st.main(case, Path(__file__).resolve().parent)
