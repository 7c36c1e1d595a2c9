"""What is stored: records by key, their encoding, and the versions of the format with the step between them.

The structs are stored as arrays, so that the order of their fields is the stored form (docs/state-format.md)
and their names are not. Version 1 kept a backend with all its zones in one value, so that news of one zone
wrote all of them again; version 2 has a value for each backend and zone, with a time of its own. What cannot
be decoded raises CorruptRecordError.
"""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeVar, cast

import msgspec

from granitespool.planner.records import MinimumRtt
from granitespool.planner.status import BackendSnapshot, FleetSnapshot, LinkSnapshot
from granitespool.state.errors import CorruptRecordError

FORMAT_VERSION = 2  # the version that is written
FLEET_KEY = b"f"
MANAGED_SETTINGS_KEY = b"m"
BACKEND_PREFIX = b"b"  # first byte of a backend's key, its name follows
LINK_PREFIX = b"l"  # first byte of a link's key, (backend, zone) as msgpack follows

Tree = dict[str, Any]  # of the YANG module, as JSON has it
Changes = dict[bytes, bytes | None]  # key -> new value, None where the key is removed


class Clocks(NamedTuple):
    """Both clocks of a machine at one moment."""

    wall: int  # ns, Unix time
    monotonic: int  # ns, starts anew with the machine only


class Header(msgspec.Struct, array_like=True, frozen=True):
    """The first frame; `format_version` stays its first field in every version, for any reader to tell it."""

    format_version: int
    name: str  # of the coordinator
    class_names: list[str | None]  # in their order
    zones: list[str]
    wall: int  # ns, Unix time when the file was begun
    monotonic: int  # ns, the monotonic clock then
    start_number: int  # of the start that wrote it, from 1
    program_version: str


class LinkRecordV1(msgspec.Struct, array_like=True, frozen=True):
    """What one zone observed at a backend, as version 1 had it within its backend.

    Times are in ns of Unix time; sums and means are those of the planner.
    """

    attempts: float
    failures: float
    successes: float
    response_time: float  # ns of all successes
    minimum_rtt: MinimumRtt | None
    overloaded_reports: int  # reports
    consecutive_failures: float  # attempts
    ejected_at: int | None
    slow_start_since: int | None


class LinkRecord(LinkRecordV1, array_like=True, frozen=True):
    """The same as a value of its own."""

    taken_at: int  # ns, when it was taken from the planner


class BackendRecord(msgspec.Struct, array_like=True, frozen=True):
    """What is known of a backend but for its links; times in ns of Unix time."""

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
    """The same with its links, as version 1 had it."""

    links: dict[str, LinkRecordV1]  # by zone


class FleetRecord(msgspec.Struct, array_like=True, frozen=True):
    """What is known of the fleet as a whole."""

    taken_at: int
    is_overloaded: bool
    admitted_share: float
    success_ratio: float
    demand: dict[str, float]  # by request class
    list_index: int  # version of the endpoint list


class ManagedSettings(msgspec.Struct, array_like=True, frozen=True):
    """Settings that managers have changed: trees of the YANG module, of the files and of what runs."""

    taken_at: int
    version: int
    base: Tree
    tree: Tree


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """The body of a frame of the snapshot, or of changes after it."""

    wall: int  # ns
    monotonic: int  # ns
    changes: dict[bytes, bytes | None]


class SnapshotEnd(msgspec.Struct, array_like=True, frozen=True):
    """The body of the frame that ends a snapshot."""

    wall: int  # ns
    monotonic: int  # ns
    count: int  # of the snapshot's values


Value = FleetRecord | BackendRecord | LinkRecord
Values = dict[str | None, dict[bytes, Value]]  # by backend (None: the fleet) and key


class StoredBackend(NamedTuple):
    """A backend's record and those of its links by zone."""

    facts: BackendRecord
    links: dict[str, LinkRecord]


