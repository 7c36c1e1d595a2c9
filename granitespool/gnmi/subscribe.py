"""The method Subscribe: once, polled, or as a stream."""

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

MAX_SUBSCRIPTIONS = 64  # of one call
MAX_UPDATES = 500  # of one notification: some 50 KB
UPDATES_PER_STEP = 50  # put into a message in one step: half a millisecond
RESPONSE_FIELD = pb.SubscribeResponse.DESCRIPTOR.fields_by_name["update"].number
SYNC_RESPONSE = pb.SubscribeResponse(sync_response=True).SerializeToString()


def subscribe(context: CallContext, call: Call) -> Steps:
    """Sends the values at some paths, as the first message asks for."""
    request = yield from first_message(call, pb.SubscribeRequest)
    asked = request.subscribe
    try:
        require_read(context.user)
        _check_request(request)
        encoding = check_encoding(asked.encoding)
        top = context.service.model.top
        subscriptions = [Subscription(asked, each, top) for each in asked.subscription]
    except ManagementError as error:
        raise status_error(error) from None
    sender = _Sender(context, call, encoding)
    if asked.mode == pb.SubscriptionList.ONCE:
        yield from sender.send_all(subscriptions)
    elif asked.mode == pb.SubscriptionList.POLL:
        yield from _poll(sender, call, subscriptions)
    else:
        yield from _stream(sender, call, subscriptions, asked.updates_only)


def _check_request(request: pb.SubscribeRequest) -> None:
    subscriptions = request.subscribe.subscription
    if request.WhichOneof("request") != "subscribe" or not subscriptions:
        raise StatusError(StatusCode.INVALID_ARGUMENT, "the first message has no subscriptions")
    if len(subscriptions) > MAX_SUBSCRIPTIONS:
        reason = f"over {MAX_SUBSCRIPTIONS} subscriptions in a call"
        raise StatusError(StatusCode.RESOURCE_EXHAUSTED, reason)


def _poll(sender: "_Sender", call: Call, subscriptions: Sequence[Subscription]) -> Iterator[None]:
    """Sends all values at first, and again for each poll."""
    yield from sender.send_all(subscriptions)
    while not call.ended or call.inbox:
        if not call.inbox:
            call.waiting = True
            yield
            continue
        request = parse_message(pb.SubscribeRequest, call.inbox.pop(0))
        if request.WhichOneof("request") != "poll":
            raise StatusError(StatusCode.INVALID_ARGUMENT, "only polls may follow")
        yield from sender.send_all(subscriptions)


def _stream(
    sender: "_Sender", call: Call, subscriptions: Sequence[Subscription], updates_only: bool
) -> Iterator[None]:
    """Sends all values at first, and then what has changed whenever a subscription is due."""
    for each in subscriptions:
        values = yield from sender.current(each)
        each.start(values, sender.now())
        if not updates_only:
            yield from sender.send(values)
    call.send(SYNC_RESPONSE)
    while True:
        if call.inbox:
            raise StatusError(StatusCode.INVALID_ARGUMENT, "nothing may follow a subscription that streams")
        now = sender.now()
        due = [each for each in subscriptions if each.due <= now]
        if not due:
            call.wake_at = min(each.due for each in subscriptions)
            call.waiting = True
            yield
        for each in due:
            values = yield from sender.current(each)
            delta = each.delta(values, now)
            yield from sender.send(delta.updates, delta.deletes)
            yield


class _Sender:
    """Reads and sends values for one call."""

    def __init__(self, context: CallContext, call: Call, encoding: int) -> None:
        self.context = context
        self.call = call
        self.encoding = encoding

    def now(self) -> int:
        """The turn's time, ns."""
        return self.context.transport.now()

    def send_all(self, subscriptions: Iterable[Subscription]) -> Iterator[None]:
        """Sends all values of all subscriptions, then the mark that they were all."""
        for each in subscriptions:
            values = yield from self.current(each)
            yield from self.send(values)
        self.call.send(SYNC_RESPONSE)

    def current(self, subscription: Subscription) -> Generator[None, None, LeafValues]:
        """The leaves that a subscription matches now; shared by all subscriptions of the same path."""
        tree = yield from self.context.read_tree()
        service = self.context.service
        shared = service.shared_state
        key = (path_text(subscription.path), service.datastores.version)
        known: LeafValues | None = shared.leaf_values.get(key)
        if known is not None:
            return known
        flat = shared.leaf_values  # of this reading, which may not be the newest any more at the end
        values: dict[Leaf, Value] = {}
        for match in matches(RootNode(service.model.top), tree, subscription.path):
            for part in leaves(match):
                text = path_text(part.path)
                leaf = shared.leaf_cache.get(text)
                if leaf is None:
                    leaf = shared.leaf_cache[text] = Leaf(part.path, part.node)
                values[leaf] = part.value
                if len(values) % UPDATES_PER_STEP == 0:
                    yield
        flat[key] = values
        return values

    def send(self, values: LeafValues, deletes: Iterable[Leaf] = ()) -> Iterator[None]:
        """Sends updates and deletes, in as many notifications as they take."""
        deleted = [path_message(leaf.path) for leaf in deletes]
        updates: list[bytes] = []
        for number, (leaf, value) in enumerate(values.items(), 1):
            updates.append(leaf.update_field(value, self.encoding))
            if len(updates) >= MAX_UPDATES:
                self._send_notification(deleted, updates)
                deleted = []
                updates = []
            if number % UPDATES_PER_STEP == 0:
                yield
        if deleted or updates:
            self._send_notification(deleted, updates)

    def _send_notification(self, deleted: list[pb.Path], updates: list[bytes]) -> None:
        notification = pb.Notification(timestamp=self.now(), delete=deleted).SerializeToString()
        self.call.send(field_bytes(RESPONSE_FIELD, notification + b"".join(updates)))
