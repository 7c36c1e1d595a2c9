"""The gNMI method Subscribe, in the modes ONCE, POLL and STREAM."""

from collections.abc import Generator, Iterable, Iterator, Sequence

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi.context import CallContext, first_message, parse_message
from granitespool.gnmi.paths import RootNode, leaves, matches, path_message, path_text
from granitespool.gnmi.statuses import status_error
from granitespool.gnmi.subscription import Leaf, LeafValues, Subscription
from granitespool.gnmi.values import check_encoding, field_bytes
from granitespool.management.authorization import require_read
from granitespool.management.data_tree import Value
from granitespool.management.errors import ManagementError
from granitespool.rpc.calls import Call, Steps
from granitespool.rpc.errors import StatusCode, StatusError

MAX_SUBSCRIPTIONS = 64  # subscriptions of one call
MAX_UPDATES = 500  # updates of one notification, about 50 KB
UPDATES_PER_STEP = 50  # updates that one step adds to a message; this takes about 0.5 ms
RESPONSE_FIELD = pb.SubscribeResponse.DESCRIPTOR.fields_by_name["update"].number
SYNC_RESPONSE = pb.SubscribeResponse(sync_response=True).SerializeToString()


def subscribe(context: CallContext, call: Call) -> Steps:
    """Send the values at the subscribed paths, in the mode that the first message requests."""
    request = yield from first_message(call, pb.SubscribeRequest)
    subscription_list = request.subscribe
    try:
        require_read(context.user)
        _check_request(request)
        encoding = check_encoding(subscription_list.encoding)
        top = context.service.model.top
        subscriptions = [
            Subscription(subscription_list, subscription, top)
            for subscription in subscription_list.subscription
        ]
    except ManagementError as error:
        raise status_error(error) from None
    sender = _Sender(context, call, encoding)
    if subscription_list.mode == pb.SubscriptionList.ONCE:
        yield from sender.send_all(subscriptions)
    elif subscription_list.mode == pb.SubscriptionList.POLL:
        yield from _poll(sender, call, subscriptions)
    else:
        yield from _stream(sender, call, subscriptions, subscription_list.updates_only)


def _check_request(request: pb.SubscribeRequest) -> None:
    subscriptions = request.subscribe.subscription
    if request.WhichOneof("request") != "subscribe" or not subscriptions:
        raise StatusError(StatusCode.INVALID_ARGUMENT, "the first message has no subscriptions")
    if len(subscriptions) > MAX_SUBSCRIPTIONS:
        reason = f"over {MAX_SUBSCRIPTIONS} subscriptions in a call"
        raise StatusError(StatusCode.RESOURCE_EXHAUSTED, reason)


def _poll(sender: "_Sender", call: Call, subscriptions: Sequence[Subscription]) -> Iterator[None]:
    """Send all values once, and again for each poll request."""
    yield from sender.send_all(subscriptions)
    while not call.is_half_closed or call.inbox:
        if not call.inbox:
            call.is_waiting = True
            yield
            continue
        request = parse_message(pb.SubscribeRequest, call.inbox.pop(0))
        if request.WhichOneof("request") != "poll":
            raise StatusError(
                StatusCode.INVALID_ARGUMENT, "only polls may follow the first message in mode POLL"
            )
        yield from sender.send_all(subscriptions)


def _stream(
    sender: "_Sender", call: Call, subscriptions: Sequence[Subscription], updates_only: bool
) -> Iterator[None]:
    """Send all values once, and then the changes of each subscription at the interval of the subscription."""
    for subscription in subscriptions:
        values = yield from sender.current(subscription)
        subscription.start(values, sender.now())
        if not updates_only:
            yield from sender.send(values)
    call.send(SYNC_RESPONSE)
    while True:
        if call.inbox:
            raise StatusError(
                StatusCode.INVALID_ARGUMENT, "no message may follow the first one in mode STREAM"
            )
        now = sender.now()
        due = [subscription for subscription in subscriptions if subscription.next_sample_at <= now]
        if not due:
            call.wake_at = min(subscription.next_sample_at for subscription in subscriptions)
            call.is_waiting = True
            yield
        for subscription in due:
            values = yield from sender.current(subscription)
            delta = subscription.delta(values, now)
            yield from sender.send(delta.updates, delta.deletes)
            yield


class _Sender:
    """Reads and sends values for one call."""

    def __init__(self, context: CallContext, call: Call, encoding: int) -> None:
        self.context = context
        self.call = call
        self.encoding = encoding

    def now(self) -> int:
        """Return the time of the event loop's current turn, in ns."""
        return self.context.transport.now()

    def send_all(self, subscriptions: Iterable[Subscription]) -> Iterator[None]:
        """Send all values of all subscriptions, then the sync response."""
        for subscription in subscriptions:
            values = yield from self.current(subscription)
            yield from self.send(values)
        self.call.send(SYNC_RESPONSE)

    def current(self, subscription: Subscription) -> Generator[None, None, LeafValues]:
        """Return the current values of a subscription, which all subscriptions of the same path share."""
        tree = yield from self.context.read_tree()
        service = self.context.service
        shared = service.shared_state
        key = (path_text(subscription.path), service.datastores.version)
        cached: LeafValues | None = shared.leaf_values.get(key)
        if cached is not None:
            return cached
        leaf_values = shared.leaf_values  # a newer reading may replace `shared.leaf_values` between two steps
        values: dict[Leaf, Value] = {}
        for match in matches(RootNode(service.model.top), tree, subscription.path):
            for leaf_match in leaves(match):
                text = path_text(leaf_match.path)
                leaf = shared.leaf_cache.get(text)
                if leaf is None:
                    leaf = shared.leaf_cache[text] = Leaf(leaf_match.path, leaf_match.node)
                values[leaf] = leaf_match.value
                if len(values) % UPDATES_PER_STEP == 0:
                    yield
        leaf_values[key] = values
        return values

    def send(self, values: LeafValues, deletes: Iterable[Leaf] = ()) -> Iterator[None]:
        """Send updates and deletes, in several notifications if there are more than MAX_UPDATES."""
        deleted_paths = [path_message(leaf.path) for leaf in deletes]
        updates: list[bytes] = []
        for number, (leaf, value) in enumerate(values.items(), 1):
            updates.append(leaf.update_field(value, self.encoding))
            if len(updates) >= MAX_UPDATES:
                self._send_notification(deleted_paths, updates)
                deleted_paths = []
                updates = []
            if number % UPDATES_PER_STEP == 0:
                yield
        if deleted_paths or updates:
            self._send_notification(deleted_paths, updates)

    def _send_notification(self, deleted_paths: list[pb.Path], updates: list[bytes]) -> None:
        notification = pb.Notification(timestamp=self.now(), delete=deleted_paths).SerializeToString()
        self.call.send(field_bytes(RESPONSE_FIELD, notification + b"".join(updates)))
