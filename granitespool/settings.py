"""Settings, load reports and list entries in our words: the one translation, for both ways in.

The simulator's wire and the sockets name a list entry's fields differently; each way has its names here, and
no wire name is seen further in. No decision is taken in this file."""

from collections import Counter
from math import isfinite
from types import NoneType

NUM = (int, float)
MOST = 1e18  # a figure above it is no time or weight: Unix time in microseconds is a thousandth
COUNT_MOST = 1e6  # tries or transactions in one report: a thousand proxies' thousand in a second
MS_MOST = 3.6e6  # ms of a span that a report tells, an hour: no client waits so long for an answer
US = 1_000  # nanoseconds in a microsecond: the settings' times and the simulator's
MS = 1_000_000  # nanoseconds in a millisecond: the sockets' times

# Settings: our name -> (path on the wire, is it a time)
SETTINGS = {
    "zones": ("zones", False),
    "zone": ("zone", False),
    "index": ("index", False),
    "planners": ("balancers", False),
    "probes": ("permissions.probes", False),
    "peers": ("permissions.peers", False),
    "connect_timeout": ("permissions.connect_timeout_us", True),
    "admission": ("family_info.admit", False),
    "lines_per_s": ("family_info.egress_per_s", False),
    "message_head": ("family_info.envelope", False),
    "backlog_limit": ("family_info.most_waiting", False),
    "messages_limit": ("family_info.messages_most", False),
    "messages_span": ("family_info.counted_over_us", True),
    "message_delay": ("family_info.push_delay_us", True),
    "message_delay_worst": ("family_info.worst_transit_us", True),
    "report_every": ("family_info.report_every_us", True),
    "reports_per_s": ("family_info.ingest_rate", False),
    "avoid_after": ("family_info.outlier_after", False),
    "try_factor": ("family_info.try_factor", False),
    "standing_lines": ("family_info.bootstrap", False),
    "usual_retry": ("family_info.default_retry", False),
    "empty_limit": ("family_info.empty_for_us", True),
    "proxies_expected": ("family_info.proxy_count", False),
    "slices": ("family_info.slices", False),
    "one_owner": ("family_info.one_owner", False),
    "lease": ("family_info.lease_us", True),
    "write_life": ("family_info.write_life_us", True),
    "hold_time": ("family_info.buffer_for_us", True),
    "drain_grace": ("rules.stop_sending_within_us", True),
    "ask_within": ("rules.ask_within_us", True),
    "cold_time": ("rules.cold_us", True),
    "cold_share": ("rules.cold_from", False),
    "fall_multiple": ("rules.fall_multiple", False),
    "fall_time": ("rules.fall_us", True),
    "drain_needs_entry": ("rules.soft_removal", False),
}
FIGURES = frozenset(
    (  # those of the settings and of a class that are numbers, and no times
        "index",
        "planners",
        "lines_per_s",
        "message_head",
        "backlog_limit",
        "messages_limit",
        "reports_per_s",
        "avoid_after",
        "try_factor",
        "standing_lines",
        "usual_retry",
        "proxies_expected",
        "slices",
        "cold_share",
        "fall_multiple",
        "benefit",
        "late_share",
    )
)
CLASS = {
    "name": ("name", False),
    "effect": ("semantics", False),
    "repeat_scope": ("key_scope", False),
    "repeat_window": ("window_us", True),
    "promised_time": ("aim_us", True),
    "time_limit": ("give_up_us", True),
    "benefit": ("worth", False),
    "late_share": ("late_share", False),
}
LOAD = {
    "util": ("busy", 1),
    "latency_ms": ("service", MS),
    "queue": ("queued", 1),
    "inflight": ("holding", 1),
    "qps": ("answered_per_s", 1),
    "eps": ("errors_per_s", 1),
}

# A list entry: what each way calls it, the time unit of its start, and its phases in our words
SIMULATED = {
    "backend": "backend",
    "kind": "machine",
    "cell": "pack",
    "phase": "phase",
    "started": "since_us",
    "unit": US,
    "phases": {"live": "ready", "quiescing": "draining", "dead": "gone"},
}
SOCKETS = {
    "backend": "name",
    "kind": "type",
    "cell": "group",
    "phase": "status",
    "started": "since_ms",
    "unit": MS,
    "phases": {"ready": "ready", "draining": "draining", "gone": "gone"},
}


