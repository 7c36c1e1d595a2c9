"""Case 7: 240 proxies join one coordinator, and five backends drain three seconds later."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st


async def case(folder: Path, record: st.Record) -> int:
    """Play the start of a day of 240 proxies."""
    settings = st.base_settings(["brisbane", "toowoomba", "gold-coast"], proxies=240)
    settings["balancers"] = 3
    settings["rules"]["stop_sending_within_us"] = 6_000_000
    return await st.play_drain_while_joining(folder, record, settings, proxies=240, drain_at=3.0, count=5)


if __name__ == "__main__":
    st.main(case, Path(__file__).resolve().parent)
