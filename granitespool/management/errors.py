"""What a management protocol answers a rejected request with, in the terms of RFC 6241, appendix A."""

from enum import StrEnum

from granitespool.errors import GranitespoolError
from granitespool.management.data_tree import NodePath


class ErrorTag(StrEnum):
    """The error tags of RFC 6241 that are in use."""

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
    """A request is rejected, and nothing of it stays.

    Args:
        tag: what kind of error it is.
        reason: one sentence for a person.
        path: the node that is wrong, where there is one.
        attribute: the XML attribute that is wrong or lacking.
        element: the element, or the data node, that is wrong or lacking.
        namespace: the namespace that is not known.
        session: the session that holds what the request needs.
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
        """Whether there is anything beside tag, reason and path."""
        info = (self.attribute, self.element, self.namespace, self.session)
        return any(each is not None for each in info)
