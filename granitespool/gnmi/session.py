"""One gNMI connection: calls over HTTP/2, the datastores behind them; no socket and no clock of its own."""

from google.protobuf.message import DecodeError

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi import paths, values
from granitespool.management import model
from granitespool.management.authorization import must_read, must_write
from granitespool.management.datastores import RUNNING
from granitespool.management.edits import differing, edited
from granitespool.management.errors import Refused
from granitespool.rpc import calls
from granitespool.rpc.calls import Calls, Status
from granitespool.rpc.http2 import Broken, Http2

SECOND = 1_000_000_000  # ns
VERSION = "0.8.0"
SUBSCRIPTIONS_MOST = 64  # of one call
SAMPLE_LEAST = SECOND // 4  # ns between samples: pictures are shared for as long
SAMPLE_USUAL = 10 * SECOND  # ns where the client leaves it to us
LOOK = SECOND  # ns between looks at what is sent on change: the planner's period
UPDATES_A_STEP = 50  # updates put into a message in one step: half a millisecond
UPDATE_FIELD = pb.Notification.DESCRIPTOR.fields_by_name["update"].number
RESPONSE_FIELD = pb.SubscribeResponse.DESCRIPTOR.fields_by_name["update"].number
UPDATES_MOST = 500  # updates of one notification: some 50 KB
CODES = {
    "invalid-value": calls.INVALID_ARGUMENT,
    "unknown-element": calls.INVALID_ARGUMENT,
    "missing-element": calls.INVALID_ARGUMENT,
    "bad-attribute": calls.INVALID_ARGUMENT,
    "bad-element": calls.INVALID_ARGUMENT,
    "data-missing": calls.NOT_FOUND,
    "data-exists": calls.ALREADY_EXISTS,
    "access-denied": calls.PERMISSION_DENIED,
    "in-use": calls.ABORTED,
    "lock-denied": calls.ABORTED,
    "operation-failed": calls.FAILED_PRECONDITION,
    "resource-denied": calls.RESOURCE_EXHAUSTED,
    "operation-not-supported": calls.UNIMPLEMENTED,
}


def status_of(refused):
    return Status(CODES.get(refused.tag, calls.INVALID_ARGUMENT), refused.why)


