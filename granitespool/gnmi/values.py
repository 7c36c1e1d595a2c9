"""Converts between typed values of gNMI and values of a tree; no I/O."""

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
LENGTH_DELIMITED = 2  # the protobuf wire type of embedded messages


def check_encoding(encoding: int) -> int:
    """Return the encoding if it is supported.

    Raises:
        StatusError: the encoding is not supported.
    """
    if encoding not in ENCODINGS:
        raise StatusError(StatusCode.UNIMPLEMENTED, "encodings are JSON, JSON_IETF and PROTO")
    return encoding


def field_bytes(number: int, message: bytes) -> bytes:
    """Return an encoded message as a field of its parent message, in the protobuf wire format."""
    header = bytearray([number << 3 | LENGTH_DELIMITED])
    size = len(message)
    while size > MAX_VARINT_BYTE:
        header.append(size & MAX_VARINT_BYTE | 0x80)
        size >>= 7
    header.append(size)
    return bytes(header) + message


def typed_value(match: Match, encoding: int) -> pb.TypedValue:
    """Return the typed value of a match; in JSON_IETF, the names at the root have the module's prefix."""
    value = match.value
    if encoding == pb.PROTO:
        return _proto_value(match.node, value)
    if encoding == pb.JSON:
        return pb.TypedValue(json_val=orjson.dumps(value))
    if not match.path and isinstance(value, dict):
        value = {f"{model.MODULE}:{name}": item for name, item in value.items()}
    return pb.TypedValue(json_ietf_val=orjson.dumps(value))


def _proto_value(node: Node, value: Value) -> pb.TypedValue:
    if node.kind == "leaf-list":
        elements = [_scalar(node, item) for item in value]
        return pb.TypedValue(leaflist_val=pb.ScalarArray(element=elements))
    return _scalar(node, value)


def _scalar(node: Node, value: Value) -> pb.TypedValue:
    """Return the gNMI scalar of a leaf's value; in a tree, 64-bit numbers and decimals are strings."""
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
    """Return the plain JSON value of a typed value from a client.

    Raises:
        ManagementError: the value is not valid JSON, or its type is not supported.
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
