"""Types of the stored values, their encoding and the upgrade from older versions of the format.

Structs are stored as arrays. The order of the fields is therefore part of the format (docs/state-format.md),
their names are not. Version 1 stored a backend and all its links in one value, so that a change of one link
wrote all links again. Version 2 stores a value for each link, with its own time. Functions raise
CorruptRecordError if a value cannot be decoded.
"""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeVar, cast

import msgspec

from granitespool.planner.records import MinimumRtt
from granitespool.planner.status import BackendSnapshot, FleetSnapshot, LinkSnapshot
from granitespool.state.errors import CorruptRecordError

FORMAT_VERSION = 2  # version of the files that this program writes
FLEET_KEY = b"f"
MANAGED_SETTINGS_KEY = b"m"
BACKEND_PREFIX = b"b"  # first byte of the key of a backend, followed by its name
LINK_PREFIX = b"l"  # first byte of the key of a link, followed by (backend, zone) as msgpack

Tree = dict[str, Any]  # settings as nodes of the YANG module, in its JSON encoding
Changes = dict[bytes, bytes | None]  # new value by key; None if the key is removed


class Clocks(NamedTuple):
    """Wall clock and monotonic clock of a machine, read at the same time."""

    wall: int  # Unix time in ns
    monotonic: int  # ns since the machine was booted


class Header(msgspec.Struct, array_like=True, frozen=True):
    """Body of the first frame of a file; every version of the format has `format_version` as first field."""

    format_version: int
    name: str  # name of the coordinator
    class_names: list[str | None]  # in their configured order
    zones: list[str]
    wall: int  # Unix time in ns when the file was created
    monotonic: int  # monotonic clock in ns at that time
    start_number: int  # number of this start of the coordinator, from 1
    program_version: str


class LinkRecordV1(msgspec.Struct, array_like=True, frozen=True):
    """Record of a link in version 1, which stored links as part of a backend.

    Times are Unix time in ns. Sums and means are taken from the planner unchanged.
    """

    attempts: float
    failures: float
    successes: float
    response_time: float  # ns, sum over all successes
    minimum_rtt: MinimumRtt | None
    overloaded_reports: int
    consecutive_failures: float  # attempts
    ejected_at: int | None
    slow_start_since: int | None


class LinkRecord(LinkRecordV1, array_like=True, frozen=True):
    """Record of a link: what the proxies of a zone observed at a backend."""

    taken_at: int  # Unix time in ns at which the link was read from the planner


class BackendRecord(msgspec.Struct, array_like=True, frozen=True):
    """Record of a backend without its links; times are Unix time in ns."""

    taken_at: int
    phase: str
    zone: str | None
    machine_type: str | None
    configured_weight: float
    started_at: int
    left_ready_at: int | None
    slow_start_since: int | None
    verified: bool
    removal_unconfirmed: bool
    address: str | None  # host:port


class BackendRecordV1(BackendRecord, array_like=True, frozen=True):
    """Record of a backend with its links in version 1."""

    links: dict[str, LinkRecordV1]  # by zone


class FleetRecord(msgspec.Struct, array_like=True, frozen=True):
    """Record of the fleet as a whole."""

    taken_at: int
    is_overloaded: bool
    admitted_share: float
    success_ratio: float
    demand: dict[str, float]  # by request class
    list_index: int  # version of the endpoint list


class ManagedSettings(msgspec.Struct, array_like=True, frozen=True):
    """Settings that managers have changed.

    `base` contains the settings read from the files, `tree` the running settings.
    """

    taken_at: int
    version: int
    base: Tree
    tree: Tree


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """Body of a frame that contains a part of the snapshot or later changes."""

    wall: int  # ns
    monotonic: int  # ns
    changes: dict[bytes, bytes | None]


class SnapshotEnd(msgspec.Struct, array_like=True, frozen=True):
    """Body of the frame that ends a snapshot."""

    wall: int  # ns
    monotonic: int  # ns
    count: int  # number of values in the snapshot


Value = FleetRecord | BackendRecord | LinkRecord
Values = dict[str | None, dict[bytes, Value]]  # by backend and key; the backend None stands for the fleet


class StoredBackend(NamedTuple):
    """Record of a backend, and the records of its links by zone."""

    facts: BackendRecord
    links: dict[str, LinkRecord]


class Record(msgspec.Struct):
    """Decoded contents of a folder, upgraded to the newest version of the format."""

    fleet: FleetRecord | None
    backends: dict[str, StoredBackend]  # by name
    managed: ManagedSettings | None = None


encode_value = msgspec.msgpack.Encoder().encode

_HEADER = msgspec.msgpack.Decoder(Header)
_ANY_HEADER = msgspec.msgpack.Decoder(list)
_BACKEND = msgspec.msgpack.Decoder(BackendRecord)
_BACKEND_V1 = msgspec.msgpack.Decoder(BackendRecordV1)
_LINK = msgspec.msgpack.Decoder(LinkRecord)
_LINK_KEY = msgspec.msgpack.Decoder(tuple[str, str])
_MANAGED = msgspec.msgpack.Decoder(ManagedSettings)
_FLEET = msgspec.msgpack.Decoder(FleetRecord)
_BATCH = msgspec.msgpack.Decoder(Batch)
_SNAPSHOT_END = msgspec.msgpack.Decoder(SnapshotEnd)

_Decoded = TypeVar("_Decoded")


def _decode(decoder: "msgspec.msgpack.Decoder[_Decoded]", data: bytes) -> _Decoded:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        reason = f"a value cannot be decoded: {error}"
        raise CorruptRecordError(reason) from None


def decode_format_version(data: bytes) -> int:
    """Return the format version of an encoded header of any version."""
    first = _decode(_ANY_HEADER, data)
    if not first or type(first[0]) is not int:
        reason = "a header has no format version"
        raise CorruptRecordError(reason)
    return first[0]


def decode_header(data: bytes) -> Header:
    """Decode the body of a header frame."""
    return _decode(_HEADER, data)


def decode_batch(data: bytes) -> Batch:
    """Decode the body of a frame of the snapshot or of changes."""
    return _decode(_BATCH, data)


def decode_snapshot_end(data: bytes) -> SnapshotEnd:
    """Decode the body of the frame that ends a snapshot."""
    return _decode(_SNAPSHOT_END, data)


def backend_key(backend: str) -> bytes:
    """Return the key of a backend."""
    return BACKEND_PREFIX + backend.encode()


def link_key(backend: str, zone: str) -> bytes:
    """Return the key of the link between a zone and a backend."""
    return LINK_PREFIX + encode_value((backend, zone))


def fleet_record(fleet: FleetSnapshot, list_index: int, now: int) -> FleetRecord:
    """Return the record of the fleet, taken at `now` (ns)."""
    return FleetRecord(
        taken_at=now,
        is_overloaded=fleet.is_overloaded,
        admitted_share=fleet.admitted_share,
        success_ratio=fleet.success_ratio,
        demand=cast(dict[str, float], fleet.demand),  # usage reports contain a class, so no name is None
        list_index=list_index,
    )


def backend_record(backend: BackendSnapshot, address: tuple[str, int] | None, now: int) -> BackendRecord:
    """Return the record of a backend without its links, taken at `now` (ns)."""
    return BackendRecord(
        taken_at=now,
        phase=backend.phase,
        zone=cast(str | None, backend.zone),  # numbers are not part of the format
        machine_type=cast(str | None, backend.machine_type),
        configured_weight=backend.configured_weight,
        started_at=backend.started_at,
        left_ready_at=backend.left_ready_at,
        slow_start_since=backend.slow_start_since,
        verified=backend.verified,
        removal_unconfirmed=backend.removal_unconfirmed,
        address="{}:{}".format(*address) if address else None,
    )


