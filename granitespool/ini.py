"""Parsing of INI files whose sections are validated against schemas (msgspec Structs).

Every section and key has to be part of its schema. InvalidInputError names the file, the section, the key,
the value that was found and what is expected.
"""

import configparser
import difflib
import math
import os
from collections.abc import Collection, Iterable, Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypeAlias

import msgspec
from msgspec import inspect

from granitespool.errors import InvalidInputError

Schemas: TypeAlias = Mapping[str, type[msgspec.Struct]]
"""Schemas by section name; the name "user.*" stands for all sections [user.NAME]."""

PathKeys: TypeAlias = Collection[tuple[str, str]]
"""Pairs (section, key) of the values that are paths."""

MAX_FILE_BYTES = 1 << 20  # a file with every key and its comments takes a hundredth of it
MAX_SHOWN_CHARS = 60  # maximum length of an invalid name or value in an error message


def load(path: str, schemas: Schemas, path_keys: PathKeys = ()) -> dict[str, msgspec.Struct]:
    """Return the sections of a file; relative paths in it are resolved against its folder.

    Raises:
        InvalidInputError: the file cannot be read or does not match the schemas.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text = data.decode() if len(data) <= MAX_FILE_BYTES else None
    except OSError as error:
        raise _invalid(path, f"the file cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise _invalid(path, f"byte {error.start} is not UTF-8") from None
    if text is None:
        raise _invalid(path, f"the file is larger than {MAX_FILE_BYTES} bytes")
    return parse(path, text, schemas, path_keys)


def parse(path: str, text: str, schemas: Schemas, path_keys: PathKeys = ()) -> dict[str, msgspec.Struct]:
    """Return the sections of `text` as `load` does; `path` is the file that contains the text."""
    parser = _parse_text(path, text)
    sections = {}
    for name in parser.sections():
        schema = schemas.get(name)
        if schema is None and "." in name:
            schema = schemas.get(name.partition(".")[0] + ".*")
        if schema is None:
            shown = f"{name:.{MAX_SHOWN_CHARS}}"
            raise _invalid(path, f"the section [{shown}] is unknown{_suggestion(name, schemas)}")
        sections[name] = _Section(path, name, path_keys).parse(schema, dict(parser[name]))
    return sections


def _invalid(path: str, reason: str) -> InvalidInputError:
    return InvalidInputError(f"{path}: {reason}")


def _parse_text(path: str, text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", strict=True, delimiters=("=",), comment_prefixes=("#", ";")
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]  # keys keep their case
    try:
        parser.read_string(text)
    except configparser.DuplicateSectionError as error:
        reason = f"[{error.section}] is duplicated in line {error.lineno}"
        raise _invalid(path, reason) from None
    except configparser.DuplicateOptionError as error:
        reason = f"[{error.section}] {error.option} is duplicated in line {error.lineno}"
        raise _invalid(path, reason) from None
    except configparser.MissingSectionHeaderError as error:
        raise _invalid(path, f"line {error.lineno} precedes the first [section]") from None
    except configparser.ParsingError as error:
        raise _invalid(path, f"line {error.errors[0][0]} is not of the form 'key = value'") from None
    except configparser.Error as error:
        raise _invalid(path, " ".join(str(error).split())) from None
    return parser


class _Section(NamedTuple):
    """A section of a file; `path` is used in errors and to resolve relative paths."""

    path: str
    name: str
    path_keys: PathKeys

    def parse(self, schema: type[msgspec.Struct], texts: Mapping[str, str]) -> msgspec.Struct:
        """Return an instance of `schema` with the values of the section's keys."""
        fields = {field.name: field for field in msgspec.structs.fields(schema)}
        values = {}
        for key, text in texts.items():
            if key not in fields:
                reason = f"{key:.{MAX_SHOWN_CHARS}} is unknown{_suggestion(key, fields)}"
                raise self._invalid(reason)
            values[key] = self._value(fields[key], text)
        for key, field in fields.items():
            if field.required and key not in values:
                reason = f"the key {key} is missing, expected {_expected(field.type)}"
                raise self._invalid(reason)
        try:
            return schema(**values)
        except ValueError as error:
            raise self._invalid(str(error)) from None

    def _invalid(self, reason: str) -> InvalidInputError:
        return _invalid(self.path, f"[{self.name}] {reason}")

    def _value(self, field: msgspec.structs.FieldInfo, text: str) -> Any:  # noqa: ANN401 as the schema says
        try:
            value = msgspec.convert(text, field.type, strict=False)
        except msgspec.ValidationError:
            raise self._invalid_value(field, text) from None
        if isinstance(value, float) and not math.isfinite(value):
            raise self._invalid_value(field, text)
        if (self.name, field.name) in self.path_keys:
            # Unlike pathlib, os.path.join keeps the path as the operator wrote it, which the settings show.
            return os.path.join(os.path.dirname(os.path.abspath(self.path)), value)  # noqa: PTH100, PTH118, PTH120
        return value

    def _invalid_value(self, field: msgspec.structs.FieldInfo, text: str) -> InvalidInputError:
        shown = f"{text!r:.{MAX_SHOWN_CHARS}}"
        return self._invalid(f"{field.name} is {shown}, expected {_expected(field.type)}")


def _expected(field_type: Any) -> str:  # noqa: ANN401 a type or an annotation
    """Return a description of the values that a field accepts, derived from its type."""
    info = inspect.type_info(field_type)
    if isinstance(info, inspect.BoolType):
        return "true or false"
    if isinstance(info, (inspect.IntType, inspect.FloatType)):
        kind = "a whole number" if isinstance(info, inspect.IntType) else "a number"
        return f"{kind} from {_digits(info.ge)} to {_digits(info.le)}"
    if isinstance(info, inspect.LiteralType):
        return "one of " + ", ".join(map(str, info.values))
    return "a text that is not empty"


def _digits(number: float | None) -> str:
    """Return a number in decimal digits without an exponent."""
    return f"{number:,}".replace(",", "")


def _suggestion(name: str, known: Iterable[str]) -> str:
    """Return the end of an error message: the known name closest to `name`, or all known names."""
    names = list(known)
    closest = difflib.get_close_matches(name, names, 1)
    return f"; did you mean {closest[0]}?" if closest else f"; known names are {', '.join(names)}"
