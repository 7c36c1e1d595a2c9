"""Case 8: a coordinator with a state folder is killed shortly after it was told of a drain."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st

ZONES = {"brisbane": 28, "toowoomba": 28, "gold-coast": 28}
PROXIES = 36
TRIES = 12
KILL_AFTER = 0.25  # after the last drain of a try was told
LAST_TRY_BEGINS = 95.0


async def case(folder: Path, record: st.Record) -> int:
    """Drain backends step by step, kill the coordinator after each step, and judge the rule on drains."""
    settings = st.base_settings(list(ZONES), PROXIES)
    scene = st.Scene(folder, record, settings)
    scene.add_backends(ZONES)
    for backend in scene.backends.values():
        await backend.start()
    discovery = st.Discovery(record, list(scene.backends.values()))
    await discovery.start()
    known = discovery.known()
    operator = folder / "operator.ini"
    operator.write_text(f"[state]\nfolder = {folder}/state\n")
    coordinator = st.Coordinator(scene, "n0", {"GRANITESPOOL_OPERATOR": str(operator)})
    scene.coordinators.append(coordinator)
    scene.add_proxies(PROXIES, 4.0, lambda: coordinator.port if coordinator.is_running() else None)
    draining: set[str] = set()
    judge = st.DrainJudge(scene, discovery, coordinator)

    def in_use() -> set[str]:
        return {name for name in draining for proxy in scene.proxies if name in proxy.usable("status")}

    try:
        coordinator.write_config(discovery.port, known, settings)
        await coordinator.start()
        scene.start_platform()
        await asyncio.sleep(5.0)
        names = list(scene.backends)
        for number in range(TRIES):
            if judge.late.total() or record.now() > LAST_TRY_BEGINS:
                break
            for name in names[2 * number : 2 * number + 2]:
                scene.backends[name].status = "draining"
                discovery.publish(scene.backends[name])
                draining.add(name)
                await asyncio.sleep(scene.random.uniform(0.1, 0.2))
            await asyncio.sleep(KILL_AFTER * scene.random.uniform(0.2, 1.0))
            if st.trouble():
                coordinator.kill()
                coordinator.write_config(discovery.port, known, settings)
                await coordinator.start()
            await asyncio.sleep(3.0)
            if in_use():
                record.line(f"still in use after try {number + 1}: {sorted(in_use())}", show=True)
                await asyncio.sleep(judge.grace + 3.5)
        record.line(f"in use at the end: {sorted(in_use())}", show=True)
        return judge.verdict()
    finally:
        await scene.close()


if __name__ == "__main__":
    st.main(case, Path(__file__).resolve().parent)
