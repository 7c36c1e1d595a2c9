"""Adapts the reference planner to the current interface of events and actions.

Translates names only: the reference keeps its former identifiers, and `former_settings` converts a typed
record to them.
"""

import msgspec

from granitespool.planner import events
from reference.planner import Planner

SETTINGS = {
    "coordinator_index": "index",
    "coordinators": "planners",
    "health_checks_allowed": "probes",
    "gossip_allowed": "peers",
    "entries_per_s": "lines_per_s",
    "message_header": "message_head",
    "bootstrap_entries": "standing_lines",
    "default_retries": "usual_retry",
    "empty_table_limit": "empty_limit",
    "warm_up_time": "cold_time",
    "warm_up_start_share": "cold_share",
    "overload_multiple": "fall_multiple",
    "removal_needs_drain": "drain_needs_entry",
    "single_owner": "one_owner",
}
CLASS = {"latency_objective": "promised_time", "timeout": "time_limit", "priority_weight": "benefit"}
FORMS = {events.ListForm.COMPLETE: "whole"}
BACKEND = {
    "phase": "phase",
    "zone": "zone",
    "kind": "machine_type",
    "listed": "configured_weight",
    "started": "started_at",
    "gone_at": "left_ready_at",
    "ramp_from": "slow_start_since",
    "proven": "verified",
    "missing": "removal_unconfirmed",
}
LINK = {
    "low": "minimum_rtt",
    "tries": "attempts",
    "failed": "failures",
    "answered": "successes",
    "time": "response_time",
    "over": "overloaded_reports",
    "streak": "consecutive_failures",
    "cut_at": "ejected_at",
    "ramp_from": "slow_start_since",
}


def renamed(record, names):
    """Return a record as a dict with the former names, without unset fields."""
    values = msgspec.structs.asdict(record)
    return {names.get(name, name): value for name, value in values.items() if value is not None}


def former_settings(settings):
    """Return the settings as the former dict."""
    result = renamed(settings, SETTINGS)
    result["classes"] = [renamed(each, CLASS) for each in settings.classes]
    return result


def former_entry(entry):
    """Return an endpoint list entry as the former dict."""
    return {
        "backend": entry.name,
        "zone": entry.zone,
        "kind": entry.machine_type,
        "cell": entry.cell,
        "phase": entry.phase,
        "weight": entry.weight,
        "started": entry.started_at,
    }


class FormerHost:
    """Maps the calls of the former host to the current actions."""

    NAMES = {
        "weigh": "set_entry",
        "bind": "assign",
        "withdraw": "exclude",
        "reach": "exclusion_cost",
        "returns": "readmission_cost",
        "level": "set_admission",
        "mark": "request_acknowledgement",
        "probe": "check_health",
        "observe": "subscribe",
        "lookup": "fetch_endpoints",
        "forget": "remove_backend",
        "wake": "set_timer",
        "post": "send_gossip",
        "remark": "log",
    }

    def __init__(self, actions):
        self.actions = actions

    def __getattr__(self, name):
        return getattr(self.actions, self.NAMES.get(name, name))


class FormerRecord:
    """The fields of a reference backend that the coordinator reads."""

    def __init__(self, record):
        self.name, self.phase, self.started_at = record.id, record.phase, record.started


class FormerInspection:
    """The inspection interface that the coordinator reads."""

    def __init__(self, planner):
        self.planner = planner

    def backend(self, name):
        record = self.planner.backends.get(name)
        return FormerRecord(record) if record else None

    def backends(self):
        return [FormerRecord(record) for record in self.planner.backends.values()]


class ReferencePlanner:
    """The reference planner with the interface of `granitespool.planner.planner.Planner`."""

    def __init__(self, actions, seed, settings):
        self.actions = actions
        self.former = Planner(FormerHost(actions), actions.now, seed, former_settings(settings))
        self.inspection = FormerInspection(self.former)

    def apply_settings(self, settings):
        self.former.new_settings(self.actions.now, former_settings(settings))

    def on_timer(self, now, cookie):
        self.former.timer(now, cookie)

    def handle(self, now, event):
        former = self.former
        match event:
            case events.EndpointListUpdate(form, entries):
                former.list_news(now, FORMS.get(form, form.value), [former_entry(each) for each in entries])
            case events.LoadReport(zone, backend, attempts, failures, mean, window, load):
                former.heard(now, zone, backend, attempts, failures, mean, window, load)
            case events.UsageReport(proxy, request_class, requests, unanswered, window):
                former.arrivals(now, proxy, request_class, requests, unanswered, window)
            case events.ProxyJoined(proxy, zone, bootstrap, rate, resumed):
                former.joined(now, proxy, zone, bootstrap, rate, resumed)
            case events.ProxyLeft(proxy, unreachable):
                former.left(now, proxy, unreachable)
            case events.Acknowledged(proxy, sequence, latency):
                former.applied(now, proxy, sequence, latency)
            case events.HealthCheckResult(backend, outcome, latency, load):
                former.probed(now, backend, outcome.value, latency, load)
            case events.SliceAssigned(table, owned):
                former.slice_given(now, table, owned)
            case events.SliceEntry(table, backend, weight):
                former.slice_line(now, table, backend, weight)
            case events.Restored(fleet, backends):
                former.recalled(now, self._fleet(fleet), self._backends(backends))
            case _:
                raise TypeError(event)

    @staticmethod
    def _fleet(fleet):
        return {
            "strained": fleet.is_overloaded,
            "room": fleet.admitted_share,
            "through": fleet.success_ratio,
            "asked": fleet.demand,
        }

    @staticmethod
    def _backends(backends):
        def facts(record, names):
            return {ours: getattr(record, theirs) for ours, theirs in names.items()}

        return {
            name: (facts(each, BACKEND), {zone: facts(link, LINK) for zone, link in each.links.items()})
            for name, each in backends.items()
        }
