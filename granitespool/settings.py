"""The settings that a deployment gives its coordinators: one typed record, and its translation from the wire.

The wire's names end here. Times are whole nanoseconds; None stands for what the deployment does not tell.
No decision is taken here: what stands in for an unknown value is with the module that needs it.
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
    """How proxies admit a share of a class."""

    FRACTION = "fraction"
    PER_SECOND = "per_second"
    NONE = "none"


class RequestClass(msgspec.Struct, frozen=True, kw_only=True):
    """One class of requests."""

    name: str | None = None
    effect: str | None = None  # free, guarded or single_shot: what an attempt that is repeated may do
    idempotency_scope: str | None = None  # all, zone or cell: where a repeated key is recognized
    idempotency_window: int | None = None  # ns
    latency_objective: int | None = None  # ns
    timeout: int | None = None  # ns
    priority_weight: float | None = None
    late_share: float | None = None  # share of the priority weight that a late answer still has
    writes: bool | None = None
    zone_local: bool | None = None

    @property
    def effective_latency_objective(self) -> int:
        """ns; a second where the deployment tells none."""
        return DEFAULT_LATENCY_OBJECTIVE if self.latency_objective is None else self.latency_objective

    @property
    def effective_priority_weight(self) -> float:
        """All classes weigh the same where the deployment tells nothing."""
        return DEFAULT_PRIORITY_WEIGHT if self.priority_weight is None else self.priority_weight


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a deployment."""

    classes: list[RequestClass] = []
    zones: list[str] = []
    zone: str | None = None  # this coordinator's
    coordinator_index: int | None = None
    coordinators: int | None = None
    health_checks_allowed: bool | None = None
    gossip_allowed: bool = False
    subscribe: bool = False  # endpoint list changes are sent without being asked for
    connect_timeout: int | None = None  # ns
    admission: str | None = None  # an `Admission`
    entries_per_s: float | None = None  # rate of the channel to all proxies
    message_header: float | None = None  # entries that each message costs beside its own
    backlog_limit: float | None = None  # entries that may wait in the channel
    messages_limit: int | None = None  # to one proxy within `messages_span`
    messages_span: int | None = None  # ns
    message_delay: int | None = None  # ns
    message_delay_max: int | None = None  # ns
    report_interval: int | None = None  # ns
    reports_per_s: float | None = None
    proxy_ejection_failures: int | None = None  # consecutive failures after which a proxy avoids a backend
    attempt_factor: float | None = None
    bootstrap_entries: int = 0  # most backends in the table that a proxy starts with
    default_retries: int = 0
    empty_table_limit: int | None = None  # ns
    proxies_expected: int | None = None
    slices: int | None = None
    single_owner: bool = False  # a slice has a single owner
    lease_duration: int | None = None  # ns
    write_lifetime: int | None = None  # ns
    buffer_time: int | None = None  # ns
    drain_grace: int | None = None  # ns that a draining backend may still be sent requests
    poll_interval_max: int | None = None  # ns
    warm_up_time: int | None = None  # ns until a new backend can do its whole work
    warm_up_start_share: float | None = None  # of its work that it can do at once
    overload_multiple: float = 0  # of its work at which a warming backend fails
    overload_time: int | None = None  # ns
    removal_needs_drain: bool = False  # the list alone removes no backend that did not drain

    @property
    def effective_message_header(self) -> float:
        """Entries; none where the deployment tells nothing."""
        return self.message_header or 0

    @property
    def effective_warm_up_start_share(self) -> float:
        """Nothing where the deployment does not tell."""
        return self.warm_up_start_share or 0

    @property
    def class_names(self) -> list[str | None]:
        """The names of the request classes, in their order."""
        return [each.name for each in self.classes]


class WireSetting(NamedTuple):
    """Where the wire has a setting, and what it holds."""

    path: str
    is_time: bool = False  # microseconds on the wire
    is_number: bool = False


def _time(path: str) -> WireSetting:
    return WireSetting(path, is_time=True)


def _number(path: str) -> WireSetting:
    return WireSetting(path, is_number=True)


