"""Deployment settings of a coordinator as typed records, and their parsing from the wire format.

Wire names are used only in this module. Times are integer nanoseconds, and None means that a setting is
unset. Defaults of unset values are chosen by the modules that use them.
"""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from granitespool.errors import InvalidInputError
from granitespool.fields import required_number
from granitespool.units import MICROSECOND, SECOND

DEFAULT_LATENCY_OBJECTIVE = SECOND  # ns
DEFAULT_PRIORITY_WEIGHT = 1


class Admission(StrEnum):
    """Method by which proxies enforce the admitted share of a request class."""

    FRACTION = "fraction"
    PER_SECOND = "per_second"
    NONE = "none"


class RequestClass(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and properties of a request class."""

    name: str | None = None
    effect: str | None = None  # whether repeated attempts are safe: free, guarded or single_shot
    idempotency_scope: str | None = None  # where a repeated key is recognized: all, zone or cell
    idempotency_window: int | None = None  # ns
    latency_objective: int | None = None  # ns
    timeout: int | None = None  # ns
    priority_weight: float | None = None
    late_share: float | None = None  # value of a late answer as a share of the priority weight
    writes: bool | None = None
    zone_local: bool | None = None

    @property
    def effective_latency_objective(self) -> int:
        """Latency objective in ns; one second if it is unset."""
        return DEFAULT_LATENCY_OBJECTIVE if self.latency_objective is None else self.latency_objective

    @property
    def effective_priority_weight(self) -> float:
        """Priority weight; it is equal for all classes that leave it unset."""
        return DEFAULT_PRIORITY_WEIGHT if self.priority_weight is None else self.priority_weight


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a deployment, as one coordinator receives them."""

    classes: list[RequestClass] = []
    zones: list[str] = []
    zone: str | None = None  # zone of this coordinator
    coordinator_index: int | None = None
    coordinators: int | None = None
    health_checks_allowed: bool | None = None
    gossip_allowed: bool = False
    subscribe: bool = False  # whether discovery pushes changes of the endpoint list
    connect_timeout: int | None = None  # ns
    admission: str | None = None  # a value of `Admission`
    entries_per_s: float | None = None  # maximum rate of the channel to all proxies
    message_header: float | None = None  # fixed cost of a message, in entries
    backlog_limit: float | None = None  # maximum of entries queued in the channel
    messages_limit: int | None = None  # maximum number of messages to one proxy in `messages_span`
    messages_span: int | None = None  # ns
    message_delay: int | None = None  # ns
    message_delay_max: int | None = None  # ns
    report_interval: int | None = None  # ns
    reports_per_s: float | None = None
    proxy_ejection_failures: int | None = None  # consecutive failures until a proxy avoids a backend
    attempt_factor: float | None = None
    bootstrap_entries: int = 0  # maximum of entries in the bootstrap table of a proxy
    default_retries: int = 0
    empty_table_limit: int | None = None  # ns
    proxies_expected: int | None = None
    slices: int | None = None
    single_owner: bool = False  # whether a slice is owned by a single coordinator
    lease_duration: int | None = None  # ns
    write_lifetime: int | None = None  # ns
    buffer_time: int | None = None  # ns
    drain_grace: int | None = None  # ns during which a draining backend may still receive requests
    poll_interval_max: int | None = None  # ns
    warm_up_time: int | None = None  # ns after which a new backend has its full capacity
    warm_up_start_share: float | None = None  # share of its capacity that a new backend starts with
    overload_multiple: float = 0  # multiple of its capacity at which a backend that warms up fails
    overload_time: int | None = None  # ns
    removal_needs_drain: bool = False  # whether an unlisted backend drains before it is removed

    @property
    def effective_message_header(self) -> float:
        """Fixed cost of a message in entries; 0 if it is unset."""
        return self.message_header or 0

    @property
    def effective_warm_up_start_share(self) -> float:
        """Share of its capacity that a new backend starts with; 0 if it is unset."""
        return self.warm_up_start_share or 0

    @property
    def class_names(self) -> list[str | None]:
        """Names of the request classes, in their configured order."""
        return [request_class.name for request_class in self.classes]


class WireSetting(NamedTuple):
    """Path and kind of a setting in the wire format."""

    path: str
    is_time: bool = False  # whether it is a duration, which has microseconds on the wire
    is_number: bool = False


def _time_setting(path: str) -> WireSetting:
    return WireSetting(path, is_time=True)


def _number_setting(path: str) -> WireSetting:
    return WireSetting(path, is_number=True)


SETTING_FIELDS = {
    "zones": WireSetting("zones"),
    "zone": WireSetting("zone"),
    "coordinator_index": _number_setting("index"),
    "coordinators": _number_setting("balancers"),
    "health_checks_allowed": WireSetting("permissions.probes"),
    "gossip_allowed": WireSetting("permissions.peers"),
    "connect_timeout": _time_setting("permissions.connect_timeout_us"),
    "admission": WireSetting("family_info.admit"),
    "entries_per_s": _number_setting("family_info.egress_per_s"),
    "message_header": _number_setting("family_info.envelope"),
    "backlog_limit": _number_setting("family_info.most_waiting"),
    "messages_limit": _number_setting("family_info.messages_most"),
    "messages_span": _time_setting("family_info.counted_over_us"),
    "message_delay": _time_setting("family_info.push_delay_us"),
    "message_delay_max": _time_setting("family_info.worst_transit_us"),
    "report_interval": _time_setting("family_info.report_every_us"),
    "reports_per_s": _number_setting("family_info.ingest_rate"),
    "proxy_ejection_failures": _number_setting("family_info.outlier_after"),
    "attempt_factor": _number_setting("family_info.try_factor"),
    "bootstrap_entries": _number_setting("family_info.bootstrap"),
    "default_retries": _number_setting("family_info.default_retry"),
    "empty_table_limit": _time_setting("family_info.empty_for_us"),
    "proxies_expected": _number_setting("family_info.proxy_count"),
    "slices": _number_setting("family_info.slices"),
    "single_owner": WireSetting("family_info.one_owner"),
    "lease_duration": _time_setting("family_info.lease_us"),
    "write_lifetime": _time_setting("family_info.write_life_us"),
    "buffer_time": _time_setting("family_info.buffer_for_us"),
    "drain_grace": _time_setting("rules.stop_sending_within_us"),
    "poll_interval_max": _time_setting("rules.ask_within_us"),
    "warm_up_time": _time_setting("rules.cold_us"),
    "warm_up_start_share": _number_setting("rules.cold_from"),
    "overload_multiple": _number_setting("rules.fall_multiple"),
    "overload_time": _time_setting("rules.fall_us"),
    "removal_needs_drain": WireSetting("rules.soft_removal"),
}
CLASS_FIELDS = {
    "name": WireSetting("name"),
    "effect": WireSetting("semantics"),
    "idempotency_scope": WireSetting("key_scope"),
    "idempotency_window": _time_setting("window_us"),
    "latency_objective": _time_setting("aim_us"),
    "timeout": _time_setting("give_up_us"),
    "priority_weight": _number_setting("worth"),
    "late_share": _number_setting("late_share"),
}


def settings_from_wire(wire: Mapping[str, Any]) -> Settings:
    """Parse the settings from the wire format; raise InvalidInputError if they are invalid."""
    values = _parse_values(wire, SETTING_FIELDS)
    settings = Settings(
        classes=_classes_from_wire(wire),
        subscribe=wire.get("membership_mode") == "subscribe",
        **values,
    )
    if settings.entries_per_s == 0:
        raise InvalidInputError("the settings contain a channel rate of 0")
    if settings.backlog_limit == 0:
        raise InvalidInputError("the settings contain a channel backlog limit of 0")
    _check_names("zone", settings.zones or [])
    _check_names("class", settings.class_names)
    return settings


def _classes_from_wire(wire: Mapping[str, Any]) -> list[RequestClass]:
    info = wire.get("family_info") or {}
    classes = [_parse_values(entry, CLASS_FIELDS) for entry in wire.get("classes") or []]
    for name, flags in (("writes", info.get("write_classes")), ("zone_local", info.get("zone_bound"))):
        for values, flag in zip(classes, flags or []):
            values[name] = flag
    return [RequestClass(**values) for values in classes]


def _parse_values(source: Mapping[str, Any], fields: Mapping[str, WireSetting]) -> dict[str, Any]:
    """Return the values of the settings that are present, by field name; numbers are validated."""
    values = {}
    for name, field in fields.items():
        value = _value_at(source, field.path)
        if value is None:
            continue
        if field.is_time or field.is_number:
            required_number({"type": "settings", field.path: value}, field.path)
        values[name] = int(value * MICROSECOND) if field.is_time else value
    return values


def _value_at(source: Any, path: str) -> Any:
    for part in path.split("."):
        source = source.get(part) if isinstance(source, dict) else None
    return source


def _check_names(kind: str, names: list[Any]) -> None:
    """Raise InvalidInputError unless all names are distinct strings, since messages refer to them by name."""
    invalid = [name for name in names if not isinstance(name, str)]
    if invalid:
        raise InvalidInputError(f"the settings contain the {kind} {invalid[0]!r:.40}, which is not a string")
    duplicates = sorted(name for name, count in Counter(names).items() if count > 1)
    if duplicates:
        raise InvalidInputError(f"the settings contain the {kind} {duplicates[0]!r:.40} more than once")
