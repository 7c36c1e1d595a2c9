"""Errors that end an HTTP/2 connection or a gRPC call."""

from enum import IntEnum

from granitespool.errors import GranitespoolError


class RpcError(GranitespoolError):
    """The base class of this package's errors."""


class Http2Error(RpcError):
    """The connection has to be closed, for the reason in the text.

    The caller must still send the last frames for the client, which it takes from `Http2Connection.outgoing`.
    """


class StatusCode(IntEnum):
    """The gRPC status codes that the server sends."""

    OK = 0
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    UNIMPLEMENTED = 12
    INTERNAL = 13


class StatusError(RpcError):
    """A call ends with a status other than OK.

    Args:
        code: the status code.
        reason: one sentence for the client.
    """

    def __init__(self, code: StatusCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason
