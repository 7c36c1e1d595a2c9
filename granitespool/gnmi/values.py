"""Typed values of gNMI, RFC 7951 JSON and changes of a tree; no I/O."""

import orjson

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.management import model
from granitespool.management.edits import Change
from granitespool.management.errors import Refused

SCALARS = "string_val", "int_val", "uint_val", "bool_val", "double_val", "float_val", "ascii_val"
ENCODINGS = pb.JSON, pb.JSON_IETF, pb.PROTO


def field(number, data):
    """A message's bytes as a field of the message around it: protobuf's wire format."""
    head, size = bytearray([number << 3 | 2]), len(data)
    while size > 0x7F:
        head.append(size & 0x7F | 0x80)
        size >>= 7
    return bytes(head) + bytes([size]) + data


def value_of(node, value, encoding, top=False):
    """A typed value of a tree's value."""
    if encoding == pb.PROTO:
        if node.kind == "leaf-list":
            return pb.TypedValue(leaflist_val=pb.ScalarArray(element=[scalar(node, each) for each in value]))
        return scalar(node, value)
    if top and encoding == pb.JSON_IETF and isinstance(value, dict):
        value = {f"{model.MODULE}:{name}": each for name, each in value.items()}
    data = orjson.dumps(value)
    return pb.TypedValue(json_ietf_val=data) if encoding == pb.JSON_IETF else pb.TypedValue(json_val=data)


def scalar(node, value):
    """A leaf's value as gNMI's scalars have it; 64-bit numbers are text in a tree."""
    if isinstance(value, bool):
        return pb.TypedValue(bool_val=value)
    if isinstance(value, int):
        return pb.TypedValue(uint_val=value) if value >= 0 else pb.TypedValue(int_val=value)
    kind = type(node.type).__name__
    if kind == "Decimal64Type":
        return pb.TypedValue(double_val=float(value))
    if kind == "Uint64Type":
        return pb.TypedValue(uint_val=int(value))
    if kind == "Int64Type":
        return pb.TypedValue(int_val=int(value))
    return pb.TypedValue(string_val=value)


def plain_of(typed):
    """The plain JSON value of a typed value that a client sent."""
    kind = typed.WhichOneof("value")
    if kind in ("json_val", "json_ietf_val"):
        try:
            return orjson.loads(getattr(typed, kind))
        except ValueError as error:
            raise Refused("invalid-value", f"a value is not JSON: {error}") from None
    if kind in SCALARS:
        return getattr(typed, kind)
    if kind == "leaflist_val":
        return [plain_of(each) for each in typed.leaflist_val.element]
    raise Refused("invalid-value", f"values as {kind or 'nothing'} are not taken")


def changes_at(node, path, operation, value=None):
    """The Changes within a container that do an operation at a path below it."""
    (name, keys), rest = path[0], path[1:]
    child = node.child(name)
    if child.kind == "list":
        if set(keys) != set(child.keys):
            if operation in ("delete", "remove") and not keys and not rest:
                raise Refused(
                    "operation-not-supported", f"the whole list {name} cannot be deleted, name an entry"
                )
            raise Refused("missing-element", f"{name} needs its keys {', '.join(child.keys)}", child.path())
        key_changes = tuple(Change(key, None, child.children[key].parsed(text)) for key, text in keys.items())
    elif keys:
        raise Refused("bad-attribute", f"{name} has no keys", child.path())
    else:
        key_changes = ()
    if rest:
        below = "none" if operation in ("delete", "remove") else None
        return (Change(name, below, None, (*key_changes, *changes_at(child, rest, operation, value))),)
    if operation in ("delete", "remove"):
        if child.kind == "leaf-list":
            raise Refused("operation-not-supported", f"the whole of {name} cannot be deleted, replace it")
        return (Change(name, "remove", None, key_changes),)
    return tuple(_with_keys(change, key_changes) for change in json_changes(child, value, operation))


def _with_keys(change, key_changes):
    named = {key.name for key in key_changes}
    return change._replace(
        children=(*key_changes, *(each for each in change.children if each.name not in named))
    )


def json_changes(node, value, operation=None):
    """The Changes that a JSON value makes of a node."""
    if node.kind == "leaf":
        return (Change(node.name, None, node.accepted(value)),)
    if node.kind == "leaf-list":
        if not isinstance(value, list):
            raise Refused("invalid-value", f"{node.name} is an array", node.path())
        return tuple(Change(node.name, None, node.accepted(each)) for each in value)
    if node.kind == "list" and isinstance(value, list):
        return tuple(change for each in value for change in json_changes(node, each, operation))
    if not isinstance(value, dict):
        raise Refused("invalid-value", f"{node.name} is an object", node.path())
    children = []
    for name, each in value.items():
        children += json_changes(node.child(name.removeprefix(model.MODULE + ":")), each)
    return (Change(node.name, operation, None, tuple(children)),)