def link_record(link: LinkSnapshot, now: int) -> LinkRecord:
    """Return the record of a link, taken at `now` (ns)."""
    return LinkRecord(
        attempts=link.attempts,
        failures=link.failures,
        successes=link.successes,
        response_time=link.response_time,
        minimum_rtt=link.minimum_rtt,
        overloaded_reports=link.overloaded_reports,
        consecutive_failures=link.consecutive_failures,
        ejected_at=link.ejected_at,
        slow_start_since=link.slow_start_since,
        taken_at=now,
    )


def backend_values(
    name: str, backend: BackendSnapshot, address: tuple[str, int] | None, now: int
) -> dict[bytes, Value]:
    """Return the values of a backend and of its links by key, taken at `now` (ns)."""
    values: dict[bytes, Value] = {backend_key(name): backend_record(backend, address, now)}
    for zone, link in backend.links.items():
        values[link_key(name, zone)] = link_record(link, now)
    return values


def record_values(record: Record) -> Values:
    """Return the values of a record without the managed settings; the backend None stands for the fleet."""
    values: Values = {}
    for name, backend in record.backends.items():
        values[name] = {backend_key(name): backend.facts}
        for zone, link in backend.links.items():
            values[name][link_key(name, zone)] = link
    if record.fleet is not None:
        values[None] = {FLEET_KEY: record.fleet}
    return values


def encode_values(values: Values) -> dict[bytes, bytes]:
    """Return the encoded values by key, in the same order."""
    return {key: encode_value(value) for group in values.values() for key, value in group.items()}


def decode_record(version: int, encoded: Mapping[bytes, bytes]) -> Record:
    """Decode the values of a file of any supported format version.

    Raises CorruptRecordError if a key or value is invalid in that version.
    """
    if version <= 1:
        return _decode_v1(encoded)
    record = Record(fleet=None, backends={})
    facts: dict[str, BackendRecord] = {}
    links: dict[str, dict[str, LinkRecord]] = {}
    for key, data in encoded.items():
        if key == FLEET_KEY:
            record.fleet = _decode(_FLEET, data)
        elif key == MANAGED_SETTINGS_KEY:
            record.managed = _decode(_MANAGED, data)
        elif key[:1] == BACKEND_PREFIX:
            facts[_backend_name(key)] = _decode(_BACKEND, data)
        elif key[:1] == LINK_PREFIX:
            name, zone = _decode(_LINK_KEY, key[1:])
            links.setdefault(name, {})[zone] = _decode(_LINK, data)
        else:
            raise CorruptRecordError(_unknown_kind_reason(key))
    record.backends = {name: StoredBackend(backend, links.get(name, {})) for name, backend in facts.items()}
    return record


def _decode_v1(encoded: Mapping[bytes, bytes]) -> Record:
    record = Record(fleet=None, backends={})
    for key, data in encoded.items():
        if key == FLEET_KEY:
            record.fleet = _decode(_FLEET, data)
        elif key[:1] == BACKEND_PREFIX:
            name = _backend_name(key)
            record.backends[name] = _upgrade_backend(_decode(_BACKEND_V1, data))
        else:
            raise CorruptRecordError(_unknown_kind_reason(key))
    return record


def _upgrade_backend(backend: BackendRecordV1) -> StoredBackend:
    """Upgrade a backend from version 1 to 2; its links take `taken_at` from the backend."""
    facts = BackendRecord(**dict(_fields(backend, BackendRecord)))
    links = {
        zone: LinkRecord(**dict(_fields(link, LinkRecordV1)), taken_at=backend.taken_at)
        for zone, link in backend.links.items()
    }
    return StoredBackend(facts, links)


def _fields(struct: msgspec.Struct, kind: type[msgspec.Struct]) -> Iterator[tuple[str, Any]]:
    for name in kind.__struct_fields__:
        yield name, getattr(struct, name)


def _backend_name(key: bytes) -> str:
    try:
        return key[1:].decode()
    except UnicodeDecodeError:
        reason = "the name of a backend is not UTF-8"
        raise CorruptRecordError(reason) from None


def _unknown_kind_reason(key: bytes) -> str:
    return f"a key has the unknown kind {key[:1]!r}"