class BadInput(Exception):
    """Input that is not what the pages say; the text says what is wrong in one sentence."""


def need(item, key, kind=object):
    """A field that must be there; numbers may come as whole or broken ones, and are finite."""
    value = item.get(key)
    if value is None:
        raise BadInput(f"a {item.get('type', 'list entry')!r:.40} lacks the field {key!r}")
    if (
        not isinstance(value, kind)
        or (isinstance(value, bool) and kind is not bool and kind is not object)
        or isinstance(value, float)
        and not isfinite(value)
    ):
        raise BadInput(f"the field {key!r} of a {item.get('type', 'list entry')!r:.40} holds {value!r:.40}")
    return value


def figure(item, key, kind=NUM, most=MOST):
    """A number that must be there, is not below 0 and not above the most that it can be."""
    value = need(item, key, kind)
    if not 0 <= value <= most:
        raise BadInput(f"the field {key!r} of a {item.get('type', 'list entry')!r:.40} is {value!r:.40}")
    return value


def renamed(source, names):
    """A plain map in our words from nested wire settings; what is absent stays absent."""
    result = {}
    for ours, (path, is_time) in names.items():
        value = source
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None and (is_time or ours in FIGURES):
            figure({"type": "settings", path: value}, path)
        if value is not None:
            result[ours] = int(value * US) if is_time else value
    return result


def settings_map(wire):
    result = renamed(wire, SETTINGS)
    info = wire.get("family_info") or {}
    classes = [renamed(entry, CLASS) for entry in wire.get("classes") or []]
    for ours, flags in (("writes", info.get("write_classes")), ("own_zone_only", info.get("zone_bound"))):
        for entry, flag in zip(classes, flags or []):
            entry[ours] = flag
    result["classes"] = classes
    if not result.get("lines_per_s", 1):
        raise BadInput("the settings' channel has no pace")
    if not result.get("backlog_limit", 1):
        raise BadInput("the settings' channel may hold no line")
    kinds = [kind.get("name") for kind in classes]
    for what, names in (("zone", result.get("zones") or []), ("class", kinds)):
        # What proxies and orders name: any text, but a name, and one that means one thing
        if odd := [name for name in names if not isinstance(name, str)]:
            raise BadInput(f"the settings name a {what} {odd[0]!r:.40}, which is no text")
        if twice := sorted(name for name, times in Counter(names).items() if times > 1):
            raise BadInput(f"the settings name the {what} {twice[0]!r:.40} twice")
    result["subscribe"] = wire.get("membership_mode") == "subscribe"
    return result


def load_map(pairs):
    """A load report, an object or a list of pairs; what is not known or no number is skipped."""
    pairs = pairs.items() if isinstance(pairs, dict) else pairs or ()
    return {
        LOAD[k][0]: v * LOAD[k][1]
        for k, v in pairs
        if k in LOAD and isinstance(v, NUM) and not isinstance(v, bool) and abs(v) <= MOST
    }


def list_entry(row, names):
    if not isinstance(row, dict):
        raise BadInput("a list entry is not an object")
    for name in ("zone", names["kind"], names["cell"]):
        # Against a list or an object where a name is due: the planner counts by these, and would fail in each
        # of its rounds from then on. Harm: such an entry is left out, as any that cannot be read.
        if not isinstance(row.get(name), (str, *NUM, NoneType)):
            raise BadInput(f"the field {name!r} of a 'list entry' holds {row[name]!r:.40}")
    weight = row.get("weight")
    return {
        "backend": need(row, names["backend"], str),
        "zone": row.get("zone"),
        "kind": row.get(names["kind"]),
        "cell": row.get(names["cell"]),
        "phase": names["phases"].get(need(row, names["phase"], str), "gone"),
        "weight": 1 if weight is None else figure(row, "weight"),
        "started": 0
        if row.get(names["started"]) is None
        else int(figure(row, names["started"]) * names["unit"]),
    }
