"""INI files of experiments and scenarios: packaged ones, other files, and overrides of single keys."""

import importlib.resources
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from granitespool.errors import InvalidInputError

SUFFIX = ".ini"
EXPERIMENTS_FOLDER = "experiments"  # within a package
MAX_SHOWN_CHARS = 60  # characters of an invalid override that an error message shows

Schemas = Mapping[str, type[msgspec.Struct]]  # section -> Struct with the keys of the section


class IniText(NamedTuple):
    """Text of a file, and its path for error messages."""

    path: str
    text: str


class KeyOverride(NamedTuple):
    """Override of one key, from `--set SECTION.KEY=VALUE`."""

    section: str  # "" if none was given
    key: str
    value: str


def packaged_names(package: str) -> list[str]:
    """Return the names, without suffix, of the INI files that come with a package."""
    folder = importlib.resources.files(package) / EXPERIMENTS_FOLDER
    return sorted(
        entry.name.removesuffix(SUFFIX) for entry in folder.iterdir() if entry.name.endswith(SUFFIX)
    )


def read_text(package: str, name: str, kind: str) -> IniText:
    """Read a file by its path, or a packaged one by its name; `kind` is used in error messages.

    An existing file takes precedence over a packaged one of the same name.

    Raises:
        InvalidInputError: the file cannot be read.
    """
    packaged = packaged_names(package)
    if name in packaged and not Path(name).exists():
        path = f"{name}{SUFFIX}"
        return IniText(path, (importlib.resources.files(package) / EXPERIMENTS_FOLDER / path).read_text())
    try:
        return IniText(name, Path(name).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", error)
        raise InvalidInputError(
            f"{name}: no such {kind} (packaged ones are {', '.join(packaged)}), and as a file it cannot be "
            f"read: {reason}"
        ) from None


def parse_override(text: str) -> KeyOverride:
    """Parse `SECTION.KEY=VALUE` or `KEY=VALUE`. Raise InvalidInputError if there is no "="."""
    name, equals, value = text.partition("=")
    if not equals:
        raise InvalidInputError(f"--set {text!r:.{MAX_SHOWN_CHARS}}: expected KEY=VALUE")
    section, _, key = name.strip().rpartition(".")
    return KeyOverride(section, key, value.strip())


def sections_with(key: str, schemas: Schemas) -> list[str]:
    """Return the sections whose schema contains the key."""
    return [
        section
        for section, schema in schemas.items()
        if key in (field.name for field in msgspec.structs.fields(schema))
    ]


def apply_override(text: str, override: KeyOverride) -> str:
    """Return the text with the key set to the new value.

    If the section is missing, it is appended.
    """
    section, lines, found = "", [], False
    for line in text.splitlines():
        stripped = line.strip()
        if stripped.startswith("["):
            section = stripped.strip("[]")
        if section == override.section and line.partition("=")[0].strip() == override.key:
            continue
        lines.append(line)
        if stripped == f"[{override.section}]":
            found = True
            lines.append(f"{override.key} = {override.value}")
    if not found:
        lines += [f"[{override.section}]", f"{override.key} = {override.value}"]
    return "\n".join(lines)
