"""The operator's settings: one INI file, a section for each subsystem, a subsystem off where its section is
absent.

`load(path)` gives an Operator, or ends in BadInput with one sentence that names the file, the section, the
key, what was found and what would do. Each key has its unit in its name. Nothing here knows what a section
is for."""
from typing import Annotated

import msgspec
from msgspec import Meta

from granitespool import ini


class State(msgspec.Struct, frozen=True, kw_only=True):
    """[state]: what has been learnt outlasts the process in a folder (docs/state.md)."""

    folder: Annotated[str, Meta(min_length=1)]
    every_ms: Annotated[int, Meta(ge=100, le=600_000)] = 1_000
    most_mb: Annotated[int, Meta(ge=1, le=4_096)] = 64
    half_life_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 30.0
    oldest_s: Annotated[float, Meta(ge=1, le=604_800)] = 300.0

    def __post_init__(self):
        if self.every_ms > self.oldest_s * 1_000:
            raise ValueError("every_ms is longer than oldest_s, so nothing written would ever be believed")


class Operator(msgspec.Struct, frozen=True, kw_only=True):
    """The whole file; None for a section that is absent."""

    state: State | None = None


SECTIONS = {"state": State}
PATHS = frozenset([("state", "folder")])  # values that are paths: relative ones stand beside the file


def load(path):
    """The Operator of an INI file, or BadInput with one sentence."""
    return Operator(**ini.load(path, SECTIONS, PATHS))


def restart_names(before, now):
    """The names, as section.key, of what differs and cannot change while the service runs."""
    old, new = (each.state if each else None for each in (before, now))
    if (old is None) != (new is None) or old and old.folder != new.folder:
        return ["state.folder"]
    return []


def summary(operator):
    """One line for a person: which sections are on, and with what."""
    on = [f"[{name}] " + ", ".join(f"{key} {value}" for key, value in msgspec.structs.asdict(
        getattr(operator, name)).items()) for name in SECTIONS if getattr(operator, name) is not None]
    return "; ".join(on) or "no section, everything is off"
