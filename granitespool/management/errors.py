"""Errors of rejected management requests, with the error tags of RFC 6241, appendix A."""

from enum import StrEnum

from granitespool.errors import GranitespoolError
from granitespool.management.data_tree import NodePath


class ErrorTag(StrEnum):
    """The error tags of RFC 6241 that the protocols report."""

    ACCESS_DENIED = "access-denied"
    BAD_ATTRIBUTE = "bad-attribute"
    BAD_ELEMENT = "bad-element"
    DATA_EXISTS = "data-exists"
    DATA_MISSING = "data-missing"
    INVALID_VALUE = "invalid-value"
    IN_USE = "in-use"
    LOCK_DENIED = "lock-denied"
    MALFORMED_MESSAGE = "malformed-message"
    MISSING_ATTRIBUTE = "missing-attribute"
    MISSING_ELEMENT = "missing-element"
    OPERATION_FAILED = "operation-failed"
    OPERATION_NOT_SUPPORTED = "operation-not-supported"
    RESOURCE_DENIED = "resource-denied"
    UNKNOWN_ATTRIBUTE = "unknown-attribute"
    UNKNOWN_ELEMENT = "unknown-element"
    UNKNOWN_NAMESPACE = "unknown-namespace"


class ManagementError(GranitespoolError):
    """A management request was rejected; it has changed nothing.

    Args:
        tag: the kind of error.
        reason: one sentence for the operator.
        path: the data node in error, empty if the error concerns no node.
        attribute: the XML attribute that is wrong or missing.
        element: the XML element or data node that is wrong or missing.
        namespace: the unknown namespace.
        session: the session that holds the lock or commit in the way.
    """

    def __init__(
        self,
        tag: ErrorTag,
        reason: str,
        path: NodePath = (),
        *,
        attribute: str | None = None,
        element: str | None = None,
        namespace: str | None = None,
        session: object = None,
    ) -> None:
        super().__init__(reason)
        self.tag = tag
        self.reason = reason
        self.path = path
        self.attribute = attribute
        self.element = element
        self.namespace = namespace
        self.session = session

    @property
    def has_info(self) -> bool:
        """Whether the error has details beside tag, reason and path."""
        info = (self.attribute, self.element, self.namespace, self.session)
        return any(value is not None for value in info)
