"""The operator's settings: one INI file, a section for each subsystem, a subsystem off where its section is
absent.

`load(path)` gives an Operator, or raises InvalidInputError: one sentence that names the file, the section,
the key, what was found and what would do. Each key has its unit in its name. Nothing here knows what a
section is for."""

from typing import Annotated

import msgspec
from msgspec import Meta

from granitespool import ini
from granitespool.errors import InvalidInputError


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


class Tls(msgspec.Struct, frozen=True, kw_only=True):
    """[tls]: what the managers' doors show and trust (docs/tls.md); PEM files."""

    certificate: Annotated[str, Meta(min_length=1)]
    key: Annotated[str, Meta(min_length=1)]
    authorities: Annotated[str, Meta(min_length=1)]


class Netconf(msgspec.Struct, frozen=True, kw_only=True):
    """[netconf]: NETCONF over TLS (docs/netconf.md)."""

    listen: Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
    sessions: Annotated[int, Meta(ge=1, le=256)] = 8
    idle_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0


class Gnmi(msgspec.Struct, frozen=True, kw_only=True):
    """[gnmi]: gNMI over gRPC (docs/gnmi.md)."""

    listen: Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
    sessions: Annotated[int, Meta(ge=1, le=256)] = 8
    idle_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0
    streams: Annotated[int, Meta(ge=1, le=1024)] = 64


class User(msgspec.Struct, frozen=True, kw_only=True):
    """[user.NAME]: who a manager's certificate stands for, and what that user may do (docs/tls.md)."""

    certificate: Annotated[str, Meta(min_length=1)]
    read: bool = True
    write: str = ""


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """[figures]: a line of the log each so often to count across coordinators (docs/fleet.md)."""

    every_ms: Annotated[int, Meta(ge=100, le=600_000)] = 1_000
    backends: Annotated[int, Meta(ge=0, le=4_096)] = 64


class Operator(msgspec.Struct, frozen=True, kw_only=True):
    """The whole file; None for a section that is absent."""

    state: State | None = None
    tls: Tls | None = None
    netconf: Netconf | None = None
    gnmi: Gnmi | None = None
    figures: Figures | None = None
    users: dict[str, User] = {}

    @property
    def managed(self):
        """Whether any door for managers is on."""
        return self.netconf is not None or self.gnmi is not None


SECTIONS = {"state": State, "tls": Tls, "netconf": Netconf, "gnmi": Gnmi, "figures": Figures}
CERTIFICATES = "cn", "dns", "email", "uri", "sha256"  # what of a certificate a user may be known by
WRITABLE = "*", "class", "zone", "channel", "permissions", "drain", "cold", "operator"  # of the YANG module
FIXED = ("state", "folder"), ("netconf", "listen"), ("gnmi", "listen")  # keys that wait for a restart
USERS = "user."  # how the name of a user's section begins
PATHS = frozenset(
    [("state", "folder"), ("tls", "certificate"), ("tls", "key"), ("tls", "authorities")]
)  # values that are paths: relative ones stand beside the file


def load(path):
    """The Operator of an INI file, or InvalidInputError with one sentence."""
    read = ini.load(path, {**SECTIONS, USERS + "*": User}, PATHS)
    users = {name.removeprefix(USERS): read.pop(name) for name in list(read) if name.startswith(USERS)}
    operator = Operator(**read, users=users)
    if operator.managed and operator.tls is None:
        raise InvalidInputError(f"{path}: a door for managers needs the section [tls]")
    if operator.managed and not users:
        raise InvalidInputError(
            f"{path}: a door for managers needs a section [user.NAME], or nobody could come in"
        )
    for name, user in users.items():
        if user.certificate.partition(":")[0] not in CERTIFICATES or not user.certificate.partition(":")[2]:
            raise InvalidInputError(
                f"{path}: [{USERS}{name}] certificate is {user.certificate!r:.60}, where "
                f"{', '.join(kind + ':...' for kind in CERTIFICATES)} would do"
            )
        for word in filter(None, map(str.strip, user.write.split(","))):
            if word not in WRITABLE:
                raise InvalidInputError(
                    f"{path}: [{USERS}{name}] write names {word!r:.60}; known are {', '.join(WRITABLE)}"
                )
    return operator


def restart_names(before, now):
    """The names, as section.key, of what differs and cannot change while the service runs."""
    waits = []
    for section, key in FIXED:
        old, new = (getattr(each, section, None) for each in (before, now))
        if getattr(old, key, None) != getattr(new, key, None):
            waits.append(f"{section}.{key}")
    if (getattr(before, "figures", None) is None) != (getattr(now, "figures", None) is None):
        waits.append("figures")
    return waits


def summary(operator):
    """One line for a person: which sections are on, and with what."""
    on = [
        f"[{name}] "
        + ", ".join(
            f"{key} {value}" for key, value in msgspec.structs.asdict(getattr(operator, name)).items()
        )
        for name in SECTIONS
        if getattr(operator, name) is not None
    ]
    return "; ".join(on) or "no section, everything is off"