class Gnmi:
    """The protocol of one connection, as net.door has them."""

    subscribed = None  # NETCONF's notifications are not for it

    def __init__(self, managing, user, session, number):
        self.managing, self.user, self.session, self.number = managing, user, session, number
        self.calls = Calls(
            {
                f"gnmi.gNMI/{name}": getattr(self, name.lower())
                for name in ("Capabilities", "Get", "Set", "Subscribe")
            },
            session.now,
            managing.failed,
            session.wake,
        )
        self.http2 = self.calls.http2 = Http2(self.calls, session.door.streams)

    # What the door asks of a protocol

    @property
    def busy(self):
        return self.http2.ready or self.calls.busy

    @property
    def keeps(self):
        """Whether silence is no reason to end it: a call is open."""
        return bool(self.calls.open)

    def begin(self):
        self.http2.begin()
        self._flush()

    def received(self, data):
        try:
            self.http2.received(data, self.session.now())
        except Broken as error:
            self.session.end(str(error))
        self._flush()

    def work(self):
        if self.http2.ready:
            self.http2.step()
        else:
            self.calls.work()
        self._flush()

    def due(self):
        return self.calls.due()

    def tick(self, now):
        self.calls.tick(now)
        self._flush()

    def leave(self):
        self.http2.leave()
        self._flush()

    def closed(self, why):
        self.calls.close()
        self.managing.left(self)

    def _flush(self):
        data = self.http2.outgoing()
        if data:
            self.session.send(data)

    def notify(self, name, fields, at):
        """gNMI's clients subscribe to paths instead."""

    # Parts of calls

    @staticmethod
    def _one(call, kind):
        """Waits for the one message of a unary call."""
        while not call.inbox and not call.ended:
            call.idle = True
            yield
        if not call.inbox:
            raise Status(calls.INVALID_ARGUMENT, "the call has no message")
        return parsed(kind, call.inbox.pop(0))

    def _whole(self, call, config=True, state=True):
        """{settings, state: tree} as asked for; the state is a picture shared with others."""
        whole = {}
        if config:
            whole[model.SETTINGS] = self.managing.datastores.tree(RUNNING)
        if state:
            while (tree := self.managing.shared.look(self.session.now())) is None:
                yield
            whole[model.STATE] = tree
        return whole

    def _root(self):
        """A node above the top, so that the empty path is all."""
        return Root(self.managing.model.top)

    # Methods

    def capabilities(self, call):
        yield from self._one(call, pb.CapabilityRequest)
        call.send(
            pb.CapabilityResponse(
                supported_models=[
                    pb.ModelData(name=model.MODULE, organization="granitespool", version=model.REVISION)
                ],
                supported_encodings=values.ENCODINGS,
                gNMI_version=VERSION,
            ).SerializeToString()
        )

    def get(self, call):
        request = yield from self._one(call, pb.GetRequest)
        response = pb.GetResponse()
        try:
            must_read(self.user)
            encoding = checked_encoding(request.encoding)
            asked = [paths.path_of(request.prefix, path) for path in request.path] or [
                paths.path_of(request.prefix, pb.Path())
            ]
            root = self._root()
            for path in asked:
                if path:
                    paths.check(root.top, path)
            kind = request.type
            whole = yield from self._whole(
                call, kind in (pb.GetRequest.ALL, pb.GetRequest.CONFIG), kind != pb.GetRequest.CONFIG
            )
            for path in asked:
                note = response.notification.add(timestamp=self.session.now())
                yield from self._filled(note, root, {model.TOP: whole}, path, encoding)
                if not note.update:
                    raise Status(calls.NOT_FOUND, f"there is nothing at {paths.text(path)}")
        except Refused as refused:
            raise status_of(refused) from None
        call.send(response.SerializeToString())

    @staticmethod
    def _filled(note, root, whole, path, encoding):
        for number, (at, node, value) in enumerate(paths.found(root, whole, path), 1):
            if encoding == pb.PROTO:
                for below, leaf, each in paths.leaves(node, value, at):
                    note.update.add(path=paths.message_of(below), val=values.value_of(leaf, each, encoding))
            else:
                note.update.add(path=paths.message_of(at), val=values.value_of(node, value, encoding, not at))
            if number % UPDATES_A_STEP == 0:
                yield

    def set(self, call):
        request = yield from self._one(call, pb.SetRequest)
        if request.union_replace:
            raise Status(calls.UNIMPLEMENTED, "union_replace is not taken")
        node, results, answered = self.managing.model.settings, [], []

        def changed(tree):
            new = tree
            for kind, operation, many in (
                (pb.UpdateResult.DELETE, "delete", request.delete),
                (pb.UpdateResult.REPLACE, "replace", request.replace),
                (pb.UpdateResult.UPDATE, "merge", request.update),
            ):
                for each in many:
                    path = each if operation == "delete" else each.path
                    new = self._edited(
                        node,
                        new,
                        paths.path_of(request.prefix, path),
                        operation,
                        None if operation == "delete" else values.plain_of(each.val),
                    )
                    results.append(pb.UpdateResult(path=path, op=kind))
            must_write(self.user, differing(tree, new))
            return new

        def answer(error):
            answered.append(error)
            call.wake()

        self.managing.datastores.transact(self, self.user.name, changed, answer)
        while not answered:
            call.idle = True
            yield
        if answered[0] is not None:
            raise status_of(answered[0])
        call.send(
            pb.SetResponse(
                prefix=request.prefix, response=results, timestamp=self.session.now()
            ).SerializeToString()
        )

    @staticmethod
    def _edited(node, tree, path, operation, value):
        names = [name for name, _ in path[:2]]
        if names and names[0] != model.TOP or len(names) > 1 and names[1] != model.SETTINGS:
            raise Refused("invalid-value", f"{paths.text(path)} is nothing that can be set")
        if operation == "delete":
            if len(path) <= 2:
                return {}
            try:
                return edited(node, tree, values.changes_at(node, path[2:], "delete"), "none")
            except Refused as refused:
                if refused.tag == "data-missing":  # the specification: deleting what is not there is no error
                    return tree
                raise
        if len(path) > 2:
            if operation == "replace" and node.child(path[2][0]).kind == "leaf-list":
                tree = {name: each for name, each in tree.items() if name != path[2][0]}
            return edited(node, tree, values.changes_at(node, path[2:], operation, value))
        for name in (model.TOP, model.SETTINGS)[len(path) :]:
            value = (
                {each.removeprefix(model.MODULE + ":"): below for each, below in value.items()}
                if isinstance(value, dict)
                else {}
            )
            if set(value) - {name}:
                raise Refused(
                    "unknown-element", f"there is no {', '.join(sorted(set(value) - {name}))} to be set"
                )
            value = value.get(name, {})
        [whole] = values.json_changes(node, value)
        return edited(node, {} if operation == "replace" else tree, whole.children)

    def subscribe(self, call):
        request = yield from self._one(call, pb.SubscribeRequest)
        asked = request.subscribe
        try:
            must_read(self.user)
            if request.WhichOneof("request") != "subscribe" or not asked.subscription:
                raise Status(calls.INVALID_ARGUMENT, "the first message has no subscriptions")
            if len(asked.subscription) > SUBSCRIPTIONS_MOST:
                raise Status(calls.RESOURCE_EXHAUSTED, f"over {SUBSCRIPTIONS_MOST} subscriptions in a call")
            encoding = checked_encoding(asked.encoding)
            wanted = [Wanted(asked, each, self.managing.model.top) for each in asked.subscription]
        except Refused as refused:
            raise status_of(refused) from None
        if asked.mode == pb.SubscriptionList.ONCE:
            yield from self._round(call, wanted, encoding)
        elif asked.mode == pb.SubscriptionList.POLL:
            yield from self._polled(call, wanted, encoding)
        else:
            yield from self._streamed(call, wanted, encoding, asked.updates_only)

    def _polled(self, call, wanted, encoding):
        yield from self._round(call, wanted, encoding)
        while not call.ended or call.inbox:
            if not call.inbox:
                call.idle = True
                yield
                continue
            if parsed(pb.SubscribeRequest, call.inbox.pop(0)).WhichOneof("request") != "poll":
                raise Status(calls.INVALID_ARGUMENT, "only polls may follow")
            yield from self._round(call, wanted, encoding)

    def _round(self, call, wanted, encoding):
        """All values of all subscriptions, then the mark that they were all."""
        for each in wanted:
            now = yield from self._now(call, each)
            yield from self._told(call, now, (), encoding)
        call.send(pb.SubscribeResponse(sync_response=True).SerializeToString())

    def _now(self, call, wanted):
        """{Leaf: value} of the leaves that a subscription matches now."""
        whole = yield from self._whole(call)
        shared, key = self.managing.shared, (paths.text(wanted.path), self.managing.datastores.version)
        if key in shared.flat:
            return shared.flat[key]
        root, leaves, flat, known = self._root(), {}, shared.flat, shared.leaves
        for at, node, value in paths.found(root, {model.TOP: whole}, wanted.path):
            for below, of, each in paths.leaves(node, value, at):
                text = paths.text(below)
                leaf = known.get(text)
                if leaf is None:
                    leaf = known[text] = Leaf(below, of)
                leaves[leaf] = each
                if len(leaves) % UPDATES_A_STEP == 0:
                    yield
        flat[key] = leaves  # of that picture, which may not be the newest any more
        return leaves

    def _told(self, call, leaves, gone, encoding):
        """Sends updates and deletes, in as many notifications as they take."""
        gone, part = [paths.message_of(leaf.path) for leaf in gone], []
        for number, (leaf, value) in enumerate(leaves.items(), 1):
            part.append(leaf.encoded(value, encoding))
            if len(part) >= UPDATES_MOST:
                self._send(call, gone, part)
                gone, part = [], []
            if number % UPDATES_A_STEP == 0:
                yield
        if gone or part:
            self._send(call, gone, part)

    def _send(self, call, gone, part):
        note = pb.Notification(timestamp=self.session.now(), delete=gone).SerializeToString()
        call.send(values.field(RESPONSE_FIELD, note + b"".join(part)))

    def _streamed(self, call, wanted, encoding, updates_only):
        for each in wanted:
            each.last = yield from self._now(call, each)
            each.begin(self.session.now())
            if not updates_only:
                yield from self._told(call, each.last, (), encoding)
        call.send(pb.SubscribeResponse(sync_response=True).SerializeToString())
        while True:
            if call.inbox:
                raise Status(calls.INVALID_ARGUMENT, "nothing may follow a subscription that streams")
            now = self.session.now()
            due = [each for each in wanted if each.due <= now]
            if not due:
                call.wakes, call.idle = min(each.due for each in wanted), True
                yield
                continue
            for each in due:
                leaves = yield from self._now(call, each)
                updates, gone = each.news(leaves, now)
                yield from self._told(call, updates, gone, encoding)
                yield


