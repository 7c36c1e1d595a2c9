"""Validation of single fields of external input; invalid fields raise `InvalidInputError`."""

from collections.abc import Mapping
from math import isfinite
from typing import Any

from granitespool.errors import InvalidInputError

NUMBER_TYPES = (int, float)
# Upper limit of times and weights. The Unix time in microseconds is about a thousandth of it.
VALUE_MAX = 1e18
# Maximum number of attempts or requests in one report: a thousand proxies send a thousand each in a second.
REPORTED_COUNT_MAX = 1e6
# Maximum duration in a report, in ms. It is one hour, which is longer than any client waits.
REPORTED_TIME_MAX_MS = 3.6e6


def required_field(source: Mapping[str, Any], key: str, kind: type | tuple[type, ...] = object) -> Any:
    """Return a mandatory field of the type `kind`; booleans do not count as numbers.

    Raises InvalidInputError if the field is missing, of another type or not finite.
    """
    value = source.get(key)
    if value is None:
        raise InvalidInputError(f"a {_name_of(source)} lacks the field {key!r}")
    if _is_wrong_type(value, kind) or _is_not_finite(value):
        raise InvalidInputError(f"the field {key!r} of a {_name_of(source)} is invalid: {value!r:.40}")
    return value


def required_number(
    source: Mapping[str, Any],
    key: str,
    kind: type | tuple[type, ...] = NUMBER_TYPES,
    maximum: float = VALUE_MAX,
) -> Any:
    """Return a mandatory number between 0 and `maximum`.

    Raises InvalidInputError if the field is missing, not a number or out of range.
    """
    value = required_field(source, key, kind)
    if not 0 <= value <= maximum:
        raise InvalidInputError(f"the field {key!r} of a {_name_of(source)} is out of range: {value!r:.40}")
    return value


def is_number(value: object) -> bool:
    """Return whether a value is an int or a float, but not a bool."""
    return isinstance(value, NUMBER_TYPES) and not isinstance(value, bool)


def _name_of(source: Mapping[str, Any]) -> str:
    return f"{source.get('type', 'list entry')!r:.40}"


def _is_wrong_type(value: object, kind: type | tuple[type, ...]) -> bool:
    if isinstance(value, bool) and kind is not bool and kind is not object:
        return True
    return not isinstance(value, kind)


def _is_not_finite(value: object) -> bool:
    return isinstance(value, float) and not isfinite(value)
