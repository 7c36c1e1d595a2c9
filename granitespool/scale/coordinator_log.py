"""Evaluates the log of a real coordinator; the only module of the run with the log's event names."""

from collections import Counter
from typing import Any

import msgspec

from granitespool.units import MILLISECOND

FAULT_EVENTS = (  # faults around the coordinator, which it handled
    "watch_ended",
    "stale_endpoint_list",
    "endpoint_skipped",
    "reload_rejected",
    "unreachable",
    "evicted",
    "message_dropped",
    "log_dropped",
)
INTERNAL_ERROR_EVENTS = ("task_failed", "internal_error")  # defects of the coordinator itself
RELOADED, RELOAD_REJECTED = "reloaded", "reload_rejected"
ERROR_TEXT_LENGTH = 400  # characters kept of the log line of an internal error


class Reload(msgspec.Struct, frozen=True):
    """A log line with the outcome of a SIGHUP."""

    at: int  # ns
    rejected: bool


class CoordinatorLog:
    """Counts of a coordinator's log lines over all its processes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.lines = 0  # since the measurement began
        self.reloads: list[Reload] = []
        self.list_index = 0  # version of the endpoint list applied last
        self.older_lists = 0  # endpoint lists that were applied although older than the one before
        self.health_checks = 0
        self.fault_events: Counter[str] = Counter()
        self.internal_errors: list[str] = []

    def add_line(self, line: dict[str, Any]) -> None:
        """Evaluate one decoded log line."""
        self.lines += 1
        event = line.get("event")
        if event in FAULT_EVENTS:
            self.fault_events[event] += 1
        if event in (RELOADED, RELOAD_REJECTED):
            self.reloads.append(Reload(line["at_ms"] * MILLISECOND, event == RELOAD_REJECTED))
        elif event == "endpoint_list":
            self._add_list(line["index"])
        elif event == "health_check":
            self.health_checks += 1
        elif event in INTERNAL_ERROR_EVENTS:
            self.internal_errors.append(f"{self.name} logged {event}: {str(line)[-ERROR_TEXT_LENGTH:]}")

    def _add_list(self, index: int) -> None:
        if index < self.list_index:
            self.older_lists += 1
        self.list_index = index
