"""Endpoint list entries and load reports of backends, from the names of either wire.

The simulator's wire and the sockets name the fields of an entry differently; `SIMULATOR_ENTRY` and
`SOCKET_ENTRY` hold the names of each, and no wire name is seen further in.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from types import NoneType
from typing import Any

import msgspec

from granitespool.errors import InvalidInputError
from granitespool.fields import NUMBER_TYPES, VALUE_MAX, is_number, required_field, required_number
from granitespool.units import MICROSECOND, MILLISECOND

Label = str | int | float | None  # a zone, a machine type or a cell, as the list tells it


class Phase(StrEnum):
    """What the endpoint list says of a backend."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Endpoint(msgspec.Struct, frozen=True):
    """One entry of the endpoint list."""

    name: str
    zone: Label
    machine_type: Label
    cell: Label
    phase: Phase
    weight: float  # the configured weight
    started_at: int  # ns, Unix time; 0 where the list does not tell


class WireEntryNames(msgspec.Struct, frozen=True):
    """What one wire calls the fields and phases of an entry."""

    name: str
    machine_type: str
    cell: str
    phase: str
    started_at: str
    time_unit: int  # ns of `started_at`
    phases: dict[str, Phase]


SIMULATOR_ENTRY = WireEntryNames(
    name="backend",
    machine_type="machine",
    cell="pack",
    phase="phase",
    started_at="since_us",
    time_unit=MICROSECOND,
    phases={"live": Phase.READY, "quiescing": Phase.DRAINING, "dead": Phase.GONE},
)
SOCKET_ENTRY = WireEntryNames(
    name="name",
    machine_type="type",
    cell="group",
    phase="status",
    started_at="since_ms",
    time_unit=MILLISECOND,
    phases={"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE},
)

# A load metric on both wires: name there -> (name here, factor to the unit here; times become ns)
LOAD_METRICS = {
    "util": ("busy", 1),
    "latency_ms": ("service", MILLISECOND),
    "queue": ("queued", 1),
    "inflight": ("holding", 1),
    "qps": ("answered_per_s", 1),
    "eps": ("errors_per_s", 1),
}


def endpoint_from_wire(row: object, names: WireEntryNames) -> Endpoint:
    """An entry as one of the wires has it.

    An unknown phase counts as gone. Raises InvalidInputError where a field that decisions rest on is missing
    or of another type; the caller leaves that entry out.
    """
    if not isinstance(row, dict):
        raise InvalidInputError("a list entry is not an object")
    for key in ("zone", names.machine_type, names.cell):
        # The planner groups backends by these values, so they must be hashable scalars
        if not isinstance(row.get(key), (str, *NUMBER_TYPES, NoneType)):
            raise InvalidInputError(f"the field {key!r} of a 'list entry' holds {row[key]!r:.40}")
    return Endpoint(
        name=required_field(row, names.name, str),
        zone=row.get("zone"),
        machine_type=row.get(names.machine_type),
        cell=row.get(names.cell),
        phase=names.phases.get(required_field(row, names.phase, str), Phase.GONE),
        weight=1 if row.get("weight") is None else required_number(row, "weight"),
        started_at=_started_at(row, names),
    )


def _started_at(row: Mapping[str, Any], names: WireEntryNames) -> int:
    if row.get(names.started_at) is None:
        return 0
    return int(required_number(row, names.started_at) * names.time_unit)


def load_metrics(
    reported: Mapping[str, Any] | Iterable[tuple[str, Any]] | None,
) -> dict[str, int | float]:
    """A backend's own load report, an object or a list of pairs; times in ns.

    What is unknown, no number or beyond `VALUE_MAX` is left out.
    """
    pairs = reported.items() if isinstance(reported, Mapping) else reported or ()
    return {
        LOAD_METRICS[key][0]: value * LOAD_METRICS[key][1]
        for key, value in pairs
        if key in LOAD_METRICS and is_number(value) and abs(value) <= VALUE_MAX
    }
