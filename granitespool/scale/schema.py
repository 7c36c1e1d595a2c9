"""The sections and keys of a scenario's INI file; every key has its unit in its name."""

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from granitespool import ini
from granitespool.errors import InvalidInputError
from granitespool.simulation import ini_files

Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Share = Annotated[float, Meta(ge=0, le=1)]
EVENT_PREFIX = "event."  # prefix of the names of event sections
PACKAGE = "granitespool.scale"  # package with the included scenarios


class Scale(msgspec.Struct, frozen=True, kw_only=True):
    """The section [scale]."""

    title: Annotated[str, Meta(min_length=1)]
    seed: Annotated[int, Meta(ge=0, le=10**9)] = 1


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """The section [fleet]."""

    backends: Annotated[int, Meta(ge=10, le=20_000)] = 2_900
    services: Annotated[int, Meta(ge=1, le=1_000)] = 49
    regions: Annotated[int, Meta(ge=1, le=64)] = 5
    zones_per_region: Annotated[int, Meta(ge=1, le=64)] = 4
    rack_backends: Annotated[int, Meta(ge=1, le=1_000)] = 20
    batch_ms: Annotated[float, Meta(ge=1, le=60_000)] = 200.0  # interval at which discovery publishes changes


class Coordinators(msgspec.Struct, frozen=True, kw_only=True):
    """The section [coordinators]."""

    real: Annotated[int, Meta(ge=1, le=64)] = 8
    hollow: Annotated[int, Meta(ge=0, le=5_000)] = 672
    hollow_processes: Annotated[int, Meta(ge=1, le=16)] = 4
    memory_mb: Annotated[int, Meta(ge=32, le=65_536)] = 256
    sockets: Annotated[int, Meta(ge=64, le=65_536)] = 1_024
    known: Literal["current", "first"] = "current"  # endpoint list that a restarted one is configured with


class Proxies(msgspec.Struct, frozen=True, kw_only=True):
    """The section [proxies]."""

    per_coordinator: Annotated[int, Meta(ge=1, le=10_000)] = 70
    per_hollow: Annotated[int, Meta(ge=0, le=1_000)] = 1  # proxies connected to each hollow coordinator
    first_table_lines: Annotated[int, Meta(ge=1, le=1_000)] = 20  # backends in a proxy's bootstrap table
    other_region_share: Share = 0.25  # share of a coordinator's proxies that are in another region
    redial_min_s: Seconds = 0.1  # from the end of a stream to the next attempt to connect
    redial_max_s: Seconds = 0.3


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """The section [traffic]."""

    links_per_s: Annotated[float, Meta(ge=0, le=1e6)] = 500.0  # load reports to a real coordinator
    tries_per_report: Annotated[float, Meta(ge=1, le=1e6)] = 2.0  # mean attempts of a load report (`heard`)
    proxy_requests_per_s: Annotated[float, Meta(ge=0.01, le=1e6)] = 1.0  # 680 x 70 proxies: about 47,000
    sampled_per_s: Annotated[float, Meta(ge=0, le=1_000)] = 0.5  # simulated requests of each proxy
    load: Annotated[float, Meta(ge=0.01, le=5)] = 0.5  # requests over the capacity of all backends
    service_ms: Annotated[float, Meta(ge=0.1, le=60_000)] = 40.0
    failing_share: Share = 0.002  # of the attempts at a healthy backend
    classes: Annotated[int, Meta(ge=1, le=5_000)] = 3


