"""Recordings of expected behaviour: JSON files under `tests/data/`.

Record again only for an intended change of behaviour: `python tests/test_..._recordings.py` writes the
recordings of one test file.
"""

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).parent.parent / "data"


def as_recorded(value: Any) -> Any:
    """Return a value as it is after it was written to a recording and read back."""
    return json.loads(json.dumps(value))


def read(name: str) -> Any:
    """Return the content of the recording `tests/data/NAME.json`."""
    return json.loads((DATA / f"{name}.json").read_text(encoding="utf-8"))


def write(name: str, value: Any) -> None:
    """Write the recording `tests/data/NAME.json`."""
    path = DATA / f"{name}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1) + "\n", encoding="utf-8")
