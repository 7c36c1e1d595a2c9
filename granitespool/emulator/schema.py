"""Sections and keys of an experiment's INI file. The suffix of a key, such as `_ms`, is its unit."""

from collections.abc import Iterable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from granitespool import ini
from granitespool.errors import InvalidInputError
from granitespool.simulation import ini_files

PACKAGE = "granitespool.emulator"  # contains the packaged experiments
CLASS_SECTION_PREFIX = "class."
MAX_SIZE = 100_000  # largest number of backends, and of proxies
Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=MAX_SIZE)]
VARIANTS = ("without", "state", "old", "changed", "wrong", "alive")


class ExperimentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [experiment]."""

    kind: Literal["restart"]
    title: Annotated[str, Meta(min_length=1)]
    variants: str = "without, state, old, changed, wrong, alive"
    sizes: str = "30x150"  # BACKENDSxPROXIES, comma-separated; run one after another
    seeds: Annotated[int, Meta(ge=1, le=100)] = 1  # number of consecutive seeds; the first is first_seed
    first_seed: Annotated[int, Meta(ge=0, le=10**9)] = 1

    def __post_init__(self) -> None:
        """Raise ValueError if a variant is unknown or `sizes` is invalid."""
        for variant in self.variant_names():
            if variant not in VARIANTS:
                raise ValueError(f"variants contains {variant!r:.40}, expected any of {', '.join(VARIANTS)}")
        self.size_pairs()

    def variant_names(self) -> list[str]:
        """Return the variants in the order in which they are run."""
        return [variant.strip() for variant in self.variants.split(",")]

    def size_pairs(self) -> list[tuple[int, int]]:
        """Return the sizes as (backends, proxies).

        Raises:
            ValueError: `sizes` is not a list of sizes within the limits.
        """
        texts = [size.split("x") for size in self.sizes.split(",")]
        try:
            pairs = [(int(backends), int(proxies)) for backends, proxies in texts]
        except ValueError:
            pairs = []
        if not pairs or any(min(pair) < 1 or max(pair) > MAX_SIZE for pair in pairs):
            raise ValueError(f"sizes is {self.sizes!r:.40}, expected sizes such as 30x150, 120x640")
        return pairs


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [fleet]."""

    zones: Annotated[int, Meta(ge=1, le=64)] = 2
    workers: Count = 4  # transactions that a backend executes concurrently
    service_ms: Annotated[float, Meta(ge=0.1, le=60_000)] = 40.0  # mean service time if not slow
    queue_ms: Annotated[float, Meta(ge=0, le=600_000)] = 400.0  # longest time in a queue, else rejected
    # Round trip to a backend in another zone. Within a zone, it is a tenth of this.
    cross_zone_ms: Annotated[float, Meta(ge=0, le=10_000)] = 8.0
    load: Annotated[float, Meta(ge=0.01, le=5)] = 0.6  # offered load relative to the capacity of all backends
    slow_share: Share = 1 / 3  # share of backends that are slow
    slow_factor: Annotated[float, Meta(ge=1, le=1000)] = 4.0  # multiplies the service time of a slow backend
    failing_share: Share = 0.1  # share of backends that are failing
    failing_part: Share = 0.4  # share of a failing backend's attempts that fail
    dead_share: Share = 0.0  # share of backends that never respond
    cold_s: Seconds = 5.0  # a backend is warming up for this time after its start
    cold_share: Annotated[float, Meta(ge=0.01, le=1)] = 0.25  # speed while warming up, relative to full speed


class ChannelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [channel]."""

    binding_s: Annotated[float, Meta(ge=0.01, le=600)] = 2.0  # time to send a complete table to every proxy
    delay_ms: Annotated[float, Meta(ge=0, le=60_000)] = 30.0  # from the end of sending to arrival
    report_lag_ms: Annotated[float, Meta(ge=0, le=60_000)] = 300.0  # from the end of a second to its reports


class ClassSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [class.NAME] of a request class."""

    share: Annotated[float, Meta(ge=0, le=1000)] = 1.0  # of the transactions, relative to the other classes
    promised_ms: Annotated[float, Meta(ge=1, le=600_000)] = 400.0  # latency objective
    limit_ms: Annotated[float, Meta(ge=1, le=600_000)] = 1200.0  # timeout
    benefit: Annotated[float, Meta(ge=0, le=1000)] = 1.0  # priority weight
    again: bool = False  # may be retried after any failure


class RestartSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [restart]."""

    learn_s: Seconds = 30.0  # from the first start to the kill
    down_s: Seconds = 1.0  # from the kill to the restart
    rejoin_s: Seconds = 1.0  # all proxies join within this time after the restart
    look_s: Seconds = 10.0  # outcomes are counted for this time after the restart
    settle_s: Seconds = 30.0  # tables are sampled for this time after the restart
    every_ms: Annotated[int, Meta(ge=100, le=600_000)] = 1_000
    half_life_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 30.0
    oldest_s: Annotated[float, Meta(ge=1, le=604_800)] = 300.0
    old_s: Seconds = 7200.0  # the variant `old` restores a snapshot as if it were older by this


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "experiment": ExperimentSettings,
    "fleet": FleetSettings,
    "channel": ChannelSettings,
    "restart": RestartSettings,
}


class ExperimentSetup(msgspec.Struct, frozen=True, kw_only=True):
    """All sections of an experiment."""

    experiment: ExperimentSettings
    fleet: FleetSettings = FleetSettings()
    channel: ChannelSettings = ChannelSettings()
    restart: RestartSettings = RestartSettings()
    classes: dict[str, ClassSettings] = {}


def experiment_names() -> list[str]:
    """Return the names of the packaged experiments."""
    return ini_files.packaged_names(PACKAGE)


def load(name: str, overrides: Iterable[str] = ()) -> ExperimentSetup:
    """Load an experiment from a file or by the name of a packaged one, and override some keys.

    An override is `SECTION.KEY=VALUE`, or `KEY=VALUE` if only one section has the key.

    Raises:
        InvalidInputError: the file cannot be read, or the file or an override is invalid.
    """
    path, text = ini_files.read_text(PACKAGE, name, "experiment")
    for override in overrides:
        text = ini_files.apply_override(text, _with_section(ini_files.parse_override(override)))
    sections: dict[str, Any] = {
        **ini.parse(path, text, {**SECTIONS, f"{CLASS_SECTION_PREFIX}*": ClassSettings})
    }
    if "experiment" not in sections:
        raise InvalidInputError(f"{path}: the section [experiment] is missing")
    class_sections = [section for section in sections if section.startswith(CLASS_SECTION_PREFIX)]
    classes = {
        section.removeprefix(CLASS_SECTION_PREFIX): sections.pop(section) for section in class_sections
    }
    return ExperimentSetup(**sections, classes=classes or {"pay": ClassSettings()})


def _with_section(override: ini_files.KeyOverride) -> ini_files.KeyOverride:
    """Return the override with its section.

    If no section was given, it is the only section with this key.
    """
    if override.section:
        return override
    matching_sections = ini_files.sections_with(override.key, SECTIONS)
    if len(matching_sections) == 1:
        return override._replace(section=matching_sections[0])
    if matching_sections:
        problem = f"sections {', '.join(matching_sections)} have this key, write SECTION.KEY"
    else:
        problem = "no section has this key"
    raise InvalidInputError(f"--set {override.key!r:.60}: {problem}")
