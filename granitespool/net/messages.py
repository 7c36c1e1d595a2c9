"""The platform's messages at the coordinator's address, checked and turned into typed words.

Owns the wire's names of the fields and the limits of what they may hold. It never touches a socket, keeps
nothing between messages and reports to nobody: who calls it does. Times are whole nanoseconds in what it
returns. Every check ends in `InvalidInputError`, whose text says in one sentence what is wrong."""

from collections.abc import Container
from dataclasses import dataclass
from typing import Any

import msgspec

from granitespool.endpoints import load_metrics
from granitespool.errors import InvalidInputError
from granitespool.fields import REPORTED_COUNT_MAX, REPORTED_TIME_MAX_MS, required_field, required_number
from granitespool.units import MILLISECOND

Message = dict[str, Any]  # one object of the wire; its "type" is text, and empty where it had none

PING = "ping"  # the readiness check, answered on every connection
PROXY_JOINING = "joined"
COLLECTOR_JOINING = "collector"
APPLIED = "applied"
LINK_REPORT = "heard"
USAGE_REPORT = "usage"

BARRIER_MAX = 65535  # the highest mark: the protocol's


@dataclass(slots=True)
class KnownNames:
    """The names that a message may use; a later configuration changes them in place."""

    backends: Container[str]  # those the list has named
    request_classes: Container[str | None]
    zones: Container[str] = ()
    proxies_expected: int = 0  # proxies are numbered from 0 up to this less 1


class ProxyJoin(msgspec.Struct, frozen=True, kw_only=True):
    """The first message of a proxy's stream."""

    proxy: int
    zone: str
    bootstrap: bool  # "cold" on the wire: the proxy holds no table that was ordered
    rate: float  # requests a second, roughly; 0 where it was not told


class Acknowledgement(msgspec.Struct, frozen=True, kw_only=True):
    """A proxy has applied everything up to a mark."""

    barrier: int
    latency: int  # ns


class LinkReport(msgspec.Struct, frozen=True, kw_only=True):
    """What the proxies of a zone met at a backend."""

    zone: str
    backend: str
    attempts: int | float
    failures: int | float
    mean: int  # ns that a try took, of those that did not fail
    window: int  # ns that the report covers
    load: dict[str, int | float]  # the latest load report in our words; empty where there was none


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """The requests of one class that reached a proxy."""

    proxy: int
    request_class: str
    requests: int | float
    unanswered: int | float
    window: int  # ns that the report covers


def parse_proxy_join(message: Message, names: KnownNames) -> ProxyJoin:
    """A joining with known names, or `InvalidInputError`."""
    proxy = _proxy_number(message, names)
    zone = _known_name(message, "locality", names.zones)
    rate = required_number(message, "w") if message.get("w") is not None else 0
    return ProxyJoin(proxy=proxy, zone=zone, bootstrap=required_field(message, "cold", bool), rate=rate)


def parse_collector_zone(message: Message, names: KnownNames) -> str:
    """The zone whose reports a collector forwards, or `InvalidInputError`."""
    return _known_name(message, "locality", names.zones)


def parse_acknowledgement(message: Message, names: KnownNames, sender: int) -> Acknowledgement:
    """An answer to a mark on the stream of the proxy `sender`, or `InvalidInputError`."""
    barrier = required_number(message, "nonce", int, BARRIER_MAX)
    latency = _time(message, "latency")
    _own_proxy(message, names, sender)
    return Acknowledgement(barrier=barrier, latency=latency)


def parse_link_report(message: Message, names: KnownNames) -> LinkReport:
    """A zone's report of a backend, or `InvalidInputError`."""
    attempts = _count(message, "total")
    failures = _count(message, "errors")
    load = required_field(message, "metrics", dict) if message.get("metrics") is not None else None
    if failures > attempts:
        raise InvalidInputError(f"a 'heard' tells {failures!r:.20} errors of {attempts!r:.20} tries")
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
    """A proxy's usage, or `InvalidInputError`; `sender` is its stream's proxy, None for a collector."""
    return UsageReport(
        proxy=_own_proxy(message, names, sender),
        request_class=_known_name(message, "route", names.request_classes),
        requests=_count(message, "total"),
        unanswered=_count(message, "errors"),
        window=_time(message, "interval"),
    )


def _time(message: Message, key: str) -> int:
    """A time that must be there, in whole nanoseconds."""
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
    """The proxy that a message names: on a proxy's stream that proxy alone."""
    if sender is not None and message.get("node") == sender:
        return sender  # also where a new configuration expects fewer proxies: who joined stays
    number = _proxy_number(message, names)
    if sender is not None and number != sender:
        raise InvalidInputError(f"a {message['type']!r} names the proxy {number} on another's stream")
    return number
