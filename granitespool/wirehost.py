"""The adapter: one JSON batch a line on standard input, one reply a line on standard output.

Wire names, units and encodings end here. Each instance is a planner of its own with a host of its own;
nothing is shared between them. No decision is taken in this file.
"""

import json
import sys
import traceback

from granitespool.rules import Planner
from granitespool.settings import NUM, SIMULATED, US, BadInput, list_entry, load_map, need, settings_map

FORM = {"update": "changes", "replace": "whole", "restored": "restored", "unavailable": "failed"}
ANSWER = {
    "delivered": "ok",
    "app_error": "error",
    "shed": "full",
    "expired": "timeout",
    "dial_failed": "unreachable",
    "dropped": "reset",
}


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

    def reach(self, backend, out, unbound, known):
        return {proxy: min(held, known) / known for proxy, (held, _) in unbound.items()}

    def returns(self, proxies, table, backend=None):
        return {}  # a bound proxy follows the table's shut-outs alone

    def level(self, table, classes, share, retries):
        self._do("level", tbl=table, for_classes=classes, level=share, how=retries)

    def mark(self, serial, everyone):
        self._do("fence_post", serial=serial, flag=everyone)

    def probe(self, backend):
        self._do("health_check", backend=backend)

    def forget(self, backend):
        """Nothing is kept here."""

    def observe(self, on):
        self._do("observe", flag=on)

    def lookup(self):
        self._do("lookup")

    def wake(self, delay, cookie):
        self._do("wake_at", offset_us=-(-delay // US), cookie=cookie)

    def post(self, peer, contents):
        self._do("post", neighbour_id=peer, contents=contents)

    def remark(self, text):
        self._do("remark", reason_text=text)


def time(event, key):
    """A time that must be there, in whole nanoseconds."""
    return int(need(event, key, NUM) * US)


# event -> call on the planner; `e` is the event, `now` the batch clock
CALLS = {
    "backends_changed": lambda p, now, e: p.list_news(
        now,
        FORM.get(need(e, "form", str), "failed"),
        [list_entry(r, SIMULATED) for r in e.get("rows_in") or []],
    ),
    "tick_due": lambda p, now, e: p.timer(now, need(e, "cookie", str)),
    "echo": lambda p, now, e: p.probed(
        now,
        need(e, "backend", str),
        ANSWER.get(need(e, "state_code", str), "error"),
        time(e, "spent_us"),
        load_map(e.get("health_info")),
    ),
    "peer_data": lambda p, now, e: p.peer_said(now, need(e, "sender", int), need(e, "contents", str)),
    "connected": lambda p, now, e: p.joined(
        now, need(e, "agent", int), need(e, "zone", str), need(e, "flag", bool), e.get("weight") or 0
    ),
    "left": lambda p, now, e: p.left(now, need(e, "agent", int)),
    "heard": lambda p, now, e: p.heard(
        now,
        need(e, "zone", str),
        need(e, "backend", str),
        need(e, "number", NUM),
        need(e, "bad", NUM),
        time(e, "spent_us"),
        time(e, "window_us"),
        load_map(e.get("health_info")),
    ),
    "arrivals": lambda p, now, e: p.arrivals(
        now,
        need(e, "agent", int),
        need(e, "grade", str),
        need(e, "number", NUM),
        need(e, "bad", NUM),
        time(e, "window_us"),
    ),
    "slice_load": lambda p, now, e: p.slice_load(
        now,
        need(e, "tbl", int),
        need(e, "grade", str),
        need(e, "number", NUM),
        need(e, "bad", NUM),
        time(e, "window_us"),
    ),
    "mandate": lambda p, now, e: p.slice_given(now, need(e, "tbl", int), need(e, "flag", bool)),
    "held": lambda p, now, e: p.slice_line(
        now, need(e, "tbl", int), need(e, "backend", str), need(e, "weight", NUM)
    ),
    "in_force": lambda p, now, e: p.applied(
        now, need(e, "agent", int), need(e, "serial", int), time(e, "spent_us")
    ),
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
        now, reply = need({"type": "batch", **batch}, "t_us", int) * US, []
        for event in batch["items"]:
            if not isinstance(event, dict):
                raise BadInput("an event is not an object")
            self._event(now, need(event, "type", str), need(event, "coordinator", int), event, reply)
        return {"do": reply}

    def _event(self, now, name, instance, event, reply):
        if name == "start":
            seed, wire = need(event, "entropy", int), need(event, "settings", dict)
            host = WireHost(instance, reply)
            self._guarded(
                instance,
                reply,
                lambda: self.planners.__setitem__(
                    instance, (host, Planner(host, now, seed, settings_map(wire)))
                ),
            )
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
            reply.append(
                {"type": "fatal", "coordinator": instance, "reason_text": f"{type(error).__name__}: {error}"}
            )


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
