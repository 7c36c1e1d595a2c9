"""Case 9: most backends of a zone die while proxies wait for their tables."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st

ZONES = {"brisbane": 11, "toowoomba": 11, "gold-coast": 8}
DYING = 6
PROXIES = 240
PROXIES_DIAL_AFTER = 1.0  # after the death
LISTED_GONE_AFTER = 1.9  # after the death
WATCHED = 16.0


async def case(folder: Path, record: st.Record) -> int:
    """Let the backends of a small zone die, and judge the rule on proxies without a line."""
    settings = st.base_settings(list(ZONES), PROXIES)
    settings["balancers"] = 3
    scene = st.Scene(folder, record, settings)
    scene.add_backends(ZONES)
    for backend in scene.backends.values():
        await backend.start()
    discovery = st.Discovery(record, list(scene.backends.values()))
    await discovery.start()
    coordinator = st.Coordinator(scene, "n0")
    scene.coordinators.append(coordinator)
    scene.recorded = set(range(2, PROXIES, 3))  # those of gold-coast
    try:
        coordinator.write_config(discovery.port, discovery.known(), settings)
        await coordinator.start()
        scene.add_proxies(PROXIES, 1.0, lambda: coordinator.port)
        dying = scene.in_zone("gold-coast")[:DYING]
        if st.trouble():
            for backend in dying:
                await backend.die()
            record.line("six backends of gold-coast died", show=True)
        await asyncio.sleep(PROXIES_DIAL_AFTER)
        limit = settings["family_info"]["empty_for_us"] / 1e6
        scene.start(scene.watch_for_bare_proxies(limit, coordinator))
        scene.start_platform()
        await asyncio.sleep(LISTED_GONE_AFTER - PROXIES_DIAL_AFTER)
        if st.trouble():
            for backend in dying:
                backend.status = "gone"
            discovery.publish(*dying)
        end = record.now() + WATCHED
        while record.now() < end:
            await asyncio.sleep(1.0)
            with_table = sum(proxy.tables_applied > 0 for proxy in scene.proxies)
            bare = sum(not proxy.usable("status") for proxy in scene.proxies)
            record.line(
                f"{with_table} have a table of the coordinator, {bare} have no line to pick, "
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
