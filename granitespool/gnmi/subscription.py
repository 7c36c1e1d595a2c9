"""One subscription of a Subscribe call: when it is due, what was sent of it, and what has changed; no I/O."""

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

MIN_SAMPLE_INTERVAL = SECOND // 4  # ns: readings of the state are shared for as long
DEFAULT_SAMPLE_INTERVAL = 10 * SECOND  # ns
ON_CHANGE_INTERVAL = SECOND  # ns between looks at what is sent on change: the planner's period
UPDATE_FIELD = pb.Notification.DESCRIPTOR.fields_by_name["update"].number
SETTINGS_PATH = node_path(model.TOP, model.SETTINGS)


class Leaf:
    """A leaf, shared by all subscriptions that match it: its path, and its latest update encoded."""

    __slots__ = ("__weakref__", "_encoded", "node", "path")

    def __init__(self, path: NodePath, node: Node) -> None:
        self.path = path
        self.node = node
        self._encoded: dict[int, tuple[Value, bytes]] = {}  # by encoding: the value and its update

    def update_field(self, value: Value, encoding: int) -> bytes:
        """The bytes of an Update as a field of a Notification."""
        known = self._encoded.get(encoding)
        if known is None or known[0] != value:
            update = pb.Update(
                path=path_message(self.path),
                val=typed_value(Match(self.path, self.node, value), encoding),
            )
            known = (value, field_bytes(UPDATE_FIELD, update.SerializeToString()))
            self._encoded[encoding] = known
        return known[1]


LeafValues: TypeAlias = Mapping[Leaf, Value]


class Delta(NamedTuple):
    """What is to be sent: values, and leaves that are gone."""

    updates: LeafValues
    deletes: list[Leaf]


class Subscription:
    """A path, and what was last sent of it; times in ns."""

    def __init__(self, asked: pb.SubscriptionList, one: pb.Subscription, top: SchemaNode) -> None:
        self.path = parse_path(asked.prefix, one.path)
        check_path(top, self.path)
        if 0 < one.sample_interval < MIN_SAMPLE_INTERVAL:
            reason = f"samples are {MIN_SAMPLE_INTERVAL // 1_000_000} ms apart at least"
            raise ManagementError(ErrorTag.INVALID_VALUE, reason)
        is_sampled = self._mode(one) == pb.SAMPLE
        self.interval = ON_CHANGE_INTERVAL
        if is_sampled:
            self.interval = one.sample_interval or DEFAULT_SAMPLE_INTERVAL
        self.suppress_unchanged = one.suppress_redundant or not is_sampled
        self.heartbeat_interval = one.heartbeat_interval
        self.sent: LeafValues = {}
        self.due = 0
        self._heartbeat_at = 0

    def _mode(self, one: pb.Subscription) -> int:
        """Where the mode is the target's choice, settings are sent on change and all else is sampled."""
        mode: int = one.mode
        if mode == pb.TARGET_DEFINED:
            mode = pb.ON_CHANGE if self.path[1:2] == SETTINGS_PATH[1:2] else pb.SAMPLE
        return mode

    def start(self, leaves: LeafValues, now: int) -> None:
        """The first values are being sent."""
        self.sent = leaves
        self.due = now + self.interval
        self._heartbeat_at = now

    def delta(self, leaves: LeafValues, now: int) -> Delta:
        """What is to be sent of the values as they are now; a reading that is late is not made up for."""
        self.due = max(self.due + self.interval, now + self.interval // 2)
        deletes = [leaf for leaf in self.sent if leaf not in leaves]
        updates = leaves
        if self._is_heartbeat(now) or not self.suppress_unchanged:
            self._heartbeat_at = now
        else:
            updates = {leaf: value for leaf, value in leaves.items() if self._is_new(leaf, value)}
        self.sent = leaves
        return Delta(updates, deletes)

    def _is_heartbeat(self, now: int) -> bool:
        return bool(self.heartbeat_interval) and now - self._heartbeat_at >= self.heartbeat_interval

    def _is_new(self, leaf: Leaf, value: Value) -> bool:
        return leaf not in self.sent or self.sent[leaf] != value
