"""Checks of single fields that come from outside; each raises `InvalidInputError` with one sentence."""

from collections.abc import Mapping
from math import isfinite
from typing import Any

from granitespool.errors import InvalidInputError

NUMBER_TYPES = (int, float)
VALUE_MAX = 1e18  # above it a value is no time or weight: Unix time in microseconds is a thousandth of it
REPORTED_COUNT_MAX = 1e6  # attempts or requests in one report: a thousand proxies' thousand in a second
REPORTED_TIME_MAX_MS = 3.6e6  # ms of a span that a report tells: an hour, longer than any client waits


def required_field(source: Mapping[str, Any], key: str, kind: type | tuple[type, ...] = object) -> Any:
    """A field that must be there and of this type; a number must be finite, and true is no number."""
    value = source.get(key)
    if value is None:
        raise InvalidInputError(f"a {_name_of(source)} lacks the field {key!r}")
    if _is_wrong_type(value, kind) or _is_not_finite(value):
        raise InvalidInputError(f"the field {key!r} of a {_name_of(source)} holds {value!r:.40}")
    return value


def required_number(
    source: Mapping[str, Any],
    key: str,
    kind: type | tuple[type, ...] = NUMBER_TYPES,
    maximum: float = VALUE_MAX,
) -> Any:
    """A number that must be there, from 0 to `maximum`."""
    value = required_field(source, key, kind)
    if not 0 <= value <= maximum:
        raise InvalidInputError(f"the field {key!r} of a {_name_of(source)} is {value!r:.40}")
    return value


def is_number(value: object) -> bool:
    """Whether a value is an int or a float, and not a bool."""
    return isinstance(value, NUMBER_TYPES) and not isinstance(value, bool)


def _name_of(source: Mapping[str, Any]) -> str:
    return f"{source.get('type', 'list entry')!r:.40}"


def _is_wrong_type(value: object, kind: type | tuple[type, ...]) -> bool:
    if isinstance(value, bool) and kind is not bool and kind is not object:
        return True
    return not isinstance(value, kind)


def _is_not_finite(value: object) -> bool:
    return isinstance(value, float) and not isfinite(value)