class Channel(msgspec.Struct, frozen=True, kw_only=True):
    """The section [channel]."""

    lines_per_s: Annotated[float, Meta(ge=1, le=1e9)] = 4_000.0
    backlog_lines: Annotated[float, Meta(ge=1, le=1e9)] = 8_000.0
    head_lines: Annotated[int, Meta(ge=0, le=1_000)] = 3
    delay_ms: Annotated[float, Meta(ge=0, le=60_000)] = 30.0
    messages: Annotated[int, Meta(ge=1, le=100_000)] = 30  # maximum to one proxy in `messages_span_s`
    messages_span_s: Annotated[float, Meta(ge=0.1, le=3_600)] = 10.0


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The section [rules]."""

    drain_grace_s: Seconds = 6.2
    empty_limit_s: Seconds = 4.0
    cold_s: Seconds = 10.0
    cold_share: Annotated[float, Meta(ge=0.01, le=1)] = 0.25
    fall_multiple: Annotated[float, Meta(ge=1, le=1_000)] = 4.0
    fall_s: Seconds = 3.0


class Times(msgspec.Struct, frozen=True, kw_only=True):
    """The section [times]."""

    ready_s: Seconds = 60.0  # timeout for a coordinator to be ready
    warm_s: Seconds = 5.0  # from the last coordinator's readiness to the measurement
    idle_s: Seconds = 10.0  # measurement without load reports
    reports_s: Seconds = 10.0  # measurement with load reports, before the events
    events_s: Seconds = 0.0  # minimum duration of the events
    settle_s: Seconds = 10.0  # after the events, until pending updates have reached the proxies


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """A section [event.NAME]."""

    kind: Literal[
        "replace",
        "fail",
        "configure",
        "rack",
        "zone",
        "partition",
        "restart",
        "stall",
        "duplicate",
        "reorder",
        "end_watches",
        "kill_hollow",
    ]
    at_s: Seconds = 0.0
    for_s: Seconds = 1.0
    count: Annotated[int, Meta(ge=1, le=100_000)] = 1
    refused: Annotated[int, Meta(ge=0, le=1_000)] = 0  # number of the configurations that are invalid
    drain_s: Seconds = 7.0  # from a backend's drain until its removal
    noticed_s: Seconds = 2.0  # from a backend's failure until discovery reports it
    back_s: Seconds = 2.0  # from a backend's or a coordinator's end until it or its replacement starts
    signal: Literal["terminate", "kill"] = "terminate"  # ends the coordinators of a restart
    first: Annotated[int, Meta(ge=0, le=63)] = 0  # number of the first coordinator of a restart


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "scale": Scale,
    "fleet": Fleet,
    "coordinators": Coordinators,
    "proxies": Proxies,
    "traffic": Traffic,
    "channel": Channel,
    "rules": Rules,
    "times": Times,
}


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A complete scenario."""

    name: str
    scale: Scale
    fleet: Fleet = Fleet()
    coordinators: Coordinators = Coordinators()
    proxies: Proxies = Proxies()
    traffic: Traffic = Traffic()
    channel: Channel = Channel()
    rules: Rules = Rules()
    times: Times = Times()
    events: dict[str, Event] = {}

    @property
    def zones(self) -> list[str]:
        """All zones, grouped by region."""
        return [
            f"r{region}-z{zone}"
            for region in range(self.fleet.regions)
            for zone in range(self.fleet.zones_per_region)
        ]


def names() -> list[str]:
    """Return the names of the included scenarios."""
    return ini_files.packaged_names(PACKAGE)


def load(name: str, changes: Iterable[str] = ()) -> Scenario:
    """Load a scenario from a file or by a name of `names`, and change the values of some keys.

    A change is `SECTION.KEY=VALUE`, or `KEY=VALUE` if exactly one section has the key.

    Raises:
        InvalidInputError: The file, a key or a value is invalid.

    """
    path, text = ini_files.read_text(PACKAGE, name, "scenario")
    for change in changes:
        text = ini_files.apply_override(text, _with_section(ini_files.parse_override(change)))
    sections: dict[str, Any] = {**ini.parse(path, text, {**SECTIONS, f"{EVENT_PREFIX}*": Event})}
    if "scale" not in sections:
        raise InvalidInputError(f"{path}: the section [scale] is missing")
    event_sections = [section for section in sections if section.startswith(EVENT_PREFIX)]
    events = {section.removeprefix(EVENT_PREFIX): sections.pop(section) for section in event_sections}
    return Scenario(name=Path(name).name.removesuffix(ini_files.SUFFIX), **sections, events=events)


def _with_section(change: ini_files.KeyOverride) -> ini_files.KeyOverride:
    """Return the change; if it contains no section, add the only section that has its key."""
    if change.section:
        return change
    matching_sections = ini_files.sections_with(change.key, SECTIONS)
    if len(matching_sections) == 1:
        return change._replace(section=matching_sections[0])
    problem = (
        f"sections {', '.join(matching_sections)} have this key"
        if matching_sections
        else "no section has this key"
    )
    raise InvalidInputError(f"--set {change.key!r:.60}: {problem}; write it as SECTION.KEY")
