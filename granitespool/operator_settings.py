"""The operator's settings: one INI file, a section for each subsystem, which is off without it.

The sections' and keys' names are the operators'; each key has its unit in its name. Nothing here knows what a
section is for."""

from typing import Annotated

import msgspec
from msgspec import Meta

from granitespool import ini
from granitespool.errors import InvalidInputError


class StateSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[state]: what has been learnt outlasts the process in a folder (docs/state.md)."""

    folder: Annotated[str, Meta(min_length=1)]
    every_ms: Annotated[int, Meta(ge=100, le=600_000)] = 1_000
    most_mb: Annotated[int, Meta(ge=1, le=4_096)] = 64
    half_life_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 30.0
    oldest_s: Annotated[float, Meta(ge=1, le=604_800)] = 300.0

    def __post_init__(self) -> None:
        """Rejects what would never act."""
        if self.every_ms > self.oldest_s * 1_000:
            reason = "every_ms is longer than oldest_s, so nothing written would ever be believed"
            raise ValueError(reason)


class TlsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[tls]: what management listeners show and trust (docs/tls.md); PEM files."""

    certificate: Annotated[str, Meta(min_length=1)]
    key: Annotated[str, Meta(min_length=1)]
    authorities: Annotated[str, Meta(min_length=1)]


class NetconfSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[netconf]: NETCONF over TLS (docs/netconf.md)."""

    listen: Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
    sessions: Annotated[int, Meta(ge=1, le=256)] = 8
    idle_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0


class GnmiSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[gnmi]: gNMI over gRPC (docs/gnmi.md)."""

    listen: Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
    sessions: Annotated[int, Meta(ge=1, le=256)] = 8
    idle_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0
    streams: Annotated[int, Meta(ge=1, le=1024)] = 64


class UserSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[user.NAME]: who a client's certificate stands for, and what that user may do (docs/tls.md)."""

    certificate: Annotated[str, Meta(min_length=1)]
    read: bool = True
    write: str = ""


class FiguresSettings(msgspec.Struct, frozen=True, kw_only=True):
    """[figures]: a line of the log each so often to count across coordinators (docs/fleet.md)."""

    every_ms: Annotated[int, Meta(ge=100, le=600_000)] = 1_000
    backends: Annotated[int, Meta(ge=0, le=4_096)] = 64


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All of the file; None for a section that is absent."""

    state: StateSettings | None = None
    tls: TlsSettings | None = None
    netconf: NetconfSettings | None = None
    gnmi: GnmiSettings | None = None
    figures: FiguresSettings | None = None
    users: dict[str, UserSettings] = {}

    @property
    def has_management_listener(self) -> bool:
        """Whether any management protocol is on."""
        return self.netconf is not None or self.gnmi is not None


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "state": StateSettings,
    "tls": TlsSettings,
    "netconf": NetconfSettings,
    "gnmi": GnmiSettings,
    "figures": FiguresSettings,
}
CERTIFICATE_KINDS = ("cn", "dns", "email", "uri", "sha256")  # what of a certificate a user may be known by
WRITABLE = ("*", "class", "zone", "channel", "permissions", "drain", "cold", "operator")  # of the YANG module
FIXED_KEYS = (("state", "folder"), ("netconf", "listen"), ("gnmi", "listen"))  # that wait for a restart
USER_PREFIX = "user."  # how the name of a user's section begins
PATH_KEYS = frozenset(
    [("state", "folder"), ("tls", "certificate"), ("tls", "key"), ("tls", "authorities")]
)  # values that are paths: relative ones stand beside the file


def load(path: str) -> OperatorSettings:
    """The settings of an INI file.

    Raises:
        InvalidInputError: the file cannot be read or is wrong; one sentence says where and how.
    """
    sections = ini.load(path, {**SECTIONS, USER_PREFIX + "*": UserSettings}, PATH_KEYS)
    users = {
        name.removeprefix(USER_PREFIX): section
        for name, section in sections.items()
        if isinstance(section, UserSettings)
    }
    subsystems = {name: section for name, section in sections.items() if name in SECTIONS}
    operator = OperatorSettings(users=users, **subsystems)  # type: ignore[arg-type]  # each of its section's type
    _check_management(path, operator)
    for name, user in users.items():
        _check_user(path, name, user)
    return operator


def _check_management(path: str, operator: OperatorSettings) -> None:
    if operator.has_management_listener and operator.tls is None:
        reason = f"{path}: a door for managers needs the section [tls]"
        raise InvalidInputError(reason)
    if operator.has_management_listener and not operator.users:
        reason = f"{path}: a door for managers needs a section [user.NAME], or nobody could come in"
        raise InvalidInputError(reason)


def _check_user(path: str, name: str, user: UserSettings) -> None:
    kind, _, value = user.certificate.partition(":")
    if kind not in CERTIFICATE_KINDS or not value:
        wanted = ", ".join(f"{known}:..." for known in CERTIFICATE_KINDS)
        reason = (
            f"{path}: [{USER_PREFIX}{name}] certificate is {user.certificate!r:.60}, where {wanted} would do"
        )
        raise InvalidInputError(reason)
    for word in filter(None, map(str.strip, user.write.split(","))):
        if word not in WRITABLE:
            known = ", ".join(WRITABLE)
            reason = f"{path}: [{USER_PREFIX}{name}] write names {word!r:.60}; known are {known}"
            raise InvalidInputError(reason)


def restart_names(before: OperatorSettings | None, now: OperatorSettings | None) -> list[str]:
    """The names, as section.key, of what differs and cannot change while the service runs."""
    names = [
        f"{section}.{key}"
        for section, key in FIXED_KEYS
        if _value(before, section, key) != _value(now, section, key)
    ]
    if _has_figures(before) != _has_figures(now):
        names.append("figures")
    return names


def _value(operator: OperatorSettings | None, section: str, key: str) -> object:
    return getattr(getattr(operator, section, None), key, None)


def _has_figures(operator: OperatorSettings | None) -> bool:
    return operator is not None and operator.figures is not None


def summary(operator: OperatorSettings) -> str:
    """One line for a person: which sections are on, and with what."""
    sections = ((name, getattr(operator, name)) for name in SECTIONS)
    on = [_section_summary(name, section) for name, section in sections if section is not None]
    return "; ".join(on) or "no section, everything is off"


def _section_summary(name: str, section: msgspec.Struct) -> str:
    values = msgspec.structs.asdict(section).items()
    return f"[{name}] " + ", ".join(f"{key} {value}" for key, value in values)
