"""Check the platform's messages to the coordinator and convert them to typed messages.

Defines the names of the fields on the wire and the limits of their values. This module has no state and does
no I/O. Times in the typed messages are whole nanoseconds. A failed check raises `InvalidInputError`; the text
is one sentence with the reason.
"""

from collections.abc import Container
from dataclasses import dataclass
from typing import Any

import msgspec

from granitespool.endpoints import load_metrics
from granitespool.errors import InvalidInputError
from granitespool.fields import REPORTED_COUNT_MAX, REPORTED_TIME_MAX_MS, required_field, required_number
from granitespool.units import MILLISECOND

Message = dict[str, Any]  # a decoded object; "type" is a string, "" if the object has no type

# Values of the field "type"
PING = "ping"  # a readiness check, which is answered on every connection
PROXY_JOINING = "joined"
COLLECTOR_JOINING = "collector"
APPLIED = "applied"
LINK_REPORT = "heard"
USAGE_REPORT = "usage"

BARRIER_MAX = 65535  # the highest acknowledgement barrier, limited by the protocol


@dataclass(slots=True)
class KnownNames:
    """The names that a message may contain; a new configuration updates the instance in place."""

    backends: Container[str]  # backends that any endpoint list so far has contained
    request_classes: Container[str | None]
    zones: Container[str] = ()
    proxies_expected: int = 0  # valid proxy numbers are below this number


class ProxyJoin(msgspec.Struct, frozen=True, kw_only=True):
    """The first message of a proxy's stream."""

    proxy: int
    zone: str
    bootstrap: bool  # whether the proxy uses its bootstrap table; "cold" on the wire
    rate: float  # approximate requests per second; 0 if the message has no rate


class Acknowledgement(msgspec.Struct, frozen=True, kw_only=True):
    """A proxy's answer to an acknowledgement barrier: everything up to the barrier has been applied."""

    barrier: int
    latency: int  # ns


class LinkReport(msgspec.Struct, frozen=True, kw_only=True):
    """A load report: the attempts, failures and times that the proxies of a zone observed at a backend."""

    zone: str
    backend: str
    attempts: int | float
    failures: int | float
    mean: int  # ns, mean round trip of the attempts that did not fail
    window: int  # ns covered by the report
    # the backend's latest load metrics, by their names in this program; empty if the message has none
    load: dict[str, int | float]


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """The requests of one class that reached a proxy."""

    proxy: int
    request_class: str
    requests: int | float
    unanswered: int | float
    window: int  # ns covered by the report


def parse_proxy_join(message: Message, names: KnownNames) -> ProxyJoin:
    """Check the first message of a proxy; raise `InvalidInputError` if it is invalid."""
    proxy = _proxy_number(message, names)
    zone = _known_name(message, "locality", names.zones)
    rate = required_number(message, "w") if message.get("w") is not None else 0
    return ProxyJoin(proxy=proxy, zone=zone, bootstrap=required_field(message, "cold", bool), rate=rate)


def parse_collector_zone(message: Message, names: KnownNames) -> str:
    """Return the zone whose reports a collector forwards; raise `InvalidInputError` if it is unknown."""
    return _known_name(message, "locality", names.zones)


def parse_acknowledgement(message: Message, names: KnownNames, sender: int) -> Acknowledgement:
    """Check an acknowledgement on the stream of the proxy `sender`.

    Raise `InvalidInputError` if the acknowledgement is invalid.
    """
    barrier = required_number(message, "nonce", int, BARRIER_MAX)
    latency = _time(message, "latency")
    _own_proxy(message, names, sender)
    return Acknowledgement(barrier=barrier, latency=latency)


def parse_link_report(message: Message, names: KnownNames) -> LinkReport:
    """Check a load report; raise `InvalidInputError` if it is invalid."""
    attempts = _count(message, "total")
    failures = _count(message, "errors")
    load = required_field(message, "metrics", dict) if message.get("metrics") is not None else None
    if failures > attempts:
        raise InvalidInputError(f"a 'heard' reports {failures!r:.20} errors of {attempts!r:.20} attempts")
    return LinkReport(
        zone=_known_name(message, "locality", names.zones),
        backend=_known_name(message, "endpoint", names.backends),
        attempts=attempts,
        failures=failures,
        mean=_time(message, "rtt"),
        window=_time(message, "interval"),
        load=load_metrics(load),
    )


def parse_usage_report(message: Message, names: KnownNames, sender: int | None) -> UsageReport:
    """Check a usage report; raise `InvalidInputError` if it is invalid.

    `sender` is the number of the proxy on whose stream the report was received, or None for a collector.
    """
    return UsageReport(
        proxy=_own_proxy(message, names, sender),
        request_class=_known_name(message, "route", names.request_classes),
        requests=_count(message, "total"),
        unanswered=_count(message, "errors"),
        window=_time(message, "interval"),
    )


def _time(message: Message, key: str) -> int:
    """Return a required time, which is in ms in the message, in whole nanoseconds."""
    return int(required_number(message, key, maximum=REPORTED_TIME_MAX_MS) * MILLISECOND)


def _count(message: Message, key: str) -> int | float:
    count: int | float = required_number(message, key, maximum=REPORTED_COUNT_MAX)
    return count


def _known_name(message: Message, key: str, known: Container[str] | Container[str | None]) -> str:
    value: str = required_field(message, key, str)
    if value not in known:
        raise InvalidInputError(f"the field {key!r} of a {message['type']!r} names the unknown {value!r:.60}")
    return value


def _proxy_number(message: Message, names: KnownNames) -> int:
    number: int = required_number(message, "node", int)
    if number >= names.proxies_expected:
        raise InvalidInputError(f"a {message['type']!r} names the unknown proxy {number!r:.20}")
    return number


def _own_proxy(message: Message, names: KnownNames, sender: int | None) -> int:
    """Return the proxy number in a message; on a proxy's stream only the proxy's own number is valid."""
    if sender is not None and message.get("node") == sender:
        return sender  # a joined proxy stays valid even if a new configuration expects fewer proxies
    number = _proxy_number(message, names)
    if sender is not None and number != sender:
        raise InvalidInputError(f"a {message['type']!r} names the proxy {number} on another's stream")
    return number
