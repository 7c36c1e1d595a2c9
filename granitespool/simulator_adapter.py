"""Adapter to the simulator: reads JSON batches from standard input and answers each with a line of JSON.

Only this module uses the names, units and encodings of the simulator's protocol. Each simulated coordinator
is an instance with its own planner and actions, and instances share nothing. All decisions are made by the
planners.
"""

import json
import sys
import traceback
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from granitespool.endpoints import SIMULATOR_ENTRY, endpoint_from_wire, load_metrics
from granitespool.errors import InvalidInputError
from granitespool.fields import NUMBER_TYPES, required_field
from granitespool.planner.events import (
    Acknowledged,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckOutcome,
    HealthCheckResult,
    ListForm,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    SliceAssigned,
    SliceEntry,
    SliceLoad,
    UsageReport,
)
from granitespool.planner.planner import Planner
from granitespool.planner.records import UnassignedProxy
from granitespool.settings import settings_from_wire
from granitespool.units import MICROSECOND

Message = Mapping[str, Any]  # a decoded JSON object

LIST_FORMS = {
    "update": ListForm.CHANGES,
    "replace": ListForm.COMPLETE,
    "restored": ListForm.RESTORED,
    "unavailable": ListForm.FAILED,
}
HEALTH_CHECK_OUTCOMES = {
    "delivered": HealthCheckOutcome.OK,
    "app_error": HealthCheckOutcome.ERROR,
    "shed": HealthCheckOutcome.REJECTED,
    "expired": HealthCheckOutcome.TIMED_OUT,
    "dial_failed": HealthCheckOutcome.UNREACHABLE,
    "dropped": HealthCheckOutcome.RESET,
}


