"""What is kept: values by key, their encoding, and the versions of the format with the step between them.

Version 1 kept a backend with all its zones in one value, so that one zone's news wrote all of them again;
version 2 has a value for each backend and zone, with a time of its own. Whatever can't be decoded is a
Spoilt, which is no fault of ours but of what was read."""

import msgspec

FORMAT = 2  # the version that is written
FLEET = b"f"  # key of the fleet's facts
MANAGED = b"m"  # key of the settings that managers have changed
BACKEND = b"b"  # first byte of a backend's key, its name follows
LINK = b"l"  # first byte of a link's key, (backend, zone) as msgpack follows


class Spoilt(Exception):
    """A value that was read cannot be what was written."""


class Header(msgspec.Struct, array_like=True, frozen=True):
    """The first frame; `format` stays its first field in every version, so that any reader can tell it."""

    format: int
    name: str  # of the coordinator
    classes: list[str | None]  # names in their order
    zones: list[str]
    wall: int  # ns, Unix time when the file was begun
    mono: int  # ns, the monotonic clock then
    start: int  # number of the start that wrote it, from 1
    program: str  # the program's version


class Link1(msgspec.Struct, array_like=True, frozen=True):
    """What one zone met at a backend, as version 1 had it within its backend; times in ns of Unix time, sums
    and means as the planner has them."""

    tries: float
    failed: float
    answered: float
    time: float
    low: tuple[int, float] | None
    over: int
    streak: float
    cut_at: int | None
    ramp_from: int | None


class Link(Link1, array_like=True, frozen=True):
    at: int  # ns, when it was taken out


class Backend(msgspec.Struct, array_like=True, frozen=True):
    at: int
    phase: str
    zone: str | None
    kind: str | None
    listed: float
    started: int
    gone_at: int | None
    ramp_from: int | None
    proven: bool
    missing: bool
    address: str | None  # host:port


class Backend1(Backend, array_like=True, frozen=True):
    links: dict[str, Link1]  # by zone


class Fleet(msgspec.Struct, array_like=True, frozen=True):
    at: int
    strained: bool
    room: float
    through: float
    asked: dict[str, float]
    index: int  # version of discovery's list


class Managed(msgspec.Struct, array_like=True, frozen=True):
    """Settings that managers have changed: trees of the YANG module, of the files and of what runs."""

    at: int
    version: int
    base: dict
    tree: dict


class Kept(msgspec.Struct):
    """A record as the newest version has it."""

    fleet: Fleet | None
    backends: dict[str, tuple[Backend, dict[str, Link]]]  # by name; links by zone
    managed: Managed | None = None


_encode = msgspec.msgpack.Encoder().encode
_header = msgspec.msgpack.Decoder(Header)
_backend = msgspec.msgpack.Decoder(Backend)
_backend1 = msgspec.msgpack.Decoder(Backend1)
_link = msgspec.msgpack.Decoder(Link)
_managed = msgspec.msgpack.Decoder(Managed)
_link_key = msgspec.msgpack.Decoder(tuple[str, str])
_fleet = msgspec.msgpack.Decoder(Fleet)
_batch = msgspec.msgpack.Decoder(tuple[int, int, dict[bytes, bytes | None]])

_end = msgspec.msgpack.Decoder(tuple[int, int, int])


def _decoded(decoder, data):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Spoilt(f"a value cannot be read: {error}") from None


def header_format(data):
    """The format version that a header's bytes tell, whatever else the version put into it."""
    first = _decoded(msgspec.msgpack.Decoder(list), data)
    if not first or type(first[0]) is not int:
        raise Spoilt("a header tells no format version")
    return first[0]


def header(data):
    return _decoded(_header, data)


def batch_bytes(wall, mono, changes):
    """The body of a frame of changes: when, and the new value of each key, None where it goes."""
    return _encode((wall, mono, changes))


def batch(data):
    """(wall ns, monotonic ns, {key: value or None}) of a frame's body."""
    return _decoded(_batch, data)


def end_bytes(wall, mono, count):
    """The body of the frame that ends a snapshot of so many values."""
    return _encode((wall, mono, count))


def end(data):
    return _decoded(_end, data)


value_bytes = _encode


def link_key(backend, zone):
    return LINK + _encode((backend, zone))


def values(fleet, backends, addresses, index, now):
    """{backend, or None for the fleet: {key: Struct}} of what the planner has learnt; `addresses` are
    (host, port) by backend."""
    found = {}
    if fleet is not None:
        found[None] = {FLEET: Fleet(at=now, index=index, **fleet)}
    for name, (facts, links) in backends.items():
        where = addresses.get(name)
        found[name] = {
            BACKEND + name.encode(): Backend(
                at=now, address="{}:{}".format(*where) if where else None, **facts
            )
        }
        for zone, met in links.items():
            found[name][link_key(name, zone)] = Link(at=now, **met)
    return found


def values_of(kept):
    """The same of a Kept."""
    found = {
        name: {BACKEND + name.encode(): facts, **{link_key(name, zone): link for zone, link in links.items()}}
        for name, (facts, links) in kept.backends.items()
    }
    if kept.fleet is not None:
        found[None] = {FLEET: kept.fleet}
    return found


def kept(version, held):
    """The Kept of {key: bytes} as any known format wrote it, or Spoilt."""
    fleet, managed, backends, links = None, None, {}, {}
    for key, data in held.items():
        try:
            if key == FLEET:
                fleet = _decoded(_fleet, data)
            elif key == MANAGED and version > 1:
                managed = _decoded(_managed, data)
            elif key[:1] == BACKEND:
                backends[key[1:].decode()] = _decoded(_backend if version > 1 else _backend1, data)
            elif key[:1] == LINK and version > 1:
                name, zone = _decoded(_link_key, key[1:])
                links.setdefault(name, {})[zone] = _decoded(_link, data)
            else:
                raise Spoilt(f"there is a value of the unknown kind {key[:1]!r}")
        except UnicodeDecodeError:
            raise Spoilt("a backend's name is not UTF-8") from None
    if version == 1:
        backends, links = from_1(backends)
    return Kept(fleet, {name: (each, links.get(name, {})) for name, each in backends.items()}, managed)


def from_1(backends):
    """The step from version 1 to 2: a link takes its backend's time."""

    def part(struct, whole, **more):
        names = [name for name in struct.__struct_fields__ if name not in more]
        return struct(**{name: getattr(whole, name) for name in names}, **more)

    return (
        {name: part(Backend, each) for name, each in backends.items()},
        {
            name: {zone: part(Link, link, at=each.at) for zone, link in each.links.items()}
            for name, each in backends.items()
        },
    )
