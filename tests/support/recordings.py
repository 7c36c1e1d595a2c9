"""Recordings that a test compares today's behaviour with: JSON files under `tests/data/`.

A recording is made anew only where behaviour is meant to change: `python tests/test_..._recordings.py` writes
those of one test file."""

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).parent.parent / "data"


def as_recorded(value: Any) -> Any:
    """A value as it is once it was written to a recording and read back."""
    return json.loads(json.dumps(value))


def read(name: str) -> Any:
    """What the recording `tests/data/NAME.json` holds."""
    return json.loads((DATA / f"{name}.json").read_text(encoding="utf-8"))


def write(name: str, value: Any) -> None:
    """Writes the recording `tests/data/NAME.json`."""
    path = DATA / f"{name}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1) + "\n", encoding="utf-8")