SETTING_FIELDS = {
    "zones": WireSetting("zones"),
    "zone": WireSetting("zone"),
    "coordinator_index": _number("index"),
    "coordinators": _number("balancers"),
    "health_checks_allowed": WireSetting("permissions.probes"),
    "gossip_allowed": WireSetting("permissions.peers"),
    "connect_timeout": _time("permissions.connect_timeout_us"),
    "admission": WireSetting("family_info.admit"),
    "entries_per_s": _number("family_info.egress_per_s"),
    "message_header": _number("family_info.envelope"),
    "backlog_limit": _number("family_info.most_waiting"),
    "messages_limit": _number("family_info.messages_most"),
    "messages_span": _time("family_info.counted_over_us"),
    "message_delay": _time("family_info.push_delay_us"),
    "message_delay_max": _time("family_info.worst_transit_us"),
    "report_interval": _time("family_info.report_every_us"),
    "reports_per_s": _number("family_info.ingest_rate"),
    "proxy_ejection_failures": _number("family_info.outlier_after"),
    "attempt_factor": _number("family_info.try_factor"),
    "bootstrap_entries": _number("family_info.bootstrap"),
    "default_retries": _number("family_info.default_retry"),
    "empty_table_limit": _time("family_info.empty_for_us"),
    "proxies_expected": _number("family_info.proxy_count"),
    "slices": _number("family_info.slices"),
    "single_owner": WireSetting("family_info.one_owner"),
    "lease_duration": _time("family_info.lease_us"),
    "write_lifetime": _time("family_info.write_life_us"),
    "buffer_time": _time("family_info.buffer_for_us"),
    "drain_grace": _time("rules.stop_sending_within_us"),
    "poll_interval_max": _time("rules.ask_within_us"),
    "warm_up_time": _time("rules.cold_us"),
    "warm_up_start_share": _number("rules.cold_from"),
    "overload_multiple": _number("rules.fall_multiple"),
    "overload_time": _time("rules.fall_us"),
    "removal_needs_drain": WireSetting("rules.soft_removal"),
}
CLASS_FIELDS = {
    "name": WireSetting("name"),
    "effect": WireSetting("semantics"),
    "idempotency_scope": WireSetting("key_scope"),
    "idempotency_window": _time("window_us"),
    "latency_objective": _time("aim_us"),
    "timeout": _time("give_up_us"),
    "priority_weight": _number("worth"),
    "late_share": _number("late_share"),
}


def settings_from_wire(wire: Mapping[str, Any]) -> Settings:
    """The settings as the wire tells them; raises InvalidInputError with one sentence."""
    values = _values(wire, SETTING_FIELDS)
    settings = Settings(
        classes=_classes_from_wire(wire),
        subscribe=wire.get("membership_mode") == "subscribe",
        **values,
    )
    if settings.entries_per_s == 0:
        raise InvalidInputError("the settings' channel has no pace")
    if settings.backlog_limit == 0:
        raise InvalidInputError("the settings' channel may hold no line")
    _check_names("zone", settings.zones or [])
    _check_names("class", settings.class_names)
    return settings


def _classes_from_wire(wire: Mapping[str, Any]) -> list[RequestClass]:
    info = wire.get("family_info") or {}
    classes = [_values(entry, CLASS_FIELDS) for entry in wire.get("classes") or []]
    for name, flags in (("writes", info.get("write_classes")), ("zone_local", info.get("zone_bound"))):
        for values, flag in zip(classes, flags or []):
            values[name] = flag
    return [RequestClass(**values) for values in classes]


def _values(source: Mapping[str, Any], fields: Mapping[str, WireSetting]) -> dict[str, Any]:
    """Our name -> value, for what is told; numbers are checked."""
    values = {}
    for name, field in fields.items():
        value = _at(source, field.path)
        if value is None:
            continue
        if field.is_time or field.is_number:
            required_number({"type": "settings", field.path: value}, field.path)
        values[name] = int(value * MICROSECOND) if field.is_time else value
    return values


def _at(source: Any, path: str) -> Any:
    for part in path.split("."):
        source = source.get(part) if isinstance(source, dict) else None
    return source


def _check_names(what: str, names: list[Any]) -> None:
    """Zones and classes are named in messages: each name is text and stands once."""
    odd = [name for name in names if not isinstance(name, str)]
    if odd:
        raise InvalidInputError(f"the settings name a {what} {odd[0]!r:.40}, which is no text")
    twice = sorted(name for name, times in Counter(names).items() if times > 1)
    if twice:
        raise InvalidInputError(f"the settings name the {what} {twice[0]!r:.40} twice")
