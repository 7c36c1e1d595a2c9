"""The operator's settings: one INI file, a section for each subsystem, a subsystem off where its section is absent.

`load(path)` gives an Operator, or ends in BadInput with one sentence that names the file, the section, the key,
what was found and what would do. Each key has its unit in its name. Nothing here knows what a section is for."""
import configparser
import difflib
import math
import os
from typing import Annotated

import msgspec
from msgspec import Meta, inspect

from granitespool.settings import BadInput

LARGEST = 1 << 20  # bytes of the file that are read: an example with every key commented takes a hundredth
FOUND = 60         # characters of a wrong value that a sentence repeats


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


class Operator(msgspec.Struct, frozen=True, kw_only=True):
    """The whole file; None for a section that is absent."""

    state: State | None = None


SECTIONS = {"state": State}
PATHS = frozenset([("state", "folder")])  # values that are paths: relative ones stand beside the file


def load(path):
    """The Operator of an INI file, or BadInput with one sentence."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
        if len(data) > LARGEST:
            raise BadInput(f"{path}: it is over {LARGEST} bytes")
        return parse(path, data.decode())
    except OSError as error:
        raise BadInput(f"{path}: the operator's settings cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise BadInput(f"{path}: byte {error.start} is not UTF-8") from None


def parse(path, text):
    """The Operator of an INI text; `path` names it in sentences, and relative paths stand beside it."""
    parser = configparser.ConfigParser(interpolation=None, default_section="", strict=True,
                                       delimiters=("=",), comment_prefixes=("#", ";"))
    parser.optionxform = str
    try:
        parser.read_string(text)
    except (configparser.DuplicateSectionError, configparser.DuplicateOptionError) as error:
        what = f"[{error.section}]" + (f" {error.option}" if hasattr(error, "option") else "")
        raise BadInput(f"{path}: {what} stands twice, the second time in line {error.lineno}") from None
    except configparser.MissingSectionHeaderError as error:
        raise BadInput(f"{path}: line {error.lineno} stands before any [section]") from None
    except configparser.ParsingError as error:
        raise BadInput(f"{path}: line {error.errors[0][0]} is no 'key = value'") from None
    except configparser.Error as error:
        raise BadInput(f"{path}: {' '.join(str(error).split())}") from None
    sections = {}
    for name in parser.sections():
        if name not in SECTIONS:
            raise BadInput(f"{path}: the section [{name:.{FOUND}}] is unknown{_nearest(name, SECTIONS)}")
        sections[name] = _section(path, name, SECTIONS[name], dict(parser[name]))
    return Operator(**sections)


def _section(path, name, struct, told):
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    values = {}
    for key, text in told.items():
        if key not in fields:
            raise BadInput(f"{path}: [{name}] {key:.{FOUND}} is unknown{_nearest(key, fields)}")
        values[key] = _value(path, name, fields[key], text)
    for key, field in fields.items():
        if field.required and key not in values:
            raise BadInput(f"{path}: [{name}] lacks {key}, {_wanted(field.type)}")
    try:
        return struct(**values)
    except ValueError as error:
        raise BadInput(f"{path}: [{name}] {error}") from None


def _value(path, name, field, text):
    try:
        value = msgspec.convert(text, field.type, strict=False)
        if isinstance(value, float) and not math.isfinite(value):
            raise msgspec.ValidationError
    except msgspec.ValidationError:
        raise BadInput(f"{path}: [{name}] {field.name} is {text!r:.{FOUND}}, where "
                       f"{_wanted(field.type)} would do") from None
    if (name, field.name) in PATHS:
        value = os.path.join(os.path.dirname(os.path.abspath(path)), value)
    return value


def _wanted(kind):
    """What a field takes, in words, from its schema alone."""
    info = inspect.type_info(kind)
    if isinstance(info, inspect.BoolType):
        return "true or false"
    if isinstance(info, (inspect.IntType, inspect.FloatType)):
        word = "a whole number" if isinstance(info, inspect.IntType) else "a number"
        return f"{word} from {info.ge:,} to {info.le:,}".replace(",", "")
    if isinstance(info, inspect.LiteralType):
        return "one of " + ", ".join(map(str, info.values))
    return "a text that is not empty"


def _nearest(name, known):
    near = difflib.get_close_matches(name, list(known), 1)
    return f"; the nearest known name is {near[0]}" if near else f"; known are {', '.join(known)}"


def restart_names(before, now):
    """The names, as section.key, of what differs and cannot change while the service runs."""
    old, new = (each.state if each else None for each in (before, now))
    if (old is None) != (new is None) or old and old.folder != new.folder:
        return ["state.folder"]
    return []


def summary(operator):
    """One line for a person: which sections are on, and with what."""
    on = [f"[{name}] " + ", ".join(f"{key} {value}" for key, value in msgspec.structs.asdict(
        getattr(operator, name)).items()) for name in SECTIONS if getattr(operator, name) is not None]
    return "; ".join(on) or "no section, everything is off"
