"""INI files of sections, each checked against a schema (a msgspec Struct) to the last key.

`load(path, schemas)` and `parse(path, text, schemas)` give {section: Struct} for the sections that are
there, or raise InvalidInputError: one sentence that names the file, the section, the key, what was found and
what would do."""

import configparser
import difflib
import math
import os

import msgspec
from msgspec import inspect

from granitespool.errors import InvalidInputError

LARGEST = 1 << 20  # bytes of a file that are read: an example with every key commented takes a hundredth
FOUND = 60  # characters of a wrong value that a sentence repeats


def load(path, schemas, paths=()):
    """{section: Struct} of a file; `schemas`: {section: Struct's type}, "user.*" for any [user.NAME];
    `paths`: (section, key) of values
    that are paths, relative ones stand beside the file."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
        if len(data) > LARGEST:
            raise InvalidInputError(f"{path}: it is over {LARGEST} bytes")
        return parse(path, data.decode(), schemas, paths)
    except OSError as error:
        raise InvalidInputError(f"{path}: it cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidInputError(f"{path}: byte {error.start} is not UTF-8") from None


def parse(path, text, schemas, paths=()):
    """The same of a text; `path` names it in sentences."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", strict=True, delimiters=("=",), comment_prefixes=("#", ";")
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except (configparser.DuplicateSectionError, configparser.DuplicateOptionError) as error:
        what = f"[{error.section}]" + (f" {error.option}" if hasattr(error, "option") else "")
        raise InvalidInputError(
            f"{path}: {what} stands twice, the second time in line {error.lineno}"
        ) from None
    except configparser.MissingSectionHeaderError as error:
        raise InvalidInputError(f"{path}: line {error.lineno} stands before any [section]") from None
    except configparser.ParsingError as error:
        raise InvalidInputError(f"{path}: line {error.errors[0][0]} is no 'key = value'") from None
    except configparser.Error as error:
        raise InvalidInputError(f"{path}: {' '.join(str(error).split())}") from None
    sections = {}
    for name in parser.sections():
        schema = schemas.get(name) or schemas.get(name.partition(".")[0] + ".*" if "." in name else None)
        if schema is None:
            raise InvalidInputError(
                f"{path}: the section [{name:.{FOUND}}] is unknown{_nearest(name, schemas)}"
            )
        sections[name] = _section(path, name, schema, dict(parser[name]), paths)
    return sections


def _section(path, name, struct, told, paths):
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    values = {}
    for key, text in told.items():
        if key not in fields:
            raise InvalidInputError(f"{path}: [{name}] {key:.{FOUND}} is unknown{_nearest(key, fields)}")
        values[key] = _value(path, name, fields[key], text, paths)
    for key, field in fields.items():
        if field.required and key not in values:
            raise InvalidInputError(f"{path}: [{name}] lacks {key}, {_wanted(field.type)}")
    try:
        return struct(**values)
    except ValueError as error:
        raise InvalidInputError(f"{path}: [{name}] {error}") from None


def _value(path, name, field, text, paths):
    try:
        value = msgspec.convert(text, field.type, strict=False)
        if isinstance(value, float) and not math.isfinite(value):
            raise msgspec.ValidationError
    except msgspec.ValidationError:
        raise InvalidInputError(
            f"{path}: [{name}] {field.name} is {text!r:.{FOUND}}, where {_wanted(field.type)} would do"
        ) from None
    if (name, field.name) in paths:
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
