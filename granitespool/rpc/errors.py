"""How an HTTP/2 connection or a gRPC call ends when not well."""

from enum import IntEnum

from granitespool.errors import GranitespoolError


class RpcError(GranitespoolError):
    """The base of this package's errors."""


class Http2Error(RpcError):
    """The connection cannot go on; the text says why. What is outgoing by then holds the last frames."""


class StatusCode(IntEnum):
    """The status codes of gRPC that are in use."""

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
    """A call ends with a status other than OK; `reason` is one sentence for the client."""

    def __init__(self, code: StatusCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason
