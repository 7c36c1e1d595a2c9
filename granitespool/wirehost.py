"""The adapter: one JSON batch a line on standard input, one reply a line on standard output.

Wire names, units and encodings end here. Each instance is a planner of its own with a host of its own;
nothing is shared between them. No decision is taken in this file.
"""
import json
import sys
import traceback

from granitespool.rules import Planner

NUM = (int, float)
NS = 1000  # nanoseconds in the wire's microsecond

# Settings: our name -> (path on the wire, is it a time)
SETTINGS = {
    "zones": ("zones", False), "zone": ("zone", False), "index": ("index", False),
    "planners": ("balancers", False), "probes": ("permissions.probes", False),
    "peers": ("permissions.peers", False), "connect_timeout": ("permissions.connect_timeout_us", True),
    "admission": ("family_info.admit", False), "lines_per_s": ("family_info.egress_per_s", False),
    "message_head": ("family_info.envelope", False), "backlog_limit": ("family_info.most_waiting", False),
    "messages_limit": ("family_info.messages_most", False),
    "messages_span": ("family_info.counted_over_us", True),
    "message_delay": ("family_info.push_delay_us", True),
    "message_delay_worst": ("family_info.worst_transit_us", True),
    "report_every": ("family_info.report_every_us", True),
    "reports_per_s": ("family_info.ingest_rate", False),
    "avoid_after": ("family_info.outlier_after", False), "try_factor": ("family_info.try_factor", False),
    "standing_lines": ("family_info.bootstrap", False), "usual_retry": ("family_info.default_retry", False),
    "empty_limit": ("family_info.empty_for_us", True), "proxies_expected": ("family_info.proxy_count", False),
    "slices": ("family_info.slices", False), "one_owner": ("family_info.one_owner", False),
    "lease": ("family_info.lease_us", True), "write_life": ("family_info.write_life_us", True),
    "hold_time": ("family_info.buffer_for_us", True), "drain_grace": ("rules.stop_sending_within_us", True),
    "ask_within": ("rules.ask_within_us", True), "cold_time": ("rules.cold_us", True),
    "cold_share": ("rules.cold_from", False), "fall_multiple": ("rules.fall_multiple", False),
    "fall_time": ("rules.fall_us", True), "drain_needs_entry": ("rules.soft_removal", False),
}
CLASS = {
    "name": ("name", False), "effect": ("semantics", False), "repeat_scope": ("key_scope", False),
    "repeat_window": ("window_us", True), "promised_time": ("aim_us", True),
    "time_limit": ("give_up_us", True),
    "benefit": ("worth", False), "late_share": ("late_share", False),
}
LOAD = {"util": ("busy", 1), "latency_ms": ("service", 1_000_000), "queue": ("queued", 1),
        "inflight": ("holding", 1), "qps": ("answered_per_s", 1), "eps": ("errors_per_s", 1)}
PHASE = {"live": "ready", "quiescing": "draining", "dead": "gone"}
FORM = {"update": "changes", "replace": "whole", "restored": "restored", "unavailable": "failed"}
ANSWER = {"delivered": "ok", "app_error": "error", "shed": "full", "expired": "timeout",
          "dial_failed": "unreachable", "dropped": "reset"}


class BadInput(Exception):
    """Input that is not the wire's; the text says what is wrong in one sentence."""