class Record(msgspec.Struct):
    """All that a folder holds, in the form of the newest version."""

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
        reason = f"a value cannot be read: {error}"
        raise CorruptRecordError(reason) from None


def decode_format_version(data: bytes) -> int:
    """Return the format version of a header's bytes, whatever else that version put into them."""
    first = _decode(_ANY_HEADER, data)
    if not first or type(first[0]) is not int:
        reason = "a header tells no format version"
        raise CorruptRecordError(reason)
    return first[0]


def decode_header(data: bytes) -> Header:
    """Return the header of a frame's body."""
    return _decode(_HEADER, data)


def decode_batch(data: bytes) -> Batch:
    """Return the batch of a frame's body."""
    return _decode(_BATCH, data)


def decode_snapshot_end(data: bytes) -> SnapshotEnd:
    """Return the end of a snapshot of a frame's body."""
    return _decode(_SNAPSHOT_END, data)


def backend_key(backend: str) -> bytes:
    """Return the key of a backend's value."""
    return BACKEND_PREFIX + backend.encode()


def link_key(backend: str, zone: str) -> bytes:
    """Return the key of the value of what a zone observed at a backend."""
    return LINK_PREFIX + encode_value((backend, zone))


def fleet_record(fleet: FleetSnapshot, list_index: int, now: int) -> FleetRecord:
    """Return the record of the fleet, taken at `now` (ns)."""
    return FleetRecord(
        taken_at=now,
        is_overloaded=fleet.is_overloaded,
        admitted_share=fleet.admitted_share,
        success_ratio=fleet.success_ratio,
        demand=cast(dict[str, float], fleet.demand),  # usage reports name their class
        list_index=list_index,
    )


def backend_record(backend: BackendSnapshot, address: tuple[str, int] | None, now: int) -> BackendRecord:
    """Return the record of a backend without its links, taken at `now` (ns)."""
    return BackendRecord(
        taken_at=now,
        phase=backend.phase,
        zone=cast(str | None, backend.zone),  # a list may tell numbers, which the format has no place for
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
    """Return the values of a record that the planner learns anew, by backend (None: the fleet) and key."""
    values: Values = {}
    for name, backend in record.backends.items():
        values[name] = {backend_key(name): backend.facts}
        for zone, link in backend.links.items():
            values[name][link_key(name, zone)] = link
    if record.fleet is not None:
        values[None] = {FLEET_KEY: record.fleet}
    return values


def encode_values(values: Values) -> dict[bytes, bytes]:
    """Return the encoded values by key, in their order."""
    return {key: encode_value(value) for group in values.values() for key, value in group.items()}


def decode_record(version: int, encoded: Mapping[bytes, bytes]) -> Record:
    """Return the record of {key: bytes} as any known format version wrote it.

    Raises CorruptRecordError where a key or value is none of that version.
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
            raise CorruptRecordError(_unknown_kind(key))
    record.backends = {name: StoredBackend(each, links.get(name, {})) for name, each in facts.items()}
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
            raise CorruptRecordError(_unknown_kind(key))
    return record


def _upgrade_backend(backend: BackendRecordV1) -> StoredBackend:
    """Take the step from version 1 to 2: a link gets the time of its backend."""
    facts = BackendRecord(**dict(_fields(backend, BackendRecord)))
    links = {
        zone: LinkRecord(**dict(_fields(link, LinkRecordV1)), taken_at=backend.taken_at)
        for zone, link in backend.links.items()
    }
    return StoredBackend(facts, links)


def _fields(struct: msgspec.Struct, of: type[msgspec.Struct]) -> Iterator[tuple[str, Any]]:
    for name in of.__struct_fields__:
        yield name, getattr(struct, name)


def _backend_name(key: bytes) -> str:
    try:
        return key[1:].decode()
    except UnicodeDecodeError:
        reason = "a backend's name is not UTF-8"
        raise CorruptRecordError(reason) from None


def _unknown_kind(key: bytes) -> str:
    return f"there is a value of the unknown kind {key[:1]!r}"
