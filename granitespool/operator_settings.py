"""Settings of the operator, read from an INI file with one section per optional subsystem.

A subsystem without a section is off. Attributes have the names of the keys in the file, which end in their
unit. The subsystems interpret the values.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from granitespool import ini
from granitespool.errors import InvalidInputError


class StateSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [state]: snapshots in a folder, which are restored at the next start (docs/state.md)."""

    folder: Annotated[str, Meta(min_length=1)]
    every_ms: Annotated[int, Meta(ge=100, le=600_000)] = 1_000
    most_mb: Annotated[int, Meta(ge=1, le=4_096)] = 64
    half_life_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 30.0
    oldest_s: Annotated[float, Meta(ge=1, le=604_800)] = 300.0

    def __post_init__(self) -> None:
        """Raise ValueError if the interval of snapshots exceeds the maximum age of restored values."""
        if self.every_ms > self.oldest_s * 1_000:
            reason = "every_ms is longer than oldest_s, so no snapshot would ever be restored"
            raise ValueError(reason)


class TlsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [tls]: PEM files of the management listeners' certificate and authorities (docs/tls.md)."""

    certificate: Annotated[str, Meta(min_length=1)]
    key: Annotated[str, Meta(min_length=1)]
    authorities: Annotated[str, Meta(min_length=1)]


class NetconfSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [netconf]: management listener for NETCONF over TLS (docs/netconf.md)."""

    listen: Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
    sessions: Annotated[int, Meta(ge=1, le=256)] = 8
    idle_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0


class GnmiSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [gnmi]: management listener for gNMI over gRPC (docs/gnmi.md)."""

    listen: Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
    sessions: Annotated[int, Meta(ge=1, le=256)] = 8
    idle_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0
    streams: Annotated[int, Meta(ge=1, le=1024)] = 64


class UserSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [user.NAME]: client certificate and permissions of a manager (docs/tls.md)."""

    certificate: Annotated[str, Meta(min_length=1)]
    read: bool = True
    write: str = ""


class FiguresSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section [figures]: periodic log lines with metrics, to be summed over coordinators (docs/fleet.md)."""

    every_ms: Annotated[int, Meta(ge=100, le=600_000)] = 1_000
    backends: Annotated[int, Meta(ge=0, le=4_096)] = 64


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sections of the file; an absent section is None."""

    state: StateSettings | None = None
    tls: TlsSettings | None = None
    netconf: NetconfSettings | None = None
    gnmi: GnmiSettings | None = None
    figures: FiguresSettings | None = None
    users: dict[str, UserSettings] = {}

    @property
    def has_management_listener(self) -> bool:
        """Whether any management protocol is configured."""
        return self.netconf is not None or self.gnmi is not None


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "state": StateSettings,
    "tls": TlsSettings,
    "netconf": NetconfSettings,
    "gnmi": GnmiSettings,
    "figures": FiguresSettings,
}
# Fields of a client certificate that may identify a user.
CERTIFICATE_KINDS = ("cn", "dns", "email", "uri", "sha256")
# Parts of the YANG module that a user may be allowed to write.
WRITABLE = ("*", "class", "zone", "channel", "permissions", "drain", "cold", "operator")
# Pairs (section, key) of the values that cannot change before a restart.
FIXED_KEYS = (("state", "folder"), ("netconf", "listen"), ("gnmi", "listen"))
USER_PREFIX = "user."  # prefix of the names of user sections
# Pairs (section, key) of the values that are paths. Relative paths are resolved against the file's folder.
PATH_KEYS = frozenset([("state", "folder"), ("tls", "certificate"), ("tls", "key"), ("tls", "authorities")])


def load(path: str) -> OperatorSettings:
    """Return the settings of an INI file.

    Raises:
        InvalidInputError: the file cannot be read or is invalid.
    """
    sections = ini.load(path, {**SECTIONS, USER_PREFIX + "*": UserSettings}, PATH_KEYS)
    users = {
        name.removeprefix(USER_PREFIX): section
        for name, section in sections.items()
        if isinstance(section, UserSettings)
    }
    subsystems = {name: section for name, section in sections.items() if name in SECTIONS}
    operator = OperatorSettings(users=users, **subsystems)  # type: ignore[arg-type]  # schemas of SECTIONS
    _check_management(path, operator)
    for name, user in users.items():
        _check_user(path, name, user)
    return operator


def _check_management(path: str, operator: OperatorSettings) -> None:
    if operator.has_management_listener and operator.tls is None:
        reason = f"{path}: a management listener needs the section [tls]"
        raise InvalidInputError(reason)
    if operator.has_management_listener and not operator.users:
        reason = f"{path}: a management listener needs at least one section [user.NAME]"
        raise InvalidInputError(reason)


def _check_user(path: str, name: str, user: UserSettings) -> None:
    kind, _, value = user.certificate.partition(":")
    if kind not in CERTIFICATE_KINDS or not value:
        expected = ", ".join(f"{known}:..." for known in CERTIFICATE_KINDS)
        reason = f"{path}: [{USER_PREFIX}{name}] certificate is {user.certificate!r:.60}, expected {expected}"
        raise InvalidInputError(reason)
    for word in filter(None, map(str.strip, user.write.split(","))):
        if word not in WRITABLE:
            known = ", ".join(WRITABLE)
            reason = f"{path}: [{USER_PREFIX}{name}] write contains {word!r:.60}; known names are {known}"
            raise InvalidInputError(reason)


def restart_names(before: OperatorSettings | None, now: OperatorSettings | None) -> list[str]:
    """Return the names of the changed settings that need a restart; values are named "section.key"."""
    names = [
        f"{section}.{key}"
        for section, key in FIXED_KEYS
        if _setting_value(before, section, key) != _setting_value(now, section, key)
    ]
    if _has_figures(before) != _has_figures(now):
        names.append("figures")
    return names


def _setting_value(operator: OperatorSettings | None, section: str, key: str) -> object:
    return getattr(getattr(operator, section, None), key, None)


def _has_figures(operator: OperatorSettings | None) -> bool:
    return operator is not None and operator.figures is not None


def summary(operator: OperatorSettings) -> str:
    """Return one line with all configured sections and their values."""
    sections = ((name, getattr(operator, name)) for name in SECTIONS)
    configured = [_section_summary(name, section) for name, section in sections if section is not None]
    return "; ".join(configured) or "no section, everything is off"


def _section_summary(name: str, section: msgspec.Struct) -> str:
    values = msgspec.structs.asdict(section).items()
    return f"[{name}] " + ", ".join(f"{key} {value}" for key, value in values)