class SimulatorActions:
    """Actions of a planner; each action appends a JSON object to the current reply."""

    def __init__(self, instance: int, reply: list[dict[str, Any]]) -> None:
        self.reply = reply
        self._instance = instance

    def _write(self, name: str, **fields: Any) -> None:
        self.reply.append({"type": name, "coordinator": self._instance, **fields})

    @property
    def proxy_actions(self) -> None:
        """None: the simulator's orders concern tables and backends."""

    def set_entry(self, table: int, backend: str, weight: float) -> None:
        """Append an object to the reply that sets the weight of a backend in a table."""
        self._write("weigh", tbl=table, backend=backend, weight=weight)

    def reset_table(self, table: int) -> None:
        """Append an object to the reply that empties a table."""
        self._write("reset_table", tbl=table)

    def assign(self, proxy: int, table: int, classes: int) -> None:
        """Append an object to the reply that assigns a proxy to a table."""
        self._write("bind", agent=proxy, tbl=table, for_classes=classes)

    def exclude(self, backend: str, excluded: bool) -> None:
        """Append an object to the reply that excludes or readmits a backend."""
        self._write("pull", backend=backend, flag=excluded)

    def exclusion_cost(
        self, backend: str, excluded: bool, unassigned: Mapping[int, UnassignedProxy], backend_count: int
    ) -> dict[int, float]:
        """Return, for each proxy, the probability that its table contains the backend.

        The channel skips proxies that do not have the backend.
        """
        return {
            proxy: min(record.foreign_entries_max, backend_count) / backend_count
            for proxy, record in unassigned.items()
        }

    def readmission_cost(
        self, proxies: Iterable[int], table: int, backend: str | None = None
    ) -> dict[int, int]:
        """Return an empty mapping, since a proxy on a table only follows the exclusions of its table."""
        return {}

    def set_admission(self, table: int, classes: int, share: float, retries: int) -> None:
        """Append an object to the reply that sets the admission level of request classes."""
        self._write("level", tbl=table, for_classes=classes, level=share, how=retries)

    def request_acknowledgement(self, sequence: int, all_proxies: bool) -> None:
        """Append an acknowledgement barrier to the reply."""
        self._write("fence_post", serial=sequence, flag=all_proxies)

    def check_health(self, backend: str) -> None:
        """Append a request for a health check to the reply."""
        self._write("health_check", backend=backend)

    def remove_backend(self, backend: str) -> None:
        """Do nothing, since the adapter keeps no state of backends."""

    def subscribe(self, enabled: bool) -> None:
        """Append an object to the reply that starts or ends the subscription to the endpoint list."""
        self._write("observe", flag=enabled)

    def fetch_endpoints(self) -> None:
        """Append a request for the endpoint list to the reply."""
        self._write("lookup")

    def set_timer(self, delay: int, cookie: str) -> None:
        """Append a timer to the reply; `delay` (ns) is rounded up to microseconds."""
        self._write("wake_at", offset_us=-(-delay // MICROSECOND), cookie=cookie)

    def send_gossip(self, peer: int, payload: str) -> None:
        """Append a gossip datagram to the reply."""
        self._write("post", neighbour_id=peer, contents=payload)

    def log(self, text: str) -> None:
        """Append a log entry to the reply."""
        self._write("remark", reason_text=text)


def _time(message: Message, key: str) -> int:
    """Return the mandatory duration `key` in ns; it is in microseconds in the message."""
    return int(required_field(message, key, NUMBER_TYPES) * MICROSECOND)


def _endpoint_list(message: Message) -> EndpointListUpdate:
    form = LIST_FORMS.get(required_field(message, "form", str), ListForm.FAILED)
    rows = message.get("rows_in") or []
    return EndpointListUpdate(form, [endpoint_from_wire(row, SIMULATOR_ENTRY) for row in rows])


def _health_check(message: Message) -> HealthCheckResult:
    return HealthCheckResult(
        backend=required_field(message, "backend", str),
        outcome=HEALTH_CHECK_OUTCOMES.get(
            required_field(message, "state_code", str), HealthCheckOutcome.ERROR
        ),
        latency=_time(message, "spent_us"),
        load=load_metrics(message.get("health_info")),
    )


def _gossip(message: Message) -> GossipReceived:
    return GossipReceived(
        peer=required_field(message, "sender", int), payload=required_field(message, "contents", str)
    )


def _proxy_joined(message: Message) -> ProxyJoined:
    return ProxyJoined(
        proxy=required_field(message, "agent", int),
        zone=required_field(message, "zone", str),
        bootstrap=required_field(message, "flag", bool),
        rate=message.get("weight") or 0,
    )


def _proxy_left(message: Message) -> ProxyLeft:
    return ProxyLeft(required_field(message, "agent", int))


def _load_report(message: Message) -> LoadReport:
    return LoadReport(
        zone=required_field(message, "zone", str),
        backend=required_field(message, "backend", str),
        attempts=required_field(message, "number", NUMBER_TYPES),
        failures=required_field(message, "bad", NUMBER_TYPES),
        mean=_time(message, "spent_us"),
        window=_time(message, "window_us"),
        load=load_metrics(message.get("health_info")),
    )


def _usage_report(message: Message) -> UsageReport:
    return UsageReport(
        proxy=required_field(message, "agent", int),
        request_class=required_field(message, "grade", str),
        requests=required_field(message, "number", NUMBER_TYPES),
        unanswered=required_field(message, "bad", NUMBER_TYPES),
        window=_time(message, "window_us"),
    )


def _slice_load(message: Message) -> SliceLoad:
    return SliceLoad(
        table=required_field(message, "tbl", int),
        request_class=required_field(message, "grade", str),
        requests=required_field(message, "number", NUMBER_TYPES),
        unanswered=required_field(message, "bad", NUMBER_TYPES),
        window=_time(message, "window_us"),
    )


def _slice_assigned(message: Message) -> SliceAssigned:
    return SliceAssigned(
        table=required_field(message, "tbl", int), owned=required_field(message, "flag", bool)
    )


def _slice_entry(message: Message) -> SliceEntry:
    return SliceEntry(
        table=required_field(message, "tbl", int),
        backend=required_field(message, "backend", str),
        weight=required_field(message, "weight", NUMBER_TYPES),
    )


def _acknowledged(message: Message) -> Acknowledged:
    return Acknowledged(
        proxy=required_field(message, "agent", int),
        sequence=required_field(message, "serial", int),
        latency=_time(message, "spent_us"),
    )


TIMER = "tick_due"
EVENTS: dict[str, Callable[[Message], Event]] = {
    "backends_changed": _endpoint_list,
    "echo": _health_check,
    "peer_data": _gossip,
    "connected": _proxy_joined,
    "left": _proxy_left,
    "heard": _load_report,
    "arrivals": _usage_report,
    "slice_load": _slice_load,
    "mandate": _slice_assigned,
    "held": _slice_entry,
    "in_force": _acknowledged,
}


class Instance:
    """A simulated coordinator with its planner and actions."""

    def __init__(self, number: int, message: Message, reply: list[dict[str, Any]]) -> None:
        seed = required_field(message, "entropy", int)
        settings = settings_from_wire(required_field(message, "settings", dict))
        self.actions = SimulatorActions(number, reply)
        self.planner = Planner(self.actions, seed, settings)

    def handle(self, now: int, kind: str, message: Message) -> None:
        """Pass a message to the planner."""
        if kind == TIMER:
            self.planner.on_timer(now, required_field(message, "cookie", str))
        else:
            self.planner.handle(now, EVENTS[kind](message))


class Adapter:
    """All coordinators that this process runs, by their number."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def answer(self, line: str) -> dict[str, list[dict[str, Any]]]:
        """Return the reply to a line; raise InvalidInputError if the line does not follow the protocol."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise InvalidInputError(f"an input line is not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("items"), list):
            raise InvalidInputError("an input line is not a batch: expected an object with the array 'items'")
        now = required_field({"type": "batch", **batch}, "t_us", int) * MICROSECOND
        reply: list[dict[str, Any]] = []
        for message in batch["items"]:
            if not isinstance(message, dict):
                raise InvalidInputError("an event is not an object")
            kind = required_field(message, "type", str)
            number = required_field(message, "coordinator", int)
            self._handle(now, kind, number, message, reply)
        return {"do": reply}

    def _handle(
        self, now: int, kind: str, number: int, message: Message, reply: list[dict[str, Any]]
    ) -> None:
        """Handle a message; if the planner fails, append `fatal` to the reply, which ends the simulation."""
        try:
            self._dispatch(now, kind, number, message, reply)
        except InvalidInputError:
            raise
        except Exception as error:
            traceback.print_exc()
            self._instances.pop(number, None)
            reason = f"{type(error).__name__}: {error}"
            reply.append({"type": "fatal", "coordinator": number, "reason_text": reason})

    def _dispatch(
        self, now: int, kind: str, number: int, message: Message, reply: list[dict[str, Any]]
    ) -> None:
        if kind == "start":
            self._instances[number] = Instance(number, message, reply)
        elif kind == "shutdown":
            self._instances.pop(number, None)
        elif kind != TIMER and kind not in EVENTS:
            raise InvalidInputError(f"an event has the unknown type {kind!r:.40}")
        elif number in self._instances:
            instance = self._instances[number]
            instance.actions.reply = reply
            instance.handle(now, kind, message)


def main() -> int:
    """Answer the lines of standard input; return 0 at its end, or 1 after the first invalid line."""
    adapter = Adapter()
    for line in sys.stdin:
        try:
            reply = adapter.answer(line)
        except InvalidInputError as error:
            print(f"granitespool: {error}", file=sys.stderr)
            return 1
        sys.stdout.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
