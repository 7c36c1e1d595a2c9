"""The gNMI method Get."""

from collections.abc import Generator, Iterator

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi.context import CallContext, first_message
from granitespool.gnmi.paths import RootNode, check_path, leaves, matches, parse_path, path_message, path_text
from granitespool.gnmi.statuses import status_error
from granitespool.gnmi.values import check_encoding, typed_value
from granitespool.management.authorization import require_read
from granitespool.management.data_tree import NodePath, Tree
from granitespool.management.errors import ManagementError
from granitespool.rpc.calls import Call, Steps
from granitespool.rpc.errors import StatusCode, StatusError

MATCHES_PER_STEP = 50  # matches that one step adds to a message; this takes about 0.5 ms


def get(context: CallContext, call: Call) -> Steps:
    """Respond with the values at the requested paths."""
    request = yield from first_message(call, pb.GetRequest)
    try:
        response = yield from _response(context, request)
    except ManagementError as error:
        raise status_error(error) from None
    call.send(response.SerializeToString())


def _response(context: CallContext, request: pb.GetRequest) -> Generator[None, None, pb.GetResponse]:
    require_read(context.user)
    encoding = check_encoding(request.encoding)
    paths = [parse_path(request.prefix, path) for path in request.path or [pb.Path()]]
    root = RootNode(context.service.model.top)
    for path in paths:
        check_path(root.top, path)
    includes_config = request.type in (pb.GetRequest.ALL, pb.GetRequest.CONFIG)
    includes_state = request.type != pb.GetRequest.CONFIG
    tree = yield from context.read_tree(includes_config, includes_state)
    response = pb.GetResponse()
    for path in paths:
        notification = response.notification.add(timestamp=context.transport.now())
        yield from _add_updates(notification, root, tree, path, encoding)
        if not notification.update:
            raise StatusError(StatusCode.NOT_FOUND, f"there is nothing at {path_text(path)}")
    return response


def _add_updates(
    notification: pb.Notification, root: RootNode, tree: Tree, path: NodePath, encoding: int
) -> Iterator[None]:
    """Add the matches of a path to a notification: each leaf with PROTO, else each match as JSON."""
    for number, match in enumerate(matches(root, tree, path), 1):
        parts = leaves(match) if encoding == pb.PROTO else (match,)
        for part in parts:
            notification.update.add(path=path_message(part.path), val=typed_value(part, encoding))
        if number % MATCHES_PER_STEP == 0:
            yield
