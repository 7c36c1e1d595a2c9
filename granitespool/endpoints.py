"""Entries of the endpoint list and load metrics of backends, parsed from either wire format.

The simulator's protocol and the socket protocol use different field names, which `SIMULATOR_ENTRY` and
`SOCKET_ENTRY` define; other modules only see the parsed types.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from types import NoneType
from typing import Any

import msgspec

from granitespool.errors import InvalidInputError
from granitespool.fields import NUMBER_TYPES, VALUE_MAX, is_number, required_field, required_number
from granitespool.units import MICROSECOND, MILLISECOND

Label = str | int | float | None  # zone, machine type or cell of a backend, as in the endpoint list


class Phase(StrEnum):
    """State of a backend in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Endpoint(msgspec.Struct, frozen=True):
    """An entry of the endpoint list."""

    name: str
    zone: Label
    machine_type: Label
    cell: Label
    phase: Phase
    weight: float  # configured weight
    started_at: int  # Unix time in ns; 0 if the entry contains no time


class WireEntryNames(msgspec.Struct, frozen=True):
    """Names of the fields and phases of an endpoint list entry in one wire format."""

    name: str
    machine_type: str
    cell: str
    phase: str
    started_at: str
    time_unit: int  # unit of `started_at` in ns
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

# Load metrics of both wire formats: wire name -> (internal name, factor to the internal unit).
# Internal times are in ns.
LOAD_METRICS = {
    "util": ("utilization", 1),
    "latency_ms": ("latency", MILLISECOND),
    "queue": ("queued", 1),
    "inflight": ("in_flight", 1),
    "qps": ("requests_per_s", 1),
    "eps": ("errors_per_s", 1),
}


def endpoint_from_wire(row: object, names: WireEntryNames) -> Endpoint:
    """Parse an entry of the endpoint list; an unknown phase counts as gone.

    Raises InvalidInputError if a required field is missing or a field has the wrong type. The caller then
    skips the entry.
    """
    if not isinstance(row, dict):
        raise InvalidInputError("an endpoint list entry is not an object")
    for key in ("zone", names.machine_type, names.cell):
        # The planner groups backends by these values, so they must be hashable scalars.
        if not isinstance(row.get(key), (str, *NUMBER_TYPES, NoneType)):
            raise InvalidInputError(f"the field {key!r} of a 'list entry' is invalid: {row[key]!r:.40}")
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
    """Return the load metrics that a backend reported about itself.

    `reported` is an object or a sequence of (name, value) pairs. The returned times are in ns. Unknown
    metrics, values that are not numbers and values beyond `VALUE_MAX` are dropped.
    """
    pairs = reported.items() if isinstance(reported, Mapping) else reported or ()
    return {
        LOAD_METRICS[key][0]: value * LOAD_METRICS[key][1]
        for key, value in pairs
        if key in LOAD_METRICS and is_number(value) and abs(value) <= VALUE_MAX
    }
