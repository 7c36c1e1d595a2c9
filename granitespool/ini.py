"""INI files of sections, each checked against a schema (a msgspec Struct) to the last key.

What is wrong ends in InvalidInputError with one sentence that names the file, the section, the key, what was
found and what would do."""

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
"""The Struct of each section; a name such as "user.*" stands for any [user.NAME]."""

PathKeys: TypeAlias = Collection[tuple[str, str]]
"""(section, key) of the values that are paths."""

MAX_FILE_BYTES = 1 << 20  # an example with every key commented takes a hundredth
MAX_SHOWN_CHARS = 60  # of a wrong name or value that a sentence repeats


def load(path: str, schemas: Schemas, path_keys: PathKeys = ()) -> dict[str, msgspec.Struct]:
    """The sections of a file; relative paths in it stand beside it.

    Raises:
        InvalidInputError: the file cannot be read, or not all of it fits the schemas.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text = data.decode() if len(data) <= MAX_FILE_BYTES else None
    except OSError as error:
        raise _invalid(path, f"it cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise _invalid(path, f"byte {error.start} is not UTF-8") from None
    if text is None:
        raise _invalid(path, f"it is over {MAX_FILE_BYTES} bytes")
    return parse(path, text, schemas, path_keys)


def parse(path: str, text: str, schemas: Schemas, path_keys: PathKeys = ()) -> dict[str, msgspec.Struct]:
    """The same of a text; `path` names it in errors, and is where relative paths stand beside."""
    parser = _parsed(path, text)
    sections = {}
    for name in parser.sections():
        schema = schemas.get(name)
        if schema is None and "." in name:
            schema = schemas.get(name.partition(".")[0] + ".*")
        if schema is None:
            shown = f"{name:.{MAX_SHOWN_CHARS}}"
            raise _invalid(path, f"the section [{shown}] is unknown{_nearest(name, schemas)}")
        sections[name] = _Section(path, name, path_keys).parse(schema, dict(parser[name]))
    return sections


def _invalid(path: str, reason: str) -> InvalidInputError:
    return InvalidInputError(f"{path}: {reason}")


def _parsed(path: str, text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", strict=True, delimiters=("=",), comment_prefixes=("#", ";")
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]  # keys keep their case
    try:
        parser.read_string(text)
    except configparser.DuplicateSectionError as error:
        reason = f"[{error.section}] stands twice, the second time in line {error.lineno}"
        raise _invalid(path, reason) from None
    except configparser.DuplicateOptionError as error:
        reason = f"[{error.section}] {error.option} stands twice, the second time in line {error.lineno}"
        raise _invalid(path, reason) from None
    except configparser.MissingSectionHeaderError as error:
        raise _invalid(path, f"line {error.lineno} stands before any [section]") from None
    except configparser.ParsingError as error:
        raise _invalid(path, f"line {error.errors[0][0]} is no 'key = value'") from None
    except configparser.Error as error:
        raise _invalid(path, " ".join(str(error).split())) from None
    return parser


class _Section(NamedTuple):
    """Where a section stands, for errors and relative paths."""

    path: str
    name: str
    path_keys: PathKeys

    def parse(self, schema: type[msgspec.Struct], texts: Mapping[str, str]) -> msgspec.Struct:
        """The Struct of the section's keys."""
        fields = {field.name: field for field in msgspec.structs.fields(schema)}
        values = {}
        for key, text in texts.items():
            if key not in fields:
                reason = f"{key:.{MAX_SHOWN_CHARS}} is unknown{_nearest(key, fields)}"
                raise self._invalid(reason)
            values[key] = self._value(fields[key], text)
        for key, field in fields.items():
            if field.required and key not in values:
                reason = f"lacks {key}, {_wanted(field.type)}"
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
            raise self._unfit(field, text) from None
        if isinstance(value, float) and not math.isfinite(value):
            raise self._unfit(field, text)
        if (self.name, field.name) in self.path_keys:
            # pathlib would rewrite what the operator wrote, and the settings show it.
            return os.path.join(os.path.dirname(os.path.abspath(self.path)), value)  # noqa: PTH100, PTH118, PTH120
        return value

    def _unfit(self, field: msgspec.structs.FieldInfo, text: str) -> InvalidInputError:
        shown = f"{text!r:.{MAX_SHOWN_CHARS}}"
        return self._invalid(f"{field.name} is {shown}, where {_wanted(field.type)} would do")


def _wanted(field_type: Any) -> str:  # noqa: ANN401 a type or an annotation
    """What a field takes, in words, from its schema alone."""
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
    """A limit without an exponent."""
    return f"{number:,}".replace(",", "")


def _nearest(name: str, known: Iterable[str]) -> str:
    names = list(known)
    near = difflib.get_close_matches(name, names, 1)
    return f"; the nearest known name is {near[0]}" if near else f"; known are {', '.join(names)}"
