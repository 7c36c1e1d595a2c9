"""Case 8: 300 proxies join one coordinator, and four backends drain within the same second."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st


async def case(folder: Path, record: st.Record) -> int:
    """Play the start of the day of 400 proxies, three in four of them at one coordinator."""
    settings = st.base_settings(["brisbane", "toowoomba", "gold-coast"], proxies=400)
    settings["balancers"] = 2
    return await st.play_drain_while_joining(folder, record, settings, proxies=300, drain_at=0.9, count=4)


if __name__ == "__main__":
    st.main(case, Path(__file__).resolve().parent)
