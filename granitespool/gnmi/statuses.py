"""A management error as a status of gRPC."""

from granitespool.management.errors import ErrorTag, ManagementError
from granitespool.rpc.errors import StatusCode, StatusError

CODES = {
    ErrorTag.DATA_MISSING: StatusCode.NOT_FOUND,
    ErrorTag.DATA_EXISTS: StatusCode.ALREADY_EXISTS,
    ErrorTag.ACCESS_DENIED: StatusCode.PERMISSION_DENIED,
    ErrorTag.IN_USE: StatusCode.ABORTED,
    ErrorTag.LOCK_DENIED: StatusCode.ABORTED,
    ErrorTag.OPERATION_FAILED: StatusCode.FAILED_PRECONDITION,
    ErrorTag.RESOURCE_DENIED: StatusCode.RESOURCE_EXHAUSTED,
    ErrorTag.OPERATION_NOT_SUPPORTED: StatusCode.UNIMPLEMENTED,
}  # all others are invalid arguments


def status_error(error: ManagementError) -> StatusError:
    """The status that tells a client of a rejected request."""
    return StatusError(CODES.get(error.tag, StatusCode.INVALID_ARGUMENT), error.reason)
