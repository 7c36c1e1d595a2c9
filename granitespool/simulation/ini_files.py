"""Experiments and scenarios as INI files: those that come with the program, others, and changes of keys."""

import importlib.resources
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from granitespool.errors import InvalidInputError

SUFFIX = ".ini"
EXPERIMENTS_FOLDER = "experiments"  # in a package
MAX_SHOWN_CHARS = 60  # characters of a wrong change that a sentence repeats

Schemas = Mapping[str, type[msgspec.Struct]]  # section -> what it may hold


class IniText(NamedTuple):
    """The text of a file, and what sentences call it."""

    path: str
    text: str


class KeyOverride(NamedTuple):
    """Another value for one key, as `--set SECTION.KEY=VALUE` gives it."""

    section: str  # "" where none was named
    key: str
    value: str


def packaged_names(package: str) -> list[str]:
    """The names of the files that come with a package."""
    folder = importlib.resources.files(package) / EXPERIMENTS_FOLDER
    return sorted(
        entry.name.removesuffix(SUFFIX) for entry in folder.iterdir() if entry.name.endswith(SUFFIX)
    )


def read_text(package: str, name: str, kind: str) -> IniText:
    """The file of a path, or of a name that `names` has; `kind` is what sentences call such a file.

    Raises InvalidInputError where it cannot be read."""
    known = packaged_names(package)
    if name in known and not Path(name).exists():
        path = f"{name}{SUFFIX}"
        return IniText(path, (importlib.resources.files(package) / EXPERIMENTS_FOLDER / path).read_text())
    try:
        return IniText(name, Path(name).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", error)
        raise InvalidInputError(
            f"{name}: no such {kind} ({', '.join(known)} come with the program), and as a file it cannot be "
            f"read: {reason}"
        ) from None


def parse_override(text: str) -> KeyOverride:
    """A change from its text. Raises InvalidInputError where it has no value."""
    name, equals, value = text.partition("=")
    if not equals:
        raise InvalidInputError(f"--set {text!r:.{MAX_SHOWN_CHARS}} is no KEY=VALUE")
    section, _, key = name.strip().rpartition(".")
    return KeyOverride(section, key, value.strip())


def sections_with(key: str, schemas: Schemas) -> list[str]:
    """The sections that have a key."""
    return [
        section
        for section, schema in schemas.items()
        if key in (field.name for field in msgspec.structs.fields(schema))
    ]


def apply_override(text: str, change: KeyOverride) -> str:
    """The text with another value for a key, in place of a former one."""
    section, lines, found = "", [], False
    for line in text.splitlines():
        stripped = line.strip()
        if stripped.startswith("["):
            section = stripped.strip("[]")
        if section == change.section and line.partition("=")[0].strip() == change.key:
            continue
        lines.append(line)
        if stripped == f"[{change.section}]":
            found = True
            lines.append(f"{change.key} = {change.value}")
    if not found:
        lines += [f"[{change.section}]", f"{change.key} = {change.value}"]
    return "\n".join(lines)
