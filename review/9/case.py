"""Case 9: backends die while proxies wait for their tables, and come back after 24 s under their names."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st

ZONES = {"brisbane": 14, "toowoomba": 12, "gold-coast": 4}
PROXIES = 150
LISTED_GONE_AFTER = 1.9
BACK_AFTER = 23.9
LISTED_READY_AFTER = 1.6
COLD_US = 10_000_000
END_AFTER = 24.0  # after the backends are listed again


async def case(folder: Path, record: st.Record) -> int:
    """Let the backends of a small zone die and return, and judge the rule on proxies without a line."""
    settings = st.base_settings(list(ZONES), PROXIES)
    settings["balancers"] = 2
    settings["rules"]["cold_us"] = COLD_US
    settings["family_info"]["zone_bound"] = [False, True, False]
    scene = st.Scene(folder, record, settings)
    scene.add_backends(ZONES)
    for backend in scene.backends.values():
        await backend.start()
    discovery = st.Discovery(record, list(scene.backends.values()))
    await discovery.start()
    coordinator = st.Coordinator(scene, "n0")
    scene.coordinators.append(coordinator)
    scene.recorded = {2, 5, 8, 11, 140, 143, 146, 149}
    try:
        coordinator.write_config(discovery.port, discovery.known(), settings)
        await coordinator.start()
        scene.add_proxies(PROXIES, 1.0, lambda: coordinator.port)
        limit = settings["family_info"]["empty_for_us"] / 1e6
        scene.start(scene.watch_for_bare_proxies(limit, coordinator))
        scene.start_platform()
        dying = scene.in_zone("gold-coast")
        if st.trouble():
            for backend in dying:
                await backend.die()
            record.line("the backends of gold-coast died", show=True)
        await asyncio.sleep(LISTED_GONE_AFTER)
        if st.trouble():
            for backend in dying:
                backend.status = "gone"
            discovery.publish(*dying)
        await asyncio.sleep(BACK_AFTER - LISTED_GONE_AFTER)
        shut = [proxy.number for proxy in scene.proxies if proxy.out]
        record.line(f"{len(shut)} proxies have backends shut out: {shut}", show=True)
        if st.trouble():
            for backend in dying:
                await backend.come_back()
            record.line("the backends of gold-coast are back", show=True)
        await asyncio.sleep(LISTED_READY_AFTER)
        if st.trouble():
            for backend in dying:
                backend.status = "ready"
            discovery.publish(*dying)
        await asyncio.sleep(END_AFTER)
        scene.check_jobs()
        shut = [proxy.number for proxy in scene.proxies if proxy.out]
        record.line(f"{len(shut)} proxies have backends shut out: {shut}", show=True)
        proxies = sorted({number for number, _ in scene.bare})
        record.line(f"proxies without a line for too long: {len(proxies)} {proxies}", show=True)
        return st.BROKEN if scene.bare else st.HELD
    finally:
        await scene.close()


if __name__ == "__main__":
    st.main(case, Path(__file__).resolve().parent)
