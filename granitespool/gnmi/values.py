"""Typed values of gNMI and values of a tree; no I/O."""

import orjson

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi.paths import Match, Node
from granitespool.management import model
from granitespool.management.data_tree import Value
from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.rpc.errors import StatusCode, StatusError

SCALARS = ("string_val", "int_val", "uint_val", "bool_val", "double_val", "float_val", "ascii_val")
JSON_VALUES = ("json_val", "json_ietf_val")
ENCODINGS = (pb.JSON, pb.JSON_IETF, pb.PROTO)
MAX_VARINT_BYTE = 0x7F
LENGTH_DELIMITED = 2  # protobuf's wire type of messages


def check_encoding(encoding: int) -> int:
    """The encoding itself.

    Raises:
        StatusError: it is none that is served.
    """
    if encoding not in ENCODINGS:
        raise StatusError(StatusCode.UNIMPLEMENTED, "encodings are JSON, JSON_IETF and PROTO")
    return encoding


def field_bytes(number: int, message: bytes) -> bytes:
    """An encoded message as a field of the message around it, on protobuf's wire format."""
    header = bytearray([number << 3 | LENGTH_DELIMITED])
    size = len(message)
    while size > MAX_VARINT_BYTE:
        header.append(size & MAX_VARINT_BYTE | 0x80)
        size >>= 7
    header.append(size)
    return bytes(header) + message


def typed_value(match: Match, encoding: int) -> pb.TypedValue:
    """A value of a tree as a message; at the root, names have the module's prefix in JSON_IETF."""
    value = match.value
    if encoding == pb.PROTO:
        return _proto_value(match.node, value)
    if encoding == pb.JSON:
        return pb.TypedValue(json_val=orjson.dumps(value))
    if not match.path and isinstance(value, dict):
        value = {f"{model.MODULE}:{name}": each for name, each in value.items()}
    return pb.TypedValue(json_ietf_val=orjson.dumps(value))


def _proto_value(node: Node, value: Value) -> pb.TypedValue:
    if node.kind == "leaf-list":
        elements = [_scalar(node, each) for each in value]
        return pb.TypedValue(leaflist_val=pb.ScalarArray(element=elements))
    return _scalar(node, value)


def _scalar(node: Node, value: Value) -> pb.TypedValue:
    """A leaf's value as gNMI's scalars have it; 64-bit numbers and decimals are text in a tree."""
    if isinstance(value, bool):
        return pb.TypedValue(bool_val=value)
    if isinstance(value, int):
        return pb.TypedValue(uint_val=value) if value >= 0 else pb.TypedValue(int_val=value)
    yang_type = type(node.type).__name__
    if yang_type == "Decimal64Type":
        return pb.TypedValue(double_val=float(value))
    if yang_type == "Uint64Type":
        return pb.TypedValue(uint_val=int(value))
    if yang_type == "Int64Type":
        return pb.TypedValue(int_val=int(value))
    return pb.TypedValue(string_val=value)


def plain_value(typed: pb.TypedValue) -> Value:
    """The plain JSON value of a typed value that a client sent.

    Raises:
        ManagementError: it is not JSON, or of a kind that is not taken.
    """
    kind = typed.WhichOneof("value")
    if kind in JSON_VALUES:
        try:
            return orjson.loads(getattr(typed, kind))
        except ValueError as error:
            raise ManagementError(ErrorTag.INVALID_VALUE, f"a value is not JSON: {error}") from None
    if kind in SCALARS:
        return getattr(typed, kind)
    if kind == "leaflist_val":
        return [plain_value(element) for element in typed.leaflist_val.element]
    raise ManagementError(ErrorTag.INVALID_VALUE, f"values as {kind or 'nothing'} are not taken")