class WireHost:
    """The planner's host: writes each call as an action of the reply being built."""

    def __init__(self, instance, reply):
        self.instance, self.reply = instance, reply

    def _do(self, name, **fields):
        self.reply.append({"type": name, "coordinator": self.instance, **fields})

    def weigh(self, table, backend, weight):
        self._do("weigh", tbl=table, backend=backend, weight=weight)

    def reset_table(self, table):
        self._do("reset_table", tbl=table)

    def bind(self, proxy, table, classes):
        self._do("bind", agent=proxy, tbl=table, for_classes=classes)

    def withdraw(self, backend, out):
        self._do("pull", backend=backend, flag=out)

    def level(self, table, classes, share, retries):
        self._do("level", tbl=table, for_classes=classes, level=share, how=retries)

    def mark(self, serial, everyone):
        self._do("fence_post", serial=serial, flag=everyone)

    def probe(self, backend):
        self._do("health_check", backend=backend)

    def observe(self, on):
        self._do("observe", flag=on)

    def lookup(self):
        self._do("lookup")

    def wake(self, delay, cookie):
        self._do("wake_at", offset_us=-(-delay // NS), cookie=cookie)

    def post(self, peer, contents):
        self._do("post", neighbour_id=peer, contents=contents)

    def remark(self, text):
        self._do("remark", reason_text=text)


def need(item, key, kind=object):
    """A field that must be there; numbers may come as whole or broken ones."""
    value = item.get(key)
    if value is None:
        raise BadInput(f"a {item.get('type', 'list entry')!r} lacks the field {key!r}")
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool and kind is not object):
        raise BadInput(f"the field {key!r} of a {item.get('type', 'list entry')!r} holds {value!r:.40}")
    return value


def time(event, key):
    """A time that must be there, in whole nanoseconds."""
    return int(need(event, key, NUM) * NS)


def renamed(source, names):
    """A plain map in our words from nested wire settings; what is absent stays absent."""
    result = {}
    for ours, (path, is_time) in names.items():
        value = source
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            result[ours] = int(value * NS) if is_time else value
    return result


def settings_map(wire):
    result = renamed(wire, SETTINGS)
    info = wire.get("family_info") or {}
    classes = [renamed(entry, CLASS) for entry in wire.get("classes") or []]
    for ours, flags in (("writes", info.get("write_classes")), ("own_zone_only", info.get("zone_bound"))):
        for entry, flag in zip(classes, flags or []):
            entry[ours] = flag
    result["classes"] = classes
    result["subscribe"] = wire.get("membership_mode") == "subscribe"
    return result


def load_map(item):
    pairs = item.get("health_info")
    if not pairs:
        return {}
    pairs = pairs.items() if isinstance(pairs, dict) else pairs
    return {LOAD[k][0]: v * LOAD[k][1] for k, v in pairs if k in LOAD and isinstance(v, NUM)}


def list_entry(row):
    if not isinstance(row, dict):
        raise BadInput("a list entry is not an object")
    weight = row.get("weight")
    return {"backend": need(row, "backend", str), "zone": row.get("zone"), "kind": row.get("machine"),
            "cell": row.get("pack"), "phase": PHASE.get(need(row, "phase", str), "gone"),
            "weight": 1 if weight is None else weight,
            "started": (row.get("since_us") or 0) * NS}


# event -> call on the planner; `e` is the event, `now` the batch clock
CALLS = {
    "backends_changed": lambda p, now, e: p.list_news(
        now, FORM.get(need(e, "form", str), "failed"), [list_entry(r) for r in e.get("rows_in") or []]),
    "tick_due": lambda p, now, e: p.timer(now, need(e, "cookie", str)),
    "echo": lambda p, now, e: p.probed(now, need(e, "backend", str),
                                       ANSWER.get(need(e, "state_code", str), "error"),
                                       time(e, "spent_us"), load_map(e)),
    "peer_data": lambda p, now, e: p.peer_said(now, need(e, "sender", int), need(e, "contents", str)),
    "connected": lambda p, now, e: p.joined(now, need(e, "agent", int), need(e, "zone", str),
                                            need(e, "flag", bool), e.get("weight") or 0),
    "left": lambda p, now, e: p.left(now, need(e, "agent", int)),
    "heard": lambda p, now, e: p.heard(now, need(e, "zone", str), need(e, "backend", str),
                                       need(e, "number", NUM), need(e, "bad", NUM),
                                       time(e, "spent_us"), time(e, "window_us"), load_map(e)),
    "arrivals": lambda p, now, e: p.arrivals(now, need(e, "agent", int), need(e, "grade", str),
                                             need(e, "number", NUM), need(e, "bad", NUM),
                                             time(e, "window_us")),
    "slice_load": lambda p, now, e: p.slice_load(now, need(e, "tbl", int), need(e, "grade", str),
                                                 need(e, "number", NUM), need(e, "bad", NUM),
                                                 time(e, "window_us")),
    "mandate": lambda p, now, e: p.slice_given(now, need(e, "tbl", int), need(e, "flag", bool)),
    "held": lambda p, now, e: p.slice_line(now, need(e, "tbl", int), need(e, "backend", str),
                                           need(e, "weight", NUM)),
    "in_force": lambda p, now, e: p.applied(now, need(e, "agent", int), need(e, "serial", int),
                                            time(e, "spent_us")),
}


class Process:
    """The instances of one process, found by their number."""

    def __init__(self):
        self.planners = {}

    def answer(self, line):
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise BadInput(f"a line is not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("items"), list):
            raise BadInput("a line is not a batch: it needs an object with the array 'items'")
        now, reply = need({"type": "batch", **batch}, "t_us", int) * NS, []
        for event in batch["items"]:
            if not isinstance(event, dict):
                raise BadInput("an event is not an object")
            self._event(now, need(event, "type", str), need(event, "coordinator", int), event, reply)
        return {"do": reply}

    def _event(self, now, name, instance, event, reply):
        if name == "start":
            seed, wire = need(event, "entropy", int), need(event, "settings", dict)
            host = WireHost(instance, reply)
            self._guarded(instance, reply, lambda: self.planners.__setitem__(
                instance, (host, Planner(host, now, seed, settings_map(wire)))))
        elif name == "shutdown":
            self.planners.pop(instance, None)
        elif name not in CALLS:
            raise BadInput(f"an event has the unknown type {name!r:.40}")
        elif instance in self.planners:
            host, planner = self.planners[instance]
            host.reply = reply
            self._guarded(instance, reply, lambda: CALLS[name](planner, now, event))

    def _guarded(self, instance, reply, call):
        try:
            call()
        except BadInput:
            raise
        except Exception as error:  # told to the other side, which ends the day
            traceback.print_exc()
            self.planners.pop(instance, None)
            reply.append({"type": "fatal", "coordinator": instance,
                          "reason_text": f"{type(error).__name__}: {error}"})


def main():
    process = Process()
    write, flush = sys.stdout.write, sys.stdout.flush
    for line in sys.stdin:
        try:
            reply = process.answer(line)
        except BadInput as error:
            print(f"granitespool: {error}", file=sys.stderr)
            return 1
        write(json.dumps(reply, separators=(",", ":")) + "\n")
        flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