class Leaf:
    """What is known of a leaf by all who subscribed to it."""

    __slots__ = ("__weakref__", "made", "node", "path")

    def __init__(self, path, node):
        self.path, self.node, self.made = path, node, {}  # encoding -> (value, bytes)

    def encoded(self, value, encoding):
        """An Update's bytes as a field of a Notification."""
        known = self.made.get(encoding)
        if known is None or known[0] != value:
            known = self.made[encoding] = (
                value,
                values.field(
                    UPDATE_FIELD,
                    pb.Update(
                        path=paths.message_of(self.path), val=values.value_of(self.node, value, encoding)
                    ).SerializeToString(),
                ),
            )
        return known[1]


class Root:
    """Stands above the top node."""

    kind, keys = "container", ()

    def __init__(self, top):
        self.top, self.children = top, {top.name: top}


class Wanted:
    """One subscription and what was last sent of it."""

    def __init__(self, asked, one, top):
        self.path = paths.path_of(asked.prefix, one.path)
        if self.path:
            paths.check(top, self.path)
        if 0 < one.sample_interval < SAMPLE_LEAST:
            raise Refused("invalid-value", f"samples are {SAMPLE_LEAST // 1_000_000} ms apart at least")
        settings = self.path[1:2] == [(model.SETTINGS, {})]
        mode = one.mode
        if mode == pb.TARGET_DEFINED:
            mode = pb.ON_CHANGE if settings else pb.SAMPLE
        self.sampled = mode == pb.SAMPLE
        self.every = (one.sample_interval or SAMPLE_USUAL) if self.sampled else LOOK
        self.suppress, self.heartbeat = one.suppress_redundant or not self.sampled, one.heartbeat_interval
        self.last, self.due, self.beat = {}, 0, 0

    def begin(self, now):
        self.due, self.beat = now + self.every, now

    def news(self, leaves, now):
        """(what is to be sent, Leaves that are gone) of the leaves as they are now."""
        self.due = max(self.due + self.every, now + self.every // 2)  # who is late does not hurry after it
        gone = [leaf for leaf in self.last if leaf not in leaves]
        beats = self.heartbeat and now - self.beat >= self.heartbeat
        if beats or not self.suppress:
            self.beat, updates = now, leaves
        else:
            updates = {
                leaf: value
                for leaf, value in leaves.items()
                if leaf not in self.last or self.last[leaf] != value
            }
        self.last = leaves
        return updates, gone


def parsed(kind, data):
    try:
        return kind.FromString(data)
    except DecodeError:
        raise Status(calls.INVALID_ARGUMENT, f"a message is no {kind.DESCRIPTOR.name}") from None


def checked_encoding(encoding):
    if encoding not in values.ENCODINGS:
        raise Status(calls.UNIMPLEMENTED, "encodings are JSON, JSON_IETF and PROTO")
    return encoding
