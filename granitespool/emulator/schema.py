"""What an experiment's INI file may say; every key has its unit in its name."""

from collections.abc import Iterable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from granitespool import ini
from granitespool.errors import InvalidInputError
from granitespool.simulation import ini_files

PACKAGE = "granitespool.emulator"  # whose folder holds the experiments that come with the program
CLASS_SECTION_PREFIX = "class."  # what the name of a class's section begins with
MAX_SIZE = 100_000  # backends or proxies
Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=MAX_SIZE)]
VARIANTS = ("without", "state", "old", "changed", "wrong", "alive")


class ExperimentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[experiment]"""

    kind: Literal["restart"]
    title: Annotated[str, Meta(min_length=1)]
    variants: str = "without, state, old, changed, wrong, alive"
    sizes: str = "30x150"  # backends x proxies, several are played in turn
    seeds: Annotated[int, Meta(ge=1, le=100)] = 1  # the first seed and how many follow it
    first_seed: Annotated[int, Meta(ge=0, le=10**9)] = 1

    def __post_init__(self) -> None:
        """Raises ValueError where variants or sizes are not what they may be."""
        for variant in self.variant_names():
            if variant not in VARIANTS:
                raise ValueError(f"variants names {variant!r:.40}; known are {', '.join(VARIANTS)}")
        self.size_pairs()

    def variant_names(self) -> list[str]:
        """The variants in the order in which they are run."""
        return [word.strip() for word in self.variants.split(",")]

    def size_pairs(self) -> list[tuple[int, int]]:
        """The sizes as (backends, proxies); raises ValueError where they are none."""
        pairs = [size.split("x") for size in self.sizes.split(",")]
        try:
            found = [(int(backends), int(proxies)) for backends, proxies in pairs]
        except ValueError:
            found = []
        if not found or any(min(pair) < 1 or max(pair) > MAX_SIZE for pair in found):
            raise ValueError(f"sizes is {self.sizes!r:.40}, where 30x150 or 30x150, 120x640 would do")
        return found


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
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


class ChannelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[channel]"""

    binding_s: Annotated[float, Meta(ge=0.01, le=600)] = 2.0  # that a table for every proxy takes
    delay_ms: Annotated[float, Meta(ge=0, le=60_000)] = 30.0
    report_lag_ms: Annotated[float, Meta(ge=0, le=60_000)] = 300.0


class ClassSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[class.NAME]"""

    share: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    promised_ms: Annotated[float, Meta(ge=1, le=600_000)] = 400.0
    limit_ms: Annotated[float, Meta(ge=1, le=600_000)] = 1200.0
    benefit: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    again: bool = False  # free to be tried again after any failure


class RestartSettings(msgspec.Struct, frozen=True, kw_only=True):
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


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "experiment": ExperimentSettings,
    "fleet": FleetSettings,
    "channel": ChannelSettings,
    "restart": RestartSettings,
}


class ExperimentSetup(msgspec.Struct, frozen=True, kw_only=True):
    """A whole experiment, as it is run."""

    experiment: ExperimentSettings
    fleet: FleetSettings = FleetSettings()
    channel: ChannelSettings = ChannelSettings()
    restart: RestartSettings = RestartSettings()
    classes: dict[str, ClassSettings] = {}


def experiment_names() -> list[str]:
    """The experiments that come with the program."""
    return ini_files.packaged_names(PACKAGE)


def load(name: str, changes: Iterable[str] = ()) -> ExperimentSetup:
    """The experiment of a file or of a name that `names` has, with other values for some keys.

    A change is `SECTION.KEY=VALUE`, or `KEY=VALUE` where one section alone has the key. Raises
    InvalidInputError."""
    path, text = ini_files.read_text(PACKAGE, name, "experiment")
    for change in changes:
        text = ini_files.apply_override(text, _with_section(ini_files.parse_override(change)))
    sections: dict[str, Any] = {
        **ini.parse(path, text, {**SECTIONS, f"{CLASS_SECTION_PREFIX}*": ClassSettings})
    }
    if "experiment" not in sections:
        raise InvalidInputError(f"{path}: it lacks the section [experiment]")
    class_sections = [section for section in sections if section.startswith(CLASS_SECTION_PREFIX)]
    classes = {
        section.removeprefix(CLASS_SECTION_PREFIX): sections.pop(section) for section in class_sections
    }
    return ExperimentSetup(**sections, classes=classes or {"pay": ClassSettings()})


def _with_section(change: ini_files.KeyOverride) -> ini_files.KeyOverride:
    """The change with the section that alone has its key."""
    if change.section:
        return change
    having = ini_files.sections_with(change.key, SECTIONS)
    if len(having) == 1:
        return change._replace(section=having[0])
    if having:
        problem = f"sections {', '.join(having)} have it, so name one as SECTION.KEY"
    else:
        problem = "no section has this key"
    raise InvalidInputError(f"--set {change.key!r:.60}: {problem}")
