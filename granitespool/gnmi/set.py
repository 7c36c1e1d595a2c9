"""The gNMI method Set: one transaction of deletes, replaces and updates, in this order."""

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi.context import CallContext, first_message
from granitespool.gnmi.edits import delete_path, update_path
from granitespool.gnmi.paths import parse_path
from granitespool.gnmi.statuses import status_error
from granitespool.gnmi.values import plain_value
from granitespool.management.authorization import require_write
from granitespool.management.data_tree import Tree
from granitespool.management.edits import differing_names
from granitespool.management.errors import ManagementError
from granitespool.management.model import SchemaNode
from granitespool.rpc.calls import Call, Steps
from granitespool.rpc.errors import StatusCode, StatusError


def set_(context: CallContext, call: Call) -> Steps:
    """Change the running settings, and respond once the outcome is certain."""
    request = yield from first_message(call, pb.SetRequest)
    if request.union_replace:
        raise StatusError(StatusCode.UNIMPLEMENTED, "union_replace is not taken")
    settings = context.service.model.settings

    def make_tree(tree: Tree) -> Tree:
        new_tree = _changed_tree(settings, tree, request)
        require_write(context.user, differing_names(tree, new_tree))
        return new_tree

    results: list[ManagementError | None] = []

    def on_done(error: ManagementError | None) -> None:
        results.append(error)
        call.wake()

    context.service.datastores.transact(context.owner, context.user.name, make_tree, on_done)
    while not results:
        call.is_waiting = True
        yield
    if results[0] is not None:
        raise status_error(results[0])
    response = pb.SetResponse(
        prefix=request.prefix, response=_results(request), timestamp=context.transport.now()
    )
    call.send(response.SerializeToString())


def _changed_tree(settings: SchemaNode, tree: Tree, request: pb.SetRequest) -> Tree:
    """Return the settings after all operations of a request."""
    for path in request.delete:
        tree = delete_path(settings, tree, parse_path(request.prefix, path))
    for operation, updates in (("replace", request.replace), ("merge", request.update)):
        for update in updates:
            path = parse_path(request.prefix, update.path)
            tree = update_path(settings, tree, path, operation, plain_value(update.val))
    return tree


def _results(request: pb.SetRequest) -> list[pb.UpdateResult]:
    deletes = [pb.UpdateResult(path=path, op=pb.UpdateResult.DELETE) for path in request.delete]
    replaces = [pb.UpdateResult(path=update.path, op=pb.UpdateResult.REPLACE) for update in request.replace]
    updates = [pb.UpdateResult(path=update.path, op=pb.UpdateResult.UPDATE) for update in request.update]
    return deletes + replaces + updates
