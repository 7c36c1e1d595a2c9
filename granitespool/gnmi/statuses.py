"""Converts management errors to gRPC statuses."""

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
}  # any other tag maps to INVALID_ARGUMENT


def status_error(error: ManagementError) -> StatusError:
    """Return the gRPC status of a rejected request."""
    return StatusError(CODES.get(error.tag, StatusCode.INVALID_ARGUMENT), error.reason)
