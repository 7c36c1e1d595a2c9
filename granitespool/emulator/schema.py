"""What an experiment's INI file may say; every key has its unit in its name."""

import importlib.resources
import os
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from granitespool import ini
from granitespool.errors import InvalidInputError

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
VARIANTS = "without", "state", "old", "changed", "wrong", "alive"


class Experiment(msgspec.Struct, frozen=True, kw_only=True):
    """[experiment]"""

    kind: Literal["restart"]
    title: Annotated[str, Meta(min_length=1)]
    variants: str = "without, state, old, changed, wrong, alive"
    sizes: str = "30x150"  # backends x proxies, several are played in turn
    seeds: Annotated[int, Meta(ge=1, le=100)] = 1  # the first seed and how many follow it
    first_seed: Annotated[int, Meta(ge=0, le=10**9)] = 1

    def __post_init__(self):
        for variant in self.variant_names():
            if variant not in VARIANTS:
                raise ValueError(f"variants names {variant!r:.40}; known are {', '.join(VARIANTS)}")
        self.size_pairs()

    def variant_names(self):
        return [word.strip() for word in self.variants.split(",")]

    def size_pairs(self):
        try:
            pairs = [tuple(int(word) for word in size.split("x")) for size in self.sizes.split(",")]
            if all(len(pair) == 2 and min(pair) > 0 and max(pair) <= 100_000 for pair in pairs):
                return pairs
        except ValueError:
            pass
        raise ValueError(f"sizes is {self.sizes!r:.40}, where 30x150 or 30x150, 120x640 would do")


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """[fleet]"""

    zones: Annotated[int, Meta(ge=1, le=64)] = 2
    workers: Count = 4  # transactions that a backend works on at once
    service_ms: Annotated[float, Meta(ge=0.1, le=60_000)] = 40.0  # mean of a backend that is not slow
    queue_ms: Annotated[float, Meta(ge=0, le=600_000)] = 400.0  # wait past which a backend refuses
    cross_zone_ms: Annotated[float, Meta(ge=0, le=10_000)] = 8.0  # round trip to another zone; a tenth within
    load: Annotated[float, Meta(ge=0.01, le=5)] = 0.6  # work asked for over what all backends can do
    slow_share: Share = 1 / 3
    slow_factor: Annotated[float, Meta(ge=1, le=1000)] = 4.0
    failing_share: Share = 0.1
    failing_part: Share = 0.4  # of a failing backend's tries
    dead_share: Share = 0.0  # backends that answer nothing
    cold_s: Seconds = 5.0
    cold_share: Annotated[float, Meta(ge=0.01, le=1)] = 0.25


class Channel(msgspec.Struct, frozen=True, kw_only=True):
    """[channel]"""

    binding_s: Annotated[float, Meta(ge=0.01, le=600)] = 2.0  # that a table for every proxy takes
    delay_ms: Annotated[float, Meta(ge=0, le=60_000)] = 30.0
    report_lag_ms: Annotated[float, Meta(ge=0, le=60_000)] = 300.0


class Class(msgspec.Struct, frozen=True, kw_only=True):
    """[class.NAME]"""

    share: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    promised_ms: Annotated[float, Meta(ge=1, le=600_000)] = 400.0
    limit_ms: Annotated[float, Meta(ge=1, le=600_000)] = 1200.0
    benefit: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    again: bool = False  # free to be tried again after any failure


class Restart(msgspec.Struct, frozen=True, kw_only=True):
    """[restart]"""

    learn_s: Seconds = 30.0
    down_s: Seconds = 1.0
    rejoin_s: Seconds = 1.0  # within which all proxies are back
    look_s: Seconds = 10.0  # after the start, for service
    settle_s: Seconds = 30.0  # after the start at most, for tables
    every_ms: Annotated[int, Meta(ge=100, le=600_000)] = 1_000
    half_life_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 30.0
    oldest_s: Annotated[float, Meta(ge=1, le=604_800)] = 300.0
    old_s: Seconds = 7200.0  # age of the record in the variant `old`


SECTIONS = {"experiment": Experiment, "fleet": Fleet, "channel": Channel, "restart": Restart}


class Setup(msgspec.Struct, frozen=True, kw_only=True):
    experiment: Experiment
    fleet: Fleet = Fleet()
    channel: Channel = Channel()
    restart: Restart = Restart()
    classes: dict[str, Class] = {}


def names():
    """The experiments that come with the program."""
    folder = importlib.resources.files("granitespool.emulator") / "experiments"
    return sorted(entry.name[: -len(".ini")] for entry in folder.iterdir() if entry.name.endswith(".ini"))


def load(told, changes=()):
    """The Setup of a file or of a name that `names` has, with other values for some keys ("fleet.load=0.9",
    or the key alone where only one section has it), or InvalidInputError."""
    known = names()
    if told in known and not os.path.exists(told):
        path = f"{told}.ini"
        text = (importlib.resources.files("granitespool.emulator") / "experiments" / path).read_text()
    else:
        path = told
        try:
            with open(path, encoding="utf-8") as file:
                text = file.read()
        except (OSError, UnicodeDecodeError) as error:
            raise InvalidInputError(
                f"{told}: no such experiment ({', '.join(known)} come with the program), and as a "
                f"file it cannot be read: {getattr(error, 'strerror', error)}"
            ) from None
    for change in changes:
        text = changed(text, change)
    read = ini.parse(path, text, {**SECTIONS, "class.*": Class})
    if "experiment" not in read:
        raise InvalidInputError(f"{path}: it lacks the section [experiment]")
    own = {name.removeprefix("class."): read.pop(name) for name in list(read) if name.startswith("class.")}
    return Setup(**read, classes=own or {"pay": Class()})


def changed(text, change):
    """An INI text with one more value for a key, in the place of a former one."""
    key, equals, value = change.partition("=")
    section, dot, name = key.strip().rpartition(".")
    if not equals:
        raise InvalidInputError(f"--set {change!r:.60} is no KEY=VALUE")
    if not dot:
        having = [
            each
            for each, struct in SECTIONS.items()
            if name in (field.name for field in msgspec.structs.fields(struct))
        ]
        if len(having) != 1:
            raise InvalidInputError(
                f"--set {name!r:.60}: "
                + (
                    "no section has this key"
                    if not having
                    else "sections " + ", ".join(having) + " have it, so name one as SECTION.KEY"
                )
            )
        section = having[0]
    found, kept = "", []
    for line in text.splitlines():
        if line.strip().startswith("["):
            found = line.strip().strip("[]")
        if found == section and line.partition("=")[0].strip() == name:
            continue
        kept.append(line)
        if line.strip() == f"[{section}]":
            kept.append(f"{name} = {value.strip()}")
    if f"[{section}]" not in (line.strip() for line in kept):
        kept += [f"[{section}]", f"{name} = {value.strip()}"]
    return "\n".join(kept)
