"""Case 6: 400 proxies join one coordinator, and a backend drains one second later."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st


async def case(folder: Path, record: st.Record) -> int:
    """Play the start of the day of 400 proxies."""
    settings = st.base_settings(["brisbane", "toowoomba", "gold-coast"], proxies=400)
    settings["balancers"] = 2
    return await st.play_drain_while_joining(folder, record, settings, drain_at=1.0, count=1, watched=12.0)


if __name__ == "__main__":
    st.main(case, Path(__file__).resolve().parent)
