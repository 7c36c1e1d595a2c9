"""One subscription of a Subscribe call: its next sample, the values sent last, and changes since; no I/O."""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi.paths import Match, Node, check_path, parse_path, path_message
from granitespool.gnmi.values import field_bytes, typed_value
from granitespool.management import model
from granitespool.management.data_tree import NodePath, Value, node_path
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.management.model import SchemaNode
from granitespool.units import SECOND

MIN_SAMPLE_INTERVAL = SECOND // 4  # ns; requests within this time share a reading of the state
DEFAULT_SAMPLE_INTERVAL = 10 * SECOND  # ns
ON_CHANGE_INTERVAL = SECOND  # ns between checks for changes; equal to the planner's period
UPDATE_FIELD = pb.Notification.DESCRIPTOR.fields_by_name["update"].number
SETTINGS_PATH = node_path(model.TOP, model.SETTINGS)


class Leaf:
    """A leaf and its latest encoded update, shared by all subscriptions that match it."""

    __slots__ = ("__weakref__", "_encoded", "node", "path")

    def __init__(self, path: NodePath, node: Node) -> None:
        self.path = path
        self.node = node
        self._encoded: dict[int, tuple[Value, bytes]] = {}  # encoding -> the value and its encoded update

    def update_field(self, value: Value, encoding: int) -> bytes:
        """Return an Update with a value, encoded as a field of a Notification."""
        cached = self._encoded.get(encoding)
        if cached is None or cached[0] != value:
            update = pb.Update(
                path=path_message(self.path),
                val=typed_value(Match(self.path, self.node, value), encoding),
            )
            cached = (value, field_bytes(UPDATE_FIELD, update.SerializeToString()))
            self._encoded[encoding] = cached
        return cached[1]


LeafValues: TypeAlias = Mapping[Leaf, Value]


class Delta(NamedTuple):
    """The changes to send: updated values, and leaves that no longer exist."""

    updates: LeafValues
    deletes: list[Leaf]


class Subscription:
    """A subscribed path and the values that were last sent; times in ns."""

    def __init__(
        self, subscription_list: pb.SubscriptionList, request: pb.Subscription, top: SchemaNode
    ) -> None:
        self.path = parse_path(subscription_list.prefix, request.path)
        check_path(top, self.path)
        if 0 < request.sample_interval < MIN_SAMPLE_INTERVAL:
            reason = f"samples are {MIN_SAMPLE_INTERVAL // 1_000_000} ms apart at least"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason)
        is_sampled = self._mode(request) == pb.SAMPLE
        self.interval = ON_CHANGE_INTERVAL
        if is_sampled:
            self.interval = request.sample_interval or DEFAULT_SAMPLE_INTERVAL
        self.suppress_unchanged = request.suppress_redundant or not is_sampled
        self.heartbeat_interval = request.heartbeat_interval
        self.sent: LeafValues = {}
        self.next_sample_at = 0
        self._heartbeat_at = 0

    def _mode(self, request: pb.Subscription) -> int:
        """Return the mode; TARGET_DEFINED becomes ON_CHANGE for settings, and SAMPLE for all other paths."""
        mode: int = request.mode
        if mode == pb.TARGET_DEFINED:
            mode = pb.ON_CHANGE if self.path[1:2] == SETTINGS_PATH[1:2] else pb.SAMPLE
        return mode

    def start(self, leaves: LeafValues, now: int) -> None:
        """Record that the initial values have been sent."""
        self.sent = leaves
        self.next_sample_at = now + self.interval
        self._heartbeat_at = now

    def delta(self, leaves: LeafValues, now: int) -> Delta:
        """Return the changes to send for the current values; samples that were missed are skipped."""
        self.next_sample_at = max(self.next_sample_at + self.interval, now + self.interval // 2)
        deletes = [leaf for leaf in self.sent if leaf not in leaves]
        updates = leaves
        if self._is_heartbeat(now) or not self.suppress_unchanged:
            self._heartbeat_at = now
        else:
            updates = {leaf: value for leaf, value in leaves.items() if self._is_changed(leaf, value)}
        self.sent = leaves
        return Delta(updates, deletes)

    def _is_heartbeat(self, now: int) -> bool:
        return bool(self.heartbeat_interval) and now - self._heartbeat_at >= self.heartbeat_interval

    def _is_changed(self, leaf: Leaf, value: Value) -> bool:
        return leaf not in self.sent or self.sent[leaf] != value
